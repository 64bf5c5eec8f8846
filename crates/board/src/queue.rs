//! Waiting requests by service, priority class and client account.
//!
//! Within a lane (one class of one service), accounts are served by start-time
//! fair queueing: each account has a tag that grows by cost divided by weight
//! with each request sent, and the account with the lowest tag is served first.
//! An account that becomes active again starts at the lane's virtual time, so
//! it neither gains nor loses by having been idle. Adding and removing a
//! request takes logarithmic time in the number of waiting accounts.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    config::Class,
    hash::Map,
    throughput::Throughput,
    ticket::{self, Ticket},
    time::Time,
};

/// The number of tag units in one unit of cost at weight 1.
const TAG_SCALE: u64 = 1 << 20;

/// All requests that are waiting on one VM.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    services: Map<Arc<str>, Lanes>,
    deadlines: BTreeSet<(Time, ticket::Key)>,
    shed: Vec<ticket::Key>,
}

/// The lanes of one service, the most urgent class first.
pub type Lanes = [Lane; Class::ALL.len()];

/// The requests of one class at one service.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    flows: Map<Arc<str>, Flow>,
    /// The tags and names of the accounts with waiting requests.
    order: BTreeSet<(u64, Arc<str>)>,
    /// The highest tag at which a request was sent.
    virtual_time: u64,
    cost: u64,
    /// The cost, in thousandths, that the class may send ahead of more urgent
    /// classes.
    pub credit_milli: u64,
    /// The recent rate at which the lane was served.
    pub throughput: Throughput,
}

/// The waiting requests of one account in a lane.
#[derive(Clone, Debug)]
pub struct Flow {
    weight: u64,
    tag: u64,
    cost: u64,
    tickets: VecDeque<(ticket::Key, u32)>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the services that have lanes.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Returns the lanes of `service`.
    pub fn lanes(&self, service: &str) -> Option<&Lanes> {
        self.services.get(service)
    }

    /// Returns the lanes of `service`, for changes of their credit and
    /// throughput.
    pub fn lanes_mut(&mut self, service: &str) -> Option<&mut Lanes> {
        self.services.get_mut(service)
    }

    /// Returns every lane, with its service and class.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, Class, &Lane)> {
        self.services.iter().flat_map(|(service, lanes)| {
            let lanes = Class::ALL.into_iter().zip(lanes);
            lanes.map(move |(class, lane)| (service, class, lane))
        })
    }

    /// Adds a request of an account of weight `weight`. A request that was
    /// already attempted is put ahead of its account's other requests.
    pub fn push(&mut self, key: ticket::Key, ticket: &Ticket, weight: u32) {
        if !self.services.contains_key(&ticket.service) {
            let lanes = Lanes::default();
            self.services.insert(ticket.service.clone(), lanes);
        }
        if let Some(lanes) = self.services.get_mut(&ticket.service) {
            lanes[ticket.class as usize].push(key, ticket, weight);
            self.deadlines.insert((ticket.deadline, key));
        }
    }

    /// Removes a request that is not sent.
    pub fn remove(&mut self, key: ticket::Key, ticket: &Ticket) {
        if !self.deadlines.remove(&(ticket.deadline, key)) {
            return;
        }
        if let Some(lanes) = self.services.get_mut(&ticket.service) {
            lanes[ticket.class as usize].remove(key, ticket, false);
        }
    }

    /// Removes a request that is sent, and charges its cost to its account.
    pub fn remove_sent(&mut self, key: ticket::Key, ticket: &Ticket) {
        if !self.deadlines.remove(&(ticket.deadline, key)) {
            return;
        }
        if let Some(lanes) = self.services.get_mut(&ticket.service) {
            lanes[ticket.class as usize].remove(key, ticket, true);
        }
    }

    /// Returns a request whose deadline is at or before `now`.
    pub fn expired(&self, now: Time) -> Option<ticket::Key> {
        let (deadline, key) = self.deadlines.first()?;
        (*deadline <= now).then_some(*key)
    }

    /// Records that a request was removed to free queue capacity, and that its
    /// rejection is still to be reported.
    pub fn record_shed(&mut self, key: ticket::Key) {
        self.shed.push(key);
    }

    /// Returns the requests removed to free queue capacity since the last call.
    pub fn take_shed(&mut self) -> Vec<ticket::Key> {
        std::mem::take(&mut self.shed)
    }
}

impl Lane {
    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the total cost of the waiting requests.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the waiting requests of `account`.
    pub fn flow(&self, account: &str) -> Option<&Flow> {
        self.flows.get(account)
    }

    /// Returns the accounts with waiting requests, in the order in which they
    /// are served.
    pub fn waiting(&self) -> impl Iterator<Item = (&Arc<str>, &Flow)> {
        self.order
            .iter()
            .filter_map(|(_, account)| self.flows.get_key_value(account))
    }

    /// Returns the cost of the requests that would be sent before a new request
    /// of `account`: the account's own waiting requests, and those of other
    /// accounts that have a lower tag.
    pub fn cost_before(&self, account: &str, weight: u32) -> u64 {
        let flow = self.flows.get(account);
        let own = flow.map_or(0, |flow| flow.cost);
        let start = flow.map_or(0, |flow| flow.tag).max(self.virtual_time);
        let tag = start + own * TAG_SCALE / u64::from(weight.max(1));
        let others = self.waiting().filter(|(other, _)| ***other != *account);
        own + others.map(|(_, flow)| flow.cost_below(tag)).sum::<u64>()
    }

    fn push(&mut self, key: ticket::Key, ticket: &Ticket, weight: u32) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(ticket.account.clone());
        let flow = flow.or_insert_with(|| Flow::new(virtual_time));
        flow.weight = u64::from(weight.max(1));
        if flow.tickets.is_empty() {
            flow.tag = flow.tag.max(virtual_time);
            self.order.insert((flow.tag, ticket.account.clone()));
        }
        if ticket.avoid.is_empty() {
            flow.tickets.push_back((key, ticket.cost));
        } else {
            flow.tickets.push_front((key, ticket.cost));
        }
        flow.cost += u64::from(ticket.cost);
        self.cost += u64::from(ticket.cost);
    }

    fn remove(&mut self, key: ticket::Key, ticket: &Ticket, is_sent: bool) {
        let account = &ticket.account;
        let Some(flow) = self.flows.get_mut(account) else {
            return;
        };
        let Some(index) = flow.tickets.iter().position(|(other, _)| *other == key) else {
            return;
        };
        flow.tickets.remove(index);
        self.order.remove(&(flow.tag, account.clone()));
        let cost = u64::from(ticket.cost);
        flow.cost -= cost;
        self.cost -= cost;
        if is_sent {
            self.virtual_time = self.virtual_time.max(flow.tag);
            flow.tag += cost * TAG_SCALE / flow.weight;
        }
        if !flow.tickets.is_empty() {
            self.order.insert((flow.tag, account.clone()));
        }
        if self.order.is_empty() {
            self.credit_milli = 0;
            self.drop_idle_flows();
        }
    }

    /// Drops accounts whose tag is not above the virtual time. Their next
    /// request starts at the virtual time whether they are dropped or not.
    fn drop_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| flow.tag > virtual_time);
    }
}

impl Flow {
    fn new(tag: u64) -> Self {
        Self {
            weight: 1,
            tag,
            cost: 0,
            tickets: VecDeque::new(),
        }
    }

    /// Returns the cost of the requests whose tag is below `tag`.
    fn cost_below(&self, tag: u64) -> u64 {
        if self.tag >= tag {
            return 0;
        }
        let head = self.tickets.front().map_or(0, |(_, cost)| u64::from(*cost));
        let later = (tag - self.tag) * self.weight / TAG_SCALE;
        self.cost.min(later.max(head))
    }

    /// Returns the weight of the account.
    pub fn weight(&self) -> u64 {
        self.weight
    }

    /// Returns the total cost of the waiting requests.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the requests with their costs, in the order in which they are
    /// sent.
    pub fn tickets(&self) -> impl DoubleEndedIterator<Item = (ticket::Key, u32)> {
        self.tickets.iter().copied()
    }
}
