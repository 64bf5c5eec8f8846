//! Putting a checked configuration in force.
//!
//! The new parts are written first, each under its digest, where nothing sees
//! them; then one conditional write moves the pointer. So there is no state in
//! which a part of a publication is in force.

use board::{
    config::{Manifest, manifest},
    shared::{Fact, Item},
};
use link::platform::{Client, Error, When};

use crate::{
    announce,
    command::{Base, Platform},
    diff,
    error::Failure,
    files::ConfigFiles,
};

/// The configuration in force, with the version of its pointer.
pub(crate) struct Current {
    pub(crate) condition: When,
    pub(crate) manifest: Manifest,
}

/// Writes the parts that are new, moves the pointer and tells the VMs.
pub(crate) async fn run(platform: &Platform, files: ConfigFiles, base: Base) -> miette::Result<()> {
    let client = Client::new(platform.address, "cli");
    publish(&client, files, base.revision).await
}

/// As [`run`], with a client at hand and from whatever is in force.
pub(crate) async fn run_with_client(client: &Client, files: ConfigFiles) -> miette::Result<()> {
    publish(client, files, None).await
}

async fn publish(client: &Client, files: ConfigFiles, base: Option<u64>) -> miette::Result<()> {
    let current = read_current(client).await?;
    let before = &current.manifest;
    let next = manifest::from_parts(before.revision + 1, &files.parts);
    if next.parts == before.parts {
        println!("revision {} is in force already", before.revision);
        return Ok(());
    }
    if let Some(base) = base.filter(|base| *base != before.revision) {
        let problem = format!(
            "revision {} is in force, not {base}; it differs from your files:\n{}",
            before.revision,
            diff::compare(client, before, &files.parts)
                .await?
                .join("\n")
        );
        let help = "take over what others published, then publish with that revision as base";
        return Err(Failure::new(problem, help).into());
    }
    for line in diff::compare(client, before, &files.parts).await? {
        println!("{line}");
    }
    write_parts(client, before, &next, &files).await?;
    let version = move_pointer(client, current.condition, &next, &files).await?;
    let fact = Fact::Config(next.clone());
    announce::send(client, Item { version, fact }).await;
    let config = &files.config;
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
pub(crate) async fn read_current(client: &Client) -> miette::Result<Current> {
    let read = client
        .read::<Manifest>(manifest::KIND, manifest::CURRENT)
        .await;
    match read {
        Ok((version, manifest)) => Ok(Current {
            condition: When::At(version),
            manifest,
        }),
        Err(Error::Absent) => Ok(Current {
            condition: When::Absent,
            manifest: Manifest::default(),
        }),
        Err(e) => Err(platform_failure(&e).into()),
    }
}

async fn write_parts(
    client: &Client,
    before: &Manifest,
    next: &Manifest,
    files: &ConfigFiles,
) -> miette::Result<()> {
    for (reference, part) in next.parts.iter().zip(&files.parts) {
        let is_unchanged = |old: &manifest::Reference| old.digest == reference.digest;
        if before.parts.iter().any(is_unchanged) {
            continue;
        }
        let name = reference.digest.to_string();
        let written = client.create(manifest::PART_KIND, &name, part.text.clone());
        written.await.map_err(|e| platform_failure(&e))?;
    }
    Ok(())
}

/// Moves the pointer and returns its new version.
async fn move_pointer(
    client: &Client,
    condition: When,
    next: &Manifest,
    files: &ConfigFiles,
) -> miette::Result<u64> {
    let written = client.write(manifest::KIND, manifest::CURRENT, condition, next);
    match written.await {
        Ok(version) => Ok(version),
        // The reply was lost, or this operator's own write came through twice:
        // what stands tells which.
        Err(Error::Unknown(_) | Error::Conflict(_)) => resolve_outcome(client, next, files).await,
        Err(e) => Err(platform_failure(&e).into()),
    }
}

/// Learns by reading whether a write took effect, and shows what differs when
/// it was another operator's that did.
async fn resolve_outcome(
    client: &Client,
    next: &Manifest,
    files: &ConfigFiles,
) -> miette::Result<u64> {
    let current = read_current(client).await?;
    if let When::At(version) = current.condition
        && current.manifest == *next
    {
        return Ok(version);
    }
    if current.manifest.revision < next.revision {
        let problem = "the change was not accepted: nothing changed";
        return Err(Failure::new(problem, "publish again").into());
    }
    let problem = format!(
        "another operator published revision {} meanwhile; it differs from your files:\n{}",
        current.manifest.revision,
        diff::compare(client, &current.manifest, &files.parts)
            .await?
            .join("\n")
    );
    let help = "nothing of yours is in force: look at the change and publish again";
    Err(Failure::new(problem, help).into())
}

/// Turns an error of the platform into what an operator can do about it.
pub(crate) fn platform_failure(e: &Error) -> Failure {
    let help = match e {
        Error::Conflict(_) => "someone else changed it meanwhile: look at the change and try again",
        Error::Unavailable(_) => {
            "not accepted: the platform is down or busy and nothing changed, try again later"
        }
        Error::Unknown(_) => {
            "it is not known whether this was accepted: try again until it says so"
        }
        Error::Absent | Error::Refused { .. } => "check the address given with --platform",
    };
    Failure::new(e.to_string(), help)
}
