//! The settings file, which is read again when it changes or on request.

use std::{
    path::{Path, PathBuf},
    time::SystemTime,
};

use platform::Settings;

/// A settings file and the settings that were last read from it.
pub struct File {
    path: PathBuf,
    /// The time of the last modification and the size when the file was read.
    stamp: Option<(SystemTime, u64)>,
    settings: Settings,
}

impl File {
    /// Reads the settings in `path`.
    ///
    /// # Errors
    ///
    /// An error that names the file, the position and the problem.
    pub fn open(path: &Path) -> Result<Self, link::settings::Error> {
        Ok(Self {
            path: path.to_path_buf(),
            stamp: stamp(path),
            settings: link::settings::load(path)?,
        })
    }

    /// Returns the settings that were read last.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether the file has changed since it was last read.
    pub fn has_changed(&self) -> bool {
        stamp(&self.path) != self.stamp
    }

    /// Reads the file again, and returns the settings if they have changed. If
    /// the file is not valid, the old settings remain in force.
    pub fn reload(&mut self) -> Option<&Settings> {
        self.stamp = stamp(&self.path);
        let settings: Settings = match link::settings::load(&self.path) {
            Ok(settings) => settings,
            Err(e) => {
                let problem = e.to_string();
                spdlog::error!("settings not reloaded", kv: { problem });
                return None;
            }
        };
        let old = &self.settings;
        if settings == *old {
            spdlog::info!("settings reloaded, nothing changed");
            return None;
        }
        let needs_restart = settings.listen != old.listen || settings.vm != old.vm;
        let seeds = settings.seeds.len();
        spdlog::info!("settings reloaded", kv: { seeds, needs_restart });
        self.settings = settings;
        Some(&self.settings)
    }
}

fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
