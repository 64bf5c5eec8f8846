//! TLS for connections of callers.
//!
//! `rustls` implements the protocol, and this module transfers its bytes. The
//! stream of `monoio-rustls` is not used: its halves lose their buffer when a
//! read is cancelled, as the time limits of this server do, and they share
//! their state without checks.

mod certificate;
mod error;
mod half;

use std::{cell::RefCell, fmt, io, rc::Rc, sync::Arc, time::Duration};

use monoio::net::TcpStream;
use rustls::ServerConfig;

use super::channel::{Channel, Reader as AnyReader, Writer as AnyWriter};

use certificate::Contents;

pub use certificate::Files;
pub use error::Error;
pub(crate) use half::{Reader, Writer};

/// An event that is counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A handshake succeeded.
    Accepted,
    /// A handshake failed, for example because of plain text or an unsupported
    /// protocol version.
    Failed,
    /// A handshake took longer than [`Tls::handshake_time`].
    Slow,
    /// A changed certificate was loaded and is in force.
    Reloaded,
    /// A changed certificate cannot be used. The previous one stays in force.
    ReloadFailed,
}

const HANDSHAKE_TIME_DEFAULT: Duration = Duration::from_secs(5);
const RELOAD_PERIOD_DEFAULT: Duration = Duration::from_secs(2);

/// The certificate in force and the limits of handshakes.
#[derive(Clone)]
pub struct Tls {
    files: Files,
    /// The contents of the files when they were last loaded.
    last_contents: Rc<RefCell<Contents>>,
    config: Rc<RefCell<Arc<ServerConfig>>>,
    handshake_time: Duration,
    reload_period: Duration,
    on_event: Rc<dyn Fn(Event)>,
}

impl fmt::Debug for Tls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tls").field("files", &self.files).finish()
    }
}

impl Tls {
    /// Loads the certificate and key from `files`.
    ///
    /// # Errors
    ///
    /// An [`Error`] when a file cannot be read, or the key does not belong to
    /// the certificate.
    pub fn new(files: Files) -> Result<Self, Error> {
        let last_contents = files.contents();
        let config = files.read()?;
        Ok(Self {
            files,
            last_contents: Rc::new(RefCell::new(last_contents)),
            config: Rc::new(RefCell::new(config)),
            handshake_time: HANDSHAKE_TIME_DEFAULT,
            reload_period: RELOAD_PERIOD_DEFAULT,
            on_event: Rc::new(|_| {}),
        })
    }

    /// Sets how long a handshake may take.
    pub fn handshake_time(mut self, time: Duration) -> Self {
        self.handshake_time = time;
        self
    }

    /// Sets how often the files are checked for changes.
    pub fn reload_period(mut self, period: Duration) -> Self {
        self.reload_period = period;
        self
    }

    /// Sets the callback for each [`Event`].
    pub fn on_event(mut self, on_event: impl Fn(Event) + 'static) -> Self {
        self.on_event = Rc::new(on_event);
        self
    }

    /// Reloads the files whenever they change, until the process ends. Open
    /// connections keep the certificate that they started with.
    pub async fn watch_files(self) {
        loop {
            monoio::time::sleep(self.reload_period).await;
            let contents = self.files.contents();
            if contents != *self.last_contents.borrow() {
                self.last_contents.replace(contents);
                self.reload();
            }
        }
    }

    fn reload(&self) {
        match self.files.read() {
            Ok(config) => {
                *self.config.borrow_mut() = config;
                spdlog::info!("TLS certificate reloaded");
                (self.on_event)(Event::Reloaded);
            }
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!(
                    "changed TLS certificate cannot be used; keeping the previous one",
                    kv: { problem = problem.as_str() }
                );
                (self.on_event)(Event::ReloadFailed);
            }
        }
    }

    /// Performs the handshake on `stream`.
    ///
    /// # Errors
    ///
    /// The error of the socket or the protocol, or
    /// [`io::ErrorKind::TimedOut`].
    pub(crate) async fn accept(&self, stream: TcpStream) -> io::Result<Channel> {
        let config = self.config.borrow().clone();
        let handshake = half::accept(stream, config);
        let (event, result) = match monoio::time::timeout(self.handshake_time, handshake).await {
            Ok(Ok(halves)) => (Event::Accepted, Ok(halves)),
            Ok(Err(e)) => (Event::Failed, Err(e)),
            Err(_) => (Event::Slow, Err(io::ErrorKind::TimedOut.into())),
        };
        (self.on_event)(event);
        let (reader, writer, raw) = result?;
        Ok(Channel {
            reader: AnyReader::Tls(reader),
            writer: AnyWriter::Tls(writer),
            raw,
        })
    }
}
