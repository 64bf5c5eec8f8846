//! Sockets: connecting with a time limit, and detection of silent peers.

use std::{
    io,
    net::SocketAddr,
    os::fd::{AsRawFd, BorrowedFd},
    time::Duration,
};

use monoio::net::{ListenerOpts, TcpListener, TcpStream};

const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// The kernel counts keepalive in whole seconds.
const KEEPALIVE_PERIOD_MIN: Duration = Duration::from_secs(1);

/// Connects to `peer` within `limit`, with silent-peer detection set.
///
/// # Errors
///
/// The error of the socket, or [`io::ErrorKind::TimedOut`].
pub async fn connect(peer: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = match monoio::time::timeout(limit, TcpStream::connect_addr(peer)).await {
        Ok(result) => result?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    set_options(&stream)?;
    Ok(stream)
}

/// Returns the descriptor of `stream`, to set options that monoio does not know.
fn descriptor(stream: &TcpStream) -> BorrowedFd<'_> {
    // SAFETY: The descriptor stays open for as long as `stream` is borrowed.
    unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) }
}

/// Sets no-delay, keepalive and the user timeout on `stream`.
///
/// # Errors
///
/// The error of the socket.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let fd = descriptor(stream);
    let socket = socket2::SockRef::from(&fd);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Makes the kernel drop `stream` once data was not acknowledged for `limit`.
///
/// # Errors
///
/// The error of the socket.
pub fn set_user_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let fd = descriptor(stream);
    socket2::SockRef::from(&fd).set_tcp_user_timeout(Some(limit))
}

/// Makes the kernel drop `stream` once its peer acknowledged nothing for about
/// `limit`, also while nothing is sent.
///
/// # Errors
///
/// The error of the socket.
pub fn set_silence_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let fd = descriptor(stream);
    let socket = socket2::SockRef::from(&fd);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD_MIN)
        .with_interval(KEEPALIVE_PERIOD_MIN);
    socket.set_tcp_keepalive(&probes)?;
    set_user_timeout(stream, limit)
}

/// Makes the close of `stream` reset it and discard what was not sent.
///
/// # Errors
///
/// The error of the socket.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let fd = descriptor(stream);
    socket2::SockRef::from(&fd).set_linger(Some(Duration::ZERO))
}

/// Listens on `address`.
///
/// # Errors
///
/// The error of the socket, such as an address in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_addr(true).reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}
