//! The settings of the daemon.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde_with::DurationMilliSeconds;

link::daemon_settings! {
    /// What a VM is told of itself.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_entry::Settings;
    ///
    /// let text = r#"
    ///     vm = "vm-1"
    ///     failure_domain = "a"
    ///     callers = "127.0.0.1:9001"
    ///     peers = "127.0.0.1:9002"
    ///     admin = "127.0.0.1:9003"
    ///     platform = "127.0.0.1:9300"
    /// "#;
    /// let settings: Settings = toml::from_str(text)?;
    /// assert_eq!(settings.vm, "vm-1");
    /// # Ok::<(), toml::de::Error>(())
    /// ```
    pub struct Settings {
        /// Where callers and trainers connect.
        pub callers: SocketAddr,
        /// The certificate chain in PEM; with it and `tls_key`, callers connect
        /// over TLS.
        #[serde(default)]
        pub tls_certificate: Option<PathBuf>,
        /// The key of the certificate, in PEM.
        #[serde(default)]
        pub tls_key: Option<PathBuf>,
        /// Where other processes of the project connect, over TCP and UDP.
        pub peers: SocketAddr,
        /// Peers of other VMs to greet at the start, should the platform be out.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Whether `POST /fault` on the admin address cuts links; for tests only.
        #[serde(default)]
        pub test_faults: bool,
        /// The folder for bulk data, on a VM that has a disk.
        #[serde(default)]
        pub data: Option<PathBuf>,
        /// How long a shutdown goes on taking requests after it turned unready, in
        /// milliseconds: more than the period of the balancer's checks.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "unready_ms", default = "unready")]
        pub unready: Duration,
        /// How long a shutdown waits for requests, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "drain_ms", default = "drain")]
        pub drain: Duration,
    }
}

fn unready() -> Duration {
    Duration::from_secs(3)
}

fn drain() -> Duration {
    Duration::from_secs(120)
}
