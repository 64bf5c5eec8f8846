//! Publications: whole, in order, and never taken back.

mod common;
mod spread;

use std::{process::Stdio, time::Duration};

use serde_json::json;
use spread::{Bench, VMS, append};

fn account(name: &str) -> String {
    format!("\n[accounts.{name}]\nweight = 2\n")
}

#[test]
fn publish_two_operators_at_once() {
    link::runtime::run(async {
        let bench = Bench::start().await;
        let trees = ["first", "second"].map(|name| {
            let tree = bench.copy_tree(name);
            append(&tree, "accounts/tarragonseam.toml", &account(name));
            tree.display().to_string()
        });
        let publish = |tree: &String| {
            let mut command = bench.command(&["publish", tree, "--base=1"]);
            command.stdout(Stdio::piped()).stderr(Stdio::piped());
            command.spawn().unwrap()
        };
        let runs = trees.each_ref().map(publish);
        let outputs = runs.map(|run| run.wait_with_output().unwrap());
        let good = outputs.iter().filter(|output| output.status.success());
        assert_eq!(good.count(), 1, "{outputs:?}");
        let lost = outputs.iter().find(|output| !output.status.success());
        let errors = String::from_utf8_lossy(&lost.unwrap().stderr).into_owned();
        let (winner, loser) = match outputs[0].status.success() {
            true => ("first", "second"),
            false => ("second", "first"),
        };
        for part in [winner, loser, "accounts/tarragonseam.toml", "revision"] {
            assert!(errors.contains(part), "no {part} in {errors}");
        }
        bench
            .wait("revision 2", |status| status["revision"] == 2)
            .await;
        let kept = bench.key(winner);
        bench.wait_answer(&spread::all(), &kept, 200).await;
        let lost = bench.key(loser);
        for place in spread::all() {
            assert_eq!(bench.ask(place, &lost).await.status, 401);
        }
    })
    .unwrap();
}

#[test]
fn publish_old_base_and_diff() {
    link::runtime::run(async {
        let bench = Bench::start().await;
        bench.append("accounts/tarragonseam.toml", &account("next"));
        let diff = bench.good(&["diff", &bench.tree()]);
        assert!(diff.contains("+ [accounts.next]"), "{diff}");
        bench.good(&["publish", &bench.tree(), "--base=1"]);
        let diff = bench.good(&["diff", &bench.tree()]);
        assert!(diff.contains("no difference"), "{diff}");
        bench.append("accounts/tarragonseam.toml", &account("late"));
        let refused = bench.run(&["publish", &bench.tree(), "--base=1"]);
        let errors = String::from_utf8_lossy(&refused.stderr);
        assert!(!refused.status.success(), "{errors}");
        assert!(errors.contains("revision 2 is in force, not 1"), "{errors}");
    })
    .unwrap();
}

/// A publication whose replies get lost is accepted once, whatever the command
/// was told.
#[test]
fn publish_lost_replies() {
    link::runtime::run(async {
        let bench = Bench::start().await;
        bench.append("accounts/tarragonseam.toml", &account("next"));
        bench.fault(json!({ "lost_reply": 0.4 })).await;
        let mut tries = 0;
        while !bench.run(&["publish", &bench.tree()]).status.success() {
            tries += 1;
            assert!(tries < 60);
        }
        bench.fault(json!({ "reset": true })).await;
        bench
            .wait("revision 2", |status| status["revision"] == 2)
            .await;
        let diff = bench.good(&["diff", &bench.tree()]);
        assert!(diff.contains("revision 2 is in force"), "{diff}");
    })
    .unwrap();
}

/// Every VM is replaced, one after the other, while revisions go out. What a
/// VM shows in force never goes down, and a replaced VM is not ready with less
/// than it had before.
#[test]
fn replace_every_vm_revisions_monotone() {
    link::runtime::run(async {
        let mut bench = Bench::start().await;
        let mut highest = [1_u64; VMS];
        for place in 0..VMS {
            let name = format!("account-{place}");
            bench.append("accounts/tarragonseam.toml", &account(&name));
            bench.deployment.vms[place].entry.signal("TERM").unwrap();
            bench.deployment.vms[place].steward.signal("TERM").unwrap();
            bench.good(&["publish", &bench.tree()]);
            while bench.deployment.vms[place].entry.exit_code().is_none() {
                note(&bench, &mut highest, None).await;
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
            bench.deployment.start_entry(place).unwrap();
            bench.deployment.start_steward(place).unwrap();
            let admin = bench.deployment.vms[place].entry_admin;
            bench
                .deployment
                .wait_status(admin, "/ready", 200)
                .await
                .unwrap();
            note(&bench, &mut highest, Some(place)).await;
            let revision = place as u64 + 2;
            bench
                .wait("the revision", |s| s["revision"] == revision)
                .await;
            bench.wait("all VMs", |s| s["live"] == VMS as u64).await;
        }
    })
    .unwrap();
}

/// Checks the revisions in force against those seen before. A VM that starts
/// shows none until it is ready, which `ready` names.
async fn note(bench: &Bench, highest: &mut [u64; VMS], ready: Option<usize>) {
    for (place, seen) in highest.iter_mut().enumerate() {
        let Some(status) = bench.status(place).await else {
            continue;
        };
        let revision = status["revision"].as_u64().unwrap();
        assert!(
            revision >= *seen,
            "{place}: {revision} after {seen}, {ready:?}"
        );
        *seen = revision;
    }
}
