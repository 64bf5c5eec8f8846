//! Results files of all experiments can be read, compared and plotted.

use std::{fs, path::PathBuf};

use miette::Diagnostic;
use tarragonseam_lab::{Error, Measurement, measurement, plot};

fn read_stored(name: &str) -> Measurement {
    let path = format!(
        "{}/../../docs/measurements/{name}.json",
        env!("CARGO_MANIFEST_DIR")
    );
    Measurement::read(&path).unwrap_or_else(|e| panic!("{e}"))
}

/// A temporary file that is removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("measurement-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Every file of docs/measurements, its experiment, and the number of its charts.
const FILES: [(&str, &str, Option<usize>); 15] = [
    ("callers", "callers", Some(8)),
    ("ways", "ways", Some(4)),
    ("spend", "spend", None),
    ("entry", "entry", Some(2)),
    ("entry-before", "entry", Some(2)),
    ("entry-quiet", "entry", Some(1)),
    ("control-decisions", "swarm decisions", Some(1)),
    ("control-processes", "swarm processes", Some(1)),
    ("control-calls", "control calls", Some(1)),
    ("control-calls-before", "control calls", Some(1)),
    ("control-faults", "control faults", None),
    ("control-takeover", "control takeover", None),
    ("rollouts-calls", "rollouts calls", None),
    ("rollouts-stragglers", "rollouts stragglers", None),
    ("rollouts-weights", "rollouts weights", Some(1)),
];

#[test]
fn read_every_stored_file() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/measurements");
    let file_count = fs::read_dir(folder).unwrap().count();
    assert_eq!(
        file_count,
        FILES.len(),
        "the rows of FILES do not match the folder"
    );
    for (name, kind, _) in FILES {
        assert_eq!(read_stored(name).kind.to_string(), kind, "{name}");
    }
}

#[test]
fn compare_with_itself() {
    for (name, kind, _) in FILES {
        let table = measurement::compare(&read_stored(name), &read_stored(name)).unwrap();
        assert!(table.lines().count() > 3, "{name}: {table}");
        if !["callers", "ways"].contains(&kind) {
            let changes = table.lines().skip(3).map(|line| line.trim_end());
            let others: Vec<_> = changes.filter(|line| !line.ends_with(" 0.0%")).collect();
            assert!(others.is_empty(), "{name}: {others:?}");
        }
    }
}

#[test]
fn compare_changed_runs() {
    let weights =
        |runs: &str| format!(r#"{{"command":"cargo test measure_weights","rollouts":[{runs}]}}"#);
    let a = weights(
        r#"{"engines":6,"bound_ms":400,"times_ms":[900,800,700]},{"engines":9,"bound_ms":0}"#,
    );
    let b = weights(r#"{"engines":12,"bound_ms":5},{"engines":6,"bound_ms":400,"times_ms":[600]}"#);
    let (a, b) = (TempFile::new("a", &a), TempFile::new("b", &b));
    let read = |file: &TempFile| Measurement::read(file.path()).unwrap();
    let table = measurement::compare(&read(&a), &read(&b)).unwrap();
    let cells: Vec<Vec<&str>> = table
        .lines()
        .skip(3)
        .map(|line| line.split_whitespace().collect())
        .collect();
    let expected = [
        vec!["engines=6", "bound_ms", "400", "400", "0.0%"],
        vec!["engines=6", "times_ms", "(median)", "800", "600", "-25.0%"],
        vec!["engines=9", "bound_ms", "0", "-", "-"],
        vec!["engines=12", "bound_ms", "-", "5", "-"],
    ];
    assert_eq!(cells, expected, "{table}");
}

#[test]
fn compare_phases_with_different_rates() {
    let table = measurement::compare(&read_stored("entry-before"), &read_stored("entry")).unwrap();
    let unmatched = table.lines().filter(|line| line.contains(" - "));
    assert_eq!(unmatched.count(), 0, "{table}");
}

#[test]
fn compare_different_experiments() {
    let error = measurement::compare(&read_stored("entry"), &read_stored("ways")).unwrap_err();
    assert!(
        matches!(error, Error::DifferentExperiments { .. }),
        "{error}"
    );
    assert!(error.to_string().contains("`entry`"), "{error}");
    assert!(error.to_string().contains("`ways`"), "{error}");
    assert!(error.help().is_some());
}

#[test]
fn read_file_without_experiment() {
    for text in ["{}", "[]", "3", r#"{"command":"ls"}"#] {
        let file = TempFile::new("nothing", text);
        let error = Measurement::read(file.path()).unwrap_err();
        assert!(
            matches!(error, Error::NoExperiment { .. }),
            "{text}: {error}"
        );
    }
    let file = TempFile::new("broken", "{");
    let error = Measurement::read(file.path()).unwrap_err();
    assert!(matches!(error, Error::Json { .. }), "{error}");
}

#[test]
fn draw_every_stored_file() {
    let out = std::env::temp_dir().join(format!("measurement-{}-charts", std::process::id()));
    for (name, _, charts) in FILES {
        let drawn = plot::draw(&read_stored(name), &out);
        let Some(count) = charts else {
            assert!(matches!(drawn, Err(Error::NoChart { .. })), "{name}");
            continue;
        };
        let paths = drawn.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(paths.len(), count, "{name}");
        for path in paths {
            let text = fs::read_to_string(&path).unwrap();
            assert!(text.trim_end().ends_with("</svg>"), "{}", path.display());
            // Each measured value is drawn as a circle.
            assert!(text.contains("<circle"), "{}", path.display());
            assert!(!text.contains("NaN"), "{}", path.display());
        }
    }
    fs::remove_dir_all(out).unwrap();
}

#[test]
fn draw_truncated_file() {
    let text = r#"{"command":"measure_weights","rollouts":[{"engines":6}]}"#;
    let file = TempFile::new("truncated", text);
    let measurement = Measurement::read(file.path()).unwrap();
    let error = plot::draw(&measurement, &std::env::temp_dir()).unwrap_err();
    assert!(matches!(error, Error::Json { .. }), "{error}");
}
