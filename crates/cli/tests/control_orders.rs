//! One voice to the platform: orders for endpoints by real processes.

mod common;
mod control_setup;

use std::time::Duration;

use control_setup::{Tree, check_orders, fault, get, holder, present, spare, start, until};
use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;
use serde_json::{Value, json};

const FILE: &str = "[services.registry]\n\
    capacity = { stable = 1, cheap = 2 }\n\
    [services.other]\n\
    capacity = { stable = 1 }\n\
    [models.notes]\n\
    capacity = { stable = 2 }\n\
    [accounts.a]\n";

const IN_STOCK: &str = "[services.registry]\n\
    capacity = { stable = 1, cheap = 2 }\n\
    [services.other]\n\
    capacity = { stable = 1 }\n\
    [accounts.a]\n";

fn plan(tree: &Tree, vms: usize, domains: &[&str]) -> Plan {
    let mut plan = Plan::new(&tree.0).vms(vms, domains);
    for domain in domains {
        plan = spare(plan, "registry", domain, "stable", 3);
        plan = spare(plan, "registry", domain, "cheap", 6);
        plan = spare(plan, "other", domain, "stable", 2);
    }
    plan
}

async fn orders(deployment: &Deployment) -> Value {
    get(deployment, deployment.platform, "/v1/orders").await
}

async fn order_calls(deployment: &Deployment) -> u64 {
    let stats = get(deployment, deployment.platform, "/stats").await;
    stats["calls"]["POST /v1/orders"].as_u64().unwrap_or(0)
}

async fn wait_present(deployment: &Deployment, domain: &str, wanted: (u32, u32)) {
    until("declared endpoints", async || {
        (present(deployment, "registry", domain).await == wanted).then_some(())
    })
    .await;
}

/// Puts a version of the weights in force; `after` is what the call before
/// returned.
async fn put_weights(deployment: &Deployment, version: u64, after: Option<String>) -> String {
    let call = Call::new(link::Method::PUT, "/v1/objects/weights/notes");
    let call = match after {
        Some(tag) => call.header("if-match", tag),
        None => call.header("if-none-match", "*"),
    };
    let call = call.body(format!("{{\"version\":{version}}}"));
    let answer = deployment.pool.fetch(deployment.platform, call).await;
    let answer = answer.unwrap();
    assert!(answer.status.is_success());
    answer.headers["etag"].to_str().unwrap().to_string()
}

/// Checks that an engine, also one that ignores epochs, took orders of epochs
/// that never fall.
async fn check_engines(deployment: &Deployment) {
    for endpoint in deployment.endpoints.iter().filter(|e| e.plan.is_model) {
        let log = get(deployment, endpoint.address, "/v1/log").await;
        let epochs: Vec<_> = log["orders"]
            .as_array()
            .unwrap()
            .iter()
            .map(|order| order["epoch"].as_u64().unwrap())
            .collect();
        assert!(epochs.is_sorted(), "{}: {epochs:?}", endpoint.plan.id);
        assert!(!epochs.is_empty(), "{} took no order", endpoint.plan.id);
    }
}

/// Returns whether every engine has taken an order for version 3.
async fn engines_ordered(deployment: &Deployment) -> bool {
    for endpoint in deployment.endpoints.iter().filter(|e| e.plan.is_model) {
        let log = get(deployment, endpoint.address, "/v1/log").await;
        let mut orders = log["orders"].as_array().unwrap().iter();
        if !orders.any(|o| o["key"].as_str().is_some_and(|key| key.ends_with(".3"))) {
            return false;
        }
    }
    true
}

async fn switch_engines(deployment: &Deployment, switches: Value) {
    for endpoint in deployment.endpoints.iter().filter(|e| e.plan.is_model) {
        fault(deployment, endpoint.address, switches.clone()).await;
    }
}

/// Holds back the orders for endpoints and weights of the VM at `place`, or
/// lets them go.
async fn hold(deployment: &Deployment, place: usize, paths: &[&str]) {
    let steward = deployment.vms[place].steward_admin;
    fault(deployment, steward, json!({"hold": paths})).await;
}

/// Freezes a holder whose orders have passed every look at the lease but the
/// last, and lets them go after a successor has ordered the same.
async fn resume_mid_order(name: &str, ignores_epochs: bool) {
    let tree = Tree::new(name, FILE);
    let mut plan = plan(&tree, 3, &["a"]).engines("notes", 2, &["a"]);
    for back in plan.endpoints.iter_mut().filter(|back| back.is_model) {
        back.class = "stable".to_string();
        back.checks_epoch = !ignores_epochs;
    }
    for vm in &mut plan.vms {
        vm.steward_settings = "test_faults = true\n".to_string();
    }
    let deployment = start(&plan).await;
    let platform = deployment.platform;
    wait_present(&deployment, "a", (1, 2)).await;
    let (old, epoch) = until("holder", async || {
        holder(&deployment, "orders_epoch", "a", None).await
    })
    .await;

    let paths = ["/v1/orders", "/v1/weights"];
    hold(&deployment, old, &paths).await;
    let tag = put_weights(&deployment, 2, None).await;
    let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
    let switches = json!({"ignore_epochs": ignores_epochs, "reclaim": reclaim});
    fault(&deployment, platform, switches).await;
    let steward = deployment.vms[old].steward_admin;
    until("orders held back", async || {
        let held = get(&deployment, steward, "/fault").await;
        let held = held.as_array()?;
        paths
            .iter()
            .all(|path| held.iter().any(|h| h == path))
            .then_some(())
    })
    .await;
    deployment.vms[old].steward.signal("STOP").unwrap();

    let (new, next) = until("successor", async || {
        holder(&deployment, "orders_epoch", "a", Some(old)).await
    })
    .await;
    assert!(new != old && next > epoch, "epoch {next} after {epoch}");
    put_weights(&deployment, 3, Some(tag)).await;
    wait_present(&deployment, "a", (1, 2)).await;
    until("weights ordered by the successor", async || {
        engines_ordered(&deployment).await.then_some(())
    })
    .await;

    deployment.vms[old].steward.signal("CONT").unwrap();
    hold(&deployment, old, &[]).await;
    until("orders let go", async || {
        let held = get(&deployment, steward, "/fault").await;
        held.as_array()?.is_empty().then_some(())
    })
    .await;
    // What left would arrive within this time.
    monoio::time::sleep(Duration::from_secs(3)).await;
    let history = orders(&deployment).await;
    check_orders(&history, "a");
    assert_eq!(history["stale"], 0, "an order of an old epoch was sent");
    check_engines(&deployment).await;
    assert_eq!(present(&deployment, "registry", "a").await, (1, 2));
}

#[test]
fn frozen_holder_resumed_mid_order() {
    link::runtime::run(resume_mid_order("frozen", false)).unwrap();
}

#[test]
fn frozen_holder_resumed_mid_order_epochs_ignored() {
    link::runtime::run(resume_mid_order("frozen-ignored", true)).unwrap();
}

#[test]
fn frozen_holder_order_on_its_way() {
    let tree = Tree::new("frozen-sent", FILE);
    let mut plan = plan(&tree, 3, &["a"]).engines("notes", 2, &["a"]);
    let engines = plan.endpoints.iter_mut().filter(|back| back.is_model);
    engines.for_each(|back| back.class = "stable".to_string());
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_present(&deployment, "a", (1, 2)).await;
        let (old, epoch) = until("holder", async || {
            holder(&deployment, "orders_epoch", "a", None).await
        })
        .await;

        // The old holder knows of version 2 and cannot order it yet: on waking
        // it would, were the lease not looked at.
        switch_engines(&deployment, json!({"outage": true})).await;
        let tag = put_weights(&deployment, 2, None).await;
        monoio::time::sleep(Duration::from_secs(2)).await;
        let before = order_calls(&deployment).await;
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        fault(
            &deployment,
            platform,
            json!({"latency_ms": 700, "reclaim": reclaim}),
        )
        .await;
        until("order under way", async || {
            (order_calls(&deployment).await > before).then_some(())
        })
        .await;
        deployment.vms[old].steward.signal("STOP").unwrap();
        put_weights(&deployment, 3, Some(tag)).await;
        fault(&deployment, platform, json!({"reset": true})).await;

        let (new, next) = until("successor", async || {
            holder(&deployment, "orders_epoch", "a", Some(old)).await
        })
        .await;
        assert!(new != old && next > epoch, "epoch {next} after {epoch}");
        switch_engines(&deployment, json!({"reset": true})).await;
        wait_present(&deployment, "a", (1, 2)).await;
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        fault(&deployment, platform, json!({"reclaim": reclaim})).await;
        until("order of the successor", async || {
            let orders = orders(&deployment).await;
            let mut list = orders["orders"].as_array()?.iter();
            list.any(|o| o["epoch"] == next).then_some(())
        })
        .await;

        until("weights ordered by the successor", async || {
            engines_ordered(&deployment).await.then_some(())
        })
        .await;
        // Engines too slow to report their load leave the old holder with the
        // view that it had.
        switch_engines(&deployment, json!({"latency_ms": 1500})).await;
        deployment.vms[old].steward.signal("CONT").unwrap();
        wait_present(&deployment, "a", (1, 2)).await;
        // The old holder gets ample time for an order of its old epoch.
        monoio::time::sleep(Duration::from_secs(5)).await;
        switch_engines(&deployment, json!({"reset": true})).await;
        let history = orders(&deployment).await;
        check_orders(&history, "a");
        assert_eq!(history["stale"], 0, "an order of an old epoch was sent");
        check_engines(&deployment).await;
        assert_eq!(present(&deployment, "registry", "a").await, (1, 2));
    })
    .unwrap();
}

/// Counts the endpoints of a class that orders have started.
fn started(history: &Value, class: &str) -> usize {
    let orders = history["orders"].as_array().unwrap().iter();
    let of = orders
        .filter(|o| o["service"] == "registry" && o["class"] == class && o["action"] == "start");
    of.map(|o| o["endpoints"].as_array().unwrap().len()).sum()
}

#[test]
fn lost_replies_never_double_an_order() {
    // Nothing is out of stock: a refusal that never arrives holds up the other
    // orders of a failure domain.
    let tree = Tree::new("lost", IN_STOCK);
    let plan = plan(&tree, 2, &["a"]);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_present(&deployment, "a", (1, 2)).await;
        // No order gets its reply, and what one did shows late in the list.
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        let switches = json!({
            "lost_reply": 1.0,
            "lost_reply_of": "POST /v1/orders",
            "endpoint_lag_ms": 6000,
            "reclaim": reclaim,
        });
        fault(&deployment, platform, switches).await;
        until("order without a reply", async || {
            (started(&orders(&deployment).await, "cheap") >= 4).then_some(())
        })
        .await;
        // An order that is given up is repeated well within this time.
        monoio::time::sleep(Duration::from_secs(10)).await;
        let history = orders(&deployment).await;
        assert_eq!(started(&history, "cheap"), 4, "{history:#}");

        let switches = json!({"lost_reply": 0.4, "lost_reply_of": null, "reclaim": reclaim});
        fault(&deployment, platform, switches).await;
        // Reads of this test are lost too, so it looks again only afterwards.
        monoio::time::sleep(Duration::from_secs(20)).await;
        fault(&deployment, platform, json!({"reset": true})).await;
        wait_present(&deployment, "a", (1, 2)).await;
        let history = orders(&deployment).await;
        check_orders(&history, "a");
        let counts = (started(&history, "stable"), started(&history, "cheap"));
        assert_eq!(counts, (1, 6), "{history:#}");
    })
    .unwrap();
}

#[test]
fn out_of_stock_backs_off_and_is_replaced_elsewhere() {
    let tree = Tree::new("stock", FILE);
    let plan = plan(&tree, 2, &["a", "b"]);
    link::runtime::run(async {
        let deployment = Deployment::start(std::path::Path::new(control_setup::PROGRAM), &plan)
            .await
            .unwrap();
        let stock = json!({"failure_domain": "a", "class": "cheap"});
        fault(
            &deployment,
            deployment.platform,
            json!({"out_of_stock": [stock]}),
        )
        .await;
        control_setup::publish(&deployment);
        wait_present(&deployment, "a", (1, 0)).await;
        wait_present(&deployment, "b", (1, 4)).await;
        until("the other service", async || {
            (present(&deployment, "other", "a").await == (1, 0)).then_some(())
        })
        .await;
        let before = order_calls(&deployment).await;
        monoio::time::sleep(Duration::from_secs(12)).await;
        let asked = order_calls(&deployment).await - before;
        assert!(
            asked <= 4,
            "{asked} orders in 12 s for what is out of stock"
        );
        check_orders(&orders(&deployment).await, "a");
    })
    .unwrap();
}
