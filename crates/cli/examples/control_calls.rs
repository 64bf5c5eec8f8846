//! Measures control: takeover time, and calls to the platform by number of VMs.
//!
//! `cargo run -p tarragonseam-cli --example control_calls -- PROGRAM calls 3 6`
//! prints a JSON line for each number of VMs;
//! `... -- PROGRAM takeover 5` prints one with the time of each takeover.

use std::{
    collections::BTreeMap,
    env, fs,
    path::Path,
    process::Command,
    time::{Duration, Instant},
};

use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;
use serde_json::{Value, json};

const FILE: &str = "[services.registry]\ncapacity = { stable = 1 }\n[accounts.a]\n";
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const WARM_UP: Duration = Duration::from_secs(15);
const SPAN: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let (program, what) = (&arguments[0], arguments[1].as_str());
    let numbers = arguments[2..].iter().map(|n| n.parse::<usize>().unwrap());
    for number in numbers {
        let run = async {
            match what {
                "calls" => calls(program, number).await,
                _ => takeovers(program, number).await,
            }
        };
        println!("{}", link::runtime::run(run).unwrap());
    }
}

async fn start(program: &str, vms: usize, domains: &[&str]) -> Deployment {
    let folder = env::temp_dir().join(format!("tarragonseam-calls-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("tarragonseam.toml"), FILE).unwrap();
    let mut plan =
        Plan::new(&folder)
            .vms(vms, domains)
            .services("registry", domains.len(), domains);
    plan.window = SPAN / 6;
    let deployment = Deployment::start(Path::new(program), &plan).await.unwrap();
    let platform = deployment.platform.to_string();
    let tree = folder.display().to_string();
    let published = Command::new(program)
        .args(["publish", &tree, "--platform", &platform])
        .output()
        .unwrap();
    assert!(published.status.success(), "{published:?}");
    deployment.wait_ready().await.unwrap();
    deployment
}

async fn get(deployment: &Deployment, address: std::net::SocketAddr, path: &str) -> Value {
    let answer = deployment.pool.fetch(address, Call::get(path)).await;
    serde_json::from_slice(&answer.unwrap().body).unwrap()
}

/// Sums the calls that name a VM, by kind.
async fn by_kind(deployment: &Deployment) -> BTreeMap<String, u64> {
    let stats = get(deployment, deployment.platform, "/stats").await;
    let mut sum = BTreeMap::new();
    for (vm, calls) in stats["by_vm"].as_object().unwrap() {
        if vm == "cli" {
            continue;
        }
        for (kind, count) in calls.as_object().unwrap() {
            *sum.entry(kind.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    sum
}

async fn calls(program: &str, vms: usize) -> Value {
    let deployment = start(program, vms, &DOMAINS).await;
    monoio::time::sleep(WARM_UP).await;
    let (before, cpu_before) = (by_kind(&deployment).await, cpu(&deployment));
    monoio::time::sleep(SPAN).await;
    let (after, cpu_after) = (by_kind(&deployment).await, cpu(&deployment));
    let minutes = SPAN.as_secs_f64() / 60.0;
    let per_minute: BTreeMap<_, _> = after
        .iter()
        .map(|(kind, count)| {
            let count = count - before.get(kind).copied().unwrap_or(0);
            (kind, count as f64 / minutes)
        })
        .collect();
    let ids = deployment.vms.iter().filter_map(|vm| vm.steward.id());
    let memory: Vec<_> = ids.map(resident_kb).collect();
    json!({
        "vms": vms,
        "failure_domains": DOMAINS.len(),
        "calls_per_minute": per_minute,
        "steward_cpu_percent": (cpu_after - cpu_before) / SPAN.as_secs_f64() / vms as f64,
        "steward_resident_kb_max": memory.iter().max(),
        "load_average": load_average(),
    })
}

/// Returns the processor time of all stewards, in hundredths of a second,
/// which is the system's tick.
fn cpu(deployment: &Deployment) -> f64 {
    let ids = deployment.vms.iter().filter_map(|vm| vm.steward.id());
    ids.map(|id| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()
    })
    .sum()
}

fn resident_kb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let text = line.and_then(|line| line.split_whitespace().nth(1));
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap();
    text.split(' ').next().unwrap_or_default().to_string()
}

async fn takeovers(program: &str, rounds: usize) -> Value {
    let mut deployment = start(program, 3, &["a"]).await;
    let mut killed = Vec::new();
    let mut stopped = Vec::new();
    for round in 0..rounds * 2 {
        let (place, _) = holder(&deployment, None).await;
        let start = Instant::now();
        if round % 2 == 0 {
            deployment.vms[place].steward.kill();
        } else {
            deployment.vms[place].steward.signal("TERM").unwrap();
        }
        holder(&deployment, Some(place)).await;
        let took = start.elapsed().as_millis() as u64;
        if round % 2 == 0 {
            killed.push(took);
        } else {
            stopped.push(took);
        }
        deployment.vms[place].steward.kill();
        deployment.start_steward(place).unwrap();
        monoio::time::sleep(Duration::from_secs(3)).await;
    }
    killed.sort_unstable();
    stopped.sort_unstable();
    json!({
        "vms": 3,
        "takeover_after_kill_ms": killed,
        "takeover_after_term_ms": stopped,
        "load_average": load_average(),
    })
}

/// Waits for a steward besides `but` that may send orders.
async fn holder(deployment: &Deployment, but: Option<usize>) -> (usize, u64) {
    loop {
        for (place, vm) in deployment.vms.iter().enumerate() {
            if Some(place) == but {
                continue;
            }
            let call = Call::get("/status").deadline(Duration::from_secs(1));
            let Ok(answer) = deployment.pool.fetch(vm.steward_admin, call).await else {
                continue;
            };
            let status: Value = serde_json::from_slice(&answer.body).unwrap();
            if let Some(epoch) = status["orders_epoch"].as_u64() {
                return (place, epoch);
            }
        }
        monoio::time::sleep(POLL).await;
    }
}
