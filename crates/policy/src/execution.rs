//! Whether an operation may have run, over all attempts at it.
//!
//! An operation may be attempted several times: at several VMs, again after an
//! error, or through a relay. A reply that says that it has not run must be true
//! of each attempt. Knowledge about attempts is therefore only ever combined:
//! an attempt that certainly did not run says nothing about an earlier one.

use serde::Serialize;

/// Whether an operation may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// It certainly has not run, and will not.
    #[default]
    NotRun,
    /// It may have run, or may yet.
    Unknown,
}

impl Execution {
    /// Returns what is known of two attempts together.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_policy::execution::Execution;
    ///
    /// let lost = Execution::Unknown;
    /// assert_eq!(lost.and(Execution::NotRun), Execution::Unknown);
    /// ```
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the name in replies.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
