//! Structured logs through spdlog-rs: one JSON object a line, on standard
//! error.

use std::sync::Arc;

use spdlog::{
    Logger,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

/// Sends the logs of this process to standard error under `name`.
///
/// # Errors
///
/// The error of the logger, such as a name that it does not take.
pub fn start(name: &str) -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder().name(name).sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
