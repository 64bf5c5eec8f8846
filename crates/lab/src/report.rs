//! Results files and tables of the simulated experiments.

use std::{collections::BTreeMap, fmt::Write as _, fs};

use serde::{Deserialize, Serialize};

use crate::{Cell, Error, Summary};

/// The results of one experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// How the figures were obtained.
    #[serde(rename = "kind")]
    pub method: String,
    /// All runs.
    pub cells: Vec<Cell>,
}

/// How the figures of simulated experiments are obtained.
pub const METHOD: &str = "state machines in one process";

impl Report {
    /// Creates the report of the runs `cells`.
    pub fn new(experiment: &str, cells: Vec<Cell>) -> Self {
        Self {
            experiment: experiment.to_string(),
            method: METHOD.to_string(),
            cells,
        }
    }

    /// Reads a results file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or does not hold a report.
    pub fn read(path: &str) -> Result<Self, Error> {
        let text = fs::read(path).map_err(|source| file_error(path, source))?;
        serde_json::from_slice(&text).map_err(|source| json_error(path, source))
    }

    /// Writes a results file with one run per line.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write(&self, path: &str) -> Result<(), Error> {
        let cells: Result<Vec<_>, _> = self.cells.iter().map(serde_json::to_string).collect();
        let cells = cells
            .map_err(|source| json_error(path, source))?
            .join(",\n");
        let text = format!(
            "{{\"experiment\":\"{}\",\"kind\":\"{}\",\"cells\":[\n{cells}\n]}}\n",
            self.experiment, self.method
        );
        fs::write(path, text).map_err(|source| file_error(path, source))
    }

    /// Returns a table with a line for each service, setup and strategy: medians
    /// over the seeds, and the range over the seeds of the worst account's share.
    pub fn table(&self) -> String {
        let mut out = format!("{} ({})\n{HEADER}\n", self.experiment, self.method);
        for (name, summaries) in self.groups() {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "{name} {}", format_figures(&summaries));
        }
        out
    }

    /// Returns the summaries of all seeds by row label, in the order of the
    /// table.
    fn groups(&self) -> Vec<(String, Vec<Summary>)> {
        let mut order = Vec::new();
        let mut groups: BTreeMap<String, Vec<Summary>> = BTreeMap::new();
        let names = self.cells.iter().flat_map(|cell| cell.services.keys());
        let mut services: Vec<_> = names.cloned().collect();
        services.sort();
        services.dedup();
        for service in &services {
            for cell in &self.cells {
                let Some(summary) = cell.services.get(service) else {
                    continue;
                };
                let name = row_label(cell, service);
                if !groups.contains_key(&name) {
                    order.push(name.clone());
                }
                groups.entry(name).or_default().push(*summary);
            }
        }
        let group = |name: String| (name.clone(), groups.remove(&name).unwrap_or_default());
        order.into_iter().map(group).collect()
    }
}

/// Returns a table that alternates the rows of two reports, for the rows that
/// both have.
pub fn compare(a: &Report, b: &Report) -> String {
    let others: BTreeMap<_, _> = b.groups().into_iter().collect();
    let mut out = format!(
        "first line of each pair: {}; second line: {}\n{HEADER}\n",
        a.experiment, b.experiment
    );
    for (name, summaries) in a.groups() {
        let Some(other) = others.get(&name) else {
            continue;
        };
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{name} {}", format_figures(&summaries));
        let _ = writeln!(out, "{:<60} {}", "", format_figures(other));
    }
    out
}

const HEADER: &str = "service    plan       vms mix    fault load strategy           \
     late  lateQ lateW refus refusQ  fair (min..max)    waste    p50    p99   p99.9";

fn row_label(cell: &Cell, service: &str) -> String {
    let mix = if cell.has_greedy_account {
        "greedy"
    } else {
        "even"
    };
    let fault = if cell.has_loss { "loss" } else { "none" };
    let strategy = serde_json::to_value(cell.strategy).unwrap_or_default();
    let strategy = strategy.as_str().unwrap_or_default();
    format!(
        "{service:<10} {:<10} {:>3} {mix:<6} {fault:<5} {:>4.1} {strategy:<17}",
        cell.plan, cell.vms, cell.load
    )
}

fn format_figures(summaries: &[Summary]) -> String {
    let median_of = |figure: fn(&Summary) -> f64| median(summaries.iter().map(figure).collect());
    let percent = |figure| 100.0 * median_of(figure);
    let fairness = summaries.iter().map(|s| s.fairness_worst);
    format!(
        "{:>5.2} {:>5.2} {:>5.2} {:>5.1} {:>5.2} {:>6.3} ({:.3}..{:.3}) {:>6.2} {:>7.1} {:>7.1} {:>7.1}",
        percent(|s| s.late),
        percent(|s| s.late_within_quota),
        percent(|s| s.late_worst),
        percent(|s| s.rejected),
        percent(|s| s.rejected_within_quota),
        median_of(|s| s.fairness_worst),
        fairness.clone().fold(f64::INFINITY, f64::min),
        fairness.fold(0.0, f64::max),
        percent(|s| s.wasted),
        median_of(|s| s.p50_ms),
        median_of(|s| s.p99_ms),
        median_of(|s| s.p999_ms),
    )
}

/// Returns the median of `values`, the upper one of an even number, or 0 when
/// there are none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Writes `results` as indented JSON.
///
/// # Errors
///
/// When the file cannot be written.
pub(crate) fn write(path: &str, results: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(results).map_err(|source| json_error(path, source))?;
    fs::write(path, text + "\n").map_err(|source| file_error(path, source))
}

pub(crate) fn json_error(path: &str, source: serde_json::Error) -> Error {
    Error::Json {
        path: path.to_string(),
        source,
    }
}

pub(crate) fn file_error(path: &str, source: std::io::Error) -> Error {
    Error::File {
        path: path.to_string(),
        source,
    }
}
