//! VMs as processes, connected to fakes of the platform.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod machines;
pub(crate) mod record;
pub(crate) mod stream;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use fakes::{
    blocking,
    deployment::{Block, Child},
    script::Script,
    site::{self, Plan, Site, State},
};
use link::{
    HeaderName, Method,
    http::client::{Call, Fetched},
};
use serde_json::{Value, json};
use tarragonseam_site::duty::collect::{self, CountsByProcess};

/// The host of all routes.
pub(crate) const HOST: &str = "site.example";
/// A key of the account `acme`.
pub(crate) const KEY: &str = "key-of-acme";

/// A VM and its process.
pub(crate) struct Vm {
    /// Its name.
    pub(crate) name: String,
    /// The address for callers.
    pub(crate) callers: SocketAddr,
    /// The address of the readiness check.
    pub(crate) ready: SocketAddr,
    /// The address of the metrics page.
    pub(crate) metrics: SocketAddr,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// VMs that share one fake platform.
pub(crate) struct Deployment {
    /// The fakes of the platform and its endpoints.
    pub(crate) site: Site,
    /// The VMs, of which number `n` is named `vm-n`.
    pub(crate) vms: Vec<Vm>,
    /// The VMs that only provide a disk.
    pub(crate) disks: Vec<DiskVm>,
    block: Block,
}

/// A VM that only provides a disk, and its process.
pub(crate) struct DiskVm {
    /// The address for other VMs.
    pub(crate) peers: SocketAddr,
    /// The folder on its disk.
    pub(crate) data: PathBuf,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Returns the configuration that all tests use.
pub(crate) fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "safe", "host": HOST, "path-prefix": "/safe/", "kind": "safe",
             "timeout-ms": 2000, "aim-ms": 150, "service": site::PLAIN_SERVICE, "max-attempts": 2,
             "public": false},
            {"name": "unsafe", "host": HOST, "path-prefix": "/unsafe/", "kind": "unsafe",
             "timeout-ms": 1000, "aim-ms": 150, "service": site::PLAIN_SERVICE, "max-attempts": 2,
             "public": false},
            {"name": "score", "host": HOST, "path-prefix": "/score/", "kind": "safe",
             "timeout-ms": 1000, "aim-ms": 150, "service": site::PLAIN_SERVICE, "max-attempts": 3,
             "public": true},
            {"name": "jobs", "host": HOST, "path-prefix": "/jobs-here/", "kind": "rollout",
             "timeout-ms": 10000, "aim-ms": 400, "service": site::ENGINE_SERVICE, "max-attempts": 3,
             "run-target-ms": 7500, "max-wait-s": 20, "public": false},
        ],
        "services": [
            {"name": site::ENGINE_SERVICE, "max-conns": 100,
             "engine": {"slots": 4, "kv-capacity-tokens": 10000, "models": [{"name": site::MODEL}]}},
            {"name": site::PLAIN_SERVICE, "max-conns": 100},
        ],
        "tenants": [
            {"name": "acme", "api-keys": [KEY]},
            {"name": "other", "api-keys": ["key-of-other"]},
        ],
    })
}

impl Deployment {
    /// Starts `count` VMs with the fakes of `plan`, and waits until all VMs are
    /// ready. All of them are coordinators.
    pub(crate) fn start(count: usize, plan: Plan) -> Self {
        Self::start_with_coordinators(count, count, plan)
    }

    /// Starts `count` VMs. Only the first `coordinators` of them are seeds,
    /// which makes them coordinators.
    pub(crate) fn start_with_coordinators(count: usize, coordinators: usize, plan: Plan) -> Self {
        Self::start_with_bounds(count, coordinators, plan, "", |_| {})
    }

    /// As [`start_with_coordinators`](Self::start_with_coordinators), with the lines
    /// `bounds` among the bounds of the settings. `prepare` changes the fakes before
    /// the VMs start.
    pub(crate) fn start_with_bounds(
        count: usize,
        coordinators: usize,
        plan: Plan,
        bounds: &str,
        prepare: impl FnOnce(&mut site::State),
    ) -> Self {
        let site = site::spawn(plan).unwrap();
        prepare(&mut site.state());
        site.state().put("config", "main", config(1));
        let mut block = Block::acquire().unwrap();
        let addresses: Vec<[SocketAddr; 4]> = (0..count)
            .map(|_| std::array::from_fn(|_| block.next()))
            .collect();
        let seeds: Vec<SocketAddr> = addresses
            .iter()
            .take(coordinators)
            .map(|vm| vm[2])
            .collect();
        let folder = block.folder();
        // An earlier deployment may have left files in the folder.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let vms = addresses.iter().enumerate().map(|(number, vm)| {
            let name = format!("vm-{number}");
            let settings = folder.join(format!("{name}.toml"));
            let text = settings_of(&name, vm, &seeds, &site);
            let text = text.replace("[limits]", &format!("{bounds}\n[limits]"));
            std::fs::write(&settings, text).unwrap();
            let log = folder.join(format!("{name}.log"));
            let [callers, ready, _, metrics] = *vm;
            let process = launch(&settings, metrics.port(), &log);
            Vm {
                name,
                callers,
                ready,
                metrics,
                process,
                settings,
                log,
            }
        });
        let vms = vms.collect();
        let deployment = Self {
            site,
            vms,
            disks: Vec::new(),
            block,
        };
        for vm in &deployment.vms {
            vm.wait_until_ready();
        }
        deployment
    }

    /// Starts `count` VMs on a platform that does not check the epochs of orders.
    pub(crate) fn start_unchecked(count: usize, plan: Plan) -> Self {
        let mut deployment = Self::start(count, plan);
        deployment.site.state().ignores_epochs = true;
        deployment.kill_all(false);
        for vm in &deployment.vms {
            vm.change_settings(|text| {
                text.replace("fence-checked = true", "fence-checked = false")
            });
        }
        deployment.site.state().reports.clear();
        deployment.restart_all();
        deployment
    }

    /// Starts `count` VMs with disks, each in a failure domain of its own, and
    /// waits until the coordinators know them.
    pub(crate) fn add_disks(&mut self, count: usize) {
        let text = std::fs::read_to_string(&self.vms[0].settings).unwrap();
        let seeds = text.lines().find(|line| line.starts_with("seeds")).unwrap();
        let folder = self.block.folder();
        for number in 0..count {
            let peers = self.block.next();
            let name = format!("disk-{number}");
            let settings = folder.join(format!("{name}.toml"));
            let data = folder.join(format!("{name}-data"));
            let text = format!(
                "node = \"{name}\"\nzone = \"zone-{number}\"\nip = \"{ip}\"\n{seeds}\n\
                 port-range = [{port}, {port}]\ndata-dir = \"{data}\"\n[listen]\n\
                 [platform]\naddress = \"{store}\"\n[cloud]\naddress = \"{provider}\"\n\
                 [bounds]\ngrace-s = 4\nreport-window-s = 1\nstatus-s = 120\nlease-ms = 3000\n\
                 [limits]\nmemory-mb = 260\n",
                ip = peers.ip(),
                port = peers.port(),
                data = data.display(),
                store = self.site.store,
                provider = self.site.provider,
            );
            std::fs::write(&settings, text).unwrap();
            let log = folder.join(format!("{name}.log"));
            let process = launch_without_metrics(&settings, &log);
            self.disks.push(DiskVm {
                peers,
                data,
                process,
                settings,
                log,
            });
        }
        for vm in self.vms.iter().filter(|_| count > 0) {
            wait("the disks to be known", || vm.knows_disks(count));
        }
    }

    /// Kills all VMs at the same moment, those with disks only if `with_disks`.
    pub(crate) fn kill_all(&mut self, with_disks: bool) {
        self.vms.iter_mut().for_each(Vm::kill);
        if with_disks {
            self.disks.iter_mut().for_each(|disk| disk.process.kill());
        }
    }

    /// Starts all VMs again that were killed, and waits until they are ready.
    pub(crate) fn restart_all(&mut self) {
        for disk in &mut self.disks {
            disk.start_if_ended();
        }
        self.vms.iter_mut().for_each(Vm::start_again);
        self.vms.iter().for_each(Vm::wait_until_ready);
    }

    /// Waits until a VM runs a job, and returns its index.
    pub(crate) fn runner(&self) -> usize {
        let mut runner = None;
        wait("a VM that runs the job", || {
            let is_runner = |vm: &Vm| vm.log().contains("started running job");
            runner = self.vms.iter().position(is_runner);
            runner.is_some()
        });
        runner.unwrap()
    }
}

fn settings_of(name: &str, vm: &[SocketAddr; 4], seeds: &[SocketAddr], site: &Site) -> String {
    let [callers, ready, peers, _] = vm;
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        r#"
node = "{name}"
zone = "zone-a"
ip = "{}"
seeds = [{}]
unknown-field = "ignored"
[listen]
front = "{callers}"
ready = "{ready}"
control = "{peers}"
[platform]
address = "{}"
[cloud]
address = "{}"
[tolerate]
machines = 1
[bounds]
grace-s = 4
report-window-s = 1
status-s = 120
lease-ms = 3000
fence-checked = true
[limits]
memory-mb = 260
"#,
        callers.ip(),
        seeds.join(", "),
        site.store,
        site.provider,
    )
}

fn launch(settings: &Path, metrics_port: u16, log: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonseam-vm"));
    command.env("TARRAGONSEAM_NODE_FILE", settings);
    command.arg("--metrics-port").arg(metrics_port.to_string());
    command.arg("--test-faults");
    Child::spawn(command, log).unwrap()
}

fn launch_without_metrics(settings: &Path, log: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonseam-vm"));
    command.env("TARRAGONSEAM_NODE_FILE", settings);
    Child::spawn(command, log).unwrap()
}

impl DiskVm {
    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        self.process.kill();
    }

    /// Sends `signal` to the process.
    pub(crate) fn signal(&self, signal: &str) {
        self.process.signal(signal).unwrap();
    }

    /// Returns whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        self.process.id().is_some() && self.process.exit_code().is_none()
    }

    /// Starts the process again if it has ended.
    pub(crate) fn start_if_ended(&mut self) {
        if self.process.id().is_none() {
            self.process = launch_without_metrics(&self.settings, &self.log);
        }
    }

    /// Returns what the VM has logged so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }
}

impl Vm {
    /// Returns whether the VM has logged that it knows `count` VMs with disks.
    fn knows_disks(&self, count: usize) -> bool {
        self.log().contains(&format!("\"disks\":{count}"))
    }

    /// Waits until the VM reports that it is ready.
    pub(crate) fn wait_until_ready(&self) {
        wait("a ready VM", || {
            let ready = blocking::fetch(self.ready, Call::get("/ready"));
            ready.is_ok_and(|answer| answer.status == 200)
        });
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        self.process.kill();
    }

    /// Starts the process again and waits until it is ready.
    pub(crate) fn restart(&mut self) {
        self.start_again();
        self.wait_until_ready();
    }

    /// Starts the process again. It may not be ready before the store is.
    pub(crate) fn start_again(&mut self) {
        self.process = launch(&self.settings, self.metrics.port(), &self.log);
    }

    /// Returns the text of the settings file.
    pub(crate) fn settings_text(&self) -> String {
        std::fs::read_to_string(&self.settings).unwrap()
    }

    /// Replaces the text of the settings file by the result of `change`.
    pub(crate) fn change_settings(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        std::fs::write(&self.settings, change(&text)).unwrap();
    }

    /// Replaces the faults of the VM's connections.
    pub(crate) fn set_faults(&self, faults: &Value) {
        let call = Call::post("/fault", faults.to_string());
        let answer = blocking::fetch(self.metrics, call).unwrap();
        assert_eq!(answer.status, 200);
    }

    /// Sends `signal` to the process.
    pub(crate) fn signal(&self, signal: &str) {
        self.process.signal(signal).unwrap();
    }

    /// Returns the exit code once the process has ended.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.process.exit_code()
    }

    /// Returns the id of the process.
    pub(crate) fn process_id(&self) -> u32 {
        self.process.id().unwrap()
    }

    /// Returns the peak of the memory of the process, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let status = format!("/proc/{}/status", self.process.id().unwrap());
        let status = std::fs::read_to_string(status).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.unwrap().trim().trim_end_matches(" kB");
        kilobytes.parse::<u64>().unwrap() * 1024
    }

    /// Returns the processor time that the process has used.
    pub(crate) fn processor_time(&self) -> Duration {
        let stat = format!("/proc/{}/stat", self.process.id().unwrap());
        let stat = std::fs::read_to_string(stat).unwrap();
        // The fields after the name of the program, which may contain spaces.
        let (_, fields) = stat.rsplit_once(')').unwrap();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks: u64 = fields[11..13]
            .iter()
            .map(|ticks| ticks.parse::<u64>().unwrap())
            .sum();
        // Linux counts in hundredths of a second on all architectures.
        Duration::from_millis(ticks * 10)
    }

    /// Returns what the VM has logged so far. A separate thread writes the lines,
    /// so those of a call may follow its response.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Waits until the VM has logged `text`.
    pub(crate) fn wait_until_logged(&self, text: &str) {
        wait(&format!("the log of {} with {text:?}", self.name), || {
            self.log().contains(text)
        });
    }

    /// Returns the page with the metrics.
    pub(crate) fn metrics_page(&self) -> String {
        let page = blocking::fetch(self.metrics, Call::get("/metrics")).unwrap();
        String::from_utf8_lossy(&page.body).to_string()
    }

    /// Sends a request of the account `acme`, and returns the response.
    pub(crate) fn request(&self, method: Method, path: &str, id: &str) -> Fetched {
        self.send(caller(method, path, id))
    }

    /// Sends `call`, and returns the whole response.
    pub(crate) fn send(&self, call: Call) -> Fetched {
        blocking::fetch(self.callers, call).unwrap()
    }

    /// Submits `job` with `id`, and returns the status.
    pub(crate) fn submit(&self, id: &str, job: &Value) -> u16 {
        self.submit_text(id, job.to_string())
    }

    /// As [`submit`](Self::submit), with the text of the job.
    pub(crate) fn submit_text(&self, id: &str, job: String) -> u16 {
        let call = caller(Method::POST, "/jobs-here/step", id).body(job);
        self.send(call).status.as_u16()
    }

    /// Reads the samples of `job` from position `from` on, and returns the
    /// status and the body.
    pub(crate) fn read(&self, job: &str, from: usize) -> (u16, Value) {
        let path = format!("/lots/{job}?after={from}");
        let answer = self.request(Method::GET, &path, "read");
        let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        (answer.status.as_u16(), body)
    }

    /// Reads `job` until it has `count` samples, and returns them.
    pub(crate) fn read_all(&self, job: &str, count: usize) -> Vec<Value> {
        let mut samples = Vec::new();
        wait("all samples", || {
            let (status, body) = self.read(job, 0);
            samples = body["results"].as_array().cloned().unwrap_or_default();
            status == 200 && samples.len() >= count
        });
        samples
    }
}

/// Starts a VM, one endpoint of each service, and `script` as another one of
/// `service`, which the VM prefers.
pub(crate) fn start_beside_script(service: &str, script: &Script) -> Deployment {
    let plan = Plan {
        engines: 1,
        plain: 1,
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    // The VM prefers an endpoint in its own failure domain.
    let mut state = deployment.site.state();
    for id in ["engine-0", "plain-0"] {
        state.endpoints.get_mut(id).unwrap().domain = "zone-b";
        state.announce(id, "ready");
    }
    drop(state);
    announce_script(&deployment, service, script);
    deployment
}

/// Returns the address at which other VMs reach `vm`.
pub(crate) fn peer_address(vm: &Vm) -> SocketAddr {
    let text = vm.settings_text();
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("control = "));
    line.unwrap().trim_matches('"').parse().unwrap()
}

/// Announces `script` as an endpoint of `service` that has a current model, and
/// waits until the first VM knows it.
pub(crate) fn announce_script(deployment: &Deployment, service: &str, script: &Script) {
    let record = json!({
        "service": service, "address": script.address.to_string(), "zone": "zone-a",
        "version": "v1", "slots": 1, "state": "ready", "born": 1,
        "models": [{"name": site::MODEL, "version": 1}],
    });
    deployment.site.state().put("servers", "scripted", record);
    let vm = &deployment.vms[0];
    wait("the scripted endpoint to be known", || {
        let log = vm.log();
        log.lines()
            .any(|line| line.contains("endpoint added") && line.contains("scripted"))
    });
}

/// Adds a route of event streams at `/stream/`, which may be resumed if
/// `is_resumable`. An attempt may run at two endpoints.
pub(crate) fn add_stream_route(deployment: &Deployment, is_resumable: bool) {
    add_stream_route_with(deployment, is_resumable, 2);
}

/// As [`add_stream_route`], with `max_attempts` endpoints for an attempt.
pub(crate) fn add_stream_route_with(
    deployment: &Deployment,
    is_resumable: bool,
    max_attempts: u32,
) {
    let mut config = config(3);
    let route = json!({
        "name": "stream", "host": HOST, "path-prefix": "/stream/", "kind": "unsafe",
        "timeout-ms": 5000, "aim-ms": 400, "service": site::ENGINE_SERVICE,
        "max-attempts": max_attempts,
        "public": false, "streaming": true, "resumable": is_resumable,
    });
    config["routes"].as_array_mut().unwrap().push(route);
    deployment.site.state().put("config", "main", config);
    for vm in &deployment.vms {
        wait("the configuration", || vm.log().contains("\"version\":3"));
    }
    std::thread::sleep(DISK_SEARCH_TIME);
}

/// How long after its start a VM may keep back the first events of streams, while it does
/// not know the VMs with disks.
const DISK_SEARCH_TIME: Duration = Duration::from_millis(600);

/// Returns a request of the account `acme`.
pub(crate) fn caller(method: Method, path: &str, id: &str) -> Call {
    Call::new(method, path)
        .host(HOST)
        .header("request-id", id)
        .header("deadline-ms", "2000")
        .header("x-api-key", KEY)
}

/// Returns a job of `count` items with the ids `prefix-0`, `prefix-1` and so
/// on. Two items each form a group, and each item yields `events` events.
pub(crate) fn job(prefix: &str, count: usize, events: u64) -> Value {
    let items = (0..count).map(|number| {
        let id = format!("{prefix}-{number}");
        json!({
            "id": id,
            "path": format!("/jobs-here/{id}"),
            "headers": {"X-Events": events.to_string(), "Model": site::MODEL},
            "body": BASE64.encode(&id),
            "tokens": 100,
            "group": format!("g{}", number / 2),
            "scorer": {
                "id": format!("score-{id}"), "host": HOST, "path": "/score/here",
                "body": BASE64.encode("score"),
            },
        })
    });
    json!({
        "step": 1, "model": site::MODEL, "min-version": 1, "desired": count / 2,
        "items": items.collect::<Vec<Value>>(),
    })
}

/// Returns the text that `item` has after `events` events.
pub(crate) fn text(item: &str, events: u64) -> String {
    let data: Vec<String> = (0..events).map(|n| site::event_text(item, n)).collect();
    data.join("\n")
}

/// Returns the header `name` of `answer`, or an empty text.
pub(crate) fn header(answer: &Fetched, name: &'static str) -> String {
    let value = answer.headers.get(HeaderName::from_static(name));
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

/// Returns the sum of the counts that are in the store.
pub(crate) fn submitted_requests(state: &State) -> u64 {
    let names = state.names("usage-counts");
    let objects = names
        .iter()
        .filter_map(|name| state.get("usage-counts", name));
    let mut all = CountsByProcess::new();
    for object in objects {
        collect::merge(&mut all, serde_json::from_value(object).unwrap());
    }
    all.values().flat_map(|counts| counts.values()).sum()
}

/// How long tests wait for a condition. Waits end as soon as it is true.
const WAIT_MAX: Duration = Duration::from_secs(30);
const WAIT_POLL: Duration = Duration::from_millis(10);

/// Waits until `condition` is true; panics with `description` after
/// [`WAIT_MAX`].
pub(crate) fn wait(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_MAX,
            "waited too long for {description}"
        );
        std::thread::sleep(WAIT_POLL);
    }
}
