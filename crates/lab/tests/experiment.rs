//! Experiments give the same figures each time, and tables for them.

use tarragonseam_lab::{Plan, Setup, Way, experiment, report, run};

fn setup(way: Way) -> Setup {
    Setup::new(Plan::festival(), way)
        .load(1.5)
        .greedy(true)
        .loss(true)
        .seconds(3)
}

#[test]
fn run_same_seed() {
    for way in [Way::RoundRobin, Way::Independent, Way::Credits, Way::Owner] {
        let first = run(&setup(way), 7);
        let second = run(&setup(way), 7);
        assert_eq!(first.services, second.services, "{way:?}");
    }
}

#[test]
fn run_below_capacity() {
    let setup = Setup::new(Plan::benchmarks(), Way::Independent)
        .load(0.5)
        .seconds(3);
    let result = run(&setup, 7);
    for (service, summary) in &result.services {
        assert!(summary.offered > 0, "{service}");
        assert_eq!(summary.answered, summary.offered, "{service}");
    }
}

#[test]
fn report_kept_and_compared() {
    let cells = experiment::run(&[setup(Way::Independent)], &[1, 2]);
    let file = report::File::new("one", cells);
    let path = std::env::temp_dir().join(format!("experiment-{}.json", std::process::id()));
    let path = path.to_str().unwrap();
    file.write(path).unwrap();
    let read = report::File::read(path).unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(read.table(), file.table());
    let compared = report::compare(&read, &file);
    assert_eq!(compared.lines().count(), 2 + 2 * 2, "{compared}");
}

#[test]
fn setups_unknown_name() {
    assert!(experiment::setups("nothing").is_err());
    for name in experiment::NAMES {
        assert!(!experiment::setups(name).unwrap().is_empty(), "{name}");
    }
}
