//! Errors that operators see when a process cannot start, and the end of the
//! processes of an interrupted demo.

use std::{
    fs,
    net::TcpListener,
    path::PathBuf,
    process::{Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tarragonseam");
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

/// A settings file in a temporary folder, which is removed on drop.
struct Settings(PathBuf);

impl Settings {
    fn new(case: &str, text: &str) -> Self {
        let name = format!("tarragonseam-start-{case}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("settings.toml"), text).unwrap();
        Self(folder)
    }

    fn start(&self, daemon: &str) -> Output {
        let settings = self.0.join("settings.toml");
        Command::new(PROGRAM)
            .args(["part", daemon, "--settings"])
            .arg(settings)
            .output()
            .unwrap()
    }
}

impl Drop for Settings {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry_settings(callers: &str) -> String {
    format!(
        "vm = \"vm-1\"\nfailure_domain = \"a\"\ncallers = \"{callers}\"\npeers = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\nplatform = \"127.0.0.1:1\"\n"
    )
}

/// The error about each settings file must name the setting or its position in
/// the file.
#[test]
fn start_bad_settings() {
    let valid_settings = entry_settings("127.0.0.1:0");
    let cases = [
        (
            "unknown",
            format!("{valid_settings}colour = \"red\"\n"),
            "colour",
        ),
        (
            "missing",
            valid_settings.replace("vm = \"vm-1\"\n", ""),
            "vm",
        ),
        ("address", entry_settings("somewhere"), "address"),
        ("syntax", "vm = \n".to_string(), "settings.toml:1"),
        (
            "unknown-line",
            format!("{valid_settings}colour = \"red\"\n"),
            "settings.toml:7:1",
        ),
        (
            "own-line",
            entry_settings("somewhere"),
            "settings.toml:3:11",
        ),
        (
            "shared-line",
            valid_settings.replace("127.0.0.1:1\"", "somewhere\""),
            "settings.toml:6:12",
        ),
    ];
    for (case, text, named) in cases {
        let output = Settings::new(case, &text).start("entry");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{case}");
        assert!(!errors.contains("panicked"), "{case}: {errors}");
        for part in [named, "settings.toml", "OPERATIONS.md"] {
            assert!(errors.contains(part), "{case}: no {part:?} in {errors}");
        }
    }
}

#[test]
fn start_bad_certificate() {
    let valid_settings = entry_settings("127.0.0.1:0");
    let cases = [
        ("half", "tls_key = \"/absent.pem\"\n", "tls_certificate"),
        (
            "absent",
            "tls_certificate = \"/absent.pem\"\ntls_key = \"/absent.key\"\n",
            "/absent.pem",
        ),
    ];
    for (case, lines, named) in cases {
        let output = Settings::new(case, &format!("{valid_settings}{lines}")).start("entry");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{case}");
        assert!(!errors.contains("panicked"), "{case}: {errors}");
        for part in [named, "tls_key"] {
            assert!(errors.contains(part), "{case}: no {part:?} in {errors}");
        }
    }
}

#[test]
fn start_address_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let output = Settings::new("in-use", &entry_settings(&address)).start("entry");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    for part in [address.as_str(), "callers"] {
        assert!(errors.contains(part), "no {part:?} in {errors}");
    }
}

#[test]
fn publish_wrong_port() {
    let tree = format!("{EXAMPLES}/cider-festival");
    let output = Command::new(PROGRAM)
        .args(["publish", &tree, "--platform", "127.0.0.1:1"])
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    for part in ["unavailable", "nothing changed"] {
        assert!(errors.contains(part), "no {part:?} in {errors}");
    }
}

const WAIT_MAX: Duration = Duration::from_secs(20);

/// Returns the ids of the processes that `parent` started.
fn children(parent: u32) -> Vec<u32> {
    let path = format!("/proc/{parent}/task/{parent}/children");
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace()
        .filter_map(|id| id.parse().ok())
        .collect()
}

fn wait_until(description: &str, mut is_true: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_true() {
        assert!(start.elapsed() < WAIT_MAX, "timed out: {description}");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn demo_interrupted() {
    let mut demo = Command::new(PROGRAM)
        .args(["demo", "--tree", &format!("{EXAMPLES}/cider-festival")])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let id = demo.id();
    wait_until("start", || children(id).len() > 10);
    let started = children(id);
    let sent = Command::new("kill")
        .args(["-INT", &id.to_string()])
        .status()
        .unwrap();
    assert!(sent.success());
    assert!(!demo.wait().unwrap().success());
    for child in started {
        let path = PathBuf::from(format!("/proc/{child}"));
        wait_until("end of a child", || !path.exists());
    }
}
