//! Reads a consistent state of the platform's objects.
//!
//! The kinds are listed, their objects read, and the kinds listed again. If both
//! listings agree, the objects read were all current at the same time: from the
//! end of the first listing to the start of the second. Otherwise the objects
//! that changed are read again. Leases and order intents change too often for
//! this, a lease about once a second, so they are read one by one afterwards.

use std::collections::BTreeMap;

use board::{capacity, config::manifest, key, lease, usage, weights};
use link::{
    clock,
    platform::{Changes, Client, Error},
};

use super::{Body, Group, Object};
use crate::{error::Failure, publish::platform_failure};

/// Kinds whose objects form one consistent state.
const CONSISTENT_KINDS: [&str; 4] = [manifest::KIND, key::KIND, weights::KIND, usage::KIND];
/// Kinds that processes write continually, so their objects are read one by one
/// without being consistent with each other.
const VOLATILE_KINDS: [&str; 2] = [lease::KIND, capacity::KIND];
/// How many rounds of reading are made while objects keep changing.
const ROUNDS_MAX: usize = 8;

/// Objects read so far, by kind and name.
type Objects = BTreeMap<(String, String), Object>;

/// Reads every object that a snapshot contains.
///
/// # Errors
///
/// When the platform cannot be read, or objects changed in every round.
pub(crate) async fn run(client: &Client) -> miette::Result<Body> {
    let mut objects = Objects::new();
    let mut lists = list_kinds(client, &CONSISTENT_KINDS).await?;
    for _ in 0..ROUNDS_MAX {
        refresh(client, &CONSISTENT_KINDS, &lists, &mut objects).await?;
        let next_lists = list_kinds(client, &CONSISTENT_KINDS).await?;
        if has_same_objects(&lists, &next_lists) {
            let version = lists.iter().map(|list| list.version).max();
            return complete_body(client, objects, version.unwrap_or_default()).await;
        }
        lists = next_lists;
    }
    let problem = format!("objects changed during each of {ROUNDS_MAX} rounds of reading");
    Err(Failure::new(
        problem,
        "take the snapshot again when fewer changes are being made",
    )
    .into())
}

async fn list_kinds(client: &Client, kinds: &[&str]) -> miette::Result<Vec<Changes>> {
    let mut lists = Vec::new();
    for kind in kinds {
        lists.push(
            client
                .list(kind, "")
                .await
                .map_err(|e| platform_failure(&e))?,
        );
    }
    Ok(lists)
}

fn has_same_objects(a: &[Changes], b: &[Changes]) -> bool {
    let changes =
        |lists: &[Changes]| -> Vec<_> { lists.iter().map(|list| list.changes.clone()).collect() };
    changes(a) == changes(b)
}

/// Updates `objects` to the listed versions: reads those that are new or have
/// changed, and removes those that are no longer listed.
async fn refresh(
    client: &Client,
    kinds: &[&str],
    lists: &[Changes],
    objects: &mut Objects,
) -> miette::Result<()> {
    for (kind, list) in kinds.iter().zip(lists) {
        objects.retain(|(object_kind, name), _| {
            object_kind != kind || list.changes.iter().any(|c| c.name == *name)
        });
        for change in &list.changes {
            let key = (kind.to_string(), change.name.clone());
            if objects
                .get(&key)
                .is_some_and(|object| object.version == change.version)
            {
                continue;
            }
            if let Some(object) = fetch_object(client, kind, &change.name).await? {
                objects.insert(key, object);
            }
        }
    }
    Ok(())
}

/// Returns an object, or `None` if it was deleted after it was listed.
async fn fetch_object(client: &Client, kind: &str, name: &str) -> miette::Result<Option<Object>> {
    let object = match client.get(kind, name).await {
        Ok(object) => object,
        Err(Error::Absent) => return Ok(None),
        Err(e) => return Err(platform_failure(&e).into()),
    };
    let value = String::from_utf8(object.value.to_vec()).map_err(|_| {
        let problem = format!("the value of {kind}/{name} is not text");
        Failure::new(problem, "another program has written this object")
    })?;
    Ok(Some(Object {
        name: name.to_string(),
        version: object.version,
        value,
    }))
}

/// Adds the configuration files, which are immutable, and the leases and order
/// intents.
async fn complete_body(client: &Client, objects: Objects, version: u64) -> miette::Result<Body> {
    let mut body = Body {
        taken_ms: clock::wall_millis(),
        version,
        groups: group_by_kind(objects),
    };
    let manifest = body.manifest().unwrap_or_default();
    let mut names: Vec<_> = manifest
        .parts
        .iter()
        .map(|reference| reference.digest.to_string())
        .collect();
    names.sort();
    names.dedup();
    let mut texts = Vec::new();
    for name in names {
        let text = fetch_object(client, manifest::PART_KIND, &name).await?;
        let missing_text = || {
            let problem = format!("the configuration file with digest {name} is missing");
            Failure::new(problem, "publish the configuration again")
        };
        texts.push(text.ok_or_else(missing_text)?);
    }
    body.groups.push(Group {
        kind: manifest::PART_KIND.to_string(),
        objects: texts,
    });
    let mut volatile = Objects::new();
    let lists = list_kinds(client, &VOLATILE_KINDS).await?;
    refresh(client, &VOLATILE_KINDS, &lists, &mut volatile).await?;
    body.groups.extend(group_by_kind(volatile));
    Ok(body)
}

fn group_by_kind(objects: Objects) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for ((kind, _), object) in objects {
        match groups.last_mut() {
            Some(group) if group.kind == kind => group.objects.push(object),
            _ => groups.push(Group {
                kind,
                objects: vec![object],
            }),
        }
    }
    groups
}
