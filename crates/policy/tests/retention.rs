//! What may be deleted, and when.

use std::time::Duration;

use board::{
    retention::{CLAIM_KIND, LOT_KIND, PART_KIND, Retention, STEP_KIND},
    usage::Window,
};
use proptest::prelude::*;
use tarragonseam_policy::retention::{self, WINDOWS_KEPT};

const KEEP: Duration = Duration::from_millis(1000);

/// What one steward does: time goes on, the trainer acknowledges some lots, and
/// the steward may have read the cursor some time ago.
#[derive(Clone, Copy, Debug)]
struct Round {
    pause_ms: u64,
    acknowledged: u64,
    /// Whether the cursor that it knows is that of the round before.
    is_behind: bool,
    /// Whether its write is lost.
    is_lost: bool,
}

fn rounds() -> impl Strategy<Value = Vec<Round>> {
    let round = (0..600_u64, 0..5_u64, any::<bool>(), any::<bool>());
    let round = round.prop_map(|(pause_ms, acknowledged, is_behind, is_lost)| Round {
        pause_ms,
        acknowledged,
        is_behind,
        is_lost,
    });
    prop::collection::vec(round, 1..60)
}

/// How a steward raises the floor.
type Advance = fn(&mut Retention, u64, u64, Duration) -> bool;

/// Plays `rounds` and returns what is wrong, if anything is.
fn play(rounds: &[Round], advance: Advance) -> Result<(), String> {
    let mut stands = Retention::default();
    let (mut now, mut next_lot) = (10_000, 0);
    // When each lot was acknowledged.
    let mut at: Vec<u64> = Vec::new();
    for round in rounds {
        let known = next_lot;
        now += round.pause_ms;
        next_lot += round.acknowledged;
        at.resize(next_lot as usize, now);
        let mut written = stands.clone();
        let read = if round.is_behind { known } else { next_lot };
        let is_changed = advance(&mut written, read, now, KEEP);
        if written.floor < stands.floor {
            return Err("the floor went down".to_string());
        }
        if !is_changed && written != stands {
            return Err("a change that is not told".to_string());
        }
        if !round.is_lost {
            stands = written;
        }
        for lot in 0..stands.floor {
            match at.get(lot as usize) {
                None => return Err(format!("lot {lot} is not acknowledged")),
                Some(at) if at + KEEP.as_millis() as u64 > now => {
                    return Err(format!("lot {lot} is not kept"));
                }
                Some(_) => {}
            }
        }
        if stands.marks.len() > 10 {
            return Err("the marks grow".to_string());
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn advance_any_history(rounds in rounds()) {
        prop_assert_eq!(play(&rounds, retention::advance), Ok(()));
    }

    #[test]
    fn windows_due_keeps_latest(
        windows in prop::collection::btree_set(0..200_u64, 0..20),
        now in 0..300_000_u64,
    ) {
        let all: Vec<_> = windows.iter().copied().map(Window).collect();
        let due = retention::windows_due(all.clone(), 1000, now, KEEP);
        for window in &due {
            prop_assert!(all.iter().filter(|other| *other > window).count() >= WINDOWS_KEPT);
            prop_assert!((window.0 + 1) * 1000 + 1000 <= now);
        }
    }
}

#[test]
fn advance_without_wait_is_found() {
    let hasty: Advance = |lots, next_lot, _, _| {
        let is_raised = next_lot > lots.floor;
        lots.floor = lots.floor.max(next_lot);
        is_raised
    };
    let round = Round {
        pause_ms: 10,
        acknowledged: 1,
        is_behind: false,
        is_lost: false,
    };
    assert!(play(&[round], hasty).is_err());
    assert_eq!(play(&[round], retention::advance), Ok(()));
}

#[test]
fn advance_deletes_in_the_end() {
    let mut lots = Retention::default();
    for round in 0..100 {
        retention::advance(&mut lots, round, 10_000 + round * 100, KEEP);
    }
    assert!(lots.floor > 80, "{lots:?}");
}

#[test]
fn is_below_table() {
    let cases = [
        (LOT_KIND, "notes.3", true),
        (LOT_KIND, "notes.4", false),
        (LOT_KIND, "notes.x", false),
        (LOT_KIND, "notes-2.3", false),
        (CLAIM_KIND, "notes.3", true),
        (PART_KIND, "notes.3.00ff", true),
        (PART_KIND, "notes.4.00ff", false),
        (PART_KIND, "notes.3", false),
        (STEP_KIND, "notes.1", true),
        (STEP_KIND, "notes.2", false),
        ("cursor", "notes", false),
        ("cursor", "notes.1", false),
    ];
    for (kind, name, expected) in cases {
        let is_below = retention::is_below(kind, name, "notes", 4, 2);
        assert_eq!(is_below, expected, "{kind} {name}");
    }
}
