//! Only the holder of the lease of a failure domain sends orders for endpoints
//! and weights. The tests run real processes.

mod common;
mod control_support;

use std::{fs, net::SocketAddr, time::Duration};

use control_support::{
    Tree, add_spares, check_orders, count_active, fetch_json, find_holder, set_faults, start,
    wait_for,
};
use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;
use serde_json::{Value, json};

const CONFIG: &str = "[services.registry]\n\
    capacity = { stable = 1, cheap = 2 }\n\
    [services.other]\n\
    capacity = { stable = 1 }\n\
    [models.notes]\n\
    capacity = { stable = 2 }\n\
    [accounts.a]\n";

const CONFIG_IN_STOCK: &str = "[services.registry]\n\
    capacity = { stable = 1, cheap = 2 }\n\
    [services.other]\n\
    capacity = { stable = 1 }\n\
    [accounts.a]\n";

const CONFIG_TWO_CHEAP: &str = "[services.registry]\n\
    capacity = { stable = 1, cheap = 2 }\n\
    [services.other]\n\
    capacity = { stable = 1, cheap = 1 }\n\
    [accounts.a]\n";

fn plan(tree: &Tree, vms: usize, domains: &[&str]) -> Plan {
    let mut plan = Plan::new(&tree.0).vms(vms, domains);
    for domain in domains {
        plan = add_spares(plan, "registry", domain, "stable", 3);
        plan = add_spares(plan, "registry", domain, "cheap", 6);
        plan = add_spares(plan, "other", domain, "stable", 2);
    }
    plan
}

async fn fetch_orders(deployment: &Deployment) -> Value {
    fetch_json(deployment, deployment.platform, "/v1/orders").await
}

async fn count_order_calls(deployment: &Deployment) -> u64 {
    let stats = fetch_json(deployment, deployment.platform, "/stats").await;
    stats["calls"]["POST /v1/orders"].as_u64().unwrap_or(0)
}

async fn wait_active(deployment: &Deployment, domain: &str, expected: (u32, u32)) {
    wait_for("declared number of endpoints", async || {
        (count_active(deployment, "registry", domain).await == expected).then_some(())
    })
    .await;
}

/// Publishes a version of the weights and returns its entity tag.
/// `previous_tag` is the tag of the version that it replaces.
async fn put_weights(
    deployment: &Deployment,
    version: u64,
    previous_tag: Option<String>,
) -> String {
    let call = Call::new(link::Method::PUT, "/v1/objects/weights/notes");
    let call = match previous_tag {
        Some(tag) => call.header("if-match", tag),
        None => call.header("if-none-match", "*"),
    };
    let call = call.body(format!("{{\"version\":{version}}}"));
    let answer = deployment.pool.fetch(deployment.platform, call).await;
    let answer = answer.unwrap();
    assert!(answer.status.is_success());
    answer.headers["etag"].to_str().unwrap().to_string()
}

/// Checks that each engine, even one that ignores epochs, accepted orders, and
/// that their epochs never decrease.
async fn check_engines(deployment: &Deployment) {
    for endpoint in deployment.endpoints.iter().filter(|e| e.plan.is_engine) {
        let log = fetch_json(deployment, endpoint.address, "/v1/log").await;
        let epochs: Vec<_> = log["orders"]
            .as_array()
            .unwrap()
            .iter()
            .map(|order| order["epoch"].as_u64().unwrap())
            .collect();
        assert!(epochs.is_sorted(), "{}: {epochs:?}", endpoint.plan.id);
        assert!(!epochs.is_empty(), "{} accepted no order", endpoint.plan.id);
    }
}

/// Returns the version of the weights that `engine` has loaded.
async fn loaded_version(deployment: &Deployment, engine: SocketAddr) -> Option<u64> {
    let load = fetch_json(deployment, engine, "/v1/load").await;
    load["versions"]["notes"].as_u64()
}

/// Returns the keys of the orders that `engine` has executed.
async fn executed_orders(deployment: &Deployment, engine: SocketAddr) -> Vec<String> {
    let log = fetch_json(deployment, engine, "/v1/log").await;
    let orders = log["orders"].as_array().unwrap().iter();
    let done = orders.filter(|order| order["outcome"] == "done");
    done.map(|order| order["key"].as_str().unwrap().to_string())
        .collect()
}

/// Returns whether every engine has accepted an order for version 3.
async fn is_version_3_ordered(deployment: &Deployment) -> bool {
    for endpoint in deployment.endpoints.iter().filter(|e| e.plan.is_engine) {
        let log = fetch_json(deployment, endpoint.address, "/v1/log").await;
        let mut orders = log["orders"].as_array().unwrap().iter();
        if !orders.any(|o| o["key"].as_str().is_some_and(|key| key.ends_with(".3"))) {
            return false;
        }
    }
    true
}

async fn set_engine_faults(deployment: &Deployment, switches: Value) {
    for endpoint in deployment.endpoints.iter().filter(|e| e.plan.is_engine) {
        set_faults(deployment, endpoint.address, switches.clone()).await;
    }
}

/// Makes the steward of the VM at `index` hold back its calls to `paths`, and
/// releases those to other paths.
async fn hold_back(deployment: &Deployment, index: usize, paths: &[&str]) {
    let steward = deployment.vms[index].steward_admin;
    set_faults(deployment, steward, json!({"hold": paths})).await;
}

/// Freezes a lease holder whose orders have passed all checks of the lease but
/// the last, and releases the orders after a successor has sent the same ones.
async fn check_resumed_mid_order(name: &str, ignores_epochs: bool) {
    let tree = Tree::new(name, CONFIG);
    let mut plan = plan(&tree, 3, &["a"]).engines("notes", 2, &["a"]);
    for endpoint in plan
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.is_engine)
    {
        endpoint.class = "stable".to_string();
        endpoint.checks_epoch = !ignores_epochs;
    }
    for vm in &mut plan.vms {
        vm.steward_settings = "test_faults = true\n".to_string();
    }
    let deployment = start(&plan).await;
    let platform = deployment.platform;
    wait_active(&deployment, "a", (1, 2)).await;
    let (old_holder, epoch) = wait_for("lease holder", async || {
        find_holder(&deployment, "orders_epoch", "a", None).await
    })
    .await;

    let paths = ["/v1/orders", "/v1/weights"];
    hold_back(&deployment, old_holder, &paths).await;
    let tag = put_weights(&deployment, 2, None).await;
    let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
    let switches = json!({"ignore_epochs": ignores_epochs, "reclaim": reclaim});
    set_faults(&deployment, platform, switches).await;
    let steward = deployment.vms[old_holder].steward_admin;
    wait_for("held-back orders", async || {
        let held_paths = fetch_json(&deployment, steward, "/fault").await;
        let held_paths = held_paths.as_array()?;
        paths
            .iter()
            .all(|path| held_paths.iter().any(|h| h == path))
            .then_some(())
    })
    .await;
    deployment.vms[old_holder].steward.signal("STOP").unwrap();

    let (new_holder, new_epoch) = wait_for("successor", async || {
        find_holder(&deployment, "orders_epoch", "a", Some(old_holder)).await
    })
    .await;
    assert!(
        new_holder != old_holder && new_epoch > epoch,
        "epoch {new_epoch} after {epoch}"
    );
    put_weights(&deployment, 3, Some(tag)).await;
    wait_active(&deployment, "a", (1, 2)).await;
    wait_for("order for weights by the successor", async || {
        is_version_3_ordered(&deployment).await.then_some(())
    })
    .await;

    deployment.vms[old_holder].steward.signal("CONT").unwrap();
    hold_back(&deployment, old_holder, &[]).await;
    wait_for("release of the held-back orders", async || {
        let held_paths = fetch_json(&deployment, steward, "/fault").await;
        held_paths.as_array()?.is_empty().then_some(())
    })
    .await;
    // An order that was sent would arrive within this time.
    monoio::time::sleep(Duration::from_secs(3)).await;
    let history = fetch_orders(&deployment).await;
    check_orders(&history, "a");
    assert_eq!(history["stale"], 0, "an order of an old epoch was sent");
    check_engines(&deployment).await;
    assert_eq!(count_active(&deployment, "registry", "a").await, (1, 2));
}

#[test]
fn frozen_holder_resumed_mid_order() {
    link::runtime::run(check_resumed_mid_order("frozen", false)).unwrap();
}

#[test]
fn frozen_holder_resumed_mid_order_epochs_ignored() {
    link::runtime::run(check_resumed_mid_order("frozen-ignored", true)).unwrap();
}

#[test]
fn frozen_holder_order_in_flight() {
    let tree = Tree::new("frozen-sent", CONFIG);
    let mut plan = plan(&tree, 3, &["a"]).engines("notes", 2, &["a"]);
    let engines = plan
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.is_engine);
    engines.for_each(|endpoint| endpoint.class = "stable".to_string());
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_active(&deployment, "a", (1, 2)).await;
        let (old_holder, epoch) = wait_for("lease holder", async || {
            find_holder(&deployment, "orders_epoch", "a", None).await
        })
        .await;

        // The old holder knows version 2 and cannot order it yet. Without a
        // check of the lease, it would order it when it resumes.
        set_engine_faults(&deployment, json!({"outage": true})).await;
        let tag = put_weights(&deployment, 2, None).await;
        monoio::time::sleep(Duration::from_secs(2)).await;
        let before = count_order_calls(&deployment).await;
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        set_faults(
            &deployment,
            platform,
            json!({"latency_ms": 700, "reclaim": reclaim}),
        )
        .await;
        wait_for("order in flight", async || {
            (count_order_calls(&deployment).await > before).then_some(())
        })
        .await;
        deployment.vms[old_holder].steward.signal("STOP").unwrap();
        put_weights(&deployment, 3, Some(tag)).await;
        set_faults(&deployment, platform, json!({"reset": true})).await;

        let (new_holder, new_epoch) = wait_for("successor", async || {
            find_holder(&deployment, "orders_epoch", "a", Some(old_holder)).await
        })
        .await;
        assert!(
            new_holder != old_holder && new_epoch > epoch,
            "epoch {new_epoch} after {epoch}"
        );
        set_engine_faults(&deployment, json!({"reset": true})).await;
        wait_active(&deployment, "a", (1, 2)).await;
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        set_faults(&deployment, platform, json!({"reclaim": reclaim})).await;
        wait_for("order of the successor", async || {
            let orders = fetch_orders(&deployment).await;
            let mut list = orders["orders"].as_array()?.iter();
            list.any(|o| o["epoch"] == new_epoch).then_some(())
        })
        .await;

        wait_for("order for weights by the successor", async || {
            is_version_3_ordered(&deployment).await.then_some(())
        })
        .await;
        // Engines that are too slow to report their load leave the old holder
        // with its outdated view.
        set_engine_faults(&deployment, json!({"latency_ms": 1500})).await;
        deployment.vms[old_holder].steward.signal("CONT").unwrap();
        wait_active(&deployment, "a", (1, 2)).await;
        // Enough time for the old holder to send an order of its old epoch.
        monoio::time::sleep(Duration::from_secs(5)).await;
        set_engine_faults(&deployment, json!({"reset": true})).await;
        let history = fetch_orders(&deployment).await;
        check_orders(&history, "a");
        assert_eq!(history["stale"], 0, "an order of an old epoch was sent");
        check_engines(&deployment).await;
        assert_eq!(count_active(&deployment, "registry", "a").await, (1, 2));
    })
    .unwrap();
}

/// Counts the endpoints of a class of the service "registry" that orders have
/// started.
fn count_started(history: &Value, class: &str) -> usize {
    count_started_of(history, "registry", class)
}

/// Counts the endpoints of a class of `service` that orders have started.
fn count_started_of(history: &Value, service: &str, class: &str) -> usize {
    let orders = history["orders"].as_array().unwrap().iter();
    let start_orders =
        orders.filter(|o| o["service"] == service && o["class"] == class && o["action"] == "start");
    start_orders
        .map(|o| o["endpoints"].as_array().unwrap().len())
        .sum()
}

#[test]
fn lost_replies_never_duplicate_an_order() {
    // Nothing is out of stock, because a rejection whose reply is lost would
    // delay the other orders of the failure domain.
    let tree = Tree::new("lost", CONFIG_IN_STOCK);
    let plan = plan(&tree, 2, &["a"]);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_active(&deployment, "a", (1, 2)).await;
        // Every reply to an order is lost, and the endpoints that it starts
        // appear late in the list.
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        let switches = json!({
            "lost_reply": 1.0,
            "lost_reply_of": "POST /v1/orders",
            "endpoint_lag_ms": 6000,
            "reclaim": reclaim,
        });
        set_faults(&deployment, platform, switches).await;
        wait_for("order without a reply", async || {
            (count_started(&fetch_orders(&deployment).await, "cheap") >= 4).then_some(())
        })
        .await;
        // An abandoned order would be repeated well within this time.
        monoio::time::sleep(Duration::from_secs(10)).await;
        let history = fetch_orders(&deployment).await;
        assert_eq!(count_started(&history, "cheap"), 4, "{history:#}");

        let switches = json!({"lost_reply": 0.4, "lost_reply_of": null, "reclaim": reclaim});
        set_faults(&deployment, platform, switches).await;
        // Replies to this test's reads are lost too, so it reads again only
        // after the faults.
        monoio::time::sleep(Duration::from_secs(20)).await;
        set_faults(&deployment, platform, json!({"reset": true})).await;
        wait_active(&deployment, "a", (1, 2)).await;
        let history = fetch_orders(&deployment).await;
        check_orders(&history, "a");
        let counts = (
            count_started(&history, "stable"),
            count_started(&history, "cheap"),
        );
        assert_eq!(counts, (1, 6), "{history:#}");
    })
    .unwrap();
}

/// Reclaims an endpoint, and delays the order that replaces it by `transit_ms`.
/// Orders are rejected as in an outage from then on.
async fn delay_order(deployment: &Deployment, transit_ms: u64) {
    let switches = json!({
        "lost_reply": 1.0,
        "lost_reply_of": "POST /v1/orders",
        "transit_ms": transit_ms,
        "outage_after_lost_reply": true,
        "outage_of": "POST /v1/orders",
        "reclaim": {"failure_domain": "a", "notice_ms": 300},
    });
    set_faults(deployment, deployment.platform, switches).await;
    wait_for("order without a reply", async || {
        let faults = fetch_json(deployment, deployment.platform, "/fault").await;
        (faults["outage"] == true).then_some(())
    })
    .await;
}

/// Waits for the endpoint that replaces the reclaimed one, and checks that `time`
/// later no other one was started for it.
async fn check_not_replaced(deployment: &Deployment, time: Duration) {
    wait_for("order that is accepted", async || {
        (count_started(&fetch_orders(deployment).await, "cheap") >= 4).then_some(())
    })
    .await;
    monoio::time::sleep(time).await;
    let history = fetch_orders(deployment).await;
    check_orders(&history, "a");
    assert_eq!(count_started(&history, "cheap"), 4, "{history:#}");
}

#[test]
fn order_in_transit_is_not_replaced_in_the_same_epoch() {
    let tree = Tree::new("transit", CONFIG_IN_STOCK);
    let plan = plan(&tree, 1, &["a"]);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_active(&deployment, "a", (1, 2)).await;
        // The first order arrives when its sender has given it up.
        delay_order(&deployment, 8000).await;
        monoio::time::sleep(Duration::from_secs(4)).await;
        set_faults(&deployment, platform, json!({"reset": true})).await;
        check_not_replaced(&deployment, Duration::from_secs(10)).await;
    })
    .unwrap();
}

#[test]
fn order_in_transit_is_not_replaced_after_a_rejected_repeat() {
    let tree = Tree::new("transit-stock", CONFIG_IN_STOCK);
    let plan = plan(&tree, 1, &["a"]);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_active(&deployment, "a", (1, 2)).await;
        // The outage keeps the repeats from being handled before the stock is
        // gone.
        delay_order(&deployment, 15000).await;
        let stock = json!({"failure_domain": "a", "class": "cheap"});
        set_faults(
            &deployment,
            platform,
            json!({"reset": true, "out_of_stock": [stock]}),
        )
        .await;
        let before = count_order_calls(&deployment).await;
        wait_for("rejected repeat", async || {
            (count_order_calls(&deployment).await > before).then_some(())
        })
        .await;
        set_faults(&deployment, platform, json!({"reset": true})).await;
        check_not_replaced(&deployment, Duration::from_secs(15)).await;
    })
    .unwrap();
}

/// Starts one VM and one engine, and returns the deployment with the engine's
/// address.
async fn start_engine(tree: &Tree) -> (Deployment, SocketAddr) {
    let mut plan = plan(tree, 1, &["a"]).engines("notes", 1, &["a"]);
    let mut endpoints = plan.endpoints.iter_mut();
    let engine = endpoints.find(|endpoint| endpoint.is_engine).unwrap();
    engine.class = "stable".to_string();
    let deployment = start(&plan).await;
    wait_active(&deployment, "a", (1, 2)).await;
    let mut endpoints = deployment.endpoints.iter();
    let engine = endpoints.find(|endpoint| endpoint.plan.is_engine).unwrap();
    let address = engine.address;
    (deployment, address)
}

#[test]
fn weights_in_transit_do_not_replace_newer_ones() {
    let tree = Tree::new("weights-transit", CONFIG);
    link::runtime::run(async {
        let (deployment, engine) = start_engine(&tree).await;
        // The order for version 2 arrives after version 3 was loaded.
        let switches = json!({
            "lost_reply": 1.0,
            "lost_reply_of": "POST /v1/weights",
            "transit_ms": 8000,
            "outage_after_lost_reply": true,
            "outage_of": "POST /v1/weights",
        });
        set_faults(&deployment, engine, switches).await;
        let tag = put_weights(&deployment, 2, None).await;
        wait_for("order without a reply", async || {
            let faults = fetch_json(&deployment, engine, "/fault").await;
            (faults["outage"] == true).then_some(())
        })
        .await;
        put_weights(&deployment, 3, Some(tag)).await;
        set_faults(&deployment, engine, json!({"reset": true})).await;
        for version in [3, 2, 3] {
            wait_for(&format!("version {version}"), async || {
                let loaded = loaded_version(&deployment, engine).await;
                (loaded == Some(version)).then_some(())
            })
            .await;
        }
        assert_eq!(executed_orders(&deployment, engine).await.len(), 3);
    })
    .unwrap();
}

#[test]
fn weights_are_not_loaded_again_without_reports() {
    let tree = Tree::new("weights-silent", CONFIG);
    link::runtime::run(async {
        let (deployment, engine) = start_engine(&tree).await;
        // Too slow for reports of its load, not for an order.
        set_faults(&deployment, engine, json!({"latency_ms": 1500})).await;
        put_weights(&deployment, 2, None).await;
        wait_for("version 2", async || {
            let orders = executed_orders(&deployment, engine).await;
            (!orders.is_empty()).then_some(())
        })
        .await;
        // Enough time for a second order.
        monoio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(executed_orders(&deployment, engine).await.len(), 1);
    })
    .unwrap();
}

#[test]
fn order_that_arrived_in_a_backoff_does_not_delay_the_next() {
    let tree = Tree::new("transit-backoff", CONFIG_IN_STOCK);
    let mut plan = plan(&tree, 1, &["a"]);
    plan.platform.push("--gone-ms=60000".to_string());
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_active(&deployment, "a", (1, 2)).await;
        delay_order(&deployment, 12000).await;
        let stock = json!({"failure_domain": "a", "class": "cheap"});
        let switches = json!({"reset": true, "out_of_stock": [stock]});
        set_faults(&deployment, platform, switches).await;
        let before = count_order_calls(&deployment).await;
        // The third rejection is followed by the longest backoff, in which the
        // order arrives.
        wait_for("third rejection", async || {
            (count_order_calls(&deployment).await >= before + 3).then_some(())
        })
        .await;
        set_faults(&deployment, platform, json!({"reset": true})).await;
        wait_active(&deployment, "a", (1, 2)).await;
        // The backoff has ended.
        monoio::time::sleep(Duration::from_secs(12)).await;
        let count = async || {
            let history = fetch_orders(&deployment).await;
            let accepted = history["orders"].as_array().unwrap().len() as u64;
            (count_order_calls(&deployment).await, accepted)
        };
        let (calls, accepted) = count().await;
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        set_faults(&deployment, platform, json!({"reclaim": reclaim})).await;
        wait_for("replacement", async || {
            (count_started(&fetch_orders(&deployment).await, "cheap") >= 6).then_some(())
        })
        .await;
        // A repeat of a settled order is a call that orders nothing.
        let (calls_now, accepted_now) = count().await;
        assert_eq!(calls_now - calls, accepted_now - accepted);
    })
    .unwrap();
}

/// Waits until the intent of the failure domain names an order without a known
/// outcome beside the order sent last, and returns the intent.
async fn wait_for_unsettled_order(deployment: &Deployment) -> Value {
    wait_for("intent with an unsettled order", async || {
        let path = "/v1/objects/order-intent/a";
        let intent = fetch_json(deployment, deployment.platform, path).await;
        let is_named = intent["order"].is_object() && intent["unsettled"].is_array();
        is_named.then_some(intent)
    })
    .await
}

/// Ends the steward that holds the lease on orders by `signal`, and returns its
/// VM.
async fn end_holder(deployment: &Deployment, signal: &str) -> usize {
    let (holder, _) = wait_for("lease holder", async || {
        find_holder(deployment, "orders_epoch", "a", None).await
    })
    .await;
    let steward = &deployment.vms[holder].steward;
    steward.signal(signal).unwrap();
    holder
}

/// Ends the holder while its intent names an order that the platform accepts
/// afterwards, and that the list of endpoints shows only after the successor
/// has begun.
async fn check_unsettled_order_taken_over(name: &str, signal: &str) {
    let tree = Tree::new(name, CONFIG_TWO_CHEAP);
    let mut plan = add_spares(plan(&tree, 3, &["a"]), "other", "a", "cheap", 4);
    plan.platform.push("--gone-ms=60000".to_string());
    let deployment = start(&plan).await;
    let platform = deployment.platform;
    wait_active(&deployment, "a", (1, 2)).await;
    delay_order(&deployment, 6000).await;
    let stock = json!({"failure_domain": "a", "class": "cheap"});
    let switches = json!({"reset": true, "out_of_stock": [stock]});
    set_faults(&deployment, platform, switches).await;
    let intent = wait_for_unsettled_order(&deployment).await;
    let old_holder = end_holder(&deployment, signal).await;
    let switches = json!({"reset": true, "endpoint_lag_ms": 8000});
    set_faults(&deployment, platform, switches).await;
    let unsettled = &intent["unsettled"][0];
    assert_eq!(unsettled["service"], "other", "{intent:#}");
    let history = fetch_orders(&deployment).await;
    assert_eq!(
        count_started_of(&history, "other", "cheap"),
        1,
        "{history:#}"
    );

    wait_for("orders of the successor", async || {
        let history = fetch_orders(&deployment).await;
        (count_started(&history, "cheap") >= 4).then_some(())
    })
    .await;
    let steward = &deployment.vms[old_holder].steward;
    if signal == "STOP" {
        steward.signal("CONT").unwrap();
    }
    // An endpoint that is missing from the plan would be ordered within this
    // time.
    monoio::time::sleep(Duration::from_secs(20)).await;
    let history = fetch_orders(&deployment).await;
    check_orders(&history, "a");
    let counts = (
        count_started_of(&history, "other", "cheap"),
        count_started(&history, "cheap"),
    );
    assert_eq!(counts, (2, 4), "{history:#}");
    let orders = history["orders"].as_array().unwrap();
    assert!(
        orders.iter().any(|o| o["key"] == unsettled["key"]),
        "{history:#}"
    );
    assert_eq!(count_active(&deployment, "other", "a").await, (1, 1));
    assert_eq!(count_active(&deployment, "registry", "a").await, (1, 2));
}

#[test]
fn unsettled_order_of_killed_holder_is_looked_up() {
    link::runtime::run(check_unsettled_order_taken_over("unsettled-killed", "KILL")).unwrap();
}

#[test]
fn unsettled_order_of_frozen_holder_is_looked_up() {
    link::runtime::run(check_unsettled_order_taken_over("unsettled-frozen", "STOP")).unwrap();
}

/// Kills the holder while its order is delayed by `transit_ms`, and waits for a
/// successor.
async fn succeed_during_transit(deployment: &Deployment, transit_ms: u64, switches: Value) {
    wait_active(deployment, "a", (1, 2)).await;
    delay_order(deployment, transit_ms).await;
    let old_holder = end_holder(deployment, "KILL").await;
    set_faults(deployment, deployment.platform, switches).await;
    wait_for("successor", async || {
        find_holder(deployment, "orders_epoch", "a", Some(old_holder)).await
    })
    .await;
    let history = fetch_orders(deployment).await;
    assert_eq!(count_started(&history, "cheap"), 2, "{history:#}");
}

#[test]
fn order_in_transit_is_not_replaced_by_a_successor_in_an_outage() {
    let tree = Tree::new("transit-outage", CONFIG_IN_STOCK);
    let mut plan = plan(&tree, 3, &["a"]);
    plan.platform.push("--gone-ms=60000".to_string());
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        // The order arrives after its look-up by the successor, whose own orders
        // are rejected until then. The list of endpoints shows it later.
        let lag = json!({"endpoint_lag_ms": 8000});
        succeed_during_transit(&deployment, 18000, lag).await;
        wait_for("arrival of the order", async || {
            (count_started(&fetch_orders(&deployment).await, "cheap") >= 4).then_some(())
        })
        .await;
        let switches = json!({"reset": true, "endpoint_lag_ms": 8000});
        set_faults(&deployment, platform, switches).await;
        check_not_replaced(&deployment, Duration::from_secs(15)).await;
    })
    .unwrap();
}

/// Lets an order arrive after the successor has ordered what it was for.
async fn check_late_order(name: &str, ignores_epochs: bool) {
    let tree = Tree::new(name, CONFIG_IN_STOCK);
    let plan = plan(&tree, 3, &["a"]);
    let deployment = start(&plan).await;
    let switches = json!({"reset": true, "ignore_epochs": ignores_epochs});
    succeed_during_transit(&deployment, 20000, switches).await;
    check_not_replaced(&deployment, Duration::from_secs(20)).await;
    assert_eq!(count_active(&deployment, "registry", "a").await, (1, 2));
}

#[test]
fn order_in_transit_arrives_after_order_of_successor() {
    link::runtime::run(check_late_order("late", false)).unwrap();
}

#[test]
fn order_in_transit_arrives_after_order_of_successor_epochs_ignored() {
    link::runtime::run(check_late_order("late-ignored", true)).unwrap();
}

#[test]
fn rejected_order_of_predecessor_is_not_repeated_with_its_count() {
    let tree = Tree::new("rejected-count", CONFIG_IN_STOCK);
    let mut plan = plan(&tree, 3, &["a"]);
    plan.platform.push("--gone-ms=60000".to_string());
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let platform = deployment.platform;
        wait_active(&deployment, "a", (1, 2)).await;
        let stock = json!({"failure_domain": "a", "class": "cheap"});
        let reclaim = json!({"failure_domain": "a", "notice_ms": 300});
        let switches = json!({"out_of_stock": [stock], "reclaim": reclaim});
        let before = count_order_calls(&deployment).await;
        set_faults(&deployment, platform, switches).await;
        wait_for("rejected order", async || {
            (count_order_calls(&deployment).await > before).then_some(())
        })
        .await;
        let old_holder = end_holder(&deployment, "KILL").await;
        let fewer = CONFIG_IN_STOCK.replace("cheap = 2", "cheap = 1");
        fs::write(deployment.tree.join("tarragonseam.toml"), fewer).unwrap();
        control_support::publish(&deployment);
        set_faults(&deployment, platform, json!({"reset": true})).await;
        wait_for("successor", async || {
            find_holder(&deployment, "orders_epoch", "a", Some(old_holder)).await
        })
        .await;
        wait_for("order of the successor", async || {
            (count_started(&fetch_orders(&deployment).await, "cheap") >= 3).then_some(())
        })
        .await;
        let history = fetch_orders(&deployment).await;
        assert_eq!(count_started(&history, "cheap"), 3, "{history:#}");
    })
    .unwrap();
}

#[test]
fn out_of_stock_backs_off_and_is_replaced_elsewhere() {
    let tree = Tree::new("stock", CONFIG);
    let plan = plan(&tree, 2, &["a", "b"]);
    link::runtime::run(async {
        let deployment = Deployment::start(std::path::Path::new(control_support::PROGRAM), &plan)
            .await
            .unwrap();
        let stock = json!({"failure_domain": "a", "class": "cheap"});
        set_faults(
            &deployment,
            deployment.platform,
            json!({"out_of_stock": [stock]}),
        )
        .await;
        control_support::publish(&deployment);
        wait_active(&deployment, "a", (1, 0)).await;
        wait_active(&deployment, "b", (1, 4)).await;
        wait_for("endpoint of the other service", async || {
            (count_active(&deployment, "other", "a").await == (1, 0)).then_some(())
        })
        .await;
        let before = count_order_calls(&deployment).await;
        monoio::time::sleep(Duration::from_secs(12)).await;
        let orders_sent = count_order_calls(&deployment).await - before;
        assert!(
            orders_sent <= 4,
            "{orders_sent} orders in 12 s for a class that is out of stock"
        );
        check_orders(&fetch_orders(&deployment).await, "a");
    })
    .unwrap();
}
