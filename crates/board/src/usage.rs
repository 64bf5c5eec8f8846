//! Usage of each client account by window of time.

use std::collections::{BTreeMap, btree_map};

use crate::hash::Map;

/// The kind of the objects that hold the figures of reported windows.
pub const KIND: &str = "usage-window";

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
    /// What an account used.
    #[derive(Default)]
    #[serde(default)]
    copy pub struct Figures {
        /// Requests answered, whole or in part.
        pub requests: u64,
        /// Tokens of prompts.
        pub tokens_in: u64,
        /// Tokens generated.
        pub tokens_out: u64,
        /// Those of the requests whose caller left before the answer was whole.
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
    /// One life of a VM's entry process, which measures usage.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Origin {
        /// The VM.
        pub vm: String,
        /// Differs after each start.
        pub incarnation: u64,
    }
}

crate::record! {
    /// The usage of one request, or of several that were added up.
    pub struct Record {
        /// The request, or the first of several.
        pub id: String,
        /// The client account.
        pub account: String,
        /// The window in which it is reported.
        pub window: Window,
        /// Whether it ended in an earlier window that was closed already.
        pub late: bool,
        /// What was used.
        pub figures: Figures,
    }
}

impl Record {
    /// Returns how many requests it adds to those that came late.
    pub fn late_requests(&self) -> u64 {
        if self.late { self.figures.requests } else { 0 }
    }
}

crate::record! {
    /// What one process says of a window that takes no more records there.
    pub struct ClosedWindow {
        /// The process.
        pub origin: Origin,
        /// Its own figures.
        pub totals: Totals,
        /// How many of its requests came late.
        pub late: u64,
        /// Processes for which it holds copies of records of the window.
        pub copies: Vec<Origin>,
        /// The first window of which it knows any record.
        pub oldest: Option<Window>,
    }
}

crate::record! {
    /// Requests that were counted from copies, because their own process did
    /// not answer.
    pub struct CopiedRequests {
        /// The process that measured them.
        pub origin: Origin,
        /// The requests.
        pub ids: Vec<String>,
    }
}

crate::record! {
    /// The figures of one account.
    pub struct AccountFigures {
        /// The client account.
        pub account: String,
        /// What it used.
        #[serde(flatten)]
        pub figures: Figures,
    }
}

crate::record! {
    /// The figures of a window, which never change once they are written.
    pub struct FrozenWindow {
        /// The window.
        pub window: Window,
        /// The epoch of the reporter that wrote them.
        pub epoch: u64,
        /// The figures by account.
        pub figures: Vec<AccountFigures>,
        /// How many requests of an earlier, closed window are among them.
        pub late: u64,
        /// The processes that answered for themselves.
        pub origins: Vec<Origin>,
        /// What was counted from copies.
        pub copied: Vec<CopiedRequests>,
    }
}

/// The usage that this process has measured or holds for others.
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
/// // What comes after the end of a window goes into the next one.
/// ledger.add("r2", "a", Window(7), figures);
/// assert_eq!(ledger.totals(Window(7))["a"].requests, 1);
/// assert_eq!(ledger.totals(Window(8))["a"].requests, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    closed: Window,
    own: BTreeMap<Window, Map<String, Record>>,
    copies: Map<Origin, Copies>,
}

/// The copies that are held for one process, by window and request.
type Copies = BTreeMap<Window, Map<String, Record>>;

impl Ledger {
    /// Adds the usage of a request that ended in `window`, or in the next
    /// window that is open, and returns its record. A request that is there
    /// already is not counted again.
    pub fn add(&mut self, id: &str, account: &str, window: Window, figures: Figures) -> Record {
        let known = self.own.values().find_map(|records| records.get(id));
        if let Some(known) = known {
            return known.clone();
        }
        let open = window.max(self.closed.next());
        let record = Record {
            id: id.to_string(),
            account: account.to_string(),
            window: open,
            late: open != window,
            figures,
        };
        let records = self.own.entry(open).or_default();
        records.insert(record.id.clone(), record.clone());
        record
    }

    /// Takes no more records into `window` and those before it.
    pub fn close(&mut self, window: Window) {
        self.closed = self.closed.max(window);
    }

    /// Returns the last window that takes no more records.
    pub fn closed(&self) -> Window {
        self.closed
    }

    /// Returns the figures of `window` measured here.
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

    /// Returns what this process, as `origin`, says of `window`.
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

    /// Returns the records measured here that are not known to be counted.
    pub fn uncounted_records(&self) -> Vec<Record> {
        let all = self.own.values().flat_map(|records| records.values());
        all.cloned().collect()
    }

    /// Returns how many records measured here are not known to be counted.
    pub fn uncounted_len(&self) -> usize {
        self.own.values().map(Map::len).sum()
    }

    /// Returns whether `record` is still to be counted in its window.
    pub fn is_uncounted(&self, record: &Record) -> bool {
        let records = self.own.get(&record.window);
        records.is_some_and(|records| records.contains_key(&record.id))
    }

    /// Adds up those of `records` that are open, by account and window, and
    /// returns what stands for them from now on.
    ///
    /// Only for records that were sent to no other process: nobody can count
    /// these one by one, so their ids are not needed. A request whose record
    /// was added up must not be added again.
    pub fn merge(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut sums = BTreeMap::new();
        for record in records {
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
            let records = self.own.entry(sum.window).or_default();
            records.insert(sum.id.clone(), sum.clone());
        }
        sums
    }

    /// Returns the windows up to `last` that hold records measured here.
    pub fn windows_through(&self, last: Window) -> Vec<Window> {
        self.own.range(..=last).map(|(window, _)| *window).collect()
    }

    /// Moves a record to the next open window, unless its own window is closed
    /// and so may have been reported; returns it as it stands then.
    pub fn postpone(&mut self, id: &str, window: Window, after: Window) -> Option<Record> {
        if window <= self.closed {
            return None;
        }
        self.reassign(id, window, after)
    }

    /// Forgets the records of `window` that were counted, and moves those that
    /// were not to the next open window; returns these.
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
        moved
    }

    /// Forgets the records of `window`, all of which were counted.
    pub fn discard(&mut self, window: Window) {
        self.own.remove(&window);
    }

    /// Takes copies of records that another process measured. Those of closed
    /// windows are left out: their owner has to move them.
    pub fn add_copies(&mut self, origin: &Origin, records: Vec<Record>) {
        let closed = self.closed;
        let open = records.into_iter().filter(|r| r.window > closed);
        self.insert_copies(origin, open);
    }

    /// Takes copies that another holder passes on, also those of closed
    /// windows: their owner is lost and cannot move them.
    pub fn inherit_copies(&mut self, origin: &Origin, records: Vec<Record>) {
        self.insert_copies(origin, records);
    }

    fn insert_copies(&mut self, origin: &Origin, records: impl IntoIterator<Item = Record>) {
        let held = self.copies.entry(origin.clone()).or_default();
        for record in records {
            // One that was moved to another window leaves no copy behind.
            let others = held
                .iter_mut()
                .filter(|(window, _)| **window != record.window);
            others.for_each(|(_, copies)| {
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

    /// Returns every process that copies are held for.
    pub fn copied_origins(&self) -> impl Iterator<Item = &Origin> {
        self.copies.keys()
    }

    /// Returns all copies held for `origin`.
    pub fn all_copies(&self, origin: &Origin) -> Vec<Record> {
        let windows = self.copies.get(origin).into_iter().flatten();
        let all = windows.flat_map(|(_, copies)| copies.values());
        all.cloned().collect()
    }

    /// Returns the copies of `window` held for `origin`.
    pub fn copies(&self, origin: &Origin, window: Window) -> Vec<Record> {
        let windows = self.copies.get(origin);
        let copies = windows.and_then(|windows| windows.get(&window)).into_iter();
        copies.flat_map(|copies| copies.values()).cloned().collect()
    }

    /// Returns how many copies are held.
    pub fn copies_len(&self) -> usize {
        let windows = self.copies.values().flat_map(BTreeMap::values);
        windows.map(Map::len).sum()
    }

    /// Forgets the copies of `window` and those before it.
    pub fn discard_copies(&mut self, window: Window) {
        for copies in self.copies.values_mut() {
            *copies = copies.split_off(&window.next());
        }
        self.copies.retain(|_, copies| !copies.is_empty());
    }

    fn records_of(&self, window: Window) -> impl Iterator<Item = &Record> {
        let records = self.own.get(&window).into_iter();
        records.flat_map(|records| records.values())
    }

    fn remove(&mut self, id: &str, window: Window) -> Option<Record> {
        let records = self.own.get_mut(&window)?;
        let record = records.remove(id);
        if records.is_empty() {
            self.own.remove(&window);
        }
        record
    }

    fn reassign(&mut self, id: &str, window: Window, after: Window) -> Option<Record> {
        let mut record = self.remove(id, window)?;
        record.window = after.max(self.closed).next();
        record.late = true;
        let records = self.own.entry(record.window).or_default();
        records.insert(record.id.clone(), record.clone());
        Some(record)
    }
}
