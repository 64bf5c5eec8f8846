//! Trainers that draw lots from deployments under faults.

mod common;
mod rollouts_support;

use std::{cell::RefCell, time::Duration};

use board::lot::{self, Content, Manifest};
use link::platform::Client;
use rand::{SeedableRng, rngs::StdRng};
use rollouts_support::{
    faults, history,
    run::{self, EXPECTED, Fixture},
};
use serde_json::json;

#[test]
fn histories_under_faults() {
    for seed in fakes::seeds::from_environment(4..6) {
        let record = link::runtime::run(faults::run(seed)).unwrap();
        faults::stop_restarted();
        let violations = history::check(&record, EXPECTED);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let samples = record.draws.iter().flat_map(|draw| &draw.lot.samples);
        let split_samples = samples.filter(|sample| sample.spans.len() > 1).count();
        let draws = record.draws.len();
        println!(
            "seed {seed}: {draws} draws, {split_samples} samples of several versions, no violation"
        );
    }
}

/// Words per prompt, so many that the content of a lot does not fit into one
/// object.
const LONG_PROMPT_WORDS: usize = 15_000;

/// Draws a long lot from a deployment in which `disks` VMs have a disk, and
/// calls `fault` between sealing and drawing.
async fn long_lot(disks: usize, fault: impl AsyncFnOnce(&run::Fixture, &Manifest)) {
    let mut plan = run::plan(4);
    let folder = std::env::temp_dir().join(format!("tarragonseam-{}-{disks}", std::process::id()));
    for vm in plan.vms.iter_mut().take(disks) {
        let path = folder.join(&vm.id);
        vm.entry_settings = format!("data = \"{}\"\n", path.display());
    }
    let fixture = Fixture::start(&plan, 4).await;
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    fixture.declare(&rng, 0, LONG_PROMPT_WORDS).await;
    let client = Client::new(fixture.deployment.platform, "test");
    let manifest: Manifest = loop {
        match client.read("lot", "notes.0").await {
            Ok((_, manifest)) => break manifest,
            Err(_) => monoio::time::sleep(Duration::from_millis(100)).await,
        }
    };
    fault(&fixture, &manifest).await;
    let draw = fixture.draw(&rng, 0).await;
    assert_eq!(draw.digest, manifest.digest.to_string());
    assert_eq!(draw.lot.samples.len(), 16);
    drop(fixture);
    // A folder that cannot be removed costs only disk space.
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn long_lot_on_two_disks() {
    link::runtime::run(long_lot(3, async |fixture, manifest| {
        let Content::Disks(holders) = &manifest.content else {
            panic!("not on disks: {:?}", manifest.content);
        };
        let find_vm = |id: &String| fixture.deployment.vms.iter().find(|vm| vm.vm.id == *id);
        let vms: Vec<_> = holders.iter().map(|id| find_vm(id).unwrap()).collect();
        assert_eq!(vms.len(), 2);
        assert_ne!(vms[0].vm.failure_domain, vms[1].vm.failure_domain);
        // One of the two VMs is lost; the other has a complete copy.
        vms[0].entry.signal("KILL").unwrap();
    }))
    .unwrap();
}

#[test]
fn long_lot_without_disks() {
    link::runtime::run(long_lot(0, async |_, manifest| {
        let Content::Objects(parts) = &manifest.content else {
            panic!("not in objects: {:?}", manifest.content);
        };
        assert!(parts.len() > 1);
    }))
    .unwrap();
}

#[test]
fn engine_without_new_weights_gets_no_samples() {
    link::runtime::run(async {
        let fixture = Fixture::start(&run::plan(2), 2).await;
        let rng = RefCell::new(StdRng::seed_from_u64(1));
        let stale = fixture.deployment.endpoints[0].address;
        fixture.set_faults(stale, json!({ "swap_fail": 1.0 })).await;
        // Version 1, which every engine starts with, is now too old.
        let latest_version = 2 + EXPECTED.max_staleness;
        fixture.publish_weights(&rng, latest_version).await;
        fixture.declare(&rng, 0, 0).await;
        for lot in 0..4 {
            let draw = fixture.draw(&rng, lot).await;
            for sample in &draw.lot.samples {
                let oldest = lot::oldest_version(&sample.spans).unwrap();
                assert!(
                    oldest >= latest_version - EXPECTED.max_staleness,
                    "{:?}",
                    sample.spans
                );
            }
        }
        let streams = run::fetch_log(&fixture.deployment, stale).await;
        let old_spans: Vec<_> = streams.iter().flat_map(|stream| &stream.spans).collect();
        assert!(
            old_spans.is_empty(),
            "tokens generated with old weights: {old_spans:?}"
        );
    })
    .unwrap();
}
