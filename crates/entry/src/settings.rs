//! The settings of the daemon.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

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
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where callers and trainers connect.
    pub callers: SocketAddr,
    /// The certificate chain in PEM; with it and `tls_key`, callers connect over
    /// TLS.
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
    /// Where operators read metrics and state.
    pub admin: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// The collector of traces, which takes OTLP over HTTP.
    #[serde(default)]
    pub collector: Option<SocketAddr>,
    /// The folder for bulk data, on a VM that has a disk.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// The length of a window of usage, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "window_ms", default = "window")]
    pub window: Duration,
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

fn window() -> Duration {
    Duration::from_secs(60)
}

fn unready() -> Duration {
    Duration::from_secs(3)
}

fn drain() -> Duration {
    Duration::from_secs(120)
}
