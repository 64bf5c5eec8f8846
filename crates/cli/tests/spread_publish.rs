//! Publications take effect completely and in order, and are never reverted.

mod common;
mod spread_support;

use std::{process::Stdio, time::Duration};

use serde_json::json;
use spread_support::{Fixture, VM_COUNT, append};

fn account(name: &str) -> String {
    format!("\n[accounts.{name}]\nweight = 2\n")
}

#[test]
fn publish_two_operators_at_once() {
    link::runtime::run(async {
        let fixture = Fixture::start().await;
        let trees = ["first", "second"].map(|name| {
            let tree = fixture.copy_tree(name);
            append(&tree, "accounts/tarragonseam.toml", &account(name));
            tree.display().to_string()
        });
        let publish = |tree: &String| {
            let mut command = fixture.command(&["publish", tree, "--base=1"]);
            command.stdout(Stdio::piped()).stderr(Stdio::piped());
            command.spawn().unwrap()
        };
        let runs = trees.each_ref().map(publish);
        let outputs = runs.map(|run| run.wait_with_output().unwrap());
        let successes = outputs.iter().filter(|output| output.status.success());
        assert_eq!(successes.count(), 1, "{outputs:?}");
        let losing_run = outputs.iter().find(|output| !output.status.success());
        let errors = String::from_utf8_lossy(&losing_run.unwrap().stderr).into_owned();
        let (winner, loser) = match outputs[0].status.success() {
            true => ("first", "second"),
            false => ("second", "first"),
        };
        for part in [winner, loser, "accounts/tarragonseam.toml", "revision"] {
            assert!(errors.contains(part), "no {part} in {errors}");
        }
        fixture
            .wait_status("expected revision 2", |status| status["revision"] == 2)
            .await;
        let winner_key = fixture.issue_key(winner);
        fixture
            .wait_answer_status(&spread_support::all_vms(), &winner_key, 200)
            .await;
        let loser_key = fixture.issue_key(loser);
        for index in spread_support::all_vms() {
            assert_eq!(fixture.generate(index, &loser_key).await.status, 401);
        }
    })
    .unwrap();
}

#[test]
fn publish_old_base_and_diff() {
    link::runtime::run(async {
        let fixture = Fixture::start().await;
        fixture.append("accounts/tarragonseam.toml", &account("next"));
        let diff = fixture.run_ok(&["diff", &fixture.tree()]);
        assert!(diff.contains("+ [accounts.next]"), "{diff}");
        fixture.run_ok(&["publish", &fixture.tree(), "--base=1"]);
        let diff = fixture.run_ok(&["diff", &fixture.tree()]);
        assert!(diff.contains("no difference"), "{diff}");
        fixture.append("accounts/tarragonseam.toml", &account("late"));
        let rejected = fixture.run(&["publish", &fixture.tree(), "--base=1"]);
        let errors = String::from_utf8_lossy(&rejected.stderr);
        assert!(!rejected.status.success(), "{errors}");
        assert!(errors.contains("revision 2 is in force, not 1"), "{errors}");
    })
    .unwrap();
}

/// A publication whose replies are lost is accepted once, even if the command
/// reports a failure.
#[test]
fn publish_lost_replies() {
    link::runtime::run(async {
        let fixture = Fixture::start().await;
        fixture.append("accounts/tarragonseam.toml", &account("next"));
        fixture
            .set_platform_faults(json!({ "lost_reply": 0.4 }))
            .await;
        let mut tries = 0;
        while !fixture.run(&["publish", &fixture.tree()]).status.success() {
            tries += 1;
            assert!(tries < 60);
        }
        fixture.set_platform_faults(json!({ "reset": true })).await;
        fixture
            .wait_status("expected revision 2", |status| status["revision"] == 2)
            .await;
        let diff = fixture.run_ok(&["diff", &fixture.tree()]);
        assert!(diff.contains("revision 2 is in force"), "{diff}");
    })
    .unwrap();
}

/// Every VM is replaced, one after the other, while revisions are published.
/// The revision in force on a VM never decreases, and a replaced VM does not
/// become ready with an older revision than before.
#[test]
fn replace_every_vm_revisions_monotone() {
    link::runtime::run(async {
        let mut fixture = Fixture::start().await;
        let mut highest_revisions = [1_u64; VM_COUNT];
        for index in 0..VM_COUNT {
            let name = format!("account-{index}");
            fixture.append("accounts/tarragonseam.toml", &account(&name));
            fixture.deployment.vms[index].entry.signal("TERM").unwrap();
            fixture.deployment.vms[index]
                .steward
                .signal("TERM")
                .unwrap();
            fixture.run_ok(&["publish", &fixture.tree()]);
            while fixture.deployment.vms[index].entry.exit_code().is_none() {
                check_revisions(&fixture, &mut highest_revisions, None).await;
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
            fixture.deployment.start_entry(index).unwrap();
            fixture.deployment.start_steward(index).unwrap();
            let admin = fixture.deployment.vms[index].entry_admin;
            fixture
                .deployment
                .wait_status(admin, "/ready", 200)
                .await
                .unwrap();
            check_revisions(&fixture, &mut highest_revisions, Some(index)).await;
            let revision = index as u64 + 2;
            fixture
                .wait_status("expected revision", |s| s["revision"] == revision)
                .await;
            fixture
                .wait_status("not all VMs are live", |s| s["live"] == VM_COUNT as u64)
                .await;
        }
    })
    .unwrap();
}

/// Checks that no VM shows a lower revision than before. A VM that starts shows
/// none until it is ready; `ready` is the VM that has just become ready.
async fn check_revisions(
    fixture: &Fixture,
    highest_revisions: &mut [u64; VM_COUNT],
    ready: Option<usize>,
) {
    for (index, highest) in highest_revisions.iter_mut().enumerate() {
        let Some(status) = fixture.status(index).await else {
            continue;
        };
        let revision = status["revision"].as_u64().unwrap();
        assert!(
            revision >= *highest,
            "VM {index}: revision {revision} after {highest}, just ready: {ready:?}"
        );
        *highest = revision;
    }
}
