//! How long lots and reported usage windows are retained.
//!
//! A lot may be deleted once its trainer has acknowledged it and the retention
//! time has passed since then. The floor of a trainer, below which all lots are
//! deleted for good, is written before the first of them is deleted. Every
//! process that writes or reads an object of a lot checks the floor afterwards,
//! so an object recreated below the floor is never mistaken for the lot.

use std::time::Duration;

use board::{
    retention::{CLAIM_KIND, LOT_KIND, Mark, PART_KIND, Retention, STEP_KIND},
    usage::Window,
};

/// The minimum interval between two marks is the retention time of a lot
/// divided by this number.
const MARKS_PER_KEEP_TIME: u64 = 8;

/// How many of the latest reported windows are always kept, because a new
/// reporter starts from them.
pub const WINDOWS_KEPT_MIN: usize = 2;

/// Records that `next_lot` is the next lot to be acknowledged, and raises the
/// floor to the lots acknowledged at least `keep_time` ago. Returns whether
/// anything changed. `now_ms` is wall-clock time in milliseconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use board::retention::Retention;
/// use tarragonseam_policy::retention;
///
/// let keep_time = Duration::from_secs(60);
/// let mut retention = Retention::default();
/// assert!(retention::advance_floor(&mut retention, 4, 1_000, keep_time));
/// assert!(!retention::advance_floor(&mut retention, 4, 60_999, keep_time));
/// assert_eq!(retention.floor, 0);
/// assert!(retention::advance_floor(&mut retention, 4, 61_000, keep_time));
/// assert_eq!(retention.floor, 4);
/// ```
pub fn advance_floor(
    retention: &mut Retention,
    next_lot: u64,
    now_ms: u64,
    keep_time: Duration,
) -> bool {
    let keep_ms = keep_time.as_millis() as u64;
    let before = retention.floor;
    let is_expired = |mark: &&Mark| mark.at_ms.saturating_add(keep_ms) <= now_ms;
    let expired = retention.marks.iter().filter(is_expired);
    let due_lot = expired.map(|mark| mark.next_lot).max().unwrap_or(0);
    // A cursor below its mark is inconsistent, so nothing above the cursor is
    // deleted.
    retention.floor = before.max(due_lot.min(next_lot));
    let floor = retention.floor;
    retention.marks.retain(|mark| mark.next_lot > floor);
    let is_marked = add_mark(retention, next_lot, now_ms, keep_ms / MARKS_PER_KEEP_TIME);
    retention.floor > before || is_marked
}

fn add_mark(retention: &mut Retention, next_lot: u64, now_ms: u64, gap_ms: u64) -> bool {
    let is_due = match retention.marks.last() {
        Some(last) => next_lot > last.next_lot && now_ms >= last.at_ms.saturating_add(gap_ms),
        None => next_lot > retention.floor,
    };
    if is_due {
        let at_ms = now_ms;
        retention.marks.push(Mark { next_lot, at_ms });
    }
    is_due
}

/// Returns whether the object `name` of `kind` belongs to a lot of `trainer`
/// below `floor`, or to a step whose lots are all below it.
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
    let suffix = name
        .strip_prefix(trainer)
        .and_then(|suffix| suffix.strip_prefix('.'));
    let Some(suffix) = suffix else {
        return false;
    };
    let number = match kind {
        PART_KIND => suffix.split_once('.').map_or("", |(lot, _)| lot),
        _ => suffix,
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

/// Returns which of the frozen `windows` may be deleted: those that ended
/// `keep_time` ago, except the latest ones. All but the last one have been
/// reported, because a window is frozen only after the previous one was
/// reported.
pub fn expired_windows(
    mut windows: Vec<Window>,
    length_ms: u64,
    now_ms: u64,
    keep_time: Duration,
) -> Vec<Window> {
    windows.sort_unstable();
    windows.truncate(windows.len().saturating_sub(WINDOWS_KEPT_MIN));
    let keep_ms = keep_time.as_millis() as u64;
    let end = |window: &Window| (window.0 + 1).saturating_mul(length_ms);
    windows.retain(|window| end(window).saturating_add(keep_ms) <= now_ms);
    windows
}
