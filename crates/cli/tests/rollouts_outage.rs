//! Lots are produced and kept during an outage of the platform. The tests run
//! real processes.

mod common;
mod control_support;
mod rollouts_support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::Path,
};

use board::{lot::Claim, retention::CLAIM_KIND};
use control_support::wait_for;
use fakes::metrics;
use link::{http::client::Call, platform::Client};
use rand::{SeedableRng, rngs::StdRng};
use rollouts_support::run::{self, EXPECTED, Fixture};
use serde_json::json;

/// Lots in the step.
const LOT_COUNT: u64 = 4;

/// The number of VMs with a disk. They are in two failure domains.
const DISK_VM_COUNT: usize = 2;

/// Returns the owner of each lot, once all are claimed.
async fn lot_owners(client: &Client) -> Option<Vec<String>> {
    let mut owners = Vec::new();
    for lot in 0..LOT_COUNT {
        let claim = client
            .read::<Claim>(CLAIM_KIND, &format!("notes.{lot}"))
            .await;
        owners.push(claim.ok()?.1.owner);
    }
    Some(owners)
}

/// Returns the sum of a counter over all VMs but `except`; `None` if a VM does
/// not answer.
async fn sum_counter(fixture: &Fixture, counter: &str, result: &str, except: usize) -> Option<u64> {
    let mut sum = 0;
    for (index, vm) in fixture.deployment.vms.iter().enumerate() {
        if index == except {
            continue;
        }
        let call = Call::get("/metrics").new_connection();
        let answer = fixture.deployment.pool.fetch(vm.entry_admin, call).await;
        let text = String::from_utf8(answer.ok()?.body.to_vec()).unwrap();
        let mut samples = metrics::samples(&text);
        let sample = samples.find(|sample| {
            sample.series.starts_with(counter) && sample.label("result") == Some(result)
        });
        sum += sample.map_or(0, |sample| sample.count().unwrap());
    }
    Some(sum)
}

async fn set_outage(fixture: &Fixture, address: SocketAddr, is_out: bool) {
    fixture
        .set_faults(address, json!({ "outage": is_out }))
        .await;
}

/// Declares a step, starts an outage of the platform once all lots of the step
/// are claimed, and returns the owners of the lots. No lot is complete by then,
/// because the scorer is unavailable too.
async fn claim_before_outage(fixture: &Fixture, rng: &RefCell<StdRng>) -> Vec<String> {
    let deployment = &fixture.deployment;
    let client = Client::new(deployment.platform, "test");
    set_outage(fixture, deployment.scorer, true).await;
    fixture.declare(rng, 0, 0).await;
    let owners = wait_for("claims", async || lot_owners(&client).await).await;
    set_outage(fixture, deployment.platform, true).await;
    owners
}

/// The owner of a lot is killed during an outage of the platform. The other VMs
/// produce its lots meanwhile, and the trainer gets each sample exactly once
/// after the outage.
#[test]
fn owner_lost_in_an_outage() {
    link::runtime::run(async {
        let fixture = Fixture::start(&run::plan(3), 2).await;
        let rng = RefCell::new(StdRng::seed_from_u64(1));
        let deployment = &fixture.deployment;
        let owners = claim_before_outage(&fixture, &rng).await;
        let lost_vm = deployment.vms.iter().position(|vm| vm.vm.id == owners[0]);
        let lost_vm = lost_vm.unwrap();
        deployment.vms[lost_vm].entry.signal("KILL").unwrap();
        set_outage(&fixture, deployment.scorer, false).await;
        // Every sample is generated and scored while the platform is out.
        let samples = u64::from(EXPECTED.groups * EXPECTED.group_size);
        wait_for("samples", async || {
            let kept = sum_counter(&fixture, "tarragonseam_samples", "kept", lost_vm).await?;
            (kept >= samples).then_some(())
        })
        .await;
        let unclaimed = sum_counter(&fixture, "tarragonseam_lots", "unclaimed", lost_vm).await;
        assert!(unclaimed.unwrap() >= 1);
        // No lot is served before it is sealed.
        let other_vm = (lost_vm + 1) % deployment.vms.len();
        for lot in 0..LOT_COUNT {
            let path = format!("/v1/trainers/notes/lots/{lot}?wait_ms=100");
            let answer = wait_for("answer", async || {
                fixture.try_fetch(other_vm, Call::get(path.clone())).await
            })
            .await;
            assert!(!answer.status.is_success(), "{answer:?}");
        }
        set_outage(&fixture, deployment.platform, false).await;
        let mut ids = BTreeSet::new();
        for lot in 0..LOT_COUNT {
            let draw = fixture.draw(&rng, lot).await;
            let second_draw = fixture.draw(&rng, lot).await;
            assert_eq!(draw.digest, second_draw.digest);
            ids.extend(draw.lot.samples.iter().map(|sample| sample.id.to_string()));
            fixture.acknowledge(&rng, 0, lot).await;
        }
        assert_eq!(ids.len() as u64, samples);
    })
    .unwrap();
}

/// Returns the digests of the files of each lot on the disks below `data`.
fn file_digests(data: &Path) -> BTreeMap<u64, BTreeSet<String>> {
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

/// All VMs without a disk are killed in an outage once the lots are complete.
/// The lots are sealed with the content that was produced before.
#[test]
fn complete_lots_kept_in_an_outage() {
    link::runtime::run(async {
        let name = format!("tarragonseam-outage-{}", std::process::id());
        let data = std::env::temp_dir().join(name);
        let mut plan = run::plan(6);
        for vm in plan.vms.iter_mut().take(DISK_VM_COUNT) {
            vm.entry_settings = format!("data = \"{}\"\n", data.join(&vm.id).display());
        }
        let fixture = Fixture::start(&plan, 2).await;
        let rng = RefCell::new(StdRng::seed_from_u64(1));
        let deployment = &fixture.deployment;
        let owners = claim_before_outage(&fixture, &rng).await;
        set_outage(&fixture, deployment.scorer, false).await;
        wait_for("files", async || {
            (file_digests(&data).len() as u64 == LOT_COUNT).then_some(())
        })
        .await;
        for vm in deployment.vms.iter().skip(DISK_VM_COUNT) {
            vm.entry.signal("KILL").unwrap();
        }
        set_outage(&fixture, deployment.platform, false).await;
        for (lot, owner) in (0..LOT_COUNT).zip(&owners) {
            let draw = fixture.draw(&rng, lot).await;
            assert!(
                file_digests(&data)[&lot].contains(&draw.digest),
                "lot {lot} of {owner}"
            );
            fixture.acknowledge(&rng, 0, lot).await;
        }
        drop(fixture);
        // A folder that cannot be removed costs only disk space.
        let _ = std::fs::remove_dir_all(data);
    })
    .unwrap();
}
