//! Snapshots are consistent, and are restored only by publishing their
//! configuration.

mod common;

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use common::PROGRAM;
use fakes::deployment::{Deployment, Plan};
use link::{
    http::{Limits, Pool, client::Call},
    platform::{Client, Condition},
};
use serde_json::{Value, json};

const ACCOUNT: &str = "maison-verte";

/// The platform alone, with a published configuration.
struct Fixture {
    deployment: Deployment,
    file: PathBuf,
}

impl Fixture {
    fn start() -> Self {
        let mut plan = Plan::new(common::FESTIVAL_TREE);
        plan.platform.push("--writes-per-s=10000".to_string());
        let deployment = link::runtime::run(common::start_unconfigured(&plan)).unwrap();
        let file = deployment.folder.join("kept.json");
        common::publish(&deployment);
        Self { deployment, file }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        common::run(&self.deployment, arguments)
    }

    fn run_ok(&self, arguments: &[&str]) -> String {
        common::run_ok(&self.deployment, arguments)
    }

    fn snapshot(&self, command: &str) -> String {
        let file = self.file.display().to_string();
        self.run_ok(&["snapshot", command, &file])
    }

    fn client(&self) -> Client {
        Client::new(self.deployment.platform, "test")
    }
}

fn show_file(file: &Path) -> Output {
    Command::new(PROGRAM)
        .args(["snapshot", "show"])
        .arg(file)
        .output()
        .unwrap()
}

/// Adds an account to one of the configuration files and returns the path of
/// the file.
fn add_account(tree: &Path) -> PathBuf {
    let file = tree.join("accounts/tarragonseam.toml");
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, text + "\n[accounts.later]\nweight = 2\n").unwrap();
    file
}

#[test]
fn save_then_restore() {
    let fixture = Fixture::start();
    let secret = fixture.run_ok(&["key", "issue", ACCOUNT]);
    let other = fixture.run_ok(&["key", "issue", ACCOUNT]);
    fixture.run_ok(&["key", "withdraw", other.trim()]);
    let lease = json!({"holder": "vm-1", "epoch": 4, "ttl_ms": 6000, "nonce": 1, "serial": 1});
    let client = fixture.client();
    link::runtime::run(client.write("lease", "orders.a", Condition::Absent, &lease))
        .unwrap()
        .unwrap();

    fixture.snapshot("save");
    let saved = fs::read_to_string(&fixture.file).unwrap();
    assert!(!saved.contains(secret.trim()), "a key is in the file");
    let shown = String::from_utf8(show_file(&fixture.file).stdout).unwrap();
    for part in [
        "revision 1",
        "accounts/tarragonseam.toml",
        "keys of maison-verte: 1 active, 1 withdrawn",
        "lease orders.a: vm-1, epoch 4",
    ] {
        assert!(shown.contains(part), "no {part:?} in {shown}");
    }
    assert_eq!(fixture.snapshot("diff").trim(), "no difference");

    let tree = fixture.deployment.tree.clone();
    let before = fs::read_to_string(tree.join("accounts/tarragonseam.toml")).unwrap();
    let changed = add_account(&tree);
    fixture.run_ok(&["publish", &tree.display().to_string()]);
    fixture.run_ok(&["key", "withdraw", secret.trim()]);
    let difference = fixture.snapshot("diff");
    for part in [
        "~ config/current",
        "~ key/",
        "+ config-part/",
        "- config-part/",
    ] {
        assert!(difference.contains(part), "no {part:?} in {difference}");
    }

    let file = fixture.file.display().to_string();
    let rejected = fixture.run(&["snapshot", "restore", &file, "--base=1"]);
    assert!(!rejected.status.success(), "{rejected:?}");
    let restored = fixture.run_ok(&["snapshot", "restore", &file, "--base=2"]);
    assert!(restored.contains("revision 3 published"), "{restored}");
    fs::write(changed, before).unwrap();
    let difference = fixture.run_ok(&["diff", &tree.display().to_string()]);
    assert!(difference.contains("no difference"), "{difference}");
    let difference = fixture.snapshot("diff");
    assert!(
        difference.contains("~ key/"),
        "a withdrawn key became valid again: {difference}"
    );
}

#[test]
fn diff_renewed_lease() {
    let fixture = Fixture::start();
    let write = |when, epoch: u64, serial: u64| {
        let lease =
            json!({"holder": "vm-1", "epoch": epoch, "ttl_ms": 6000, "nonce": 1, "serial": serial});
        // Connections do not outlive their runtime, so each write uses a new
        // client.
        let client = fixture.client();
        let written = client.write("lease", "orders.a", when, &lease);
        link::runtime::run(written).unwrap().unwrap()
    };
    let version = write(Condition::Absent, 1, 1);
    fixture.snapshot("save");
    let version = write(Condition::At(version), 1, 2);
    assert_eq!(fixture.snapshot("diff").trim(), "no difference");
    write(Condition::At(version), 2, 3);
    assert!(fixture.snapshot("diff").contains("~ lease/orders.a"));
}

/// So many objects that the command is still reading when the test changes the
/// first ones.
const KEY_COUNT: usize = 140;

/// Returns the value of an object in a snapshot, read as JSON.
fn value(saved: &Value, kind: &str, name: &str) -> Value {
    let groups = saved["body"]["groups"].as_array().unwrap();
    let group = groups.iter().find(|group| group["kind"] == kind).unwrap();
    let mut objects = group["objects"].as_array().unwrap().iter();
    let object = objects.find(|object| object["name"] == name).unwrap();
    serde_json::from_str(object["value"].as_str().unwrap()).unwrap()
}

/// Returns how many objects the `tarragonseam` command has read so far.
async fn count_reads(fixture: &Fixture) -> u64 {
    let call = Call::get("/stats");
    let answer = fixture
        .deployment
        .pool
        .fetch(fixture.deployment.platform, call);
    let stats: Value = serde_json::from_slice(&answer.await.unwrap().body).unwrap();
    let calls = &stats["by_vm"]["cli"];
    calls["GET /v1/objects"].as_u64().unwrap()
}

#[test]
fn save_changed_while_read() {
    let mut fixture = Fixture::start();
    fixture.deployment.pool = Pool::new(Limits::new());
    let grant = |withdrawn: bool| json!({"account": ACCOUNT, "withdrawn": withdrawn});
    let version = |version: u64| json!({ "version": version });
    link::runtime::run(async {
        let client = fixture.client();
        let mut first = 0;
        for number in (0..KEY_COUNT).rev() {
            let name = format!("{number:064x}");
            let written = client.put("key", &name, Condition::Absent, grant(false).to_string());
            first = written.await.unwrap();
        }
        let weights = client.put("weights", "m", Condition::Absent, version(1).to_string());
        let weights = weights.await.unwrap();
        let before = count_reads(&fixture).await;
        let mut save = Command::new(PROGRAM)
            .args(["snapshot", "save"])
            .arg(&fixture.file)
            .arg(format!("--platform={}", fixture.deployment.platform))
            .spawn()
            .unwrap();
        // After 20 reads, the command has read the first keys but not yet the
        // weights.
        while count_reads(&fixture).await < before + 20 {
            assert!(
                save.try_wait().unwrap().is_none(),
                "the snapshot ended before the test could change objects"
            );
        }
        let name = format!("{:064x}", 0);
        let written = client.put("key", &name, Condition::At(first), grant(true).to_string());
        written.await.unwrap();
        let written = client.put(
            "weights",
            "m",
            Condition::At(weights),
            version(2).to_string(),
        );
        written.await.unwrap();
        assert!(save.wait().unwrap().success());
    })
    .unwrap();
    let saved: Value = serde_json::from_slice(&fs::read(&fixture.file).unwrap()).unwrap();
    let is_new = (
        value(&saved, "key", &format!("{:064x}", 0)) == grant(true),
        value(&saved, "weights", "m") == version(2),
    );
    // The key was changed before the weights, so a snapshot with the new
    // weights must have the new key.
    assert!(
        [(true, true), (true, false), (false, false)].contains(&is_new),
        "{is_new:?}"
    );
}

#[test]
fn show_damaged_file() {
    let fixture = Fixture::start();
    fixture.snapshot("save");
    let intact = fs::read_to_string(&fixture.file).unwrap();
    let cases = [
        ("checksum", intact.replace("maison-verte", "maison-verts")),
        (
            "format 2 of",
            intact.replace("\"format\": 1", "\"format\": 2"),
        ),
        ("not a snapshot", intact[..intact.len() / 2].to_string()),
        ("not a snapshot", "{}".to_string()),
        ("not a snapshot", String::new()),
    ];
    for (problem, text) in cases {
        assert_ne!(text, intact, "{problem}");
        fs::write(&fixture.file, &text).unwrap();
        let output = show_file(&fixture.file);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{problem}");
        assert!(errors.contains(problem), "no {problem:?} in {errors}");
        let file = fixture.file.display().to_string();
        let restored = fixture.run(&["snapshot", "restore", &file]);
        assert!(!restored.status.success(), "{problem}: {restored:?}");
    }
    let absent = show_file(Path::new("/absent.json"));
    assert!(String::from_utf8_lossy(&absent.stderr).contains("/absent.json"));
}

#[test]
fn save_platform_down() {
    let fixture = Fixture::start();
    fixture.snapshot("save");
    let saved = fs::read(&fixture.file).unwrap();
    let file = fixture.file.display().to_string();
    let output = Command::new(PROGRAM)
        .args(["snapshot", "save", &file, "--platform=127.0.0.1:1"])
        .output()
        .unwrap();
    assert!(!output.status.success());
    assert_eq!(
        fs::read(&fixture.file).unwrap(),
        saved,
        "the previous file changed"
    );
}
