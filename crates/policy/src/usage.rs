//! Usage accounting: which VMs hold copies of usage records, and the totals of
//! a reporting window.

use std::{collections::BTreeMap, time::Duration};

use board::{
    Time,
    hash::{self, Map},
    usage::{
        AccountFigures, ClosedWindow, CopiedRequests, FrozenWindow, Origin, Record, Totals, Window,
    },
};

/// How long the report of a window waits for an unresponsive VM before the
/// copies of its records are used.
pub const UNRESPONSIVE_GRACE: Duration = Duration::from_secs(10);

/// How long after its end a window is closed, so that clocks of VMs may differ
/// by this much without records being late.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_millis(500);

/// Returns the indices into `vms`, given as (name, failure domain), of the VMs
/// that may hold the copies of `vm`, best first: those of other failure domains
/// by rendezvous hash, then those of its own.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::usage::copy_holders;
///
/// let vms = [("vm-a1", "a"), ("vm-a2", "a"), ("vm-b1", "b")];
/// assert_eq!(copy_holders("vm-a1", "a", &vms), [2, 1]);
/// ```
pub fn copy_holders(vm: &str, domain: &str, vms: &[(&str, &str)]) -> Vec<usize> {
    let seed = hash::rendezvous(0, vm);
    let mut indices: Vec<_> = (0..vms.len()).filter(|index| vms[*index].0 != vm).collect();
    indices.sort_by_key(|index| {
        let (name, other) = vms[*index];
        (other == domain, hash::rendezvous(seed, name))
    });
    indices
}

/// The VMs that do not answer the reporter, and since when.
#[derive(Clone, Debug, Default)]
pub struct Unresponsive(Map<String, Time>);

impl Unresponsive {
    /// Records whether `vm` answered, and returns whether the window must still
    /// wait for it.
    pub fn record_response(&mut self, vm: &str, now: Time, has_answered: bool) -> bool {
        if has_answered {
            self.0.remove(vm);
            return false;
        }
        let since = *self.0.entry(vm.to_string()).or_insert(now);
        now - since < UNRESPONSIVE_GRACE
    }
}

/// Returns the processes whose records are only available as copies.
pub fn missing_origins(answers: &[ClosedWindow]) -> Vec<Origin> {
    let copied = answers.iter().flat_map(|answer| &answer.copies);
    let mut missing: Vec<_> = copied
        .filter(|origin| answers.iter().all(|answer| answer.origin != **origin))
        .cloned()
        .collect();
    missing.sort();
    missing.dedup();
    missing
}

/// Returns the totals of a window. Processes that answered are counted by their
/// own figures, the others by the copies of their records, and each request
/// once. Records that `previous` counted from copies are skipped: a record that
/// was moved to a later window can leave a copy behind.
pub fn total(
    window: Window,
    epoch: u64,
    answers: &[ClosedWindow],
    copies: &[(Origin, Vec<Record>)],
    previous: Option<&FrozenWindow>,
) -> FrozenWindow {
    let mut totals = Totals::default();
    let mut late = 0;
    for answer in answers {
        for (account, figures) in &answer.totals {
            totals.entry(account.clone()).or_default().add(*figures);
        }
        late += answer.late;
    }
    let mut by_origin: BTreeMap<&Origin, BTreeMap<&str, &Record>> = BTreeMap::new();
    for (origin, records) in copies {
        let is_new = |id: &str| previous.is_none_or(|frozen| !is_counted(frozen, origin, id));
        let new = records.iter().filter(|record| is_new(&record.id));
        let by_id = by_origin.entry(origin).or_default();
        by_id.extend(new.map(|record| (record.id.as_str(), record)));
    }
    let mut copied = Vec::new();
    for (origin, records) in by_origin {
        for record in records.values() {
            let figures = totals.entry(record.account.clone()).or_default();
            figures.add(record.figures);
            late += record.late_requests();
        }
        copied.push(CopiedRequests {
            origin: origin.clone(),
            ids: records.keys().map(|id| (*id).to_string()).collect(),
        });
    }
    let account_figures = |(account, figures)| AccountFigures { account, figures };
    FrozenWindow {
        window,
        epoch,
        figures: totals.into_iter().map(account_figures).collect(),
        late,
        origins: answers.iter().map(|answer| answer.origin.clone()).collect(),
        copied,
    }
}

/// Returns whether `frozen` counted the request `id` of `origin` from a copy.
pub fn is_counted(frozen: &FrozenWindow, origin: &Origin, id: &str) -> bool {
    let copied = frozen.copied.iter();
    let mut of_origin = copied.filter(|copied| copied.origin == *origin);
    of_origin.any(|copied| copied.ids.iter().any(|other| other == id))
}
