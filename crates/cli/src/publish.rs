//! Publishes a checked configuration.
//!
//! The files are written first, each as an object named by its digest, which no
//! VM reads yet. Then one conditional write replaces the manifest, which refers
//! to them. So a configuration is never partially in force.

use std::time::{Duration, Instant};

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

/// How long the write of a manifest with an unknown outcome is repeated.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(10);
const SETTLE_PERIOD: Duration = Duration::from_millis(200);

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
    let version = write_manifest(client, &current, &next, &files).await?;
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
    find_current(client)
        .await
        .map_err(|e| platform_failure(&e).into())
}

async fn find_current(client: &Client) -> Result<Current, Error> {
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
        Err(e) => Err(e),
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

/// Replaces the manifest `before` and returns the version of its object.
///
/// While the outcome is unknown and `before` is still in force, the write is
/// repeated under the same condition: once the manifest has another version, no
/// earlier attempt can take effect any more.
///
/// # Errors
///
/// When the write did not take effect, or may not have. If another operator's
/// write did, the error contains the difference to `files`.
async fn write_manifest(
    client: &Client,
    before: &Current,
    next: &Manifest,
    files: &ConfigFiles,
) -> miette::Result<u64> {
    let start = Instant::now();
    let mut execution = Execution::NotRun;
    let failure = |e: &Error, execution| {
        let (next, base) = (next.revision, before.manifest.revision);
        let help = format!(
            "revision {next} may or may not be in force, and may still be accepted while \
             revision {base} is: repeat the command with --base={base} until it succeeds, \
             which is safe; `tarragonseam diff` shows the revision in force"
        );
        change_failure(e, execution, &help)
    };
    loop {
        let written = client.write(manifest::KIND, manifest::CURRENT, before.condition, next);
        let error = match written.await {
            Ok(version) => return Ok(version),
            Err(e) => e,
        };
        execution = execution.and(error.execution());
        if !matches!(error, Error::Conflict(_) | Error::Unknown(_)) {
            return Err(failure(&error, execution).into());
        }
        // An earlier attempt may have taken effect, and a repetition conflicts
        // with it. A failed read says nothing about either.
        let current = find_current(client)
            .await
            .map_err(|_| failure(&error, execution))?;
        if let Condition::At(version) = current.condition
            && current.manifest == *next
        {
            return Ok(version);
        }
        if current.condition != before.condition {
            return Err(superseded(client, &current.manifest, next, files, execution).await);
        }
        if start.elapsed() > SETTLE_TIME_MAX {
            return Err(failure(&error, execution).into());
        }
        monoio::time::sleep(SETTLE_PERIOD).await;
    }
}

/// Returns the error for a publication of `next` after which `current`, of
/// another operator, is in force. `execution` is whether `next` may have been in
/// force before.
async fn superseded(
    client: &Client,
    current: &Manifest,
    next: &Manifest,
    files: &ConfigFiles,
    execution: Execution,
) -> miette::Report {
    let may_have_been_in_force =
        execution == Execution::Unknown && current.revision > next.revision;
    let earlier = match may_have_been_in_force {
        true => format!("revision {} may have been yours; ", next.revision),
        false => String::new(),
    };
    let difference = match diff::compare(client, current, &files.parts).await {
        Ok(lines) => format!("your files differ from it:\n{}", lines.join("\n")),
        Err(_) => "the difference to your files cannot be read now".to_string(),
    };
    let problem = format!(
        "another operator published revision {} at the same time; {earlier}{difference}",
        current.revision,
    );
    let help = "your files are not in force: review the difference, then publish again";
    Failure::new(problem, help).into()
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

/// Converts the error that ended the attempts at a change to a failure.
/// `execution` is what is known of all attempts, and `help` is the advice if one
/// of them may have taken effect.
pub(crate) fn change_failure(e: &Error, execution: Execution, help: &str) -> Failure {
    match execution {
        Execution::NotRun => platform_failure(e),
        Execution::Unknown => Failure::new(e.to_string(), help),
    }
}
