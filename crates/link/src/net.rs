//! TCP sockets: connecting with a time limit, and detection of unresponsive
//! peers.

use std::{
    io,
    net::SocketAddr,
    os::fd::{AsRawFd, BorrowedFd},
    time::Duration,
};

use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use crate::fault;

const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// The shortest keepalive period that the kernel supports: it counts in whole
/// seconds.
const KEEPALIVE_PERIOD_MIN: Duration = Duration::from_secs(1);

/// Connects to `peer` within `limit` and sets the options of [`set_options`].
///
/// # Errors
///
/// The error of the socket, or [`io::ErrorKind::TimedOut`].
pub async fn connect(peer: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    if fault::is_refused_by(peer) {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    let connecting = async {
        fault::wait_while_hanging(peer).await;
        TcpStream::connect_addr(peer).await
    };
    let stream = match monoio::time::timeout(limit, connecting).await {
        Ok(result) => result?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    set_options(&stream)?;
    Ok(stream)
}

/// Returns the descriptor of `stream`, to set options that monoio does not
/// offer.
fn descriptor(stream: &TcpStream) -> BorrowedFd<'_> {
    // SAFETY: The descriptor stays open for as long as `stream` is borrowed.
    unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) }
}

/// Sets `TCP_NODELAY`, keepalive and the user timeout on `stream`.
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

/// Makes the kernel close the connection of `socket` when sent data stays
/// unacknowledged for `limit`.
///
/// # Errors
///
/// The error of the socket.
pub fn set_user_timeout(socket: BorrowedFd<'_>, limit: Duration) -> io::Result<()> {
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(limit))
}

/// Makes the kernel close `stream` when its peer has acknowledged nothing for
/// about `limit`, even while no data is sent.
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
    set_user_timeout(fd, limit)
}

/// Makes closing `stream` reset the connection and discard unsent data.
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

/// Accepts a connection that is in the backlog of `listener` at this moment. An
/// asynchronous accept does not see one that arrived since the last poll of the
/// driver.
pub(crate) fn accept_now(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    // SAFETY: The descriptor stays open for as long as `listener` is borrowed.
    let fd = unsafe { BorrowedFd::borrow_raw(listener.as_raw_fd()) };
    let (socket, peer) = socket2::SockRef::from(&fd).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    let stream = TcpStream::from_std(socket.into()).ok()?;
    Some((stream, peer.as_socket()?))
}
