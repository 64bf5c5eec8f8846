//! Questions to coordinators that they answer from memory.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::http::{Limits, Pool, client::Call};
use serde::{Serialize, de::DeserializeOwned};

/// How long a coordinator may take to answer.
const TIMEOUT: Duration = Duration::from_millis(100);
/// How long a coordinator that did not answer is not asked.
pub(crate) const BACKOFF: Duration = Duration::from_millis(1000);

/// A client of coordinators. Clones share the connections and the backoffs.
#[derive(Clone)]
pub struct Client(Rc<Inner>);

struct Inner {
    pool: Pool,
    /// Apart from the backoff in [`Coordinators`](crate::coordinator::Coordinators):
    /// a late answer must not move jobs to another coordinator.
    backoff_until: RefCell<Map<SocketAddr, Instant>>,
}

impl Default for Client {
    fn default() -> Self {
        Self(Rc::new(Inner {
            pool: Pool::new(Limits::new()).reset_on_close(),
            backoff_until: RefCell::default(),
        }))
    }
}

impl Client {
    /// Returns whether `coordinator` recently failed to answer.
    pub(crate) fn is_backing_off(&self, coordinator: SocketAddr, now: Instant) -> bool {
        let backoffs = self.0.backoff_until.borrow();
        backoffs.get(&coordinator).is_some_and(|until| *until > now)
    }

    /// Sends `question` to `path` at `coordinator`, which may get it twice, and
    /// returns the answer.
    ///
    /// # Errors
    ///
    /// Why there is no answer. The coordinator then backs off.
    pub(crate) async fn ask<A: DeserializeOwned>(
        &self,
        coordinator: SocketAddr,
        path: &str,
        question: &impl Serialize,
    ) -> Result<A, String> {
        let answer = self.fetch(coordinator, path, question).await;
        let mut backoffs = self.0.backoff_until.borrow_mut();
        match answer {
            Ok(_) => backoffs.remove(&coordinator),
            Err(_) => backoffs.insert(coordinator, Instant::now() + BACKOFF),
        };
        answer
    }

    async fn fetch<A: DeserializeOwned>(
        &self,
        coordinator: SocketAddr,
        path: &str,
        question: &impl Serialize,
    ) -> Result<A, String> {
        let body = serde_json::to_vec(question).map_err(|e| e.to_string())?;
        let call = Call::post(path, body)
            .idempotent(true)
            .connect_timeout(TIMEOUT)
            .deadline(TIMEOUT);
        let answer = self.0.pool.fetch(coordinator, call).await;
        let response = answer.map_err(|e| e.to_string())?;
        if !response.status.is_success() {
            return Err(response.status.to_string());
        }
        serde_json::from_slice(&response.body).map_err(|e| e.to_string())
    }
}
