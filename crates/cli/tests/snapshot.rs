//! Snapshots hold what stood together, and restore only by publishing.

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

/// The platform alone, with a configuration in force.
struct World {
    deployment: Deployment,
    file: PathBuf,
}

impl World {
    fn start() -> Self {
        let mut plan = Plan::new(common::FESTIVAL);
        plan.platform.push("--writes-per-s=10000".to_string());
        let deployment = link::runtime::run(common::bare(&plan)).unwrap();
        let file = deployment.folder.join("kept.json");
        common::publish(&deployment);
        Self { deployment, file }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        common::run(&self.deployment, arguments)
    }

    fn good(&self, arguments: &[&str]) -> String {
        common::good(&self.deployment, arguments)
    }

    fn snapshot(&self, command: &str) -> String {
        let file = self.file.display().to_string();
        self.good(&["snapshot", command, &file])
    }

    fn client(&self) -> Client {
        Client::new(self.deployment.platform, "test")
    }
}

fn show(file: &Path) -> Output {
    Command::new(PROGRAM)
        .args(["snapshot", "show"])
        .arg(file)
        .output()
        .unwrap()
}

/// Adds a line to one of the operators' files and returns its path.
fn change(tree: &Path) -> PathBuf {
    let file = tree.join("accounts/tarragonseam.toml");
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, text + "\n[accounts.later]\nweight = 2\n").unwrap();
    file
}

#[test]
fn save_then_restore() {
    let world = World::start();
    let secret = world.good(&["key", "issue", ACCOUNT]);
    let other = world.good(&["key", "issue", ACCOUNT]);
    world.good(&["key", "withdraw", other.trim()]);
    let lease = json!({"holder": "vm-1", "epoch": 4, "ttl_ms": 6000, "nonce": 1, "serial": 1});
    let client = world.client();
    link::runtime::run(client.write("lease", "orders.a", Condition::Absent, &lease))
        .unwrap()
        .unwrap();

    world.snapshot("save");
    let kept = fs::read_to_string(&world.file).unwrap();
    assert!(!kept.contains(secret.trim()), "a key is in the file");
    let shown = String::from_utf8(show(&world.file).stdout).unwrap();
    for part in [
        "revision 1",
        "accounts/tarragonseam.toml",
        "keys of maison-verte: 1 active, 1 withdrawn",
        "lease orders.a: vm-1, epoch 4",
    ] {
        assert!(shown.contains(part), "no {part:?} in {shown}");
    }
    assert_eq!(world.snapshot("diff").trim(), "no difference");

    let tree = world.deployment.tree.clone();
    let before = fs::read_to_string(tree.join("accounts/tarragonseam.toml")).unwrap();
    let changed = change(&tree);
    world.good(&["publish", &tree.display().to_string()]);
    world.good(&["key", "withdraw", secret.trim()]);
    let difference = world.snapshot("diff");
    for part in [
        "~ config/current",
        "~ key/",
        "+ config-part/",
        "- config-part/",
    ] {
        assert!(difference.contains(part), "no {part:?} in {difference}");
    }

    let file = world.file.display().to_string();
    let refused = world.run(&["snapshot", "restore", &file, "--base=1"]);
    assert!(!refused.status.success(), "{refused:?}");
    let told = world.good(&["snapshot", "restore", &file, "--base=2"]);
    assert!(told.contains("revision 3 published"), "{told}");
    fs::write(changed, before).unwrap();
    let left = world.good(&["diff", &tree.display().to_string()]);
    assert!(left.contains("no difference"), "{left}");
    let difference = world.snapshot("diff");
    assert!(
        difference.contains("~ key/"),
        "a key came back: {difference}"
    );
}

#[test]
fn diff_renewed_lease() {
    let world = World::start();
    let write = |when, epoch: u64, serial: u64| {
        let lease =
            json!({"holder": "vm-1", "epoch": epoch, "ttl_ms": 6000, "nonce": 1, "serial": serial});
        // Connections end with their runtime, so each write has a client.
        let client = world.client();
        let written = client.write("lease", "orders.a", when, &lease);
        link::runtime::run(written).unwrap().unwrap()
    };
    let version = write(Condition::Absent, 1, 1);
    world.snapshot("save");
    let version = write(Condition::At(version), 1, 2);
    assert_eq!(world.snapshot("diff").trim(), "no difference");
    write(Condition::At(version), 2, 3);
    assert!(world.snapshot("diff").contains("~ lease/orders.a"));
}

/// More objects than the command reads at once, so that it is still reading
/// when the first ones change.
const KEYS: usize = 140;

/// Returns the value of an object in a snapshot, read as JSON.
fn value(kept: &Value, kind: &str, name: &str) -> Value {
    let groups = kept["body"]["groups"].as_array().unwrap();
    let group = groups.iter().find(|group| group["kind"] == kind).unwrap();
    let mut objects = group["objects"].as_array().unwrap().iter();
    let object = objects.find(|object| object["name"] == name).unwrap();
    serde_json::from_str(object["value"].as_str().unwrap()).unwrap()
}

/// Counts what the command line has read so far.
async fn reads(world: &World) -> u64 {
    let call = Call::get("/stats");
    let answer = world.deployment.pool.fetch(world.deployment.platform, call);
    let stats: Value = serde_json::from_slice(&answer.await.unwrap().body).unwrap();
    let calls = &stats["by_vm"]["cli"];
    calls["GET /v1/objects"].as_u64().unwrap()
}

#[test]
fn save_changed_while_read() {
    let mut world = World::start();
    world.deployment.pool = Pool::new(Limits::new());
    let grant = |withdrawn: bool| json!({"account": ACCOUNT, "withdrawn": withdrawn});
    let version = |version: u64| json!({ "version": version });
    link::runtime::run(async {
        let client = world.client();
        let mut first = 0;
        for number in (0..KEYS).rev() {
            let name = format!("{number:064x}");
            let written = client.put("key", &name, Condition::Absent, grant(false).to_string());
            first = written.await.unwrap();
        }
        let weights = client.put("weights", "m", Condition::Absent, version(1).to_string());
        let weights = weights.await.unwrap();
        let before = reads(&world).await;
        let mut save = Command::new(PROGRAM)
            .args(["snapshot", "save"])
            .arg(&world.file)
            .arg(format!("--platform={}", world.deployment.platform))
            .spawn()
            .unwrap();
        // The first keys are read by then, and the weights are not.
        while reads(&world).await < before + 20 {
            assert!(save.try_wait().unwrap().is_none(), "over before it began");
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
    let kept: Value = serde_json::from_slice(&fs::read(&world.file).unwrap()).unwrap();
    let is_new = (
        value(&kept, "key", &format!("{:064x}", 0)) == grant(true),
        value(&kept, "weights", "m") == version(2),
    );
    // The key was changed first.
    assert!(
        [(true, true), (true, false), (false, false)].contains(&is_new),
        "{is_new:?}"
    );
}

#[test]
fn show_damaged_file() {
    let world = World::start();
    world.snapshot("save");
    let good = fs::read_to_string(&world.file).unwrap();
    let cases = [
        ("checksum", good.replace("maison-verte", "maison-verts")),
        (
            "format 2 of",
            good.replace("\"format\": 1", "\"format\": 2"),
        ),
        ("not a snapshot", good[..good.len() / 2].to_string()),
        ("not a snapshot", "{}".to_string()),
        ("not a snapshot", String::new()),
    ];
    for (problem, text) in cases {
        assert_ne!(text, good, "{problem}");
        fs::write(&world.file, &text).unwrap();
        let output = show(&world.file);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{problem}");
        assert!(errors.contains(problem), "no {problem:?} in {errors}");
        let file = world.file.display().to_string();
        let restored = world.run(&["snapshot", "restore", &file]);
        assert!(!restored.status.success(), "{problem}: {restored:?}");
    }
    let absent = show(Path::new("/absent.json"));
    assert!(String::from_utf8_lossy(&absent.stderr).contains("/absent.json"));
}

#[test]
fn save_platform_down() {
    let world = World::start();
    world.snapshot("save");
    let kept = fs::read(&world.file).unwrap();
    let file = world.file.display().to_string();
    let output = Command::new(PROGRAM)
        .args(["snapshot", "save", &file, "--platform=127.0.0.1:1"])
        .output()
        .unwrap();
    assert!(!output.status.success());
    assert_eq!(fs::read(&world.file).unwrap(), kept, "the old file is gone");
}
