//! Signals: stop and reload, looked at by the loop that acts on them.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};

/// The signals that came in.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Catches SIGTERM, SIGINT and SIGHUP from now on.
    ///
    /// # Errors
    ///
    /// The error of the system when it does not take a handler.
    pub fn register() -> io::Result<Self> {
        let signals = Self::default();
        flag::register(SIGTERM, signals.stop.clone())?;
        flag::register(SIGINT, signals.stop.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Returns whether the process is to stop.
    pub fn should_stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Returns whether a reload was asked for since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
