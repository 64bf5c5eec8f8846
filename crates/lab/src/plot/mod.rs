//! Plots results as SVG charts.

mod chart;
mod control;
mod decisions;
mod entry;
mod weights;

use std::{
    fs,
    path::{Path, PathBuf},
};

use crate::{
    Error, Measurement,
    measurement::Kind,
    report::{Report, file_error},
};

use self::chart::Chart;

/// The experiments for which charts are defined, as listed in errors.
const CHARTED_EXPERIMENTS: &str =
    "callers, ways, entry, swarm decisions, swarm processes, control calls, rollouts weights";

/// Draws the charts of `measurement` into the folder `out`, which is created when
/// it does not exist, and returns the paths of the files.
///
/// # Errors
///
/// [`Error::NoChart`] for an experiment without charts, and any error of reading
/// the figures or writing the files.
pub fn draw(measurement: &Measurement, out: &Path) -> Result<Vec<PathBuf>, Error> {
    let charts = charts(measurement)?;
    let folder = out.display().to_string();
    fs::create_dir_all(out).map_err(|source| file_error(&folder, source))?;
    let stem = Path::new(&measurement.path).file_stem();
    let stem = stem.and_then(|stem| stem.to_str()).unwrap_or("results");
    let write = |chart: Chart| {
        let path = out.join(format!("{stem}-{}.svg", chart.name));
        chart.write(&path)?;
        Ok(path)
    };
    charts.into_iter().map(write).collect()
}

fn charts(measurement: &Measurement) -> Result<Vec<Chart>, Error> {
    match &measurement.kind {
        Kind::Decisions(_) => Ok(decisions::charts(&measurement.deserialize::<Report>()?)),
        Kind::Entry => Ok(entry::charts(&measurement.deserialize()?)),
        Kind::SwarmDecisions | Kind::SwarmProcesses => {
            Ok(vec![control::swarm(&measurement.deserialize()?)])
        }
        Kind::ControlCalls => Ok(vec![control::calls(&measurement.deserialize()?)]),
        Kind::Weights => Ok(vec![weights::chart(&measurement.deserialize()?)]),
        Kind::Spend | Kind::ControlFaults | Kind::Takeover | Kind::LotCalls | Kind::Stragglers => {
            Err(Error::NoChart {
                path: measurement.path.clone(),
                kind: measurement.kind.to_string(),
                known: CHARTED_EXPERIMENTS.to_string(),
            })
        }
    }
}
