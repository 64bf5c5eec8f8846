//! Tickets: requests that wait for an endpoint or run on one.

use std::sync::Arc;

use slotmap::SlotMap;

use crate::{config::Class, endpoint, time::Time};

slotmap::new_key_type! {
    /// Refers to a ticket on this board.
    pub struct Key;
}

/// One request, or one attempt of it.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The client account, or the name of the public route.
    pub account: Arc<str>,
    /// The model or plain service asked for.
    pub service: Arc<str>,
    /// The priority class.
    pub class: Class,
    /// When it arrived.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Hash of the prompt's prefix, 0 for none.
    pub prefix: u64,
    /// Endpoints that must not be used, such as those that failed it.
    pub avoid: Vec<endpoint::Key>,
    /// Whether an endpoint that may be reclaimed will do.
    pub takes_cheap: bool,
    /// The oldest version of the weights that will do, 0 for any.
    pub oldest_version: u64,
    /// Where it runs, once it does.
    pub endpoint: Option<endpoint::Key>,
}

/// The tickets of one VM.
pub type Table = SlotMap<Key, Ticket>;
