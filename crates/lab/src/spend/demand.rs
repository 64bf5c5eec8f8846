//! Load over a day.

use std::{f64::consts::TAU, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::DAY;

/// The load at night, as a part of the peak.
const NIGHT_LOAD: f64 = 0.2;
/// The largest load, as a part of what the peak's endpoints can run.
const PEAK_LOAD: f64 = 0.75;
/// How far noise moves the load, as a part of it.
const NOISE_AMPLITUDE: f64 = 0.1;
/// Seconds over which noise stays alike.
const NOISE_TIME_S: f64 = 30.0;
/// A burst: how likely one starts in a second, how large it is, and how long it
/// lasts.
const BURST_PROBABILITY_PER_S: f64 = 1.0 / 7200.0;
const BURST_LOAD: f64 = 0.5;
const BURST_TIME: Duration = Duration::from_secs(600);

/// Requests that want to run at once.
pub(crate) struct Demand {
    rng: SmallRng,
    peak: f64,
    noise: f64,
    burst_until: Duration,
}

impl Demand {
    /// Returns a day's load for endpoints with `slots` at its peak.
    pub(crate) fn new(slots: f64, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            peak: slots * PEAK_LOAD,
            noise: 0.0,
            burst_until: Duration::ZERO,
        }
    }

    /// Returns the load at `time` of the day.
    pub(crate) fn next_load(&mut self, time: Duration) -> f64 {
        let daytime = (1.0 - (TAU * time.div_duration_f64(DAY)).cos()) / 2.0;
        let base = self.peak * (NIGHT_LOAD + (1.0 - NIGHT_LOAD) * daytime);
        if self.rng.random_bool(BURST_PROBABILITY_PER_S) {
            self.burst_until = time + BURST_TIME;
        }
        let is_burst = time < self.burst_until;
        let burst = if is_burst { 1.0 + BURST_LOAD } else { 1.0 };
        // The square root keeps the spread the same whatever the time is.
        let step = self.rng.random_range(-1.0..1.0) * NOISE_AMPLITUDE * (6.0 / NOISE_TIME_S).sqrt();
        self.noise += step - self.noise / NOISE_TIME_S;
        (base * burst * (1.0 + self.noise)).max(0.0)
    }
}
