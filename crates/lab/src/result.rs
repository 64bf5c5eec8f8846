//! Figures of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    account::Account,
    plan::{Setup, Strategy},
};

/// One run: its setup, seed and figures by service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cell {
    /// The deployment.
    pub plan: String,
    /// How many VMs it had.
    pub vms: usize,
    /// How the VMs decided.
    #[serde(rename = "way")]
    pub strategy: Strategy,
    /// Offered work as a part of capacity.
    pub load: f64,
    /// Whether one account was greedy.
    #[serde(rename = "greedy")]
    pub has_greedy_account: bool,
    /// Whether a failure domain lost its cheap endpoints.
    #[serde(rename = "loss")]
    pub has_loss: bool,
    /// The seed.
    pub seed: u64,
    /// Figures by service.
    pub services: BTreeMap<String, Summary>,
}

impl Cell {
    pub(crate) fn new(setup: &Setup, seed: u64, services: BTreeMap<String, Summary>) -> Self {
        Self {
            plan: setup.plan.name.to_string(),
            vms: setup.plan.vms,
            strategy: setup.strategy,
            load: setup.load,
            has_greedy_account: setup.has_greedy_account,
            has_loss: setup.has_loss,
            seed,
            services,
        }
    }
}

/// Figures of one service in one run. Shares are parts of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests offered.
    pub offered: u64,
    /// Requests answered, also late.
    pub answered: u64,
    /// Part of all requests answered late or not answered by the deadline,
    /// without those refused at once.
    pub late: f64,
    /// The same of accounts that offered no more than their share.
    #[serde(rename = "late_quota")]
    pub late_within_quota: f64,
    /// The same of the account where it is worst, but for the greedy one.
    pub late_worst: f64,
    /// Part of all requests refused.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// The same of accounts that offered no more than their share.
    #[serde(rename = "refused_quota")]
    pub rejected_within_quota: f64,
    /// Answers in time against the fair part, of the account where it is least.
    #[serde(rename = "fair_worst")]
    pub fairness_worst: f64,
    /// Work that ended in no answer in time, as a part of all work done.
    pub wasted: f64,
    /// Latency at the client in milliseconds.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// The same.
    pub p999_ms: f64,
}

/// Offered work within this part above the fair one counts as within quota.
const QUOTA_TOLERANCE: f64 = 1.001;

pub(crate) fn summarize(
    accounts: &[Account],
    fair_rates: &[f64],
    duration_s: f64,
    greedy: Option<usize>,
    wasted: f64,
) -> Summary {
    let offered = sum(accounts, |a| a.offered);
    let within: Vec<_> = accounts
        .iter()
        .zip(fair_rates)
        .filter(|(a, fair_rate)| {
            a.offered as f64 / duration_s
                <= **fair_rate * QUOTA_TOLERANCE + sampling_error(a.offered, duration_s)
        })
        .map(|(a, _)| a.clone())
        .collect();
    let others = accounts
        .iter()
        .enumerate()
        .filter(|(n, _)| Some(*n) != greedy);
    let latency = latency(accounts);
    let ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
    Summary {
        offered,
        answered: sum(accounts, |a| a.on_time + a.late),
        late: fraction(sum(accounts, |a| a.late + a.failed), offered),
        late_within_quota: fraction(
            sum(&within, |a| a.late + a.failed),
            sum(&within, |a| a.offered),
        ),
        late_worst: round(others.map(|(_, a)| a.late_fraction()).fold(0.0, f64::max)),
        rejected: fraction(sum(accounts, |a| a.rejected), offered),
        rejected_within_quota: fraction(sum(&within, |a| a.rejected), sum(&within, |a| a.offered)),
        fairness_worst: round(fairness_worst(accounts, fair_rates, duration_s)),
        wasted: round(wasted),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        p999_ms: ms(0.999),
    }
}

/// Three standard deviations of a rate that was counted over `duration_s`.
fn sampling_error(count: u64, duration_s: f64) -> f64 {
    3.0 * (count as f64).sqrt() / duration_s
}

/// What an account really offered, when less than its fair part, takes the
/// place of the part: random arrivals are no unfairness.
fn fairness_worst(accounts: &[Account], fair_rates: &[f64], duration_s: f64) -> f64 {
    let ratio = |(account, fair_rate): (&Account, &f64)| {
        let expected = (fair_rate * duration_s).min(account.offered as f64);
        account.on_time as f64 / expected.max(1.0)
    };
    accounts
        .iter()
        .zip(fair_rates)
        .map(ratio)
        .fold(f64::INFINITY, f64::min)
}

fn latency(accounts: &[Account]) -> Histogram<u64> {
    let mut all = Account::new().latency;
    for account in accounts {
        all.add(&account.latency).expect("histograms that grow");
    }
    all
}

fn sum(accounts: &[Account], count: impl Fn(&Account) -> u64) -> u64 {
    accounts.iter().map(count).sum()
}

fn fraction(count: u64, total: u64) -> f64 {
    round(count as f64 / total.max(1) as f64)
}

/// Rounds to the digits that a run of some ten thousand requests can tell.
fn round(value: f64) -> f64 {
    (value * 1e5).round() / 1e5
}
