//! The settings that every daemon has, and reading of settings files, with
//! errors that name the file and the place.

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
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not TOML of the right shape.
    #[error("bad settings in {}: {problem}", text.name())]
    #[diagnostic(help("see docs/OPERATIONS.md for every setting"))]
    Parse {
        /// What is wrong.
        problem: String,
        /// The text of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Where it is wrong.
        #[label("here")]
        span: Option<SourceSpan>,
    },
}

/// Reads the settings in `path`.
///
/// # Errors
///
/// An [`Error`] that names the file, the place and what to do.
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

/// Declares the settings of a daemon: those that every daemon of a VM has,
/// followed by its own.
///
/// They stand side by side in one struct, not in a flattened one inside it:
/// serde reads flattened fields from a buffer without places, and errors would
/// no longer name the line.
///
/// # Examples
///
/// ```
/// tarragonseam_link::daemon_settings! {
///     /// What a VM's clerk is told of itself.
///     pub struct Settings {
///         /// Where clerks meet.
///         pub desk: std::net::SocketAddr,
///     }
/// }
/// let text = r#"
///     vm = "vm-1"
///     failure_domain = "a"
///     admin = "127.0.0.1:9004"
///     platform = "127.0.0.1:9300"
///     desk = "127.0.0.1:9005"
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
            /// Its failure domain.
            pub failure_domain: String,
            /// Where operators read metrics and state.
            pub admin: ::std::net::SocketAddr,
            /// The platform.
            pub platform: ::std::net::SocketAddr,
            /// The collector of traces, which takes OTLP over HTTP.
            #[serde(default)]
            pub collector: Option<::std::net::SocketAddr>,
            /// The length of a window of usage, in milliseconds.
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

/// The length of a window of usage where the settings name none.
pub const USAGE_WINDOW_DEFAULT: Duration = Duration::from_secs(60);
