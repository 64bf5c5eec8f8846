//! Tables and files of the figures.

use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use super::{DAY, Figures, Way, run};
use crate::{Error, report};

/// One run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Row {
    /// What was declared.
    pub way: Way,
    /// The seed.
    pub seed: u64,
    /// What it cost and gave.
    #[serde(flatten)]
    pub figures: Figures,
}

/// The figures of all ways and seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// What the figures are of.
    pub kind: String,
    /// Every run.
    pub rows: Vec<Row>,
}

impl Report {
    /// Runs every way with every seed, side by side.
    pub fn new(seeds: &[u64]) -> Self {
        let rows = std::thread::scope(|scope| {
            let start = |way: Way| {
                scope.spawn(move || {
                    let row = |seed: &u64| Row {
                        way,
                        seed: *seed,
                        figures: run(way, *seed, DAY),
                    };
                    seeds.iter().map(row).collect::<Vec<_>>()
                })
            };
            let threads = Way::ALL.map(start);
            let rows = threads.map(|thread| thread.join().expect("no run panics"));
            rows.into_iter().flatten().collect()
        });
        Self {
            experiment: "spend".into(),
            kind: report::KIND.into(),
            rows,
        }
    }

    /// Returns a table of the medians over the seeds, with the least and most
    /// of what was not served.
    pub fn table(&self) -> String {
        let mut out = format!("{} ({})\n{HEAD}\n", self.experiment, self.kind);
        for way in Way::ALL {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "{}", self.line(way));
        }
        out
    }

    fn line(&self, way: Way) -> String {
        let values = |figure: fn(&Figures) -> f64| -> Vec<f64> {
            let rows = self.rows.iter().filter(|row| row.way == way);
            rows.map(|row| figure(&row.figures)).collect()
        };
        let middle = |figure| report::median(values(figure));
        let unserved = values(|f| 100.0 * f.unserved);
        let name = serde_json::to_value(way).unwrap_or_default();
        format!(
            "{:<12} {:>11.1} {:>13.3} {:>10.2} ({:.2}..{:.2}) {:>7.1} {:>7.0}",
            name.as_str().unwrap_or_default(),
            middle(|f| f.price_hours),
            middle(Figures::price_of_work),
            middle(|f| 100.0 * f.unserved),
            unserved.iter().copied().fold(f64::INFINITY, f64::min),
            unserved.iter().copied().fold(0.0, f64::max),
            middle(|f| 100.0 * f.cheap),
            middle(|f| f.orders as f64),
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

const HEAD: &str = "declared     price-hours price of work unserved % (min..max)  cheap %  orders";
