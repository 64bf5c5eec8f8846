//! The monoio runtime on its epoll driver.
//!
//! `monoio-http` switches the io_uring feature of monoio on, so the default
//! driver would use it. Every process of the project starts here instead.

use std::{future::Future, io};

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `future` to its end on an epoll runtime with timers.
///
/// # Errors
///
/// The error met when the runtime could not be built.
///
/// # Examples
///
/// ```
/// let sum = tarragonseam_link::runtime::run(async { 1 + 1 })?;
/// assert_eq!(sum, 2);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// When a handler is in place already.
pub async fn stop_signal() -> io::Result<()> {
    let signal = monoio::utils::CtrlC::new().map_err(io::Error::other)?;
    signal.await;
    Ok(())
}
