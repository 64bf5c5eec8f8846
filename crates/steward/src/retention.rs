//! Deletion of expired data: objects of lots that their trainers have
//! acknowledged, and figures of windows whose retention time has passed.
//!
//! The steward that holds the lease on reports deletes it, so that the work is
//! done once. Safety does not depend on the lease: the floor of each trainer is
//! written before any lot below it is deleted, and never decreases. So is the
//! floor of usage windows.

use std::{rc::Rc, time::Duration};

use board::{
    lot::Cursor,
    retention::{CLAIM_KIND, KIND, LOT_KIND, PART_KIND, Retention, STEP_KIND},
    usage::{self, FLOOR_KIND, FLOOR_NAME, Window},
};
use link::{
    clock,
    platform::{Change, Condition, Error},
};
use policy::retention;

use crate::vm::Vm;

/// The number of rounds of deletion within the time that a lot is retained.
const ROUNDS_PER_RETENTION: u32 = 4;
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(200);
const ROUND_INTERVAL_MAX: Duration = Duration::from_secs(300);

/// Deletes expired data at intervals while this process holds the lease on
/// reports; never returns.
pub(crate) async fn run(vm: Rc<Vm>) {
    let interval = (vm.settings.keep_lots / ROUNDS_PER_RETENTION)
        .clamp(ROUND_INTERVAL_MIN, ROUND_INTERVAL_MAX);
    loop {
        monoio::time::sleep(interval).await;
        if !is_lease_held(&vm) {
            continue;
        }
        // The next round repeats deletions that fail.
        let _ = delete_windows(&vm).await;
        let trainers: Vec<_> = {
            let board = vm.board.borrow();
            let trainers = board.config.trainers.iter();
            trainers
                .map(|(name, trainer)| (name.clone(), trainer.lots_per_step()))
                .collect()
        };
        for (trainer, lots_per_step) in trainers {
            let _ = delete_lots(&vm, &trainer, lots_per_step).await;
        }
    }
}

fn is_lease_held(vm: &Vm) -> bool {
    vm.epoch(&vm.reports).is_some()
}

async fn delete_lots(vm: &Vm, trainer: &str, lots_per_step: u32) -> Result<(), Error> {
    let floor = raise_floor(vm, trainer).await?;
    if floor == 0 {
        return Ok(());
    }
    // The manifest is deleted last: as long as it exists, the next round finds
    // the lot's other objects.
    for kind in [STEP_KIND, CLAIM_KIND, PART_KIND, LOT_KIND] {
        let listed = vm
            .cleanup_platform
            .list(kind, &format!("{trainer}."))
            .await?;
        let is_due = |change: &&Change| {
            retention::is_below(kind, &change.name, trainer, floor, lots_per_step)
        };
        for object in listed.changes.iter().filter(is_due) {
            delete(vm, kind, object).await?;
        }
    }
    Ok(())
}

/// Raises the floor of `trainer` on the platform, and returns it: the number of
/// the first lot that has to be retained.
async fn raise_floor(vm: &Vm, trainer: &str) -> Result<u64, Error> {
    let cursor = vm
        .cleanup_platform
        .read::<Cursor>(Cursor::KIND, trainer)
        .await;
    let next_lot = match cursor {
        Ok((_, cursor)) => cursor.acknowledged + 1,
        Err(Error::Absent) => return Ok(0),
        Err(e) => return Err(e),
    };
    let (condition, mut retained) = match vm.cleanup_platform.read::<Retention>(KIND, trainer).await
    {
        Ok((version, retained)) => (Condition::At(version), retained),
        Err(Error::Absent) => (Condition::Absent, Retention::default()),
        Err(e) => return Err(e),
    };
    let retention_time = vm.settings.keep_lots;
    if retention::advance_floor(
        &mut retained,
        next_lot,
        clock::wall_millis(),
        retention_time,
    ) {
        // After a conflict or a lost reply the next round reads the floor
        // again.
        vm.cleanup_platform
            .write(KIND, trainer, condition, &retained)
            .await?;
    }
    Ok(retained.floor)
}

async fn delete_windows(vm: &Vm) -> Result<(), Error> {
    let listed = vm.cleanup_platform.list(usage::KIND, "").await?;
    let parse_window = |change: &Change| change.name.parse().ok().map(Window);
    let windows = listed.changes.iter().filter_map(parse_window).collect();
    let window_length_ms = vm.settings.window.as_millis().max(1) as u64;
    let retention_time = vm.settings.keep_windows;
    let due = retention::expired_windows(
        windows,
        window_length_ms,
        clock::wall_millis(),
        retention_time,
    );
    let Some(last) = due.iter().max() else {
        return Ok(());
    };
    raise_window_floor(vm, last.next()).await?;
    let is_due =
        |change: &&Change| parse_window(change).is_some_and(|window| due.contains(&window));
    for object in listed.changes.iter().filter(is_due) {
        delete(vm, usage::KIND, object).await?;
    }
    Ok(())
}

/// Raises the floor of usage windows on the platform to `floor`, unless it is
/// higher.
async fn raise_window_floor(vm: &Vm, floor: Window) -> Result<(), Error> {
    let platform = &vm.cleanup_platform;
    let condition = match platform.read::<Window>(FLOOR_KIND, FLOOR_NAME).await {
        Ok((_, stored)) if stored >= floor => return Ok(()),
        Ok((version, _)) => Condition::At(version),
        Err(Error::Absent) => Condition::Absent,
        Err(e) => return Err(e),
    };
    let written = platform.write(FLOOR_KIND, FLOOR_NAME, condition, &floor);
    written.await.map(drop)
}

/// Deletes an object unless it has changed since it was listed.
async fn delete(vm: &Vm, kind: &'static str, object: &Change) -> Result<(), Error> {
    if !is_lease_held(vm) {
        return Err(Error::Unavailable(
            "the lease on reports is lost".to_string(),
        ));
    }
    let deleted = vm
        .cleanup_platform
        .delete(kind, &object.name, object.version)
        .await;
    match deleted {
        Ok(()) => vm.metrics.record_deletion(kind, "deleted"),
        // The object was deleted or overwritten since it was listed. The next
        // round lists its current version.
        Err(Error::Absent | Error::Conflict(_)) => vm.metrics.record_deletion(kind, "changed"),
        Err(e) => {
            vm.metrics.record_deletion(kind, "failed");
            return Err(e);
        }
    }
    Ok(())
}
