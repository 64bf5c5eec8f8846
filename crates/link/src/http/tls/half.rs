//! The read and write halves of an encrypted connection.
//!
//! Both share the state of the protocol, which is never borrowed across an
//! await. A cancelled read loses no data: received bytes are passed to the
//! protocol in the poll in which they arrive.

use std::{
    cell::RefCell,
    io::{self, Read, Write},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::{Buf, BytesMut};
use monoio::{
    BufResult,
    buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut, RawBuf},
    io::{
        AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
    },
    net::TcpStream,
};
use rustls::{ServerConfig, ServerConnection};

type Shared = Rc<RefCell<ServerConnection>>;

/// Decrypts the bytes that the caller sends.
pub(crate) struct Reader {
    connection: Shared,
    half: OwnedReadHalf<TcpStream>,
    /// Received bytes that the protocol has not processed yet.
    incoming: BytesMut,
}

/// Encrypts the bytes that are sent to the caller.
pub(crate) struct Writer {
    connection: Shared,
    half: OwnedWriteHalf<TcpStream>,
    /// Whether a write was interrupted within a record, so that nothing more
    /// can be written.
    has_partial_record: bool,
}

/// The maximum size of one read, which is about the length of a TLS record.
const READ_BYTES_MAX: usize = 16 * 1024;
/// How long sending the close notification may take.
const CLOSE_NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Performs the handshake.
///
/// # Errors
///
/// The error of the socket, or of the protocol. For the latter, an alert is
/// sent to the caller first.
pub(super) async fn accept(
    stream: TcpStream,
    config: Arc<ServerConfig>,
) -> io::Result<(Reader, Writer, OwnedReadHalf<TcpStream>)> {
    let connection = ServerConnection::new(config).map_err(io::Error::other)?;
    let connection = Rc::new(RefCell::new(connection));
    let (read, write) = stream.into_split();
    let raw = OwnedReadHalf(read.0.clone());
    let mut reader = Reader {
        connection: connection.clone(),
        half: read,
        incoming: BytesMut::new(),
    };
    let mut writer = Writer {
        connection: connection.clone(),
        half: write,
        has_partial_record: false,
    };
    while connection.borrow().is_handshaking() {
        let read = reader.advance().await;
        // After a protocol error, this sends the alert.
        writer.flush_records().await?;
        if read? == 0 && connection.borrow().is_handshaking() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    writer.flush_records().await?;
    Ok((reader, writer, raw))
}

impl Reader {
    /// Passes more received bytes to the protocol and returns how many, or 0 at
    /// the end of the connection.
    async fn advance(&mut self) -> io::Result<usize> {
        if self.incoming.is_empty() {
            let (result, buffer) = self.half.read(Vec::with_capacity(READ_BYTES_MAX)).await;
            result?;
            self.incoming.extend_from_slice(&buffer);
        }
        let mut connection = self.connection.borrow_mut();
        let count = connection.read_tls(&mut &self.incoming[..])?;
        self.incoming.advance(count);
        let state = connection.process_new_packets();
        state.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        Ok(count)
    }

    /// Reads decrypted bytes into `buffer`, or returns `None` if there are none
    /// yet.
    fn read_decrypted(&self, buffer: &mut [u8]) -> Option<io::Result<usize>> {
        match self.connection.borrow_mut().reader().read(buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
            result => Some(result),
        }
    }
}

impl AsyncReadRent for Reader {
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        let mut scratch = vec![0; buf.bytes_total().min(READ_BYTES_MAX)];
        loop {
            match self.read_decrypted(&mut scratch) {
                Some(Ok(count)) => {
                    // SAFETY: The read filled `count` bytes of `scratch`, which
                    // is no longer than `buf`.
                    unsafe {
                        buf.write_ptr()
                            .copy_from_nonoverlapping(scratch.as_ptr(), count);
                        buf.set_init(count);
                    }
                    return (Ok(count), buf);
                }
                Some(Err(e)) => return (Err(e), buf),
                None => {}
            }
            if let Err(e) = self.advance().await {
                return (Err(e), buf);
            }
        }
    }

    async fn readv<T: IoVecBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        // SAFETY: `buf` outlives the read, which returns the borrowed part.
        let Some(part) = (unsafe { RawBuf::new_from_iovec_mut(&mut buf) }) else {
            return (Ok(0), buf);
        };
        let (result, _) = self.read(part).await;
        if let Ok(count) = result {
            // SAFETY: The read initialised `count` bytes.
            unsafe { buf.set_init(count) };
        }
        (result, buf)
    }
}

impl Writer {
    /// Sends the records that the protocol has prepared for the caller.
    async fn flush_records(&mut self) -> io::Result<()> {
        loop {
            let mut out = Vec::new();
            {
                let mut connection = self.connection.borrow_mut();
                while connection.wants_write() {
                    connection.write_tls(&mut out)?;
                }
            }
            if out.is_empty() {
                return Ok(());
            }
            // Set before the write, since this future may be dropped within a
            // record.
            self.has_partial_record = true;
            let (result, _) = self.half.write_all(out).await;
            result?;
            self.has_partial_record = false;
        }
    }
}

impl AsyncWriteRent for Writer {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.has_partial_record {
            return (Err(io::ErrorKind::BrokenPipe.into()), buf);
        }
        // SAFETY: `buf` holds that many initialised bytes and is not moved
        // while they are borrowed.
        let bytes = unsafe { std::slice::from_raw_parts(buf.read_ptr(), buf.bytes_init()) };
        let accepted = self.connection.borrow_mut().writer().write(bytes);
        match (accepted, self.flush_records().await) {
            (Ok(count), Ok(())) => (Ok(count), buf),
            (Err(e), _) | (_, Err(e)) => (Err(e), buf),
        }
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        // SAFETY: `buf` outlives the write, which returns the borrowed part.
        let Some(part) = (unsafe { RawBuf::new_from_iovec(&buf) }) else {
            return (Ok(0), buf);
        };
        let (result, _) = self.write(part).await;
        (result, buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.flush_records().await
    }

    /// Sends the close notification, unless a write was interrupted, and closes
    /// the writing half.
    async fn shutdown(&mut self) -> io::Result<()> {
        if !self.has_partial_record {
            self.connection.borrow_mut().send_close_notify();
            // The timeout keeps a caller that does not read from delaying the
            // close.
            let _ = monoio::time::timeout(CLOSE_NOTIFY_TIMEOUT, self.flush_records()).await;
        }
        self.half.shutdown().await
    }
}
