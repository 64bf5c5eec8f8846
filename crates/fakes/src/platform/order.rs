//! Endpoint orders and the endpoints that they move.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::{
    StatusCode,
    http::{Limits, Pool, Reply, Request, client::Call},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Config, not_found};
use crate::{
    clock,
    fault::{Reclaim, Stock},
    host::Host,
};

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Running, but not in use and not listed.
    #[default]
    Spare,
    /// Ordered, not ready yet.
    Starting,
    /// In use.
    Ready,
    /// About to be gone.
    Leaving,
    /// No longer there.
    Gone,
}

/// An endpoint of the platform: a process that runs already.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// The endpoint's id.
    pub id: String,
    /// The address of its process.
    pub address: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The model or plain service that it serves.
    pub service: String,
    /// `stable` or `cheap`.
    pub class: String,
    /// The state, `spare` or `ready` at first.
    #[serde(default)]
    pub state: State,
    /// Whether it refuses orders with an old epoch.
    #[serde(default)]
    pub checks_epoch: bool,
    /// The price of an hour.
    #[serde(default = "one")]
    pub price: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Action {
    Start,
    Stop,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Order {
    key: String,
    epoch: u64,
    failure_domain: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    class: String,
    action: Action,
    #[serde(default = "single")]
    count: usize,
    #[serde(default)]
    endpoint: Option<String>,
}

fn single() -> usize {
    1
}

/// An order as it was accepted.
#[derive(Clone, Debug, Serialize)]
struct Accepted {
    #[serde(flatten)]
    order: Order,
    state: &'static str,
    endpoints: Vec<String>,
    holder: String,
    at_ms: u64,
}

/// The interface that takes endpoint orders.
pub(crate) struct Desk {
    host: Rc<Host>,
    pool: Pool,
    order_delay_ms: u64,
    notice_ms: u64,
    gone_ms: u64,
    cut_gone: bool,
    book: RefCell<Book>,
}

#[derive(Debug, Default)]
struct Book {
    endpoints: Vec<Endpoint>,
    epochs: Map<String, u64>,
    accepted: Vec<Accepted>,
    /// Orders of an old epoch, refused or taken.
    stale: u64,
    /// Changes of state, the oldest first, as long as a list can lag behind.
    changes: VecDeque<Change>,
}

/// A change of the state of one endpoint.
#[derive(Debug)]
struct Change {
    at: Instant,
    place: usize,
    before: State,
}

/// How far a list can lag behind.
const LAG_MAX: Duration = Duration::from_secs(60);

impl Desk {
    /// Returns the interface to `endpoints`.
    pub(crate) fn new(host: Rc<Host>, config: &Config, endpoints: Vec<Endpoint>) -> Rc<Self> {
        Rc::new(Self {
            host,
            pool: Pool::new(Limits::new()),
            order_delay_ms: config.order_delay_ms,
            notice_ms: config.notice_ms,
            gone_ms: config.gone_ms,
            cut_gone: config.cut_gone,
            book: RefCell::new(Book {
                endpoints,
                ..Book::default()
            }),
        })
    }

    /// Accepts an order, or answers as the first time.
    pub(crate) fn take(self: &Rc<Self>, request: &Request) -> Reply {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        if let Some(first) = self.book.borrow().find(&order.key) {
            return first.answer();
        }
        let is_current = self.book.borrow_mut().note_epoch(&order);
        if !is_current && !self.host.switch(|s| s.ignore_epochs) {
            let detail = "a higher epoch of the failure domain was seen";
            return Reply::error(StatusCode::CONFLICT, "stale-epoch", detail);
        }
        let moved = match order.action {
            Action::Start => self.start(&order),
            Action::Stop => self.stop(&order),
        };
        let endpoints = match moved {
            Ok(endpoints) => endpoints,
            Err(reply) => return reply,
        };
        let accepted = Accepted {
            order,
            state: "accepted",
            endpoints,
            holder: request.header("x-vm").unwrap_or_default().to_owned(),
            at_ms: clock::now_ms(),
        };
        let reply = accepted.answer();
        self.book.borrow_mut().accepted.push(accepted);
        reply
    }

    /// Answers with every order accepted.
    pub(crate) fn all(&self) -> Reply {
        let book = self.book.borrow();
        let body = json!({"orders": book.accepted, "stale": book.stale});
        Reply::json(StatusCode::OK, &body)
    }

    /// Answers with one order.
    pub(crate) fn get(&self, key: &str) -> Reply {
        match self.book.borrow().find(key) {
            Some(accepted) => Reply::json(StatusCode::OK, accepted),
            None => not_found("no such order"),
        }
    }

    /// Answers with the endpoints that are not spare.
    pub(crate) fn endpoints(&self, request: &Request) -> Reply {
        let domain = request.query("failure_domain");
        let lag = Duration::from_millis(self.host.switch(|s| s.endpoint_lag_ms));
        let shown = self.book.borrow().shown(lag);
        let listed: Vec<&Endpoint> = shown
            .iter()
            .filter(|endpoint| endpoint.state != State::Spare)
            .filter(|endpoint| domain.is_none_or(|domain| endpoint.failure_domain == domain))
            .collect();
        Reply::json(StatusCode::OK, &json!({"endpoints": listed}))
    }

    /// Takes the cheap endpoints of a failure domain away.
    pub(crate) fn reclaim(self: &Rc<Self>, reclaim: &Reclaim) {
        let book = self.book.borrow();
        let cheap = book.endpoints.iter().filter(|endpoint| {
            endpoint.class == "cheap" && endpoint.failure_domain == reclaim.failure_domain
        });
        let ids: Vec<String> = cheap.map(|endpoint| endpoint.id.clone()).collect();
        drop(book);
        for id in ids {
            self.leave(&id, reclaim.notice_ms);
        }
    }

    fn start(self: &Rc<Self>, order: &Order) -> Result<Vec<String>, Reply> {
        let stock = Stock {
            failure_domain: order.failure_domain.clone(),
            class: order.class.clone(),
        };
        let out = self.host.switch(|s| s.out_of_stock.contains(&stock));
        let ids = self.book.borrow_mut().start(order, out);
        if ids.is_empty() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Reply::error(
                status,
                "out-of-stock",
                "no endpoint can be had",
            ));
        }
        for id in &ids {
            monoio::spawn(self.clone().make_ready(id.clone()));
        }
        Ok(ids)
    }

    async fn make_ready(self: Rc<Self>, id: String) {
        self.tell_gone(&id, false).await;
        clock::sleep_ms(self.order_delay_ms).await;
        self.book
            .borrow_mut()
            .shift(&id, &[State::Starting], State::Ready);
    }

    fn stop(self: &Rc<Self>, order: &Order) -> Result<Vec<String>, Reply> {
        let id = order.endpoint.clone().unwrap_or_default();
        let known = self.book.borrow().holds(&id, &order.failure_domain);
        if !known {
            return Err(not_found("no such endpoint in the failure domain"));
        }
        self.leave(&id, self.notice_ms);
        Ok(vec![id])
    }

    fn leave(self: &Rc<Self>, id: &str, notice_ms: u64) {
        let present = [State::Starting, State::Ready];
        if !self.book.borrow_mut().shift(id, &present, State::Leaving) {
            return;
        }
        let (desk, id) = (self.clone(), id.to_owned());
        monoio::spawn(async move {
            clock::sleep_ms(notice_ms).await;
            desk.book
                .borrow_mut()
                .shift(&id, &[State::Leaving], State::Gone);
            desk.tell_gone(&id, true).await;
            clock::sleep_ms(desk.gone_ms).await;
            desk.book
                .borrow_mut()
                .shift(&id, &[State::Gone], State::Spare);
        });
    }

    /// Switches the process of an endpoint off or on again.
    async fn tell_gone(&self, id: &str, gone: bool) {
        let address = self.book.borrow().address(id);
        if let (true, Some(address)) = (self.cut_gone, address) {
            let body = json!({"gone": gone}).to_string();
            // An endpoint that cannot be reached is gone anyway.
            let _ = self.pool.fetch(address, Call::post("/fault", body)).await;
        }
    }
}

impl Book {
    fn find(&self, key: &str) -> Option<&Accepted> {
        let mut accepted = self.accepted.iter();
        accepted.find(|accepted| accepted.order.key == key)
    }

    /// Returns whether the epoch of `order` is not below those seen before.
    fn note_epoch(&mut self, order: &Order) -> bool {
        let seen = self.epochs.entry(order.failure_domain.clone()).or_default();
        if order.epoch < *seen {
            self.stale += 1;
            return false;
        }
        *seen = order.epoch;
        true
    }

    /// Moves up to `count` spare endpoints to starting.
    fn start(&mut self, order: &Order, out_of_stock: bool) -> Vec<String> {
        let is_wanted = |endpoint: &Endpoint| {
            !out_of_stock
                && endpoint.state == State::Spare
                && endpoint.failure_domain == order.failure_domain
                && endpoint.service == order.service
                && endpoint.class == order.class
        };
        let all = self.endpoints.iter().enumerate();
        let spare = all.filter(|(_, endpoint)| is_wanted(endpoint));
        let places: Vec<_> = spare.map(|(place, _)| place).take(order.count).collect();
        let start = |place| {
            self.put(place, State::Starting);
            self.endpoints[place].id.clone()
        };
        places.into_iter().map(start).collect()
    }

    /// Puts an endpoint in a state.
    fn put(&mut self, place: usize, state: State) {
        let now = Instant::now();
        let before = std::mem::replace(&mut self.endpoints[place].state, state);
        self.changes.push_back(Change {
            at: now,
            place,
            before,
        });
        while self.changes.front().is_some_and(|c| now - c.at > LAG_MAX) {
            self.changes.pop_front();
        }
    }

    /// Returns the endpoints as they were before the last `lag`.
    fn shown(&self, lag: Duration) -> Vec<Endpoint> {
        let now = Instant::now();
        let mut shown = self.endpoints.clone();
        let recent = self.changes.iter().rev();
        for change in recent.take_while(|change| now - change.at < lag) {
            shown[change.place].state = change.before;
        }
        shown
    }

    fn holds(&self, id: &str, failure_domain: &str) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|endpoint| endpoint.id == id && endpoint.failure_domain == failure_domain)
    }

    /// Moves an endpoint to `to` if its state is among `from`.
    fn shift(&mut self, id: &str, from: &[State], to: State) -> bool {
        let mut endpoints = self.endpoints.iter();
        let found = endpoints.position(|endpoint| endpoint.id == id);
        match found {
            Some(place) if from.contains(&self.endpoints[place].state) => {
                self.put(place, to);
                true
            }
            _ => false,
        }
    }

    fn address(&self, id: &str) -> Option<SocketAddr> {
        let mut endpoints = self.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| endpoint.id == id)?;
        endpoint.address.parse().ok()
    }
}

impl Accepted {
    fn answer(&self) -> Reply {
        let body = json!({
            "key": self.order.key,
            "state": self.state,
            "endpoints": self.endpoints,
        });
        Reply::json(StatusCode::OK, &body)
    }
}
