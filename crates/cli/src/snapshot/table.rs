//! Formats a snapshot as text for operators.

use std::{collections::BTreeMap, fmt::Write as _};

use board::{
    key::{self, Grant},
    lease, usage, weights,
};

use super::Body;

/// Returns the output of `snapshot show`.
///
/// Results of `writeln!` are ignored because writing to a string cannot fail.
pub(crate) fn format(body: &Body) -> String {
    let mut out = format!(
        "taken at {} ms since the Unix epoch, at platform version {}\n",
        body.taken_ms, body.version
    );
    if let Some(manifest) = body.manifest() {
        let _ = writeln!(out, "configuration: revision {}", manifest.revision);
        for part in &manifest.parts {
            let _ = writeln!(out, "  {} {}", part.digest, part.file);
        }
    }
    for (account, (active, withdrawn)) in count_keys(body) {
        let _ = writeln!(
            out,
            "keys of {account}: {active} active, {withdrawn} withdrawn"
        );
    }
    for object in body.group(weights::KIND) {
        let _ = writeln!(out, "weights of {}: {}", object.name, object.value);
    }
    for object in body.group(lease::KIND) {
        if let Ok(record) = serde_json::from_str::<lease::Record>(&object.value) {
            let (holder, epoch) = (record.holder, record.epoch);
            let _ = writeln!(out, "lease {}: {holder}, epoch {epoch}", object.name);
        }
    }
    let windows = body.group(usage::KIND).len();
    let _ = writeln!(out, "usage windows with frozen figures: {windows}");
    out
}

/// Returns how many keys of each account are active and how many are withdrawn.
fn count_keys(body: &Body) -> BTreeMap<String, (usize, usize)> {
    let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for object in body.group(key::KIND) {
        let Ok(grant) = serde_json::from_str::<Grant>(&object.value) else {
            continue;
        };
        let (active, withdrawn) = counts.entry(grant.account).or_default();
        match grant.withdrawn {
            true => *withdrawn += 1,
            false => *active += 1,
        }
    }
    counts
}
