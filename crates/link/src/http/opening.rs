//! Why a client opens connections: for the first time, or in place of connections
//! that it lost.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use board::hash::Map;

/// Why a connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection to the peer was lost: it is the first one, or more are used at
    /// the same time than before.
    Added,
    /// The request must not share a connection.
    Required,
    /// A probe whether the peer can be reached.
    Probe,
    /// In place of a connection that the peer closed.
    Closed,
    /// In place of a connection that was closed here after an error, or with a
    /// response that was not read to its end.
    Abandoned,
    /// In place of an idle connection that was closed here.
    Expired,
}

impl Cause {
    /// Returns the name of the cause in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Required => "required",
            Self::Probe => "probe",
            Self::Closed => "closed",
            Self::Abandoned => "abandoned",
            Self::Expired => "expired",
        }
    }
}

/// How a connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    Closed,
    Abandoned,
    Expired,
}

/// The number of connections to one peer that were lost and not replaced yet.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    closed: u32,
    abandoned: u32,
    expired: u32,
}

impl Count {
    /// Removes one loss, and returns the cause of the connection in its place.
    fn take(&mut self) -> Option<Cause> {
        let counts = [
            (&mut self.closed, Cause::Closed),
            (&mut self.abandoned, Cause::Abandoned),
            (&mut self.expired, Cause::Expired),
        ];
        let (count, cause) = counts.into_iter().find(|(count, _)| **count > 0)?;
        *count -= 1;
        Some(cause)
    }
}

/// The lost connections by peer. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Losses(Rc<RefCell<Map<SocketAddr, Count>>>);

impl Losses {
    /// Returns a record of a connection to `peer` that was opened just now.
    pub(crate) fn watch(&self, peer: SocketAddr) -> Life {
        Life {
            losses: self.clone(),
            peer,
            loss: Loss::Abandoned,
        }
    }

    /// Returns the cause of a connection to `peer` that may be shared.
    pub(crate) fn next_cause(&self, peer: SocketAddr) -> Cause {
        let mut counts = self.0.borrow_mut();
        let cause = counts.get_mut(&peer).and_then(Count::take);
        cause.unwrap_or(Cause::Added)
    }
}

/// The record of an open connection, which counts its loss when it is dropped.
pub(crate) struct Life {
    losses: Losses,
    peer: SocketAddr,
    /// How the connection is lost if it is dropped now.
    pub(crate) loss: Loss,
}

impl Drop for Life {
    fn drop(&mut self) {
        let mut counts = self.losses.0.borrow_mut();
        let count = counts.entry(self.peer).or_default();
        match self.loss {
            Loss::Closed => count.closed += 1,
            Loss::Abandoned => count.abandoned += 1,
            Loss::Expired => count.expired += 1,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connection_replaces_a_lost_one() {
        let losses = Losses::default();
        let [peer, other] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        assert_eq!(losses.next_cause(peer), Cause::Added);
        for loss in [Loss::Expired, Loss::Closed, Loss::Abandoned] {
            losses.watch(peer).loss = loss;
        }
        assert_eq!(losses.next_cause(other), Cause::Added);
        let causes: Vec<Cause> = (0..4).map(|_| losses.next_cause(peer)).collect();
        let expected = [
            Cause::Closed,
            Cause::Abandoned,
            Cause::Expired,
            Cause::Added,
        ];
        assert_eq!(causes, expected);
    }
}
