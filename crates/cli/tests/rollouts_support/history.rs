//! Histories recorded in a run with trainers, and a checker of the guarantees
//! about samples.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use board::lot::{Lot, Sample, Span};
use serde::Deserialize;
use todc_utils::{Action, History as Operations, Specification, WGLChecker};

/// The answer to one draw of a lot.
#[derive(Clone, Debug)]
pub(crate) struct Draw {
    pub(crate) digest: String,
    pub(crate) lot: Lot,
}

/// A stream in an engine's log.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Stream {
    pub(crate) request_id: String,
    pub(crate) spans: Vec<Span>,
}

/// An operation on a trainer's cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Acknowledged this lot.
    Acknowledge(u64),
    /// Read the number of the next lot; `None` until the answer arrives.
    Read(Option<u64>),
}

/// Everything that one run recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) draws: Vec<Draw>,
    /// Digests in the platform's manifests at the end of the run, by lot
    /// number.
    pub(crate) manifests: BTreeMap<u64, String>,
    pub(crate) streams: Vec<Stream>,
    /// Versions that were in force before each step was declared.
    pub(crate) version_before_step: BTreeMap<u64, u64>,
    /// Operations on the cursor, each with the process that called it.
    pub(crate) cursor: Vec<(usize, Action<Operation>)>,
}

/// The expected numbers of samples and the bound on their staleness.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected {
    pub(crate) steps: u64,
    pub(crate) groups: u32,
    pub(crate) group_size: u32,
    pub(crate) max_staleness: u64,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Violation {
    LotChanged(u64),
    LotUnsealed(u64),
    SampleDuplicated(String),
    SampleMissing(String),
    GroupSplit(u64),
    VersionLabelWrong(String),
    SampleStale(String),
    CursorNotLinearizable,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Returns all violated guarantees.
pub(crate) fn check(record: &Record, expected: Expected) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    let lots = check_lots(record, &mut violations);
    check_ids(&lots, expected, &mut violations);
    let mut streams: BTreeMap<&str, Vec<&Stream>> = BTreeMap::new();
    for stream in &record.streams {
        streams.entry(&stream.request_id).or_default().push(stream);
    }
    for sample in lots.values().flat_map(|lot| &lot.samples) {
        let request_streams = streams.get(sample.request_id.as_str());
        if !request_streams.is_some_and(|request_streams| is_label_correct(sample, request_streams))
        {
            violations.insert(Violation::VersionLabelWrong(sample.id.to_string()));
        }
        let before = record.version_before_step.get(&sample.id.step);
        let oldest = board::lot::oldest_version(&sample.spans).unwrap_or_default();
        if before.is_some_and(|before| oldest + expected.max_staleness < *before) {
            violations.insert(Violation::SampleStale(sample.id.to_string()));
        }
    }
    let operations = Operations::from_actions(record.cursor.clone());
    if !record.cursor.is_empty() && !WGLChecker::<Cursor>::is_linearizable(operations) {
        violations.insert(Violation::CursorNotLinearizable);
    }
    violations
}

/// Checks that each lot is the same in all draws and on the platform, and that
/// all of its groups have the same size.
fn check_lots<'a>(
    record: &'a Record,
    violations: &mut BTreeSet<Violation>,
) -> BTreeMap<u64, &'a Lot> {
    let mut lots: BTreeMap<u64, &Lot> = BTreeMap::new();
    for Draw { digest, lot } in &record.draws {
        let first = lots.entry(lot.number).or_insert(lot);
        if *first != lot {
            violations.insert(Violation::LotChanged(lot.number));
        }
        if record.manifests.get(&lot.number) != Some(digest) {
            violations.insert(Violation::LotUnsealed(lot.number));
        }
        let mut groups: BTreeMap<u32, BTreeSet<u32>> = BTreeMap::new();
        for sample in &lot.samples {
            groups
                .entry(sample.id.group)
                .or_default()
                .insert(sample.id.index);
        }
        let sizes: BTreeSet<_> = groups.values().map(BTreeSet::len).collect();
        if sizes.len() > 1 {
            violations.insert(Violation::GroupSplit(lot.number));
        }
    }
    lots
}

/// Checks that each sample was drawn exactly once.
fn check_ids(lots: &BTreeMap<u64, &Lot>, expected: Expected, violations: &mut BTreeSet<Violation>) {
    let mut drawn_ids = BTreeSet::new();
    for sample in lots.values().flat_map(|lot| &lot.samples) {
        let id = &sample.id;
        if !drawn_ids.insert((id.step, id.group, id.index)) {
            violations.insert(Violation::SampleDuplicated(id.to_string()));
        }
    }
    for step in 0..expected.steps {
        for group in 0..expected.groups {
            for index in 0..expected.group_size {
                if !drawn_ids.contains(&(step, group, index)) {
                    violations.insert(Violation::SampleMissing(format!("{step}.{group}.{index}")));
                }
            }
        }
    }
}

/// Returns whether the spans cover every token, each with a version under which
/// an engine logged this token of this request.
fn is_label_correct(sample: &Sample, streams: &[&Stream]) -> bool {
    let mut next = 0;
    for span in &sample.spans {
        if span.from != next || span.to <= span.from {
            return false;
        }
        next = span.to;
    }
    let is_logged = |index: u32, version: u64| {
        let mut spans = streams.iter().flat_map(|stream| &stream.spans);
        spans.any(|s| s.version == version && s.from <= index && index < s.to)
    };
    let is_complete = next as usize == sample.tokens.len();
    let mut tokens = sample
        .spans
        .iter()
        .flat_map(|span| (span.from..span.to).map(|index| (index, span.version)));
    is_complete && tokens.all(|(index, version)| is_logged(index, version))
}

/// Sequential specification of the cursor. Its state is the number of the next
/// lot.
struct Cursor;

impl Specification for Cursor {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match *operation {
            Operation::Acknowledge(lot) => (lot <= *state, (lot + 1).max(*state)),
            Operation::Read(next) => (next == Some(*state), *state),
        }
    }
}
