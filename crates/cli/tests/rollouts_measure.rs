//! Experiments that print their figures as JSON; they judge nothing. Run one
//! with `cargo test --release -p tarragonseam-cli --test rollouts_measure NAME
//! -- --ignored --nocapture`.

mod rollouts_support;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use fakes::deployment::Plan;
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
    plan.backs.clear();
    let mut plan = plan.engines("tasting-notes", engines, &DOMAINS);
    plan.weights = vec![
        format!("--transfer-ms={TRANSFER_MS}"),
        format!("--concurrent={TRANSFERS}"),
    ];
    for back in &mut plan.backs {
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
