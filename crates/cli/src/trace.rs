//! The trace of one id, from the logs of VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use miette::IntoDiagnostic;
use serde::Deserialize;
use serde_json::Value;

use crate::fault::Failed;

/// One line of a log.
#[derive(Clone, Debug, Deserialize, PartialEq)]
struct Line {
    /// Milliseconds since 1970, on the clock of its VM.
    timestamp: u64,
    #[serde(default)]
    level: String,
    /// What happened.
    payload: String,
    /// What decided it.
    #[serde(default)]
    kv: BTreeMap<String, Value>,
    /// The VM.
    #[serde(default)]
    logger: String,
}

/// How long before the first line of a trace what befell its endpoints is told.
const BEFORE_MS: u64 = 2000;
/// How long after its last line.
const AFTER_MS: u64 = 500;

/// Prints the trace of `id` from logs in `files`, or from standard input if
/// there are none.
///
/// # Errors
///
/// When a file cannot be read, or no line tells of the id.
pub(crate) fn run(id: &str, files: &[PathBuf]) -> miette::Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let opened = File::open(file).map_err(|e| unreadable(file, &e))?;
        lines.extend(read(BufReader::new(opened)).into_diagnostic()?);
    }
    if files.is_empty() {
        lines = read(io::stdin().lock()).into_diagnostic()?;
    }
    let told = tell(id, &lines);
    if told.is_empty() {
        return Err(Failed::new(
            format!("no line tells of {id}"),
            "give the logs of all VMs; ids are those of requests, items, jobs and endpoints",
        )
        .into());
    }
    for line in told {
        println!("{line}");
    }
    Ok(())
}

fn unreadable(file: &Path, problem: &io::Error) -> Failed {
    Failed::new(
        format!("cannot read {}: {problem}", file.display()),
        "give files with log lines of VMs",
    )
}

/// Reads log lines. What stands before the JSON of a line, and lines without
/// any, are passed over.
fn read(text: impl BufRead) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for line in text.lines() {
        let line = line?;
        let json = line.find('{').map(|start| &line[start..]);
        lines.extend(json.and_then(|json| serde_json::from_str(json).ok()));
    }
    Ok(lines)
}

/// Returns the lines about `id`, about the job that it belongs to, and about
/// the endpoints that it met, in the order of their times.
fn tell(id: &str, lines: &[Line]) -> Vec<String> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.names(id)).collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|line| line.timestamp).min(),
        own.iter().map(|line| line.timestamp).max(),
    ) else {
        return Vec::new();
    };
    let named = |key: &str| {
        let values = own.iter().filter_map(|line| line.kv.get(key)?.as_str());
        values.map(str::to_string).collect::<BTreeSet<String>>()
    };
    let (jobs, endpoints) = (named("job"), named("endpoint"));
    let is_near =
        |line: &Line| line.timestamp + BEFORE_MS >= first && line.timestamp <= last + AFTER_MS;
    let is_of_job = |line: &Line| !line.kv.contains_key("item") && line.has("job", &jobs);
    let is_of_endpoint = |line: &Line| {
        let is_others = line.kv.contains_key("request") || line.kv.contains_key("item");
        !is_others && line.has("endpoint", &endpoints)
    };
    let is_told =
        |line: &&Line| line.names(id) || is_of_job(line) || (is_near(line) && is_of_endpoint(line));
    let mut told: Vec<&Line> = lines.iter().filter(is_told).collect();
    told.sort_by_key(|line| line.timestamp);
    told.into_iter().map(|line| line.show(first)).collect()
}

impl Line {
    fn names(&self, id: &str) -> bool {
        self.kv.values().any(|value| value.as_str() == Some(id))
    }

    fn has(&self, key: &str, values: &BTreeSet<String>) -> bool {
        let value = self.kv.get(key).and_then(Value::as_str);
        value.is_some_and(|value| values.contains(value))
    }

    fn show(&self, first: u64) -> String {
        let seconds = (self.timestamp as f64 - first as f64) / 1000.0;
        let facts = self.kv.iter().map(|(key, value)| match value.as_str() {
            Some(text) => format!("{key}={text}"),
            None => format!("{key}={value}"),
        });
        let facts: Vec<String> = facts.collect();
        let (level, vm, what) = (&self.level, &self.logger, &self.payload);
        format!(
            "{seconds:+9.3} s  {vm:<20} {level:<5} {what}: {}",
            facts.join(" ")
        )
    }
}
