//! The part of the platform that takes reports of usage.

use std::collections::BTreeMap;

use link::{
    StatusCode,
    http::{Reply, Request},
};
use serde::Deserialize;

use super::{Shared, lock};

/// A report that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// The window.
    #[serde(rename = "window-num")]
    pub window: u64,
    /// The requests of each account.
    pub counts: BTreeMap<String, u64>,
    /// The epoch that it came with.
    #[serde(skip)]
    pub epoch: u64,
}

pub(super) async fn answer(world: Shared, request: Request) -> Reply {
    let epoch = request
        .header("fence-token")
        .and_then(|text| text.parse().ok());
    let epoch = epoch.unwrap_or_default();
    let mut world = lock(&world);
    let highest = world.reports.iter().map(|report| report.epoch).max();
    if highest.is_some_and(|highest| epoch < highest) {
        return Reply::new(StatusCode::CONFLICT, "");
    }
    match serde_json::from_slice::<Report>(&request.body) {
        Ok(report) => {
            world.reports.push(Report { epoch, ..report });
            Reply::new(StatusCode::OK, "")
        }
        Err(_) => Reply::new(StatusCode::BAD_REQUEST, ""),
    }
}
