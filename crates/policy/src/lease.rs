//! Who is in charge of a job, and until when.
//!
//! The holder counts its time from before it sent the write that renewed the
//! lease; everyone else counts from after they saw that write. Only monotonic
//! clocks are used, so no two processes need to agree on the time of day.

use std::time::Duration;

use board::{
    Time, hash,
    lease::{Lease, Record, Terms},
};

/// A taker has read the object this shortly before, so that VMs which look
/// seldom do not write against a version that is long gone.
const READ_AGE_MAX: Duration = Duration::from_secs(1);

/// How often a holder renews in the time of one term, at least.
const RENEWALS_PER_TERM: u32 = 4;

/// How many VMs of a rendezvous look at a lease often.
const PRIMARIES: usize = 3;

/// How many VMs look at a lease at all often, with those.
const PRIMARIES_AND_BACKUPS: usize = 8;

/// How often these look at it.
const BACKUP_PERIOD: Duration = Duration::from_secs(15);

/// How much less often each VM of a deployment makes the rest look at it.
const PERIOD_PER_VM: Duration = Duration::from_secs(2);

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
    /// It may stand or not: a read tells.
    Unknown,
}

/// Returns what `holder` does about `lease` now.
///
/// # Examples
///
/// ```
/// use board::{Time, lease::{Lease, Terms}};
/// use tarragonseam_policy::lease::{self, Outcome, Step};
///
/// let (terms, now) = (Terms::default(), Time::from_millis(10_000));
/// let mut mine = Lease::new(1);
/// assert_eq!(lease::step(&mut mine, now, terms, "vm-1"), Step::Read);
/// lease::record_read(&mut mine, now, None, terms);
/// let Step::Write { record, .. } = lease::step(&mut mine, now, terms, "vm-1") else {
///     panic!("an absent lease is taken at once");
/// };
/// lease::record_write(&mut mine, now, record, Outcome::Written(1), terms);
/// assert_eq!(lease::epoch(&mine, now), Some(1));
/// assert_eq!(lease::epoch(&mine, now + terms.ttl), None);
/// ```
pub fn step(lease: &mut Lease, now: Time, terms: Terms, holder: &str) -> Step {
    if now < lease.next {
        return Step::Wait;
    }
    // A holder that is no longer among those that look often still renews.
    let period = match lease.held {
        Some(_) => renewal_period(terms),
        None => terms.period,
    };
    lease.next = now + period;
    let Some((version, record, since)) = lease.seen.clone() else {
        return Step::Read;
    };
    if lease.unsettled.is_some() {
        return Step::Read;
    }
    let is_held = lease.held.is_some();
    let has_expired = now - since >= takeover_delay(&record, terms);
    let is_recent = now - lease.looked < READ_AGE_MAX;
    let may_acquire = has_expired && is_recent;
    if !is_held && !may_acquire {
        return Step::Read;
    }
    let epoch = if is_held {
        record.epoch
    } else {
        record.epoch + 1
    };
    let record = next_record(lease, holder, epoch, terms.ttl);
    Step::Write { version, record }
}

/// Returns a record that differs from all others, for `term`.
fn next_record(lease: &mut Lease, holder: &str, epoch: u64, term: Duration) -> Record {
    lease.serial += 1;
    Record {
        holder: holder.to_string(),
        epoch,
        ttl_ms: term.as_millis() as u64,
        nonce: lease.nonce,
        serial: lease.serial,
    }
}

/// Notes what a read returned: the version and value, or `None` when the
/// object does not exist.
pub fn record_read(lease: &mut Lease, now: Time, found: Option<(u64, Record)>, terms: Terms) {
    let unsettled = lease.unsettled.take();
    lease.looked = now;
    let Some((version, record)) = found else {
        // An absent lease may be taken at once: version 0 stands for absence.
        let absent = Record {
            holder: String::new(),
            epoch: 0,
            ttl_ms: 0,
            nonce: 0,
            serial: 0,
        };
        lease.seen = Some((0, absent, now - terms.margin));
        lease.held = None;
        lease.next = now;
        return;
    };
    if let Some((seen, record, since)) = &lease.seen
        && *seen == version
    {
        let end = *since + takeover_delay(record, terms);
        // A term that has ended, or ends before the next look, is not waited
        // out for longer than it lasts.
        lease.next = lease.next.min(end.max(now));
        return;
    }
    // A write of this process that did take effect counts from when it was
    // sent, which is before anyone else can have seen it. Any other version
    // ends what this process held.
    lease.held = unsettled
        .filter(|(sent, _)| *sent == record)
        .map(|(_, at)| (record.epoch, at + (terms.ttl - terms.margin)));
    lease.seen = Some((version, record, now));
}

/// Notes how the write of `record`, sent at `sent`, ended.
pub fn record_write(lease: &mut Lease, sent: Time, record: Record, outcome: Outcome, terms: Terms) {
    match outcome {
        Outcome::Written(version) => {
            let until = sent + (terms.ttl - terms.margin);
            lease.held = Some((record.epoch, until));
            lease.seen = Some((version, record, sent));
            lease.next = lease.next.min(sent + renewal_period(terms));
        }
        Outcome::Unknown => lease.unsettled = Some((record, sent)),
    }
}

/// Returns the epoch under which orders may be sent at `now`.
pub fn epoch(lease: &Lease, now: Time) -> Option<u64> {
    match lease.held {
        Some((epoch, until)) if now < until => Some(epoch),
        _ => None,
    }
}

/// Notes that a record of `holder` which this process did not write is of a
/// process that has ended, so that its term need not be waited out. Only for
/// holders of which one process runs at a time, with receivers that refuse
/// orders of a lower epoch.
///
/// # Examples
///
/// ```
/// use board::{Time, lease::{Lease, Record, Terms}};
/// use tarragonseam_policy::lease::{self, Step};
///
/// let (terms, now) = (Terms::default(), Time::from_millis(10_000));
/// let before = Record { holder: "vm-1".into(), epoch: 3, ttl_ms: 6000, nonce: 1, serial: 9 };
/// let mut mine = Lease::new(2);
/// lease::record_read(&mut mine, now, Some((41, before)), terms);
/// lease::expire_predecessor(&mut mine, now, terms, "vm-1");
/// let step = lease::step(&mut mine, now, terms, "vm-1");
/// assert!(matches!(step, Step::Write { version: 41, record } if record.epoch == 4));
/// ```
pub fn expire_predecessor(lease: &mut Lease, now: Time, terms: Terms, holder: &str) {
    let is_written_here = lease.held.is_some() || lease.unsettled.is_some();
    if let Some((_, record, since)) = &mut lease.seen
        && record.holder == holder
        && record.nonce != lease.nonce
        && !is_written_here
    {
        *since = now - takeover_delay(record, terms);
        lease.next = now;
    }
}

/// Gives the lease up, and returns the write that says so. The record's shorter
/// term still covers an order that has just been sent.
pub fn release(lease: &mut Lease, terms: Terms, holder: &str) -> Option<Step> {
    let (epoch, _) = lease.held.take()?;
    let (version, ..) = lease.seen.clone()?;
    let record = next_record(lease, holder, epoch, terms.margin);
    Some(Step::Write { version, record })
}

/// Returns how often `vm` looks at the lease on `job`: the first few VMs by
/// rendezvous hash often, so that calls do not grow with the number of VMs;
/// a few more seldom, for when all of those are lost together and thought to
/// live; the rest the more seldom the more there are.
///
/// # Examples
///
/// ```
/// use board::lease::Terms;
/// use tarragonseam_policy::lease;
///
/// let terms = Terms::default();
/// let vms = ["vm-1", "vm-2"];
/// assert_eq!(lease::check_period("usage", "vm-1", &vms, terms), terms.period);
/// ```
pub fn check_period(duty: &str, vm: &str, vms: &[&str], terms: Terms) -> Duration {
    let seed = hash::rendezvous(0, duty);
    let weight = |name: &str| hash::rendezvous(seed, name);
    let own = weight(vm);
    let higher = vms.iter().filter(|other| weight(other) > own).count();
    if vms.is_empty() || (vms.contains(&vm) && higher < PRIMARIES) {
        terms.period
    } else if higher < PRIMARIES_AND_BACKUPS {
        BACKUP_PERIOD
    } else {
        BACKUP_PERIOD + PERIOD_PER_VM * vms.len() as u32
    }
}

/// Returns how long after a write a holder renews.
fn renewal_period(terms: Terms) -> Duration {
    terms.period.min(terms.ttl / RENEWALS_PER_TERM)
}

/// Returns how long a version must have been seen before it can be replaced.
fn takeover_delay(record: &Record, terms: Terms) -> Duration {
    Duration::from_millis(record.ttl_ms) + terms.margin
}
