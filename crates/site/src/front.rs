//! What callers and trainers reach: routes, keys, and where each request
//! goes from there.

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
    forward::{Forwarder, refusal},
    job::{Jobs, api},
};

/// The first status that says that a request was not served.
const FIRST_REFUSAL: u16 = 400;

/// What answers requests.
#[derive(Clone)]
pub struct Front {
    /// What the VM knows.
    pub facts: Rc<RefCell<Facts>>,
    /// Where requests go.
    pub forwarder: Forwarder,
    /// Where jobs go.
    pub jobs: Jobs,
}

impl Front {
    /// Answers one request.
    pub async fn answer(&self, request: Request) -> Reply {
        let id = request.header("request-id").unwrap_or_default().to_string();
        let path = request.uri.path().to_string();
        let reply = self.route(request).await;
        let status = reply.status().as_u16();
        if status >= FIRST_REFUSAL {
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
            return refusal("starting", "no configuration is known yet");
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
            Kind::Rollout => api::submit(&self.jobs, account, &request).await,
            Kind::Safe | Kind::Unsafe => self.forward(route, account, request).await,
        }
    }

    async fn forward(&self, route: &Route, account: Option<String>, request: Request) -> Reply {
        self.forwarder.answer(route, account, request).await
    }

    /// Returns the account that the request's key stands for; `None` where
    /// nobody needs a key.
    ///
    /// # Errors
    ///
    /// The refusal of a request without one valid key.
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
        // Two keys may stand for two accounts: neither is taken.
        let is_single = keys.next().is_none();
        let account = key
            .filter(|_| is_single)
            .and_then(|key| facts.keys.get(key));
        match account {
            Some(account) => Ok(Some(account.clone())),
            None => Err(Reply::error(
                StatusCode::UNAUTHORIZED,
                "unknown-key",
                "the key is not known",
            )),
        }
    }
}
