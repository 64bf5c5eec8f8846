//! The number of endpoints follows the load. The test runs real processes.

mod common;
mod control_support;

use std::{net::SocketAddr, time::Duration};

use control_support::{Tree, count_active, issue_key, start, wait_for};
use fakes::deployment::{Endpoint, Plan};
use link::http::{Pool, client::Call};
use serde_json::json;

const CONFIG: &str = "[models.notes]\n\
    capacity = { stable = 1, most = 3 }\n\
    [models.drafts]\n\
    capacity = { stable = 1 }\n\
    [accounts.a]\n";

fn plan(tree: &Tree) -> Plan {
    let mut plan = Plan::new(&tree.0).vms(2, &["a"]);
    for model in ["notes", "drafts"] {
        plan.endpoints.push(engine(model, "stable", 1, true));
        for number in 1..=2 {
            plan.endpoints.push(engine(model, "cheap", number, false));
        }
    }
    plan
}

fn engine(model: &str, class: &str, number: u32, is_ready: bool) -> Endpoint {
    Endpoint {
        id: format!("{model}-a-{class}-{number}"),
        service: model.to_string(),
        is_engine: true,
        failure_domain: "a".to_string(),
        class: class.to_string(),
        is_ready,
        checks_epoch: true,
        arguments: vec!["--slots=2".into(), "--tokens-per-s=20".into()],
    }
}

/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Sends requests for 40 tokens, one after another, without end.
async fn generate_repeatedly(pool: Pool, callers: SocketAddr, model: &str, key: String) {
    let path = format!("/v1/models/{model}/generate");
    loop {
        let body = json!({ "prompt": "a still cider", "max_tokens": 40 }).to_string();
        let call = Call::post(&path, body)
            .header("authorization", format!("Bearer {key}"))
            .deadline(Duration::from_secs(60));
        let answer = pool.fetch(callers, call).await;
        if !answer.is_ok_and(|answer| answer.status.is_success()) {
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Concurrent requests for each model: more than an engine runs at once, and
/// few enough for its queue to hold the others.
const STREAMS_PER_MODEL: usize = 6;

#[test]
fn load_starts_endpoints_up_to_max() {
    link::runtime::run(async {
        let tree = Tree::new("demand", CONFIG);
        let deployment = start(&plan(&tree)).await;
        let key = issue_key(&deployment, "a");
        for model in ["notes", "drafts"] {
            for index in 0..STREAMS_PER_MODEL {
                let callers = deployment.vms[index % 2].callers;
                let pool = deployment.pool.clone();
                monoio::spawn(generate_repeatedly(pool, callers, model, key.clone()));
            }
        }
        wait_for("endpoints for the load", async || {
            (count_active(&deployment, "notes", "a").await == (1, 2)).then_some(())
        })
        .await;
        // This model gets as many requests, but its configuration allows no
        // more endpoints.
        assert_eq!(count_active(&deployment, "drafts", "a").await, (1, 0));
    })
    .unwrap();
}
