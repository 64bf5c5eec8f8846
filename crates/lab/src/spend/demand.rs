//! The load of a simulated day.

use std::{f64::consts::TAU, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::DAY;

/// The load at night, as a fraction of the peak.
const NIGHT_LOAD: f64 = 0.2;
/// The peak load without noise and bursts, as a fraction of the slots that are
/// declared for the peak.
const PEAK_LOAD: f64 = 0.75;
/// The standard deviation of the noise, as a fraction of the load.
const NOISE_DEVIATION: f64 = 0.1;
/// The time constant with which the noise decays, in seconds.
const NOISE_TIME_S: f64 = 30.0;
/// The probability that a burst of load starts in a second.
const BURST_PROBABILITY_PER_S: f64 = 1.0 / 7200.0;
/// The additional load of a burst, as a fraction of the load.
const BURST_LOAD: f64 = 0.5;
/// The duration of a burst.
const BURST_TIME: Duration = Duration::from_secs(600);

/// Generates the number of concurrent requests over a day.
pub(crate) struct Demand {
    rng: SmallRng,
    peak: f64,
    noise: f64,
    burst_until: Duration,
}

impl Demand {
    /// Creates the load of a day for which `slots` are declared at its peak.
    pub(crate) fn new(slots: f64, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            peak: slots * PEAK_LOAD,
            noise: 0.0,
            burst_until: Duration::ZERO,
        }
    }

    /// Returns the number of concurrent requests at `time`, one step after the
    /// last call.
    pub(crate) fn next_load(&mut self, time: Duration) -> f64 {
        let daytime = (1.0 - (TAU * time.div_duration_f64(DAY)).cos()) / 2.0;
        let base = self.peak * (NIGHT_LOAD + (1.0 - NIGHT_LOAD) * daytime);
        if self.rng.random_bool(BURST_PROBABILITY_PER_S) {
            self.burst_until = time + BURST_TIME;
        }
        let is_burst = time < self.burst_until;
        let burst = if is_burst { 1.0 + BURST_LOAD } else { 1.0 };
        // The square root keeps the variance independent of the time constant.
        let step = self.rng.random_range(-1.0..1.0) * NOISE_DEVIATION * (6.0 / NOISE_TIME_S).sqrt();
        self.noise += step - self.noise / NOISE_TIME_S;
        (base * burst * (1.0 + self.noise)).max(0.0)
    }
}
