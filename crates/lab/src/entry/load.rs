//! Load generators that run in threads of this process.
//!
//! An open loop sends calls at random times that do not depend on earlier
//! answers. It measures latency from the time at which a call was due, so a
//! stall of the server counts for every call that it delayed. A closed loop
//! sends the next call on a connection once the last one is answered, which
//! finds the highest rate.

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

/// An address, and the calls to send to it.
#[derive(Clone)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    /// Creates a call from a number that is unique within a loop.
    pub(super) new_call: Arc<dyn Fn(u64) -> Call + Send + Sync>,
}

/// The results of the calls to one target.
#[derive(Clone)]
pub(super) struct Tally {
    /// Time to the first part of the response body, in nanoseconds.
    pub(super) first_byte_ns: Histogram<u64>,
    /// Calls with a complete, successful response.
    pub(super) answered: u64,
    pub(super) failed: u64,
}

const LATENCY_MAX_NS: u64 = 60_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

impl Tally {
    fn new() -> Self {
        let first_byte_ns = Histogram::new_with_bounds(1, LATENCY_MAX_NS, SIGNIFICANT_DIGITS);
        Self {
            first_byte_ns: first_byte_ns.expect("the bounds are in order"),
            answered: 0,
            failed: 0,
        }
    }

    /// Records a call by its time to the first part of the body, or a failed
    /// call.
    fn record(&mut self, first_byte: Option<Duration>) {
        match first_byte {
            Some(latency) => {
                self.answered += 1;
                self.first_byte_ns
                    .saturating_record(latency.as_nanos() as u64);
            }
            None => self.failed += 1,
        }
    }

    fn merge(mut self, other: &Self) -> Self {
        self.answered += other.answered;
        self.failed += other.failed;
        self.first_byte_ns
            .add(&other.first_byte_ns)
            .expect("the histograms have the same bounds");
        self
    }
}

/// Sending threads. A single one would be saturated before the entry daemon.
const THREADS: u64 = 2;
const CONNECTIONS_PER_THREAD: u64 = 32;

/// Connections of a closed loop, over all threads.
pub(super) const CONNECTIONS: u64 = THREADS * CONNECTIONS_PER_THREAD;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A loop ends after this many calls, even before its duration is over.
const CALLS_PER_LOOP_MAX: u64 = 2_000_000;

/// Calls in flight per thread of an open loop. Further calls wait, and the wait
/// counts as latency.
const IN_FLIGHT_MAX: u64 = 2_000;

/// How often an open loop checks whether its last calls have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Sends the next call on each connection as soon as the last one is answered,
/// for `duration`.
pub(super) fn run_closed_loop(target: &Target, duration: Duration) -> Tally {
    let tallies = run_threads(|thread| {
        let target = target.clone();
        move || link::runtime::run(run_closed_loop_thread(target, thread, duration))
    });
    merge_tallies(tallies.into_iter().map(|tally| vec![tally])).remove(0)
}

/// Sends `rate` calls per second to each of `targets`, in turn, for `duration`.
pub(super) fn run_open_loop(
    targets: &[Target],
    rate: f64,
    duration: Duration,
    seed: u64,
) -> Vec<Tally> {
    let thread_rate = rate * targets.len() as f64 / THREADS as f64;
    let tallies = run_threads(|thread| {
        let targets = targets.to_vec();
        move || {
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(thread));
            link::runtime::run(run_open_loop_thread(
                targets,
                thread,
                thread_rate,
                duration,
                rng,
            ))
        }
    });
    merge_tallies(tallies)
}

/// Runs `work` on each thread and returns the results of all threads.
fn run_threads<T, F>(work: impl Fn(u64) -> F) -> Vec<T>
where
    T: Send + 'static,
    F: FnOnce() -> std::io::Result<T> + Send + 'static,
{
    let running: Vec<_> = (0..THREADS).map(|n| thread::spawn(work(n))).collect();
    let done = running.into_iter().map(|thread| thread.join());
    done.map(|part| {
        part.expect("the thread does not panic")
            .expect("the runtime starts")
    })
    .collect()
}

/// Merges the tallies of all threads, target by target.
fn merge_tallies(tallies: impl IntoIterator<Item = Vec<Tally>>) -> Vec<Tally> {
    let merge = |all: Vec<Tally>, part: Vec<Tally>| {
        let pairs = all.into_iter().zip(&part);
        pairs.map(|(tally, other)| tally.merge(other)).collect()
    };
    tallies.into_iter().reduce(merge).unwrap_or_default()
}

async fn run_closed_loop_thread(target: Target, thread: u64, duration: Duration) -> Tally {
    let pool = Pool::new(Limits::new());
    let tally = Rc::new(RefCell::new(Tally::new()));
    let number = Rc::new(Cell::new(0));
    let end = Instant::now() + duration;
    let tasks: Vec<_> = (0..CONNECTIONS_PER_THREAD)
        .map(|_| {
            let (pool, tally, number) = (pool.clone(), tally.clone(), number.clone());
            let target = target.clone();
            monoio::spawn(async move {
                while Instant::now() < end && number.get() < CALLS_PER_LOOP_MAX / THREADS {
                    let index = number.replace(number.get() + 1);
                    let latency =
                        send_call(&pool, &target, index * THREADS + thread, Instant::now()).await;
                    tally.borrow_mut().record(latency);
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

async fn run_open_loop_thread(
    targets: Vec<Target>,
    thread: u64,
    rate: f64,
    duration: Duration,
    mut rng: SmallRng,
) -> Vec<Tally> {
    let tallies: Vec<_> = targets
        .iter()
        .map(|_| Rc::new(RefCell::new(Tally::new())))
        .collect();
    let task_tallies = tallies.clone();
    // Send from a spawned task, because the runtime polls its main future
    // repeatedly without polling sockets in between.
    let sender = monoio::spawn(async move {
        let pool = Pool::new(Limits::new());
        let in_flight = Rc::new(Cell::new(0));
        let start = Instant::now();
        let mut due = start;
        for number in 0..CALLS_PER_LOOP_MAX / THREADS {
            due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            if due > start + duration {
                break;
            }
            while Instant::now() < due || in_flight.get() >= IN_FLIGHT_MAX {
                yield_now().await;
            }
            let index = number as usize % targets.len();
            let (pool, target) = (pool.clone(), targets[index].clone());
            let (tally, in_flight) = (task_tallies[index].clone(), in_flight.clone());
            in_flight.set(in_flight.get() + 1);
            monoio::spawn(async move {
                let latency = send_call(&pool, &target, number * THREADS + thread, due).await;
                tally.borrow_mut().record(latency);
                in_flight.set(in_flight.get() - 1);
            });
        }
        // Sleep instead of yielding: the runtime fires timers, and so the
        // timeouts of calls, only when it is idle.
        while in_flight.get() > 0 {
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    });
    sender.await;
    tallies.iter().map(|tally| tally.borrow().clone()).collect()
}

/// Yields to other tasks and to the polling of sockets. Runtime timers have a
/// resolution of a millisecond, too coarse for the send times, and a task that
/// wakes itself is polled again before any socket.
async fn yield_now() {
    monoio::spawn(async {}).await;
}

/// Sends one call and reads the complete response. Returns the time from `due`
/// to the first part of the body, or `None` when the call fails.
async fn send_call(pool: &Pool, target: &Target, number: u64, due: Instant) -> Option<Duration> {
    let call = (target.new_call)(number).deadline(CALL_TIMEOUT);
    let mut answer = pool.send(target.address, call).await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    answer.next(CALL_TIMEOUT).await?.ok()?;
    let first_byte = due.elapsed();
    while let Some(part) = answer.next(CALL_TIMEOUT).await {
        part.ok()?;
    }
    Some(first_byte)
}
