//! Measures the control plane: the time of a takeover between stewards, and the
//! rate of calls to the platform by number of VMs.
//!
//! `cargo run -p tarragonseam-cli --example control_calls -- PROGRAM calls 3 6`
//! prints one JSON line for each number of VMs. `... -- PROGRAM takeover 5` kills
//! five stewards, terminates another five, and prints one JSON line with the time
//! of each takeover.

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

const CONFIG: &str = "[services.registry]\ncapacity = { stable = 1 }\n[accounts.a]\n";
const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
const WARM_UP_TIME: Duration = Duration::from_secs(15);
const MEASURING_TIME: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(20);

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let (program, measurement) = (&arguments[0], arguments[1].as_str());
    let numbers = arguments[2..]
        .iter()
        .map(|number| number.parse::<usize>().unwrap());
    for number in numbers {
        let run = async {
            match measurement {
                "calls" => measure_calls(program, number).await,
                _ => measure_takeovers(program, number).await,
            }
        };
        println!("{}", link::runtime::run(run).unwrap());
    }
}

async fn start_deployment(program: &str, vms: usize, domains: &[&str]) -> Deployment {
    let folder = env::temp_dir().join(format!("tarragonseam-calls-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("tarragonseam.toml"), CONFIG).unwrap();
    let mut plan =
        Plan::new(&folder)
            .vms(vms, domains)
            .services("registry", domains.len(), domains);
    plan.window = MEASURING_TIME / 6;
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

async fn fetch_json(deployment: &Deployment, address: std::net::SocketAddr, path: &str) -> Value {
    let answer = deployment.pool.fetch(address, Call::get(path)).await;
    serde_json::from_slice(&answer.unwrap().body).unwrap()
}

/// Returns the number of calls that VMs have made to the platform, by kind of
/// call.
async fn sum_calls(deployment: &Deployment) -> BTreeMap<String, u64> {
    let stats = fetch_json(deployment, deployment.platform, "/stats").await;
    let mut sums = BTreeMap::new();
    for (vm, calls) in stats["by_vm"].as_object().unwrap() {
        if vm == "cli" {
            continue;
        }
        for (kind, count) in calls.as_object().unwrap() {
            *sums.entry(kind.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    sums
}

async fn measure_calls(program: &str, vms: usize) -> Value {
    let deployment = start_deployment(program, vms, &FAILURE_DOMAINS).await;
    monoio::time::sleep(WARM_UP_TIME).await;
    let (before, ticks_before) = (sum_calls(&deployment).await, steward_cpu_ticks(&deployment));
    monoio::time::sleep(MEASURING_TIME).await;
    let (after, ticks_after) = (sum_calls(&deployment).await, steward_cpu_ticks(&deployment));
    let minutes = MEASURING_TIME.as_secs_f64() / 60.0;
    let per_minute: BTreeMap<_, _> = after
        .iter()
        .map(|(kind, count)| {
            let count = count - before.get(kind).copied().unwrap_or(0);
            (kind, count as f64 / minutes)
        })
        .collect();
    let ids = deployment.vms.iter().filter_map(|vm| vm.steward.id());
    let resident: Vec<_> = ids.map(resident_kib).collect();
    json!({
        "vms": vms,
        "failure_domains": FAILURE_DOMAINS.len(),
        "calls_per_minute": per_minute,
        "steward_cpu_percent": (ticks_after - ticks_before) / MEASURING_TIME.as_secs_f64() / vms as f64,
        "steward_resident_kb_max": resident.iter().max(),
        "load_average": load_average(),
    })
}

/// Returns the CPU time of all stewards in clock ticks, which are hundredths of
/// a second on Linux.
fn steward_cpu_ticks(deployment: &Deployment) -> f64 {
    let ids = deployment.vms.iter().filter_map(|vm| vm.steward.id());
    ids.map(|id| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()
    })
    .sum()
}

fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let text = line.and_then(|line| line.split_whitespace().nth(1));
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap();
    text.split(' ').next().unwrap_or_default().to_string()
}

async fn measure_takeovers(program: &str, rounds: usize) -> Value {
    let mut deployment = start_deployment(program, 3, &["a"]).await;
    let mut kill_times_ms = Vec::new();
    let mut term_times_ms = Vec::new();
    for round in 0..rounds * 2 {
        let (vm_index, _) = wait_for_holder(&deployment, None).await;
        let start = Instant::now();
        if round % 2 == 0 {
            deployment.vms[vm_index].steward.kill();
        } else {
            deployment.vms[vm_index].steward.signal("TERM").unwrap();
        }
        wait_for_holder(&deployment, Some(vm_index)).await;
        let elapsed_ms = start.elapsed().as_millis() as u64;
        if round % 2 == 0 {
            kill_times_ms.push(elapsed_ms);
        } else {
            term_times_ms.push(elapsed_ms);
        }
        deployment.vms[vm_index].steward.kill();
        deployment.start_steward(vm_index).unwrap();
        monoio::time::sleep(Duration::from_secs(3)).await;
    }
    kill_times_ms.sort_unstable();
    term_times_ms.sort_unstable();
    json!({
        "vms": 3,
        "takeover_after_kill_ms": kill_times_ms,
        "takeover_after_term_ms": term_times_ms,
        "load_average": load_average(),
    })
}

/// Waits until a steward other than `excluded` holds an order lease, and returns
/// the index of its VM and its epoch.
async fn wait_for_holder(deployment: &Deployment, excluded: Option<usize>) -> (usize, u64) {
    loop {
        for (vm_index, vm) in deployment.vms.iter().enumerate() {
            if Some(vm_index) == excluded {
                continue;
            }
            let call = Call::get("/status").deadline(Duration::from_secs(1));
            let Ok(answer) = deployment.pool.fetch(vm.steward_admin, call).await else {
                continue;
            };
            let status: Value = serde_json::from_slice(&answer.body).unwrap();
            if let Some(epoch) = status["orders_epoch"].as_u64() {
                return (vm_index, epoch);
            }
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
}
