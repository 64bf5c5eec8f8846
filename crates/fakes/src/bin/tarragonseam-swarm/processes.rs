//! Measurements with an entry and a steward process for each VM, on loopback.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use board::key::{Digest, Grant};
use link::{
    http::client::Call,
    platform::{Client, Condition},
};
use serde_json::{Value, json};
use tarragonseam_fakes::deployment::{Deployment, Plan};

use crate::{
    PROCESS_DOMAINS, process,
    row::{self, Row},
    traffic,
};

/// The settings of the measurement.
pub(crate) struct Setup {
    /// The command-line program, which runs the daemons.
    pub(crate) program: PathBuf,
    /// The folder with the operators' files.
    pub(crate) tree: PathBuf,
    /// The time between the start and the measurement without changes.
    pub(crate) stabilization_time: Duration,
    /// The duration of the measurement without changes.
    pub(crate) quiet_time: Duration,
}

/// A running deployment, and the command-line program.
struct Experiment<'a> {
    program: &'a Path,
    deployment: Deployment,
}

/// Measures a deployment of `vms` VMs.
pub(crate) async fn run(setup: &Setup, vms: usize) -> Row {
    let experiment = Experiment::start(&setup.program, &setup.tree, vms).await;
    monoio::time::sleep(setup.stabilization_time).await;
    let mut row = Row {
        mode: "an entry and a steward process for each VM, on loopback",
        vms,
        endpoints: experiment.deployment.endpoints.len(),
        failure_domains: PROCESS_DOMAINS.len(),
        load_average: row::load_average(),
        ..Row::default()
    };
    experiment.measure_quiet(&mut row, setup.quiet_time).await;
    experiment.measure_changes(&mut row).await;
    row
}

impl<'a> Experiment<'a> {
    async fn start(program: &'a Path, tree: &Path, vms: usize) -> Self {
        let plan = Plan::new(tree)
            .vms(vms, PROCESS_DOMAINS)
            .engines("tasting-notes", 8, PROCESS_DOMAINS)
            .services("entry-registry", 3, PROCESS_DOMAINS);
        let deployment = Deployment::start(program, &plan).await;
        let deployment = deployment.expect("the deployment should start");
        let experiment = Self {
            program,
            deployment,
        };
        experiment.publish();
        experiment
            .deployment
            .wait_ready()
            .await
            .expect("all VMs should become ready");
        experiment
    }

    /// Runs an operators' command and returns its standard output.
    fn command(&self, arguments: &[&str]) -> String {
        let platform = format!("--platform={}", self.deployment.platform);
        let output = std::process::Command::new(self.program)
            .args(arguments)
            .arg(platform)
            .output();
        String::from_utf8(output.expect("the command should run").stdout).unwrap_or_default()
    }

    fn publish(&self) {
        let tree = self.deployment.tree.display().to_string();
        self.command(&["publish", &tree]);
    }

    /// Measures the traffic, processor time and memory per VM while nothing
    /// changes.
    async fn measure_quiet(&self, row: &mut Row, time: Duration) {
        let deployment = &self.deployment;
        let entries: Vec<_> = deployment.vms.iter().map(|vm| vm.entry.id()).collect();
        let stewards: Vec<_> = deployment.vms.iter().map(|vm| vm.steward.id()).collect();
        let cpu = |ids: &[Option<u32>]| -> f64 {
            let ids = ids.iter().flatten();
            ids.map(|id| process::cpu_seconds(*id)).sum()
        };
        let bytes = traffic::bytes(deployment).await;
        let calls = traffic::calls(deployment).await;
        let (entry_cpu, steward_cpu, start) = (cpu(&entries), cpu(&stewards), Instant::now());
        monoio::time::sleep(time).await;
        let elapsed_s = start.elapsed().as_secs_f64();
        let entry_cpu = cpu(&entries) - entry_cpu;
        let steward_cpu = cpu(&stewards) - steward_cpu;
        let ids = entries.iter().chain(&stewards).flatten();
        let memory = ids.map(|id| process::resident_bytes(&id.to_string()));
        let per_vm = |total: f64| total / deployment.vms.len() as f64;
        row.quiet_core = per_vm(entry_cpu + steward_cpu) / elapsed_s;
        let core = json!(per_vm(entry_cpu) / elapsed_s);
        let name = "part of a core, entry daemon".to_string();
        row.detail.insert(name, core);
        row.memory_bytes = per_vm(memory.sum());
        for (kind, after) in traffic::bytes(deployment).await {
            let rate = per_vm(after - bytes.get(&kind).unwrap_or(&0.0)) / elapsed_s;
            row.quiet_bytes_per_s += rate;
            let name = format!("bytes_per_s {kind}");
            row.detail.insert(name, json!(rate));
        }
        for (kind, after) in traffic::calls(deployment).await {
            let rate = (after - calls.get(&kind).unwrap_or(&0.0)) * 60.0 / elapsed_s;
            let name = format!("platform calls a minute {kind}");
            row.detail.insert(name, json!(rate));
        }
    }

    /// Measures the time that configurations and withdrawals of keys take to
    /// reach all VMs.
    async fn measure_changes(&self, row: &mut Row) {
        let platform = Client::new(self.deployment.platform, "experiment");
        for revision in 2..7 {
            let changed = self.change_configuration(revision).await;
            row.configuration_ms.push(changed.as_millis() as u64);
            let withdrawn = self.withdraw_key(&platform, revision - 1).await;
            row.withdrawal_ms.push(withdrawn.as_millis() as u64);
        }
    }

    /// Publishes a configuration with one more account, and returns the time
    /// until all VMs use it.
    async fn change_configuration(&self, revision: u64) -> Duration {
        let file = self.deployment.tree.join("accounts/tarragonseam.toml");
        let text = fs::read_to_string(&file).unwrap_or_default();
        let text = format!("{text}\n[accounts.next-{revision}]\n");
        fs::write(&file, text).expect("the file should be writable");
        let start = Instant::now();
        self.publish();
        wait_status(&self.deployment, |status| status["revision"] == revision).await;
        start.elapsed()
    }

    /// Issues a key, withdraws it, and returns the time until all VMs reject it.
    /// `key_count` is the number of keys, withdrawn ones included, that each VM
    /// has after the issue.
    async fn withdraw_key(&self, platform: &Client, key_count: u64) -> Duration {
        let key = self.command(&["key", "issue", "panel-nord"]);
        let key = key.trim();
        wait_status(&self.deployment, |status| status["keys"] == key_count).await;
        withdraw_unannounced(platform, key).await;
        let start = Instant::now();
        for vm in &self.deployment.vms {
            while status_of(&self.deployment, vm.callers, key).await != 401 {}
        }
        start.elapsed()
    }
}

/// Marks a key as withdrawn at the platform without notifying any VM.
async fn withdraw_unannounced(platform: &Client, key: &str) {
    let name = Digest::of(key).to_string();
    let (version, grant) = platform
        .read::<Grant>("key", &name)
        .await
        .expect("the key should exist");
    let next = Grant {
        withdrawn: true,
        ..grant
    };
    let write = platform.write("key", &name, Condition::At(version), &next);
    write.await.expect("the withdrawal should be written");
}

/// Returns the status of a generate request with `key`, or 0 without an answer.
async fn status_of(deployment: &Deployment, callers: std::net::SocketAddr, key: &str) -> u16 {
    let body = json!({ "prompt": "a still cider", "max_tokens": 1 }).to_string();
    let call = Call::post("/v1/models/tasting-notes/generate", body)
        .header("authorization", format!("Bearer {key}"));
    let answer = deployment.pool.fetch(callers, call).await;
    answer.map_or(0, |answer| answer.status.as_u16())
}

/// Waits until `is_expected` returns true for the status page of each VM.
async fn wait_status(deployment: &Deployment, is_expected: impl Fn(&Value) -> bool) {
    for vm in &deployment.vms {
        let is_done = |answer: &link::http::client::Fetched| {
            serde_json::from_slice(&answer.body).is_ok_and(|status| is_expected(&status))
        };
        let seen = deployment.wait_for(vm.entry_admin, "/status", is_done);
        seen.await.expect("the change should arrive in time");
    }
}
