//! Publishes a checked configuration.
//!
//! The files are written first, each as an object named by its digest, which no
//! VM reads yet. Then one conditional write replaces the manifest, which refers
//! to them. So a configuration is never partially in force.

use board::{
    config::{Manifest, manifest},
    shared::{Fact, Item},
};
use link::platform::{Client, Condition, Error};
use policy::execution::Execution;

use crate::{
    announce,
    command::{Base, Platform},
    diff,
    error::Failure,
    files::ConfigFiles,
};

/// The manifest in force, or an empty one before the first publication.
pub(crate) struct Current {
    /// The condition of the write that replaces the manifest.
    pub(crate) condition: Condition,
    pub(crate) manifest: Manifest,
}

/// Writes the new files and the manifest, and announces the manifest to VMs.
///
/// # Errors
///
/// When `base` is not the revision in force, when another operator published at
/// the same time, or when the platform does not accept the change.
pub(crate) async fn run(platform: &Platform, files: ConfigFiles, base: Base) -> miette::Result<()> {
    let client = Client::new(platform.address, "cli");
    publish(&client, files, base.revision).await
}

/// Like [`run`], with an existing client and without a check of the base
/// revision.
pub(crate) async fn run_with_client(client: &Client, files: ConfigFiles) -> miette::Result<()> {
    publish(client, files, None).await
}

async fn publish(client: &Client, files: ConfigFiles, base: Option<u64>) -> miette::Result<()> {
    let current = read_current(client).await?;
    let before = &current.manifest;
    let next = manifest::from_parts(before.revision + 1, &files.parts);
    if next.parts == before.parts {
        println!("revision {} is already in force", before.revision);
        return Ok(());
    }
    if let Some(base) = base.filter(|base| *base != before.revision) {
        let problem = format!(
            "revision {} is in force, not {base}; your files differ from it:\n{}",
            before.revision,
            diff::compare(client, before, &files.parts)
                .await?
                .join("\n")
        );
        let help = "merge that revision into your files, then publish with it as --base";
        return Err(Failure::new(problem, help).into());
    }
    for line in diff::compare(client, before, &files.parts).await? {
        println!("{line}");
    }
    write_parts(client, before, &next, &files).await?;
    let version = write_manifest(client, current.condition, &next, &files).await?;
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

/// Reads the manifest in force, or returns an empty one before the first
/// publication.
pub(crate) async fn read_current(client: &Client) -> miette::Result<Current> {
    let read = client
        .read::<Manifest>(manifest::KIND, manifest::CURRENT)
        .await;
    match read {
        Ok((version, manifest)) => Ok(Current {
            condition: Condition::At(version),
            manifest,
        }),
        Err(Error::Absent) => Ok(Current {
            condition: Condition::Absent,
            manifest: Manifest::default(),
        }),
        Err(e) => Err(platform_failure(&e).into()),
    }
}

/// Writes each file whose text is not part of the configuration in force.
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

/// Replaces the manifest and returns the version of its object.
async fn write_manifest(
    client: &Client,
    condition: Condition,
    next: &Manifest,
    files: &ConfigFiles,
) -> miette::Result<u64> {
    let written = client.write(manifest::KIND, manifest::CURRENT, condition, next);
    match written.await {
        Ok(version) => Ok(version),
        // The response may be lost, or a retry of this write may conflict with
        // its first attempt. Reading the manifest distinguishes these cases
        // from a write of another operator.
        Err(Error::Unknown(_) | Error::Conflict(_)) => resolve_outcome(client, next, files).await,
        Err(e) => Err(platform_failure(&e).into()),
    }
}

/// Reads the manifest to find out whether the write of `next` took effect.
///
/// # Errors
///
/// When it did not. If another operator's write did, the error contains the
/// difference to `files`.
async fn resolve_outcome(
    client: &Client,
    next: &Manifest,
    files: &ConfigFiles,
) -> miette::Result<u64> {
    let current = read_current(client).await?;
    if let Condition::At(version) = current.condition
        && current.manifest == *next
    {
        return Ok(version);
    }
    if current.manifest.revision < next.revision {
        let problem = "the new revision was not accepted; the configuration is unchanged";
        return Err(Failure::new(problem, "publish again").into());
    }
    let problem = format!(
        "another operator published revision {} at the same time; your files differ from it:\n{}",
        current.manifest.revision,
        diff::compare(client, &current.manifest, &files.parts)
            .await?
            .join("\n")
    );
    let help = "your files are not in force: review the difference, then publish again";
    Err(Failure::new(problem, help).into())
}

/// Converts an error of the platform to a failure with advice for the operator.
pub(crate) fn platform_failure(e: &Error) -> Failure {
    let help = match e {
        Error::Conflict(_) => "another operator changed the object: review it, then try again",
        Error::Unavailable(_) => {
            "not accepted: the platform is down or busy and nothing changed; try again later"
        }
        Error::Unknown(_) => {
            "the change may or may not have been accepted: repeat the command until it succeeds"
        }
        Error::Absent | Error::Rejected { .. } => "check the address passed with --platform",
    };
    Failure::new(e.to_string(), help)
}

/// Returns whether a write may have taken effect that failed with `e`.
pub(crate) fn execution_of(e: &Error) -> Execution {
    match e {
        Error::Unknown(_) => Execution::Unknown,
        Error::Conflict(_) | Error::Absent | Error::Rejected { .. } | Error::Unavailable(_) => {
            Execution::NotRun
        }
    }
}

/// Converts the error that ended the attempts at a change to a failure.
/// `execution` is what is known of all attempts, and `help` is the advice if one
/// of them may have taken effect.
pub(crate) fn change_failure(e: &Error, execution: Execution, help: &str) -> Failure {
    match execution {
        Execution::NotRun => platform_failure(e),
        Execution::Unknown => Failure::new(e.to_string(), help),
    }
}
