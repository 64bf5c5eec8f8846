//! Unix signals that stop the process or reload its settings. The main loop
//! polls for them.

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

/// The signals that were received.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// The system's error when a handler cannot be registered.
    pub fn register() -> io::Result<Self> {
        let signals = Self::default();
        flag::register(SIGTERM, signals.stop.clone())?;
        flag::register(SIGINT, signals.stop.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Returns whether SIGTERM or SIGINT was received.
    pub fn should_stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Returns whether SIGHUP was received since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
