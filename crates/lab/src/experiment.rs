//! Named experiments: sets of runs whose results are compared.

use std::sync::{
    Mutex,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    Cell, Error,
    plan::{Plan, Setup, Strategy},
    simulation,
};

/// The names of the experiments that [`setups`] knows.
pub const NAMES: [&str; 2] = ["callers", "ways"];

/// Offered work as fractions of the capacity.
const LOADS: [f64; 3] = [0.7, 1.0, 1.5];
const RUN_SECONDS: u64 = 30;
const THREADS: usize = 4;

/// Returns the setups of the experiment `name`.
///
/// # Errors
///
/// [`Error::UnknownExperiment`] when no experiment has this name.
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

/// Compares the decisions of `policy` with both baselines, on both deployments.
fn callers_setups() -> Vec<Setup> {
    let strategies = [
        Strategy::RoundRobin,
        Strategy::LeastOutstanding,
        Strategy::Independent,
    ];
    let plans = [Plan::festival(), Plan::benchmarks()];
    cross_product(&plans, &strategies, &[true, false])
}

/// Compares three ways of coordinating the decisions of several VMs.
fn ways_setups() -> Vec<Setup> {
    let strategies = [Strategy::Independent, Strategy::Credits, Strategy::Owner];
    let plans = [Plan::festival().vms(8), Plan::festival().vms(48)];
    cross_product(&plans, &strategies, &[true])
}

/// Returns a setup for each combination of the arguments, with and without the
/// loss of endpoints, at each load.
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

/// Runs every setup with every seed, on a few threads.
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

/// Returns the key that sorts cells so that strategies under the same conditions
/// are next to each other.
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
