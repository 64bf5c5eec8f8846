//! Simulated experiments are reproducible, and their results can be stored,
//! tabulated and compared.

use tarragonseam_lab::{Plan, Setup, Strategy, experiment, report, run};

fn setup(strategy: Strategy) -> Setup {
    Setup::new(Plan::festival(), strategy)
        .load(1.5)
        .greedy(true)
        .loss(true)
        .seconds(3)
}

#[test]
fn run_same_seed_twice() {
    for strategy in [
        Strategy::RoundRobin,
        Strategy::Independent,
        Strategy::Credits,
        Strategy::Owner,
    ] {
        let first = run(&setup(strategy), 7);
        let second = run(&setup(strategy), 7);
        assert_eq!(first.services, second.services, "{strategy:?}");
    }
}

#[test]
fn run_below_capacity() {
    let setup = Setup::new(Plan::benchmarks(), Strategy::Independent)
        .load(0.5)
        .seconds(3);
    let result = run(&setup, 7);
    for (service, summary) in &result.services {
        assert!(summary.offered > 0, "{service}");
        assert_eq!(summary.answered, summary.offered, "{service}");
    }
}

#[test]
fn report_write_read_compare() {
    let cells = experiment::run(&[setup(Strategy::Independent)], &[1, 2]);
    let original = report::Report::new("one", cells);
    let path = std::env::temp_dir().join(format!("experiment-{}.json", std::process::id()));
    let path = path.to_str().unwrap();
    original.write(path).unwrap();
    let read = report::Report::read(path).unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(read.table(), original.table());
    let compared = report::compare(&read, &original);
    assert_eq!(compared.lines().count(), 2 + 2 * 2, "{compared}");
}

#[test]
fn setups_known_and_unknown_names() {
    assert!(experiment::setups("nothing").is_err());
    for name in experiment::NAMES {
        assert!(!experiment::setups(name).unwrap().is_empty(), "{name}");
    }
}
