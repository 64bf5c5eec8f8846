//! What the accounts offer.

use rand::{Rng, rngs::SmallRng};

use crate::plan::{GREEDY, Service, Setup, WEIGHTS};

/// What every account offers when one is greedy, as a part of its share.
const WITHIN_QUOTA: f64 = 0.7;

/// Returns the requests a second that each account offers to `service`.
pub(crate) fn offered(setup: &Setup, service: &Service) -> Vec<f64> {
    let capacity = service.capacity();
    let total: u32 = WEIGHTS.iter().sum();
    let share = |weight: u32| capacity * f64::from(weight) / f64::from(total);
    if !setup.greedy {
        return WEIGHTS.iter().map(|w| share(*w) * setup.load).collect();
    }
    let quota = WITHIN_QUOTA.min(setup.load);
    let mut offered: Vec<_> = WEIGHTS.iter().map(|w| share(*w) * quota).collect();
    let others: f64 = offered.iter().sum::<f64>() - offered[GREEDY];
    offered[GREEDY] = capacity * setup.load - others;
    offered
}

/// Divides `capacity` among accounts that offer as much as `offered`, by
/// weight: none gets more than it offers, and what one leaves goes to others.
pub(crate) fn fair(offered: &[f64], capacity: f64) -> Vec<f64> {
    let mut fair = vec![0.0; offered.len()];
    let mut open: Vec<usize> = (0..offered.len()).collect();
    let mut left = capacity;
    loop {
        let weights: f64 = open.iter().map(|n| f64::from(WEIGHTS[*n])).sum();
        let part = |n: usize| left * f64::from(WEIGHTS[n]) / weights;
        let (small, large): (Vec<_>, Vec<_>) = open.iter().partition(|n| offered[**n] <= part(**n));
        if small.is_empty() {
            for n in &large {
                fair[*n] = part(*n);
            }
            return fair;
        }
        for n in small {
            fair[n] = offered[n];
            left -= offered[n];
        }
        open = large;
        if open.is_empty() {
            return fair;
        }
    }
}

/// Draws from an exponential distribution.
pub(crate) fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln() * mean
}

/// Draws the units of work of one request: half of the mean, and the rest
/// exponential, cut at four times the mean.
pub(crate) fn units(rng: &mut SmallRng, mean: f64) -> f64 {
    (mean / 2.0 + exponential(rng, mean / 2.0)).min(4.0 * mean)
}
