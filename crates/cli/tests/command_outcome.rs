//! What a command tells its operator about a write whose reply is lost.

mod common;

use std::{process::Output, time::Duration};

use fakes::deployment::{Deployment, Plan};
use link::{
    http::{Limits, Pool},
    platform::Client,
};
use serde_json::{Value, json};

const ACCOUNT: &str = "maison-verte";

/// The platform alone, with a published configuration.
struct Fixture(Deployment);

impl Fixture {
    fn start() -> Self {
        let plan = Plan::new(common::FESTIVAL_TREE);
        let deployment = link::runtime::run(common::start_unconfigured(&plan)).unwrap();
        common::publish(&deployment);
        Self(deployment)
    }

    /// Runs a command while the platform loses the reply to the first write of
    /// `kind` and is unavailable from then on.
    fn run_with_lost_reply(&mut self, kind: &str, arguments: &[&str]) -> Output {
        let switches = json!({
            "lost_reply": 1.0,
            "lost_reply_of": format!("PUT /v1/objects/{kind}/"),
            "outage_after_lost_reply": true,
        });
        self.set_faults(&switches);
        let output = common::run(&self.0, arguments);
        self.set_faults(&json!({"reset": true}));
        output
    }

    fn set_faults(&mut self, switches: &Value) {
        // Connections do not outlive their runtime.
        self.0.pool = Pool::new(Limits::new());
        let (deployment, platform) = (&self.0, self.0.platform);
        link::runtime::run(common::set_faults(deployment, platform, switches)).unwrap();
    }

    /// Adds an account to the configuration files and returns their folder.
    fn changed_tree(&self) -> String {
        let tree = &self.0.tree;
        let accounts = tree.join("accounts/tarragonseam.toml");
        let text = std::fs::read_to_string(&accounts).unwrap();
        std::fs::write(accounts, format!("{text}\n[accounts.next]\nweight = 2\n")).unwrap();
        tree.display().to_string()
    }

    fn stored_objects(&self, kind: &str) -> Vec<Value> {
        let client = Client::new(self.0.platform, "test");
        let read = async {
            let list = client.list(kind, "").await.unwrap();
            let mut values = Vec::new();
            for change in list.changes {
                values.push(client.get(kind, &change.name).await.unwrap());
            }
            values.iter().map(|object| object.json().unwrap()).collect()
        };
        link::runtime::run(read).unwrap()
    }
}

fn assert_outcome_unknown(output: &Output) {
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{errors}");
    assert!(!errors.contains("nothing changed"), "{errors}");
    assert!(errors.contains("may or may not"), "{errors}");
}

#[test]
fn publish_in_transit_is_not_reported_as_unchanged() {
    let mut fixture = Fixture::start();
    let tree = fixture.changed_tree();
    let switches = json!({
        "lost_reply": 1.0,
        "lost_reply_of": "PUT /v1/objects/config/",
        "transit_ms": 1000,
    });
    fixture.set_faults(&switches);
    let output = common::run(&fixture.0, &["publish", &tree]);
    fixture.set_faults(&json!({"reset": true}));
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(fixture.stored_objects("config")[0]["revision"], 2);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        !errors.contains("the configuration is unchanged"),
        "{errors}"
    );
}

#[test]
fn publish_lost_reply_then_outage() {
    let mut fixture = Fixture::start();
    let tree = fixture.changed_tree();
    let output = fixture.run_with_lost_reply("config", &["publish", &tree]);
    assert_eq!(fixture.stored_objects("config")[0]["revision"], 2);
    assert_outcome_unknown(&output);
}

#[test]
fn snapshot_restore_lost_reply_then_outage() {
    let mut fixture = Fixture::start();
    let snapshot = fixture.0.folder.join("kept.json").display().to_string();
    common::run_ok(&fixture.0, &["snapshot", "save", &snapshot]);
    let tree = fixture.changed_tree();
    common::run_ok(&fixture.0, &["publish", &tree]);
    let restore = ["snapshot", "restore", &snapshot];
    let output = fixture.run_with_lost_reply("config", &restore);
    assert_eq!(fixture.stored_objects("config")[0]["revision"], 3);
    assert_outcome_unknown(&output);
    let repeated = common::run_ok(&fixture.0, &[&restore[..], &["--base=2"]].concat());
    assert_eq!(repeated, "revision 3 is already in force\n");
}

#[test]
fn key_issue_lost_reply_then_outage() {
    let mut fixture = Fixture::start();
    let output = fixture.run_with_lost_reply("key", &["key", "issue", ACCOUNT]);
    assert_eq!(fixture.stored_objects("key").len(), 1);
    assert_outcome_unknown(&output);
}

#[test]
fn key_withdraw_lost_reply_then_outage() {
    let mut fixture = Fixture::start();
    let key = common::issue_key(&fixture.0, ACCOUNT);
    let output = fixture.run_with_lost_reply("key", &["key", "withdraw", &key]);
    assert_eq!(fixture.stored_objects("key")[0]["withdrawn"], true);
    assert_outcome_unknown(&output);
}
