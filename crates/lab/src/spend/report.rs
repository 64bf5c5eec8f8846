//! Results files and tables of the cost simulation.

use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use super::{DAY, Figures, Provisioning, run};
use crate::{Error, report};

/// One run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The declared capacity.
    #[serde(rename = "way")]
    pub provisioning: Provisioning,
    /// The seed.
    pub seed: u64,
    /// The figures of the run.
    #[serde(flatten)]
    pub figures: Figures,
}

/// The figures of all variants and seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// How the figures were obtained.
    #[serde(rename = "kind")]
    pub method: String,
    /// All runs.
    pub rows: Vec<Row>,
}

impl Report {
    /// Runs every variant with every seed, one thread for each variant.
    pub fn new(seeds: &[u64]) -> Self {
        let rows = std::thread::scope(|scope| {
            let start = |provisioning: Provisioning| {
                scope.spawn(move || {
                    let row = |seed: &u64| Row {
                        provisioning,
                        seed: *seed,
                        figures: run(provisioning, *seed, DAY),
                    };
                    seeds.iter().map(row).collect::<Vec<_>>()
                })
            };
            let threads = Provisioning::ALL.map(start);
            let rows = threads.map(|thread| thread.join().expect("no run panics"));
            rows.into_iter().flatten().collect()
        });
        Self {
            experiment: "spend".into(),
            method: report::METHOD.into(),
            rows,
        }
    }

    /// Returns a table of the medians over the seeds, with the range of the
    /// unserved fraction.
    pub fn table(&self) -> String {
        let mut out = format!("{} ({})\n{HEADER}\n", self.experiment, self.method);
        for provisioning in Provisioning::ALL {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "{}", self.format_line(provisioning));
        }
        out
    }

    fn format_line(&self, provisioning: Provisioning) -> String {
        let values = |figure: fn(&Figures) -> f64| -> Vec<f64> {
            let rows = self
                .rows
                .iter()
                .filter(|row| row.provisioning == provisioning);
            rows.map(|row| figure(&row.figures)).collect()
        };
        let median_of = |figure| report::median(values(figure));
        let unserved = values(|f| 100.0 * f.unserved_fraction);
        let name = serde_json::to_value(provisioning).unwrap_or_default();
        format!(
            "{:<12} {:>11.1} {:>13.3} {:>10.2} ({:.2}..{:.2}) {:>7.1} {:>7.0}",
            name.as_str().unwrap_or_default(),
            median_of(|f| f.price_hours),
            median_of(Figures::price_per_served_hour),
            median_of(|f| 100.0 * f.unserved_fraction),
            unserved.iter().copied().fold(f64::INFINITY, f64::min),
            unserved.iter().copied().fold(0.0, f64::max),
            median_of(|f| 100.0 * f.cheap_fraction),
            median_of(|f| f.orders as f64),
        )
    }

    /// Writes the figures as JSON.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write(&self, path: &str) -> Result<(), Error> {
        report::write(path, self)
    }
}

const HEADER: &str =
    "declared     price-hours price of work unserved % (min..max)  cheap %  orders";
