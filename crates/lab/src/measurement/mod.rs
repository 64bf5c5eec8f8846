//! Results files of all experiments: reading and comparing.

mod figure;
mod kind;

use std::{collections::BTreeMap, fmt::Write as _, fs};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    Error,
    report::{self, file_error, json_error},
};

pub use kind::Kind;

/// The results of one experiment, as read from a file.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// The file.
    pub path: String,
    /// The experiment.
    pub kind: Kind,
    value: Value,
}

impl Measurement {
    /// Reads a results file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not JSON, or does not name its
    /// experiment.
    pub fn read(path: &str) -> Result<Self, Error> {
        let text = fs::read(path).map_err(|source| file_error(path, source))?;
        let value: Value =
            serde_json::from_slice(&text).map_err(|source| json_error(path, source))?;
        let kind = Kind::detect(&value).ok_or_else(|| Error::NoExperiment {
            path: path.to_string(),
        })?;
        Ok(Self {
            path: path.to_string(),
            kind,
            value,
        })
    }

    /// Deserializes the results into the type of their experiment.
    ///
    /// # Errors
    ///
    /// [`Error::Json`] when the results do not have this type.
    pub(crate) fn deserialize<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_value(self.value.clone()).map_err(|source| json_error(&self.path, source))
    }

    /// Returns a member that is a string, or `-` when there is none.
    fn text_member(&self, name: &str) -> &str {
        self.value[name].as_str().unwrap_or("-")
    }
}

/// Returns a table that compares the figures of two files of one experiment.
///
/// # Errors
///
/// [`Error::DifferentExperiments`] when they are of different experiments.
pub fn compare(a: &Measurement, b: &Measurement) -> Result<String, Error> {
    if a.kind != b.kind {
        return Err(Error::DifferentExperiments {
            a: a.path.clone(),
            a_kind: a.kind.to_string(),
            b: b.path.clone(),
            b_kind: b.kind.to_string(),
        });
    }
    match a.kind {
        Kind::Decisions(_) => Ok(report::compare(&a.deserialize()?, &b.deserialize()?)),
        _ => Ok(table(a, b)),
    }
}

/// Returns a table of all figures of two files.
///
/// Writing to a string cannot fail, so results of `writeln` are dropped.
fn table(a: &Measurement, b: &Measurement) -> String {
    let mut out = String::new();
    for (name, file) in [("before", a), ("after", b)] {
        let _ = writeln!(
            out,
            "{name:<6} {}: {}",
            file.path,
            file.text_member("command")
        );
    }
    let before = figure::list(&a.value);
    let after: BTreeMap<_, _> = figure::list(&b.value).into_iter().collect();
    let width = before.iter().map(|(name, _)| name.chars().count());
    let width = width.max().unwrap_or_default();
    let _ = writeln!(
        out,
        "{:<width$} {:>14} {:>14} {:>9}",
        "figure", "before", "after", "change"
    );
    for (name, old) in &before {
        let new = after.get(name);
        let change = new.map_or_else(|| "-".to_string(), |new| format_change(*old, *new));
        let _ = writeln!(
            out,
            "{name:<width$} {:>14} {:>14} {change:>9}",
            format_number(Some(*old)),
            format_number(new.copied())
        );
    }
    let known: BTreeMap<_, _> = before.into_iter().collect();
    for (name, new) in after.iter().filter(|(name, _)| !known.contains_key(*name)) {
        let new = format_number(Some(*new));
        let _ = writeln!(out, "{name:<width$} {:>14} {new:>14} {:>9}", "-", "-");
    }
    out
}

fn format_number(value: Option<f64>) -> String {
    match value {
        None => "-".to_string(),
        Some(value) if value.fract() == 0.0 => format!("{value:.0}"),
        Some(value) if value.abs() < 1.0 => format!("{value:.5}"),
        Some(value) => format!("{value:.2}"),
    }
}

/// Returns the change in percent of `old`, or `-` when `old` is zero.
fn format_change(old: f64, new: f64) -> String {
    if old == new {
        "0.0%".to_string()
    } else if old == 0.0 {
        "-".to_string()
    } else {
        format!("{:+.1}%", 100.0 * (new - old) / old.abs())
    }
}
