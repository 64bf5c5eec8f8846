//! Usage records of a VM when no other VM holds copies of them.

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
const FESTIVAL_TREE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/cider-festival");

/// More calls than one message to a copy holder can contain records.
const CALL_COUNT: usize = 4_200;
const CALLER_COUNT: usize = 32;

/// A usage window that does not end during a run.
const ENDLESS_WINDOW: Duration = Duration::from_secs(800_000_000);

/// Records that may stay in memory. Each adds up all requests of an account and
/// a window until it is sent.
const OPEN_RECORDS_MAX: u64 = 2;

/// The timeout of each wait, longer than a healthy run takes.
const WAIT_MAX: Duration = Duration::from_secs(60);

const ANSWERED_METRIC: &str = "tarragonseam_requests_total{kind=\"route\",";
const RECORDS_METRIC: &str = "tarragonseam_usage_records_total{";
const OPEN_METRIC: &str = "tarragonseam_usage_open_records{";

fn plan(window: Duration) -> Plan {
    let mut plan = Plan::new(FESTIVAL_TREE)
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

/// Sends at least [`CALL_COUNT`] calls, each of which must be answered.
async fn call_many(deployment: &Rc<Deployment>) {
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|_| {
            let deployment = deployment.clone();
            monoio::spawn(async move {
                for _ in 0..CALL_COUNT.div_ceil(CALLER_COUNT) {
                    let call = Call::get("/entries/4711").deadline(WAIT_MAX);
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
/// and contains `label`.
async fn sum_metric(deployment: &Deployment, name: &str, label: &str) -> Option<u64> {
    let admin = deployment.vms[0].entry_admin;
    let text = deployment.pool.fetch(admin, Call::get("/metrics")).await;
    let text = String::from_utf8(text.unwrap().body.to_vec()).unwrap();
    let samples = metrics::samples(&text);
    samples
        .filter(|sample| sample.series.starts_with(name) && sample.series.contains(label))
        .map(|sample| sample.count().unwrap())
        .reduce(|sum, value| sum + value)
}

async fn wait_until(description: &str, mut is_true: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !is_true().await {
        assert!(start.elapsed() < WAIT_MAX, "timed out: {description}");
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the number of requests that were reported to the platform.
async fn count_reported(deployment: &Deployment) -> u64 {
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
        let deployment = start(&plan(ENDLESS_WINDOW)).await;
        call_many(&deployment).await;
        // No answer waits for a copy holder, because there is none.
        let waited = sum_metric(&deployment, RECORDS_METRIC, "result=\"not-held-in-time\"").await;
        assert_eq!(waited, None);
        let not_held = sum_metric(&deployment, RECORDS_METRIC, "result=\"not-held\"").await;
        assert!(not_held >= Some(CALL_COUNT as u64), "{not_held:?}");
        wait_until("requests added up in few records", async || {
            let open = sum_metric(&deployment, OPEN_METRIC, "").await;
            open.is_some_and(|open| (1..=OPEN_RECORDS_MAX).contains(&open))
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
        let answered = sum_metric(&deployment, ANSWERED_METRIC, "result=\"answered\"").await;
        assert!(answered >= Some(CALL_COUNT as u64), "{answered:?}");
        wait_until("all records reported and discarded", async || {
            let reported = count_reported(&deployment).await;
            assert!(Some(reported) <= answered, "{reported} of {answered:?}");
            Some(reported) == answered && sum_metric(&deployment, OPEN_METRIC, "").await == Some(0)
        })
        .await;
    })
    .unwrap();
}
