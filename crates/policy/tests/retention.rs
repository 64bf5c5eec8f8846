//! What may be deleted, and when.

use std::time::Duration;

use board::{
    retention::{CLAIM_KIND, LOT_KIND, PART_KIND, Retention, STEP_KIND},
    usage::Window,
};
use proptest::prelude::*;
use tarragonseam_policy::retention::{self, WINDOWS_KEPT_MIN};

const KEEP_TIME: Duration = Duration::from_millis(1000);

/// What one steward does: time goes on, the trainer acknowledges some lots, and
/// the steward may have read the cursor some time ago.
#[derive(Clone, Copy, Debug)]
struct Round {
    pause_ms: u64,
    acknowledged: u64,
    /// Whether the cursor that it knows is that of the round before.
    is_read_stale: bool,
    /// Whether its write is lost.
    is_write_lost: bool,
}

fn rounds() -> impl Strategy<Value = Vec<Round>> {
    let round = (0..600_u64, 0..5_u64, any::<bool>(), any::<bool>());
    let round = round.prop_map(
        |(pause_ms, acknowledged, is_read_stale, is_write_lost)| Round {
            pause_ms,
            acknowledged,
            is_read_stale,
            is_write_lost,
        },
    );
    prop::collection::vec(round, 1..60)
}

/// How a steward raises the floor.
type Advance = fn(&mut Retention, u64, u64, Duration) -> bool;

/// Plays `rounds` and returns what is wrong, if anything is.
fn simulate(rounds: &[Round], advance: Advance) -> Result<(), String> {
    let mut stored = Retention::default();
    let (mut now, mut next_lot) = (10_000, 0);
    // When each lot was acknowledged.
    let mut acknowledged_at: Vec<u64> = Vec::new();
    for round in rounds {
        let previous = next_lot;
        now += round.pause_ms;
        next_lot += round.acknowledged;
        acknowledged_at.resize(next_lot as usize, now);
        let mut written = stored.clone();
        let read = if round.is_read_stale {
            previous
        } else {
            next_lot
        };
        let is_changed = advance(&mut written, read, now, KEEP_TIME);
        if written.floor < stored.floor {
            return Err("the floor went down".to_string());
        }
        if !is_changed && written != stored {
            return Err("a change that is not told".to_string());
        }
        if !round.is_write_lost {
            stored = written;
        }
        for lot in 0..stored.floor {
            match acknowledged_at.get(lot as usize) {
                None => return Err(format!("lot {lot} is not acknowledged")),
                Some(at) if at + KEEP_TIME.as_millis() as u64 > now => {
                    return Err(format!("lot {lot} is not kept"));
                }
                Some(_) => {}
            }
        }
        if stored.marks.len() > 10 {
            return Err("the marks grow".to_string());
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn advance_floor_any_history(rounds in rounds()) {
        prop_assert_eq!(simulate(&rounds, retention::advance_floor), Ok(()));
    }

    #[test]
    fn expired_windows_keeps_latest(
        windows in prop::collection::btree_set(0..200_u64, 0..20),
        now in 0..300_000_u64,
    ) {
        let all: Vec<_> = windows.iter().copied().map(Window).collect();
        let due = retention::expired_windows(all.clone(), 1000, now, KEEP_TIME);
        for window in &due {
            prop_assert!(all.iter().filter(|other| *other > window).count() >= WINDOWS_KEPT_MIN);
            prop_assert!((window.0 + 1) * 1000 + 1000 <= now);
        }
    }
}

#[test]
fn advance_floor_without_delay_detected() {
    let without_delay: Advance = |lots, next_lot, _, _| {
        let is_raised = next_lot > lots.floor;
        lots.floor = lots.floor.max(next_lot);
        is_raised
    };
    let round = Round {
        pause_ms: 10,
        acknowledged: 1,
        is_read_stale: false,
        is_write_lost: false,
    };
    assert!(simulate(&[round], without_delay).is_err());
    assert_eq!(simulate(&[round], retention::advance_floor), Ok(()));
}

#[test]
fn advance_floor_eventually() {
    let mut lots = Retention::default();
    for round in 0..100 {
        retention::advance_floor(&mut lots, round, 10_000 + round * 100, KEEP_TIME);
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
