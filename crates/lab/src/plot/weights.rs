//! A chart of the duration of weight rollouts and its lower bound.

use serde::Deserialize;

use super::chart::{Chart, Line, Panel};

/// The results of weight rollouts to different numbers of engines.
#[derive(Debug, Deserialize)]
pub(super) struct Weights {
    rollouts: Vec<Rollout>,
}

#[derive(Debug, Deserialize)]
struct Rollout {
    engines: u32,
    bound_ms: f64,
    times_ms: Vec<f64>,
}

/// Returns the chart of durations by the number of engines.
pub(super) fn chart(weights: &Weights) -> Chart {
    let line = |name: &str, figure: fn(&Rollout) -> f64| Line {
        name: name.to_string(),
        points: weights
            .rollouts
            .iter()
            .map(|rollout| (f64::from(rollout.engines), figure(rollout)))
            .collect(),
    };
    let slowest = |rollout: &Rollout| rollout.times_ms.iter().copied().fold(0.0, f64::max);
    let fastest = |rollout: &Rollout| {
        let times = rollout.times_ms.iter().copied();
        times.fold(f64::INFINITY, f64::min)
    };
    Chart {
        name: "time".to_string(),
        title: "Time until new weights are on all engines".to_string(),
        rows: vec![vec![Panel {
            title: "rollout time and the lower bound by the weight store".to_string(),
            x_label: "engines".to_string(),
            y_label: "ms".to_string(),
            lines: vec![
                line("bound", |rollout| rollout.bound_ms),
                line("slowest rollout", slowest),
                line("fastest rollout", fastest),
            ],
        }]],
    }
}
