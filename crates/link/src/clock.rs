//! Clocks of a process.
//!
//! [`Instant`](std::time::Instant) stands still while a machine is suspended. A
//! permission that is measured with it, such as a lease, would seem valid for
//! the whole suspension after it has ended. So times of permissions and the age
//! of what is known are measured with [`Moment`], which goes on.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use board::Time;
use rustix::time::{ClockId, clock_gettime};

use crate::fault;

/// A time on a clock that also counts while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the current moment.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_link::clock::Moment;
    ///
    /// let before = Moment::now();
    /// assert!(before <= Moment::now());
    /// ```
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = Duration::from_secs(u64::try_from(time.tv_sec).unwrap_or_default());
        let nanos = Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or_default());
        Self(seconds + nanos + fault::suspension())
    }

    /// Returns the moment `age` ago, or the start of the machine if that is later.
    pub fn ago(age: Duration) -> Self {
        Self(Self::now().0.saturating_sub(age))
    }

    /// Returns the time since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// A monotonic clock that counts from its creation, also while the machine is
/// suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Moment);

impl Default for Clock {
    fn default() -> Self {
        Self(Moment::now())
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time::from_micros(self.0.elapsed().as_micros() as u64)
    }
}

/// Returns the instant `age` ago, or the current one if the clock does not
/// reach back that far.
pub fn ago(age: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(age).unwrap_or(now)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. The wall
/// clock may be adjusted, so intervals within a process are measured with a
/// [`Clock`] instead.
pub fn wall_millis() -> u64 {
    wall_micros() / 1000
}

/// As [`wall_millis`], in microseconds.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
