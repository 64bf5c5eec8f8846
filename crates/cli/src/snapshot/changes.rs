//! What differs between two snapshots.

use board::lease;

use super::{Body, Object};

/// Returns a line for each object that differs: `+` is only in `now`, `-` only
/// in `kept`, `~` in both. Renewals of a lease are no difference.
pub(crate) fn between(kept: &Body, now: &Body) -> Vec<String> {
    let groups = kept.groups.iter().chain(&now.groups);
    let mut kinds: Vec<_> = groups.map(|group| group.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let lines = kinds.into_iter().flat_map(|kind| of_kind(kind, kept, now));
    lines.collect()
}

fn of_kind(kind: &str, kept: &Body, now: &Body) -> Vec<String> {
    let mut lines = Vec::new();
    for object in kept.group(kind) {
        match now.find(kind, &object.name) {
            None => lines.push(format!("- {kind}/{}", object.name)),
            Some(new) if is_same(kind, object, new) => {}
            Some(new) => {
                lines.push(format!("~ {kind}/{}", object.name));
                lines.push(format!("  - {}", object.value));
                lines.push(format!("  + {}", new.value));
            }
        }
    }
    let added = now.group(kind).iter();
    let added = added.filter(|object| kept.find(kind, &object.name).is_none());
    lines.extend(added.map(|object| format!("+ {kind}/{}", object.name)));
    lines
}

fn is_same(kind: &str, a: &Object, b: &Object) -> bool {
    a.value == b.value || (kind == lease::KIND && term(a).is_some() && term(a) == term(b))
}

/// Returns who holds a lease and under which epoch.
fn term(object: &Object) -> Option<(String, u64)> {
    let record: lease::Record = serde_json::from_str(&object.value).ok()?;
    Some((record.holder, record.epoch))
}
