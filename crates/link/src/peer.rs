//! Requests and responses between processes over TCP: a four-byte big-endian
//! length, then a frame.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use policy::execution::Execution;
use wire::{Request, Response, frame::FRAME_BYTES_MAX};

use crate::{fault, net};

/// Why a request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("connection to the peer failed: {0}")]
    Io(#[from] io::Error),
    /// A frame cannot be encoded or decoded.
    #[error("invalid message frame: {0}")]
    Frame(#[from] wire::Error),
    /// No response arrived within the time limit.
    #[error("no response from the peer within the time limit")]
    Timeout,
}

/// Sends `request` to `peer` on a new connection and waits up to `limit` for
/// the response.
///
/// # Errors
///
/// An [`Error`] if no complete response arrived.
pub async fn request(
    peer: SocketAddr,
    request: &Request,
    limit: Duration,
) -> Result<Response, Error> {
    Pool::default().request(peer, request, limit).await
}

/// A pool of idle connections to peers.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<Map<SocketAddr, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// How long a client keeps an idle connection. It is less than
/// [`SERVER_IDLE_TIMEOUT`], so that the client does not reuse a connection that
/// its peer is closing.
const CLIENT_IDLE_TIME_MAX: Duration = Duration::from_secs(20);
const IDLE_CONNECTIONS_MAX: usize = 4;

impl Pool {
    /// Sends `request` to `peer` and waits up to `limit` for the response.
    /// Every request is idempotent, so one that fails on an idle connection is
    /// repeated on a new one.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no complete response arrived.
    pub async fn request(
        &self,
        peer: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, Error> {
        self.request_with_execution(peer, request, limit).await.0
    }

    /// Sends `request` as [`Pool::request`] does, and returns also whether
    /// `peer` may have carried it out, or may yet, in an attempt that it did not
    /// answer.
    pub async fn request_with_execution(
        &self,
        peer: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> (Result<Response, Error>, Execution) {
        if fault::is_cut_to(peer) || fault::is_cut_from(peer) {
            return (Err(Error::Timeout), Execution::NotRun);
        }
        let frame = match wire::encode(request) {
            Ok(frame) => frame,
            Err(e) => return (Err(e.into()), Execution::NotRun),
        };
        let unanswered = Cell::new(Execution::NotRun);
        let exchange = async {
            if let Some(stream) = self.take_idle(peer) {
                unanswered.set(Execution::Unknown);
                let attempt = self.exchange(peer, stream, frame.clone());
                if let Ok(Ok(response)) = monoio::time::timeout(limit / 2, attempt).await {
                    unanswered.set(Execution::NotRun);
                    return Ok(response);
                }
            }
            let stream = net::connect(peer, limit).await?;
            let earlier = unanswered.replace(Execution::Unknown);
            let response = self.exchange(peer, stream, frame).await?;
            unanswered.set(earlier);
            Ok(response)
        };
        let result = match monoio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => {
                // Other idle connections to this peer may be broken too.
                self.idle.borrow_mut().remove(&peer);
                Err(Error::Timeout)
            }
        };
        (result, unanswered.get())
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        mut stream: TcpStream,
        frame: Vec<u8>,
    ) -> Result<Response, Error> {
        write_frame(&mut stream, frame).await?;
        let response = wire::decode(&read_frame(&mut stream).await?)?;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(peer).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            let since = Instant::now();
            connections.push(IdleConnection { stream, since });
        }
        Ok(response)
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        connections.retain(|idle| idle.since.elapsed() < CLIENT_IDLE_TIME_MAX);
        connections.pop().map(|idle| idle.stream)
    }
}

/// How long a server keeps a connection without a request.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections and answers requests with `handler` until the process
/// ends.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        monoio::spawn(async move {
            // A malformed frame or a lost connection ends only this task.
            let _ = serve_connection(stream, &*handler).await;
        });
    }
}

const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

async fn serve_connection<H, F>(mut stream: TcpStream, handler: &H) -> Result<(), Error>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    net::set_options(&stream)?;
    loop {
        let frame = match monoio::time::timeout(SERVER_IDLE_TIMEOUT, read_frame(&mut stream)).await
        {
            Ok(frame) => frame?,
            Err(_) => return Err(Error::Timeout),
        };
        let response = handler(wire::decode(&frame)?).await;
        write_frame(&mut stream, wire::encode(&response)?).await?;
    }
}

async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>, Error> {
    let length = stream.read_u32().await? as usize;
    if length > FRAME_BYTES_MAX {
        return Err(wire::Error::Size(length).into());
    }
    let (result, frame) = stream.read_exact(vec![0; length]).await;
    result?;
    Ok(frame)
}

async fn write_frame(stream: &mut TcpStream, frame: Vec<u8>) -> Result<(), Error> {
    let mut out = Vec::with_capacity(frame.len() + 4);
    out.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    out.extend_from_slice(&frame);
    let (result, _) = stream.write_all(out).await;
    result?;
    Ok(())
}
