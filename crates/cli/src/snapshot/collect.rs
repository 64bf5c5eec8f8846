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
use crate::{fault::Failed, publish::failed};

/// Kinds that stand together.
const SETTLED: [&str; 4] = [manifest::KIND, key::KIND, weights::KIND, usage::KIND];
/// Kinds that are read one by one, as processes renew them all the time.
const MOVING: [&str; 2] = [lease::KIND, capacity::KIND];
/// How often a changing platform is read before giving up.
const ROUNDS: usize = 8;

/// Objects read so far, by kind and name.
type Known = BTreeMap<(String, String), Object>;

/// Reads every object that is kept.
///
/// # Errors
///
/// When the platform cannot be read, or changes faster than it is read.
pub(crate) async fn run(client: &Client) -> miette::Result<Body> {
    let mut known = Known::new();
    let mut lists = list(client, &SETTLED).await?;
    for _ in 0..ROUNDS {
        read(client, &SETTLED, &lists, &mut known).await?;
        let again = list(client, &SETTLED).await?;
        if is_same(&lists, &again) {
            let version = lists.iter().map(|list| list.version).max();
            return whole(client, known, version.unwrap_or_default()).await;
        }
        lists = again;
    }
    let problem = format!("the objects changed during each of {ROUNDS} rounds of reading");
    Err(Failed::new(
        problem,
        "take the snapshot again while fewer changes are made",
    )
    .into())
}

async fn list(client: &Client, kinds: &[&str]) -> miette::Result<Vec<Changes>> {
    let mut lists = Vec::new();
    for kind in kinds {
        lists.push(client.list(kind, "").await.map_err(|e| failed(&e))?);
    }
    Ok(lists)
}

fn is_same(a: &[Changes], b: &[Changes]) -> bool {
    let objects =
        |lists: &[Changes]| -> Vec<_> { lists.iter().map(|list| list.changes.clone()).collect() };
    objects(a) == objects(b)
}

/// Reads what `lists` name and is not known at that version, and forgets what
/// they no longer name.
async fn read(
    client: &Client,
    kinds: &[&str],
    lists: &[Changes],
    known: &mut Known,
) -> miette::Result<()> {
    for (kind, list) in kinds.iter().zip(lists) {
        known.retain(|(of, name), _| of != kind || list.changes.iter().any(|c| c.name == *name));
        for change in &list.changes {
            let key = (kind.to_string(), change.name.clone());
            if known.get(&key).is_some_and(|o| o.version == change.version) {
                continue;
            }
            if let Some(object) = get(client, kind, &change.name).await? {
                known.insert(key, object);
            }
        }
    }
    Ok(())
}

/// Returns an object; `None` when it was deleted meanwhile.
async fn get(client: &Client, kind: &str, name: &str) -> miette::Result<Option<Object>> {
    let object = match client.get(kind, name).await {
        Ok(object) => object,
        Err(Error::Absent) => return Ok(None),
        Err(e) => return Err(failed(&e).into()),
    };
    let value = String::from_utf8(object.value.to_vec()).map_err(|_| {
        let problem = format!("the value of {kind}/{name} is not text");
        Failed::new(problem, "another program has written it")
    })?;
    Ok(Some(Object {
        name: name.to_string(),
        version: object.version,
        value,
    }))
}

/// Adds the texts of the configuration, which never change, and the leases.
async fn whole(client: &Client, known: Known, version: u64) -> miette::Result<Body> {
    let mut body = Body {
        taken_ms: clock::wall_millis(),
        version,
        groups: groups(known),
    };
    let manifest = body.manifest().unwrap_or_default();
    let mut names: Vec<_> = manifest
        .parts
        .iter()
        .map(|p| p.digest.to_string())
        .collect();
    names.sort();
    names.dedup();
    let mut texts = Vec::new();
    for name in names {
        let text = get(client, manifest::PART_KIND, &name).await?;
        let missing = || {
            let problem = format!("the text {name} of the configuration is not there");
            Failed::new(problem, "publish the files of the configuration again")
        };
        texts.push(text.ok_or_else(missing)?);
    }
    body.groups.push(Group {
        kind: manifest::PART_KIND.to_string(),
        objects: texts,
    });
    let mut moving = Known::new();
    let lists = list(client, &MOVING).await?;
    read(client, &MOVING, &lists, &mut moving).await?;
    body.groups.extend(groups(moving));
    Ok(body)
}

fn groups(known: Known) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for ((kind, _), object) in known {
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
