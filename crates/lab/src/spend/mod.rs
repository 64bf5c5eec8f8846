//! What endpoints cost against the service they give, over a day.
//!
//! Each failure domain has a board of its own and plans its endpoints once a
//! second with [`policy::capacity`], against a made-up platform ([`deployment`])
//! whose cheap endpoints vanish and are out of stock at times. The load rises
//! and falls over the day, with noise. Everything is simulated, so a run gives
//! the same figures on a busy machine.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use tarragonseam_lab::spend::{self, Provisioning};
//!
//! let figures = spend::run(Provisioning::Autoscaled, 7, Duration::from_secs(600));
//! assert!(figures.price_hours > 0.0);
//! ```

pub(crate) mod demand;
pub(crate) mod deployment;
pub(crate) mod report;

use std::time::Duration;

use board::{Time, config::Capacity};
use serde::{Deserialize, Serialize};

pub use report::Report;

use demand::Demand;
use deployment::Deployment;

/// The simulated time of a run.
pub const DAY: Duration = Duration::from_secs(24 * 3600);

const TICK_TIME: Duration = Duration::from_secs(1);
const START_TIME: Time = Time::from_millis(1_000_000);

/// Endpoints of one failure domain that the highest load of the day needs.
const PEAK_ENDPOINTS: u32 = 8;

/// What operators declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Provisioning {
    /// Stable endpoints for the peak.
    StablePeak,
    /// One stable endpoint, and cheap ones for the peak.
    CheapPeak,
    /// One stable endpoint, and cheap ones for the mean.
    CheapMean,
    /// One stable and one cheap endpoint, and what load asks for.
    #[serde(rename = "load")]
    Autoscaled,
}

impl Provisioning {
    /// All ways, in the order of the table.
    pub const ALL: [Self; 4] = [
        Self::StablePeak,
        Self::CheapPeak,
        Self::CheapMean,
        Self::Autoscaled,
    ];

    fn capacity(self) -> Capacity {
        let (stable, cheap, maximum) = match self {
            Self::StablePeak => (PEAK_ENDPOINTS, 0, 0),
            Self::CheapPeak => (1, PEAK_ENDPOINTS - 1, 0),
            Self::CheapMean => (1, PEAK_ENDPOINTS / 2 - 1, 0),
            Self::Autoscaled => (1, 1, 2 * PEAK_ENDPOINTS),
        };
        Capacity {
            stable,
            cheap,
            floor: 3,
            max: maximum,
        }
    }
}

/// What one run cost and gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Prices times hours of all endpoints that were not gone.
    pub price_hours: f64,
    /// Hours of slots that did work.
    pub served_hours: f64,
    /// Work that found no slot when it came, as a part of all work.
    #[serde(rename = "unserved")]
    pub unserved_fraction: f64,
    /// The part of served work done on cheap endpoints.
    #[serde(rename = "cheap")]
    pub cheap_fraction: f64,
    /// Orders that the platform took or refused.
    pub orders: u64,
}

impl Figures {
    /// Returns the price of an hour of served work.
    pub fn price_per_served_hour(&self) -> f64 {
        self.price_hours / self.served_hours.max(f64::MIN_POSITIVE)
    }
}

/// Simulates `span` of the deployment with one seed.
pub fn run(provisioning: Provisioning, seed: u64, span: Duration) -> Figures {
    let mut deployment = Deployment::new(provisioning.capacity(), seed);
    let mut demand = Demand::new(f64::from(PEAK_ENDPOINTS * 3 * deployment::SLOTS), seed);
    let end = START_TIME + span;
    let mut now = START_TIME;
    while now < end {
        let offered = demand.next_load(now - START_TIME);
        deployment.step(now, TICK_TIME, offered);
        now = now + TICK_TIME;
    }
    deployment.figures()
}
