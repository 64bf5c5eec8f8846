//! The load that accounts offer, and their fair shares of the capacity.

use rand::{Rng, rngs::SmallRng};

use crate::plan::{ACCOUNT_WEIGHTS, GREEDY_ACCOUNT, Service, Setup};

/// The load of accounts that are not greedy, as a fraction of their fair share,
/// when another account is greedy.
const QUOTA_LOAD: f64 = 0.7;

/// Returns the requests per second that each account offers to `service`.
pub(crate) fn offered_rates(setup: &Setup, service: &Service) -> Vec<f64> {
    let capacity = service.capacity();
    let total: u32 = ACCOUNT_WEIGHTS.iter().sum();
    let fair_rate = |weight: u32| capacity * f64::from(weight) / f64::from(total);
    if !setup.has_greedy_account {
        return ACCOUNT_WEIGHTS
            .iter()
            .map(|w| fair_rate(*w) * setup.load)
            .collect();
    }
    let load = QUOTA_LOAD.min(setup.load);
    let mut offered: Vec<_> = ACCOUNT_WEIGHTS
        .iter()
        .map(|w| fair_rate(*w) * load)
        .collect();
    let others: f64 = offered.iter().sum::<f64>() - offered[GREEDY_ACCOUNT];
    offered[GREEDY_ACCOUNT] = capacity * setup.load - others;
    offered
}

/// Returns the weighted max-min fair shares of `capacity` for accounts with the
/// rates `offered`. No account gets more than it offers; the capacity that it
/// does not need is divided among the others by weight.
pub(crate) fn fair_rates(offered: &[f64], capacity: f64) -> Vec<f64> {
    let mut fair = vec![0.0; offered.len()];
    let mut unsatisfied: Vec<usize> = (0..offered.len()).collect();
    let mut remaining = capacity;
    loop {
        let weights: f64 = unsatisfied
            .iter()
            .map(|n| f64::from(ACCOUNT_WEIGHTS[*n]))
            .sum();
        let share = |n: usize| remaining * f64::from(ACCOUNT_WEIGHTS[n]) / weights;
        let (within_share, above_share): (Vec<_>, Vec<_>) =
            unsatisfied.iter().partition(|n| offered[**n] <= share(**n));
        if within_share.is_empty() {
            for n in &above_share {
                fair[*n] = share(*n);
            }
            return fair;
        }
        for n in within_share {
            fair[n] = offered[n];
            remaining -= offered[n];
        }
        unsatisfied = above_share;
        if unsatisfied.is_empty() {
            return fair;
        }
    }
}

/// Draws from an exponential distribution.
pub(crate) fn draw_exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln() * mean
}

/// Draws the units of work of one request: half of the mean, plus an
/// exponentially distributed part with the other half as its mean, limited to
/// four times the mean.
pub(crate) fn draw_units(rng: &mut SmallRng, mean: f64) -> f64 {
    (mean / 2.0 + draw_exponential(rng, mean / 2.0)).min(4.0 * mean)
}
