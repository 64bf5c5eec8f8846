//! Leases: which process performs a duty, and until when.
//!
//! The holder counts its term from before it sent the write that renewed the
//! lease; all others count it from after they read that write. Only monotonic
//! clocks are used, so processes need not agree on the time of day.

use std::time::Duration;

use board::{
    Time, hash,
    lease::{Lease, Record, Terms},
};

/// The largest age of the last read when a lease is acquired, so that a VM that
/// checks rarely does not write against an outdated version.
const READ_AGE_MAX: Duration = Duration::from_secs(1);

/// The minimum number of renewals in one term.
const RENEWALS_PER_TERM: u32 = 4;

/// How many VMs, first by rendezvous hash, check a lease at the shortest
/// period.
const PRIMARIES: usize = 3;

/// How many VMs, first by rendezvous hash, check a lease at the shortest period
/// or at [`BACKUP_PERIOD`].
const PRIMARIES_AND_BACKUPS: usize = 8;

/// How often the backups check a lease.
const BACKUP_PERIOD: Duration = Duration::from_secs(15);

/// The check period of a VM that is neither a primary nor a backup grows by
/// this for each VM of the deployment.
const PERIOD_PER_VM: Duration = Duration::from_secs(2);

/// The number of own writes of unknown outcome that a process remembers.
const PENDING_WRITES_MAX: usize = 16;

/// The next step of the lease protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Do nothing until the lease's next check.
    Wait,
    /// Read the object, then call [`record_read`] with the result.
    Read,
    /// Write the object if it still has this version (0 if absent), then call
    /// [`record_write`] with the outcome.
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
    /// The write succeeded and produced this version.
    Written(u64),
    /// The write may or may not have taken effect; a read resolves it.
    Unknown,
}

/// Returns the next step of `holder` for `lease`.
///
/// # Examples
///
/// ```
/// use board::{Time, lease::{Lease, Terms}};
/// use tarragonseam_policy::lease::{self, Outcome, Step};
///
/// let (terms, now) = (Terms::default(), Time::from_millis(10_000));
/// let mut lease = Lease::new(1);
/// assert_eq!(lease::step(&mut lease, now, terms, "vm-1"), Step::Read);
/// lease::record_read(&mut lease, now, None, terms);
/// let Step::Write { record, .. } = lease::step(&mut lease, now, terms, "vm-1") else {
///     panic!("an absent lease is acquired at once");
/// };
/// lease::record_write(&mut lease, now, record, Outcome::Written(1), terms);
/// assert_eq!(lease::epoch(&lease, now), Some(1));
/// assert_eq!(lease::epoch(&lease, now + terms.ttl), None);
/// ```
pub fn step(lease: &mut Lease, now: Time, terms: Terms, holder: &str) -> Step {
    if now < lease.next_check {
        return Step::Wait;
    }
    // A holder renews in time even if its check period has become long.
    let period = match lease.held {
        Some(_) => renewal_period(terms),
        None => terms.period,
    };
    lease.next_check = now + period;
    let Some((version, record, since)) = lease.seen.clone() else {
        return Step::Read;
    };
    if lease.must_read {
        return Step::Read;
    }
    let is_held = lease.held.is_some();
    let has_expired = now - since >= takeover_delay(&record, terms);
    let is_recent = now - lease.read_at < READ_AGE_MAX;
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

/// Returns a record with `ttl` and with the lease's nonce and next serial,
/// which together make it unique.
fn next_record(lease: &mut Lease, holder: &str, epoch: u64, ttl: Duration) -> Record {
    lease.serial += 1;
    Record {
        holder: holder.to_string(),
        epoch,
        ttl_ms: ttl.as_millis() as u64,
        nonce: lease.nonce,
        serial: lease.serial,
    }
}

/// Records the result of a read: the version and value, or `None` if the object
/// does not exist.
pub fn record_read(lease: &mut Lease, now: Time, found: Option<(u64, Record)>, terms: Terms) {
    lease.read_at = now;
    lease.must_read = false;
    let Some((version, record)) = found else {
        // An absent lease may be acquired at once: version 0 denotes absence.
        let absent = Record {
            holder: String::new(),
            epoch: 0,
            ttl_ms: 0,
            nonce: 0,
            serial: 0,
        };
        lease.seen = Some((0, absent, now - terms.margin));
        lease.held = None;
        lease.next_check = now;
        return;
    };
    if let Some((known_version, record, since)) = &lease.seen
        && *known_version == version
    {
        let end = *since + takeover_delay(record, terms);
        // Checks again when the term ends, or now if it has ended, instead of
        // waiting for the regular check.
        lease.next_check = lease.next_check.min(end.max(now));
        return;
    }
    // If the read returns a write of this process whose outcome was unknown,
    // its term counts from when it was sent, before any other process can have
    // read it. Any other version means that the lease is no longer held. The
    // remaining writes require the previous version and can't take effect.
    let mut pending = std::mem::take(&mut lease.pending_writes).into_iter();
    let own = pending.find(|(written, _)| *written == record);
    lease.held = None;
    if let Some((_, sent)) = own {
        hold(lease, record.epoch, sent, terms);
    }
    lease.seen = Some((version, record, now));
}

/// Records the outcome of the write of `record`, which was sent at `sent`.
pub fn record_write(lease: &mut Lease, sent: Time, record: Record, outcome: Outcome, terms: Terms) {
    match outcome {
        Outcome::Written(version) => {
            hold(lease, record.epoch, sent, terms);
            lease.pending_writes.clear();
            lease.seen = Some((version, record, sent));
            lease.next_check = lease.next_check.min(sent + renewal_period(terms));
        }
        Outcome::Unknown => {
            // A read that still returns the previous version doesn't resolve the
            // write, which may be in transit.
            if lease.pending_writes.len() == PENDING_WRITES_MAX {
                lease.pending_writes.remove(0);
            }
            lease.pending_writes.push((record, sent));
            lease.must_read = true;
        }
    }
}

/// Holds the lease under `epoch` by a write that was sent at `sent`.
fn hold(lease: &mut Lease, epoch: u64, sent: Time, terms: Terms) {
    lease.held = Some((epoch, sent + (terms.ttl - terms.margin)));
    if lease.acquired.is_none_or(|(acquired, _)| acquired != epoch) {
        lease.acquired = Some((epoch, sent));
    }
}

/// Returns the epoch under which orders may be sent at `now`, or `None` if the
/// lease is not held.
pub fn epoch(lease: &Lease, now: Time) -> Option<u64> {
    match lease.held {
        Some((epoch, until)) if now < until => Some(epoch),
        _ => None,
    }
}

/// Treats a record of `holder` that this process did not write as expired: it
/// belongs to a previous process, which has ended. This is safe only if a
/// holder never runs two processes at once. Where receivers do not check epochs,
/// the record is treated as released, so that an order which the previous
/// process sent just before its end is delivered first.
///
/// # Examples
///
/// ```
/// use board::{Time, lease::{Lease, Record, Terms}};
/// use tarragonseam_policy::lease::{self, Step};
///
/// let (terms, now) = (Terms::default(), Time::from_millis(10_000));
/// let before = Record { holder: "vm-1".into(), epoch: 3, ttl_ms: 6000, nonce: 1, serial: 9 };
/// let mut lease = Lease::new(2);
/// lease::record_read(&mut lease, now, Some((41, before)), terms);
/// lease::expire_predecessor(&mut lease, now, terms, "vm-1");
/// let step = lease::step(&mut lease, now, terms, "vm-1");
/// assert!(matches!(step, Step::Write { version: 41, record } if record.epoch == 4));
/// ```
pub fn expire_predecessor(lease: &mut Lease, now: Time, terms: Terms, holder: &str) {
    let has_own_write = lease.held.is_some() || lease.must_read;
    if let Some((_, record, since)) = &mut lease.seen
        && record.holder == holder
        && record.nonce != lease.nonce
        && !has_own_write
    {
        if !terms.is_epoch_checked {
            record.ttl_ms = record.ttl_ms.min(terms.margin.as_millis() as u64);
            return;
        }
        *since = now - takeover_delay(record, terms);
        lease.next_check = now;
    }
}

/// Releases the lease and returns the write that publishes the release. The
/// written record has a TTL as short as the margin. A successor still waits
/// until an order that was sent just before the release has been delivered.
/// Where receivers do not check epochs, it also waits until one TTL after the
/// lease was acquired: by then the last orders of the holder before are older.
pub fn release(lease: &mut Lease, now: Time, terms: Terms, holder: &str) -> Option<Step> {
    let (epoch, _) = lease.held.take()?;
    let (version, ..) = lease.seen.clone()?;
    let mut ttl = terms.margin;
    if !terms.is_epoch_checked {
        let acquired = lease.acquired.filter(|(acquired, _)| *acquired == epoch);
        let held_for = acquired.map_or(Duration::ZERO, |(_, since)| now - since);
        ttl = ttl.max(terms.ttl.saturating_sub(held_for));
    }
    let record = next_record(lease, holder, epoch, ttl);
    Some(Step::Write { version, record })
}

/// Returns the period at which `vm` checks the lease on `duty`. The first few
/// VMs by rendezvous hash check it often, so the number of calls does not grow
/// with the number of VMs. A few more check it at a longer period, in case the
/// first ones fail together and still count as live. The period of all others
/// grows with the number of VMs.
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

/// Returns how long after a write the holder renews the lease.
fn renewal_period(terms: Terms) -> Duration {
    terms.period.min(terms.ttl / RENEWALS_PER_TERM)
}

/// Returns how long a version must remain unchanged before another process may
/// replace it.
fn takeover_delay(record: &Record, terms: Terms) -> Duration {
    Duration::from_millis(record.ttl_ms) + terms.margin
}
