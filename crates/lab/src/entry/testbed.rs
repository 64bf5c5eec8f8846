//! The deployment that is measured, and the sequence of phases.

use std::{fs, net::SocketAddr, path::Path, process::Command, sync::Arc, time::Duration};

use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;
use serde_json::json;

use super::{
    Config, Phase, Run,
    load::{self, Target},
    phase::Benchmark,
    process,
};
use crate::Error;

const SERVICE: &str = "registry";
/// The model of an engine that sends tokens without delay.
const FAST_MODEL: &str = "fast";
/// The model of an engine that limits its token rate.
const PACED_MODEL: &str = "paced";
const DOMAINS: [&str; 2] = ["a", "b"];

/// Tokens per second of the paced engine, shared by its streams.
const PACED_TOKENS_PER_S: u64 = 10_000;
/// Tokens of each stream of the paced engine.
const PACED_STREAM_TOKENS: u32 = 64;

/// A rate at which calls rarely overlap, so that the entry's event loop rarely
/// handles several calls in one iteration.
const LOW_CALLS_PER_S: f64 = 100.0;

const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// How long the entry daemon is measured without calls.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// The time between two calls that check whether the deployment answers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const POLLS_MAX: usize = 200;

/// The configuration that the deployment publishes.
const CONFIG_TOML: &str = "\
[accounts.caller]

[services.registry]
capacity = { stable = 1, floor = 1 }

[routes.lookup]
path = \"/entries\"
service = \"registry\"
public = true
deadline_ms = 5000

[models.fast]
max_tokens = 256
deadline_ms = 10000
capacity = { stable = 1, floor = 1 }

[models.paced]
max_tokens = 256
deadline_ms = 10000
capacity = { stable = 1, floor = 1 }
";

/// Starts a deployment with `vms` VMs and measures the entry daemon of the first.
pub(super) async fn measure(config: &Config, vms: usize) -> Result<Run, Error> {
    let testbed = Testbed::start(config, vms).await?;
    let load_average_before = process::load_average();
    let idle_start_s = process::cpu_s(testbed.entry_pid);
    monoio::time::sleep(IDLE_TIME).await;
    let idle_cpu_s = process::cpu_s(testbed.entry_pid) - idle_start_s;
    let idle_memory_bytes = process::memory_bytes(testbed.entry_pid);
    let phases = testbed.run_phases();
    let (fast, paced) = (&phases[FAST_CLOSED_INDEX], &phases[phases.len() - 1]);
    let further_tokens = f64::from(PACED_STREAM_TOKENS - 1);
    Ok(Run {
        vms,
        load_average_before,
        load_average_after: process::load_average(),
        idle_core: idle_cpu_s / IDLE_TIME.as_secs_f64(),
        idle_memory_bytes,
        token_cpu_us: (paced.cpu_us - fast.cpu_us) / further_tokens,
        phases,
    })
}

/// The index of the fast engine's closed loop among the phases.
const FAST_CLOSED_INDEX: usize = 3;

/// A running deployment, and the parameters of the phases.
struct Testbed {
    deployment: Deployment,
    key: String,
    entry_pid: u32,
    duration: Duration,
    seed: u64,
    rate: Option<f64>,
}

impl Testbed {
    async fn start(config: &Config, vms: usize) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("tarragonseam-lab-{}", std::process::id()));
        let write_result = fs::create_dir_all(&folder)
            .and_then(|()| fs::write(folder.join("tarragonseam.toml"), CONFIG_TOML));
        write_result.map_err(Error::Runtime)?;
        let deployment = Deployment::start(&config.program, &plan(&folder, vms)).await;
        // The deployment has a copy of the files. A failed removal is ignored,
        // because it only wastes disk space.
        let _ = fs::remove_dir_all(&folder);
        let deployment = deployment?;
        let run_command =
            |arguments: &[&str]| run_cli(&config.program, arguments, deployment.platform);
        run_command(&["publish", &deployment.tree.display().to_string()])?;
        let key = run_command(&["key", "issue", "caller"])?;
        deployment.wait_ready().await?;
        let testbed = Self {
            key: key.trim().to_string(),
            entry_pid: deployment.vms[0].entry.id().unwrap_or_default(),
            duration: Duration::from_secs(config.seconds),
            seed: config.seed,
            rate: config.rate,
            deployment,
        };
        testbed.wait_until_serving().await?;
        Ok(testbed)
    }

    /// Waits until the entry answers calls to the service and to each model.
    async fn wait_until_serving(&self) -> Result<(), Error> {
        for benchmark in [
            self.lookup_benchmark(),
            self.stream_benchmark(FAST_MODEL, 1),
            self.stream_benchmark(PACED_MODEL, 1),
        ] {
            let mut polls = 0;
            loop {
                let call = (benchmark.entry.new_call)(polls as u64);
                let answer = self
                    .deployment
                    .pool
                    .fetch(benchmark.entry.address, call)
                    .await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                polls += 1;
                if polls == POLLS_MAX {
                    return Err(Error::NoAnswer(benchmark.entry.address.to_string()));
                }
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Runs all phases, in the order of the report.
    fn run_phases(&self) -> Vec<Phase> {
        let lookup = self.lookup_benchmark();
        let fast = self.stream_benchmark(FAST_MODEL, 1);
        let paced = self.stream_benchmark(PACED_MODEL, PACED_STREAM_TOKENS);
        load::run_closed_loop(&lookup.entry, WARM_UP_TIME);
        let lookup_closed = lookup.run_closed_loop("route");
        let lookup_open = lookup.run_open_loop("route", self.open_loop_rate(&lookup_closed));
        let lookup_low = lookup.run_open_loop("route", LOW_CALLS_PER_S);
        load::run_closed_loop(&fast.entry, WARM_UP_TIME);
        let fast_closed = fast.run_closed_loop("stream of 1 token");
        let fast_open = fast.run_open_loop("stream of 1 token", self.open_loop_rate(&fast_closed));
        let fast_low = fast.run_open_loop("stream of 1 token", LOW_CALLS_PER_S);
        let paced_closed = paced.run_closed_loop(&format!(
            "streams of {PACED_STREAM_TOKENS} tokens, {PACED_TOKENS_PER_S} tokens a second"
        ));
        vec![
            lookup_closed,
            lookup_open,
            lookup_low,
            fast_closed,
            fast_open,
            fast_low,
            paced_closed,
        ]
    }

    /// Returns the rate of the open loops that follow the closed loop `closed`.
    fn open_loop_rate(&self, closed: &Phase) -> f64 {
        self.rate.unwrap_or(closed.entry.rate / 2.0)
    }

    /// Returns a benchmark of calls to a public route.
    fn lookup_benchmark(&self) -> Benchmark {
        let call: Arc<dyn Fn(u64) -> Call + Send + Sync> = Arc::new(|_| Call::get("/entries/4711"));
        self.new_benchmark(SERVICE, call.clone(), call)
    }

    /// Returns a benchmark of streams of `tokens` tokens.
    fn stream_benchmark(&self, model: &'static str, tokens: u32) -> Benchmark {
        let direct = move |number| {
            let body = json!({
                "request_id": format!("direct-{number}"),
                "model": model,
                "prompt": PROMPT,
                "max_tokens": tokens,
            });
            Call::post("/v1/generate", body.to_string())
        };
        let bearer = format!("Bearer {}", self.key);
        let path = format!("/v1/models/{model}/generate");
        let entry = move |_| {
            let body = json!({ "prompt": PROMPT, "max_tokens": tokens, "stream": true });
            Call::post(path.as_str(), body.to_string()).header("authorization", &bearer)
        };
        self.new_benchmark(model, Arc::new(direct), Arc::new(entry))
    }

    fn new_benchmark(
        &self,
        service: &str,
        direct: Arc<dyn Fn(u64) -> Call + Send + Sync>,
        entry: Arc<dyn Fn(u64) -> Call + Send + Sync>,
    ) -> Benchmark {
        let mut endpoints = self.deployment.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| endpoint.plan.service == service);
        let endpoint = endpoint.expect("the plan has an endpoint of each service");
        let target = |address, new_call| Target { address, new_call };
        Benchmark {
            direct: target(endpoint.address, direct),
            entry: target(self.deployment.vms[0].callers, entry),
            entry_pid: self.entry_pid,
            duration: self.duration,
            seed: self.seed,
        }
    }
}

const PROMPT: &str = "tasting notes for a still cider from Rougemont";

fn plan(folder: &Path, vms: usize) -> Plan {
    let mut plan = Plan::new(folder)
        .vms(vms, &DOMAINS)
        .services(SERVICE, 1, &DOMAINS)
        .engines(FAST_MODEL, 1, &DOMAINS)
        .engines(PACED_MODEL, 1, &DOMAINS);
    for endpoint in &mut plan.endpoints {
        let arguments: &[&str] = match endpoint.service.as_str() {
            SERVICE => &["--service-ms=0"],
            FAST_MODEL => &["--first-token-ms=0", "--tokens-per-s=1000000000"],
            _ => &["--first-token-ms=0", "--tokens-per-s=10000"],
        };
        let slots = ["--slots=4096", "--queue=4096"];
        let arguments = slots.iter().chain(arguments);
        endpoint.arguments = arguments.map(|argument| (*argument).to_string()).collect();
    }
    plan
}

/// Runs a command of the program and returns its standard output.
fn run_cli(program: &Path, arguments: &[&str], platform: SocketAddr) -> Result<String, Error> {
    let output = Command::new(program)
        .args(arguments)
        .arg(format!("--platform={platform}"))
        .output()
        .map_err(Error::Runtime)?;
    if !output.status.success() {
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(Error::Command(text));
    }
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}
