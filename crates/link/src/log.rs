//! Structured logs through spdlog-rs: one JSON object a line.

use std::sync::Arc;

pub use spdlog::sink::StdStream;
use spdlog::{Logger, formatter::JsonFormatter, sink::StdStreamSink};

/// Sends the logs of this process to standard error under `name`.
///
/// # Errors
///
/// The error of the logger, such as a name that it does not take.
pub fn start(name: &str) -> Result<(), spdlog::Error> {
    start_on(StdStream::Stderr, name)
}

/// Sends the logs of this process to `stream` under `name`.
///
/// # Errors
///
/// As [`start`].
pub fn start_on(stream: StdStream, name: &str) -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder()
        .std_stream(stream)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder().name(name).sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
