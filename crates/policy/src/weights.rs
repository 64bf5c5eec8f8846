//! Which endpoints should load which version of a model's weights.

use board::{
    Board,
    endpoint::{self, State},
};

/// A version to load on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The endpoint.
    pub endpoint: endpoint::Key,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// Returns the swaps that are due in `failure_domain`.
pub fn due(board: &Board, failure_domain: &str) -> Vec<Swap> {
    let mut swaps = Vec::new();
    for (model, version) in &board.weights {
        for key in board.endpoints.of_service(model) {
            let Some(endpoint) = board.endpoints.get(*key) else {
                continue;
            };
            let is_here = endpoint.record.failure_domain == failure_domain;
            let is_ready = endpoint.record.state == State::Ready;
            let is_behind = endpoint.version(model).is_some_and(|held| held < *version);
            if is_here && is_ready && is_behind {
                swaps.push(Swap {
                    endpoint: *key,
                    model: model.clone(),
                    version: *version,
                });
            }
        }
    }
    swaps
}
