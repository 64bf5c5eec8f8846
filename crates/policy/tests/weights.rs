//! Rollouts of model weights.

use std::time::Duration;

use board::{
    Board, Time,
    config::{Capacity, Model},
    endpoint::{self, CapacityClass, Load, Record, State},
};
use tarragonseam_policy::weights::{Outcome, Rollout, Swap, Verdict};

const MODEL: &str = "notes";

fn report(board: &mut Board, key: endpoint::Key, version: u64) {
    let mut load = Load::default();
    load.versions.insert(MODEL.to_string(), version);
    board.endpoints.get_mut(key).unwrap().load = Some((Time::ZERO, load));
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
