//! Collects the configuration files that operators keep next to the code of
//! their services.

use std::{fs, path::Path};

use board::config::{self, Config, Part};

use crate::error::{Failure, FileFault, InvalidConfig};

/// The name of every configuration file.
const FILE_NAME: &str = "tarragonseam.toml";

/// The configuration files below one folder, and the configuration that they
/// merge to.
pub(crate) struct ConfigFiles {
    pub(crate) parts: Vec<Part>,
    pub(crate) config: Config,
}

/// Reads the configuration files below `tree`, merges them and checks the
/// result.
///
/// # Errors
///
/// When a file cannot be read or there is none, or with every fault found, each
/// with its file and position.
pub(crate) fn load(tree: &Path) -> miette::Result<ConfigFiles> {
    let mut parts = Vec::new();
    collect_parts(tree, tree, &mut parts)?;
    parts.sort_by(|a, b| a.file.cmp(&b.file));
    if parts.is_empty() {
        let problem = format!("no {FILE_NAME} below {}", tree.display());
        return Err(Failure::new(problem, "pass the folder that contains your services").into());
    }
    match config::merge(&parts) {
        Ok(config) => Ok(ConfigFiles { parts, config }),
        Err(faults) => Err(InvalidConfig {
            faults: faults
                .into_iter()
                .map(|fault| attach_text(fault, &parts))
                .collect(),
        }
        .into()),
    }
}

fn attach_text(fault: config::Fault, parts: &[Part]) -> FileFault {
    let part = parts.iter().find(|part| part.file == fault.file);
    let text = part.map(|part| part.text.clone()).unwrap_or_default();
    FileFault::new(fault, text)
}

fn collect_parts(tree: &Path, folder: &Path, parts: &mut Vec<Part>) -> miette::Result<()> {
    let read_error = |path: &Path, e: std::io::Error| {
        let problem = format!("cannot read {}: {e}", path.display());
        Failure::new(problem, "check the path and its permissions")
    };
    let entries = fs::read_dir(folder).map_err(|e| read_error(folder, e))?;
    for entry in entries {
        let path = entry.map_err(|e| read_error(folder, e))?.path();
        if path.is_dir() && !path.is_symlink() {
            collect_parts(tree, &path, parts)?;
        } else if path.file_name().is_some_and(|name| name == FILE_NAME) {
            let text = fs::read_to_string(&path).map_err(|e| read_error(&path, e))?;
            let name = path.strip_prefix(tree).unwrap_or(&path);
            let file = name.display().to_string();
            parts.push(Part { file, text });
        }
    }
    Ok(())
}
