//! Questions and answers between processes over TCP: a length of four bytes,
//! big-endian, then a frame.

use std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use wire::{Answer, Ask, frame::FRAME_MAX};

use crate::{fault, net};

/// Why a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("peer connection: {0}")]
    Io(#[from] io::Error),
    /// The frame is not one of ours.
    #[error("peer frame: {0}")]
    Frame(#[from] wire::Error),
    /// No answer came in time.
    #[error("no answer from the peer in time")]
    Timeout,
}

/// Asks `peer` and waits up to `limit`.
///
/// # Errors
///
/// An [`Error`] when no whole answer came.
pub async fn ask(peer: SocketAddr, ask: &Ask, limit: Duration) -> Result<Answer, Error> {
    if fault::is_cut_to(peer) || fault::is_cut_from(peer) {
        return Err(Error::Timeout);
    }
    let exchange = async {
        let mut stream = net::connect(peer, limit).await?;
        write_frame(&mut stream, wire::encode(ask)?).await?;
        let frame = read_frame(&mut stream).await?;
        Ok(wire::decode(&frame)?)
    };
    match monoio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout),
    }
}

const IDLE_MAX: Duration = Duration::from_secs(30);

/// Answers questions for ever.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Ask) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        monoio::spawn(async move {
            // A bad frame or a lost connection ends only this conversation.
            let _ = converse(stream, &*handler).await;
        });
    }
}

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

async fn converse<H, F>(mut stream: TcpStream, handler: &H) -> Result<(), Error>
where
    H: Fn(Ask) -> F,
    F: Future<Output = Answer>,
{
    net::tune(&stream)?;
    loop {
        let frame = match monoio::time::timeout(IDLE_MAX, read_frame(&mut stream)).await {
            Ok(frame) => frame?,
            Err(_) => return Err(Error::Timeout),
        };
        let answer = handler(wire::decode(&frame)?).await;
        write_frame(&mut stream, wire::encode(&answer)?).await?;
    }
}

async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>, Error> {
    let length = stream.read_u32().await? as usize;
    if length > FRAME_MAX {
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
