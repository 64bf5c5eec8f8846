//! The two directions of an encrypted connection.
//!
//! Both share the state of the protocol, which is borrowed only between waits.
//! A read that is cancelled loses nothing: what came in is handed to the
//! protocol in the same poll.

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

/// Decrypts what the caller sends.
pub(crate) struct Reader {
    connection: Shared,
    half: OwnedReadHalf<TcpStream>,
    /// What came in and was not handed to the protocol yet.
    incoming: BytesMut,
}

/// Encrypts what goes to the caller.
pub(crate) struct Writer {
    connection: Shared,
    half: OwnedWriteHalf<TcpStream>,
    /// Whether a write did not come to its end, so that nothing can follow.
    has_partial_record: bool,
}

/// About the length of a record.
const READ_BYTES_MAX: usize = 16 * 1024;
/// How long the notice of a close may take.
const CLOSE_NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Does the handshake.
///
/// # Errors
///
/// The error of the socket, or of the protocol after the caller was told.
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
        // What went wrong is in an alert that is to be sent.
        writer.flush_records().await?;
        if read? == 0 && connection.borrow().is_handshaking() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    writer.flush_records().await?;
    Ok((reader, writer, raw))
}

impl Reader {
    /// Hands more bytes of the caller to the protocol and returns how many, 0
    /// after the last one.
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

    /// Returns decrypted bytes that are in already.
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
                    // SAFETY: `buf` has room for the `count` bytes, at most
                    // its own length, that are copied to its start.
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
        // SAFETY: `buf` outlives the read, which gives the part of it back.
        let Some(part) = (unsafe { RawBuf::new_from_iovec_mut(&mut buf) }) else {
            return (Ok(0), buf);
        };
        let (result, _) = self.read(part).await;
        if let Ok(count) = result {
            // SAFETY: The read has filled `count` bytes.
            unsafe { buf.set_init(count) };
        }
        (result, buf)
    }
}

impl Writer {
    /// Sends what the protocol has for the caller.
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
            // Set first: the future may be dropped in the middle of a record.
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
        // SAFETY: `buf` outlives the write, which gives the part of it back.
        let Some(part) = (unsafe { RawBuf::new_from_iovec(&buf) }) else {
            return (Ok(0), buf);
        };
        let (result, _) = self.write(part).await;
        (result, buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.flush_records().await
    }

    /// Tells the caller that nothing follows, if the last write was whole, and
    /// closes this direction.
    async fn shutdown(&mut self) -> io::Result<()> {
        if !self.has_partial_record {
            self.connection.borrow_mut().send_close_notify();
            // A caller that does not read is not waited for.
            let _ = monoio::time::timeout(CLOSE_NOTIFY_TIMEOUT, self.flush_records()).await;
        }
        self.half.shutdown().await
    }
}
