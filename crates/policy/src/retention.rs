//! What is kept of lots and of reported windows, and for how long.
//!
//! A lot may be deleted once its trainer has acknowledged it and the time to
//! keep it has passed since. The floor of a trainer, below which all lots are
//! deleted for good, is written before the first of them is deleted. Whoever
//! writes or reads an object of a lot looks at the floor afterwards, so that
//! an object that is written anew below the floor is never taken for the lot.

use std::time::Duration;

use board::{
    retention::{CLAIM_KIND, LOT_KIND, Mark, PART_KIND, Retention, STEP_KIND},
    usage::Window,
};

/// Marks that are kept for the time that a lot is kept.
const MARKS: u64 = 8;

/// Reported windows that are always kept: a new reporter starts from them.
pub const WINDOWS_KEPT: usize = 2;

/// Notes that `next_lot` is the next lot to be acknowledged, and raises the
/// floor to what was acknowledged for `keep`. Returns whether anything
/// changed. `now_ms` is wall-clock time in milliseconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use board::retention::Retention;
/// use tarragonseam_policy::retention;
///
/// let keep = Duration::from_secs(60);
/// let mut lots = Retention::default();
/// assert!(retention::advance(&mut lots, 4, 1_000, keep));
/// assert!(!retention::advance(&mut lots, 4, 60_999, keep));
/// assert_eq!(lots.floor, 0);
/// assert!(retention::advance(&mut lots, 4, 61_000, keep));
/// assert_eq!(lots.floor, 4);
/// ```
pub fn advance(lots: &mut Retention, next_lot: u64, now_ms: u64, keep: Duration) -> bool {
    let keep_ms = keep.as_millis() as u64;
    let before = lots.floor;
    let is_over = |mark: &&Mark| mark.at_ms.saturating_add(keep_ms) <= now_ms;
    let over = lots.marks.iter().filter(is_over);
    let due = over.map(|mark| mark.next_lot).max().unwrap_or(0);
    // A cursor that stands lower than its mark is not trusted with a deletion.
    lots.floor = before.max(due.min(next_lot));
    let floor = lots.floor;
    lots.marks.retain(|mark| mark.next_lot > floor);
    let is_marked = mark(lots, next_lot, now_ms, keep_ms / MARKS);
    lots.floor > before || is_marked
}

fn mark(lots: &mut Retention, next_lot: u64, now_ms: u64, gap_ms: u64) -> bool {
    let is_due = match lots.marks.last() {
        Some(last) => next_lot > last.next_lot && now_ms >= last.at_ms.saturating_add(gap_ms),
        None => next_lot > lots.floor,
    };
    if is_due {
        let at_ms = now_ms;
        lots.marks.push(Mark { next_lot, at_ms });
    }
    is_due
}

/// Returns whether the object `name` of `kind` belongs to a lot or a step of
/// `trainer` that is wholly below `floor`.
///
/// # Examples
///
/// ```
/// use board::retention::{LOT_KIND, STEP_KIND};
/// use tarragonseam_policy::retention::is_below;
///
/// assert!(is_below(LOT_KIND, "notes.7", "notes", 8, 4));
/// assert!(!is_below(LOT_KIND, "notes.8", "notes", 8, 4));
/// assert!(is_below(STEP_KIND, "notes.1", "notes", 8, 4));
/// assert!(!is_below(STEP_KIND, "notes.2", "notes", 8, 4));
/// ```
pub fn is_below(kind: &str, name: &str, trainer: &str, floor: u64, lots_per_step: u32) -> bool {
    let rest = name
        .strip_prefix(trainer)
        .and_then(|rest| rest.strip_prefix('.'));
    let Some(rest) = rest else {
        return false;
    };
    let number = match kind {
        PART_KIND => rest.split_once('.').map_or("", |(lot, _)| lot),
        _ => rest,
    };
    match (kind, number.parse::<u64>()) {
        (LOT_KIND | CLAIM_KIND | PART_KIND, Ok(lot)) => lot < floor,
        (STEP_KIND, Ok(step)) => is_step_below(step, floor, lots_per_step),
        _ => false,
    }
}

/// Returns whether all lots of `step` are below `floor`.
pub fn is_step_below(step: u64, floor: u64, lots_per_step: u32) -> bool {
    let end = (step.saturating_add(1)).saturating_mul(u64::from(lots_per_step));
    end <= floor
}

/// Returns which of the frozen `windows` may be deleted: all but the latest
/// ones, once they ended `keep` ago. Each but the last was reported, because a
/// window is frozen only after the one before it was reported.
pub fn windows_due(
    mut windows: Vec<Window>,
    length_ms: u64,
    now_ms: u64,
    keep: Duration,
) -> Vec<Window> {
    windows.sort_unstable();
    windows.truncate(windows.len().saturating_sub(WINDOWS_KEPT));
    let keep_ms = keep.as_millis() as u64;
    let end = |window: &Window| (window.0 + 1).saturating_mul(length_ms);
    windows.retain(|window| end(window).saturating_add(keep_ms) <= now_ms);
    windows
}
