//! Why an HTTP exchange failed, and whether the peer can have seen it.

use std::fmt;

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No connection could be opened.
    Connect,
    /// The request could not be built.
    Build,
    /// The fence of the request was closed before its bytes left.
    Fenced,
    /// Writing the request failed.
    Send,
    /// The peer did not answer within the time allowed.
    Timeout,
    /// The peer closed the connection before the answer was whole.
    Incomplete,
    /// The answer broke the protocol or a limit.
    Malformed,
    /// The answer belongs to another request.
    Foreign,
}

/// A failed exchange.
///
/// [`Error::is_unsent`] tells whether the peer can have acted on the request.
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

    /// Returns what went wrong.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the error of a call of which an earlier try may have arrived.
    pub(crate) fn into_sent(self) -> Self {
        if self.is_unsent() {
            return Self::new(Kind::Incomplete, self);
        }
        self
    }

    /// Returns whether no byte of the request can have reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self.kind, Kind::Connect | Kind::Build | Kind::Fenced)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            Kind::Connect => "cannot connect",
            Kind::Build => "cannot build the request",
            Kind::Fenced => "not sent",
            Kind::Send => "cannot send the request",
            Kind::Timeout => "no answer in time",
            Kind::Incomplete => "incomplete answer",
            Kind::Malformed => "malformed answer",
            Kind::Foreign => "answer to another request",
        };
        write!(f, "{what}: {}", self.detail)
    }
}

impl std::error::Error for Error {}
