//! The pace of long work on a thread that all tasks of a VM share.

use std::time::{Duration, Instant};

/// How long work may go on before other tasks run.
const WORK_TIME_MAX: Duration = Duration::from_millis(5);
/// The pause for other tasks. The runtime polls sockets and timers only while no task is
/// ready, so a task that just yields would hold them up.
const PAUSE: Duration = Duration::from_millis(1);

/// Work that is done in parts, for instance on a large request.
pub(crate) struct Pace {
    resumed_at: Instant,
}

impl Pace {
    /// Starts the work.
    pub(crate) fn start() -> Self {
        Self {
            resumed_at: Instant::now(),
        }
    }

    /// Lets other tasks run if the work has gone on for long. Called between its parts.
    pub(crate) async fn pause_if_due(&mut self) {
        if self.resumed_at.elapsed() >= WORK_TIME_MAX {
            monoio::time::sleep(PAUSE).await;
            self.resumed_at = Instant::now();
        }
    }
}
