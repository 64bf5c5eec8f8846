//! What the platform keeps for the system, as one file.

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
    collect::Checked,
    command::{Base, Platform},
    fault::Failed,
    publish,
};

/// Reads what the platform keeps and writes it to `path`.
pub(crate) async fn save(platform: &Platform, path: &Path) -> miette::Result<()> {
    let client = Client::new(platform.platform, "cli");
    let body = collect::run(&client).await?;
    file::write(path, &body)?;
    let count: usize = body.groups.iter().map(|group| group.objects.len()).sum();
    println!("{count} objects kept in {}", path.display());
    Ok(())
}

/// Prints what the file at `path` holds.
pub(crate) fn show(path: &Path) -> miette::Result<()> {
    print!("{}", table::of(&file::read(path)?));
    Ok(())
}

/// Prints in what the platform differs from the file at `path`.
pub(crate) async fn diff(platform: &Platform, path: &Path) -> miette::Result<()> {
    let kept = file::read(path)?;
    let client = Client::new(platform.platform, "cli");
    let now = collect::run(&client).await?;
    let lines = changes::between(&kept, &now);
    if lines.is_empty() {
        println!("no difference");
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

/// Publishes the configuration of the file at `path` as a new revision.
pub(crate) async fn restore(platform: &Platform, path: &Path, base: Base) -> miette::Result<()> {
    let parts = parts(&file::read(path)?, path)?;
    let config = config::merge(&parts).map_err(|faults| {
        let problems: Vec<_> = faults.into_iter().map(|fault| fault.problem).collect();
        let cure = "this release does not take that configuration: publish a corrected one";
        Failed::new(problems.join("; "), cure)
    })?;
    publish::run(platform, Checked { parts, config }, base).await
}

/// Returns the files of the configuration that was in force.
fn parts(body: &Body, path: &Path) -> miette::Result<Vec<Part>> {
    let lacks = |what: &str| {
        let problem = format!("{} holds no {what}", path.display());
        Failed::new(
            problem,
            "take a snapshot of a deployment with a configuration",
        )
    };
    let manifest = body.manifest().ok_or_else(|| lacks("configuration"))?;
    let text = |reference: &manifest::Reference| {
        let object = body.find(manifest::PART_KIND, &reference.digest.to_string());
        let object = object.ok_or_else(|| lacks(&format!("text of {}", reference.file)))?;
        Ok(Part {
            file: reference.file.clone(),
            text: object.value.clone(),
        })
    };
    manifest.parts.iter().map(text).collect()
}
