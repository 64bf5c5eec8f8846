//! Experiments that print their figures as JSON; they judge nothing. Run one
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
use rollouts_support::run::{self, Bench, DOMAINS};
use serde_json::{Value, json};

/// Returns the load average of the last minute.
fn load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_string()
}

async fn get(bench: &Bench, address: std::net::SocketAddr, path: &str) -> Value {
    let answer = bench.deployment.pool.fetch(address, Call::get(path));
    serde_json::from_slice(&answer.await.unwrap().body).unwrap()
}

const TRANSFER_MS: u64 = 200;
const TRANSFERS: u64 = 4;
const LOAD_MS: u64 = 100;

/// Returns how long a new version takes to be on all of `engines`, in
/// milliseconds, one figure a version.
async fn rollout_times(engines: usize) -> Vec<u64> {
    let mut plan: Plan = run::plan(3);
    plan.endpoints.clear();
    let mut plan = plan.engines("tasting-notes", engines, &DOMAINS);
    plan.weights = vec![
        format!("--transfer-ms={TRANSFER_MS}"),
        format!("--concurrent={TRANSFERS}"),
    ];
    for back in &mut plan.endpoints {
        back.arguments = vec![format!("--load-ms={LOAD_MS}"), "--report-lag-ms=0".into()];
    }
    let bench = Bench::start(&plan, 2).await;
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    // Leases are taken a moment after the start.
    bench.raise_weights(&rng, 2).await;
    wait_version(&bench, 2).await;
    let mut times = Vec::new();
    for version in 3..6 {
        bench.raise_weights(&rng, version).await;
        let start = Instant::now();
        wait_version(&bench, version).await;
        times.push(start.elapsed().as_millis() as u64);
    }
    times
}

async fn wait_version(bench: &Bench, version: u64) {
    for endpoint in &bench.deployment.endpoints {
        loop {
            let load = get(bench, endpoint.address, "/v1/load").await;
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
        let bound = engines as u64 * TRANSFER_MS / TRANSFERS + LOAD_MS;
        let times = link::runtime::run(rollout_times(engines)).unwrap();
        rows.push(json!({"engines": engines, "bound_ms": bound, "times_ms": times}));
    }
    let settings =
        json!({"transfer_ms": TRANSFER_MS, "transfers_at_once": TRANSFERS, "load_ms": LOAD_MS});
    println!(
        "{}",
        json!({"load_average": load(), "settings": settings, "rollouts": rows})
    );
}

/// Counts the platform's calls for objects by kind and method while one step
/// of `groups_per_lot` groups a lot is produced, drawn and acknowledged.
async fn calls(groups_per_lot: u32, words: usize) -> Value {
    let mut plan = run::plan(3);
    let folder = std::env::temp_dir().join(format!("tarragonseam-measure-{}", std::process::id()));
    for vm in &mut plan.vms {
        vm.entry_settings = format!("data = \"{}\"\n", folder.join(&vm.id).display());
    }
    let bench = Bench::start(&plan, groups_per_lot).await;
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    let lots = u64::from(run::EXPECTED.groups / groups_per_lot);
    let before = object_calls(&bench).await;
    let start = Instant::now();
    bench.declare(&rng, 0, words).await;
    let mut lot_ms = Vec::new();
    for lot in 0..lots {
        bench.draw(&rng, lot).await;
        lot_ms.push(start.elapsed().as_millis() as u64);
        bench.acknowledge(&rng, 0, lot).await;
    }
    let after = object_calls(&bench).await;
    let spent: BTreeMap<_, _> = after
        .into_iter()
        .map(|(kind, count)| {
            (
                kind.clone(),
                count - before.get(&kind).copied().unwrap_or_default(),
            )
        })
        .collect();
    // What is left behind costs only disk space.
    let _ = std::fs::remove_dir_all(folder);
    let samples = groups_per_lot * run::EXPECTED.group;
    json!({"samples_a_lot": samples, "prompt_words": words, "lots": lots, "calls": spent, "drawn_after_ms": lot_ms})
}

/// Calls of the entry daemons; those of the stewards go on by themselves.
async fn object_calls(bench: &Bench) -> BTreeMap<String, u64> {
    let stats = get(bench, bench.deployment.platform, "/stats").await;
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
        rows.push(link::runtime::run(calls(groups_per_lot, words)).unwrap());
    }
    println!("{}", json!({"load_average": load(), "steps": rows}));
}

/// Time that the trainer spends on a lot.
const TRAIN_MS: u64 = 250;
const STEPS: u64 = 16;
/// One engine in ten is this many times slower than the others.
const SLOW_ENGINES: usize = 1;
const ENGINES: usize = 9;

/// Draws steps one after the other while one engine is slow and another is
/// cut off now and then. Each step is declared `ahead` steps before the trainer
/// comes to it.
async fn stragglers(rerun_percent: u32, ahead: u64) -> Value {
    let mut plan = run::plan(3);
    plan.endpoints.clear();
    let mut plan = plan.engines("tasting-notes", ENGINES, &DOMAINS);
    for back in plan.endpoints.iter_mut().take(SLOW_ENGINES) {
        back.arguments.push("--tokens-per-s=40".to_string());
    }
    let bench = Bench::start_with(&plan, 2, |text| {
        text.replace(
            "max_staleness = 2",
            &format!("max_staleness = 2\nrerun_percent = {rerun_percent}"),
        )
    })
    .await;
    let faults = bench.clone();
    monoio::spawn(async move { cut_engines(&faults).await });
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    let start = Instant::now();
    let mut waited = Duration::ZERO;
    let mut lot_ms = Vec::new();
    let mut ages: BTreeMap<u64, u64> = BTreeMap::new();
    let mut next = 0;
    let mut declared_at = Vec::new();
    for step in 0..STEPS {
        let version = step + 2;
        bench.raise_weights(&rng, version).await;
        while next < STEPS && next <= step + ahead {
            declared_at.push(Instant::now());
            bench.declare(&rng, next, 0).await;
            next += 1;
        }
        let declared = declared_at[step as usize];
        for lot in step * 4..step * 4 + 4 {
            let asked = Instant::now();
            let draw = bench.draw(&rng, lot).await;
            waited += asked.elapsed();
            lot_ms.push(declared.elapsed().as_millis() as u64);
            for sample in &draw.lot.samples {
                let oldest = board::lot::oldest_version(&sample.spans).unwrap();
                *ages.entry(version - oldest).or_default() += 1;
            }
            monoio::time::sleep(Duration::from_millis(TRAIN_MS)).await;
            bench.acknowledge(&rng, 0, lot).await;
        }
    }
    let total = start.elapsed();
    lot_ms.sort_unstable();
    json!({
        "rerun_percent": rerun_percent,
        "steps_ahead": ahead,
        "steps": STEPS,
        "idle_share": waited.as_secs_f64() / total.as_secs_f64(),
        "lot_ms": {"p50": lot_ms[lot_ms.len() / 2], "p99": lot_ms[lot_ms.len() * 99 / 100]},
        "samples_by_versions_behind": ages,
        "counters": counters(&bench).await,
    })
}

/// Takes one engine away for three seconds of each twenty.
async fn cut_engines(bench: &Bench) {
    let others = bench.deployment.endpoints.iter().skip(SLOW_ENGINES);
    for endpoint in others.cycle() {
        monoio::time::sleep(Duration::from_secs(17)).await;
        bench.fault(endpoint.address, json!({"gone": true})).await;
        monoio::time::sleep(Duration::from_secs(3)).await;
        bench.fault(endpoint.address, json!({"gone": false})).await;
    }
}

/// Returns counters of samples and wasted tokens, summed over all VMs.
async fn counters(bench: &Bench) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for vm in &bench.deployment.vms {
        let call = bench
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
        .map(|(percent, ahead)| link::runtime::run(stragglers(percent, ahead)).unwrap())
        .collect();
    let settings = json!({"engines": ENGINES, "slow_engines": SLOW_ENGINES, "slow_factor": 10, "train_ms_a_lot": TRAIN_MS});
    println!(
        "{}",
        json!({"load_average": load(), "settings": settings, "runs": rows})
    );
}
