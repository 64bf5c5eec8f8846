//! The monoio runtime on its epoll driver.
//!
//! `monoio-http` enables monoio's io_uring feature, so the default driver would
//! use io_uring. Every process of the project starts its runtime here instead.

use std::{future::Future, io};

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `future` to completion on an epoll runtime with timers.
///
/// # Errors
///
/// The error of the operating system if the runtime cannot be created.
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
/// When a signal handler is already installed.
pub async fn stop_signal() -> io::Result<()> {
    let signal = monoio::utils::CtrlC::new().map_err(io::Error::other)?;
    signal.await;
    Ok(())
}
