//! Experiments that print their figures as JSON and check no bounds. Run one
//! with `cargo test --release -p tarragonseam-cli --test rollouts_measure NAME
//! -- --ignored --nocapture`.

mod common;
mod rollouts_support;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use fakes::{deployment::Plan, metrics};
use link::http::client::Call;
use rand::{SeedableRng, rngs::StdRng};
use rollouts_support::run::{self, FAILURE_DOMAINS, Fixture};
use serde_json::{Value, json};

/// Returns the load average of the last minute.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_string()
}

async fn fetch_json(fixture: &Fixture, address: std::net::SocketAddr, path: &str) -> Value {
    let answer = fixture.deployment.pool.fetch(address, Call::get(path));
    serde_json::from_slice(&answer.await.unwrap().body).unwrap()
}

const TRANSFER_MS: u64 = 200;
const TRANSFERS_MAX: u64 = 4;
const LOAD_MS: u64 = 100;

/// Returns how long each of several new versions takes until all of `engines`
/// engines have loaded it, in milliseconds.
async fn rollout_times(engines: usize) -> Vec<u64> {
    let mut plan: Plan = run::plan(3);
    plan.endpoints.clear();
    let mut plan = plan.engines("tasting-notes", engines, &FAILURE_DOMAINS);
    plan.weights = vec![
        format!("--transfer-ms={TRANSFER_MS}"),
        format!("--concurrent={TRANSFERS_MAX}"),
    ];
    for endpoint in &mut plan.endpoints {
        endpoint.arguments = vec![format!("--load-ms={LOAD_MS}"), "--report-lag-ms=0".into()];
    }
    let fixture = Fixture::start(&plan, 2).await;
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    // Leases are acquired shortly after the start, so the first version is not
    // timed.
    fixture.publish_weights(&rng, 2).await;
    wait_version(&fixture, 2).await;
    let mut times = Vec::new();
    for version in 3..6 {
        fixture.publish_weights(&rng, version).await;
        let start = Instant::now();
        wait_version(&fixture, version).await;
        times.push(start.elapsed().as_millis() as u64);
    }
    times
}

async fn wait_version(fixture: &Fixture, version: u64) {
    for endpoint in &fixture.deployment.endpoints {
        loop {
            let load = fetch_json(fixture, endpoint.address, "/v1/load").await;
            if load["versions"]["tasting-notes"] == version {
                break;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[test]
#[ignore = "an experiment"]
fn measure_weights() {
    let mut rows = Vec::new();
    for engines in [6, 12, 24] {
        let bound = engines as u64 * TRANSFER_MS / TRANSFERS_MAX + LOAD_MS;
        let times = link::runtime::run(rollout_times(engines)).unwrap();
        rows.push(json!({"engines": engines, "bound_ms": bound, "times_ms": times}));
    }
    let settings =
        json!({"transfer_ms": TRANSFER_MS, "transfers_at_once": TRANSFERS_MAX, "load_ms": LOAD_MS});
    println!(
        "{}",
        json!({"load_average": load_average(), "settings": settings, "rollouts": rows})
    );
}

/// Counts the calls for objects on the platform, by kind and method, while one
/// step with `groups_per_lot` groups in each lot is produced, drawn and
/// acknowledged.
async fn measure_step(groups_per_lot: u32, words: usize) -> Value {
    let mut plan = run::plan(3);
    let folder = std::env::temp_dir().join(format!("tarragonseam-measure-{}", std::process::id()));
    for vm in &mut plan.vms {
        vm.entry_settings = format!("data = \"{}\"\n", folder.join(&vm.id).display());
    }
    let fixture = Fixture::start(&plan, groups_per_lot).await;
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    let lots = u64::from(run::EXPECTED.groups / groups_per_lot);
    let before = count_object_calls(&fixture).await;
    let start = Instant::now();
    fixture.declare(&rng, 0, words).await;
    let mut lot_ms = Vec::new();
    for lot in 0..lots {
        fixture.draw(&rng, lot).await;
        lot_ms.push(start.elapsed().as_millis() as u64);
        fixture.acknowledge(&rng, 0, lot).await;
    }
    let after = count_object_calls(&fixture).await;
    let calls: BTreeMap<_, _> = after
        .into_iter()
        .map(|(kind, count)| {
            (
                kind.clone(),
                count - before.get(&kind).copied().unwrap_or_default(),
            )
        })
        .collect();
    // A folder that cannot be removed costs only disk space.
    let _ = std::fs::remove_dir_all(folder);
    let samples = groups_per_lot * run::EXPECTED.group_size;
    json!({"samples_a_lot": samples, "prompt_words": words, "lots": lots, "calls": calls, "drawn_after_ms": lot_ms})
}

/// Returns the counts of calls that the entry daemons make. The stewards' calls
/// are left out because they continue independently of the step.
async fn count_object_calls(fixture: &Fixture) -> BTreeMap<String, u64> {
    let stats = fetch_json(fixture, fixture.deployment.platform, "/stats").await;
    let calls: BTreeMap<String, u64> =
        serde_json::from_value(stats["calls"].clone()).unwrap_or_default();
    calls
        .into_iter()
        .filter(|(kind, _)| kind.contains("/v1/objects") || kind.contains("/v1/vms"))
        .collect()
}

#[test]
#[ignore = "an experiment"]
fn measure_calls() {
    let mut rows = Vec::new();
    for (groups_per_lot, words) in [(1, 0), (2, 0), (4, 0), (8, 0), (4, 15_000)] {
        rows.push(link::runtime::run(measure_step(groups_per_lot, words)).unwrap());
    }
    println!("{}", json!({"load_average": load_average(), "steps": rows}));
}

/// Time that the trainer spends on each lot.
const TRAIN_MS: u64 = 250;
const STEP_COUNT: u64 = 16;
/// How many engines run at a tenth of the speed of the others.
const SLOW_ENGINE_COUNT: usize = 1;
const ENGINE_COUNT: usize = 9;

/// Draws steps one after the other while one engine is slow and another is cut
/// off from time to time. Each step is declared `steps_ahead` steps before the
/// trainer reaches it.
async fn run_with_stragglers(rerun_percent: u32, steps_ahead: u64) -> Value {
    let mut plan = run::plan(3);
    plan.endpoints.clear();
    let mut plan = plan.engines("tasting-notes", ENGINE_COUNT, &FAILURE_DOMAINS);
    for endpoint in plan.endpoints.iter_mut().take(SLOW_ENGINE_COUNT) {
        endpoint.arguments.push("--tokens-per-s=40".to_string());
    }
    let fixture = Fixture::start_with(&plan, 2, |text| {
        text.replace(
            "max_staleness = 2",
            &format!("max_staleness = 2\nrerun_percent = {rerun_percent}"),
        )
    })
    .await;
    let faults = fixture.clone();
    monoio::spawn(async move { cut_engines(&faults).await });
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    let start = Instant::now();
    let mut waiting_time = Duration::ZERO;
    let mut lot_ms = Vec::new();
    let mut samples_by_age: BTreeMap<u64, u64> = BTreeMap::new();
    let mut next_step = 0;
    let mut declared_at = Vec::new();
    for step in 0..STEP_COUNT {
        let version = step + 2;
        fixture.publish_weights(&rng, version).await;
        while next_step < STEP_COUNT && next_step <= step + steps_ahead {
            declared_at.push(Instant::now());
            fixture.declare(&rng, next_step, 0).await;
            next_step += 1;
        }
        let declared = declared_at[step as usize];
        for lot in step * 4..step * 4 + 4 {
            let requested_at = Instant::now();
            let draw = fixture.draw(&rng, lot).await;
            waiting_time += requested_at.elapsed();
            lot_ms.push(declared.elapsed().as_millis() as u64);
            for sample in &draw.lot.samples {
                let oldest = board::lot::oldest_version(&sample.spans).unwrap();
                *samples_by_age.entry(version - oldest).or_default() += 1;
            }
            monoio::time::sleep(Duration::from_millis(TRAIN_MS)).await;
            fixture.acknowledge(&rng, 0, lot).await;
        }
    }
    let total = start.elapsed();
    lot_ms.sort_unstable();
    json!({
        "rerun_percent": rerun_percent,
        "steps_ahead": steps_ahead,
        "steps": STEP_COUNT,
        "idle_share": waiting_time.as_secs_f64() / total.as_secs_f64(),
        "lot_ms": {"p50": lot_ms[lot_ms.len() / 2], "p99": lot_ms[lot_ms.len() * 99 / 100]},
        "samples_by_versions_behind": samples_by_age,
        "counters": sum_counters(&fixture).await,
    })
}

/// Makes one engine after another unreachable for three of every twenty
/// seconds.
async fn cut_engines(fixture: &Fixture) {
    let others = fixture.deployment.endpoints.iter().skip(SLOW_ENGINE_COUNT);
    for endpoint in others.cycle() {
        monoio::time::sleep(Duration::from_secs(17)).await;
        fixture
            .set_faults(endpoint.address, json!({"gone": true}))
            .await;
        monoio::time::sleep(Duration::from_secs(3)).await;
        fixture
            .set_faults(endpoint.address, json!({"gone": false}))
            .await;
    }
}

/// Returns counters of samples and wasted tokens, summed over all VMs.
async fn sum_counters(fixture: &Fixture) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for vm in &fixture.deployment.vms {
        let call = fixture
            .deployment
            .pool
            .fetch(vm.entry_admin, Call::get("/metrics"));
        let text = call.await.unwrap().body;
        let text = String::from_utf8_lossy(&text).into_owned();
        let wanted = [
            "tarragonseam_samples_total",
            "tarragonseam_wasted_tokens_total",
        ];
        for sample in metrics::samples(&text).filter(|sample| wanted.contains(&sample.name())) {
            let label = sample.series.split('"').nth(1).unwrap_or_default();
            *sums
                .entry(format!("{} {label}", sample.name()))
                .or_default() += sample.count().unwrap_or(0);
        }
    }
    sums
}

#[test]
#[ignore = "an experiment"]
fn measure_stragglers() {
    let rows: Vec<_> = [(0, 0), (10, 0), (0, 1), (10, 1)]
        .into_iter()
        .map(|(percent, steps_ahead)| {
            link::runtime::run(run_with_stragglers(percent, steps_ahead)).unwrap()
        })
        .collect();
    let settings = json!({"engines": ENGINE_COUNT, "slow_engines": SLOW_ENGINE_COUNT, "slow_factor": 10, "train_ms_a_lot": TRAIN_MS});
    println!(
        "{}",
        json!({"load_average": load_average(), "settings": settings, "runs": rows})
    );
}
