//! Named experiments: sets of runs that belong side by side.

use std::sync::{
    Mutex,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    Cell, Error,
    plan::{Plan, Setup, Strategy},
    simulation,
};

/// The names of the experiments with setups.
pub const NAMES: [&str; 2] = ["callers", "ways"];

const LOADS: [f64; 3] = [0.7, 1.0, 1.5];
const RUN_SECONDS: u64 = 30;
const THREADS: usize = 4;

/// Returns the runs of the experiment `name`, but for their seeds.
///
/// # Errors
///
/// When there is no such experiment.
pub fn setups(name: &str) -> Result<Vec<Setup>, Error> {
    match name {
        "callers" => Ok(callers_setups()),
        "ways" => Ok(ways_setups()),
        _ => {
            let known = format!("{}, spend, entry", NAMES.join(", "));
            Err(Error::UnknownExperiment(name.to_string(), known))
        }
    }
}

/// Both deployments under both baselines and our decisions.
fn callers_setups() -> Vec<Setup> {
    let strategies = [
        Strategy::RoundRobin,
        Strategy::LeastOutstanding,
        Strategy::Independent,
    ];
    let plans = [Plan::festival(), Plan::benchmarks()];
    cross_product(&plans, &strategies, &[true, false])
}

/// Three ways for many VMs to come to one decision.
fn ways_setups() -> Vec<Setup> {
    let strategies = [Strategy::Independent, Strategy::Credits, Strategy::Owner];
    let plans = [Plan::festival().vms(8), Plan::festival().vms(48)];
    cross_product(&plans, &strategies, &[true])
}

fn cross_product(plans: &[Plan], strategies: &[Strategy], greedy_choices: &[bool]) -> Vec<Setup> {
    let mut setups = Vec::new();
    for plan in plans {
        for greedy in greedy_choices {
            for loss in [false, true] {
                for load in LOADS {
                    for strategy in strategies {
                        let setup = Setup::new(plan.clone(), *strategy).load(load);
                        setups.push(setup.greedy(*greedy).loss(loss).seconds(RUN_SECONDS));
                    }
                }
            }
        }
    }
    setups
}

/// Runs every setup with every seed, a few at a time.
pub fn run(setups: &[Setup], seeds: &[u64]) -> Vec<Cell> {
    let runs: Vec<_> = setups
        .iter()
        .flat_map(|setup| seeds.iter().map(move |seed| (setup, *seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let cells = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((setup, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let cell = simulation::run(setup, *seed);
                    cells.lock().expect("no run panics").push(cell);
                }
            });
        }
    });
    let mut cells = cells.into_inner().expect("no run panics");
    cells.sort_by_key(|cell| (sort_key(cell), cell.seed));
    cells
}

/// Orders cells of the same circumstances side by side.
fn sort_key(cell: &Cell) -> (String, usize, bool, bool, u32, u8) {
    let load = (cell.load * 100.0) as u32;
    (
        cell.plan.clone(),
        cell.vms,
        !cell.has_greedy_account,
        cell.has_loss,
        load,
        cell.strategy as u8,
    )
}
