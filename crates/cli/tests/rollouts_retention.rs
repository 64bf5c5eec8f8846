//! Deletion of steps, lots, files and usage windows that are no longer needed.
//! The tests run real processes under faults.

mod common;
mod control_support;
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
use control_support::{WAIT_MAX, fetch_json, find_holder, wait_for};
use link::{
    http::client::Call,
    platform::{Client, Condition},
};
use rand::{SeedableRng, rngs::StdRng};
use rollouts_support::{
    faults,
    run::{self, Fixture},
};
use serde_json::json;

/// Lots of the first step, all of which are acknowledged.
const ACKNOWLEDGED_LOTS: std::ops::Range<u64> = 0..4;
/// A lot of the second step, which is drawn but not acknowledged.
const UNACKNOWLEDGED_LOT: u64 = 4;

/// Starts a deployment with short retention times. If `data` is given, each VM
/// gets a folder below it for bulk data.
async fn start_with(data: Option<&Path>, groups_per_lot: u32) -> (Rc<Fixture>, Client) {
    let mut plan = run::plan(3);
    for vm in &mut plan.vms {
        vm.steward_settings = "keep_lots_ms = 800\nkeep_windows_ms = 1000\n".to_string();
        if let Some(data) = data {
            vm.entry_settings = format!("data = \"{}\"\n", data.join(&vm.id).display());
        }
    }
    let fixture = Fixture::start(&plan, groups_per_lot).await;
    let client = Client::new(fixture.deployment.platform, "test");
    (fixture, client)
}

async fn start() -> (Rc<Fixture>, RefCell<StdRng>, Client) {
    let (fixture, client) = start_with(None, 2).await;
    (fixture, RefCell::new(StdRng::seed_from_u64(1)), client)
}

/// Draws and acknowledges the first step and draws a lot of the second.
/// Returns the digests of the lots.
async fn train(fixture: &Fixture, rng: &RefCell<StdRng>) -> Vec<String> {
    let mut digests = Vec::new();
    for step in 0..2 {
        fixture.declare(rng, step, 0).await;
    }
    for lot in ACKNOWLEDGED_LOTS {
        digests.push(fixture.draw(rng, lot).await.digest);
        fixture.acknowledge(rng, 0, lot).await;
    }
    digests.push(fixture.draw(rng, UNACKNOWLEDGED_LOT).await.digest);
    digests
}

/// Returns the names of the stored objects of `kind`; `None` if the platform
/// does not answer.
async fn list_names(client: &Client, kind: &str) -> Option<Vec<String>> {
    let listed = client.list(kind, "notes.").await.ok()?;
    Some(listed.changes.into_iter().map(|c| c.name).collect())
}

/// Waits until every object of the first step is deleted.
async fn wait_deleted(client: &Client) {
    for (kind, deleted) in [
        (LOT_KIND, "notes.0 notes.1 notes.2 notes.3"),
        (CLAIM_KIND, "notes.0 notes.1 notes.2 notes.3"),
        (STEP_KIND, "notes.0"),
    ] {
        wait_for(kind, async || {
            let names = list_names(client, kind).await?;
            let is_deleted = |name: &String| deleted.split(' ').any(|old| old == name);
            (!names.iter().any(is_deleted)).then_some(())
        })
        .await;
    }
}

/// Waits until a VM answers with a final error, one without a `retry-after`
/// header, and returns its code.
async fn final_error(fixture: &Fixture, vm: usize, call: impl Fn() -> Call) -> String {
    wait_for("final answer", async || {
        let answer = fixture.try_fetch(vm, call()).await?;
        let is_final =
            answer.status.is_client_error() && answer.headers.get("retry-after").is_none();
        is_final.then(|| {
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            body["error"].as_str().unwrap().to_string()
        })
    })
    .await
}

/// Checks that each VM answers a draw of a deleted lot with a final 410, or
/// with the content that was `drawn` before: a VM that still has the complete
/// lot may serve it.
async fn check_draws(fixture: &Fixture, drawn: &[Option<&String>]) {
    for vm in 0..fixture.deployment.vms.len() {
        for (lot, drawn) in ACKNOWLEDGED_LOTS.zip(drawn) {
            let path = format!("/v1/trainers/notes/lots/{lot}?wait_ms=500");
            let answer = wait_for("draw", async || {
                let answer = fixture.try_fetch(vm, Call::get(path.clone())).await?;
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

/// Checks that no VM accepts the deleted first step again.
async fn check_step_rejected(fixture: &Fixture) {
    let prompts: Vec<_> = (0..8).map(|group| format!("other {group}")).collect();
    let body = json!({ "prompts": prompts }).to_string();
    let path = "/v1/trainers/notes/steps/0";
    for vm in 0..fixture.deployment.vms.len() {
        let error = final_error(fixture, vm, || Call::post(path, body.clone())).await;
        assert_eq!(error, "deleted");
    }
}

async fn check_deleted(fixture: &Fixture, digests: &[String]) {
    let drawn: Vec<_> = digests.iter().map(Some).collect();
    check_draws(fixture, &drawn).await;
    check_step_rejected(fixture).await;
}

/// Kills an entry daemon and starts it again once its port is free.
async fn restart(fixture: &Rc<Fixture>, vm: usize) {
    let deployment = &fixture.deployment;
    let entry = &deployment.vms[vm];
    entry.entry.signal("KILL").unwrap();
    wait_for("free port", async || {
        let call = Call::get("/ready").new_connection();
        let answer = deployment.pool.fetch(entry.entry_admin, call).await;
        answer.is_err().then_some(())
    })
    .await;
    faults::kill_and_restart(fixture, vm, Duration::ZERO).await;
    wait_for("readiness", async || {
        let call = Call::get("/ready").new_connection();
        let answer = deployment.pool.fetch(entry.entry_admin, call).await;
        answer.ok()?.status.is_success().then_some(())
    })
    .await;
}

fn signal_stewards(fixture: &Fixture, signal: &str) {
    for vm in &fixture.deployment.vms {
        vm.steward.signal(signal).unwrap();
    }
}

#[test]
fn deleted_lot_never_gets_other_content() {
    link::runtime::run(async {
        let (fixture, rng, client) = start().await;
        let digests = train(&fixture, &rng).await;
        // The test acts as a process that was frozen while it sealed lot 3 and
        // resumes after the deletion.
        let last = format!("notes.{UNACKNOWLEDGED_LOT}");
        let (_, mut late_manifest) = client.read::<Manifest>(LOT_KIND, &last).await.unwrap();
        late_manifest.number = 3;
        wait_deleted(&client).await;
        signal_stewards(&fixture, "STOP");
        let other_content = "{}".to_string();
        late_manifest.digest = board::key::Digest::of(&other_content);
        late_manifest.bytes = other_content.len() as u64;
        late_manifest.content = Content::Inline(other_content);
        client
            .write(LOT_KIND, "notes.3", Condition::Absent, &late_manifest)
            .await
            .unwrap();
        // Restarted processes have no lot in memory.
        for vm in 0..fixture.deployment.vms.len() {
            restart(&fixture, vm).await;
        }
        check_draws(&fixture, &[None; 4]).await;
        check_step_rejected(&fixture).await;
        signal_stewards(&fixture, "CONT");
        wait_deleted(&client).await;
        check_draws(&fixture, &[None; 4]).await;
        // The lot that is not acknowledged is kept, and the trainer continues
        // with it.
        let redrawn_digest = fixture.draw(&rng, UNACKNOWLEDGED_LOT).await.digest;
        assert_eq!(redrawn_digest, digests[UNACKNOWLEDGED_LOT as usize]);
        assert_eq!(fixture.next_lot(&rng, 0).await, UNACKNOWLEDGED_LOT);
        fixture.acknowledge(&rng, 0, UNACKNOWLEDGED_LOT).await;
        fixture.draw(&rng, UNACKNOWLEDGED_LOT + 1).await;
    })
    .unwrap();
    faults::stop_restarted();
}

#[test]
fn delete_under_lost_replies_and_frozen_holder() {
    link::runtime::run(async {
        let (fixture, rng, client) = start().await;
        let deployment = &fixture.deployment;
        let platform = deployment.platform;
        let digests = train(&fixture, &rng).await;
        fixture
            .set_faults(platform, json!({ "lost_reply": 0.3 }))
            .await;
        let find_reporter = async || find_holder(deployment, "reports_epoch", "", None).await;
        let (old_reporter, _) = wait_for("usage reporter", find_reporter).await;
        deployment.vms[old_reporter].steward.signal("STOP").unwrap();
        wait_deleted(&client).await;
        deployment.vms[old_reporter].steward.signal("CONT").unwrap();
        check_deleted(&fixture, &digests).await;
        faults::clear_faults(&fixture, platform, json!({ "lost_reply": 0.0 })).await;
        let redrawn_digest = fixture.draw(&rng, UNACKNOWLEDGED_LOT).await.digest;
        assert_eq!(redrawn_digest, digests[UNACKNOWLEDGED_LOT as usize]);
        check_windows(&fixture, &client).await;
    })
    .unwrap();
}

#[test]
fn frozen_owner_resumed_after_deletion() {
    link::runtime::run(async {
        let (fixture, rng, client) = start().await;
        // VM 0 is frozen after it has claimed some of the lots, or else it finds
        // all of them claimed when it resumes.
        fixture.declare(&rng, 0, 0).await;
        wait_for("claims", async || {
            let names = list_names(&client, CLAIM_KIND).await?;
            (names.len() >= ACKNOWLEDGED_LOTS.count()).then_some(())
        })
        .await;
        let frozen = &fixture.deployment.vms[0].entry;
        frozen.signal("STOP").unwrap();
        let digests = train(&fixture, &rng).await;
        wait_deleted(&client).await;
        frozen.signal("CONT").unwrap();
        check_deleted(&fixture, &digests).await;
        wait_deleted(&client).await;
        check_deleted(&fixture, &digests).await;
    })
    .unwrap();
}

/// Words per prompt, so many that the content of a lot does not fit into one
/// object.
const LONG_PROMPT_WORDS: usize = 15_000;

/// Declares a step of two long lots, draws both and acknowledges the first.
async fn train_long(fixture: &Fixture) -> RefCell<StdRng> {
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    fixture.declare(&rng, 0, LONG_PROMPT_WORDS).await;
    fixture.draw(&rng, 0).await;
    fixture.acknowledge(&rng, 0, 0).await;
    fixture.draw(&rng, 1).await;
    rng
}

#[test]
fn parts_of_long_lots_are_deleted() {
    link::runtime::run(async {
        let (fixture, client) = start_with(None, 4).await;
        // A process that lost the race to seal a lot leaves parts that no
        // manifest names.
        let stray_part = "notes.0.00ff";
        client.create(PART_KIND, stray_part, "part").await.unwrap();
        let rng = train_long(&fixture).await;
        assert!(!list_names(&client, PART_KIND).await.unwrap().is_empty());
        fixture.acknowledge(&rng, 0, 1).await;
        wait_for("deletion of parts", async || {
            let is_deleted = list_names(&client, LOT_KIND).await?.is_empty();
            let is_empty = list_names(&client, PART_KIND).await?.is_empty();
            (is_deleted && is_empty).then_some(())
        })
        .await;
    })
    .unwrap();
}

/// Counts the files in the folders below `data`.
fn count_files(data: &Path) -> usize {
    let folders = std::fs::read_dir(data).unwrap();
    let files = folders.flat_map(|folder| std::fs::read_dir(folder.unwrap().path()).unwrap());
    files.count()
}

#[test]
fn files_of_long_lots_are_deleted() {
    link::runtime::run(async {
        let name = format!("tarragonseam-retention-{}", std::process::id());
        let data = std::env::temp_dir().join(name);
        let (fixture, client) = start_with(Some(&data), 4).await;
        let rng = train_long(&fixture).await;
        assert!(count_files(&data) > 0, "no lot is on a disk");
        fixture.acknowledge(&rng, 0, 1).await;
        wait_for("deletion of manifests", async || {
            list_names(&client, LOT_KIND)
                .await?
                .is_empty()
                .then_some(())
        })
        .await;
        // Each VM scans its disk for files of deleted lots every 15 s.
        let start = Instant::now();
        while count_files(&data) > 0 {
            assert!(
                start.elapsed() < WAIT_MAX,
                "files are not deleted in {WAIT_MAX:?}"
            );
            monoio::time::sleep(run::RETRY_PAUSE).await;
        }
        drop(fixture);
        // A folder that cannot be removed costs only disk space.
        let _ = std::fs::remove_dir_all(data);
    })
    .unwrap();
}

/// Waits until the figures of a usage window are deleted and later windows are
/// reported, and checks that no window was reported again.
async fn check_windows(fixture: &Fixture, client: &Client) {
    let deployment = &fixture.deployment;
    let newest_window = async || {
        let listed = client.list(usage::KIND, "").await.ok()?;
        let numbers = listed.changes.iter().map(|c| c.name.parse::<u64>().ok());
        numbers.flatten().max()
    };
    let window = wait_for("window", newest_window).await;
    wait_for("deletion of the window", async || {
        let listed = client.list(usage::KIND, "").await.ok()?;
        let is_deleted = !listed.changes.iter().any(|c| c.name == window.to_string());
        is_deleted.then_some(())
    })
    .await;
    wait_for("report of a later window", async || {
        (newest_window().await? > window + 2).then_some(())
    })
    .await;
    let reports = fetch_json(deployment, deployment.platform, "/v1/usage").await;
    assert_eq!(reports["violations"], 0, "{reports}");
    // The reports of each window end before those of the next window begin.
    let mut windows: Vec<(u64, u64, u64)> = Vec::new();
    for report in reports["reports"].as_array().unwrap() {
        let number: u64 = report["window"].as_str().unwrap().parse().unwrap();
        let calls = report["calls"].as_array().unwrap();
        let at_ms = |call: &serde_json::Value| call["at_ms"].as_u64().unwrap();
        let first = calls.iter().map(at_ms).min().unwrap();
        let last = calls.iter().map(at_ms).max().unwrap();
        windows.push((number, first, last));
    }
    windows.sort_unstable();
    for pair in windows.windows(2) {
        assert!(pair[0].2 <= pair[1].1, "{pair:?}");
    }
}
