//! The front end for callers and trainers. It checks the API key and passes the
//! request on by its route.

use std::{cell::RefCell, rc::Rc};

use link::{
    StatusCode,
    http::{Request, server::Reply},
};
use platform::{
    batch,
    config::{Kind, Route},
    header,
};

use crate::{
    facts::Facts,
    forward::{Forwarder, rejection},
    job::{Jobs, api, submission},
};

/// Responses with this status or a higher one are logged.
const FIRST_ERROR_STATUS: u16 = 400;

/// Serves the requests of callers and trainers.
#[derive(Clone)]
pub struct Front {
    /// The facts that this VM knows.
    pub facts: Rc<RefCell<Facts>>,
    /// Forwards requests to endpoints.
    pub forwarder: Forwarder,
    /// Serves requests about jobs.
    pub jobs: Jobs,
}

impl Front {
    /// Serves one request.
    pub async fn answer(&self, request: Request) -> Reply {
        let id = request.header("request-id").unwrap_or_default().to_string();
        let path = request.uri.path().to_string();
        let reply = self.route(request).await;
        let status = reply.status().as_u16();
        if status >= FIRST_ERROR_STATUS {
            let version = self
                .facts
                .borrow()
                .config
                .as_ref()
                .map_or(0, |config| config.version);
            let (request, path) = (id.as_str(), path.as_str());
            spdlog::info!("request not served", kv: { request, path, status, config = version });
        }
        reply
    }

    async fn route(&self, request: Request) -> Reply {
        let Some(config) = self.facts.borrow().config.clone() else {
            return rejection("starting", "no configuration has been received yet");
        };
        let host = request.header("host").unwrap_or_default();
        let route = config.route(host, request.uri.path());
        let account = self.account(&request);
        let Some(route) = route else {
            return match batch::parse_call(&request) {
                Some(call) => match account {
                    Ok(account) => api::call(&self.jobs, account, call, &request).await,
                    Err(reply) => reply,
                },
                None => Reply::error(
                    StatusCode::NOT_FOUND,
                    "no-route",
                    "no route has this host and path",
                ),
            };
        };
        let account = match (account, route.public) {
            (Ok(account), _) => account,
            (Err(_), true) => None,
            (Err(reply), false) => return reply,
        };
        match route.kind {
            Kind::Rollout => submission::submit(&self.jobs, account, &request).await,
            Kind::Safe | Kind::Unsafe => self.forward(route, account, request).await,
        }
    }

    async fn forward(&self, route: &Route, account: Option<String>, request: Request) -> Reply {
        self.forwarder.answer(route, account, request).await
    }

    /// Returns the account of the request's API key, or `None` if the
    /// configuration has no accounts, so that no key is needed.
    ///
    /// # Errors
    ///
    /// The reply to a request that does not have exactly one valid key.
    fn account(&self, request: &Request) -> Result<Option<String>, Reply> {
        let facts = self.facts.borrow();
        if facts
            .config
            .as_ref()
            .is_none_or(|config| config.accounts.is_none())
        {
            return Ok(None);
        }
        let mut keys = request.headers.get_all(header::KEY).iter();
        let key = keys.next().and_then(|key| key.to_str().ok());
        // Two keys may belong to different accounts, so neither is accepted.
        let is_single = keys.next().is_none();
        let account = key
            .filter(|_| is_single)
            .and_then(|key| facts.accounts.get(key));
        match account {
            Some(account) => Ok(Some(account.clone())),
            None => Err(Reply::error(
                StatusCode::UNAUTHORIZED,
                "unknown-key",
                "the request does not have exactly one valid API key",
            )),
        }
    }
}
