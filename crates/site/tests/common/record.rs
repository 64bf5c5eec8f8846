//! Records of jobs and endpoints for tests without processes.

use std::time::Duration;

use platform::{
    batch::{Outcome, Sample},
    endpoint,
};
use tarragonseam_site::job::record::Head;

/// Returns the head of a job of `items` items.
pub(crate) fn head(items: usize) -> Head {
    Head {
        account: None,
        host: "h".to_string(),
        path: "/p".to_string(),
        vm: "vm-0".to_string(),
        address: None,
        submitted_ms: 0,
        model: None,
        oldest_version: None,
        items,
        work_ms: 0,
        groups_wanted: None,
    }
}

/// Returns a finished sample of the item `id`.
pub(crate) fn sample(id: &str, text: &str) -> Sample {
    Sample {
        id: id.to_string(),
        outcome: Outcome::Done,
        text: text.to_string(),
        versions: Vec::new(),
        score: None,
    }
}

/// Returns the record of the endpoint `number`, which serves the given versions
/// of models.
pub(crate) fn endpoint(number: u8, slots: u32, versions: &[(&str, u64)]) -> endpoint::Record {
    endpoint::Record {
        service: "writer".to_string(),
        software: "v1".to_string(),
        address: ([127, 0, 0, number], 80).into(),
        failure_domain: "a".to_string(),
        slots,
        is_draining: false,
        is_spot: false,
        versions: versions.iter().map(|(m, v)| (m.to_string(), *v)).collect(),
        started_ms: 1,
        cold_left: Duration::ZERO,
    }
}
