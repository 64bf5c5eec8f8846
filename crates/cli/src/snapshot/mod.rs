//! `snapshot`: saves the platform's objects of a deployment to one file, shows
//! and compares them, and restores the configuration.

mod body;
mod changes;
mod collect;
mod file;
mod table;

use std::path::Path;

use board::config::{self, Part, manifest};
use link::platform::Client;

pub(crate) use self::body::{Body, Group, Object};
use crate::{
    command::{Base, Platform},
    error::Failure,
    files::ConfigFiles,
    publish,
};

/// Reads the platform's objects and writes them to `path`.
pub(crate) async fn save(platform: &Platform, path: &Path) -> miette::Result<()> {
    let client = Client::new(platform.address, "cli");
    let body = collect::run(&client).await?;
    file::write(path, &body)?;
    let count: usize = body.groups.iter().map(|group| group.objects.len()).sum();
    println!("{count} objects saved to {}", path.display());
    Ok(())
}

/// Prints the content of the snapshot at `path`.
pub(crate) fn show(path: &Path) -> miette::Result<()> {
    print!("{}", table::format(&file::read(path)?));
    Ok(())
}

/// Prints the difference between the snapshot at `path` and the platform.
pub(crate) async fn diff(platform: &Platform, path: &Path) -> miette::Result<()> {
    let saved = file::read(path)?;
    let client = Client::new(platform.address, "cli");
    let current = collect::run(&client).await?;
    let lines = changes::find(&saved, &current);
    if lines.is_empty() {
        println!("no difference");
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

/// Publishes the configuration of the snapshot at `path` as a new revision.
pub(crate) async fn restore(platform: &Platform, path: &Path, base: Base) -> miette::Result<()> {
    let parts = config_parts(&file::read(path)?, path)?;
    let config = config::merge(&parts).map_err(|faults| {
        let problems: Vec<_> = faults.into_iter().map(|fault| fault.problem).collect();
        let help = "this release does not accept that configuration: publish a corrected one";
        Failure::new(problems.join("; "), help)
    })?;
    publish::run(platform, ConfigFiles { parts, config }, base).await
}

/// Returns the configuration files of `body`, which was read from `path`.
fn config_parts(body: &Body, path: &Path) -> miette::Result<Vec<Part>> {
    let missing = |item: &str| {
        let problem = format!("{} contains no {item}", path.display());
        Failure::new(
            problem,
            "take a snapshot of a deployment with a configuration",
        )
    };
    let manifest = body.manifest().ok_or_else(|| missing("configuration"))?;
    let text = |reference: &manifest::Reference| {
        let object = body.find(manifest::PART_KIND, &reference.digest.to_string());
        let object = object.ok_or_else(|| missing(&format!("text of {}", reference.file)))?;
        Ok(Part {
            file: reference.file.clone(),
            text: object.value.clone(),
        })
    };
    manifest.parts.iter().map(text).collect()
}
