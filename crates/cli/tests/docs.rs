//! Checks that the pages in `docs` agree with the code.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(ROOT).join("docs").join(name)).unwrap()
}

/// Returns the Rust files of the project in folders named `component`.
fn find_rust_files(component: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let mut folders = vec![
        Path::new(ROOT).join("crates"),
        Path::new(ROOT).join("platform"),
    ];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|end| end == "rs")
                && path.components().any(|c| c.as_os_str() == component)
            {
                found.push(path);
            }
        }
    }
    found
}

/// Returns the text between backticks in each cell of column `column`.
fn quoted_names(page: &str, column: usize) -> Vec<String> {
    let rows = page.lines().filter(|line| line.starts_with("| "));
    let cells = rows.filter_map(|row| row.split('|').nth(column));
    cells
        .flat_map(|cell| cell.split('`').skip(1).step_by(2).map(String::from))
        .collect()
}

#[test]
fn promises_name_real_tests() {
    let text = page("PROMISES.md");
    let (first_section, _) = text.split_once("## On the users' platform").unwrap();
    let rows = first_section
        .lines()
        .filter(|line| line.starts_with("| "))
        .count();
    assert_eq!(
        rows,
        1 + 14,
        "the first section must list fourteen promises"
    );
    let tests: String = find_rust_files("tests")
        .iter()
        .map(|path| fs::read_to_string(path).unwrap())
        .collect();
    for name in quoted_names(&text, 3) {
        let declared = format!("fn {name}(");
        assert!(tests.contains(&declared), "no test {name}");
    }
}

/// Returns the keys at the top level of a TOML text.
fn top_level_keys(text: &str) -> BTreeSet<String> {
    let table: toml::Table = text.parse().unwrap();
    table.keys().cloned().collect()
}

#[test]
fn operations_lists_settings() {
    let text = page("OPERATIONS.md");
    let entry: entry::Settings = toml::from_str(
        "vm = \"v\"\nfailure_domain = \"a\"\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:1\"\n\
         admin = \"127.0.0.1:1\"\nplatform = \"127.0.0.1:1\"\ndata = \"/d\"\ntls_certificate = \"/c\"\ntls_key = \"/k\"\ncollector = \"127.0.0.1:1\"\n",
    )
    .unwrap();
    let steward: steward::Settings = toml::from_str(
        "vm = \"v\"\nfailure_domain = \"a\"\nadmin = \"127.0.0.1:1\"\nplatform = \"127.0.0.1:1\"\n\
         entry = \"127.0.0.1:1\"\ncollector = \"127.0.0.1:1\"\n",
    )
    .unwrap();
    let settings = [
        toml::to_string(&entry).unwrap(),
        toml::to_string(&steward).unwrap(),
    ];
    for name in settings.iter().flat_map(|text| top_level_keys(text)) {
        assert!(text.contains(&format!("| `{name}` |")), "no row for {name}");
    }
}

#[test]
fn operations_lists_metrics() {
    let text = page("OPERATIONS.md");
    for path in find_rust_files("src") {
        let code = fs::read_to_string(&path).unwrap();
        let names = code.split('"').skip(1).step_by(2);
        for name in names.filter(|name| is_metric(name)) {
            let row = format!("`{name}`");
            assert!(text.contains(&row), "{}: no row for {name}", path.display());
        }
    }
}

fn is_metric(text: &str) -> bool {
    let name = text.strip_prefix("tarragonseam_");
    name.is_some_and(|rest| {
        !rest.is_empty() && rest.chars().all(|c| c.is_ascii_lowercase() || c == '_')
    })
}

#[test]
fn known_red_entries_are_complete() {
    let text = fs::read_to_string(Path::new(ROOT).join("KNOWN-RED.txt")).unwrap();
    let lines: Vec<_> = text.lines().filter(|line| !line.starts_with('#')).collect();
    let count = |key: &str| lines.iter().filter(|line| line.starts_with(key)).count();
    for key in ["command:", "seen:", "issue:"] {
        assert_eq!(count(key), count("test:"), "an entry lacks {key:?}");
    }
}
