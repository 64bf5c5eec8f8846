//! What became of the requests of one account.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Outcomes of one account at one service, after the warm-up.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) offered: u64,
    pub(crate) on_time: u64,
    pub(crate) late: u64,
    pub(crate) rejected: u64,
    pub(crate) failed: u64,
    /// Latency of answers in microseconds.
    pub(crate) latency: Histogram<u64>,
}

/// The end of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Status {
    /// Answered after this time, as the client sees it.
    Answered(Duration),
    /// Refused before its deadline.
    Rejected,
    /// Failed, or rejected when its time was up.
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
                .expect("bounds in order"),
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

    /// Returns the part of the requests that got an answer too late or, by the
    /// deadline, none at all.
    pub(crate) fn late_fraction(&self) -> f64 {
        (self.late + self.failed) as f64 / self.offered.max(1) as f64
    }
}
