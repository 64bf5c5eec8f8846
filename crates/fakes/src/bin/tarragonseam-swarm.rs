//! Measures what control costs a VM, and how long changes take: with many VMs'
//! decisions in one process, or with processes of a deployment.

use std::{
    collections::BTreeMap,
    fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use board::{
    config::{Part, manifest},
    endpoint::{Record, State, Tenure},
    key::{Digest, Grant},
    shared::{Fact, Item},
};
use clap::Parser;
use link::{
    http::client::Call,
    platform::{Client, When},
};
use serde::Serialize;
use serde_json::{Value, json};
use tarragonseam_fakes::{
    deployment::{Deployment, Plan},
    swarm::Swarm,
};

/// Measures control.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Many VMs' decisions in one process, over a made-up network.
    Decisions {
        /// VMs, endpoints and failure domains of each run, as `390x6100x8`.
        sizes: Vec<String>,
        /// Simulated seconds of the quiet part.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// An entry and a steward process for each VM, on loopback.
    Processes {
        /// The program with the daemons.
        #[arg(long)]
        program: PathBuf,
        /// The operators' files.
        #[arg(long, default_value = "examples/cider-festival")]
        tree: PathBuf,
        /// VMs of each run.
        vms: Vec<usize>,
        /// Seconds of the quiet part.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
        /// Seconds between the start and the quiet part.
        #[arg(long, default_value_t = 5)]
        settle: u64,
    },
}

#[derive(Debug, Default, Serialize)]
struct Row {
    mode: &'static str,
    vms: usize,
    endpoints: usize,
    failure_domains: usize,
    load_average: String,
    /// Bytes sent and received by a VM each second while nothing changes.
    quiet_bytes_per_s: f64,
    /// Part of a core that one VM uses while nothing changes.
    quiet_core: f64,
    /// Memory of one VM, in bytes.
    memory_bytes: f64,
    /// From the acceptance of a withdrawal, told to no VM by the command, to
    /// all VMs, in milliseconds.
    withdrawal_ms: Vec<u64>,
    /// From the start of a publication, with the command's own time, to all
    /// VMs, in milliseconds.
    configuration_ms: Vec<u64>,
    /// From a crash to all VMs thinking so, in milliseconds.
    crash_ms: Option<u64>,
    /// Bytes of one VM for one change of an endpoint.
    change_bytes: f64,
    /// Further counters.
    detail: BTreeMap<String, Value>,
}

fn main() {
    let rows: Vec<Row> = match Arguments::parse().command {
        Command::Decisions { sizes, seconds } => {
            sizes.iter().map(|size| decisions(size, seconds)).collect()
        }
        Command::Processes {
            program,
            tree,
            vms,
            seconds,
            settle,
        } => {
            let span = (seconds, settle);
            let run = |count| link::runtime::run(processes(&program, &tree, count, span));
            vms.into_iter()
                .map(|count| run(count).expect("a runtime"))
                .collect()
        }
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&rows).unwrap_or_default()
    );
}

const DOMAINS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}

fn own_memory() -> f64 {
    memory_of("self")
}

/// Returns the resident memory of a process in bytes.
fn memory_of(process: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or_default() * 1024.0
}

/// Returns the processor time of a process in seconds.
fn cpu_of(process: u32) -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after.split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS_PER_S
}

fn decisions(size: &str, seconds: u64) -> Row {
    let numbers: Vec<usize> = size.split('x').filter_map(|n| n.parse().ok()).collect();
    let [vms, endpoints, domains] = numbers[..] else {
        panic!("{size} is not VMSxENDPOINTSxDOMAINS");
    };
    let domains = &DOMAINS[..domains];
    let before = own_memory();
    let mut swarm = Swarm::new(vms, domains, 1);
    swarm.run(Duration::from_secs(5));
    let records = (0..endpoints).map(|place| endpoint(place, domains, State::Ready));
    let items: Vec<_> = records
        .map(|record| fact(1, Fact::Endpoint(record)))
        .collect();
    swarm.publish(0, items);
    swarm.publish(0, vec![key(1, false)]);
    let known = |swarm: &Swarm| {
        let digests = swarm.nodes[0].board.shared.digests();
        swarm
            .nodes
            .iter()
            .all(|n| n.board.shared.digests() == digests)
    };
    let learned = swarm.run_until(Duration::from_secs(60), known);
    let memory = (own_memory() - before) / vms as f64;
    swarm.run(Duration::from_secs(2));

    let (bytes, start) = (traffic(&swarm), Instant::now());
    swarm.run(Duration::from_secs(seconds));
    let took = start.elapsed().as_secs_f64();
    let quiet = (traffic(&swarm) - bytes) / (vms as f64 * seconds as f64);

    let mut row = Row {
        mode: "decisions of many VMs in one process, without sockets",
        vms,
        endpoints,
        failure_domains: domains.len(),
        load_average: load_average(),
        quiet_bytes_per_s: quiet,
        quiet_core: took / (vms as f64 * seconds as f64),
        memory_bytes: memory,
        ..Row::default()
    };
    let millis = |time: Option<Duration>| time.map_or(u64::MAX, |t| t.as_millis() as u64);
    let limit = Duration::from_secs(60);
    for version in 2..7 {
        let place = version as usize * 7 % vms;
        swarm.publish(place, vec![key(version, true)]);
        row.withdrawal_ms
            .push(millis(swarm.run_until(limit, known)));
        let text = format!("[accounts.a]\nweight = {version}\n");
        let part = Part {
            file: "a.toml".to_string(),
            text: text.clone(),
        };
        let manifest = manifest::of_parts(version, &[part]);
        policy::dissemination::take_part(&mut swarm.nodes[place].board, text);
        swarm.publish(place, vec![fact(version, Fact::Config(manifest))]);
        row.configuration_ms
            .push(millis(swarm.run_until(limit, known)));
    }
    let (bytes, start, changes) = (traffic(&swarm), swarm.now, 50);
    for place in 0..changes {
        let record = endpoint(place, domains, State::Leaving);
        swarm.publish(place % vms, vec![fact(2, Fact::Endpoint(record))]);
        swarm.run(Duration::from_millis(100));
    }
    swarm.run_until(limit, known);
    let quiet_part = quiet * vms as f64 * (swarm.now - start).as_secs_f64();
    row.change_bytes = (traffic(&swarm) - bytes - quiet_part) / (vms * changes) as f64;
    swarm.crash(vms - 1);
    row.crash_ms = swarm
        .run_until(limit, Swarm::is_converged)
        .map(|time| time.as_millis() as u64);
    row.detail
        .insert("learned_ms".into(), json!(millis(learned)));
    row
}

fn traffic(swarm: &Swarm) -> f64 {
    let bytes = swarm.nodes.iter().map(|node| node.sent + node.received);
    bytes.sum::<u64>() as f64
}

fn fact(version: u64, fact: Fact) -> Item {
    Item { version, fact }
}

fn key(version: u64, withdrawn: bool) -> Item {
    let account = "panel-nord".to_string();
    fact(
        version,
        Fact::Key(Digest::of("secret"), Grant { account, withdrawn }),
    )
}

fn endpoint(place: usize, domains: &[&str], state: State) -> Record {
    Record {
        id: format!("tasting-notes-{place}"),
        address: ([10, 1, (place / 250) as u8, (place % 250) as u8], 9000).into(),
        failure_domain: domains[place % domains.len()].to_string(),
        service: "tasting-notes".to_string(),
        tenure: Tenure::Cheap,
        state,
        checks_epoch: true,
        price: 1.0,
    }
}

async fn processes(
    program: &PathBuf,
    tree: &PathBuf,
    vms: usize,
    (seconds, settle): (u64, u64),
) -> Row {
    let domains = &DOMAINS[..3];
    let plan = Plan::new(tree)
        .vms(vms, domains)
        .engines("tasting-notes", 8, domains)
        .services("entry-registry", 3, domains);
    let deployment = Deployment::start(program, &plan)
        .await
        .expect("a deployment");
    let run = |arguments: &[&str]| {
        let platform = format!("--platform={}", deployment.platform);
        let output = std::process::Command::new(program)
            .args(arguments)
            .arg(platform)
            .output();
        String::from_utf8(output.expect("a command").stdout).unwrap_or_default()
    };
    let tree = deployment.tree.display().to_string();
    run(&["publish", &tree]);
    deployment.wait_ready().await.expect("ready VMs");
    monoio::time::sleep(Duration::from_secs(settle)).await;

    let entries: Vec<u32> = deployment
        .vms
        .iter()
        .filter_map(|vm| vm.entry.id())
        .collect();
    let ids: Vec<u32> = deployment
        .vms
        .iter()
        .flat_map(|vm| [vm.entry.id(), vm.steward.id()])
        .flatten()
        .collect();
    let cpu_of_all = |ids: &[u32]| ids.iter().map(|id| cpu_of(*id)).sum::<f64>();
    let cpu = || (cpu_of_all(&ids), cpu_of_all(&entries));
    let (bytes, calls) = (control(&deployment).await, calls(&deployment).await);
    let (before, start) = (cpu(), Instant::now());
    monoio::time::sleep(Duration::from_secs(seconds)).await;
    let took = start.elapsed().as_secs_f64();
    let after = cpu();
    let (used, used_by_entries) = (after.0 - before.0, after.1 - before.1);
    let (bytes_after, calls_after) = (control(&deployment).await, self::calls(&deployment).await);
    let memory: f64 = ids.iter().map(|id| memory_of(&id.to_string())).sum();
    let per_vm = |total: f64| total / vms as f64;
    let mut row = Row {
        mode: "an entry and a steward process for each VM, on loopback",
        vms,
        endpoints: deployment.endpoints.len(),
        failure_domains: domains.len(),
        load_average: load_average(),
        quiet_core: per_vm(used) / took,
        memory_bytes: per_vm(memory),
        ..Row::default()
    };
    let core = json!(per_vm(used_by_entries) / took);
    row.detail
        .insert("part of a core, entry daemon".to_string(), core);
    for (kind, after) in &bytes_after {
        let rate = per_vm(after - bytes.get(kind).unwrap_or(&0.0)) / took;
        row.quiet_bytes_per_s += rate;
        row.detail
            .insert(format!("bytes_per_s {kind}"), json!(rate));
    }
    for (kind, after) in &calls_after {
        let rate = (after - calls.get(kind).unwrap_or(&0.0)) * 60.0 / took;
        row.detail
            .insert(format!("platform calls a minute {kind}"), json!(rate));
    }
    let platform = Client::new(deployment.platform, "experiment");
    for revision in 2..7_u64 {
        let file = deployment.tree.join("accounts/tarragonseam.toml");
        let text = fs::read_to_string(&file).unwrap_or_default();
        let text = format!("{text}\n[accounts.next-{revision}]\n");
        fs::write(&file, text).expect("a file");
        let start = Instant::now();
        run(&["publish", &tree]);
        wait(&deployment, |status| status["revision"] == revision).await;
        row.configuration_ms
            .push(start.elapsed().as_millis() as u64);
        let key = run(&["key", "issue", "panel-nord"]);
        wait(&deployment, |status| status["keys"] == revision - 1).await;
        withdraw(&platform, key.trim()).await;
        let start = Instant::now();
        for vm in &deployment.vms {
            while answer(&deployment, vm.callers, key.trim()).await != 401 {}
        }
        row.withdrawal_ms.push(start.elapsed().as_millis() as u64);
    }
    row
}

/// Marks a key as withdrawn at the platform without telling any VM.
async fn withdraw(platform: &Client, key: &str) {
    let name = Digest::of(key).to_string();
    let (version, grant) = platform.read::<Grant>("key", &name).await.expect("a key");
    let next = Grant {
        withdrawn: true,
        ..grant
    };
    let written = platform.write("key", &name, When::At(version), &next);
    written.await.expect("a withdrawal");
}

async fn answer(deployment: &Deployment, callers: std::net::SocketAddr, key: &str) -> u16 {
    let body = json!({ "prompt": "a still cider", "max_tokens": 1 }).to_string();
    let call = Call::post("/v1/models/tasting-notes/generate", body)
        .header("authorization", format!("Bearer {key}"));
    let answer = deployment.pool.fetch(callers, call).await;
    answer.map_or(0, |answer| answer.status.as_u16())
}

async fn wait(deployment: &Deployment, wanted: impl Fn(&Value) -> bool) {
    for vm in &deployment.vms {
        let is_done = |answer: &link::http::client::Fetched| {
            serde_json::from_slice(&answer.body).is_ok_and(|status| wanted(&status))
        };
        let seen = deployment.wait_for(vm.entry_admin, "/status", is_done);
        seen.await.expect("a change to arrive");
    }
}

/// Returns the bytes that all VMs sent and received, by kind.
async fn control(deployment: &Deployment) -> BTreeMap<String, f64> {
    let mut bytes = BTreeMap::new();
    for vm in &deployment.vms {
        let page = deployment
            .pool
            .fetch(vm.entry_admin, Call::get("/metrics"))
            .await;
        let page = page.map(|answer| answer.body).unwrap_or_default();
        let page = String::from_utf8_lossy(&page).into_owned();
        let lines = page
            .lines()
            .filter(|line| line.starts_with("tarragonseam_control_bytes"));
        for line in lines {
            let label = |name: &str| line.split(&format!("{name}=\"")).nth(1)?.split('"').next();
            let value = line
                .rsplit(' ')
                .next()
                .and_then(|value| value.parse::<f64>().ok());
            let (Some(direction), Some(kind), Some(value)) =
                (label("direction"), label("kind"), value)
            else {
                continue;
            };
            *bytes.entry(format!("{direction} {kind}")).or_default() += value;
        }
    }
    bytes
}

/// Returns the calls that the platform took, by kind.
async fn calls(deployment: &Deployment) -> BTreeMap<String, f64> {
    let page = deployment
        .pool
        .fetch(deployment.platform, Call::get("/stats"))
        .await;
    let stats: Value = page
        .ok()
        .and_then(|answer| serde_json::from_slice(&answer.body).ok())
        .unwrap_or_default();
    let calls = stats["calls"].as_object().cloned().unwrap_or_default();
    let number = |(kind, count): (String, Value)| Some((kind, count.as_f64()?));
    calls.into_iter().filter_map(number).collect()
}
