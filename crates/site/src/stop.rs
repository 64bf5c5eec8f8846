//! The main loop of a process: it lasts until a signal to stop.

use std::time::Duration;

use platform::Settings;

use crate::{metrics::Metrics, reload::File, signal::Signals};

/// How often the main loop polls for signals.
const SIGNAL_POLL_PERIOD: Duration = Duration::from_millis(50);
/// The number of polls for signals after which the settings file and the log
/// are checked, which is once a second.
const FILE_CHECK_POLLS: u32 = 20;
/// Waits for a signal to stop, and passes changed settings to `apply` meanwhile.
pub(crate) async fn wait(
    file: &mut File,
    metrics: &Metrics,
    signals: &Signals,
    apply: impl Fn(&Settings),
) {
    let mut polls = 0;
    while !signals.should_stop() {
        monoio::time::sleep(SIGNAL_POLL_PERIOD).await;
        polls = (polls + 1) % FILE_CHECK_POLLS;
        let is_due = polls == 0;
        let is_requested = signals.take_reload();
        if (is_requested || (is_due && file.has_changed()))
            && let Some(settings) = file.reload()
        {
            apply(settings);
        }
        if is_due {
            report_dropped_lines(metrics);
        }
    }
}

fn report_dropped_lines(metrics: &Metrics) {
    let lines = link::log::take_dropped();
    if lines > 0 {
        metrics.record_dropped_lines(lines);
        spdlog::warn!("log lines dropped", kv: { lines });
    }
}
