//! Encoding of one message.

use serde::{Serialize, de::DeserializeOwned};

/// The version of the messages, the first byte of each frame.
const VERSION: u8 = 2;

/// The largest frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame has another version.
    #[error("frame of another version")]
    Version,
    /// The frame is empty or over [`FRAME_BYTES_MAX`].
    #[error("frame of {0} bytes")]
    Size(usize),
    /// The bytes do not decode.
    #[error("malformed frame")]
    Malformed,
}

/// Encodes `message`.
///
/// # Errors
///
/// [`Error::Size`] when the message is too large.
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

/// Decodes one message that fills `bytes`.
///
/// # Errors
///
/// An [`Error`] for anything but one whole message of this version.
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
