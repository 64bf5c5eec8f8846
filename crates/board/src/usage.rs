//! Usage of each client account by time window.

use std::collections::{BTreeMap, BTreeSet, btree_map};

use crate::hash::Map;

/// The kind of the platform objects that hold the figures of reported windows.
pub const KIND: &str = "usage-window";

/// The kind of the platform object that holds the first window that is
/// reported. It is written before any window is frozen, and never changes.
pub const FIRST_KIND: &str = "usage-first-window";

/// The name of the only object of [`FIRST_KIND`].
pub const FIRST_NAME: &str = "first";

/// The kind of the platform object that holds the first window whose figures
/// are not deleted. It is written before they are deleted, and never decreases.
/// Figures below it that exist were written too late, and are not in force.
pub const FLOOR_KIND: &str = "usage-floor";

/// The name of the only object of [`FLOOR_KIND`].
pub const FLOOR_NAME: &str = "floor";

crate::record! {
    /// The number of a window: wall-clock milliseconds divided by its length.
    #[derive(Default)]
    copy pub struct Window(pub u64);
}

impl Window {
    /// Returns the window after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

crate::record! {
    /// The usage of an account.
    #[derive(Default)]
    #[serde(default)]
    copy pub struct Figures {
        /// Requests that were answered completely or in part.
        pub requests: u64,
        /// Prompt tokens.
        pub tokens_in: u64,
        /// Generated tokens.
        pub tokens_out: u64,
        /// The number of those requests whose caller disconnected before the
        /// response was complete.
        pub abandoned: u64,
    }
}

impl Figures {
    /// Adds `other`.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens_in += other.tokens_in;
        self.tokens_out += other.tokens_out;
        self.abandoned += other.abandoned;
    }
}

/// Figures by account.
pub type Totals = BTreeMap<String, Figures>;

crate::record! {
    /// One run of a VM's entry process, which measures usage.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Origin {
        /// The name of the VM.
        pub vm: String,
        /// Identifies the run: it differs after each start.
        pub incarnation: u64,
    }
}

crate::record! {
    /// The usage of one request, or the sum of several.
    pub struct Record {
        /// The id of the request, or of the first one in a sum.
        pub id: String,
        /// The client account.
        pub account: String,
        /// The window in which it is reported.
        pub window: Window,
        /// Whether the request ended in an earlier window that was already
        /// closed.
        pub late: bool,
        /// The usage.
        pub figures: Figures,
    }
}

impl Record {
    /// Returns the number of requests if the record is late, and 0 otherwise.
    pub fn late_requests(&self) -> u64 {
        if self.late { self.figures.requests } else { 0 }
    }
}

crate::record! {
    /// One process's figures of a window that it has closed to new records.
    pub struct ClosedWindow {
        /// The process.
        pub origin: Origin,
        /// The figures that the process measured, by account.
        pub totals: Totals,
        /// The number of late requests among them.
        pub late: u64,
        /// The processes whose records of the window it holds copies of.
        pub copies: Vec<Origin>,
        /// The earliest window of which it holds any record.
        pub oldest: Option<Window>,
    }
}

crate::record! {
    /// Requests that were counted from copies, because the process that
    /// measured them did not respond.
    pub struct CopiedRequests {
        /// The process that measured them.
        pub origin: Origin,
        /// The ids of the requests.
        pub ids: Vec<String>,
    }
}

crate::record! {
    /// The figures of one account.
    pub struct AccountFigures {
        /// The client account.
        pub account: String,
        /// The usage.
        #[serde(flatten)]
        pub figures: Figures,
    }
}

crate::record! {
    /// The final figures of a window, which never change after they are
    /// written.
    pub struct FrozenWindow {
        /// The window.
        pub window: Window,
        /// The epoch of the lease under which they were written.
        pub epoch: u64,
        /// The figures by account.
        pub figures: Vec<AccountFigures>,
        /// The number of counted requests that ended in an earlier, already
        /// closed window.
        pub late: u64,
        /// The processes that reported their own figures.
        pub origins: Vec<Origin>,
        /// The requests that were counted from copies.
        pub copied: Vec<CopiedRequests>,
    }
}

/// The usage records that this process has measured, and its copies of other
/// processes' records.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::usage::{Figures, Ledger, Window};
///
/// let mut ledger = Ledger::default();
/// let figures = Figures { requests: 1, ..Figures::default() };
/// ledger.add("r1", "a", Window(7), figures);
/// ledger.close(Window(7));
/// // A record for a closed window goes into the next open one.
/// ledger.add("r2", "a", Window(7), figures);
/// assert_eq!(ledger.totals(Window(7))["a"].requests, 1);
/// assert_eq!(ledger.totals(Window(8))["a"].requests, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    closed: Window,
    own: BTreeMap<Window, Map<String, Own>>,
    /// The windows with own records whose figures this process was asked for.
    requested: BTreeSet<Window>,
    copies: Map<Origin, Copies>,
}

/// A record that this process measured.
#[derive(Clone, Debug)]
struct Own {
    record: Record,
    copied: Copied,
}

impl Own {
    fn new(record: Record) -> Self {
        Self {
            record,
            copied: Copied::No,
        }
    }
}

/// Whether another process may have a copy of a record for its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copied {
    No,
    /// An attempt is in progress, and none before it can have succeeded.
    InProgress,
    Maybe,
}

/// The records of a window of which the figures are not known.
#[derive(Clone, Debug, Default)]
pub struct Unresolved {
    /// Records that were certainly not counted and are in a later window now.
    pub moved: Vec<Record>,
    /// Records that may have been counted, which were dropped.
    pub undecided: Vec<Record>,
}

/// Copies of the records of one process, by window and request id.
type Copies = BTreeMap<Window, Map<String, Record>>;

impl Ledger {
    /// Adds the usage of a request that ended in `window` and returns its
    /// record. If `window` is closed, the record goes into the next open
    /// window. A request that was already added is not counted again.
    pub fn add(&mut self, id: &str, account: &str, window: Window, figures: Figures) -> Record {
        let known = self.own.values().find_map(|records| records.get(id));
        if let Some(known) = known {
            return known.record.clone();
        }
        let open = window.max(self.closed.next());
        let record = Record {
            id: id.to_string(),
            account: account.to_string(),
            window: open,
            late: open != window,
            figures,
        };
        self.insert(record.clone());
        record
    }

    /// Closes `window` and all earlier windows to new records, because the
    /// figures of `window` are requested.
    pub fn close(&mut self, window: Window) {
        self.closed = self.closed.max(window);
        if self.own.contains_key(&window) {
            self.requested.insert(window);
        }
    }

    /// Returns the last closed window.
    pub fn closed(&self) -> Window {
        self.closed
    }

    /// Returns the figures that this process measured in `window`, by account.
    pub fn totals(&self, window: Window) -> Totals {
        let mut totals = Totals::default();
        for record in self.records_of(window) {
            match totals.get_mut(&record.account) {
                Some(figures) => figures.add(record.figures),
                None => {
                    totals.insert(record.account.clone(), record.figures);
                }
            }
        }
        totals
    }

    /// Returns the figures of `window` that this process, `origin`, reports.
    pub fn summarize(&self, origin: &Origin, window: Window) -> ClosedWindow {
        let copies = self.copies.iter();
        ClosedWindow {
            origin: origin.clone(),
            totals: self.totals(window),
            late: self.records_of(window).map(Record::late_requests).sum(),
            copies: copies
                .filter(|(_, copies)| copies.contains_key(&window))
                .map(|(origin, _)| origin.clone())
                .collect(),
            oldest: self.oldest(),
        }
    }

    fn oldest(&self) -> Option<Window> {
        let copied = self
            .copies
            .values()
            .filter_map(|copies| copies.keys().next());
        let own = self.own.keys().next();
        own.into_iter().chain(copied).copied().min()
    }

    /// Returns the records of this process that are not known to be counted.
    pub fn uncounted_records(&self) -> Vec<Record> {
        let all = self.own.values().flat_map(|records| records.values());
        all.map(|own| own.record.clone()).collect()
    }

    /// Returns the number of records of this process that are not known to be
    /// counted.
    pub fn uncounted_len(&self) -> usize {
        self.own.values().map(Map::len).sum()
    }

    /// Returns whether `record` is in its window and not yet known to be
    /// counted.
    pub fn is_uncounted(&self, record: &Record) -> bool {
        let records = self.own.get(&record.window);
        records.is_some_and(|records| records.contains_key(&record.id))
    }

    /// Notes that copies of `records` are about to be sent to other processes.
    pub fn begin_copies<'a>(&mut self, records: impl IntoIterator<Item = &'a Record>) {
        for record in records {
            if let Some(own) = self.own_mut(record)
                && own.copied == Copied::No
            {
                own.copied = Copied::InProgress;
            }
        }
    }

    /// Notes whether another process may have stored the copy of `record` that
    /// was sent.
    pub fn end_copy(&mut self, record: &Record, may_be_stored: bool) {
        let Some(own) = self.own_mut(record) else {
            return;
        };
        match own.copied {
            _ if may_be_stored => own.copied = Copied::Maybe,
            Copied::InProgress => own.copied = Copied::No,
            Copied::No | Copied::Maybe => {}
        }
    }

    /// Sums up the uncounted records among `records` by account and window,
    /// replaces them by the sums, and returns the sums.
    ///
    /// Records of which another process may have a copy are left as they are,
    /// because it counts them one by one, by their ids. A request whose record
    /// was merged must not be added again.
    pub fn merge(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut sums = BTreeMap::new();
        for record in records {
            if self
                .own_mut(&record)
                .is_none_or(|own| own.copied != Copied::No)
            {
                continue;
            }
            let Some(open) = self.remove(&record.id, record.window) else {
                continue;
            };
            match sums.entry((open.window, open.late, open.account.clone())) {
                btree_map::Entry::Vacant(vacant) => {
                    vacant.insert(open);
                }
                btree_map::Entry::Occupied(mut sum) => sum.get_mut().figures.add(open.figures),
            }
        }
        let sums: Vec<Record> = sums.into_values().collect();
        for sum in &sums {
            self.insert(sum.clone());
        }
        sums
    }

    /// Returns the windows up to `last` that hold records of this process.
    pub fn windows_through(&self, last: Window) -> Vec<Window> {
        self.own.range(..=last).map(|(window, _)| *window).collect()
    }

    /// Moves a record to the next open window after `after`, and returns the
    /// moved record. Returns `None` if `window` is closed, since its records
    /// may have been reported.
    pub fn postpone(&mut self, id: &str, window: Window, after: Window) -> Option<Record> {
        if window <= self.closed {
            return None;
        }
        self.reassign(id, window, after)
    }

    /// Drops the records of `window` that were counted, moves the others to the
    /// next open window, and returns the moved records.
    pub fn resolve(&mut self, window: Window, is_counted: impl Fn(&str) -> bool) -> Vec<Record> {
        let Some(records) = self.own.get(&window) else {
            return Vec::new();
        };
        let ids: Vec<_> = records.keys().cloned().collect();
        let mut moved = Vec::new();
        for id in ids {
            if is_counted(&id) {
                self.remove(&id, window);
            } else {
                moved.extend(self.reassign(&id, window, self.closed));
            }
        }
        self.requested.remove(&window);
        moved
    }

    /// Resolves the records of `window`, which was reported and whose figures
    /// are not known any more.
    ///
    /// A record was counted by the figures of this process or from a copy. If
    /// neither is possible, it moves to the next open window. If either is, it
    /// is dropped. A record with an attempt to copy it in progress stays.
    pub fn resolve_unknown(&mut self, window: Window) -> Unresolved {
        let mut unresolved = Unresolved::default();
        let Some(records) = self.own.get(&window) else {
            return unresolved;
        };
        let is_requested = self.requested.contains(&window);
        let copied = |own: &Own| match is_requested {
            true => Copied::Maybe,
            false => own.copied,
        };
        let states: Vec<_> = records
            .iter()
            .map(|(id, own)| (id.clone(), copied(own)))
            .collect();
        for (id, copied) in states {
            match copied {
                Copied::No => {
                    let moved = self.reassign(&id, window, self.closed);
                    unresolved.moved.extend(moved);
                }
                Copied::InProgress => {}
                Copied::Maybe => unresolved.undecided.extend(self.remove(&id, window)),
            }
        }
        self.requested.remove(&window);
        unresolved
    }

    /// Drops the records of `window`, all of which were counted.
    pub fn discard(&mut self, window: Window) {
        self.own.remove(&window);
        self.requested.remove(&window);
    }

    /// Adds copies of records that another process measured. Records of closed
    /// windows are ignored: the process that measured them must move them.
    pub fn add_copies(&mut self, origin: &Origin, records: Vec<Record>) {
        let closed = self.closed;
        let open = records.into_iter().filter(|r| r.window > closed);
        self.insert_copies(origin, open);
    }

    /// Adds copies that another holder hands over. Records of closed windows
    /// are included: the process that measured them is lost and cannot move
    /// them.
    pub fn inherit_copies(&mut self, origin: &Origin, records: Vec<Record>) {
        self.insert_copies(origin, records);
    }

    fn insert_copies(&mut self, origin: &Origin, records: impl IntoIterator<Item = Record>) {
        let held = self.copies.entry(origin.clone()).or_default();
        for record in records {
            // Records move to later windows only, so an earlier window means an
            // older copy.
            let mut later = held.range(record.window.next()..);
            if later.any(|(_, copies)| copies.contains_key(&record.id)) {
                continue;
            }
            let earlier = held.range_mut(..record.window);
            earlier.for_each(|(_, copies)| {
                copies.remove(&record.id);
            });
            let copies = held.entry(record.window).or_default();
            copies.insert(record.id.clone(), record);
        }
        held.retain(|_, copies| !copies.is_empty());
        if held.is_empty() {
            self.copies.remove(origin);
        }
    }

    /// Returns the processes whose records this process holds copies of.
    pub fn copied_origins(&self) -> impl Iterator<Item = &Origin> {
        self.copies.keys()
    }

    /// Returns all copies of the records of `origin`.
    pub fn all_copies(&self, origin: &Origin) -> Vec<Record> {
        let windows = self.copies.get(origin).into_iter().flatten();
        let all = windows.flat_map(|(_, copies)| copies.values());
        all.cloned().collect()
    }

    /// Returns the copies of the records of `origin` in `window`.
    pub fn copies(&self, origin: &Origin, window: Window) -> Vec<Record> {
        let windows = self.copies.get(origin);
        let copies = windows.and_then(|windows| windows.get(&window)).into_iter();
        copies.flat_map(|copies| copies.values()).cloned().collect()
    }

    /// Returns the number of copies.
    pub fn copies_len(&self) -> usize {
        let windows = self.copies.values().flat_map(BTreeMap::values);
        windows.map(Map::len).sum()
    }

    /// Drops the copies of `window` and of all earlier windows.
    pub fn discard_copies(&mut self, window: Window) {
        for copies in self.copies.values_mut() {
            *copies = copies.split_off(&window.next());
        }
        self.copies.retain(|_, copies| !copies.is_empty());
    }

    fn records_of(&self, window: Window) -> impl Iterator<Item = &Record> {
        let records = self.own.get(&window).into_iter();
        let all = records.flat_map(|records| records.values());
        all.map(|own| &own.record)
    }

    fn own_mut(&mut self, record: &Record) -> Option<&mut Own> {
        self.own.get_mut(&record.window)?.get_mut(&record.id)
    }

    fn insert(&mut self, record: Record) {
        let records = self.own.entry(record.window).or_default();
        records.insert(record.id.clone(), Own::new(record));
    }

    fn remove(&mut self, id: &str, window: Window) -> Option<Record> {
        let records = self.own.get_mut(&window)?;
        let own = records.remove(id);
        if records.is_empty() {
            self.own.remove(&window);
        }
        own.map(|own| own.record)
    }

    fn reassign(&mut self, id: &str, window: Window, after: Window) -> Option<Record> {
        let mut record = self.remove(id, window)?;
        record.window = after.max(self.closed).next();
        record.late = true;
        self.insert(record.clone());
        Some(record)
    }
}
