//! Load over a day.

use std::{f64::consts::TAU, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::DAY;

/// The load at night, as a part of the peak.
const NIGHT: f64 = 0.2;
/// The largest load, as a part of what the peak's endpoints can run.
const PEAK_PART: f64 = 0.75;
/// How far noise moves the load, as a part of it.
const NOISE: f64 = 0.1;
/// Seconds over which noise stays alike.
const NOISE_TIME: f64 = 30.0;
/// A rush: how likely one starts in a second, how large it is, and how long it
/// lasts.
const RUSH_RATE: f64 = 1.0 / 7200.0;
const RUSH_PART: f64 = 0.5;
const RUSH_TIME: Duration = Duration::from_secs(600);

/// Requests that want to run at once.
pub(crate) struct Demand {
    rng: SmallRng,
    peak: f64,
    noise: f64,
    rush_until: Duration,
}

impl Demand {
    /// Returns a day's load for endpoints with `slots` at its peak.
    pub(crate) fn new(slots: f64, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            peak: slots * PEAK_PART,
            noise: 0.0,
            rush_until: Duration::ZERO,
        }
    }

    /// Returns the load at `time` of the day.
    pub(crate) fn next(&mut self, time: Duration) -> f64 {
        let wave = (1.0 - (TAU * time.div_duration_f64(DAY)).cos()) / 2.0;
        let base = self.peak * (NIGHT + (1.0 - NIGHT) * wave);
        if self.rng.random_bool(RUSH_RATE) {
            self.rush_until = time + RUSH_TIME;
        }
        let is_rush = time < self.rush_until;
        let rush = if is_rush { 1.0 + RUSH_PART } else { 1.0 };
        // The square root keeps the spread the same whatever the time is.
        let step = self.rng.random_range(-1.0..1.0) * NOISE * (6.0 / NOISE_TIME).sqrt();
        self.noise += step - self.noise / NOISE_TIME;
        (base * rush * (1.0 + self.noise)).max(0.0)
    }
}
