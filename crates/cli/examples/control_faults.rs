//! Measures control through an outage of the platform, or a slow platform.
//!
//! `cargo run -p tarragonseam-cli --example control_faults -- PROGRAM outage 60`
//! prints one JSON object for an outage of 60 s; `... -- PROGRAM slow 60 500`
//! prints one for 60 s in which each call waits 500 ms.

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

const FILE: &str = "[models.notes]\nmax_tokens = 64\ncapacity = { stable = 1 }\n[accounts.a]\n";
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS: usize = 6;
const QUIET: Duration = Duration::from_secs(15);
const WINDOW: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(100);
const ASK_PERIOD: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(120);
/// One lease for each failure domain's orders and one for reports.
const LEASES: usize = DOMAINS.len() + 1;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let span = Duration::from_secs(arguments[2].parse().unwrap());
    let switches = match arguments[1].as_str() {
        "outage" => json!({"outage": true}),
        _ => json!({"latency_ms": arguments[3].parse::<u64>().unwrap()}),
    };
    let run = measure(&arguments[0], switches, span);
    println!("{:#}", link::runtime::run(run).unwrap());
}

/// What callers saw in one phase, and their longest wait.
#[derive(Default)]
struct Phase {
    answers: BTreeMap<String, u64>,
    longest: Duration,
}

#[derive(Default)]
struct Seen {
    phases: RefCell<BTreeMap<&'static str, Phase>>,
    phase: Cell<&'static str>,
    requests: Cell<u64>,
    tokens: Cell<u64>,
    is_over: Cell<bool>,
}

async fn measure(program: &str, switches: Value, span: Duration) -> Value {
    let folder = env::temp_dir().join(format!("tarragonseam-faults-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("tarragonseam.toml"), FILE).unwrap();
    let mut plan = Plan::new(&folder)
        .vms(VMS, &DOMAINS)
        .engines("notes", 3, &DOMAINS);
    plan.window = WINDOW;
    let deployment = Deployment::start(Path::new(program), &plan).await.unwrap();
    let deployment = Rc::new(deployment);
    publish(program, &deployment, "");
    deployment.wait_ready().await.unwrap();
    let key = operate(program, &deployment, &["key", "issue", "a"]);
    let key = key.split_whitespace().last().unwrap().to_string();
    until(|| is_known(&deployment, &key)).await;

    let seen = Rc::new(Seen::default());
    seen.phase.set("before");
    monoio::spawn(ask(deployment.clone(), key.clone(), seen.clone()));
    monoio::time::sleep(QUIET).await;
    seen.phase.set("during");
    fault(&deployment, switches.clone()).await;
    let start = Instant::now();
    let mut leaseless = Duration::ZERO;
    let mut change_during = None;
    if switches["outage"].is_null() {
        change_during = Some(change(program, &deployment, "[accounts.b]\n").await);
    }
    while start.elapsed() < span {
        monoio::time::sleep(POLL).await;
        if leases(&deployment).await < LEASES {
            leaseless += POLL;
        }
    }
    fault(&deployment, json!({"reset": true})).await;
    seen.phase.set("after");
    let held = until(|| async { leases(&deployment).await == LEASES }).await;
    let change_after = change(program, &deployment, "[accounts.c]\n").await;
    monoio::time::sleep(QUIET).await;
    seen.is_over.set(true);
    monoio::time::sleep(WINDOW).await;
    let served = (seen.requests.get(), seen.tokens.get());
    let billed = until(|| async { reported(&deployment).await == served }).await;
    let reports = get(&deployment, deployment.platform, "/v1/usage").await;
    let told = reported(&deployment).await;
    let phases = seen.phases.borrow();
    let phases: BTreeMap<_, _> = phases
        .iter()
        .map(|(name, phase)| {
            let longest_ms = phase.longest.as_millis() as u64;
            let told = json!({"answers": phase.answers, "longest_ms": longest_ms});
            (name, told)
        })
        .collect();
    json!({
        "switches": switches,
        "span_s": span.as_secs(),
        "vms": VMS,
        "callers": phases,
        "not_all_leases_held_ms": leaseless.as_millis() as u64,
        "all_leases_held_after_ms": held,
        "configuration_during_ms": change_during,
        "configuration_after_ms": change_after,
        "served": [served.0, served.1],
        "billed_exactly_after_ms": billed,
        "reported": [told.0, told.1],
        "report_violations": reports["violations"],
        "load_average": fs::read_to_string("/proc/loadavg").unwrap().trim(),
    })
}

/// Asks one VM after the other for one token, for ever.
async fn ask(deployment: Rc<Deployment>, key: String, seen: Rc<Seen>) {
    for turn in 0.. {
        if seen.is_over.get() {
            return;
        }
        let callers = deployment.vms[turn % VMS].callers;
        let (start, phase) = (Instant::now(), seen.phase.get());
        let answer = generate(&deployment, callers, &key).await;
        let took = start.elapsed();
        let result = answer
            .as_ref()
            .map_or("failed".to_string(), |(s, _)| s.to_string());
        if let Some((200, body)) = &answer {
            let tokens = body["usage"]["tokens_out"].as_u64().unwrap();
            seen.requests.set(seen.requests.get() + 1);
            seen.tokens.set(seen.tokens.get() + tokens);
        }
        {
            let mut phases = seen.phases.borrow_mut();
            let phase = phases.entry(phase).or_default();
            *phase.answers.entry(result).or_default() += 1;
            phase.longest = phase.longest.max(took);
        }
        monoio::time::sleep(ASK_PERIOD.saturating_sub(took)).await;
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

/// Returns whether every VM takes `key`, without a request that is billed.
async fn is_known(deployment: &Deployment, key: &str) -> bool {
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

/// Publishes one more line and returns the time until it is in force on every
/// VM, in milliseconds.
async fn change(program: &str, deployment: &Deployment, line: &str) -> Option<u64> {
    let before = revision(deployment, 0).await;
    let start = Instant::now();
    publish(program, deployment, line);
    let is_in_force = || async {
        for place in 0..VMS {
            if revision(deployment, place).await <= before {
                return false;
            }
        }
        true
    };
    until(is_in_force).await?;
    Some(start.elapsed().as_millis() as u64)
}

async fn revision(deployment: &Deployment, place: usize) -> u64 {
    let admin = deployment.vms[place].entry_admin;
    let status = get(deployment, admin, "/status").await;
    status["revision"].as_u64().unwrap_or(0)
}

/// Returns how many leases are held.
async fn leases(deployment: &Deployment) -> usize {
    let mut held = 0;
    for vm in &deployment.vms {
        let status = get(deployment, vm.steward_admin, "/status").await;
        held += usize::from(status["orders_epoch"].is_u64());
        held += usize::from(status["reports_epoch"].is_u64());
    }
    held
}

/// Returns the requests and tokens of all reports.
async fn reported(deployment: &Deployment) -> (u64, u64) {
    let reports = get(deployment, deployment.platform, "/v1/usage").await;
    let windows = reports["reports"].as_array().into_iter().flatten();
    let lines = windows.flat_map(|window| window["figures"].as_array().into_iter().flatten());
    lines.fold((0, 0), |(requests, tokens), line| {
        let figure = |name: &str| line[name].as_u64().unwrap_or(0);
        (requests + figure("requests"), tokens + figure("tokens_out"))
    })
}

fn publish(program: &str, deployment: &Deployment, line: &str) {
    let file = deployment.tree.join("tarragonseam.toml");
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, format!("{text}{line}")).unwrap();
    let tree = deployment.tree.display().to_string();
    operate(program, deployment, &["publish", &tree]);
}

fn operate(program: &str, deployment: &Deployment, arguments: &[&str]) -> String {
    let platform = format!("--platform={}", deployment.platform);
    let mut command = Command::new(program);
    let output = command.args(arguments).arg(platform).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Polls until `done` and returns how long that took, in milliseconds; `None`
/// when it took longer than [`LIMIT`].
async fn until<F: Future<Output = bool>>(done: impl Fn() -> F) -> Option<u64> {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if done().await {
            return Some(start.elapsed().as_millis() as u64);
        }
        monoio::time::sleep(POLL).await;
    }
    None
}

async fn get(deployment: &Deployment, address: SocketAddr, path: &str) -> Value {
    let answer = deployment.pool.fetch(address, Call::get(path)).await;
    answer.map_or(Value::Null, |answer| {
        serde_json::from_slice(&answer.body).unwrap_or_default()
    })
}

async fn fault(deployment: &Deployment, switches: Value) {
    let call = Call::post("/fault", switches.to_string());
    let answer = deployment.pool.fetch(deployment.platform, call).await;
    assert!(answer.unwrap().status.is_success());
}
