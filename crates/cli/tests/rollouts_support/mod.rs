//! Runs of trainers against deployments under faults, and the checker of the
//! histories that they record.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub(crate) mod faults;
pub(crate) mod history;
pub(crate) mod run;
