//! An HTTP server that limits the memory and time that each caller can use.

use std::{
    any::Any,
    future::Future,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use monoio::net::{TcpListener, TcpStream};

use super::{
    channel::Channel,
    drain::{CountGuard, OpenConnection},
    limits::Limits,
    session,
    tls::Tls,
};
pub use super::{
    drain::Drain,
    reply::{Part, Reply, Sender},
};
use crate::net;

/// A request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The address from which the caller connected.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns the header `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the path and query as sent.
    pub fn target(&self) -> &str {
        let target = self.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }

    /// Returns the value of the query parameter `name`, without decoding it.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the path split at its slashes, without empty parts.
    pub fn segments(&self) -> Vec<&str> {
        let parts = self.uri.path().split('/');
        parts.filter(|part| !part.is_empty()).collect()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// A reply with status 400 that describes the problem.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Reply::error(StatusCode::BAD_REQUEST, "bad-json", &e.to_string()))
    }
}

const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A closing server accepts the connections in the kernel's backlog until none
/// arrives for `BACKLOG_IDLE_TIME`, but no longer than `BACKLOG_TIME_MAX`.
const BACKLOG_IDLE_TIME: Duration = Duration::from_millis(50);
const BACKLOG_TIME_MAX: Duration = Duration::from_secs(2);
/// The number of connections that a closing server accepts at last, without
/// answering any meanwhile. The kernel's backlog is no longer by default.
const BACKLOG_MAX: usize = 4096;

/// Accepts connections until `drain` closes, and answers each request with
/// `handler`. Returns once the port is closed; connections may still be open
/// then.
///
/// The future of a handler is dropped when its caller closes the connection, so
/// it must release its resources on drop.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, drain: Drain, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    serve_with(listener, None, limits, drain, handler).await;
}

/// Serves pages to operators until the process ends. `page` returns its reply
/// without waiting.
pub async fn serve_pages(listener: TcpListener, page: impl Fn(&Request) -> Reply + 'static) {
    let handler = move |request| {
        let reply = page(&request);
        async move { reply }
    };
    serve(listener, Limits::new(), Drain::default(), handler).await;
}

/// As [`serve`], over TLS if `tls` is given.
pub async fn serve_with<H, F>(
    listener: TcpListener,
    tls: Option<Tls>,
    limits: Limits,
    drain: Drain,
    handler: H,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    drain.0.memory.limit_requests(limits.total_body_bytes);
    let handler = Rc::new(handler);
    let accepting = CountGuard::increment(&drain.0.accepting_servers);
    let serve_accepted = |(stream, peer)| {
        spawn_connection(stream, peer, &tls, limits, &drain, &handler);
        true
    };
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = drain.wait_for_close() => break,
        };
        match accepted {
            Ok(connection) => {
                serve_accepted(connection);
            }
            // Most likely the process has no free descriptors: the pause lets
            // connections end.
            Err(_) => monoio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
    let start = Instant::now();
    while start.elapsed() < BACKLOG_TIME_MAX
        && accept(&listener, BACKLOG_IDLE_TIME)
            .await
            .is_some_and(&serve_accepted)
    {}
    // Under load, connections have arrived since the driver was polled last, up to
    // one of each caller, and a close would reset them. Those that the kernel
    // accepts within the few microseconds until the close are still reset.
    let waiting = std::iter::from_fn(|| net::accept_now(&listener));
    for connection in waiting.take(BACKLOG_MAX) {
        serve_accepted(connection);
    }
    drop(listener);
    drop(accepting);
}

async fn accept(listener: &TcpListener, limit: Duration) -> Option<(TcpStream, SocketAddr)> {
    let accepted = monoio::time::timeout(limit, listener.accept()).await;
    accepted.ok()?.ok()
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    tls: &Option<Tls>,
    limits: Limits,
    drain: &Drain,
    handler: &Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    if drain.is_rejecting() || net::set_options(&stream).is_err() {
        return;
    }
    if !drain.admit_connection(limits.connections) {
        drain.record_refusal("too-many-connections");
        return;
    }
    // Both begin before the task runs: many connections may be accepted before that,
    // and each of them has to count, and to be able to give way to the next.
    let open = OpenConnection::new(drain);
    let waiting = drain.0.idle.register(false);
    let handler = handler.clone();
    let drain = drain.clone();
    let tls = tls.clone();
    monoio::spawn(async move {
        let run = async {
            let channel = match tls {
                Some(tls) => monoio::select! {
                    accepted = tls.accept(stream) => accepted.ok()?,
                    () = waiting.wait_for_close() => {
                        drain.record_refusal("idle-connection");
                        return None;
                    }
                },
                None => Channel::plain(stream),
            };
            Some(session::run(channel, peer, limits, &drain, waiting, handler).await)
        };
        let end = CatchUnwind(Box::pin(run)).await;
        drop(open);
        match end {
            Ok(Some(tail)) => {
                let _lingering = CountGuard::increment(&drain.0.lingering_connections);
                session::discard(tail, &limits).await;
            }
            // Closed handshakes are counted above, and failed ones by `Tls::accept`.
            Ok(None) => {}
            Err(_) => drain.0.panics.set(drain.0.panics.get() + 1),
        }
    });
}

/// Turns a panic of the inner future into an error.
struct CatchUnwind<F>(Pin<Box<F>>);

impl<F: Future> Future for CatchUnwind<F> {
    type Output = Result<F::Output, Box<dyn Any + Send>>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let inner = self.0.as_mut();
        match std::panic::catch_unwind(AssertUnwindSafe(|| inner.poll(cx))) {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(value)) => Poll::Ready(Ok(value)),
            Err(panic) => Poll::Ready(Err(panic)),
        }
    }
}
