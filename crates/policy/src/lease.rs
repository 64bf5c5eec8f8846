//! Who is in charge of a job, and until when.
//!
//! The holder counts its time from before it sent the write that renewed the
//! lease; everyone else counts from after they saw that write. Only monotonic
//! clocks are used, so no two processes need to agree on the time of day.

use board::{
    Time,
    lease::{Lease, Record, Terms},
};

/// What to do about a lease now.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing until the lease's next time.
    Wait,
    /// Read the object, and call [`read`] with what it holds.
    Read,
    /// Write the object if it is still at this version (0 for absent), and
    /// call [`wrote`] with the outcome.
    Write {
        /// The version that the object must have.
        version: u64,
        /// The value to write.
        record: Record,
    },
}

/// How a write of a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It stands at this version.
    Written(u64),
    /// It had no effect.
    Failed,
    /// It may have had an effect.
    Unknown,
}

/// Returns what `holder` does about `lease` now.
pub fn step(lease: &mut Lease, now: Time, terms: Terms, holder: &str) -> Step {
    if now < lease.next {
        return Step::Wait;
    }
    lease.next = now + terms.period;
    let Some((version, record, since)) = &lease.seen else {
        return Step::Read;
    };
    if lease.unsettled {
        return Step::Read;
    }
    if record.holder == holder && lease.held.is_some() {
        let record = record.clone();
        return Step::Write {
            version: *version,
            record,
        };
    }
    let term = std::time::Duration::from_millis(record.ttl_ms) + terms.margin;
    if now - *since < term {
        return Step::Read;
    }
    Step::Write {
        version: *version,
        record: next_record(record.epoch, terms, holder),
    }
}

/// Notes what a read returned: the version and value, or `None` when the
/// object does not exist.
pub fn read(lease: &mut Lease, now: Time, found: Option<(u64, Record)>, terms: Terms) {
    lease.unsettled = false;
    let Some((version, record)) = found else {
        // An absent lease may be taken at once: version 0 stands for absence.
        let nobody = Record {
            holder: String::new(),
            epoch: 0,
            ttl_ms: 0,
        };
        lease.seen = Some((0, nobody, now - terms.margin));
        lease.held = None;
        lease.next = now;
        return;
    };
    let is_new = lease
        .seen
        .as_ref()
        .is_none_or(|(seen, ..)| *seen != version);
    if is_new {
        // A write of unknown outcome that took effect gives no term: when it
        // took effect is not known, so the holder waits like everyone else.
        lease.held = None;
        lease.seen = Some((version, record, now));
    }
}

/// Notes how the write of `record`, sent at `sent`, ended.
pub fn wrote(lease: &mut Lease, sent: Time, record: Record, outcome: Outcome, terms: Terms) {
    match outcome {
        Outcome::Written(version) => {
            let until = sent + (terms.ttl - terms.margin);
            lease.held = Some((record.epoch, until));
            lease.seen = Some((version, record, sent));
        }
        Outcome::Failed => lease.unsettled = true,
        Outcome::Unknown => lease.unsettled = true,
    }
}

/// Returns the epoch under which orders may be sent at `now`.
pub fn epoch(lease: &Lease, now: Time) -> Option<u64> {
    match lease.held {
        Some((epoch, until)) if now < until => Some(epoch),
        _ => None,
    }
}

fn next_record(epoch: u64, terms: Terms, holder: &str) -> Record {
    Record {
        holder: holder.to_string(),
        epoch: epoch + 1,
        ttl_ms: terms.ttl.as_millis() as u64,
    }
}
