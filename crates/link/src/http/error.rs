//! Why an HTTP exchange failed, and whether the request may have reached the
//! peer.

use std::fmt;

/// The kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No connection could be opened.
    Connect,
    /// The request could not be built.
    Build,
    /// The fence of the request was closed, or its condition did not hold, before the
    /// request was written.
    Fenced,
    /// Writing the request failed.
    Send,
    /// A time limit passed before the exchange was complete.
    Timeout,
    /// The response ended before it was complete, or has no length that would
    /// prove its end.
    Incomplete,
    /// The response violates the protocol or a limit.
    Malformed,
    /// The response belongs to another request.
    Mismatched,
}

/// A failed exchange.
///
/// [`Error::is_unsent`] returns whether the request certainly did not reach the
/// peer.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    detail: String,
}

impl Error {
    /// Returns an error of `kind`.
    pub fn new(kind: Kind, detail: impl fmt::Display) -> Self {
        Self {
            kind,
            detail: detail.to_string(),
        }
    }

    /// Returns the kind of the failure.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the error of a call whose earlier attempt may have reached the
    /// peer, for which [`Error::is_unsent`] is false.
    pub(crate) fn into_sent(self) -> Self {
        if self.is_unsent() {
            return Self::new(Kind::Incomplete, self);
        }
        self
    }

    /// Returns whether certainly no byte of the request reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self.kind, Kind::Connect | Kind::Build | Kind::Fenced)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = match self.kind {
            Kind::Connect => "cannot connect",
            Kind::Build => "cannot build the request",
            Kind::Fenced => "request not sent",
            Kind::Send => "cannot send the request",
            Kind::Timeout => "time limit exceeded",
            Kind::Incomplete => "incomplete response",
            Kind::Malformed => "malformed response",
            Kind::Mismatched => "response to another request",
        };
        write!(f, "{summary}: {}", self.detail)
    }
}

impl std::error::Error for Error {}
