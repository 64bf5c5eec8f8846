//! Rollouts of model weights.

use std::{slice, time::Duration};

use board::{
    Board, Time,
    config::{Capacity, Model},
    endpoint::{self, CapacityClass, Load, Record, State},
};
use tarragonseam_policy::weights::{Outcome, Rollout, Swap, Verdict};

const MODEL: &str = "notes";

fn report(board: &mut Board, key: endpoint::Key, version: u64) {
    report_at(board, Time::ZERO, 0, key, version);
}

/// Records a report that arrived at `now` and was made `age_ms` before.
fn report_at(board: &mut Board, now: Time, age_ms: u64, key: endpoint::Key, version: u64) {
    let load = Load {
        versions: [(MODEL.to_string(), version)].into(),
        age_ms,
        ..Load::default()
    };
    board.endpoints.get_mut(key).unwrap().load = Some((now, load));
}

/// Returns a board with `count` ready engines in each of two failure domains,
/// all at version 1 while the target is version 2.
fn board(count: usize, floor: u32) -> Board {
    let mut board = Board::new("vm-1", "a", 7);
    let capacity = Capacity {
        floor,
        ..Capacity::default()
    };
    let model = Model {
        capacity,
        ..Model::default()
    };
    board.config.models.insert(MODEL.to_string(), model);
    for index in 0..2 * count {
        let domain = if index < count { "a" } else { "b" };
        let key = board.endpoints.put(Record {
            id: format!("e-{index}"),
            address: "127.0.0.1:1".parse().unwrap(),
            failure_domain: domain.to_string(),
            service: MODEL.to_string(),
            capacity_class: CapacityClass::Stable,
            state: State::Ready,
            checks_epoch: true,
            price: 1.0,
        });
        report(&mut board, key, 1);
    }
    board.record_weights(MODEL, 2);
    board
}

/// Finishes `swaps` with `outcome`, and makes the engines report their
/// versions.
fn finish(
    rollout: &mut Rollout,
    board: &mut Board,
    now: Time,
    swaps: &[Swap],
    outcome: Outcome,
) -> Vec<Verdict> {
    let finish_swap = |swap: &Swap| {
        if outcome == Outcome::Loaded {
            report(board, swap.endpoint, swap.version);
        }
        rollout.finish(now, swap, outcome)
    };
    swaps.iter().map(finish_swap).collect()
}

#[test]
fn due_full_domain_in_waves() {
    let mut board = board(20, 30);
    let mut rollout = Rollout::default();
    let mut waves = Vec::new();
    loop {
        let swaps = rollout.due(&board, Time::ZERO, "a");
        if swaps.is_empty() {
            break;
        }
        waves.push(swaps.len());
        finish(
            &mut rollout,
            &mut board,
            Time::ZERO,
            &swaps,
            Outcome::Loaded,
        );
    }
    // Ten of forty engines are above the floor, and half of them are in this
    // failure domain.
    assert_eq!(waves, [4, 5, 5, 5, 1]);
}

#[test]
fn due_without_spare_capacity() {
    let board = board(2, 4);
    let mut rollout = Rollout::default();
    assert_eq!(rollout.due(&board, Time::ZERO, "a").len(), 1);
    assert!(rollout.due(&board, Time::ZERO, "a").is_empty());
}

#[test]
fn due_before_report_catches_up() {
    let board = board(1, 0);
    let mut rollout = Rollout::default();
    let swaps = rollout.due(&board, Time::ZERO, "a");
    rollout.finish(Time::ZERO, &swaps[0], Outcome::Loaded);
    // The engine's report still shows version 1.
    assert!(
        rollout
            .due(&board, Time::from_millis(60_000), "a")
            .is_empty()
    );
}

#[test]
fn due_newer_version_at_once() {
    let mut board = board(1, 0);
    let mut rollout = Rollout::default();
    let swaps = rollout.due(&board, Time::ZERO, "a");
    rollout.finish(Time::ZERO, &swaps[0], Outcome::Failed);
    assert!(rollout.due(&board, Time::ZERO, "a").is_empty());
    board.record_weights(MODEL, 3);
    assert_eq!(rollout.due(&board, Time::ZERO, "a")[0].version, 3);
}

#[test]
fn finish_failures_back_off_then_exclude() {
    let mut board = board(1, 0);
    let mut rollout = Rollout::default();
    let mut now = Time::ZERO;
    let mut verdicts = Vec::new();
    let mut delays = Vec::new();
    let mut previous = now;
    while now < Time::from_millis(120_000) {
        let swaps = rollout.due(&board, now, "a");
        if !swaps.is_empty() {
            delays.push((now - previous).as_millis());
            previous = now;
        }
        verdicts.extend(finish(
            &mut rollout,
            &mut board,
            now,
            &swaps,
            Outcome::Failed,
        ));
        now = now + Duration::from_millis(10);
    }
    assert_eq!(delays, [0, 250, 500, 1000, 2000, 4000, 8000, 8000]);
    assert_eq!(verdicts.last(), Some(&Verdict::Excluded));
    assert_eq!(
        verdicts.iter().filter(|v| **v == Verdict::Excluded).count(),
        1
    );
    // An excluded endpoint takes part again in the next version.
    board.record_weights(MODEL, 3);
    assert_eq!(rollout.due(&board, now, "a").len(), 1);
}

#[test]
fn finish_failures_shrink_window() {
    let mut board = board(40, 0);
    let mut rollout = Rollout::default();
    let swaps = rollout.due(&board, Time::ZERO, "a");
    assert_eq!(swaps.len(), 4);
    finish(
        &mut rollout,
        &mut board,
        Time::ZERO,
        &swaps,
        Outcome::Failed,
    );
    assert_eq!(rollout.due(&board, Time::ZERO, "a").len(), 1);
}

/// Starts the first load of a domain of two engines without spare capacity, and
/// loses the reply at time 0.
fn lost_reply_without_spare_capacity() -> (Board, Rollout, Swap) {
    let board = board(2, 4);
    let mut rollout = Rollout::default();
    let swap = rollout.due(&board, Time::ZERO, "a").remove(0);
    rollout.finish(Time::ZERO, &swap, Outcome::Unknown);
    (board, rollout, swap)
}

/// Returns the swaps that are due in the 25 s after time 0. Each of them ends
/// with `outcome` at once.
fn due_later(rollout: &mut Rollout, board: &Board, outcome: Outcome) -> Vec<Swap> {
    let mut swaps = Vec::new();
    for now in (0..25_000).step_by(10).map(Time::from_millis) {
        let due = rollout.due(board, now, "a");
        due.iter().for_each(|swap| {
            rollout.finish(now, swap, outcome);
        });
        swaps.extend(due);
    }
    swaps
}

#[test]
fn due_lost_reply_keeps_floor() {
    for outcome in [Outcome::Unknown, Outcome::Failed, Outcome::Stale] {
        let (board, mut rollout, first) = lost_reply_without_spare_capacity();
        let swaps = due_later(&mut rollout, &board, outcome);
        assert!(!swaps.is_empty(), "{outcome:?}");
        assert!(swaps.iter().all(|swap| *swap == first), "{outcome:?}");
    }
}

#[test]
fn due_lost_reply_then_newer_version_keeps_floor() {
    let (mut board, mut rollout, first) = lost_reply_without_spare_capacity();
    board.record_weights(MODEL, 3);
    let swaps = due_later(&mut rollout, &board, Outcome::Loaded);
    assert_eq!(swaps.len(), 1);
    assert_eq!((swaps[0].endpoint, swaps[0].version), (first.endpoint, 3));
}

#[test]
fn due_lost_reply_then_loaded() {
    let (board, mut rollout, first) = lost_reply_without_spare_capacity();
    let now = Time::from_millis(300);
    assert_eq!(rollout.due(&board, now, "a"), slice::from_ref(&first));
    rollout.finish(now, &first, Outcome::Loaded);
    assert_ne!(rollout.due(&board, now, "a")[0].endpoint, first.endpoint);
}

#[test]
fn due_lost_reply_then_report() {
    let (mut board, mut rollout, first) = lost_reply_without_spare_capacity();
    report(&mut board, first.endpoint, 2);
    let due = rollout.due(&board, Time::ZERO, "a");
    assert_ne!(due[0].endpoint, first.endpoint);
}

#[test]
fn due_lost_reply_then_silence() {
    let (board, mut rollout, first) = lost_reply_without_spare_capacity();
    let is_other = |swap: &Swap| swap.endpoint != first.endpoint;
    let mut due_after = |ms| {
        let now = Time::from_millis(ms);
        let due = rollout.due(&board, now, "a");
        due.iter().for_each(|swap| {
            rollout.finish(now, swap, Outcome::Failed);
        });
        due.iter().any(is_other)
    };
    // The engine refuses all repeats of the order.
    assert!(!(0..30_000).step_by(10).any(&mut due_after));
    assert!(due_after(30_000));
}

#[test]
fn due_lost_replies_until_excluded() {
    let (board, mut rollout, first) = lost_reply_without_spare_capacity();
    let mut awaited: Option<(Time, Swap)> = None;
    let end = (0..600_000).step_by(10).map(Time::from_millis).find(|now| {
        if let Some((_, swap)) = awaited.take_if(|(until, _)| *until <= *now) {
            rollout.finish(*now, &swap, Outcome::Unknown);
        }
        let due = rollout.due(&board, *now, "a").into_iter().next();
        let is_other = due.as_ref().is_some_and(|s| s.endpoint != first.endpoint);
        awaited = awaited
            .take()
            .or(due.map(|swap| (*now + Duration::from_secs(30), swap)));
        is_other
    });
    let end = end.expect("the other engine gets no weights");
    assert!(end < Time::from_millis(300_000), "{end:?}");
}

const LOADED_AT: Time = Time::from_millis(1_000);

/// Loads version 3 at [`LOADED_AT`] on an engine whose order for version 2 got no
/// reply.
fn loaded_after_lost_reply() -> (Board, Rollout, Swap) {
    let mut board = board(1, 0);
    let mut rollout = Rollout::default();
    let lost = rollout.due(&board, Time::ZERO, "a").remove(0);
    rollout.finish(Time::ZERO, &lost, Outcome::Unknown);
    board.record_weights(MODEL, 3);
    let swap = rollout.due(&board, Time::ZERO, "a").remove(0);
    rollout.finish(LOADED_AT, &swap, Outcome::Loaded);
    (board, rollout, swap)
}

#[test]
fn due_engine_back_on_older_version() {
    let (mut board, mut rollout, swap) = loaded_after_lost_reply();
    let at = |ms| LOADED_AT + Duration::from_millis(ms);
    report_at(&mut board, at(1_000), 0, swap.endpoint, 3);
    assert!(rollout.due(&board, at(1_000), "a").is_empty());
    report_at(&mut board, at(5_000), 500, swap.endpoint, 2);
    let due = rollout.due(&board, at(5_000), "a");
    // The engine may have stored the answer to the first order of version 3.
    let again = Swap { round: 1, ..swap };
    assert_eq!(due, slice::from_ref(&again));
    rollout.finish(at(6_000), &again, Outcome::Loaded);
    report_at(&mut board, at(12_000), 500, again.endpoint, 3);
    assert!(rollout.due(&board, at(12_000), "a").is_empty());
}

#[test]
fn due_report_made_before_load() {
    let (mut board, mut rollout, swap) = loaded_after_lost_reply();
    // The ages of reports between VMs end at 25.5 s.
    for (after_ms, age_ms) in [(5_000, 4_500), (65_000, 25_500)] {
        let now = LOADED_AT + Duration::from_millis(after_ms);
        report_at(&mut board, now, age_ms, swap.endpoint, 2);
        assert!(rollout.due(&board, now, "a").is_empty(), "age {age_ms}");
    }
}

#[test]
fn due_engine_always_on_older_version() {
    let (mut board, mut rollout, swap) = loaded_after_lost_reply();
    let mut rounds = Vec::new();
    for now in (1_000..600_000).step_by(100).map(Time::from_millis) {
        report_at(&mut board, now, 0, swap.endpoint, 2);
        for swap in rollout.due(&board, now, "a") {
            rounds.push(swap.round);
            rollout.finish(now, &swap, Outcome::Loaded);
        }
    }
    assert_eq!(rounds, [1, 2, 3, 4, 5, 6, 7, 8]);
}
