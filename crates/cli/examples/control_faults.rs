//! Measures the control plane during an outage of the platform, or while the
//! platform is slow.
//!
//! `cargo run -p tarragonseam-cli --example control_faults -- PROGRAM outage 60`
//! prints a JSON object for an outage of 60 s. `... -- PROGRAM slow 60 500`
//! prints one for 60 s in which the platform delays each call by 500 ms.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    env, fs,
    net::SocketAddr,
    path::Path,
    process::Command,
    rc::Rc,
    time::{Duration, Instant},
};

use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;
use serde_json::{Value, json};

const CONFIG: &str = "[models.notes]\nmax_tokens = 64\ncapacity = { stable = 1 }\n[accounts.a]\n";
const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
const VM_COUNT: usize = 6;
/// How long callers are measured before the fault, and again after it.
const UNDISTURBED_TIME: Duration = Duration::from_secs(15);
const USAGE_WINDOW: Duration = Duration::from_secs(5);
const POLL_PERIOD: Duration = Duration::from_millis(100);
const CALL_PERIOD: Duration = Duration::from_millis(50);
const WAIT_MAX: Duration = Duration::from_secs(120);
/// Each failure domain has a lease for orders, and one lease is for usage
/// reports.
const LEASE_COUNT: usize = FAILURE_DOMAINS.len() + 1;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let fault_time = Duration::from_secs(arguments[2].parse().unwrap());
    let switches = match arguments[1].as_str() {
        "outage" => json!({"outage": true}),
        _ => json!({"latency_ms": arguments[3].parse::<u64>().unwrap()}),
    };
    let run = measure(&arguments[0], switches, fault_time);
    println!("{:#}", link::runtime::run(run).unwrap());
}

/// The responses that callers received in one phase, by status, and the longest
/// time that a call took.
#[derive(Default)]
struct Phase {
    answers: BTreeMap<String, u64>,
    longest_wait: Duration,
}

#[derive(Default)]
struct Observations {
    phases: RefCell<BTreeMap<&'static str, Phase>>,
    phase: Cell<&'static str>,
    requests: Cell<u64>,
    tokens: Cell<u64>,
    is_finished: Cell<bool>,
}

async fn measure(program: &str, switches: Value, fault_time: Duration) -> Value {
    let folder = env::temp_dir().join(format!("tarragonseam-faults-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("tarragonseam.toml"), CONFIG).unwrap();
    let mut plan =
        Plan::new(&folder)
            .vms(VM_COUNT, &FAILURE_DOMAINS)
            .engines("notes", 3, &FAILURE_DOMAINS);
    plan.window = USAGE_WINDOW;
    let deployment = Deployment::start(Path::new(program), &plan).await.unwrap();
    let deployment = Rc::new(deployment);
    publish_line(program, &deployment, "");
    deployment.wait_ready().await.unwrap();
    let key = run_command(program, &deployment, &["key", "issue", "a"]);
    let key = key.split_whitespace().last().unwrap().to_string();
    wait_until(|| is_key_known(&deployment, &key)).await;

    let observations = Rc::new(Observations::default());
    observations.phase.set("before");
    monoio::spawn(call_vms_in_turn(
        deployment.clone(),
        key.clone(),
        observations.clone(),
    ));
    monoio::time::sleep(UNDISTURBED_TIME).await;
    observations.phase.set("during");
    set_switches(&deployment, switches.clone()).await;
    let start = Instant::now();
    let mut time_without_all_leases = Duration::ZERO;
    let mut change_during_ms = None;
    if switches["outage"].is_null() {
        change_during_ms = Some(publish_change(program, &deployment, "[accounts.b]\n").await);
    }
    while start.elapsed() < fault_time {
        monoio::time::sleep(POLL_PERIOD).await;
        if count_held_leases(&deployment).await < LEASE_COUNT {
            time_without_all_leases += POLL_PERIOD;
        }
    }
    set_switches(&deployment, json!({"reset": true})).await;
    observations.phase.set("after");
    let held_after_ms =
        wait_until(|| async { count_held_leases(&deployment).await == LEASE_COUNT }).await;
    let change_after_ms = publish_change(program, &deployment, "[accounts.c]\n").await;
    monoio::time::sleep(UNDISTURBED_TIME).await;
    observations.is_finished.set(true);
    monoio::time::sleep(USAGE_WINDOW).await;
    let served = (observations.requests.get(), observations.tokens.get());
    let billed_after_ms = wait_until(|| async { sum_reports(&deployment).await == served }).await;
    let reports = fetch_json(&deployment, deployment.platform, "/v1/usage").await;
    let reported_usage = sum_reports(&deployment).await;
    let phases = observations.phases.borrow();
    let phases: BTreeMap<_, _> = phases
        .iter()
        .map(|(name, phase)| {
            let longest_ms = phase.longest_wait.as_millis() as u64;
            let summary = json!({"answers": phase.answers, "longest_ms": longest_ms});
            (name, summary)
        })
        .collect();
    json!({
        "switches": switches,
        "span_s": fault_time.as_secs(),
        "vms": VM_COUNT,
        "callers": phases,
        "not_all_leases_held_ms": time_without_all_leases.as_millis() as u64,
        "all_leases_held_after_ms": held_after_ms,
        "configuration_during_ms": change_during_ms,
        "configuration_after_ms": change_after_ms,
        "served": [served.0, served.1],
        "billed_exactly_after_ms": billed_after_ms,
        "reported": [reported_usage.0, reported_usage.1],
        "report_violations": reports["violations"],
        "load_average": fs::read_to_string("/proc/loadavg").unwrap().trim(),
    })
}

/// Requests one token from each VM in turn until the measurement is finished.
async fn call_vms_in_turn(deployment: Rc<Deployment>, key: String, observations: Rc<Observations>) {
    for call_number in 0.. {
        if observations.is_finished.get() {
            return;
        }
        let callers = deployment.vms[call_number % VM_COUNT].callers;
        let (start, phase) = (Instant::now(), observations.phase.get());
        let answer = generate(&deployment, callers, &key).await;
        let elapsed = start.elapsed();
        let result = answer
            .as_ref()
            .map_or("failed".to_string(), |(status, _)| status.to_string());
        if let Some((200, body)) = &answer {
            let tokens = body["usage"]["tokens_out"].as_u64().unwrap();
            observations.requests.set(observations.requests.get() + 1);
            observations.tokens.set(observations.tokens.get() + tokens);
        }
        {
            let mut phases = observations.phases.borrow_mut();
            let phase = phases.entry(phase).or_default();
            *phase.answers.entry(result).or_default() += 1;
            phase.longest_wait = phase.longest_wait.max(elapsed);
        }
        monoio::time::sleep(CALL_PERIOD.saturating_sub(elapsed)).await;
    }
}

async fn generate(deployment: &Deployment, to: SocketAddr, key: &str) -> Option<(u16, Value)> {
    let body = json!({"prompt": "two words", "max_tokens": 1, "seed": 1});
    let call = Call::post("/v1/models/notes/generate", body.to_string())
        .header("authorization", format!("Bearer {key}"))
        .deadline(Duration::from_secs(10));
    let answer = deployment.pool.fetch(to, call).await.ok()?;
    let body = serde_json::from_slice(&answer.body).unwrap_or_default();
    Some((answer.status.as_u16(), body))
}

/// Returns whether every VM accepts `key`.
///
/// The requests have no valid body, so they are not billed.
async fn is_key_known(deployment: &Deployment, key: &str) -> bool {
    for vm in &deployment.vms {
        let call = Call::post("/v1/models/notes/generate", "{}")
            .header("authorization", format!("Bearer {key}"));
        match deployment.pool.fetch(vm.callers, call).await {
            Ok(answer) if answer.status.as_u16() != 401 => {}
            _ => return false,
        }
    }
    true
}

/// Adds `line` to the configuration, publishes it and returns the time until it
/// is in force on every VM, in milliseconds.
async fn publish_change(program: &str, deployment: &Deployment, line: &str) -> Option<u64> {
    let before = fetch_revision(deployment, 0).await;
    let start = Instant::now();
    publish_line(program, deployment, line);
    let is_in_force = || async {
        for vm_index in 0..VM_COUNT {
            if fetch_revision(deployment, vm_index).await <= before {
                return false;
            }
        }
        true
    };
    wait_until(is_in_force).await?;
    Some(start.elapsed().as_millis() as u64)
}

async fn fetch_revision(deployment: &Deployment, vm_index: usize) -> u64 {
    let admin = deployment.vms[vm_index].entry_admin;
    let status = fetch_json(deployment, admin, "/status").await;
    status["revision"].as_u64().unwrap_or(0)
}

/// Returns how many leases are held according to the stewards.
async fn count_held_leases(deployment: &Deployment) -> usize {
    let mut held = 0;
    for vm in &deployment.vms {
        let status = fetch_json(deployment, vm.steward_admin, "/status").await;
        held += usize::from(status["orders_epoch"].is_u64());
        held += usize::from(status["reports_epoch"].is_u64());
    }
    held
}

/// Returns the sums of requests and output tokens over all usage reports.
async fn sum_reports(deployment: &Deployment) -> (u64, u64) {
    let reports = fetch_json(deployment, deployment.platform, "/v1/usage").await;
    let windows = reports["reports"].as_array().into_iter().flatten();
    let lines = windows.flat_map(|window| window["figures"].as_array().into_iter().flatten());
    lines.fold((0, 0), |(requests, tokens), line| {
        let figure = |name: &str| line[name].as_u64().unwrap_or(0);
        (requests + figure("requests"), tokens + figure("tokens_out"))
    })
}

fn publish_line(program: &str, deployment: &Deployment, line: &str) {
    let file = deployment.tree.join("tarragonseam.toml");
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, format!("{text}{line}")).unwrap();
    let tree = deployment.tree.display().to_string();
    run_command(program, deployment, &["publish", &tree]);
}

fn run_command(program: &str, deployment: &Deployment, arguments: &[&str]) -> String {
    let platform = format!("--platform={}", deployment.platform);
    let mut command = Command::new(program);
    let output = command.args(arguments).arg(platform).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Polls `condition` and returns the time until it holds, in milliseconds, or
/// `None` if it does not hold within [`WAIT_MAX`].
async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) -> Option<u64> {
    let start = Instant::now();
    while start.elapsed() < WAIT_MAX {
        if condition().await {
            return Some(start.elapsed().as_millis() as u64);
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
    None
}

async fn fetch_json(deployment: &Deployment, address: SocketAddr, path: &str) -> Value {
    let answer = deployment.pool.fetch(address, Call::get(path)).await;
    answer.map_or(Value::Null, |answer| {
        serde_json::from_slice(&answer.body).unwrap_or_default()
    })
}

async fn set_switches(deployment: &Deployment, switches: Value) {
    let call = Call::post("/fault", switches.to_string());
    let answer = deployment.pool.fetch(deployment.platform, call).await;
    assert!(answer.unwrap().status.is_success());
}
