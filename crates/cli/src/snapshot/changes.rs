//! The difference between two snapshots.

use board::lease;

use super::{Body, Object};

/// Returns a line for each object that differs.
///
/// `+` marks an object that is only in `current`, `-` one that is only in
/// `saved`, and `~` one whose value changed. A lease that was only renewed
/// counts as unchanged.
pub(crate) fn find(saved: &Body, current: &Body) -> Vec<String> {
    let groups = saved.groups.iter().chain(&current.groups);
    let mut kinds: Vec<_> = groups.map(|group| group.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let lines = kinds
        .into_iter()
        .flat_map(|kind| find_of_kind(kind, saved, current));
    lines.collect()
}

fn find_of_kind(kind: &str, saved: &Body, current: &Body) -> Vec<String> {
    let mut lines = Vec::new();
    for object in saved.group(kind) {
        match current.find(kind, &object.name) {
            None => lines.push(format!("- {kind}/{}", object.name)),
            Some(changed) if is_equal(kind, object, changed) => {}
            Some(changed) => {
                lines.push(format!("~ {kind}/{}", object.name));
                lines.push(format!("  - {}", object.value));
                lines.push(format!("  + {}", changed.value));
            }
        }
    }
    let new_objects = current.group(kind).iter();
    let new_objects = new_objects.filter(|object| saved.find(kind, &object.name).is_none());
    lines.extend(new_objects.map(|object| format!("+ {kind}/{}", object.name)));
    lines
}

fn is_equal(kind: &str, a: &Object, b: &Object) -> bool {
    a.value == b.value
        || (kind == lease::KIND && lease_term(a).is_some() && lease_term(a) == lease_term(b))
}

/// Returns the holder and the epoch of a lease.
fn lease_term(object: &Object) -> Option<(String, u64)> {
    let record: lease::Record = serde_json::from_str(&object.value).ok()?;
    Some((record.holder, record.epoch))
}
