//! Tickets: requests that wait for an endpoint or run on one.

use std::sync::Arc;

use slotmap::SlotMap;

use crate::{config::Class, endpoint, time::Time};

slotmap::new_key_type! {
    /// The key of a ticket on this board.
    pub struct Key;
}

/// One request, or one attempt at it.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::{Time, ticket::Ticket};
///
/// let ticket = Ticket::new("cidery", "entries", Time::ZERO, Time::from_millis(200)).cost(3);
/// assert_eq!(ticket.cost, 3);
/// ```
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The client account, or the name of the public route.
    pub account: Arc<str>,
    /// The requested model or plain service.
    pub service: Arc<str>,
    /// The priority class.
    pub class: Class,
    /// When it arrived.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The units of work, such as tokens, in which fair shares are counted.
    /// Never 0.
    pub cost: u32,
    /// The hash of the prompt's prefix, 0 for none.
    pub prefix: u64,
    /// Endpoints that must not be used, such as those where an attempt has
    /// failed.
    pub avoid: Vec<endpoint::Key>,
    /// Whether it may be sent to an endpoint that can be reclaimed.
    pub may_use_cheap: bool,
    /// The oldest acceptable version of the weights, 0 for any.
    pub oldest_version: u64,
    /// The endpoint that it was sent to, if any.
    pub endpoint: Option<endpoint::Key>,
    /// When it was sent to the endpoint.
    pub started: Time,
}

impl Ticket {
    /// Returns a request of one unit of work in the caller class.
    pub fn new(
        account: impl Into<Arc<str>>,
        service: impl Into<Arc<str>>,
        arrived: Time,
        deadline: Time,
    ) -> Self {
        Self {
            account: account.into(),
            service: service.into(),
            class: Class::Caller,
            arrived,
            deadline,
            cost: 1,
            prefix: 0,
            avoid: Vec::new(),
            may_use_cheap: true,
            oldest_version: 0,
            endpoint: None,
            started: Time::ZERO,
        }
    }

    /// Sets the priority class.
    pub fn class(mut self, class: Class) -> Self {
        self.class = class;
        self
    }

    /// Sets the units of work.
    pub fn cost(mut self, cost: u32) -> Self {
        self.cost = cost.max(1);
        self
    }

    /// Sets the hash of the prompt's prefix.
    pub fn prefix(mut self, prefix: u64) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets the endpoints that must not be used.
    pub fn avoid(mut self, avoid: impl Into<Vec<endpoint::Key>>) -> Self {
        self.avoid = avoid.into();
        self
    }

    /// Sets the oldest acceptable version of the weights.
    pub fn oldest_version(mut self, version: u64) -> Self {
        self.oldest_version = version;
        self
    }
}

/// The tickets of one VM.
pub type Table = SlotMap<Key, Ticket>;
