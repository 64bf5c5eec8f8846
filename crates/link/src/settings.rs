//! The settings that all daemons share, and the loading of settings files with
//! errors that name the file and the line.

use std::{path::Path, time::Duration};

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

/// Why a settings file cannot be used.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read settings file {file}: {source}")]
    #[diagnostic(help("check the path given with --settings and its permissions"))]
    Read {
        /// The file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or its keys or values do not match the
    /// settings.
    #[error("bad settings in {}: {problem}", text.name())]
    #[diagnostic(help("see docs/OPERATIONS.md for every setting"))]
    Parse {
        /// A description of the problem.
        problem: String,
        /// The text of the file.
        #[source_code]
        text: NamedSource<String>,
        /// The position of the problem.
        #[label("here")]
        span: Option<SourceSpan>,
    },
}

/// Reads the settings in `path`.
///
/// # Errors
///
/// An [`Error`] that names the file and, if known, the position, with a hint on
/// how to correct it.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        file: file.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|e| Error::Parse {
        problem: e.message().to_string(),
        text: NamedSource::new(&file, text.clone()),
        span: e.span().map(SourceSpan::from),
    })
}

/// Declares the settings of a daemon: those that all daemons of a VM share,
/// followed by its own.
///
/// The shared settings are fields of the same struct, not of a flattened one
/// inside it: serde reads flattened fields from a buffer without positions, and
/// error messages would no longer contain the line.
///
/// # Examples
///
/// ```
/// tarragonseam_link::daemon_settings! {
///     /// The settings of the example daemon.
///     pub struct Settings {
///         /// The address for callers.
///         pub callers: std::net::SocketAddr,
///     }
/// }
/// let text = r#"
///     vm = "vm-1"
///     failure_domain = "a"
///     admin = "127.0.0.1:9004"
///     platform = "127.0.0.1:9300"
///     callers = "127.0.0.1:9005"
/// "#;
/// let settings: Settings = toml::from_str(text)?;
/// assert_eq!(settings.window.as_secs(), 60);
/// # Ok::<(), toml::de::Error>(())
/// ```
#[macro_export]
macro_rules! daemon_settings {
    ($(#[$meta:meta])* pub struct $name:ident { $($own:tt)* }) => {
        $(#[$meta])*
        #[::serde_with::serde_as]
        #[derive(Clone, Debug, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name {
            /// The name of this VM.
            pub vm: String,
            /// The failure domain of this VM.
            pub failure_domain: String,
            /// The address that serves metrics and status to operators.
            pub admin: ::std::net::SocketAddr,
            /// The address of the platform.
            pub platform: ::std::net::SocketAddr,
            /// The address of the trace collector, which accepts OTLP over
            /// HTTP.
            #[serde(default)]
            pub collector: Option<::std::net::SocketAddr>,
            /// The length of a usage window, in milliseconds.
            #[serde_as(as = "::serde_with::DurationMilliSeconds<u64>")]
            #[serde(rename = "window_ms", default = "window")]
            pub window: ::std::time::Duration,
            $($own)*
        }

        fn window() -> ::std::time::Duration {
            $crate::settings::USAGE_WINDOW_DEFAULT
        }
    };
}

/// The length of a usage window if the settings give none.
pub const USAGE_WINDOW_DEFAULT: Duration = Duration::from_secs(60);
