//! The provider, which accepts usage reports.

use std::{collections::BTreeMap, time::Instant};

use link::{
    StatusCode,
    http::{Reply, Request},
};
use serde::Deserialize;

use super::{SharedState, lock};

/// An accepted usage report.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// The number of the window.
    #[serde(rename = "window-num")]
    pub window: u64,
    /// The number of requests by account.
    pub counts: BTreeMap<String, u64>,
    /// The epoch of the call, from its fencing token.
    #[serde(skip)]
    pub epoch: u64,
    /// The VM that sent it.
    #[serde(skip)]
    pub holder: String,
    /// When it arrived.
    #[serde(skip, default = "Instant::now")]
    pub at: Instant,
}

pub(super) async fn answer(state: SharedState, request: Request) -> Reply {
    let epoch = request
        .header("fence-token")
        .and_then(|value| value.parse().ok());
    let epoch = epoch.unwrap_or_default();
    let holder = request
        .header("duty-holder")
        .unwrap_or_default()
        .to_string();
    let mut state = lock(&state);
    let highest = state.reports.iter().map(|report| report.epoch).max();
    if !state.ignores_epochs && highest.is_some_and(|highest| epoch < highest) {
        return Reply::new(StatusCode::CONFLICT, "");
    }
    match serde_json::from_slice::<Report>(&request.body) {
        Ok(report) => {
            state.reports.push(Report {
                epoch,
                holder,
                ..report
            });
            Reply::new(StatusCode::OK, "")
        }
        Err(_) => Reply::new(StatusCode::BAD_REQUEST, ""),
    }
}
