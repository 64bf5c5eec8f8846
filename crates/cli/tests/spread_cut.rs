//! Outages of the platform, and failure domains that are cut off.

mod common;
mod spread;

use std::time::Duration;

use serde_json::json;
use spread::{Bench, VMS, all, assert_not_run};

/// Longer than keys count as up to date.
const CUT: Duration = Duration::from_secs(10);

#[test]
fn withdraw_just_before_an_outage() {
    link::runtime::run(async {
        let bench = Bench::start().await;
        let (kept, withdrawn) = (bench.key("maison-verte"), bench.key("trois-pommes"));
        for key in [&kept, &withdrawn] {
            bench.wait_answer(&all(), key, 200).await;
        }
        bench.good(&["key", "withdraw", &withdrawn]);
        bench.fault(json!({ "outage": true })).await;
        bench.wait_answer(&all(), &withdrawn, 401).await;
        monoio::time::sleep(CUT).await;
        for place in all() {
            assert_eq!(bench.ask(place, &kept).await.status, 200);
            assert_eq!(bench.ask(place, &withdrawn).await.status, 401);
        }
        let refused = bench.run(&["key", "withdraw", &kept]);
        let errors = String::from_utf8_lossy(&refused.stderr);
        assert!(
            !refused.status.success() && errors.contains("not accepted"),
            "{errors}"
        );
    })
    .unwrap();
}

#[test]
fn cut_from_platform_and_others() {
    link::runtime::run(async {
        let bench = Bench::start().await;
        let (key, steady) = (bench.key("maison-verte"), bench.key("steady"));
        let kept = bench.key("trois-pommes");
        bench.wait_answer(&all(), &key, 200).await;
        bench.wait_answer(&all(), &kept, 200).await;
        bench.wait_answer(&all(), &steady, 200).await;
        bench.cut_a_from_platform().await;
        bench.cut_a(true, true).await;
        let (near, far): (Vec<_>, Vec<_>) = all()
            .into_iter()
            .partition(|place| bench.places("a").contains(place));
        bench.wait_answer(&near, &key, 503).await;
        bench.good(&["key", "withdraw", &key]);
        bench.wait_answer(&far, &key, 401).await;
        for place in &near {
            assert_not_run(&bench.ask(*place, &kept).await, "isolated");
            // The command may have reached the VM where others do not.
            let status = bench.ask(*place, &key).await.status;
            assert!(status == 401 || status == 503, "{status}");
            assert_eq!(bench.look_up(*place).await.status, 200);
            assert_eq!(bench.ask(*place, &steady).await.status, 200);
        }
        bench.fault(json!({ "reset": true })).await;
        bench.cut_a(false, false).await;
        bench.wait_answer(&near, &key, 401).await;
        bench.wait_answer(&near, &kept, 200).await;
    })
    .unwrap();
}

/// Checks that keys go on, and that a withdrawal reaches every VM, while `cut`
/// leaves each one way to it.
async fn withdraw_while_cut(cut: impl AsyncFn(&Bench)) {
    let bench = Bench::start().await;
    let (kept, withdrawn) = (bench.key("maison-verte"), bench.key("trois-pommes"));
    bench.wait_answer(&all(), &kept, 200).await;
    cut(&bench).await;
    monoio::time::sleep(CUT).await;
    bench.good(&["key", "withdraw", &withdrawn]);
    bench.wait_answer(&all(), &withdrawn, 401).await;
    for place in all() {
        assert_eq!(bench.ask(place, &kept).await.status, 200);
    }
}

#[test]
fn cut_from_platform_only() {
    let cut = async |bench: &Bench| bench.cut_a_from_platform().await;
    link::runtime::run(withdraw_while_cut(cut)).unwrap();
}

#[test]
fn cut_from_others_only() {
    let cut = async |bench: &Bench| bench.cut_a(true, true).await;
    link::runtime::run(withdraw_while_cut(cut)).unwrap();
}

/// The others hear failure domain `a`, which hears nobody.
#[test]
fn cut_one_way() {
    link::runtime::run(async {
        let bench = Bench::start().await;
        let key = bench.key("maison-verte");
        bench.wait_answer(&all(), &key, 200).await;
        bench.cut_a_from_platform().await;
        bench.cut_a(false, true).await;
        bench.wait_answer(&bench.places("a"), &key, 503).await;
        for place in [bench.places("b"), bench.places("c")].concat() {
            assert_eq!(bench.ask(place, &key).await.status, 200);
        }
    })
    .unwrap();
}

#[test]
fn restart_in_an_outage() {
    link::runtime::run(async {
        let mut bench = Bench::start().await;
        let (kept, withdrawn) = (bench.key("maison-verte"), bench.key("trois-pommes"));
        bench.wait_answer(&all(), &kept, 200).await;
        bench.good(&["key", "withdraw", &withdrawn]);
        bench.wait_answer(&all(), &withdrawn, 401).await;
        bench.fault(json!({ "outage": true })).await;
        bench.deployment.vms[0].entry.kill();
        bench.deployment.start_entry(0).unwrap();
        let status = "/status";
        let admin = bench.deployment.vms[0].entry_admin;
        bench
            .deployment
            .wait_status(admin, status, 200)
            .await
            .unwrap();
        bench.wait_answer(&[0], &kept, 200).await;
        assert_eq!(bench.ask(0, &withdrawn).await.status, 401);
        let status = bench.status(0).await.unwrap();
        assert_eq!(status["revision"], 1);
        // Another one finds nobody: it must not serve from nothing.
        for place in 0..VMS {
            let peer = bench.deployment.vms[1].peers;
            if place != 1 {
                let cuts = json!({ "to": [peer], "from": [peer] });
                bench.cut(place, &cuts).await;
            }
        }
        bench.deployment.vms[1].entry.kill();
        bench.deployment.start_entry(1).unwrap();
        let admin = bench.deployment.vms[1].entry_admin;
        bench
            .deployment
            .wait_status(admin, "/status", 200)
            .await
            .unwrap();
        for _ in 0..20 {
            assert_not_run(&bench.ask(1, &kept).await, "not-ready");
            assert_not_run(&bench.look_up(1).await, "not-ready");
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
    })
    .unwrap();
}
