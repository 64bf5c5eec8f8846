//! Putting a checked configuration in force.
//!
//! The new parts are written first, each under its digest, where nothing sees
//! them; then one conditional write moves the pointer. So there is no state in
//! which a part of a publication is in force.

use board::{
    config::{Manifest, manifest},
    shared::{Fact, Item},
};
use link::platform::{Client, Condition, Error};

use crate::{
    announce,
    collect::Checked,
    command::{Base, Platform},
    diff,
    fault::Failed,
};

/// The configuration in force, with the version of its pointer.
pub(crate) struct Current {
    pub(crate) when: Condition,
    pub(crate) manifest: Manifest,
}

/// Writes the parts that are new, moves the pointer and tells the VMs.
pub(crate) async fn run(platform: &Platform, set: Checked, base: Base) -> miette::Result<()> {
    let client = Client::new(platform.platform, "cli");
    publish(&client, set, base.base).await
}

/// As [`run`], with a client at hand and from whatever is in force.
pub(crate) async fn run_with(client: &Client, set: Checked) -> miette::Result<()> {
    publish(client, set, None).await
}

async fn publish(client: &Client, set: Checked, base: Option<u64>) -> miette::Result<()> {
    let current = read(client).await?;
    let before = &current.manifest;
    let next = manifest::from_parts(before.revision + 1, &set.parts);
    if next.parts == before.parts {
        println!("revision {} is in force already", before.revision);
        return Ok(());
    }
    if let Some(base) = base.filter(|base| *base != before.revision) {
        let problem = format!(
            "revision {} is in force, not {base}; it differs from your files:\n{}",
            before.revision,
            diff::lines(client, before, &set.parts).await?.join("\n")
        );
        let cure = "take over what others published, then publish with that revision as base";
        return Err(Failed::new(problem, cure).into());
    }
    for line in diff::lines(client, before, &set.parts).await? {
        println!("{line}");
    }
    write_parts(client, before, &next, &set).await?;
    let version = move_pointer(client, current.when, &next, &set).await?;
    let fact = Fact::Config(next.clone());
    announce::tell(client, Item { version, fact }).await;
    let config = &set.config;
    println!(
        "revision {} published: {} models, {} services, {} accounts, {} routes, {} trainers",
        next.revision,
        config.models.len(),
        config.services.len(),
        config.accounts.len(),
        config.routes.len(),
        config.trainers.len(),
    );
    Ok(())
}

/// Reads the manifest in force; an empty one before the first publication.
pub(crate) async fn read(client: &Client) -> miette::Result<Current> {
    let read = client
        .read::<Manifest>(manifest::KIND, manifest::CURRENT)
        .await;
    match read {
        Ok((version, manifest)) => Ok(Current {
            when: Condition::At(version),
            manifest,
        }),
        Err(Error::Absent) => Ok(Current {
            when: Condition::Absent,
            manifest: Manifest::default(),
        }),
        Err(e) => Err(failed(&e).into()),
    }
}

async fn write_parts(
    client: &Client,
    before: &Manifest,
    next: &Manifest,
    set: &Checked,
) -> miette::Result<()> {
    for (reference, part) in next.parts.iter().zip(&set.parts) {
        let is_known = |known: &manifest::Reference| known.digest == reference.digest;
        if before.parts.iter().any(is_known) {
            continue;
        }
        let name = reference.digest.to_string();
        let written = client.create(manifest::PART_KIND, &name, part.text.clone());
        written.await.map_err(|e| failed(&e))?;
    }
    Ok(())
}

/// Moves the pointer and returns its new version.
async fn move_pointer(
    client: &Client,
    when: Condition,
    next: &Manifest,
    set: &Checked,
) -> miette::Result<u64> {
    let written = client.write(manifest::KIND, manifest::CURRENT, when, next);
    match written.await {
        Ok(version) => Ok(version),
        // The reply was lost, or this operator's own write came through twice:
        // what stands tells which.
        Err(Error::Unknown(_) | Error::Conflict(_)) => settle(client, next, set).await,
        Err(e) => Err(failed(&e).into()),
    }
}

/// Learns by reading whether a write took effect, and shows what differs when
/// it was another operator's that did.
async fn settle(client: &Client, next: &Manifest, set: &Checked) -> miette::Result<u64> {
    let current = read(client).await?;
    if let Condition::At(version) = current.when
        && current.manifest == *next
    {
        return Ok(version);
    }
    if current.manifest.revision < next.revision {
        let problem = "the change was not accepted: nothing changed";
        return Err(Failed::new(problem, "publish again").into());
    }
    let problem = format!(
        "another operator published revision {} meanwhile; it differs from your files:\n{}",
        current.manifest.revision,
        diff::lines(client, &current.manifest, &set.parts)
            .await?
            .join("\n")
    );
    let cure = "nothing of yours is in force: look at the change and publish again";
    Err(Failed::new(problem, cure).into())
}

/// Turns an error of the platform into what an operator can do about it.
pub(crate) fn failed(e: &Error) -> Failed {
    let cure = match e {
        Error::Conflict(_) => "someone else changed it meanwhile: look at the change and try again",
        Error::Unavailable(_) => {
            "not accepted: the platform is down or busy and nothing changed, try again later"
        }
        Error::Unknown(_) => {
            "it is not known whether this was accepted: try again until it says so"
        }
        Error::Absent | Error::Rejected { .. } => "check the address given with --platform",
    };
    Failed::new(e.to_string(), cure)
}
