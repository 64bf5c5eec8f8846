//! Charts of the latency that an entry daemon adds to a call.

use super::chart::{Chart, Line, Panel};
use crate::entry::{Phase, Report, Run, Stats};

/// Returns a chart for each number of VMs.
pub(super) fn charts(report: &Report) -> Vec<Chart> {
    report.runs.iter().map(chart).collect()
}

fn chart(run: &Run) -> Chart {
    // Closed loops are left out: they run at the highest rate, where latency is
    // mostly queueing.
    let open_loops: Vec<_> = run.phases.iter().filter(|p| is_open_loop(p)).collect();
    let panel = |phase: &&Phase| Panel {
        title: phase.name.clone(),
        x_label: "percentile of calls".to_string(),
        y_label: "ms to the first part of the body".to_string(),
        lines: vec![
            line("direct", &phase.direct),
            line("through the entry", &phase.entry),
        ],
    };
    let panels: Vec<_> = open_loops.iter().map(panel).collect();
    let mut rows: Vec<Vec<Panel>> = Vec::new();
    for panel in panels {
        match rows.last_mut() {
            Some(row) if row.len() < COLUMNS_MAX => row.push(panel),
            _ => rows.push(vec![panel]),
        }
    }
    Chart {
        name: format!("latency-{}", run.vms),
        title: format!(
            "Latency with {} VM(s): direct and through an entry daemon",
            run.vms
        ),
        rows,
    }
}

/// Panels in each row.
const COLUMNS_MAX: usize = 2;

fn is_open_loop(phase: &Phase) -> bool {
    phase.name.contains("open loop")
}

fn line(name: &str, stats: &Stats) -> Line {
    let ms = |us: f64| us / 1000.0;
    Line {
        name: name.to_string(),
        points: vec![
            (50.0, ms(stats.p50_us)),
            (99.0, ms(stats.p99_us)),
            (99.9, ms(stats.p999_us)),
        ],
    }
}
