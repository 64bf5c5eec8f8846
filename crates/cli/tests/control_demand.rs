//! Endpoints follow the load of real processes.

mod common;
mod control_setup;

use std::{net::SocketAddr, time::Duration};

use control_setup::{Tree, issue_key, present, start, until};
use fakes::deployment::{Endpoint, Plan};
use link::http::{Pool, client::Call};
use serde_json::json;

const FILE: &str = "[models.notes]\n\
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
        is_model: true,
        failure_domain: "a".to_string(),
        class: class.to_string(),
        is_ready,
        checks_epoch: true,
        arguments: vec!["--slots=2".into(), "--tokens-per-s=20".into()],
    }
}

/// Pause after a refusal.
const REFUSED_TIME: Duration = Duration::from_millis(200);

/// Keeps requests of 40 tokens coming, one after another.
async fn ask_for_ever(pool: Pool, callers: SocketAddr, model: &str, key: String) {
    let path = format!("/v1/models/{model}/generate");
    loop {
        let body = json!({ "prompt": "a still cider", "max_tokens": 40 }).to_string();
        let call = Call::post(&path, body)
            .header("authorization", format!("Bearer {key}"))
            .deadline(Duration::from_secs(60));
        let answer = pool.fetch(callers, call).await;
        if !answer.is_ok_and(|answer| answer.status.is_success()) {
            monoio::time::sleep(REFUSED_TIME).await;
        }
    }
}

/// Requests under way for each model: more than an engine runs, few enough
/// that the endpoint's queue holds the rest.
const STREAMS: usize = 6;

#[test]
fn load_starts_endpoints_up_to_most() {
    link::runtime::run(async {
        let tree = Tree::new("demand", FILE);
        let deployment = start(&plan(&tree)).await;
        let key = issue_key(&deployment, "a");
        for model in ["notes", "drafts"] {
            for place in 0..STREAMS {
                let callers = deployment.vms[place % 2].callers;
                let pool = deployment.pool.clone();
                monoio::spawn(ask_for_ever(pool, callers, model, key.clone()));
            }
        }
        until("endpoints for the load", async || {
            (present(&deployment, "notes", "a").await == (1, 2)).then_some(())
        })
        .await;
        // As many requests, but nothing that allows more endpoints.
        assert_eq!(present(&deployment, "drafts", "a").await, (1, 0));
    })
    .unwrap();
}
