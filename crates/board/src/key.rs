//! Callers' API keys. Only their digests are stored, sent between VMs and
//! compared.

use std::{
    fmt,
    hash::{Hash, Hasher},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// The kind of the platform objects that hold grants, one for each key digest.
pub const KIND: &str = "key";

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a caller's key.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::key::Digest;
///
/// let digest = Digest::of("a secret");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, Eq, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the digest of `secret`.
    pub fn of(secret: &str) -> Self {
        Self::of_bytes(secret.as_bytes())
    }

    /// Returns the digest of `bytes`, such as the content of a lot.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for Digest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// The error for text that is not a digest in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest must have 64 hexadecimal digits")]
pub struct InvalidDigest;

impl std::str::FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hexadecimal {
            return Err(InvalidDigest);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, index) in bytes.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[index..index + 2], 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(bytes))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        text.parse()
    }
}

crate::record! {
    /// The account of one key, and whether the key was withdrawn.
    pub struct Grant {
        /// The client account that the key acts for.
        pub account: String,
        /// Whether the key was withdrawn. A withdrawal is final.
        pub withdrawn: bool,
    }
}
