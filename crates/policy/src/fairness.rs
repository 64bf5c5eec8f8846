//! Scheduling order of queued requests, and which one is shed when the queue is
//! full.
//!
//! Classes are served in strict priority order, except that each class behind
//! the first earns credit while it has queued requests, a fixed fraction of all
//! cost sent to the service. A class with enough credit for its next request
//! goes first, so no class starves. Within a class, accounts share by weight
//! (see [`board::queue`]).

use board::{
    Board,
    config::Class,
    queue::{Flow, Lane, Lanes},
    ticket,
};

/// Returns the fraction of a service that `class` is guaranteed while it has
/// queued requests, in thousandths.
pub const fn floor_milli(class: Class) -> u64 {
    match class {
        Class::Trainer => 0,
        Class::Caller => 200,
        Class::Bulk => 50,
    }
}

/// The number of credit units in one unit of cost.
const MILLI_PER_UNIT: u64 = 1000;

/// Credit is capped at this many times the cost of the next request, so a class
/// whose requests fit no endpoint for a while does not monopolize the service
/// afterwards.
const CREDIT_REQUESTS_MAX: u64 = 4;

/// How many accounts are searched for a request that fits an endpoint.
const FLOWS_MAX: usize = 16;

/// How many accounts are searched for a request whose prefix is cached.
const PREFIX_FLOWS_MAX: usize = 4;

/// How many requests of one account are searched.
const FLOW_TICKETS_MAX: usize = 4;

/// Returns the classes of `lanes` that have queued requests, in the order in
/// which they may send.
pub fn class_order(lanes: &Lanes) -> impl Iterator<Item = Class> + use<> {
    let states = Class::ALL.map(|class| {
        let lane = &lanes[class as usize];
        let is_due = head_cost(lane).is_some_and(|cost| lane.credit_milli >= MILLI_PER_UNIT * cost);
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

/// Returns the requests behind the head of each account in `lane`, for when no
/// head fits an endpoint.
pub fn followers(lane: &Lane) -> Vec<ticket::Key> {
    let flows = lane.waiting().take(FLOWS_MAX);
    flows
        .flat_map(|(_, flow)| flow.tickets().skip(1).take(FLOW_TICKETS_MAX - 1))
        .map(|(key, _)| key)
        .collect()
}

/// Returns the requests of `lane` that may overtake its head: the first few of
/// the first few accounts, in fair order.
pub fn near_head(lane: &Lane) -> Vec<ticket::Key> {
    let flows = lane.waiting().take(PREFIX_FLOWS_MAX);
    flows
        .flat_map(|(_, flow)| flow.tickets().take(FLOW_TICKETS_MAX))
        .map(|(key, _)| key)
        .collect()
}

/// Updates the credit of all classes after a request of `class` was sent.
pub fn charge(lanes: &mut Lanes, class: Class, cost: u32) {
    let cost = u64::from(cost);
    for other in Class::ALL {
        let lane = &mut lanes[other as usize];
        let Some(head) = head_cost(lane) else {
            continue;
        };
        let earned = lane.credit_milli + floor_milli(other) * cost;
        let spent = if other == class {
            MILLI_PER_UNIT * cost
        } else {
            0
        };
        lane.credit_milli = earned
            .saturating_sub(spent)
            .min(MILLI_PER_UNIT * head * CREDIT_REQUESTS_MAX);
    }
}

/// Returns the newest queued request of the account furthest over its share of
/// the queue, among the least urgent class that has any.
///
/// The new request of the account `arriving`, with `cost` and `weight`, counts
/// as if it were already queued. Returns `None` if that account is itself
/// furthest over its share.
pub fn victim(
    board: &Board,
    class: Class,
    arriving: &str,
    cost: u32,
    weight: u32,
) -> Option<ticket::Key> {
    let mut worst = Overuse {
        class,
        cost_per_weight: u64::from(cost) / u64::from(weight.max(1)),
        victim: None,
    };
    for (_, lane_class, lane) in board.queue.iter() {
        for (account, flow) in lane.waiting() {
            let is_own = lane_class == class && &**account == arriving;
            let arriving_cost = if is_own { u64::from(cost) } else { 0 };
            let victim = if is_own { None } else { newest(flow) };
            let overuse = Overuse {
                class: lane_class,
                cost_per_weight: (flow.cost() + arriving_cost) / flow.weight(),
                victim,
            };
            if overuse.rank() > worst.rank() {
                worst = overuse;
            }
        }
    }
    worst.victim
}

/// The use of the queue by one account, relative to its weight.
struct Overuse {
    class: Class,
    cost_per_weight: u64,
    victim: Option<ticket::Key>,
}

impl Overuse {
    /// The key by which victims are compared: a less urgent class first, then
    /// the higher cost per weight. On a tie, the new request is rejected.
    fn rank(&self) -> (Class, u64) {
        (self.class, self.cost_per_weight)
    }
}

/// Returns the weight that operators declared for `account`. Accounts without a
/// declared weight and public routes have weight 1.
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
