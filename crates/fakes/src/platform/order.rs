//! Endpoint orders, and the endpoints that they start and stop.

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
    target,
};

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The process runs, but the endpoint is not in use and not listed.
    #[default]
    Spare,
    /// Ordered, but not ready yet.
    Starting,
    /// In use.
    Ready,
    /// Draining: the endpoint has received its notice.
    Leaving,
    /// Removed.
    Gone,
}

/// An endpoint of the platform. Its process runs in every state.
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
    /// The class, `stable` or `cheap`.
    pub class: String,
    /// The state, initially `spare` or `ready`.
    #[serde(default)]
    pub state: State,
    /// Whether its process rejects orders with an old epoch.
    #[serde(default)]
    pub checks_epoch: bool,
    /// The price per hour.
    #[serde(default = "one")]
    pub price: f64,
}

/// Returns the price of an endpoint whose entry names none.
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

/// Returns the number of endpoints of an order that names none.
fn single() -> usize {
    1
}

/// An accepted order, with the ids of its endpoints.
#[derive(Clone, Debug, Serialize)]
struct AcceptedOrder {
    #[serde(flatten)]
    order: Order,
    state: &'static str,
    endpoints: Vec<String>,
    holder: String,
    at_ms: u64,
}

/// Answers calls about endpoint orders and endpoints.
pub(crate) struct Handler {
    host: Rc<Host>,
    pool: Pool,
    order_delay_ms: u64,
    notice_ms: u64,
    gone_ms: u64,
    cut_gone: bool,
    inventory: RefCell<Inventory>,
}

/// The endpoints, and the orders for them.
#[derive(Debug, Default)]
struct Inventory {
    endpoints: Vec<Endpoint>,
    epochs: Map<String, u64>,
    accepted: Vec<AcceptedOrder>,
    /// The number of orders with an old epoch, rejected or accepted.
    stale: u64,
    /// Changes of state within the last [`LIST_LAG_MAX`], oldest first.
    changes: VecDeque<Change>,
}

/// A change of the state of one endpoint.
#[derive(Debug)]
struct Change {
    changed_at: Instant,
    index: usize,
    previous: State,
}

/// The longest lag of the list of endpoints behind their state.
const LIST_LAG_MAX: Duration = Duration::from_secs(60);

impl Handler {
    /// Returns a handler of orders for `endpoints`.
    pub(crate) fn new(host: Rc<Host>, config: &Config, endpoints: Vec<Endpoint>) -> Rc<Self> {
        Rc::new(Self {
            host,
            pool: Pool::new(Limits::new()),
            order_delay_ms: config.order_delay_ms,
            notice_ms: config.notice_ms,
            gone_ms: config.gone_ms,
            cut_gone: config.cut_gone,
            inventory: RefCell::new(Inventory {
                endpoints,
                ..Inventory::default()
            }),
        })
    }

    /// Executes an order; an order whose key was accepted before gets the same
    /// answer again.
    pub(crate) fn submit(self: &Rc<Self>, request: &Request) -> Reply {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        if let Some(accepted) = self.inventory.borrow().find(&order.key) {
            return accepted.answer();
        }
        let is_current = self.inventory.borrow_mut().observe_epoch(&order);
        if !is_current && !self.host.read_switch(|s| s.ignore_epochs) {
            let detail = "the platform received a higher epoch of the failure domain before";
            return Reply::error(StatusCode::CONFLICT, "stale-epoch", detail);
        }
        let result = match order.action {
            Action::Start => self.start(&order),
            Action::Stop => self.stop(&order),
        };
        let endpoints = match result {
            Ok(endpoints) => endpoints,
            Err(reply) => return reply,
        };
        let accepted = AcceptedOrder {
            order,
            state: "accepted",
            endpoints,
            holder: request.header("x-vm").unwrap_or_default().to_owned(),
            at_ms: clock::now_ms(),
        };
        let reply = accepted.answer();
        self.inventory.borrow_mut().accepted.push(accepted);
        reply
    }

    /// Answers with all accepted orders.
    pub(crate) fn list(&self) -> Reply {
        let inventory = self.inventory.borrow();
        let body = json!({"orders": inventory.accepted, "stale": inventory.stale});
        Reply::json(StatusCode::OK, &body)
    }

    /// Answers with the accepted order of `key`.
    pub(crate) fn get(&self, key: &str) -> Reply {
        match self.inventory.borrow().find(key) {
            Some(accepted) => Reply::json(StatusCode::OK, accepted),
            None => not_found("no such order"),
        }
    }

    /// Answers with the endpoints that are not spare, of one failure domain if
    /// the request names one.
    pub(crate) fn endpoints(&self, request: &Request) -> Reply {
        let domain = request.query("failure_domain").map(target::decode_query);
        if domain == Some(None) {
            return Reply::new(StatusCode::BAD_REQUEST, "");
        }
        let domain = domain.flatten();
        let lag = Duration::from_millis(self.host.read_switch(|s| s.endpoint_lag_ms));
        let lagged = self.inventory.borrow().endpoints_before(lag);
        let listed: Vec<&Endpoint> = lagged
            .iter()
            .filter(|endpoint| endpoint.state != State::Spare)
            .filter(|endpoint| {
                domain
                    .as_ref()
                    .is_none_or(|domain| endpoint.failure_domain == *domain)
            })
            .collect();
        Reply::json(StatusCode::OK, &json!({"endpoints": listed}))
    }

    /// Drains and removes the cheap endpoints of a failure domain.
    pub(crate) fn reclaim(self: &Rc<Self>, reclaim: &Reclaim) {
        let inventory = self.inventory.borrow();
        let cheap = inventory.endpoints.iter().filter(|endpoint| {
            endpoint.class == "cheap" && endpoint.failure_domain == reclaim.failure_domain
        });
        let ids: Vec<String> = cheap.map(|endpoint| endpoint.id.clone()).collect();
        drop(inventory);
        for id in ids {
            self.drain(&id, reclaim.notice_ms);
        }
    }

    fn start(self: &Rc<Self>, order: &Order) -> Result<Vec<String>, Reply> {
        let stock = Stock {
            failure_domain: order.failure_domain.clone(),
            class: order.class.clone(),
        };
        let is_out_of_stock = self.host.read_switch(|s| s.out_of_stock.contains(&stock));
        let ids = self.inventory.borrow_mut().start(order, is_out_of_stock);
        if ids.is_empty() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Reply::error(
                status,
                "out-of-stock",
                "no spare endpoint of this service and class",
            ));
        }
        for id in &ids {
            monoio::spawn(self.clone().make_ready(id.clone()));
        }
        Ok(ids)
    }

    async fn make_ready(self: Rc<Self>, id: String) {
        self.set_gone(&id, false).await;
        clock::sleep_ms(self.order_delay_ms).await;
        self.inventory
            .borrow_mut()
            .transition(&id, &[State::Starting], State::Ready);
    }

    fn stop(self: &Rc<Self>, order: &Order) -> Result<Vec<String>, Reply> {
        let id = order.endpoint.clone().unwrap_or_default();
        let is_known = self
            .inventory
            .borrow()
            .has_endpoint(&id, &order.failure_domain);
        if !is_known {
            return Err(not_found("no such endpoint in the failure domain"));
        }
        self.drain(&id, self.notice_ms);
        Ok(vec![id])
    }

    fn drain(self: &Rc<Self>, id: &str, notice_ms: u64) {
        let active_states = [State::Starting, State::Ready];
        if !self
            .inventory
            .borrow_mut()
            .transition(id, &active_states, State::Leaving)
        {
            return;
        }
        let (handler, id) = (self.clone(), id.to_owned());
        monoio::spawn(async move {
            clock::sleep_ms(notice_ms).await;
            handler
                .inventory
                .borrow_mut()
                .transition(&id, &[State::Leaving], State::Gone);
            handler.set_gone(&id, true).await;
            clock::sleep_ms(handler.gone_ms).await;
            handler
                .inventory
                .borrow_mut()
                .transition(&id, &[State::Gone], State::Spare);
        });
    }

    /// Sets the fault switch `gone` of an endpoint's process if `cut_gone` is
    /// set.
    async fn set_gone(&self, id: &str, gone: bool) {
        let address = self.inventory.borrow().address(id);
        if let (true, Some(address)) = (self.cut_gone, address) {
            let body = json!({"gone": gone}).to_string();
            // A process that cannot be reached is cut off already.
            let _ = self.pool.fetch(address, Call::post("/fault", body)).await;
        }
    }
}

impl Inventory {
    fn find(&self, key: &str) -> Option<&AcceptedOrder> {
        let mut accepted = self.accepted.iter();
        accepted.find(|accepted| accepted.order.key == key)
    }

    /// Records the epoch of `order` and returns whether it is at least as high
    /// as all earlier epochs of the failure domain.
    fn observe_epoch(&mut self, order: &Order) -> bool {
        let highest_epoch = self.epochs.entry(order.failure_domain.clone()).or_default();
        if order.epoch < *highest_epoch {
            self.stale += 1;
            return false;
        }
        *highest_epoch = order.epoch;
        true
    }

    /// Moves as many spare endpoints as the order names, or as there are, to
    /// `State::Starting`, and returns their ids.
    fn start(&mut self, order: &Order, is_out_of_stock: bool) -> Vec<String> {
        let matches = |endpoint: &Endpoint| {
            !is_out_of_stock
                && endpoint.state == State::Spare
                && endpoint.failure_domain == order.failure_domain
                && endpoint.service == order.service
                && endpoint.class == order.class
        };
        let endpoints = self.endpoints.iter().enumerate();
        let spare = endpoints.filter(|(_, endpoint)| matches(endpoint));
        let indices: Vec<_> = spare.map(|(index, _)| index).take(order.count).collect();
        let start = |index| {
            self.set_state(index, State::Starting);
            self.endpoints[index].id.clone()
        };
        indices.into_iter().map(start).collect()
    }

    /// Sets the state of an endpoint and records the change.
    fn set_state(&mut self, index: usize, state: State) {
        let now = Instant::now();
        let previous = std::mem::replace(&mut self.endpoints[index].state, state);
        self.changes.push_back(Change {
            changed_at: now,
            index,
            previous,
        });
        while self
            .changes
            .front()
            .is_some_and(|c| now - c.changed_at > LIST_LAG_MAX)
        {
            self.changes.pop_front();
        }
    }

    /// Returns the endpoints with the states that they had `lag` ago.
    fn endpoints_before(&self, lag: Duration) -> Vec<Endpoint> {
        let now = Instant::now();
        let mut lagged = self.endpoints.clone();
        let recent = self.changes.iter().rev();
        for change in recent.take_while(|change| now - change.changed_at < lag) {
            lagged[change.index].state = change.previous;
        }
        lagged
    }

    fn has_endpoint(&self, id: &str, failure_domain: &str) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|endpoint| endpoint.id == id && endpoint.failure_domain == failure_domain)
    }

    /// Moves an endpoint to the state `to` if its state is one of `from`, and
    /// returns whether it did.
    fn transition(&mut self, id: &str, from: &[State], to: State) -> bool {
        let mut endpoints = self.endpoints.iter();
        let found = endpoints.position(|endpoint| endpoint.id == id);
        match found {
            Some(index) if from.contains(&self.endpoints[index].state) => {
                self.set_state(index, to);
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

impl AcceptedOrder {
    fn answer(&self) -> Reply {
        let body = json!({
            "key": self.order.key,
            "state": self.state,
            "endpoints": self.endpoints,
        });
        Reply::json(StatusCode::OK, &body)
    }
}
