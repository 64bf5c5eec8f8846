//! Tests of the history checker with valid and invalid histories.

mod common;
mod rollouts_support;

use board::lot::{Id, Lot, Sample, Span};
use rollouts_support::history::{Draw, Expected, Operation, Record, Stream, Violation, check};
use todc_utils::Action::{Call, Response};

const EXPECTED: Expected = Expected {
    steps: 1,
    groups: 2,
    group_size: 2,
    max_staleness: 1,
};

fn span(version: u64, from: u32, to: u32) -> Span {
    Span { version, from, to }
}

fn sample(group: u32, index: u32) -> Sample {
    Sample {
        id: Id {
            trainer: "notes".into(),
            step: 0,
            group,
            index,
        },
        request_id: format!("r-{group}-{index}"),
        prompt: "p".into(),
        tokens: vec!["a".into(), "b".into(), "c".into()],
        spans: vec![span(2, 0, 1), span(3, 1, 3)],
        score: 0.5,
    }
}

fn draw(number: u64) -> Draw {
    let group = number as u32;
    Draw {
        digest: format!("digest-{number}"),
        lot: Lot {
            trainer: "notes".into(),
            number,
            step: 0,
            samples: vec![sample(group, 0), sample(group, 1)],
        },
    }
}

/// Returns the record of a run without violations, in which the first lot is
/// drawn twice.
fn valid_record() -> Record {
    let draws = vec![draw(0), draw(0), draw(1)];
    let streams = draws.iter().flat_map(|draw| &draw.lot.samples);
    let streams = streams.map(|sample| Stream {
        request_id: sample.request_id.clone(),
        spans: sample.spans.clone(),
    });
    let acknowledge = |lot| Operation::Acknowledge(lot);
    Record {
        streams: streams.collect(),
        draws,
        manifests: (0..2).map(|lot| (lot, format!("digest-{lot}"))).collect(),
        version_before_step: [(0, 3)].into(),
        cursor: vec![
            (0, Call(Operation::Read(None))),
            (0, Response(Operation::Read(Some(0)))),
            (0, Call(acknowledge(0))),
            (1, Call(Operation::Read(None))),
            (1, Response(Operation::Read(Some(1)))),
            (0, Response(acknowledge(0))),
        ],
    }
}

#[test]
fn check_good_history() {
    assert!(check(&valid_record(), EXPECTED).is_empty());
}

#[test]
fn check_bad_histories() {
    type Corrupt = fn(&mut Record);
    let id = |group, index| format!("notes.0.{group}.{index}");
    let cases: [(&str, Corrupt, Violation); 11] = [
        (
            "another lot under the same number",
            |r| r.draws[1].lot.samples[0].score = 0.6,
            Violation::LotChanged(0),
        ),
        (
            "a lot that was never sealed",
            |r| drop(r.manifests.remove(&1)),
            Violation::LotUnsealed(1),
        ),
        (
            "a lot other than the sealed one",
            |r| r.draws[2].digest = "other".into(),
            Violation::LotUnsealed(1),
        ),
        (
            "a sample in two lots",
            |r| r.draws[2].lot.samples.push(sample(0, 1)),
            Violation::SampleDuplicated(id(0, 1)),
        ),
        (
            "a lost sample",
            |r| drop(r.draws[2].lot.samples.pop()),
            Violation::SampleMissing("0.1.1".into()),
        ),
        (
            "a split group",
            |r| r.draws[2].lot.samples.push(sample(0, 1)),
            Violation::GroupSplit(1),
        ),
        (
            "a version that the engine did not use",
            |r| r.draws[2].lot.samples[0].spans = vec![span(3, 0, 3)],
            Violation::VersionLabelWrong(id(1, 0)),
        ),
        (
            "tokens without a label",
            |r| r.draws[2].lot.samples[0].spans.truncate(1),
            Violation::VersionLabelWrong(id(1, 0)),
        ),
        (
            "a stream that no engine ran",
            |r| r.draws[2].lot.samples[0].request_id = "r-9".into(),
            Violation::VersionLabelWrong(id(1, 0)),
        ),
        (
            "weights older than the bound",
            |r| r.version_before_step = [(0, 4)].into(),
            Violation::SampleStale(id(0, 0)),
        ),
        (
            "a cursor that goes back",
            |r| {
                r.cursor.push((1, Call(Operation::Read(None))));
                r.cursor.push((1, Response(Operation::Read(Some(0)))));
            },
            Violation::CursorNotLinearizable,
        ),
    ];
    for (case, corrupt, expected) in cases {
        let mut record = valid_record();
        corrupt(&mut record);
        let violations = check(&record, EXPECTED);
        assert!(violations.contains(&expected), "{case}: {violations:?}");
    }
}
