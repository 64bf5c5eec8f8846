//! A reader that enforces byte and time limits below the HTTP decoder.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    io,
    pin::pin,
    rc::Rc,
    task::Context,
    time::{Duration, Instant},
};

use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
};

use super::memory::{Charge, Holding};

/// A limit that a read can exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Limit {
    Bytes,
    Time,
    /// The budget of the server's memory.
    Memory,
}

/// The limits in force, shared by the reader and the owner of the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget(Rc<State>);

#[derive(Debug, Default)]
struct State {
    remaining_bytes: Cell<usize>,
    deadline: Cell<Option<Instant>>,
    /// The time limit that starts with the first byte of a head, while that
    /// byte has not arrived.
    head_timeout: Cell<Option<Duration>>,
    pace: Cell<Option<Pace>>,
    exceeded: Cell<Option<Limit>>,
    received_bytes: Cell<usize>,
    /// What the head of a request in progress is charged to.
    head_charge: RefCell<Option<Charge>>,
    /// What the head of an answer in progress holds.
    head_holding: RefCell<Option<Holding>>,
}

/// How fast the peer has to send: `min_bytes` in each `time`.
#[derive(Clone, Copy, Debug)]
struct Pace {
    min_bytes: usize,
    time: Duration,
    /// How many bytes have arrived in the current period.
    bytes: usize,
    /// When the current period ends.
    end: Instant,
}

impl Pace {
    fn new(min_bytes: usize, time: Duration) -> Self {
        Self {
            min_bytes,
            time,
            bytes: 0,
            end: Instant::now() + time,
        }
    }

    /// Returns the pace after `read` more bytes. A new period starts as soon as
    /// enough have arrived.
    fn after(self, read: usize) -> Self {
        let bytes = self.bytes + read;
        match bytes >= self.min_bytes {
            true => Self::new(self.min_bytes, self.time),
            false => Self { bytes, ..self },
        }
    }
}

/// The minimum pace of a request's body: about 13 KB/s. A link of 45 Mbit/s that a hundred
/// bodies share still carries four times as much.
const PACE_BYTES: usize = 64 * 1024;
const PACE_TIME: Duration = Duration::from_secs(5);

impl Budget {
    /// Returns a budget that charges heads to `charge`.
    pub(crate) fn charging_heads(charge: Charge) -> Self {
        let budget = Self::default();
        *budget.0.head_charge.borrow_mut() = Some(charge);
        budget
    }

    /// Allows a body, whose size is limited elsewhere, within `time` from now and
    /// at the minimum pace.
    pub(crate) fn allow_body(&self, time: Duration) {
        self.allow(usize::MAX, time);
        self.0.pace.set(Some(Pace::new(PACE_BYTES, PACE_TIME)));
    }

    /// Allows a body, whose size is limited elsewhere, as long as no more than
    /// `time` passes without a byte.
    pub(crate) fn allow_while_sending(&self, time: Duration) {
        self.allow(usize::MAX, time);
        self.0.deadline.set(None);
        self.0.pace.set(Some(Pace::new(1, time)));
    }

    /// Allows `bytes` more bytes within `time` from now.
    pub(crate) fn allow(&self, bytes: usize, time: Duration) {
        self.0.remaining_bytes.set(bytes);
        self.0.deadline.set(Some(Instant::now() + time));
        self.0.head_timeout.set(None);
        self.0.pace.set(None);
        self.0.received_bytes.set(0);
    }

    /// Allows `bytes` more bytes within `time` from the arrival of the first
    /// one, for which there is no time limit.
    pub(crate) fn allow_head(&self, bytes: usize, time: Duration) {
        self.allow(bytes, time);
        self.0.deadline.set(None);
        self.0.head_timeout.set(Some(time));
        if let Some(charge) = &mut *self.0.head_charge.borrow_mut() {
            charge.clear();
        }
    }

    /// Sets what the head of an answer holds until it is complete, which is then `None`.
    pub(crate) fn set_head_holding(&self, holding: Option<Holding>) {
        *self.0.head_holding.borrow_mut() = holding;
    }

    /// Returns the limit that was exceeded, if any.
    pub(crate) fn exceeded(&self) -> Option<Limit> {
        self.0.exceeded.get()
    }

    /// Returns how many bytes arrived since the last call of [`Budget::allow`]
    /// or [`Budget::allow_head`].
    pub(crate) fn received_bytes(&self) -> usize {
        self.0.received_bytes.get()
    }

    /// Returns whether the first byte of a head has not arrived yet.
    fn is_awaiting_head(&self) -> bool {
        self.0.head_timeout.get().is_some()
    }

    fn remaining_time(&self) -> Option<Duration> {
        let pace_end = self.0.pace.get().map(|pace| pace.end);
        let deadline = self.0.deadline.get().into_iter().chain(pace_end).min()?;
        Some(deadline.saturating_duration_since(Instant::now()))
    }

    fn record(&self, read: usize) -> io::Result<()> {
        self.0
            .received_bytes
            .set(self.0.received_bytes.get() + read);
        if let Some(time) = self.0.head_timeout.take() {
            self.0.deadline.set(Some(Instant::now() + time));
        }
        if let Some(pace) = self.0.pace.get() {
            self.0.pace.set(Some(pace.after(read)));
        } else if let Some(charge) = &mut *self.0.head_charge.borrow_mut()
            && !charge.try_grow_to(self.0.received_bytes.get())
        {
            return Err(self.exceed(Limit::Memory));
        }
        if let Some(holding) = &mut *self.0.head_holding.borrow_mut()
            && !holding.try_hold(self.0.received_bytes.get())
        {
            return Err(self.exceed(Limit::Memory));
        }
        if read > self.0.remaining_bytes.get() {
            return Err(self.exceed(Limit::Bytes));
        }
        self.0
            .remaining_bytes
            .set(self.0.remaining_bytes.get() - read);
        Ok(())
    }

    fn exceed(&self, exceeded: Limit) -> io::Error {
        self.0.exceeded.set(Some(exceeded));
        match exceeded {
            Limit::Bytes => io::Error::new(io::ErrorKind::InvalidData, "byte limit reached"),
            Limit::Time => io::Error::new(io::ErrorKind::TimedOut, "time limit reached"),
            Limit::Memory => io::Error::new(io::ErrorKind::OutOfMemory, "no room for the head"),
        }
    }
}

/// A reader that enforces the limits of a [`Budget`], and lets other tasks run while
/// its peer always has more bytes.
#[derive(Debug)]
pub(crate) struct Guard<R> {
    inner: R,
    budget: Budget,
    /// The reads since the last one that had to wait for the peer.
    turn: Option<Turn>,
}

/// Consecutive reads for which the bytes were there already.
#[derive(Clone, Copy, Debug)]
struct Turn {
    start: Instant,
    reads: u32,
}

impl Turn {
    fn is_over(self) -> bool {
        self.reads >= TURN_READS_MIN && self.start.elapsed() >= TURN_TIME
    }
}

impl<R> Guard<R> {
    pub(crate) fn new(inner: R, budget: Budget) -> Self {
        Self {
            inner,
            budget,
            turn: None,
        }
    }

    /// Records a read, which may have waited for the peer.
    fn record_read(&mut self, has_waited: bool) {
        if has_waited {
            self.turn = None;
            return;
        }
        let start = self.turn.map_or_else(Instant::now, |turn| turn.start);
        let reads = self.turn.map_or(0, |turn| turn.reads) + 1;
        self.turn = Some(Turn { start, reads });
    }
}

/// How long a connection is read, and what it sends is decoded, before other tasks get
/// a turn.
const TURN_TIME: Duration = Duration::from_millis(5);
/// The minimum number of reads in a turn. Fewer can be those of several requests, with
/// other work in between.
const TURN_READS_MIN: u32 = 8;
/// The pause after a turn. The runtime does not look at its timers while any task is
/// ready, so it takes a timer of its own, of which this is the shortest.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// Awaits `future`, and sets `has_waited` if it was not ready at once.
async fn observe_wait<F: Future>(future: F, has_waited: &mut bool) -> F::Output {
    let mut future = pin!(future);
    let poll = |context: &mut Context| {
        let polled = future.as_mut().poll(context);
        *has_waited |= polled.is_pending();
        polled
    };
    poll_fn(poll).await
}

impl<R: AsyncReadRent> AsyncReadRent for Guard<R> {
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        // A read that is cancelled loses its buffer, so the read uses a scratch
        // buffer that is copied to `buf`. While the connection waits for a
        // head, this buffer is small, since an idle connection holds it for
        // long.
        let max_bytes = if self.budget.is_awaiting_head() {
            IDLE_READ_BYTES_MAX
        } else {
            READ_BYTES_MAX
        };
        let capacity = buf.bytes_total().min(max_bytes);
        if self.turn.is_some_and(Turn::is_over) {
            monoio::time::sleep(TURN_PAUSE).await;
            self.turn = None;
        }
        let scratch = Vec::with_capacity(capacity);
        let remaining_time = self.budget.remaining_time().unwrap_or(Duration::MAX);
        let mut has_waited = false;
        let reading = observe_wait(self.inner.read(scratch), &mut has_waited);
        let outcome = if remaining_time == Duration::MAX {
            Ok(reading.await)
        } else {
            monoio::time::timeout(remaining_time, reading).await
        };
        self.record_read(has_waited);
        let Ok((result, scratch)) = outcome else {
            return (Err(self.budget.exceed(Limit::Time)), buf);
        };
        let read = match result {
            Ok(read) => read,
            Err(e) => return (Err(e), buf),
        };
        if read > 0
            && let Err(e) = self.budget.record(read)
        {
            return (Err(e), buf);
        }
        // SAFETY: `scratch` holds `read` initialised bytes, and `buf` has space
        // for `capacity >= read` bytes from `write_ptr` on.
        unsafe {
            buf.write_ptr()
                .copy_from_nonoverlapping(scratch.as_ptr(), read);
            buf.set_init(read);
        }
        (Ok(read), buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let result = self.inner.readv(buf).await;
        match result {
            (Ok(read), buf) if read > 0 => match self.budget.record(read) {
                Ok(()) => (Ok(read), buf),
                Err(e) => (Err(e), buf),
            },
            other => other,
        }
    }
}

/// The maximum size of one read, and therefore by how much a byte limit can be
/// exceeded before the read fails.
pub(crate) const READ_BYTES_MAX: usize = 16 * 1024;
const IDLE_READ_BYTES_MAX: usize = 1024;
