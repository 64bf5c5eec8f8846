//! `diff`: the difference between files and the configuration in force.

use board::config::{Manifest, Part, manifest};
use link::platform::Client;

use crate::{
    command::Platform,
    files::ConfigFiles,
    publish::{self, platform_failure},
};

/// Prints what publishing `files` would change.
pub(crate) async fn run(platform: &Platform, files: ConfigFiles) -> miette::Result<()> {
    let client = Client::new(platform.address, "cli");
    let current = publish::read_current(&client).await?.manifest;
    println!("revision {} is in force", current.revision);
    let lines = compare(&client, &current, &files.parts).await?;
    if lines.is_empty() {
        println!("no difference");
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

/// Returns the files and lines that differ between `current` and `parts`.
///
/// `+` marks what only `parts` contain, `-` what only `current` contains, and
/// `~` a file in both whose text differs.
pub(crate) async fn compare(
    client: &Client,
    current: &Manifest,
    parts: &[Part],
) -> miette::Result<Vec<String>> {
    let mut lines = Vec::new();
    for part in parts {
        let old_reference = current
            .parts
            .iter()
            .find(|reference| reference.file == part.file);
        let digest = board::key::Digest::of(&part.text);
        match old_reference {
            Some(old_reference) if old_reference.digest == digest => continue,
            Some(_) => lines.push(format!("~ {}", part.file)),
            None => lines.push(format!("+ {}", part.file)),
        }
        let old_text = match old_reference {
            Some(reference) => fetch_text(client, reference).await?,
            None => String::new(),
        };
        lines.extend(compare_texts(&old_text, &part.text));
    }
    for reference in &current.parts {
        if !parts.iter().any(|part| part.file == reference.file) {
            lines.push(format!("- {}", reference.file));
        }
    }
    Ok(lines)
}

async fn fetch_text(client: &Client, reference: &manifest::Reference) -> miette::Result<String> {
    let name = reference.digest.to_string();
    let object = client.get(manifest::PART_KIND, &name).await;
    let object = object.map_err(|e| platform_failure(&e))?;
    Ok(String::from_utf8_lossy(&object.value).into_owned())
}

/// Returns the removed and added lines between the common prefix and the common
/// suffix of two texts.
fn compare_texts(old: &str, new: &str) -> Vec<String> {
    let old: Vec<_> = old.lines().collect();
    let new: Vec<_> = new.lines().collect();
    let start = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[start..], &new[start..]);
    let backwards = old.iter().rev().zip(new.iter().rev());
    let end = backwards.take_while(|(a, b)| a == b).count();
    let removed = old[..old.len() - end]
        .iter()
        .map(|line| format!("  - {line}"));
    let added = new[..new.len() - end]
        .iter()
        .map(|line| format!("  + {line}"));
    removed.chain(added).collect()
}
