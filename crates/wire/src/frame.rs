//! Encoding of messages: a version byte, then the message in postcard.

use serde::{Serialize, de::DeserializeOwned};

/// The version of the message format, which is the first byte of each frame.
const VERSION: u8 = 2;

/// The largest frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Why a message cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame has a version other than this process's.
    #[error("unsupported frame version: expected {VERSION}")]
    Version,
    /// The frame is empty or exceeds [`FRAME_BYTES_MAX`].
    #[error("frame of {0} bytes: expected 1 to {FRAME_BYTES_MAX} bytes")]
    Size(usize),
    /// The message cannot be serialized, or the bytes are not one message.
    #[error("malformed frame")]
    Malformed,
}

/// Encodes `message`.
///
/// # Errors
///
/// [`Error::Size`] when the frame would exceed [`FRAME_BYTES_MAX`].
///
/// # Examples
///
/// ```
/// use tarragonseam_wire::{Request, decode, encode};
///
/// let bytes = encode(&Request::Status)?;
/// assert_eq!(decode::<Request>(&bytes)?, Request::Status);
/// # Ok::<(), tarragonseam_wire::Error>(())
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_extend(message, vec![VERSION]).map_err(|_| Error::Malformed)?;
    if bytes.len() > FRAME_BYTES_MAX {
        return Err(Error::Size(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes the single message that takes up all of `bytes`.
///
/// # Errors
///
/// An [`Error`] for anything but one complete message of this version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (version, body) = bytes.split_first().ok_or(Error::Size(0))?;
    if *version != VERSION {
        return Err(Error::Version);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(|_| Error::Malformed)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Error::Malformed)
    }
}
