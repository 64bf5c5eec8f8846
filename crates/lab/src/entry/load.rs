//! Load on one address or on two in turn, from threads of this process.
//!
//! An open loop sends at times drawn before, whatever became of the calls so
//! far, and counts latency from the time at which a call was due: a server
//! that stalls is charged for every call that it made late. A closed loop
//! sends the next call once the last is answered, and so finds the highest
//! rate.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use link::http::{Limits, Pool, client::Call};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// What to call, and where.
#[derive(Clone)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    /// Returns a call by its number, which no other call of this loop has.
    pub(super) call: Arc<dyn Fn(u64) -> Call + Send + Sync>,
}

/// What came of the calls to one target.
#[derive(Clone)]
pub(super) struct Tally {
    /// Time to the first part of the answer's body, in nanoseconds.
    pub(super) first: Histogram<u64>,
    pub(super) answered: u64,
    pub(super) failed: u64,
}

const HIGHEST_NS: u64 = 60_000_000_000;
const DIGITS: u8 = 3;

impl Tally {
    fn new() -> Self {
        let first = Histogram::new_with_bounds(1, HIGHEST_NS, DIGITS);
        Self {
            first: first.expect("the bounds are in order"),
            answered: 0,
            failed: 0,
        }
    }

    fn note(&mut self, first: Option<Duration>) {
        match first {
            Some(took) => {
                self.answered += 1;
                self.first.saturating_record(took.as_nanos() as u64);
            }
            None => self.failed += 1,
        }
    }

    fn add(mut self, other: &Self) -> Self {
        self.answered += other.answered;
        self.failed += other.failed;
        self.first
            .add(&other.first)
            .expect("histograms of the same bounds");
        self
    }
}

/// Threads that send; one would be the bottleneck before the entry daemon is.
const THREADS: u64 = 2;
const CONNECTIONS_EACH: u64 = 32;

/// Connections of a closed loop.
pub(super) const CONNECTIONS: u64 = THREADS * CONNECTIONS_EACH;

const CALL_TIME: Duration = Duration::from_secs(10);

/// A loop ends here, whatever its time.
const CALLS_MAX: u64 = 2_000_000;

/// Calls of an open loop under way at once; later ones wait and are charged
/// for it.
const OPEN_MAX: u64 = 2_000;

const DRAIN_POLL: Duration = Duration::from_millis(1);

/// Sends on every connection as fast as answers come, for `time`.
pub(super) fn closed(target: &Target, time: Duration) -> Tally {
    let parts = threads(|thread| {
        let target = target.clone();
        move || link::runtime::run(closed_thread(target, thread, time))
    });
    sum(parts.into_iter().map(|part| vec![part])).remove(0)
}

/// Sends to `targets` in turn, `rate` calls a second to each, for `time`.
pub(super) fn open(targets: &[Target], rate: f64, time: Duration, seed: u64) -> Vec<Tally> {
    let all = rate * targets.len() as f64 / THREADS as f64;
    let parts = threads(|thread| {
        let targets = targets.to_vec();
        move || {
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(thread));
            link::runtime::run(open_thread(targets, thread, all, time, rng))
        }
    });
    sum(parts)
}

fn threads<T, F>(work: impl Fn(u64) -> F) -> Vec<T>
where
    T: Send + 'static,
    F: FnOnce() -> std::io::Result<T> + Send + 'static,
{
    let running: Vec<_> = (0..THREADS).map(|n| thread::spawn(work(n))).collect();
    let done = running.into_iter().map(|thread| thread.join());
    done.map(|part| part.expect("a thread without panic").expect("a runtime"))
        .collect()
}

fn sum(parts: impl IntoIterator<Item = Vec<Tally>>) -> Vec<Tally> {
    let add = |all: Vec<Tally>, part: Vec<Tally>| {
        let pairs = all.into_iter().zip(&part);
        pairs.map(|(tally, other)| tally.add(other)).collect()
    };
    parts.into_iter().reduce(add).unwrap_or_default()
}

async fn closed_thread(target: Target, thread: u64, time: Duration) -> Tally {
    let pool = Pool::new(Limits::new());
    let tally = Rc::new(RefCell::new(Tally::new()));
    let number = Rc::new(Cell::new(0));
    let end = Instant::now() + time;
    let tasks: Vec<_> = (0..CONNECTIONS_EACH)
        .map(|_| {
            let (pool, tally, number) = (pool.clone(), tally.clone(), number.clone());
            let target = target.clone();
            monoio::spawn(async move {
                while Instant::now() < end && number.get() < CALLS_MAX / THREADS {
                    let mine = number.replace(number.get() + 1);
                    let took = one(&pool, &target, mine * THREADS + thread, Instant::now()).await;
                    tally.borrow_mut().note(took);
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let tally = tally.borrow();
    tally.clone()
}

async fn open_thread(
    targets: Vec<Target>,
    thread: u64,
    rate: f64,
    time: Duration,
    mut rng: SmallRng,
) -> Vec<Tally> {
    let tallies: Vec<_> = targets
        .iter()
        .map(|_| Rc::new(RefCell::new(Tally::new())))
        .collect();
    let shared = tallies.clone();
    // A task of its own: the runtime polls its first future again without
    // looking at sockets in between.
    let sending = monoio::spawn(async move {
        let pool = Pool::new(Limits::new());
        let under_way = Rc::new(Cell::new(0));
        let start = Instant::now();
        let mut due = start;
        for number in 0..CALLS_MAX / THREADS {
            due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            if due > start + time {
                break;
            }
            while Instant::now() < due || under_way.get() >= OPEN_MAX {
                turn().await;
            }
            let place = number as usize % targets.len();
            let (pool, target) = (pool.clone(), targets[place].clone());
            let (tally, under_way) = (shared[place].clone(), under_way.clone());
            under_way.set(under_way.get() + 1);
            monoio::spawn(async move {
                let took = one(&pool, &target, number * THREADS + thread, due).await;
                tally.borrow_mut().note(took);
                under_way.set(under_way.get() - 1);
            });
        }
        // Timers, and so the time limits of calls, need an idle runtime.
        while under_way.get() > 0 {
            monoio::time::sleep(DRAIN_POLL).await;
        }
    });
    sending.await;
    tallies.iter().map(|tally| tally.borrow().clone()).collect()
}

/// Lets other tasks and the sockets have a turn. Timers of the runtime are in
/// steps of a millisecond, too coarse to send by, and a task that wakes itself
/// is polled again before any socket is looked at.
async fn turn() {
    monoio::spawn(async {}).await;
}

/// Sends one call and reads its whole answer; returns the time from `due` to
/// the first part of the body.
async fn one(pool: &Pool, target: &Target, number: u64, due: Instant) -> Option<Duration> {
    let call = (target.call)(number).deadline(CALL_TIME);
    let mut answer = pool.send(target.address, call).await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    answer.next(CALL_TIME).await?.ok()?;
    let first = due.elapsed();
    while let Some(part) = answer.next(CALL_TIME).await {
        part.ok()?;
    }
    Some(first)
}
