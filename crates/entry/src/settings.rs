//! The settings of the entry daemon.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde_with::DurationMilliSeconds;

link::daemon_settings! {
    /// The settings of a VM's entry daemon.
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
        /// The address on which callers and trainers connect.
        pub callers: SocketAddr,
        /// The file of the certificate chain, in PEM. With it and `tls_key`,
        /// callers and trainers connect over TLS.
        #[serde(default)]
        pub tls_certificate: Option<PathBuf>,
        /// The file of the certificate's private key, in PEM.
        #[serde(default)]
        pub tls_key: Option<PathBuf>,
        /// The address on which other tarragonseam processes connect, over TCP
        /// and UDP.
        pub peers: SocketAddr,
        /// Peer addresses of other VMs, which are contacted at the start in
        /// case the platform is unavailable.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Whether `POST /fault` on the admin address cuts links to other VMs;
        /// for tests only.
        #[serde(default)]
        pub test_faults: bool,
        /// The folder for bulk data, on a VM that has a disk.
        #[serde(default)]
        pub data: Option<PathBuf>,
        /// How long a shutdown still accepts requests after `/ready` reports
        /// that the process is draining, in milliseconds. It must exceed the
        /// interval of the load balancer's health checks.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "unready_ms", default = "unready")]
        pub unready: Duration,
        /// How long a shutdown waits for requests in progress, in milliseconds.
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
