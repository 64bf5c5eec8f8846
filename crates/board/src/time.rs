//! Monotonic time as a parameter of decisions.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

crate::record! {
    /// A point in monotonic time, in microseconds since an arbitrary start.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragonseam_board::time::Time;
    ///
    /// let start = Time::from_millis(5);
    /// let later = start + Duration::from_millis(2);
    /// assert_eq!(later - start, Duration::from_millis(2));
    /// assert_eq!(start - later, Duration::ZERO);
    /// ```
    #[derive(Default)]
    copy pub struct Time(u64);
}

impl Time {
    /// The start, from which times are counted.
    pub const ZERO: Self = Self(0);

    /// Returns the point `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the microseconds since the start.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the start.
    pub const fn millis(self) -> u64 {
        self.0 / 1000
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub for Time {
    type Output = Duration;

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}
