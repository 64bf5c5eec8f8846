//! Lots through an outage of the platform, by real processes.

mod common;
mod control_setup;
mod rollouts_support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::Path,
};

use board::{lot::Claim, retention::CLAIM_KIND};
use control_setup::until;
use fakes::metrics;
use link::{http::client::Call, platform::Client};
use rand::{SeedableRng, rngs::StdRng};
use rollouts_support::run::{self, Bench, EXPECTED};
use serde_json::json;

/// Lots of the step.
const LOTS: u64 = 4;

/// VMs with a disk, in two failure domains.
const DISKS: usize = 2;

/// Returns the owner of each lot, once all are claimed.
async fn owners(client: &Client) -> Option<Vec<String>> {
    let mut owners = Vec::new();
    for lot in 0..LOTS {
        let claim = client
            .read::<Claim>(CLAIM_KIND, &format!("notes.{lot}"))
            .await;
        owners.push(claim.ok()?.1.owner);
    }
    Some(owners)
}

/// Adds up a counter over the VMs other than `but`.
async fn count(bench: &Bench, counter: &str, result: &str, but: usize) -> Option<u64> {
    let mut sum = 0;
    for (place, vm) in bench.deployment.vms.iter().enumerate() {
        if place == but {
            continue;
        }
        let call = Call::get("/metrics").new_connection();
        let answer = bench.deployment.pool.fetch(vm.entry_admin, call).await;
        let text = String::from_utf8(answer.ok()?.body.to_vec()).unwrap();
        let mut samples = metrics::samples(&text);
        let sample = samples.find(|sample| {
            sample.series.starts_with(counter) && sample.label("result") == Some(result)
        });
        sum += sample.map_or(0, |sample| sample.count().unwrap());
    }
    Some(sum)
}

async fn set_outage(bench: &Bench, address: SocketAddr, is_out: bool) {
    bench.fault(address, json!({ "outage": is_out })).await;
}

/// Declares a step and begins an outage of the platform once all of its lots
/// are claimed, and returns their owners. Nothing is whole by then: the scorer
/// is out too.
async fn claim_before_outage(bench: &Bench, rng: &RefCell<StdRng>) -> Vec<String> {
    let deployment = &bench.deployment;
    let client = Client::new(deployment.platform, "test");
    set_outage(bench, deployment.scorer, true).await;
    bench.declare(rng, 0, 0).await;
    let owners = until("claims", async || owners(&client).await).await;
    set_outage(bench, deployment.platform, true).await;
    owners
}

/// The owner of a lot dies in an outage of the platform. The others produce its
/// lots meanwhile, and the trainer gets each sample once when it is over.
#[test]
fn owner_lost_in_an_outage() {
    link::runtime::run(async {
        let bench = Bench::start(&run::plan(3), 2).await;
        let rng = RefCell::new(StdRng::seed_from_u64(1));
        let deployment = &bench.deployment;
        let owners = claim_before_outage(&bench, &rng).await;
        let lost = deployment.vms.iter().position(|vm| vm.vm.id == owners[0]);
        let lost = lost.unwrap();
        deployment.vms[lost].entry.signal("KILL").unwrap();
        set_outage(&bench, deployment.scorer, false).await;
        // Every sample is generated and scored while the platform is out.
        let samples = u64::from(EXPECTED.groups * EXPECTED.group);
        until("samples", async || {
            let kept = count(&bench, "tarragonseam_samples", "kept", lost).await?;
            (kept >= samples).then_some(())
        })
        .await;
        let unclaimed = count(&bench, "tarragonseam_lots", "unclaimed", lost).await;
        assert!(unclaimed.unwrap() >= 1);
        // None is given out before it is sealed.
        let other = (lost + 1) % deployment.vms.len();
        for lot in 0..LOTS {
            let path = format!("/v1/trainers/notes/lots/{lot}?wait_ms=100");
            let answer = until("answer", async || {
                bench.try_at(other, Call::get(path.clone())).await
            })
            .await;
            assert!(!answer.status.is_success(), "{answer:?}");
        }
        set_outage(&bench, deployment.platform, false).await;
        let mut ids = BTreeSet::new();
        for lot in 0..LOTS {
            let draw = bench.draw(&rng, lot).await;
            let again = bench.draw(&rng, lot).await;
            assert_eq!(draw.digest, again.digest);
            ids.extend(draw.lot.samples.iter().map(|sample| sample.id.to_string()));
            bench.acknowledge(&rng, 0, lot).await;
        }
        assert_eq!(ids.len() as u64, samples);
    })
    .unwrap();
}

/// Returns the digests of the files of each lot on the disks below `data`.
fn files(data: &Path) -> BTreeMap<u64, BTreeSet<String>> {
    let folders = std::fs::read_dir(data).unwrap();
    let files = folders.flat_map(|folder| std::fs::read_dir(folder.unwrap().path()).unwrap());
    let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    let parse = |name: String| {
        let mut parts = name.split('.').skip(1);
        let lot = parts.next()?.parse().ok()?;
        let digest = parts.next()?.to_string();
        parts.next().is_none().then_some((lot, digest))
    };
    let mut lots: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for (lot, digest) in names.filter_map(parse) {
        lots.entry(lot).or_default().insert(digest);
    }
    lots
}

/// Every VM but those with a disk dies once the lots are whole in an outage.
/// What they had produced is sealed as it was.
#[test]
fn whole_lots_kept_in_an_outage() {
    link::runtime::run(async {
        let name = format!("tarragonseam-outage-{}", std::process::id());
        let data = std::env::temp_dir().join(name);
        let mut plan = run::plan(6);
        for vm in plan.vms.iter_mut().take(DISKS) {
            vm.entry_settings = format!("data = \"{}\"\n", data.join(&vm.id).display());
        }
        let bench = Bench::start(&plan, 2).await;
        let rng = RefCell::new(StdRng::seed_from_u64(1));
        let deployment = &bench.deployment;
        let owners = claim_before_outage(&bench, &rng).await;
        set_outage(&bench, deployment.scorer, false).await;
        until("files", async || {
            (files(&data).len() as u64 == LOTS).then_some(())
        })
        .await;
        for vm in deployment.vms.iter().skip(DISKS) {
            vm.entry.signal("KILL").unwrap();
        }
        set_outage(&bench, deployment.platform, false).await;
        for (lot, owner) in (0..LOTS).zip(&owners) {
            let draw = bench.draw(&rng, lot).await;
            assert!(
                files(&data)[&lot].contains(&draw.digest),
                "lot {lot} of {owner}"
            );
            bench.acknowledge(&rng, 0, lot).await;
        }
        drop(bench);
        // What is left behind costs only disk space.
        let _ = std::fs::remove_dir_all(data);
    })
    .unwrap();
}
