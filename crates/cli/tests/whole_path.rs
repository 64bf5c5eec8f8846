//! The demo, the check of configuration files and the daemons, as separate
//! processes.

use std::{fs, path::Path, process::Command};

use fakes::deployment::{Deployment, Plan};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tarragonseam");
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn example(name: &str) -> String {
    format!("{EXAMPLES}/{name}")
}

#[test]
fn demo_cider_festival() {
    let output = Command::new(PROGRAM)
        .args(["demo", "--tree", &example("cider-festival")])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    for part in [
        "answer",
        "lot 1: 16 samples",
        "version 2 on every engine",
        "festival",
    ] {
        assert!(text.contains(part), "no {part:?} in {text}");
    }
}

#[test]
fn check_each_example() {
    for name in ["cider-festival", "rate-benchmarks"] {
        let output = Command::new(PROGRAM)
            .args(["check", &example(name)])
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
    }
}

#[test]
fn check_unknown_key() {
    let folder = std::env::temp_dir().join(format!("tarragonseam-check-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(
        folder.join("tarragonseam.toml"),
        "[accounts.a]\nwieght = 2\n",
    )
    .unwrap();
    let output = Command::new(PROGRAM)
        .arg("check")
        .arg(&folder)
        .output()
        .unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    for part in ["tarragonseam.toml", "wieght", "OPERATIONS.md"] {
        assert!(errors.contains(part), "no {part:?} in {errors}");
    }
}

#[test]
fn daemons_without_io_uring() {
    let plan =
        Plan::new(example("cider-festival"))
            .vms(1, &["a"])
            .engines("tasting-notes", 1, &["a"]);
    link::runtime::run(async {
        let deployment = Deployment::start(Path::new(PROGRAM), &plan).await.unwrap();
        let vm = &deployment.vms[0];
        let processes = [&vm.entry, &vm.steward, &deployment.endpoints[0].process];
        for process in processes {
            let folder = format!("/proc/{}/fd", process.id().unwrap());
            let mut epoll_count = 0;
            for entry in fs::read_dir(folder).unwrap() {
                let target = fs::read_link(entry.unwrap().path()).unwrap_or_default();
                let target = target.display().to_string();
                assert!(!target.contains("io_uring"), "{target}");
                epoll_count += usize::from(target.contains("eventpoll"));
            }
            assert!(epoll_count > 0, "no epoll descriptor");
        }
    })
    .unwrap();
}
