//! Whose request goes next.

use board::{Board, ticket};

/// Returns the waiting tickets in the order in which they should be sent.
pub fn order(board: &Board) -> Vec<ticket::Key> {
    let mut waiting: Vec<_> = board
        .tickets
        .iter()
        .filter(|(_, ticket)| ticket.endpoint.is_none())
        .map(|(key, ticket)| (ticket.class, ticket.arrived, key))
        .collect();
    waiting.sort_unstable_by_key(|(class, arrived, _)| (*class, *arrived));
    waiting.into_iter().map(|(_, _, key)| key).collect()
}
