//! A reader that enforces byte and time limits below the HTTP decoder.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
};

/// Which limit ended a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trip {
    Bytes,
    Time,
}

/// The limit in force, shared by the reader and the connection's owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget(Rc<State>);

#[derive(Debug, Default)]
struct State {
    bytes: Cell<usize>,
    deadline: Cell<Option<Instant>>,
    /// Time granted from the first byte on, while waiting for a head.
    after_first: Cell<Option<Duration>>,
    trip: Cell<Option<Trip>>,
    seen: Cell<usize>,
}

impl Budget {
    /// Allows `bytes` more bytes until `time` has passed.
    pub(crate) fn allow(&self, bytes: usize, time: Duration) {
        self.0.bytes.set(bytes);
        self.0.deadline.set(Some(Instant::now() + time));
        self.0.after_first.set(None);
        self.0.seen.set(0);
    }

    /// Waits without a limit for the first byte, then allows `time`, and
    /// `bytes` in all.
    pub(crate) fn allow_head(&self, bytes: usize, time: Duration) {
        self.allow(bytes, time);
        self.0.deadline.set(None);
        self.0.after_first.set(Some(time));
    }

    /// Returns the limit that ended the last read, if one did.
    pub(crate) fn trip(&self) -> Option<Trip> {
        self.0.trip.get()
    }

    /// Returns how many bytes came in since the last `allow`.
    pub(crate) fn seen(&self) -> usize {
        self.0.seen.get()
    }

    /// Returns whether the first byte of a head is still to come.
    fn is_idle(&self) -> bool {
        self.0.after_first.get().is_some()
    }

    fn remaining(&self) -> Option<Duration> {
        let deadline = self.0.deadline.get()?;
        Some(deadline.saturating_duration_since(Instant::now()))
    }

    fn count(&self, read: usize) -> io::Result<()> {
        self.0.seen.set(self.0.seen.get() + read);
        if let Some(time) = self.0.after_first.take() {
            self.0.deadline.set(Some(Instant::now() + time));
        }
        if read > self.0.bytes.get() {
            return Err(self.fail(Trip::Bytes));
        }
        self.0.bytes.set(self.0.bytes.get() - read);
        Ok(())
    }

    fn fail(&self, trip: Trip) -> io::Error {
        self.0.trip.set(Some(trip));
        match trip {
            Trip::Bytes => io::Error::new(io::ErrorKind::InvalidData, "byte limit reached"),
            Trip::Time => io::Error::new(io::ErrorKind::TimedOut, "time limit reached"),
        }
    }
}

/// The limited reader.
#[derive(Debug)]
pub(crate) struct Guard<R> {
    inner: R,
    budget: Budget,
}

impl<R> Guard<R> {
    pub(crate) fn new(inner: R, budget: Budget) -> Self {
        Self { inner, budget }
    }
}

impl<R: AsyncReadRent> AsyncReadRent for Guard<R> {
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        // The buffer is lost when a read is cancelled, so the read goes into a
        // buffer of its own and is copied over.
        // One that waits for a head is small, since it may wait for long.
        let most = if self.budget.is_idle() {
            IDLE_READ_BYTES
        } else {
            READ_BYTES
        };
        let room = buf.bytes_total().min(most);
        let own = Vec::with_capacity(room);
        let remaining = self.budget.remaining().unwrap_or(Duration::MAX);
        let outcome = if remaining == Duration::MAX {
            Ok(self.inner.read(own).await)
        } else {
            monoio::time::timeout(remaining, self.inner.read(own)).await
        };
        let Ok((result, own)) = outcome else {
            return (Err(self.budget.fail(Trip::Time)), buf);
        };
        let read = match result {
            Ok(read) => read,
            Err(e) => return (Err(e), buf),
        };
        if read > 0
            && let Err(e) = self.budget.count(read)
        {
            return (Err(e), buf);
        }
        // SAFETY: `own` holds `read` initialised bytes, and `buf` has room for
        // `room >= read` bytes from `write_ptr` on.
        unsafe {
            buf.write_ptr().copy_from_nonoverlapping(own.as_ptr(), read);
            buf.set_init(read);
        }
        (Ok(read), buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let result = self.inner.readv(buf).await;
        match result {
            (Ok(read), buf) if read > 0 => match self.budget.count(read) {
                Ok(()) => (Ok(read), buf),
                Err(e) => (Err(e), buf),
            },
            other => other,
        }
    }
}

/// The most that one read takes in, and so may go over a limit.
pub(crate) const READ_BYTES: usize = 16 * 1024;
const IDLE_READ_BYTES: usize = 1024;
