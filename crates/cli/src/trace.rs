//! `explain ID`: the history of one id, collected from the logs of VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use miette::IntoDiagnostic;
use serde::Deserialize;
use serde_json::Value;

use crate::error::Failure;

/// One log line, as the processes write it in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq)]
struct Line {
    /// Milliseconds since the Unix epoch, by the VM's clock.
    timestamp: u64,
    #[serde(default)]
    level: String,
    /// The message.
    payload: String,
    /// The values that belong to the message, such as ids.
    #[serde(default)]
    kv: BTreeMap<String, Value>,
    /// The VM whose process wrote the line.
    #[serde(default)]
    logger: String,
}

/// A trace includes lines about its endpoints from this long before its first
/// line, since an earlier change of an endpoint can explain a later failure.
const ENDPOINT_LINES_BEFORE_MS: u64 = 2000;
/// A trace includes lines about its endpoints until this long after its last
/// line.
const ENDPOINT_LINES_AFTER_MS: u64 = 500;

/// Prints the trace of `id` from the logs in `files`, or from standard input if
/// `files` is empty.
///
/// # Errors
///
/// When a file cannot be read, or no line contains the id.
pub(crate) fn run(id: &str, files: &[PathBuf]) -> miette::Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let opened = File::open(file).map_err(|e| read_error(file, &e))?;
        lines.extend(parse(BufReader::new(opened)).into_diagnostic()?);
    }
    if files.is_empty() {
        lines = parse(io::stdin().lock()).into_diagnostic()?;
    }
    let trace = build_trace(id, &lines);
    if trace.is_empty() {
        return Err(Failure::new(
            format!("no log line mentions {id}"),
            "pass the logs of all VMs and the id of a request, an item, a job or an endpoint",
        )
        .into());
    }
    for line in trace {
        println!("{line}");
    }
    Ok(())
}

fn read_error(file: &Path, problem: &io::Error) -> Failure {
    Failure::new(
        format!("cannot read {}: {problem}", file.display()),
        "pass readable log files of VMs",
    )
}

/// Parses log lines. Text before the JSON object of a line is ignored, as are
/// lines that contain no valid object.
fn parse(text: impl BufRead) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for line in text.lines() {
        let line = line?;
        let json = line.find('{').map(|start| &line[start..]);
        lines.extend(json.and_then(|json| serde_json::from_str(json).ok()));
    }
    Ok(lines)
}

/// Returns the formatted lines about `id`, about its job, and about the
/// endpoints that it was sent to, ordered by time.
fn build_trace(id: &str, lines: &[Line]) -> Vec<String> {
    let matching: Vec<&Line> = lines.iter().filter(|line| line.mentions(id)).collect();
    let (Some(first), Some(last)) = (
        matching.iter().map(|line| line.timestamp).min(),
        matching.iter().map(|line| line.timestamp).max(),
    ) else {
        return Vec::new();
    };
    let values_of = |key: &str| {
        let values = matching
            .iter()
            .filter_map(|line| line.kv.get(key)?.as_str());
        values.map(str::to_string).collect::<BTreeSet<String>>()
    };
    let (jobs, endpoints) = (values_of("job"), values_of("endpoint"));
    let is_in_window = |line: &Line| {
        line.timestamp + ENDPOINT_LINES_BEFORE_MS >= first
            && line.timestamp <= last + ENDPOINT_LINES_AFTER_MS
    };
    let is_of_job = |line: &Line| !line.kv.contains_key("item") && line.has_value_in("job", &jobs);
    let is_of_endpoint = |line: &Line| {
        let is_of_request_or_item = line.kv.contains_key("request") || line.kv.contains_key("item");
        !is_of_request_or_item && line.has_value_in("endpoint", &endpoints)
    };
    let is_included = |line: &&Line| {
        line.mentions(id) || is_of_job(line) || (is_in_window(line) && is_of_endpoint(line))
    };
    let mut selected: Vec<&Line> = lines.iter().filter(is_included).collect();
    selected.sort_by_key(|line| line.timestamp);
    selected
        .into_iter()
        .map(|line| line.format(first))
        .collect()
}

impl Line {
    fn mentions(&self, id: &str) -> bool {
        self.kv.values().any(|value| value.as_str() == Some(id))
    }

    fn has_value_in(&self, key: &str, values: &BTreeSet<String>) -> bool {
        let value = self.kv.get(key).and_then(Value::as_str);
        value.is_some_and(|value| values.contains(value))
    }

    fn format(&self, start: u64) -> String {
        let seconds = (self.timestamp as f64 - start as f64) / 1000.0;
        let fields = self.kv.iter().map(|(key, value)| match value.as_str() {
            Some(text) => format!("{key}={text}"),
            None => format!("{key}={value}"),
        });
        let fields: Vec<String> = fields.collect();
        let (level, vm, event) = (&self.level, &self.logger, &self.payload);
        format!(
            "{seconds:+9.3} s  {vm:<20} {level:<5} {event}: {}",
            fields.join(" ")
        )
    }
}
