//! Response times of a service as a function of the cost of a request.
//!
//! A request waits at its endpoint for a time that does not depend on its cost,
//! and then runs for a time that does. An average latency per unit of cost
//! would mix the two: short requests would raise the average, and the latency
//! predicted for long requests would be far too high. So a line is fitted to
//! recent responses, and a histogram holds the ratios of measured to predicted
//! latency.

use std::time::Duration;

use crate::histogram::Histogram;

/// The factor by which the weight of earlier responses decays with each new
/// one.
const DECAY_FACTOR: f64 = 1.0 - 1.0 / 256.0;

/// Below this total weight, the line is forced through the origin.
const WEIGHT_MIN: f64 = 32.0;

/// The duration that represents a ratio of 1 in the histogram.
const RATIO_ONE: Duration = Duration::from_secs(1);

/// Observed response times.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tarragonseam_board::latency::Latency;
///
/// let mut latency = Latency::default();
/// for cost in (1..=100).cycle().take(1000) {
///     latency.add(cost, Duration::from_millis(500 + 10 * u64::from(cost)));
/// }
/// let median = latency.quantile(100, 0.5).unwrap();
/// assert!(median > Duration::from_millis(1400) && median < Duration::from_millis(1700));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Latency {
    fit: LinearFit,
    ratios: Histogram,
}

/// Decayed sums of a least-squares fit of latency, in seconds, to cost.
#[derive(Clone, Copy, Debug, Default)]
struct LinearFit {
    weight: f64,
    cost: f64,
    latency: f64,
    cost_squared: f64,
    cost_latency: f64,
}

impl Latency {
    /// Adds the latency of a response to a request of `cost` units.
    pub fn add(&mut self, cost: u32, latency: Duration) {
        let predicted = self.fit.predict(cost);
        let ratio = predicted.map_or(1.0, |predicted| latency.as_secs_f64() / predicted);
        self.ratios.add(RATIO_ONE.mul_f64(ratio.min(RATIO_MAX)));
        self.fit.add(f64::from(cost), latency.as_secs_f64());
    }

    /// Returns the total of the histogram's counts. It drops when the counts are
    /// halved.
    pub const fn count(&self) -> u32 {
        self.ratios.count()
    }

    /// Returns an upper bound of the quantile `quantile`, from 0 to 1, of the
    /// latency of requests of `cost` units, or `None` before the first
    /// response.
    pub fn quantile(&self, cost: u32, quantile: f64) -> Option<Duration> {
        let ratio = self.ratios.quantile(quantile)?.as_secs_f64();
        let predicted = self.fit.predict(cost)?;
        Some(Duration::from_secs_f64(predicted * ratio))
    }
}

/// Higher ratios of measured to predicted latency are recorded as this one.
const RATIO_MAX: f64 = 100.0;

/// The smallest prediction, which keeps ratios finite.
const PREDICTED_MIN_S: f64 = 1e-6;

impl LinearFit {
    fn add(&mut self, cost: f64, latency: f64) {
        self.weight = self.weight * DECAY_FACTOR + 1.0;
        self.cost = self.cost * DECAY_FACTOR + cost;
        self.latency = self.latency * DECAY_FACTOR + latency;
        self.cost_squared = self.cost_squared * DECAY_FACTOR + cost * cost;
        self.cost_latency = self.cost_latency * DECAY_FACTOR + cost * latency;
    }

    /// Returns the predicted latency in seconds.
    fn predict(&self, cost: u32) -> Option<f64> {
        if self.weight == 0.0 {
            return None;
        }
        let mean_cost = self.cost / self.weight;
        let mean_latency = self.latency / self.weight;
        let slope = self.slope(mean_cost, mean_latency);
        let predicted = mean_latency + slope * (f64::from(cost) - mean_cost);
        Some(predicted.max(PREDICTED_MIN_S))
    }

    /// Returns the slope in seconds per unit of cost. It is clamped so that
    /// neither the slope nor the intercept of the line is negative.
    fn slope(&self, mean_cost: f64, mean_latency: f64) -> f64 {
        let proportional = mean_latency / mean_cost.max(1.0);
        let variance = self.cost_squared / self.weight - mean_cost * mean_cost;
        if self.weight < WEIGHT_MIN || variance < COST_VARIANCE_MIN {
            return proportional;
        }
        let covariance = self.cost_latency / self.weight - mean_cost * mean_latency;
        (covariance / variance).clamp(0.0, proportional)
    }
}

/// The smallest variance of cost from which a slope is computed.
const COST_VARIANCE_MIN: f64 = 1e-3;
