//! Putting a checked configuration in force.

use board::config::{Manifest, manifest};
use link::platform::{Client, Error, When};

use crate::{collect::Checked, command::Platform, fault::Failed};

/// Writes the parts that are new, then moves the pointer.
pub(crate) async fn run(platform: &Platform, set: Checked) -> miette::Result<()> {
    run_with(&Client::new(platform.platform, "cli"), set).await
}

/// As [`run`], with a client at hand.
pub(crate) async fn run_with(client: &Client, set: Checked) -> miette::Result<()> {
    let read = client
        .read::<Manifest>(manifest::KIND, manifest::CURRENT)
        .await;
    let (when, current) = match read {
        Ok((version, current)) => (When::At(version), current),
        Err(Error::Absent) => (When::Absent, Manifest::default()),
        Err(e) => return Err(failed(&e).into()),
    };
    let next = manifest::of_parts(current.revision + 1, &set.parts);
    if next.parts == current.parts {
        println!("revision {} is in force already", current.revision);
        return Ok(());
    }
    show(&current, &next);
    for (reference, part) in next.parts.iter().zip(&set.parts) {
        if current
            .parts
            .iter()
            .any(|known| known.digest == reference.digest)
        {
            continue;
        }
        let name = reference.digest.to_string();
        let written = client.create(manifest::PART_KIND, &name, part.text.clone());
        written.await.map_err(|e| failed(&e))?;
    }
    move_pointer(client, when, &next).await?;
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

async fn move_pointer(client: &Client, when: When, next: &Manifest) -> miette::Result<()> {
    let written = client.write(manifest::KIND, manifest::CURRENT, when, next);
    match written.await {
        Ok(_) => Ok(()),
        Err(Error::Unknown(_)) => settle(client, next).await,
        Err(e) => Err(failed(&e).into()),
    }
}

/// Learns by reading whether a write whose reply was lost took effect.
async fn settle(client: &Client, next: &Manifest) -> miette::Result<()> {
    let read = client
        .read::<Manifest>(manifest::KIND, manifest::CURRENT)
        .await;
    match read {
        Ok((_, current)) if current == *next => Ok(()),
        Ok(_) => Err(failed(&Error::Conflict(0)).into()),
        Err(e) => Err(failed(&e).into()),
    }
}

fn show(current: &Manifest, next: &Manifest) {
    for reference in &next.parts {
        let before = current
            .parts
            .iter()
            .find(|part| part.file == reference.file);
        match before {
            None => println!("+ {}", reference.file),
            Some(before) if before.digest != reference.digest => println!("~ {}", reference.file),
            Some(_) => {}
        }
    }
    for reference in &current.parts {
        if !next.parts.iter().any(|part| part.file == reference.file) {
            println!("- {}", reference.file);
        }
    }
}

/// Turns an error of the platform into what an operator can do about it.
pub(crate) fn failed(e: &Error) -> Failed {
    let cure = match e {
        Error::Conflict(_) => {
            "someone else published meanwhile: look at the change and publish again"
        }
        Error::Unavailable(_) => "the platform is down or busy: nothing changed, try again later",
        Error::Unknown(_) => {
            "the change may be in force: see 'tarragonseam status', then try again"
        }
        Error::Absent | Error::Refused { .. } => "check the address given with --platform",
    };
    Failed::new(e.to_string(), cure)
}
