//! Load reports of endpoints, read at a steady pace.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use board::{
    Board, Time,
    endpoint::{self, Endpoint, Load, State},
};

use crate::{
    clock::Clock,
    http::{Pool, client::Call},
};

const POLL_TIME: Duration = Duration::from_millis(500);
const CALL_TIME: Duration = Duration::from_secs(1);

/// Reads load reports onto a board.
#[derive(Clone)]
pub struct Poller {
    board: Rc<RefCell<Board>>,
    pool: Pool,
    clock: Clock,
    note: fn(&mut Endpoint, Time, Load),
}

impl Poller {
    /// Returns a poller that notes reports with the time of `clock`.
    pub fn new(board: Rc<RefCell<Board>>, pool: Pool, clock: Clock) -> Self {
        Self {
            board,
            pool,
            clock,
            note: |endpoint, now, load| endpoint.load = Some((now, load)),
        }
    }

    /// Sets what notes a report on an endpoint, in place of keeping it only.
    pub fn note(mut self, note: fn(&mut Endpoint, Time, Load)) -> Self {
        self.note = note;
        self
    }

    /// Reads the load of every ready endpoint that `wanted` picks, for ever.
    pub async fn run(self, wanted: impl Fn(&Endpoint) -> bool) {
        loop {
            for (key, address) in self.ready(&wanted) {
                let poller = self.clone();
                monoio::spawn(async move { poller.poll(key, address).await });
            }
            monoio::time::sleep(POLL_TIME).await;
        }
    }

    fn ready(&self, wanted: impl Fn(&Endpoint) -> bool) -> Vec<(endpoint::Key, SocketAddr)> {
        let board = self.board.borrow();
        board
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.record.state == State::Ready && wanted(endpoint))
            .map(|(key, endpoint)| (key, endpoint.record.address))
            .collect()
    }

    async fn poll(&self, key: endpoint::Key, address: SocketAddr) {
        let call = Call::get("/v1/load").deadline(CALL_TIME);
        let Ok(answer) = self.pool.fetch(address, call).await else {
            return;
        };
        let Ok(load) = serde_json::from_slice(&answer.body) else {
            return;
        };
        let now = self.clock.now();
        if let Some(endpoint) = self.board.borrow_mut().endpoints.get_mut(key) {
            (self.note)(endpoint, now, load);
        }
    }
}
