//! Wall-clock time for logs, and sleeping by milliseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Sleeps for `ms` milliseconds; does not yield if `ms` is zero.
pub(crate) async fn sleep_ms(ms: u64) {
    if ms > 0 {
        monoio::time::sleep(Duration::from_millis(ms)).await;
    }
}
