//! Runs the examples of `docs/API.md` about jobs.

mod common;

use std::{path::Path, process::Command};

use common::{Deployment, KEY};
use fakes::site::Plan;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/API.md");

/// Returns the `curl` commands on the page.
fn examples() -> Vec<String> {
    let page = std::fs::read_to_string(Path::new(PAGE)).unwrap();
    let blocks = page.split("```bash\n").skip(1);
    let blocks = blocks.map(|block| block.split("```").next().unwrap().to_string());
    let commands = blocks.flat_map(|block| {
        let commands = block.split("curl -s ").skip(1);
        let commands: Vec<String> = commands.map(str::to_string).collect();
        commands
    });
    commands.collect()
}

fn run(example: &str, callers: &str) -> String {
    let command = "curl --silent --show-error --fail-with-body --max-time 20 ";
    let script = format!("{command}{}", example.replace("ENTRY", callers));
    let output = Command::new("sh")
        .args(["-ec", &script])
        .env("KEY", KEY)
        .output()
        .unwrap();
    assert!(output.status.success(), "{example}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn api_examples_of_jobs() {
    let deployment = Deployment::start_with_coordinators(2, 1, Plan::default());
    let callers = deployment.vms[1].callers.to_string();
    let answers: Vec<String> = examples()
        .iter()
        .map(|example| run(example, &callers))
        .collect();
    let [accepted, read, body, ended] = &answers[..] else {
        panic!("expected four examples, got {answers:?}");
    };
    assert_eq!((accepted.as_str(), ended.as_str()), ("{}", "{}"));
    let read: serde_json::Value = serde_json::from_str(read).unwrap();
    assert_eq!(read["total"], 1);
    assert_eq!(read["results"][0]["id"], "item-1");
    assert_eq!(body, "item-1");
}
