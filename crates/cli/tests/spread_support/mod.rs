//! A deployment of six VMs in three failure domains, with helpers for tests of
//! outages, network cuts and publications.

#![allow(dead_code)]

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    time::{Duration, Instant},
};

use fakes::deployment::{Deployment, Plan};
use link::http::client::{Call, Fetched};
use serde_json::{Value, json};

use crate::common;

pub(crate) const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
pub(crate) const VM_COUNT: usize = 6;

const POLL_PERIOD: Duration = Duration::from_millis(50);
/// The timeout of each wait, long enough for a busy host.
const WAIT_MAX: Duration = Duration::from_secs(40);

pub(crate) struct Fixture {
    pub(crate) deployment: Deployment,
}

impl Fixture {
    /// Starts a deployment and waits until every VM is ready and knows all
    /// others.
    pub(crate) async fn start() -> Self {
        let mut plan = Plan::new(common::FESTIVAL_TREE)
            .vms(VM_COUNT, &FAILURE_DOMAINS)
            .engines("tasting-notes", 3, &FAILURE_DOMAINS)
            .services("entry-registry", 3, &FAILURE_DOMAINS);
        for vm in &mut plan.vms {
            vm.entry_settings = "test_faults = true\ndrain_ms = 2000\n".to_string();
        }
        let deployment = common::start_unconfigured(&plan).await;
        let fixture = Self { deployment };
        let text = "\n[accounts.steady]\nwhen_isolated = \"serve\"\n";
        fixture.append("accounts/tarragonseam.toml", text);
        common::publish(&fixture.deployment);
        fixture.deployment.wait_ready().await.unwrap();
        fixture
            .wait_status("not all VMs are live", |status| {
                status["live"].as_u64() == Some(VM_COUNT as u64)
            })
            .await;
        fixture
    }

    pub(crate) fn tree(&self) -> String {
        self.deployment.tree.display().to_string()
    }

    /// Copies the configuration files to the folder `name` and returns its path.
    pub(crate) fn copy_tree(&self, name: &str) -> PathBuf {
        let target = self.deployment.folder.join(name);
        copy_folder(&self.deployment.tree, &target);
        target
    }

    pub(crate) fn append(&self, file: &str, text: &str) {
        append(&self.deployment.tree, file, text);
    }

    /// Runs a `tarragonseam` command and returns its output.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        common::run(&self.deployment, arguments)
    }

    pub(crate) fn command(&self, arguments: &[&str]) -> Command {
        common::command(&self.deployment, arguments)
    }

    pub(crate) fn run_ok(&self, arguments: &[&str]) -> String {
        common::run_ok(&self.deployment, arguments)
    }

    pub(crate) fn issue_key(&self, account: &str) -> String {
        common::issue_key(&self.deployment, account)
    }

    pub(crate) async fn set_platform_faults(&self, switches: Value) {
        self.set_faults_at(self.deployment.platform, &switches)
            .await;
    }

    async fn set_faults_at(&self, to: SocketAddr, switches: &Value) {
        common::set_faults(&self.deployment, to, switches).await;
    }

    pub(crate) fn vms_in(&self, domain: &str) -> Vec<usize> {
        let vms = self.deployment.vms.iter().enumerate();
        vms.filter(|(_, vm)| vm.vm.failure_domain == domain)
            .map(|(index, _)| index)
            .collect()
    }

    fn peer_addresses(&self, domains: &[&str]) -> Vec<SocketAddr> {
        let vms = self.deployment.vms.iter();
        vms.filter(|vm| domains.contains(&vm.vm.failure_domain.as_str()))
            .map(|vm| vm.peers)
            .collect()
    }

    /// Drops the messages that failure domain `a` sends to the others if `to` is
    /// true, and those that it receives from them if `from` is true.
    pub(crate) async fn cut_domain_a(&self, to: bool, from: bool) {
        let others = self.peer_addresses(&["b", "c"]);
        let none = Vec::new();
        let cuts = json!({
            "to": if to { &others } else { &none },
            "from": if from { &others } else { &none },
        });
        for index in self.vms_in("a") {
            self.set_faults_at(self.deployment.vms[index].entry_admin, &cuts)
                .await;
        }
    }

    /// Sets the peers with which the VM at `index` exchanges no messages.
    pub(crate) async fn set_cuts(&self, index: usize, cuts: &Value) {
        self.set_faults_at(self.deployment.vms[index].entry_admin, cuts)
            .await;
    }

    /// Makes the platform unreachable for the VMs of failure domain `a`.
    pub(crate) async fn cut_domain_a_from_platform(&self) {
        let vms = self.vms_in("a").into_iter();
        let ids: Vec<_> = vms.map(|index| &self.deployment.vms[index].vm.id).collect();
        self.set_platform_faults(json!({ "cut": ids })).await;
    }

    pub(crate) async fn generate(&self, index: usize, key: &str) -> Fetched {
        let body = json!({ "prompt": "a still cider", "max_tokens": 1 }).to_string();
        let call = Call::post("/v1/models/tasting-notes/generate", body)
            .header("authorization", format!("Bearer {key}"))
            .deadline(Duration::from_secs(20));
        self.fetch(index, call).await
    }

    /// Sends a call that is safe to repeat, and repeats it on failure, since a
    /// pooled connection may lead to a process that was killed.
    async fn fetch(&self, index: usize, call: Call) -> Fetched {
        let callers = self.deployment.vms[index].callers;
        match self.deployment.pool.fetch(callers, call.clone()).await {
            Ok(answer) => answer,
            Err(_) => self.deployment.pool.fetch(callers, call).await.unwrap(),
        }
    }

    pub(crate) async fn look_up(&self, index: usize) -> Fetched {
        let call = Call::get("/entries/4711").deadline(Duration::from_secs(20));
        self.fetch(index, call).await
    }

    /// Waits until each of `vms` answers a request with `key` by `status`.
    pub(crate) async fn wait_answer_status(&self, vms: &[usize], key: &str, status: u16) {
        for index in vms {
            let start = Instant::now();
            loop {
                let answer = self.generate(*index, key).await;
                if answer.status == status {
                    break;
                }
                assert!(start.elapsed() < WAIT_MAX, "VM {index}: {answer:?}");
                monoio::time::sleep(POLL_PERIOD).await;
            }
        }
    }

    pub(crate) async fn status(&self, index: usize) -> Option<Value> {
        let admin = self.deployment.vms[index].entry_admin;
        let answer = self
            .deployment
            .pool
            .fetch(admin, Call::get("/status"))
            .await;
        serde_json::from_slice(&answer.ok()?.body).ok()
    }

    /// Waits until the status of every VM meets `wanted`.
    pub(crate) async fn wait_status(&self, description: &str, wanted: impl Fn(&Value) -> bool) {
        for index in 0..VM_COUNT {
            let start = Instant::now();
            loop {
                let status = self.status(index).await;
                if status.as_ref().is_some_and(&wanted) {
                    break;
                }
                assert!(
                    start.elapsed() < WAIT_MAX,
                    "{description}: VM {index}: {status:?}"
                );
                monoio::time::sleep(POLL_PERIOD).await;
            }
        }
    }
}

pub(crate) fn append(tree: &Path, file: &str, text: &str) {
    let path = tree.join(file);
    let before = fs::read_to_string(&path).unwrap();
    fs::write(path, format!("{before}{text}")).unwrap();
}

fn copy_folder(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        let target = to.join(path.file_name().unwrap());
        if path.is_dir() {
            copy_folder(&path, &target);
        } else {
            fs::copy(&path, &target).unwrap();
        }
    }
}

/// Asserts that a request was rejected as not run, with a `retry-after` header.
pub(crate) fn assert_not_run(answer: &Fetched, code: &str) {
    assert_eq!(answer.status, 503, "{answer:?}");
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains(code), "{text}");
    assert!(text.contains("not-run"), "{text}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
}

pub(crate) fn all_vms() -> Vec<usize> {
    (0..VM_COUNT).collect()
}
