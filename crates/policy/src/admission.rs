//! Whether a request may wait at all.

use std::time::Duration;

use board::{Board, Time, ticket::Ticket};

use crate::call::{Reason, Refusal};

/// When a refused caller should come back.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

const WAITING_MAX: usize = 512;

/// Checks that `ticket` can be served in time.
///
/// # Errors
///
/// A [`Refusal`] that says why not.
pub fn check(board: &Board, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
    let refuse = |reason| {
        Err(Refusal {
            reason,
            retry_after: RETRY_AFTER,
        })
    };
    if ticket.deadline <= now {
        return refuse(Reason::Deadline);
    }
    if board.endpoints.of_service(&ticket.service).is_empty() {
        return refuse(Reason::NoEndpoint);
    }
    let waiting = board.tickets.values().filter(|t| t.endpoint.is_none());
    if waiting.count() >= WAITING_MAX {
        return refuse(Reason::Overload);
    }
    Ok(())
}
