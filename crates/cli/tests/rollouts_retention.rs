//! Deletion of what is no longer needed, by real processes under faults.

mod common;
mod control_setup;
mod rollouts_support;

use std::{
    cell::RefCell,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use board::{
    lot::{Content, Manifest},
    retention::{CLAIM_KIND, LOT_KIND, PART_KIND, STEP_KIND},
    usage,
};
use control_setup::{PATIENCE, get, holder, until};
use link::{
    http::client::Call,
    platform::{Client, Condition},
};
use rand::{SeedableRng, rngs::StdRng};
use rollouts_support::{
    faults,
    run::{self, Bench},
};
use serde_json::json;

/// Lots of the first step, all of which are acknowledged.
const OLD: std::ops::Range<u64> = 0..4;
/// A lot that is drawn and not acknowledged.
const LAST: u64 = 4;

/// Starts a deployment that keeps little, with a folder for bulk data on each
/// VM below `data`, if given.
async fn start_with(data: Option<&Path>, groups_per_lot: u32) -> (Rc<Bench>, Client) {
    let mut plan = run::plan(3);
    for vm in &mut plan.vms {
        vm.steward_settings = "keep_lots_ms = 800\nkeep_windows_ms = 1000\n".to_string();
        if let Some(data) = data {
            vm.entry_settings = format!("data = \"{}\"\n", data.join(&vm.id).display());
        }
    }
    let bench = Bench::start(&plan, groups_per_lot).await;
    let client = Client::new(bench.deployment.platform, "test");
    (bench, client)
}

async fn start() -> (Rc<Bench>, RefCell<StdRng>, Client) {
    let (bench, client) = start_with(None, 2).await;
    (bench, RefCell::new(StdRng::seed_from_u64(1)), client)
}

/// Draws and acknowledges the first step and draws a lot of the second.
/// Returns the digests of the lots.
async fn train(bench: &Bench, rng: &RefCell<StdRng>) -> Vec<String> {
    let mut digests = Vec::new();
    for step in 0..2 {
        bench.declare(rng, step, 0).await;
    }
    for lot in OLD {
        digests.push(bench.draw(rng, lot).await.digest);
        bench.acknowledge(rng, 0, lot).await;
    }
    digests.push(bench.draw(rng, LAST).await.digest);
    digests
}

/// Returns which objects of `kind` stand; `None` when the platform cannot tell.
async fn names(client: &Client, kind: &str) -> Option<Vec<String>> {
    let listed = client.list(kind, "notes.").await.ok()?;
    Some(listed.changes.into_iter().map(|c| c.name).collect())
}

/// Waits until every object of the first step is deleted.
async fn await_deleted(client: &Client) {
    for (kind, left) in [
        (LOT_KIND, "notes.0 notes.1 notes.2 notes.3"),
        (CLAIM_KIND, "notes.0 notes.1 notes.2 notes.3"),
        (STEP_KIND, "notes.0"),
    ] {
        until(kind, async || {
            let names = names(client, kind).await?;
            let is_old = |name: &String| left.split(' ').any(|old| old == name);
            (!names.iter().any(is_old)).then_some(())
        })
        .await;
    }
}

/// Returns the code of the error with which a VM answers for good.
async fn final_error(bench: &Bench, vm: usize, call: impl Fn() -> Call) -> String {
    until("final answer", async || {
        let answer = bench.try_at(vm, call()).await?;
        let is_final =
            answer.status.is_client_error() && answer.headers.get("retry-after").is_none();
        is_final.then(|| {
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            body["error"].as_str().unwrap().to_string()
        })
    })
    .await
}

/// Checks that each VM answers a draw of a deleted lot for good, and with no
/// other content than that which was `drawn`: a VM that still knows the lot
/// whole may give it out.
async fn check_draws(bench: &Bench, drawn: &[Option<&String>]) {
    for vm in 0..bench.deployment.vms.len() {
        for (lot, drawn) in OLD.zip(drawn) {
            let path = format!("/v1/trainers/notes/lots/{lot}?wait_ms=500");
            let answer = until("draw", async || {
                let answer = bench.try_at(vm, Call::get(path.clone())).await?;
                (!answer.status.is_server_error()).then_some(answer)
            })
            .await;
            let digest = answer.headers.get("x-lot-digest");
            let digest = digest.map(|digest| digest.to_str().unwrap());
            match (answer.status.as_u16(), drawn) {
                (200, Some(drawn)) => assert_eq!(digest, Some(drawn.as_str())),
                (status, _) => assert_eq!(status, 410, "{answer:?}"),
            }
            assert!(answer.headers.get("retry-after").is_none());
        }
    }
}

/// Checks that no VM takes the first step again.
async fn check_steps(bench: &Bench) {
    let prompts: Vec<_> = (0..8).map(|group| format!("other {group}")).collect();
    let body = json!({ "prompts": prompts }).to_string();
    let path = "/v1/trainers/notes/steps/0";
    for vm in 0..bench.deployment.vms.len() {
        let error = final_error(bench, vm, || Call::post(path, body.clone())).await;
        assert_eq!(error, "deleted");
    }
}

async fn check_gone(bench: &Bench, digests: &[String]) {
    let drawn: Vec<_> = digests.iter().map(Some).collect();
    check_draws(bench, &drawn).await;
    check_steps(bench).await;
}

/// Kills an entry daemon and starts it again once its port is free.
async fn restart(bench: &Rc<Bench>, vm: usize) {
    let deployment = &bench.deployment;
    let entry = &deployment.vms[vm];
    entry.entry.signal("KILL").unwrap();
    until("free port", async || {
        let call = Call::get("/ready").new_connection();
        let answer = deployment.pool.fetch(entry.entry_admin, call).await;
        answer.is_err().then_some(())
    })
    .await;
    faults::kill(bench, vm, Duration::ZERO).await;
    until("ready", async || {
        let call = Call::get("/ready").new_connection();
        let answer = deployment.pool.fetch(entry.entry_admin, call).await;
        answer.ok()?.status.is_success().then_some(())
    })
    .await;
}

fn signal_stewards(bench: &Bench, signal: &str) {
    for vm in &bench.deployment.vms {
        vm.steward.signal(signal).unwrap();
    }
}

#[test]
fn deleted_lot_is_never_another() {
    link::runtime::run(async {
        let (bench, rng, client) = start().await;
        let digests = train(&bench, &rng).await;
        // A process that was frozen while it sealed lot 3 wakes up later.
        let last = format!("notes.{LAST}");
        let (_, mut late) = client.read::<Manifest>(LOT_KIND, &last).await.unwrap();
        late.number = 3;
        await_deleted(&client).await;
        signal_stewards(&bench, "STOP");
        let other = "{}".to_string();
        late.digest = board::key::Digest::of(&other);
        late.bytes = other.len() as u64;
        late.content = Content::Inline(other);
        client
            .write(LOT_KIND, "notes.3", Condition::Absent, &late)
            .await
            .unwrap();
        // Processes that start now know of no lot.
        for vm in 0..bench.deployment.vms.len() {
            restart(&bench, vm).await;
        }
        check_draws(&bench, &[None; 4]).await;
        check_steps(&bench).await;
        signal_stewards(&bench, "CONT");
        await_deleted(&client).await;
        check_draws(&bench, &[None; 4]).await;
        // What is not acknowledged is kept, and the trainer goes on.
        let again = bench.draw(&rng, LAST).await.digest;
        assert_eq!(again, digests[LAST as usize]);
        assert_eq!(bench.next_lot(&rng, 0).await, LAST);
        bench.acknowledge(&rng, 0, LAST).await;
        bench.draw(&rng, LAST + 1).await;
    })
    .unwrap();
    faults::clean();
}

#[test]
fn delete_under_lost_replies_and_frozen_holder() {
    link::runtime::run(async {
        let (bench, rng, client) = start().await;
        let deployment = &bench.deployment;
        let platform = deployment.platform;
        let digests = train(&bench, &rng).await;
        bench.fault(platform, json!({ "lost_reply": 0.3 })).await;
        let held = async || holder(deployment, "reports_epoch", "", None).await;
        let (first, _) = until("holder", held).await;
        deployment.vms[first].steward.signal("STOP").unwrap();
        await_deleted(&client).await;
        deployment.vms[first].steward.signal("CONT").unwrap();
        check_gone(&bench, &digests).await;
        faults::lift(&bench, platform, json!({ "lost_reply": 0.0 })).await;
        let again = bench.draw(&rng, LAST).await.digest;
        assert_eq!(again, digests[LAST as usize]);
        check_windows(&bench, &client).await;
    })
    .unwrap();
}

#[test]
fn frozen_owner_wakes_after_deletion() {
    link::runtime::run(async {
        let (bench, rng, client) = start().await;
        // It has claimed some of the lots by now or will find them claimed.
        bench.declare(&rng, 0, 0).await;
        until("claims", async || {
            let names = names(&client, CLAIM_KIND).await?;
            (names.len() >= OLD.count()).then_some(())
        })
        .await;
        let frozen = &bench.deployment.vms[0].entry;
        frozen.signal("STOP").unwrap();
        let digests = train(&bench, &rng).await;
        await_deleted(&client).await;
        frozen.signal("CONT").unwrap();
        check_gone(&bench, &digests).await;
        await_deleted(&client).await;
        check_gone(&bench, &digests).await;
    })
    .unwrap();
}

/// Prompts so long that the content of a lot does not fit into one object.
const LONG_PROMPT_WORDS: usize = 15_000;

/// Draws a step of two long lots and acknowledges the first.
async fn train_long(bench: &Bench) -> RefCell<StdRng> {
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    bench.declare(&rng, 0, LONG_PROMPT_WORDS).await;
    bench.draw(&rng, 0).await;
    bench.acknowledge(&rng, 0, 0).await;
    bench.draw(&rng, 1).await;
    rng
}

#[test]
fn parts_of_long_lots_are_deleted() {
    link::runtime::run(async {
        let (bench, client) = start_with(None, 4).await;
        // Parts that no manifest names are left by a loser of the seal.
        let stray = "notes.0.00ff";
        client.create(PART_KIND, stray, "part").await.unwrap();
        let rng = train_long(&bench).await;
        assert!(!names(&client, PART_KIND).await.unwrap().is_empty());
        bench.acknowledge(&rng, 0, 1).await;
        until("parts deleted", async || {
            let is_gone = names(&client, LOT_KIND).await?.is_empty();
            let is_empty = names(&client, PART_KIND).await?.is_empty();
            (is_gone && is_empty).then_some(())
        })
        .await;
    })
    .unwrap();
}

/// Counts the files in the folders below `data`.
fn files(data: &Path) -> usize {
    let folders = std::fs::read_dir(data).unwrap();
    let files = folders.flat_map(|folder| std::fs::read_dir(folder.unwrap().path()).unwrap());
    files.count()
}

#[test]
fn files_of_long_lots_are_deleted() {
    link::runtime::run(async {
        let name = format!("tarragonseam-retention-{}", std::process::id());
        let data = std::env::temp_dir().join(name);
        let (bench, client) = start_with(Some(&data), 4).await;
        let rng = train_long(&bench).await;
        assert!(files(&data) > 0, "the lots are on disks");
        bench.acknowledge(&rng, 0, 1).await;
        until("manifests deleted", async || {
            names(&client, LOT_KIND).await?.is_empty().then_some(())
        })
        .await;
        // Disks are looked through every 15 s.
        let start = Instant::now();
        while files(&data) > 0 {
            assert!(start.elapsed() < PATIENCE, "files are left");
            monoio::time::sleep(run::RETRY_TIME).await;
        }
        drop(bench);
        // What is left behind costs only disk space.
        let _ = std::fs::remove_dir_all(data);
    })
    .unwrap();
}

/// Waits until figures of windows are deleted and reports go on, and checks
/// that no window was reported anew.
async fn check_windows(bench: &Bench, client: &Client) {
    let deployment = &bench.deployment;
    let newest = async || {
        let listed = client.list(usage::KIND, "").await.ok()?;
        let numbers = listed.changes.iter().map(|c| c.name.parse::<u64>().ok());
        numbers.flatten().max()
    };
    let seen = until("a window", newest).await;
    until("windows deleted", async || {
        let listed = client.list(usage::KIND, "").await.ok()?;
        let is_gone = !listed.changes.iter().any(|c| c.name == seen.to_string());
        is_gone.then_some(())
    })
    .await;
    until("reports go on", async || {
        (newest().await? > seen + 2).then_some(())
    })
    .await;
    let reports = get(deployment, deployment.platform, "/v1/usage").await;
    assert_eq!(reports["violations"], 0, "{reports}");
    // The calls of each window are over before those of the next one begin.
    let mut windows: Vec<(u64, u64, u64)> = Vec::new();
    for report in reports["reports"].as_array().unwrap() {
        let number: u64 = report["window"].as_str().unwrap().parse().unwrap();
        let calls = report["calls"].as_array().unwrap();
        let at = |call: &serde_json::Value| call["at_ms"].as_u64().unwrap();
        let first = calls.iter().map(at).min().unwrap();
        let last = calls.iter().map(at).max().unwrap();
        windows.push((number, first, last));
    }
    windows.sort_unstable();
    for pair in windows.windows(2) {
        assert!(pair[0].2 <= pair[1].1, "{pair:?}");
    }
}
