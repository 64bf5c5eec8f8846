//! Outages of the platform, and failure domains that are cut off from the
//! platform or from the other failure domains.

mod common;
mod spread_support;

use std::time::Duration;

use serde_json::json;
use spread_support::{Fixture, VM_COUNT, all_vms, assert_not_run};

/// How long tests wait during an outage or a cut. Without contact, the keys of
/// a VM no longer count as up to date after this time.
const CUT_TIME: Duration = Duration::from_secs(10);

#[test]
fn withdraw_just_before_an_outage() {
    link::runtime::run(async {
        let fixture = Fixture::start().await;
        let (valid_key, withdrawn_key) = (
            fixture.issue_key("maison-verte"),
            fixture.issue_key("trois-pommes"),
        );
        for key in [&valid_key, &withdrawn_key] {
            fixture.wait_answer_status(&all_vms(), key, 200).await;
        }
        fixture.run_ok(&["key", "withdraw", &withdrawn_key]);
        fixture.set_platform_faults(json!({ "outage": true })).await;
        fixture
            .wait_answer_status(&all_vms(), &withdrawn_key, 401)
            .await;
        monoio::time::sleep(CUT_TIME).await;
        for index in all_vms() {
            assert_eq!(fixture.generate(index, &valid_key).await.status, 200);
            assert_eq!(fixture.generate(index, &withdrawn_key).await.status, 401);
        }
        let withdrawal = fixture.run(&["key", "withdraw", &valid_key]);
        let errors = String::from_utf8_lossy(&withdrawal.stderr);
        assert!(
            !withdrawal.status.success() && errors.contains("not accepted"),
            "{errors}"
        );
    })
    .unwrap();
}

#[test]
fn cut_from_platform_and_others() {
    link::runtime::run(async {
        let fixture = Fixture::start().await;
        let (withdrawn_key, steady_key) = (
            fixture.issue_key("maison-verte"),
            fixture.issue_key("steady"),
        );
        let valid_key = fixture.issue_key("trois-pommes");
        fixture
            .wait_answer_status(&all_vms(), &withdrawn_key, 200)
            .await;
        fixture
            .wait_answer_status(&all_vms(), &valid_key, 200)
            .await;
        fixture
            .wait_answer_status(&all_vms(), &steady_key, 200)
            .await;
        fixture.cut_domain_a_from_platform().await;
        fixture.cut_domain_a(true, true).await;
        let (cut_vms, other_vms): (Vec<_>, Vec<_>) = all_vms()
            .into_iter()
            .partition(|index| fixture.vms_in("a").contains(index));
        fixture
            .wait_answer_status(&cut_vms, &withdrawn_key, 503)
            .await;
        fixture.run_ok(&["key", "withdraw", &withdrawn_key]);
        fixture
            .wait_answer_status(&other_vms, &withdrawn_key, 401)
            .await;
        for index in &cut_vms {
            assert_not_run(&fixture.generate(*index, &valid_key).await, "isolated");
            // The command announces the withdrawal to VMs directly, so it may
            // have reached this VM although other VMs cannot.
            let status = fixture.generate(*index, &withdrawn_key).await.status;
            assert!(status == 401 || status == 503, "{status}");
            assert_eq!(fixture.look_up(*index).await.status, 200);
            assert_eq!(fixture.generate(*index, &steady_key).await.status, 200);
        }
        fixture.set_platform_faults(json!({ "reset": true })).await;
        fixture.cut_domain_a(false, false).await;
        fixture
            .wait_answer_status(&cut_vms, &withdrawn_key, 401)
            .await;
        fixture.wait_answer_status(&cut_vms, &valid_key, 200).await;
    })
    .unwrap();
}

/// Checks that keys stay valid and that a withdrawal reaches every VM, while
/// `cut` leaves each VM one path for updates.
async fn withdraw_while_cut(cut: impl AsyncFn(&Fixture)) {
    let fixture = Fixture::start().await;
    let (valid_key, withdrawn_key) = (
        fixture.issue_key("maison-verte"),
        fixture.issue_key("trois-pommes"),
    );
    fixture
        .wait_answer_status(&all_vms(), &valid_key, 200)
        .await;
    cut(&fixture).await;
    monoio::time::sleep(CUT_TIME).await;
    fixture.run_ok(&["key", "withdraw", &withdrawn_key]);
    fixture
        .wait_answer_status(&all_vms(), &withdrawn_key, 401)
        .await;
    for index in all_vms() {
        assert_eq!(fixture.generate(index, &valid_key).await.status, 200);
    }
}

#[test]
fn cut_from_platform_only() {
    let cut = async |fixture: &Fixture| fixture.cut_domain_a_from_platform().await;
    link::runtime::run(withdraw_while_cut(cut)).unwrap();
}

#[test]
fn cut_from_others_only() {
    let cut = async |fixture: &Fixture| fixture.cut_domain_a(true, true).await;
    link::runtime::run(withdraw_while_cut(cut)).unwrap();
}

/// The other failure domains receive messages from `a`, which receives none.
#[test]
fn cut_one_way() {
    link::runtime::run(async {
        let fixture = Fixture::start().await;
        let key = fixture.issue_key("maison-verte");
        fixture.wait_answer_status(&all_vms(), &key, 200).await;
        fixture.cut_domain_a_from_platform().await;
        fixture.cut_domain_a(false, true).await;
        fixture
            .wait_answer_status(&fixture.vms_in("a"), &key, 503)
            .await;
        for index in [fixture.vms_in("b"), fixture.vms_in("c")].concat() {
            assert_eq!(fixture.generate(index, &key).await.status, 200);
        }
    })
    .unwrap();
}

#[test]
fn restart_in_an_outage() {
    link::runtime::run(async {
        let mut fixture = Fixture::start().await;
        let (valid_key, withdrawn_key) = (
            fixture.issue_key("maison-verte"),
            fixture.issue_key("trois-pommes"),
        );
        fixture
            .wait_answer_status(&all_vms(), &valid_key, 200)
            .await;
        fixture.run_ok(&["key", "withdraw", &withdrawn_key]);
        fixture
            .wait_answer_status(&all_vms(), &withdrawn_key, 401)
            .await;
        fixture.set_platform_faults(json!({ "outage": true })).await;
        fixture.deployment.vms[0].entry.kill();
        fixture.deployment.start_entry(0).unwrap();
        let status = "/status";
        let admin = fixture.deployment.vms[0].entry_admin;
        fixture
            .deployment
            .wait_status(admin, status, 200)
            .await
            .unwrap();
        fixture.wait_answer_status(&[0], &valid_key, 200).await;
        assert_eq!(fixture.generate(0, &withdrawn_key).await.status, 401);
        let status = fixture.status(0).await.unwrap();
        assert_eq!(status["revision"], 1);
        // A VM that reaches neither the platform nor another VM after its
        // restart has no configuration and must not serve.
        for index in 0..VM_COUNT {
            let peer = fixture.deployment.vms[1].peers;
            if index != 1 {
                let cuts = json!({ "to": [peer], "from": [peer] });
                fixture.set_cuts(index, &cuts).await;
            }
        }
        fixture.deployment.vms[1].entry.kill();
        fixture.deployment.start_entry(1).unwrap();
        let admin = fixture.deployment.vms[1].entry_admin;
        fixture
            .deployment
            .wait_status(admin, "/status", 200)
            .await
            .unwrap();
        for _ in 0..20 {
            assert_not_run(&fixture.generate(1, &valid_key).await, "not-ready");
            assert_not_run(&fixture.look_up(1).await, "not-ready");
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
    })
    .unwrap();
}
