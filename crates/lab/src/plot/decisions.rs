//! Charts of goodput and late answers by load, with a line for each strategy.

use std::collections::BTreeMap;

use super::chart::{Chart, Line, Panel};
use crate::{
    Cell, Summary,
    report::{Report, median},
};

/// The parameters that all cells of a chart share: the deployment, the number of
/// VMs, whether there is a greedy account, and whether endpoints are lost.
type Parameters<'a> = (&'a str, usize, bool, bool);

/// Returns a chart for each set of parameters, with a row for each service.
pub(super) fn charts(report: &Report) -> Vec<Chart> {
    let mut groups: BTreeMap<Parameters<'_>, Vec<&Cell>> = BTreeMap::new();
    for cell in &report.cells {
        let key = (
            cell.plan.as_str(),
            cell.vms,
            cell.has_greedy_account,
            cell.has_loss,
        );
        groups.entry(key).or_default().push(cell);
    }
    groups
        .into_iter()
        .map(|(key, cells)| chart(report, key, &cells))
        .collect()
}

fn chart(report: &Report, key: Parameters<'_>, cells: &[&Cell]) -> Chart {
    let (plan, vms, greedy, loss) = key;
    let mix = if greedy { "greedy" } else { "even" };
    let fault = if loss { "loss" } else { "none" };
    let mut services: Vec<_> = cells.iter().flat_map(|cell| cell.services.keys()).collect();
    services.sort();
    services.dedup();
    let row = |service: &&String| {
        vec![
            panel(cells, service, "goodput", goodput),
            panel(cells, service, "late fraction", |summary| {
                100.0 * summary.late
            }),
        ]
    };
    Chart {
        name: format!("{plan}-{vms}-{mix}-{fault}"),
        title: format!(
            "{}: {plan}, {vms} VMs, {mix} accounts, fault: {fault} ({})",
            report.experiment, report.method
        ),
        rows: services.iter().map(row).collect(),
    }
}

/// Returns the requests answered on time, in percent of those offered.
fn goodput(summary: &Summary) -> f64 {
    100.0 * (1.0 - summary.late - summary.rejected)
}

fn panel(cells: &[&Cell], service: &str, title: &str, figure: fn(&Summary) -> f64) -> Panel {
    let mut strategies: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for cell in cells {
        let Some(summary) = cell.services.get(service) else {
            continue;
        };
        let strategy = serde_json::to_value(cell.strategy).unwrap_or_default();
        let strategy = strategy.as_str().unwrap_or_default().to_string();
        let loads = strategies.entry(strategy).or_default();
        // Loads are positive, so their bit patterns sort in the same order.
        loads
            .entry(cell.load.to_bits())
            .or_default()
            .push(figure(summary));
    }
    let line = |(name, loads): (String, BTreeMap<u64, Vec<f64>>)| Line {
        name,
        points: loads
            .into_iter()
            .map(|(load, values)| (f64::from_bits(load), median(values)))
            .collect(),
    };
    Panel {
        title: format!("{service}: {title}, median over the seeds"),
        x_label: "offered work as a fraction of capacity".to_string(),
        y_label: "% of offered requests".to_string(),
        lines: strategies.into_iter().map(line).collect(),
    }
}
