//! Runs the examples of `docs/API.md` unchanged.

mod common;

use std::{
    path::Path,
    process::{Command, Output},
};

use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
const FAILURE_DOMAINS: [&str; 2] = ["a", "b"];

/// Returns the shell examples of the page, one for each code block.
fn examples() -> Vec<String> {
    let page = std::fs::read_to_string(Path::new(ROOT).join("docs/API.md")).unwrap();
    let blocks = page.split("```sh\n").skip(1);
    blocks
        .map(|block| block.split("```").next().unwrap().to_string())
        .collect()
}

/// Waits until the VM knows `key`.
async fn wait_for_key(deployment: &Deployment, key: &str) {
    loop {
        let call =
            Call::get("/v1/trainers/notes/cursor").header("authorization", format!("Bearer {key}"));
        let answer = deployment.pool.fetch(deployment.vms[0].callers, call).await;
        if answer.unwrap().status != 401 {
            return;
        }
        monoio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

fn run(example: &str, entry: &str, keys: &[String; 2]) -> Output {
    let script = example.replace("ENTRY", entry).replace(
        "curl -s",
        "curl --silent --show-error --fail-with-body --max-time 40",
    );
    Command::new("sh")
        .args(["-ec", &script])
        .env("KEY", &keys[0])
        .env("TRAINER_KEY", &keys[1])
        .output()
        .unwrap()
}

#[test]
fn api_examples_run() {
    let plan = Plan::new(common::FESTIVAL_TREE)
        .vms(2, &FAILURE_DOMAINS)
        .engines("tasting-notes", 2, &FAILURE_DOMAINS)
        .services("entry-registry", 2, &FAILURE_DOMAINS);
    link::runtime::run(async {
        let deployment = common::start_unconfigured(&plan).await;
        common::publish(&deployment);
        let keys =
            ["maison-verte", "festival"].map(|account| common::issue_key(&deployment, account));
        deployment.wait_ready().await.unwrap();
        for key in &keys {
            wait_for_key(&deployment, key).await;
        }
        let entry = deployment.vms[0].callers.to_string();
        let examples = examples();
        assert!(examples.len() >= 3);
        for example in examples {
            let output = run(&example, &entry, &keys);
            assert!(output.status.success(), "{example}: {output:?}");
            let text = String::from_utf8_lossy(&output.stdout);
            assert!(text.starts_with('{'), "{example}: {text}");
        }
    })
    .unwrap();
}
