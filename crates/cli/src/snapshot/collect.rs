//! Reading of the platform's objects so that they stood together.
//!
//! Kinds are listed, read and listed again. When no list has changed, every
//! object stood as it was read at any moment between the first list that ended
//! and the second that began. Otherwise what changed is read again. Leases
//! change each second and are read one by one after that.

use std::collections::BTreeMap;

use board::{capacity, config::manifest, key, lease, usage, weights};
use link::{
    clock,
    platform::{Changes, Client, Error},
};

use super::{Body, Group, Object};
use crate::{error::Failure, publish::platform_failure};

/// Kinds that stand together.
const CONSISTENT_KINDS: [&str; 4] = [manifest::KIND, key::KIND, weights::KIND, usage::KIND];
/// Kinds that are read one by one, as processes renew them all the time.
const VOLATILE_KINDS: [&str; 2] = [lease::KIND, capacity::KIND];
/// How often a changing platform is read before giving up.
const ROUNDS_MAX: usize = 8;

/// Objects read so far, by kind and name.
type Objects = BTreeMap<(String, String), Object>;

/// Reads every object that is kept.
///
/// # Errors
///
/// When the platform cannot be read, or changes faster than it is read.
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
    let problem = format!("the objects changed during each of {ROUNDS_MAX} rounds of reading");
    Err(Failure::new(
        problem,
        "take the snapshot again while fewer changes are made",
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

/// Reads what `lists` name and is not known at that version, and forgets what
/// they no longer name.
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

/// Returns an object; `None` when it was deleted meanwhile.
async fn fetch_object(client: &Client, kind: &str, name: &str) -> miette::Result<Option<Object>> {
    let object = match client.get(kind, name).await {
        Ok(object) => object,
        Err(Error::Absent) => return Ok(None),
        Err(e) => return Err(platform_failure(&e).into()),
    };
    let value = String::from_utf8(object.value.to_vec()).map_err(|_| {
        let problem = format!("the value of {kind}/{name} is not text");
        Failure::new(problem, "another program has written it")
    })?;
    Ok(Some(Object {
        name: name.to_string(),
        version: object.version,
        value,
    }))
}

/// Adds the texts of the configuration, which never change, and the leases.
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
            let problem = format!("the text {name} of the configuration is not there");
            Failure::new(problem, "publish the files of the configuration again")
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
