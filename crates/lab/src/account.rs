//! Outcomes of the requests of one account.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Counts of the requests of one account at one service, after the warm-up.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    /// All requests.
    pub(crate) offered: u64,
    /// Requests answered by their deadline.
    pub(crate) on_time: u64,
    /// Requests answered after their deadline.
    pub(crate) late: u64,
    pub(crate) rejected: u64,
    pub(crate) failed: u64,
    /// Latency of answers at the client, in microseconds.
    pub(crate) latency: Histogram<u64>,
}

/// The final status of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Status {
    /// Answered, with the latency at the client.
    Answered(Duration),
    /// Rejected by a VM, on arrival or while the request waited in the queue.
    Rejected,
    /// Failed and not retried.
    Failed,
}

const SIGNIFICANT_DIGITS: u8 = 3;
const LATENCY_MAX_US: u64 = 600_000_000;

impl Account {
    pub(crate) fn new() -> Self {
        Self {
            offered: 0,
            on_time: 0,
            late: 0,
            rejected: 0,
            failed: 0,
            latency: Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are in order"),
        }
    }

    pub(crate) fn record(&mut self, status: Status, deadline: Duration) {
        self.offered += 1;
        match status {
            Status::Rejected => self.rejected += 1,
            Status::Failed => self.failed += 1,
            Status::Answered(latency) => {
                self.latency.saturating_record(latency.as_micros() as u64);
                if latency <= deadline {
                    self.on_time += 1;
                } else {
                    self.late += 1;
                }
            }
        }
    }

    /// Returns the fraction of the requests that were answered late or failed.
    pub(crate) fn late_fraction(&self) -> f64 {
        (self.late + self.failed) as f64 / self.offered.max(1) as f64
    }
}
