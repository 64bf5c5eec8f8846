//! Structured logs through spdlog-rs, with one JSON object per line.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

pub use spdlog::sink::StdStream;
use spdlog::{
    ErrorHandler, LevelFilter, Logger, Record,
    formatter::{Formatter, JsonFormatter},
    sink::{AsyncPoolSink, OverflowPolicy, Sink, SinkPropAccess, StdStreamSink},
};

/// The sustained rate of lines that a bounded log accepts. A request or an item
/// logs one or two lines, and a VM serves some tens of them per second.
const LINES_PER_S_MAX: f64 = 200.0;
/// The lines that a bounded log accepts in a burst, such as those of a job that
/// is taken over.
const LINES_BURST_MAX: f64 = 1000.0;

/// Lines dropped since the last call of [`take_dropped`].
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends the logs of this process to standard error under `name`.
///
/// # Errors
///
/// The error of the logger, such as an invalid name.
pub fn start(name: &str) -> Result<(), spdlog::Error> {
    set_default(name, stream(StdStream::Stderr)?)
}

/// Sends the logs of this process to standard output under `name`. Logging
/// never blocks on a slow reader: lines that exceed the rate limit or the queue
/// are dropped, and [`take_dropped`] counts them.
///
/// # Errors
///
/// As [`start`].
pub fn start_bounded(name: &str) -> Result<(), spdlog::Error> {
    let writer = AsyncPoolSink::builder()
        .sink(stream(StdStream::Stdout)?)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let bucket = Bucket::new(LINES_PER_S_MAX, LINES_BURST_MAX, Instant::now());
    let bounded = Bounded {
        writer,
        bucket: Mutex::new(bucket),
    };
    set_default(name, Arc::new(bounded))
}

/// Returns how many lines were dropped since the last call, and resets the
/// count.
pub fn take_dropped() -> u64 {
    DROPPED.swap(0, Ordering::Relaxed)
}

fn stream(stream: StdStream) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let sink = StdStreamSink::builder()
        .std_stream(stream)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    Ok(sink)
}

fn set_default(name: &str, sink: Arc<dyn Sink>) -> Result<(), spdlog::Error> {
    let logger = Logger::builder().name(name).sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// A token bucket that limits log lines.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Returns a full bucket that admits `burst` lines at once and `rate` lines
    /// per second.
    pub fn new(rate: f64, burst: f64, refilled_at: Instant) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at,
        }
    }

    /// Spends a token for one line at `now` and returns whether there was one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use tarragonseam_link::log::Bucket;
    ///
    /// let start = Instant::now();
    /// let mut bucket = Bucket::new(1.0, 2.0, start);
    /// assert!(bucket.try_acquire(start) && bucket.try_acquire(start) && !bucket.try_acquire(start));
    /// assert!(bucket.try_acquire(start + Duration::from_secs(1)));
    /// ```
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = self.burst.min(self.tokens + elapsed_s * self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A sink that drops lines beyond a rate.
struct Bounded {
    writer: Arc<AsyncPoolSink>,
    bucket: Mutex<Bucket>,
}

impl SinkPropAccess for Bounded {
    fn level_filter(&self) -> LevelFilter {
        self.writer.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.writer.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.writer.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.writer.set_error_handler(handler);
    }
}

impl Sink for Bounded {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let is_admitted = bucket.try_acquire(Instant::now());
        drop(bucket);
        if !is_admitted || self.writer.log(record).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.writer.flush()
    }

    fn flush_on_exit(&self) -> spdlog::Result<()> {
        self.writer.flush_on_exit()
    }
}
