//! The paths to endpoints. All requests, streams and items go through here.

use std::{cell::RefCell, rc::Rc};

use link::{
    clock::Clock,
    http::{
        self, Pool, Response,
        client::{Call, Fetched},
    },
};
use policy::path::{Links, State};

use crate::facts::{Endpoint, Key};

/// The paths of this VM to endpoints. Clones share the state.
#[derive(Clone)]
pub struct Paths(Rc<Inner>);

struct Inner {
    /// Connections from this VM to endpoints.
    pool: Pool,
    clock: Clock,
    links: RefCell<Links<Key>>,
}

impl Paths {
    /// Returns paths with the connections of `pool`.
    pub fn new(pool: Pool) -> Self {
        Self(Rc::new(Inner {
            pool,
            clock: Clock::default(),
            links: RefCell::default(),
        }))
    }

    /// Sends `call` to `endpoint`, whose key is `key`, and waits for the head of
    /// the response.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`].
    pub async fn send(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: Call,
    ) -> Result<Response, http::Error> {
        let call = self.observed(key, endpoint, call);
        self.0.pool.send(endpoint.record.address, call).await
    }

    /// Sends `call` to `endpoint`, whose key is `key`, and returns the complete
    /// response.
    ///
    /// # Errors
    ///
    /// As [`Pool::fetch`].
    pub async fn fetch(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: Call,
    ) -> Result<Fetched, http::Error> {
        let call = self.observed(key, endpoint, call);
        self.0.pool.fetch(endpoint.record.address, call).await
    }

    /// Returns `call` with a hook that records whether the endpoint can be
    /// connected to.
    fn observed(&self, key: Key, endpoint: &Endpoint, call: Call) -> Call {
        let (paths, id) = (self.clone(), endpoint.id.clone());
        call.on_connect(move |is_open| paths.record_connect(key, &id, is_open))
    }

    fn record_connect(&self, key: Key, endpoint: &str, is_open: bool) {
        let now = self.0.clock.now();
        let mut links = self.0.links.borrow_mut();
        let (before, failures) = (links.state(), links.failures());
        match is_open {
            true => links.record_open(),
            false => links.record_failure(key, now),
        }
        match (before, links.state()) {
            (State::Connected, State::Suspected) => {
                let failures = links.failures();
                spdlog::warn!("links to endpoints may be lost", kv: { endpoint, failures });
            }
            (State::Suspected | State::CutOff, State::Connected) => {
                spdlog::info!("link to an endpoint works", kv: { endpoint, failures });
            }
            _ => {}
        }
    }
}
