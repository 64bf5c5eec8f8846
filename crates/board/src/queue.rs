//! Requests that wait, by service, priority class and client account.
//!
//! Within a lane (one class of one service) the accounts are kept in the order
//! of start-time fair queueing: each account has a tag that grows by cost over
//! weight with each request sent, and the lowest tag goes first. An account
//! that comes back after a pause starts at the lane's virtual time, so it
//! neither gains nor loses by having been idle. All steps take logarithmic
//! time in the number of accounts that wait.

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

/// Tags are counted in this many parts of one unit of cost.
const TAG_SCALE: u64 = 1 << 20;

/// All requests that wait on one VM.
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
    order: BTreeSet<(u64, Arc<str>)>,
    virtual_time: u64,
    cost: u64,
    /// Thousandths of cost that the class may send ahead of more urgent ones.
    pub credit_milli: u64,
    /// How fast the lane was served of late.
    pub throughput: Throughput,
}

/// The requests of one account in a lane.
#[derive(Clone, Debug)]
pub struct Flow {
    weight: u64,
    tag: u64,
    cost: u64,
    tickets: VecDeque<(ticket::Key, u32)>,
}

impl Queue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the services for which there are lanes.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Returns the lanes of `service`.
    pub fn lanes(&self, service: &str) -> Option<&Lanes> {
        self.services.get(service)
    }

    /// Returns the lanes of `service`, to change their credit and pace.
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

    /// Adds a request whose account has `weight`. One that was tried already
    /// goes to the front of its account.
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

    /// Takes a request out without sending it.
    pub fn remove(&mut self, key: ticket::Key, ticket: &Ticket) {
        if !self.deadlines.remove(&(ticket.deadline, key)) {
            return;
        }
        if let Some(lanes) = self.services.get_mut(&ticket.service) {
            lanes[ticket.class as usize].remove(key, ticket, false);
        }
    }

    /// Takes a request out to send it, which uses up its account's share.
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

    /// Notes that a request was taken out to make room, and is to be told.
    pub fn record_shed(&mut self, key: ticket::Key) {
        self.shed.push(key);
    }

    /// Returns the requests taken out to make room since the last call.
    pub fn take_shed(&mut self) -> Vec<ticket::Key> {
        std::mem::take(&mut self.shed)
    }
}

impl Lane {
    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the cost of all that waits.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the requests of `account`.
    pub fn flow(&self, account: &str) -> Option<&Flow> {
        self.flows.get(account)
    }

    /// Returns the accounts with requests that wait, the next one first.
    pub fn waiting(&self) -> impl Iterator<Item = (&Arc<str>, &Flow)> {
        self.order
            .iter()
            .filter_map(|(_, account)| self.flows.get_key_value(account))
    }

    /// Returns the cost that is sent before a new request of `account` is: its
    /// own requests and, of each other account, those with a lower tag.
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

    /// Drops accounts that are not ahead of the virtual time: a new flow would
    /// start where they stand.
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

    /// Returns the cost of what waits.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the requests, the next one first, with their costs.
    pub fn tickets(&self) -> impl DoubleEndedIterator<Item = (ticket::Key, u32)> {
        self.tickets.iter().copied()
    }
}
