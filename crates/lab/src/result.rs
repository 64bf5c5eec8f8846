//! The figures of a run.

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
    /// The name of the deployment.
    pub plan: String,
    /// The number of VMs.
    pub vms: usize,
    /// How the VMs chose endpoints.
    #[serde(rename = "way")]
    pub strategy: Strategy,
    /// Offered work as a fraction of the capacity.
    pub load: f64,
    /// Whether one account was greedy.
    #[serde(rename = "greedy")]
    pub has_greedy_account: bool,
    /// Whether a failure domain lost its cheap endpoints.
    #[serde(rename = "loss")]
    pub has_loss: bool,
    /// The seed.
    pub seed: u64,
    /// The figures of each service.
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

/// The figures of one service in one run, without the warm-up.
///
/// An account is within its quota when it offers no more than its fair share of
/// the capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests offered.
    pub offered: u64,
    /// Requests answered, on time or late.
    pub answered: u64,
    /// Fraction of the requests answered late or failed. Rejected requests do
    /// not count as late.
    pub late: f64,
    /// As `late`, for the accounts within their quota.
    #[serde(rename = "late_quota")]
    pub late_within_quota: f64,
    /// The highest value of `late` of an account, without the greedy account.
    pub late_worst: f64,
    /// Fraction of the requests rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// As `rejected`, for the accounts within their quota.
    #[serde(rename = "refused_quota")]
    pub rejected_within_quota: f64,
    /// The lowest ratio, over the accounts, of requests answered on time to the
    /// account's fair share.
    #[serde(rename = "fair_worst")]
    pub fairness_worst: f64,
    /// Fraction of the work done by endpoints that was for requests not answered
    /// on time.
    pub wasted: f64,
    /// The median latency at the client, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency at the client, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency at the client, in milliseconds.
    pub p999_ms: f64,
}

/// An account is within its quota up to this multiple of its fair rate, plus the
/// sampling error.
const QUOTA_TOLERANCE: f64 = 1.001;

/// Returns the figures of a service from the outcomes and fair rates of its
/// accounts, measured over `duration_s`.
pub(crate) fn summarize(
    accounts: &[Account],
    fair_rates: &[f64],
    duration_s: f64,
    greedy: Option<usize>,
    wasted: f64,
) -> Summary {
    let offered = sum(accounts, |a| a.offered);
    let within_quota: Vec<_> = accounts
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
            sum(&within_quota, |a| a.late + a.failed),
            sum(&within_quota, |a| a.offered),
        ),
        late_worst: round(others.map(|(_, a)| a.late_fraction()).fold(0.0, f64::max)),
        rejected: fraction(sum(accounts, |a| a.rejected), offered),
        rejected_within_quota: fraction(
            sum(&within_quota, |a| a.rejected),
            sum(&within_quota, |a| a.offered),
        ),
        fairness_worst: round(fairness_worst(accounts, fair_rates, duration_s)),
        wasted: round(wasted),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        p999_ms: ms(0.999),
    }
}

/// Returns three standard deviations of the rate of `count` random arrivals in
/// `duration_s`.
fn sampling_error(count: u64, duration_s: f64) -> f64 {
    3.0 * (count as f64).sqrt() / duration_s
}

/// Returns the lowest ratio of requests answered on time to the fair share.
///
/// An account that offered less than its fair share is compared with what it
/// offered, because random arrivals may fall below the share.
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
        all.add(&account.latency)
            .expect("the histograms have the same bounds");
    }
    all
}

fn sum(accounts: &[Account], count: impl Fn(&Account) -> u64) -> u64 {
    accounts.iter().map(count).sum()
}

fn fraction(count: u64, total: u64) -> f64 {
    round(count as f64 / total.max(1) as f64)
}

/// Rounds to five decimal places, the resolution of a run of tens of thousands
/// of requests.
fn round(value: f64) -> f64 {
    (value * 1e5).round() / 1e5
}
