//! The settings of the steward daemon.

use std::{net::SocketAddr, time::Duration};

use serde_with::DurationMilliSeconds;

link::daemon_settings! {
    /// The settings of a VM's steward daemon.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_steward::Settings;
    ///
    /// let text = r#"
    ///     vm = "vm-1"
    ///     failure_domain = "a"
    ///     admin = "127.0.0.1:9004"
    ///     entry = "127.0.0.1:9002"
    ///     platform = "127.0.0.1:9300"
    /// "#;
    /// let settings: Settings = toml::from_str(text)?;
    /// assert_eq!(settings.failure_domain, "a");
    /// # Ok::<(), toml::de::Error>(())
    /// ```
    pub struct Settings {
        /// The peer address of this VM's entry daemon, from which the steward
        /// reads the shared state.
        pub entry: SocketAddr,
        /// Whether `/fault` on the admin address may hold calls back; for tests
        /// only.
        #[serde(default)]
        pub test_faults: bool,
        /// How long a lot is retained after its trainer acknowledged it, in
        /// milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "keep_lots_ms", default = "keep_lots")]
        pub keep_lots: Duration,
        /// How long the figures of a window are retained after its end, in
        /// milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "keep_windows_ms", default = "keep_windows")]
        pub keep_windows: Duration,
    }
}

fn keep_lots() -> Duration {
    Duration::from_secs(30 * 60)
}

fn keep_windows() -> Duration {
    Duration::from_secs(7 * 24 * 60 * 60)
}
