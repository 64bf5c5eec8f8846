//! Whose request goes next, and who makes room when the queue is full.
//!
//! Classes are served strictly in order of urgency, except that each class
//! behind the first earns credit while it waits, a fixed share of all that is
//! sent to the service. A class with credit for its next request goes first,
//! so none starves. Within a class, accounts share by weight (see
//! [`board::queue`]).

use board::{
    Board,
    config::Class,
    queue::{Flow, Lane, Lanes},
    ticket,
};

/// The share of a service that a class gets at least while it has work, in
/// thousandths.
pub const fn floor_milli(class: Class) -> u64 {
    match class {
        Class::Trainer => 0,
        Class::Caller => 200,
        Class::Bulk => 50,
    }
}

const MILLI: u64 = 1000;

/// Credit is kept for at most this many requests, so that a class whose
/// requests fit no endpoint for a while does not take over afterwards.
const CREDIT_REQUESTS_MAX: u64 = 4;

/// How many accounts are tried for one that fits an endpoint.
const FLOWS_MAX: usize = 16;

/// How many accounts are searched for a request whose prefix is cached.
const PREFIX_FLOWS_MAX: usize = 4;

/// How many requests of one account are tried.
const FLOW_TICKETS_MAX: usize = 4;

/// Returns the classes of `lanes` that have work, in the order in which they
/// may send next.
pub fn class_order(lanes: &Lanes) -> impl Iterator<Item = Class> + use<> {
    let states = Class::ALL.map(|class| {
        let lane = &lanes[class as usize];
        let is_due = head_cost(lane).is_some_and(|cost| lane.credit >= MILLI * cost);
        (class, !lane.is_empty(), is_due)
    });
    let due = states
        .into_iter()
        .filter(|(_, is_waiting, is_due)| *is_waiting && *is_due);
    let others = states
        .into_iter()
        .filter(|(_, is_waiting, is_due)| *is_waiting && !*is_due);
    due.chain(others).map(|(class, ..)| class)
}

/// Returns the next request of each account in `lane`, in fair order.
pub fn heads(lane: &Lane) -> Vec<ticket::Key> {
    let flows = lane.waiting().take(FLOWS_MAX);
    flows.filter_map(|(_, flow)| key_at(flow, 0)).collect()
}

/// Returns requests behind the first ones, for when none of those fits an
/// endpoint.
pub fn followers(lane: &Lane) -> Vec<ticket::Key> {
    let flows = lane.waiting().take(FLOWS_MAX);
    flows
        .flat_map(|(_, flow)| flow.tickets().skip(1).take(FLOW_TICKETS_MAX - 1))
        .map(|(key, _)| key)
        .collect()
}

/// Returns the requests that may go first of `lane` though they are not the
/// next in fair order: a few of each account, in fair order.
pub fn near_head(lane: &Lane) -> Vec<ticket::Key> {
    let flows = lane.waiting().take(PREFIX_FLOWS_MAX);
    flows
        .flat_map(|(_, flow)| flow.tickets().take(FLOW_TICKETS_MAX))
        .map(|(key, _)| key)
        .collect()
}

/// Moves credit between the classes after one of `class` was sent.
pub fn charge(lanes: &mut Lanes, class: Class, cost: u32) {
    let cost = u64::from(cost);
    for other in Class::ALL {
        let lane = &mut lanes[other as usize];
        let Some(head) = head_cost(lane) else {
            continue;
        };
        let earned = lane.credit + floor_milli(other) * cost;
        let spent = if other == class { MILLI * cost } else { 0 };
        lane.credit = earned
            .saturating_sub(spent)
            .min(MILLI * head * CREDIT_REQUESTS_MAX);
    }
}

/// Returns the newest request of the account that is furthest over its share
/// of the waiting room, among the least urgent class that has any.
///
/// `arriving` and its cost and weight count as if they waited already; `None`
/// is returned when the newcomer's own account is the one furthest over.
pub fn victim(
    board: &Board,
    class: Class,
    arriving: &str,
    cost: u32,
    weight: u32,
) -> Option<ticket::Key> {
    let mut worst = Overuse {
        class,
        per_weight: u64::from(cost) / u64::from(weight.max(1)),
        victim: None,
    };
    for (_, lane_class, lane) in board.queue.iter() {
        for (account, flow) in lane.waiting() {
            let is_own = lane_class == class && &**account == arriving;
            let arriving_cost = if is_own { u64::from(cost) } else { 0 };
            let victim = if is_own { None } else { newest(flow) };
            let overuse = Overuse {
                class: lane_class,
                per_weight: (flow.cost() + arriving_cost) / flow.weight(),
                victim,
            };
            if overuse.rank() > worst.rank() {
                worst = overuse;
            }
        }
    }
    worst.victim
}

struct Overuse {
    class: Class,
    per_weight: u64,
    victim: Option<ticket::Key>,
}

impl Overuse {
    /// Less urgent classes make room first, and a newcomer goes before those
    /// that wait when all else is the same.
    fn rank(&self) -> (Class, u64) {
        (self.class, self.per_weight)
    }
}

/// Returns the weight that operators declared for `account`. Public routes
/// weigh as much as an account without a declared weight.
pub fn weight(board: &Board, account: &str) -> u32 {
    let declared = board.config.accounts.get(account);
    declared.map_or(1, |account| account.weight.max(1))
}

fn head_cost(lane: &Lane) -> Option<u64> {
    let (_, flow) = lane.waiting().next()?;
    let (_, cost) = flow.tickets().next()?;
    Some(u64::from(cost))
}

fn key_at(flow: &Flow, index: usize) -> Option<ticket::Key> {
    flow.tickets().nth(index).map(|(key, _)| key)
}

fn newest(flow: &Flow) -> Option<ticket::Key> {
    flow.tickets().next_back().map(|(key, _)| key)
}
