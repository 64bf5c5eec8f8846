//! Simulates the cost of endpoints and the work that they serve over a day.
//!
//! Each failure domain has its own board and plans its endpoints once per second
//! with [`policy::capacity`]. The simulated platform ([`deployment`]) sometimes
//! reclaims all cheap endpoints of a failure domain and is then out of stock.
//! The load rises and falls over the day, with noise and bursts. Time is
//! simulated, so the results do not depend on the load of the machine.
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

/// The simulated time of a step.
const TICK_TIME: Duration = Duration::from_secs(1);
/// The simulated time at the start of a run.
const START_TIME: Time = Time::from_millis(1_000_000);

/// Endpoints that each failure domain needs for the peak load of the day.
const PEAK_ENDPOINTS: u32 = 8;

/// The capacity that operators declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Provisioning {
    /// Stable endpoints for the peak load.
    StablePeak,
    /// One stable endpoint, and cheap ones for the peak load.
    CheapPeak,
    /// One stable endpoint, and cheap ones for the mean load.
    CheapMean,
    /// One stable and one cheap endpoint, and further endpoints as the load
    /// requires.
    #[serde(rename = "load")]
    Autoscaled,
}

impl Provisioning {
    /// All variants, in the order of the table.
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

/// The cost of one run and the work served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The price of all endpoints, each multiplied by the hours it existed.
    pub price_hours: f64,
    /// The sum over all slots of the hours in which they did work.
    pub served_hours: f64,
    /// Fraction of the offered work that found no free slot.
    #[serde(rename = "unserved")]
    pub unserved_fraction: f64,
    /// Fraction of the served work that cheap endpoints did.
    #[serde(rename = "cheap")]
    pub cheap_fraction: f64,
    /// Orders that the platform accepted or rejected.
    pub orders: u64,
}

impl Figures {
    /// Returns the price of an hour of work in one slot.
    pub fn price_per_served_hour(&self) -> f64 {
        self.price_hours / self.served_hours.max(f64::MIN_POSITIVE)
    }
}

/// Simulates the deployment for `span` with one seed.
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
