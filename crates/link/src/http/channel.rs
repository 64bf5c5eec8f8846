//! The read and write halves of a caller's connection, plain or encrypted.

use std::io;

use monoio::{
    BufResult,
    buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut},
    io::{AsyncReadRent, AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf, Splitable},
    net::TcpStream,
};

use super::tls;

/// A connection that is ready for requests.
pub(crate) struct Channel {
    pub(crate) reader: Reader,
    pub(crate) writer: Writer,
    /// Reads the raw bytes of the connection, without decryption.
    pub(crate) raw: OwnedReadHalf<TcpStream>,
}

/// The half that reads from the caller.
pub(crate) enum Reader {
    Plain(OwnedReadHalf<TcpStream>),
    Tls(tls::Reader),
}

/// The half that writes to the caller.
pub(crate) enum Writer {
    Plain(OwnedWriteHalf<TcpStream>),
    Tls(tls::Writer),
}

impl Channel {
    /// Returns the channel of an unencrypted connection.
    pub(crate) fn plain(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        let raw = OwnedReadHalf(read.0.clone());
        Self {
            reader: Reader::Plain(read),
            writer: Writer::Plain(write),
            raw,
        }
    }
}

impl AsyncReadRent for Reader {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        match self {
            Self::Plain(half) => half.read(buf).await,
            Self::Tls(half) => half.read(buf).await,
        }
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        match self {
            Self::Plain(half) => half.readv(buf).await,
            Self::Tls(half) => half.readv(buf).await,
        }
    }
}

impl AsyncWriteRent for Writer {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        match self {
            Self::Plain(half) => half.write(buf).await,
            Self::Tls(half) => half.write(buf).await,
        }
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        match self {
            Self::Plain(half) => half.writev(buf).await,
            Self::Tls(half) => half.writev(buf).await,
        }
    }

    async fn flush(&mut self) -> io::Result<()> {
        match self {
            Self::Plain(half) => half.flush().await,
            Self::Tls(half) => half.flush().await,
        }
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        match self {
            Self::Plain(half) => half.shutdown().await,
            Self::Tls(half) => half.shutdown().await,
        }
    }
}
