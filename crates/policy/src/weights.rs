//! Which endpoints should load which version of a model's weights, and how
//! many at once.
//!
//! Endpoints of one failure domain load in waves. The number that load at once
//! is bounded by the floor of serving capacity that the model declares, and by
//! a window that grows while loads succeed and halves when they fail, so that
//! it follows the rate of the weight store. A failed load is repeated after an
//! exponentially growing pause; an endpoint that keeps failing is set aside
//! until the next version.
//!
//! Orders carry a key made of endpoint, model and version, so that repeating
//! an order whose reply was lost is harmless; what the endpoint reports decides
//! whether it is done.

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
    /// The version.
    pub version: u64,
}

/// How a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint holds the version.
    Loaded,
    /// The endpoint kept the old version.
    Failed,
    /// The outcome is not known; the endpoint's report will tell.
    Unknown,
    /// A newer holder of the lease has given orders: this process must stop.
    Stale,
}

/// What a caller does after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    None,
    /// The endpoint was set aside: tell the operators.
    SetAside,
}

/// One endpoint's loads of one version.
#[derive(Clone, Copy, Debug)]
struct Try {
    version: u64,
    failures: u32,
    next: Time,
    is_running: bool,
    /// The endpoint said that it holds the version, which its reports may
    /// still lag behind.
    is_loaded: bool,
}

/// The rollout of weights in one failure domain.
#[derive(Clone, Debug)]
pub struct Rollout {
    tries: Map<endpoint::Key, Try>,
    window: f64,
}

/// Loads at once to begin with.
const WINDOW_FIRST: f64 = 4.0;
const WINDOW_MIN: f64 = 1.0;
const WINDOW_MAX: f64 = 256.0;
const PAUSE_FIRST: Duration = Duration::from_millis(250);
const PAUSE_MAX: Duration = Duration::from_secs(8);
const PAUSE_DOUBLINGS: u32 = 5;
/// Failures in a row after which an endpoint is set aside.
const FAILURES_MAX: u32 = 8;

impl Default for Rollout {
    fn default() -> Self {
        Self {
            tries: Map::default(),
            window: WINDOW_FIRST,
        }
    }
}

impl Rollout {
    /// Returns the swaps to start now in `failure_domain`, and notes them as
    /// running.
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
        self.tries
            .retain(|key, _| board.endpoints.get(*key).is_some());
        let mut swaps = Vec::new();
        for (model, version) in &board.weights {
            let capacity = board.config.models.get(model).map(|model| model.capacity);
            let keys = here(board, model, failure_domain);
            let may_load = spare(board, failure_domain, model, capacity.unwrap_or_default());
            let is_running =
                |key: &&endpoint::Key| self.tries.get(key).is_some_and(|t| t.is_running);
            let mut loading = keys.iter().filter(is_running).count();
            for key in keys {
                let is_full = loading >= may_load || self.running() >= self.window as usize;
                if is_full || !self.is_due(board, now, key, model, *version) {
                    continue;
                }
                loading += 1;
                self.start(key, *version);
                swaps.push(Swap {
                    endpoint: key,
                    model: model.clone(),
                    version: *version,
                });
            }
        }
        swaps
    }

    /// Notes how a swap ended.
    pub fn finish(&mut self, now: Time, swap: &Swap, outcome: Outcome) -> Verdict {
        let Some(known) = self.tries.get_mut(&swap.endpoint) else {
            return Verdict::None;
        };
        known.is_running = false;
        match outcome {
            Outcome::Loaded => {
                known.failures = 0;
                known.is_loaded = known.version == swap.version;
                self.window = (self.window + 1.0).min(WINDOW_MAX);
                Verdict::None
            }
            Outcome::Stale => {
                known.next = now + PAUSE_MAX;
                Verdict::None
            }
            Outcome::Failed | Outcome::Unknown => {
                let doublings = known.failures.min(PAUSE_DOUBLINGS);
                known.next = now + (PAUSE_FIRST * 2_u32.pow(doublings)).min(PAUSE_MAX);
                known.failures += 1;
                let is_last = known.failures == FAILURES_MAX;
                self.window = (self.window / 2.0).max(WINDOW_MIN);
                match is_last {
                    true => Verdict::SetAside,
                    false => Verdict::None,
                }
            }
        }
    }

    /// Returns how many loads run.
    pub fn running(&self) -> usize {
        self.tries.values().filter(|known| known.is_running).count()
    }

    fn start(&mut self, key: endpoint::Key, version: u64) {
        let fresh = Try {
            version,
            failures: 0,
            next: Time::ZERO,
            is_running: true,
            is_loaded: false,
        };
        let known = self.tries.entry(key).or_insert(fresh);
        if known.version != version {
            *known = fresh;
        }
        known.is_running = true;
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
        match self.tries.get(&key) {
            None => true,
            Some(known) if known.is_running => false,
            Some(known) if known.version < version => true,
            Some(known) => !known.is_loaded && known.failures < FAILURES_MAX && known.next <= now,
        }
    }
}

fn is_behind(endpoint: &Endpoint, model: &str, version: u64) -> bool {
    endpoint.record.state == State::Ready
        && endpoint.version(model).is_some_and(|held| held < version)
}

/// Returns the endpoints of `model` in `failure_domain`, those furthest behind
/// first: they are the least useful ones.
fn here(board: &Board, model: &str, failure_domain: &str) -> Vec<endpoint::Key> {
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
/// while the others keep the floor. One always may: weights that never come
/// into force harm more than one endpoint that is busy loading.
fn spare(board: &Board, failure_domain: &str, model: &str, capacity: Capacity) -> usize {
    let is_ready = |key: &endpoint::Key| {
        let endpoint = board.endpoints.get(*key);
        endpoint.is_some_and(|endpoint| endpoint.record.state == State::Ready)
    };
    let all = board.endpoints.of_service(model);
    let ready = all.iter().filter(|key| is_ready(key)).count();
    let here = here(board, model, failure_domain);
    let ready_here = here.iter().filter(|key| is_ready(key)).count();
    // Other failure domains load at the same time, so each takes a share of
    // what is above the floor, by its size.
    let above = ready.saturating_sub(capacity.floor as usize);
    let share = above * ready_here / ready.max(1);
    share.max(1)
}
