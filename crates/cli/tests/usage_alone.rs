//! Usage records of a VM that no other VM holds copies for.

use std::{
    path::Path,
    process::Command,
    rc::Rc,
    time::{Duration, Instant},
};

use fakes::{
    deployment::{Deployment, Plan},
    metrics,
};
use link::http::client::Call;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_tarragonseam");
const TREE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/cider-festival");

/// More than the records of one message to a holder.
const CALLS: usize = 4_200;
const CALLERS: usize = 32;

/// A window that no run sees the end of.
const ENDLESS: Duration = Duration::from_secs(800_000_000);

/// Records in memory, of which one stands for all requests of an account and
/// window and waits to be sent.
const OPEN_MAX: u64 = 2;

/// Longer than any run that is well.
const PATIENCE: Duration = Duration::from_secs(60);

const ANSWERED: &str = "tarragonseam_requests_total{kind=\"route\",";
const RECORDS: &str = "tarragonseam_usage_records_total{";
const OPEN: &str = "tarragonseam_usage_open_records{";

fn plan(window: Duration) -> Plan {
    let mut plan = Plan::new(TREE)
        .vms(1, &["a"])
        .services("entry-registry", 1, &["a"]);
    plan.endpoints[0].arguments = vec!["--service-ms=0".into(), "--slots=64".into()];
    plan.window = window;
    plan
}

async fn start(plan: &Plan) -> Rc<Deployment> {
    let deployment = Deployment::start(Path::new(PROGRAM), plan).await.unwrap();
    let output = Command::new(PROGRAM)
        .arg("publish")
        .arg(&deployment.tree)
        .arg(format!("--platform={}", deployment.platform))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    deployment.wait_ready().await.unwrap();
    let entry = deployment.vms[0].callers;
    let answered = deployment.wait_status(entry, "/entries/1", 200).await;
    answered.unwrap();
    Rc::new(deployment)
}

/// Sends [`CALLS`] calls, each of which has to be answered.
async fn call_many(deployment: &Rc<Deployment>) {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let deployment = deployment.clone();
            monoio::spawn(async move {
                for _ in 0..CALLS.div_ceil(CALLERS) {
                    let call = Call::get("/entries/4711").deadline(PATIENCE);
                    let entry = deployment.vms[0].callers;
                    let answer = deployment.pool.fetch(entry, call).await.unwrap();
                    assert_eq!(answer.status, 200);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await;
    }
}

/// Returns the sum of the entry daemon's metrics whose line starts with `name`
/// and has `part`.
async fn metric(deployment: &Deployment, name: &str, part: &str) -> Option<u64> {
    let admin = deployment.vms[0].entry_admin;
    let text = deployment.pool.fetch(admin, Call::get("/metrics")).await;
    let text = String::from_utf8(text.unwrap().body.to_vec()).unwrap();
    let samples = metrics::samples(&text);
    samples
        .filter(|sample| sample.series.starts_with(name) && sample.series.contains(part))
        .map(|sample| sample.count().unwrap())
        .reduce(|sum, value| sum + value)
}

async fn until(what: &str, mut is_met: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !is_met().await {
        assert!(start.elapsed() < PATIENCE, "{what} not in time");
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the requests that were reported to the platform.
async fn reported(deployment: &Deployment) -> u64 {
    let call = Call::get("/v1/usage");
    let answer = deployment.pool.fetch(deployment.platform, call).await;
    let usage: Value = serde_json::from_slice(&answer.unwrap().body).unwrap();
    assert_eq!(usage["violations"], 0, "{usage:#}");
    let reports = usage["reports"].as_array().unwrap().iter();
    let lines = reports.flat_map(|report| report["figures"].as_array().unwrap());
    lines.map(|line| line["requests"].as_u64().unwrap()).sum()
}

#[test]
fn bill_many_records_without_holder() {
    link::runtime::run(async {
        let deployment = start(&plan(ENDLESS)).await;
        call_many(&deployment).await;
        // No answer waits for a holder, as there is none.
        let waited = metric(&deployment, RECORDS, "result=\"not-held-in-time\"").await;
        assert_eq!(waited, None);
        let not_held = metric(&deployment, RECORDS, "result=\"not-held\"").await;
        assert!(not_held >= Some(CALLS as u64), "{not_held:?}");
        until("records added up", async || {
            let open = metric(&deployment, OPEN, "").await;
            open.is_some_and(|open| (1..=OPEN_MAX).contains(&open))
        })
        .await;
    })
    .unwrap();
}

#[test]
fn report_many_records_without_holder() {
    link::runtime::run(async {
        let deployment = start(&plan(Duration::from_secs(2))).await;
        call_many(&deployment).await;
        let answered = metric(&deployment, ANSWERED, "result=\"answered\"").await;
        assert!(answered >= Some(CALLS as u64), "{answered:?}");
        until("all records reported and forgotten", async || {
            let reported = reported(&deployment).await;
            assert!(Some(reported) <= answered, "{reported} of {answered:?}");
            Some(reported) == answered && metric(&deployment, OPEN, "").await == Some(0)
        })
        .await;
    })
    .unwrap();
}
