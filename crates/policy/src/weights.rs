//! Rollout of model weights: which endpoints load which version, and how many
//! at once.
//!
//! Endpoints of one failure domain load in waves. The number of concurrent
//! loads is bounded by the capacity floor that the model declares and by a
//! window that grows with each successful load and halves with each failed one,
//! so it adapts to the throughput of the weight store. A failed load is retried
//! with exponential backoff. An endpoint that keeps failing is excluded until
//! the next version.
//!
//! Orders carry an idempotency key made of endpoint, model and version, so an
//! order whose reply was lost can be repeated. The endpoint's report decides
//! whether the load is complete.

use std::time::Duration;

use board::{
    Board, Time,
    config::Capacity,
    endpoint::{self, Endpoint, State},
    hash::Map,
};

/// A version to load on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The endpoint.
    pub endpoint: endpoint::Key,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// How often the endpoint has gone back to an older version after it had
    /// loaded this one. An order of another round needs another key, since the
    /// endpoint may have stored the answer to the first.
    pub round: u32,
}

/// How a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint holds the version.
    Loaded,
    /// The endpoint still has the old version.
    Failed,
    /// The outcome is unknown until the endpoint reports its version.
    Unknown,
    /// A newer holder of the lease has sent orders, so this process must stop
    /// sending them.
    Stale,
}

/// Whether an endpoint stays in the rollout after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint stays in the rollout.
    Unchanged,
    /// The endpoint is excluded until the next version, and operators should be
    /// alerted.
    Excluded,
}

/// The attempts of one endpoint to load one version.
#[derive(Clone, Copy, Debug)]
struct Attempts {
    version: u64,
    failures: u32,
    next_attempt: Time,
    is_loading: bool,
    /// When the endpoint confirmed the version. Its reports may lag behind.
    loaded_at: Option<Time>,
    round: u32,
}

/// A load that may be in progress although its order is no longer awaited.
#[derive(Clone, Copy, Debug)]
struct Unsettled {
    endpoint: endpoint::Key,
    version: u64,
    /// When the load has ended at the latest.
    until: Time,
}

/// The rollout of weights in one failure domain.
#[derive(Clone, Debug)]
pub struct Rollout {
    attempts: Map<endpoint::Key, Attempts>,
    unsettled: Vec<Unsettled>,
    /// The number of concurrent loads allowed, adapted to successes and
    /// failures.
    window: f64,
}

/// Concurrent loads at the start.
const WINDOW_INITIAL: f64 = 4.0;
const WINDOW_MIN: f64 = 1.0;
const WINDOW_MAX: f64 = 256.0;
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(8);
const BACKOFF_DOUBLINGS_MAX: u32 = 5;
/// How long a load may go on after its order was given up. Repeats of the order
/// extend it.
const UNSETTLED_MAX: Duration = Duration::from_secs(30);
/// How much older a report may be than its age says, because ages are rounded
/// and don't include the time in transit.
const REPORT_LAG_MAX: Duration = Duration::from_secs(2);
/// The age from which a report is not compared with a load: ages between VMs
/// are bounded.
const REPORT_AGE_MAX: Duration = Duration::from_secs(10);
/// Consecutive failures after which an endpoint is excluded.
const FAILURES_MAX: u32 = 8;

impl Default for Rollout {
    fn default() -> Self {
        Self {
            attempts: Map::default(),
            unsettled: Vec::new(),
            window: WINDOW_INITIAL,
        }
    }
}

impl Rollout {
    /// Returns the swaps to start now in `failure_domain`, and marks them as
    /// loading.
    ///
    /// # Examples
    ///
    /// ```
    /// use board::{Board, Time};
    /// use tarragonseam_policy::weights::Rollout;
    ///
    /// let board = Board::new("vm-1", "a", 7);
    /// let mut rollout = Rollout::default();
    /// assert!(rollout.due(&board, Time::ZERO, "a").is_empty());
    /// ```
    pub fn due(&mut self, board: &Board, now: Time, failure_domain: &str) -> Vec<Swap> {
        self.attempts
            .retain(|key, _| board.endpoints.get(*key).is_some());
        self.settle_reported(board, now);
        let mut swaps = Vec::new();
        for (model, version) in &board.weights {
            let capacity = board.config.models.get(model).map(|model| model.capacity);
            let keys = endpoints_in(board, model, failure_domain);
            let loads_max = loads_max(board, failure_domain, model, capacity.unwrap_or_default());
            let mut loading = keys.iter().filter(|key| self.may_load(**key)).count();
            for key in keys {
                let is_counted = self.may_load(key);
                let is_below_floor = loading >= loads_max && !is_counted;
                let is_full = is_below_floor || self.running() >= self.window as usize;
                if is_full || !self.is_due(board, now, key, model, *version) {
                    continue;
                }
                loading += usize::from(!is_counted);
                let round = self.start(key, *version);
                swaps.push(Swap {
                    endpoint: key,
                    model: model.clone(),
                    version: *version,
                    round,
                });
            }
        }
        swaps
    }

    /// Records the outcome of a swap.
    pub fn finish(&mut self, now: Time, swap: &Swap, outcome: Outcome) -> Verdict {
        let Some(attempts) = self.attempts.get_mut(&swap.endpoint) else {
            return Verdict::Unchanged;
        };
        attempts.is_loading = false;
        // What is known of an earlier order for the same load changes only if the
        // endpoint holds the version: a failed repeat says nothing about it.
        if matches!(outcome, Outcome::Loaded | Outcome::Unknown) {
            self.unsettled.retain(|load| !load.is_of(swap));
        }
        match outcome {
            Outcome::Loaded => {
                attempts.failures = attempts.round;
                attempts.next_attempt = now + backoff(attempts.failures);
                attempts.loaded_at = (attempts.version == swap.version).then_some(now);
                self.window = (self.window + 1.0).min(WINDOW_MAX);
                Verdict::Unchanged
            }
            Outcome::Stale => {
                attempts.next_attempt = now + BACKOFF_MAX;
                Verdict::Unchanged
            }
            Outcome::Failed | Outcome::Unknown => {
                if outcome == Outcome::Unknown {
                    self.unsettled.push(Unsettled::new(swap, now));
                }
                attempts.next_attempt = now + backoff(attempts.failures);
                attempts.failures += 1;
                let is_excluded = attempts.failures == FAILURES_MAX;
                self.window = (self.window / 2.0).max(WINDOW_MIN);
                match is_excluded {
                    true => Verdict::Excluded,
                    false => Verdict::Unchanged,
                }
            }
        }
    }

    /// Returns how many orders are awaited.
    pub fn running(&self) -> usize {
        self.attempts
            .values()
            .filter(|attempts| attempts.is_loading)
            .count()
    }

    /// Returns whether the endpoint is loading, or may be.
    fn may_load(&self, key: endpoint::Key) -> bool {
        let attempts = self.attempts.get(&key);
        attempts.is_some_and(|attempts| attempts.is_loading)
            || self.unsettled.iter().any(|load| load.endpoint == key)
    }

    /// Removes the loads that have ended by `now`, or that the endpoint reports
    /// as complete.
    fn settle_reported(&mut self, board: &Board, now: Time) {
        self.unsettled.retain(|load| {
            let is_pending = |endpoint: &Endpoint| {
                endpoint.version(&endpoint.record.service) != Some(load.version)
            };
            now < load.until && board.endpoints.get(load.endpoint).is_some_and(is_pending)
        });
    }

    /// Marks the endpoint as loading and returns the round of the load.
    fn start(&mut self, key: endpoint::Key, version: u64) -> u32 {
        let initial = Attempts {
            version,
            failures: 0,
            next_attempt: Time::ZERO,
            is_loading: true,
            loaded_at: None,
            round: 0,
        };
        let attempts = self.attempts.entry(key).or_insert(initial);
        if attempts.version != version {
            *attempts = initial;
        }
        attempts.is_loading = true;
        if attempts.loaded_at.take().is_some() {
            attempts.round += 1;
        }
        attempts.round
    }

    fn is_due(
        &self,
        board: &Board,
        now: Time,
        key: endpoint::Key,
        model: &str,
        version: u64,
    ) -> bool {
        let Some(endpoint) = board.endpoints.get(key) else {
            return false;
        };
        if !is_behind(endpoint, model, version) {
            return false;
        }
        match self.attempts.get(&key) {
            None => true,
            Some(attempts) if attempts.is_loading => false,
            Some(attempts) if attempts.version < version => true,
            Some(attempts) => {
                attempts
                    .loaded_at
                    .is_none_or(|at| has_reported_since(endpoint, at))
                    && attempts.failures < FAILURES_MAX
                    && attempts.next_attempt <= now
            }
        }
    }
}

impl Unsettled {
    /// Returns the load that `swap`, whose outcome became unknown at `now`, may
    /// have started.
    fn new(swap: &Swap, now: Time) -> Self {
        Self {
            endpoint: swap.endpoint,
            version: swap.version,
            until: now + UNSETTLED_MAX,
        }
    }

    fn is_of(&self, swap: &Swap) -> bool {
        (self.endpoint, self.version) == (swap.endpoint, swap.version)
    }
}

/// Returns the delay before the attempt that follows `failures` and one more.
fn backoff(failures: u32) -> Duration {
    let doublings = failures.min(BACKOFF_DOUBLINGS_MAX);
    (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX)
}

/// Returns whether the endpoint's last report was certainly made after `time`.
fn has_reported_since(endpoint: &Endpoint, time: Time) -> bool {
    endpoint.load.as_ref().is_some_and(|(received, load)| {
        let age = Duration::from_millis(load.age_ms);
        age <= REPORT_AGE_MAX && *received - age > time + REPORT_LAG_MAX
    })
}

fn is_behind(endpoint: &Endpoint, model: &str, version: u64) -> bool {
    endpoint.record.state == State::Ready
        && endpoint.version(model).is_some_and(|held| held < version)
}

/// Returns the endpoints of `model` in `failure_domain`, those with the oldest
/// version first, because they are the least useful ones.
fn endpoints_in(board: &Board, model: &str, failure_domain: &str) -> Vec<endpoint::Key> {
    let mut keys: Vec<_> = board
        .endpoints
        .of_service(model)
        .iter()
        .copied()
        .filter_map(|key| Some((key, board.endpoints.get(key)?)))
        .filter(|(_, endpoint)| endpoint.record.failure_domain == failure_domain)
        .map(|(key, endpoint)| (endpoint.version(model), key))
        .collect();
    keys.sort();
    keys.into_iter().map(|(_, key)| key).collect()
}

/// Returns how many endpoints of `model` may load at once in `failure_domain`
/// while the others keep the floor. At least one always may: an endpoint that
/// is busy loading does less harm than weights that are never updated.
fn loads_max(board: &Board, failure_domain: &str, model: &str, capacity: Capacity) -> usize {
    let is_ready = |key: &endpoint::Key| {
        let endpoint = board.endpoints.get(*key);
        endpoint.is_some_and(|endpoint| endpoint.record.state == State::Ready)
    };
    let all = board.endpoints.of_service(model);
    let ready = all.iter().filter(|key| is_ready(key)).count();
    let local = endpoints_in(board, model, failure_domain);
    let ready_local = local.iter().filter(|key| is_ready(key)).count();
    // Other failure domains load at the same time, so each gets a share of the
    // endpoints above the floor in proportion to its size.
    let above_floor = ready.saturating_sub(capacity.floor as usize);
    let share = above_floor * ready_local / ready.max(1);
    share.max(1)
}
