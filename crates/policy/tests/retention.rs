//! Which lots and usage windows may be deleted, and when.

use std::time::Duration;

use board::{
    retention::{CLAIM_KIND, LOT_KIND, PART_KIND, Retention, STEP_KIND},
    usage::Window,
};
use proptest::prelude::*;
use tarragonseam_policy::retention::{self, WINDOWS_KEPT_MIN};

const KEEP_TIME: Duration = Duration::from_millis(1000);

/// One round of a steward, which may have read the cursor before the trainer
/// acknowledged further lots.
#[derive(Clone, Copy, Debug)]
struct Round {
    pause_ms: u64,
    acknowledged: u64,
    /// Whether the steward has read the cursor of the previous round.
    is_read_stale: bool,
    /// Whether the write of the steward is lost.
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

/// A function that raises the floor.
type AdvanceFloor = fn(&mut Retention, u64, u64, Duration) -> bool;

/// Simulates `rounds` and returns the first violated invariant as an error.
fn simulate(rounds: &[Round], advance: AdvanceFloor) -> Result<(), String> {
    let mut stored = Retention::default();
    let (mut now, mut next_lot) = (10_000, 0);
    // The time at which each lot was acknowledged.
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
            return Err("the floor decreased".to_string());
        }
        if !is_changed && written != stored {
            return Err("the state changed without being reported".to_string());
        }
        if !round.is_write_lost {
            stored = written;
        }
        for lot in 0..stored.floor {
            match acknowledged_at.get(lot as usize) {
                None => return Err(format!("lot {lot} below the floor is not acknowledged")),
                Some(at) if at + KEEP_TIME.as_millis() as u64 > now => {
                    return Err(format!("lot {lot} is below the floor too early"));
                }
                Some(_) => {}
            }
        }
        if stored.marks.len() > 10 {
            return Err("the number of marks is unbounded".to_string());
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
    let without_delay: AdvanceFloor = |retention, next_lot, _, _| {
        let is_raised = next_lot > retention.floor;
        retention.floor = retention.floor.max(next_lot);
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
    let mut retention = Retention::default();
    for round in 0..100 {
        retention::advance_floor(&mut retention, round, 10_000 + round * 100, KEEP_TIME);
    }
    assert!(retention.floor > 80, "{retention:?}");
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
