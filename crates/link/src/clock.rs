//! Clocks of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use board::Time;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self(Instant::now())
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
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
