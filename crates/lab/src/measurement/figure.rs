//! The figures of a results file by name.
//!
//! Two files may hold their runs in different order or number, so each run is
//! named by its parameters, not by its index.

use serde_json::Value;

use crate::report::median;

/// Names of the members that distinguish the runs of an array.
const PARAMETERS: [&str; 9] = [
    "name",
    "way",
    "seed",
    "vms",
    "endpoints",
    "engines",
    "lots",
    "prompt_words",
    "rerun_percent",
];

/// Returns each number with its name, in the order of the file, and the median
/// of each array of numbers.
pub(super) fn list(value: &Value) -> Vec<(String, f64)> {
    let mut figures = Vec::new();
    collect(value, "", &mut figures);
    figures
}

fn collect(value: &Value, name: &str, figures: &mut Vec<(String, f64)>) {
    match value {
        Value::Number(number) => {
            figures.extend(number.as_f64().map(|number| (name.to_string(), number)));
        }
        Value::Array(items) if items.iter().all(Value::is_number) => {
            let numbers: Vec<_> = items.iter().filter_map(Value::as_f64).collect();
            if !numbers.is_empty() {
                figures.push((format!("{name} (median)"), median(numbers)));
            }
        }
        Value::Array(items) => collect_runs(items, name, figures),
        Value::Object(members) => {
            for (member, value) in members {
                if !is_parameter(member) {
                    collect(value, &join(name, member), figures);
                }
            }
        }
        Value::Null | Value::Bool(_) | Value::String(_) => {}
    }
}

fn collect_runs(items: &[Value], name: &str, figures: &mut Vec<(String, f64)>) {
    let mut seen: Vec<String> = Vec::new();
    for item in items {
        let label = label(item);
        let duplicates = seen.iter().filter(|other| **other == label).count();
        let run = match duplicates {
            0 => label.clone(),
            _ => format!("{label} #{}", duplicates + 1),
        };
        seen.push(label);
        // The label replaces the name of the array.
        let parent = name.rsplit_once(' ').map_or("", |(parent, _)| parent);
        collect(item, &join(parent, &run), figures);
    }
}

fn label(item: &Value) -> String {
    let parameters = PARAMETERS.iter().filter_map(|name| match &item[*name] {
        Value::String(text) => Some(without_rates(text)),
        Value::Number(number) => Some(format!("{name}={number}")),
        _ => None,
    });
    let parameters: Vec<_> = parameters.collect();
    if parameters.is_empty() {
        return "run".to_string();
    }
    parameters.join(" ")
}

fn is_parameter(name: &str) -> bool {
    PARAMETERS.contains(&name)
}

/// Replaces the rate in the name of a phase by `N`. The rate is derived from an
/// earlier phase of the same run, so the names of the same phase differ between
/// files.
fn without_rates(text: &str) -> String {
    const RATE_SUFFIX: &str = " a second each way";
    let Some((before, _)) = text.split_once(RATE_SUFFIX) else {
        return text.to_string();
    };
    let stem = before.trim_end_matches(|c: char| c.is_ascii_digit());
    format!("{stem}N{RATE_SUFFIX}")
}

fn join(name: &str, member: &str) -> String {
    match name {
        "" => member.to_string(),
        _ => format!("{name} {member}"),
    }
}
