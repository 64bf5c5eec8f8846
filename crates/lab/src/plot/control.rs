//! Charts of the cost of control traffic by the number of VMs.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::chart::{Chart, Line, Panel};

/// The results of gossip between many VMs.
#[derive(Debug, Deserialize)]
pub(super) struct Swarm {
    runs: Vec<GossipRun>,
}

#[derive(Debug, Deserialize)]
struct GossipRun {
    mode: String,
    vms: u32,
    quiet_bytes_per_s: f64,
    quiet_core: f64,
}

/// The results of counting calls to the platform.
#[derive(Debug, Deserialize)]
pub(super) struct Calls {
    runs: Vec<CallRun>,
}

#[derive(Debug, Deserialize)]
struct CallRun {
    vms: u32,
    calls_per_minute: BTreeMap<String, f64>,
    steward_cpu_percent: f64,
}

const VMS_LABEL: &str = "VMs";

/// Returns the chart of gossip's bytes and processor time by the number of VMs.
pub(super) fn swarm(swarm: &Swarm) -> Chart {
    let mode = swarm.runs.first().map_or("", |run| run.mode.as_str());
    let bytes = |run: &GossipRun| run.quiet_bytes_per_s / 1000.0;
    let core = |run: &GossipRun| 100.0 * run.quiet_core;
    Chart {
        name: "control".to_string(),
        title: format!("Control traffic without changes: {mode}"),
        rows: vec![vec![
            panel("bytes of one VM", "kB/s", &swarm.runs, bytes),
            panel("processor time of one VM", "% of a core", &swarm.runs, core),
        ]],
    }
}

fn panel(
    title: &str,
    y_label: &str,
    runs: &[GossipRun],
    figure: impl Fn(&GossipRun) -> f64,
) -> Panel {
    let points = runs.iter().map(|run| (f64::from(run.vms), figure(run)));
    Panel {
        title: title.to_string(),
        x_label: VMS_LABEL.to_string(),
        y_label: y_label.to_string(),
        lines: vec![Line {
            name: "measured".to_string(),
            points: points.collect(),
        }],
    }
}

/// Returns the chart of calls to the platform by the number of VMs.
pub(super) fn calls(calls: &Calls) -> Chart {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for run in &calls.runs {
        for (call, count) in &run.calls_per_minute {
            let points = lines.entry(call).or_default();
            points.push((f64::from(run.vms), *count));
        }
    }
    let line = |(name, points): (&str, Vec<_>)| Line {
        name: name.to_string(),
        points,
    };
    let runs = calls.runs.iter();
    let cpu = runs.map(|run| (f64::from(run.vms), run.steward_cpu_percent));
    Chart {
        name: "calls".to_string(),
        title: "Calls of the daemons to the platform".to_string(),
        rows: vec![vec![
            Panel {
                title: "calls of all VMs".to_string(),
                x_label: VMS_LABEL.to_string(),
                y_label: "calls a minute".to_string(),
                lines: lines.into_iter().map(line).collect(),
            },
            Panel {
                title: "processor time of one steward".to_string(),
                x_label: VMS_LABEL.to_string(),
                y_label: "% of a core".to_string(),
                lines: vec![line(("measured", cpu.collect()))],
            },
        ]],
    }
}
