//! The deployment that is measured, and the order of the phases.

use std::{fs, net::SocketAddr, path::Path, process::Command, sync::Arc, time::Duration};

use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;
use serde_json::json;

use super::{
    Config, Phase, Run,
    load::{self, Target},
    phase::Stage,
    process,
};
use crate::Error;

const SERVICE: &str = "registry";
/// A model whose engine answers at once, and one whose engine paces tokens.
const FAST: &str = "fast";
const PACED: &str = "paced";
const DOMAINS: [&str; 2] = ["a", "b"];

/// Tokens a second of the paced engine, shared by its streams.
const PACED_RATE: u64 = 10_000;
const PACED_TOKENS: u32 = 64;

/// A rate at which calls rarely meet, so that none is served in one turn of
/// the entry's loop with others.
const LOW_RATE: f64 = 100.0;

const WARM_TIME: Duration = Duration::from_secs(1);
const IDLE_TIME: Duration = Duration::from_secs(3);
const POLL_TIME: Duration = Duration::from_millis(50);
const POLLS_MAX: usize = 200;

const FILES: &str = "\
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

/// Brings `vms` VMs up and measures the first.
pub(super) async fn measure(config: &Config, vms: usize) -> Result<Run, Error> {
    let site = Site::start(config, vms).await?;
    let load_average_before = process::load_average();
    let idle_from = process::cpu_s(site.process);
    monoio::time::sleep(IDLE_TIME).await;
    let idle = process::cpu_s(site.process) - idle_from;
    let idle_memory_bytes = process::memory_bytes(site.process);
    let phases = site.phases();
    let (fast, paced) = (&phases[FAST_CLOSED], &phases[phases.len() - 1]);
    let more_tokens = f64::from(PACED_TOKENS - 1);
    Ok(Run {
        vms,
        load_average_before,
        load_average_after: process::load_average(),
        idle_core: idle / IDLE_TIME.as_secs_f64(),
        idle_memory_bytes,
        token_cpu_us: (paced.cpu_us - fast.cpu_us) / more_tokens,
        phases,
    })
}

/// The place of the closed loop of the fast engine among the phases.
const FAST_CLOSED: usize = 3;

struct Site {
    deployment: Deployment,
    key: String,
    process: u32,
    time: Duration,
    seed: u64,
    rate: Option<f64>,
}

impl Site {
    async fn start(config: &Config, vms: usize) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("tarragonseam-lab-{}", std::process::id()));
        let written = fs::create_dir_all(&folder)
            .and_then(|()| fs::write(folder.join("tarragonseam.toml"), FILES));
        written.map_err(Error::Runtime)?;
        let deployment = Deployment::start(&config.program, &plan(&folder, vms)).await;
        // The deployment has a copy; what is left behind costs only disk space.
        let _ = fs::remove_dir_all(&folder);
        let deployment = deployment?;
        let run = |arguments: &[&str]| command(&config.program, arguments, deployment.platform);
        run(&["publish", &deployment.tree.display().to_string()])?;
        let key = run(&["key", "issue", "caller"])?;
        deployment.wait_ready().await?;
        let site = Self {
            key: key.trim().to_string(),
            process: deployment.vms[0].entry.id().unwrap_or_default(),
            time: Duration::from_secs(config.seconds),
            seed: config.seed,
            rate: config.rate,
            deployment,
        };
        site.wait_answers().await?;
        Ok(site)
    }

    /// Waits until each way through the entry answers.
    async fn wait_answers(&self) -> Result<(), Error> {
        for stage in [self.lookup(), self.stream(FAST, 1), self.stream(PACED, 1)] {
            let mut polls = 0;
            loop {
                let call = (stage.entry.call)(polls as u64);
                let answer = self.deployment.pool.fetch(stage.entry.address, call).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                polls += 1;
                if polls == POLLS_MAX {
                    return Err(Error::Silent(stage.entry.address.to_string()));
                }
                monoio::time::sleep(POLL_TIME).await;
            }
        }
        Ok(())
    }

    fn phases(&self) -> Vec<Phase> {
        let lookup = self.lookup();
        let fast = self.stream(FAST, 1);
        let paced = self.stream(PACED, PACED_TOKENS);
        load::closed(&lookup.entry, WARM_TIME);
        let lookup_closed = lookup.closed("route");
        let lookup_open = lookup.open("route", self.rate(&lookup_closed));
        let lookup_low = lookup.open("route", LOW_RATE);
        load::closed(&fast.entry, WARM_TIME);
        let fast_closed = fast.closed("stream of 1 token");
        let fast_open = fast.open("stream of 1 token", self.rate(&fast_closed));
        let fast_low = fast.open("stream of 1 token", LOW_RATE);
        let paced_closed = paced.closed(&format!(
            "streams of {PACED_TOKENS} tokens, {PACED_RATE} tokens a second"
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

    fn rate(&self, closed: &Phase) -> f64 {
        self.rate.unwrap_or(closed.entry.rate / 2.0)
    }

    /// Calls of a public route.
    fn lookup(&self) -> Stage {
        let call: Arc<dyn Fn(u64) -> Call + Send + Sync> = Arc::new(|_| Call::get("/entries/4711"));
        self.stage(SERVICE, call.clone(), call)
    }

    /// Streams of `tokens` tokens.
    fn stream(&self, model: &'static str, tokens: u32) -> Stage {
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
        self.stage(model, Arc::new(direct), Arc::new(entry))
    }

    fn stage(
        &self,
        service: &str,
        direct: Arc<dyn Fn(u64) -> Call + Send + Sync>,
        entry: Arc<dyn Fn(u64) -> Call + Send + Sync>,
    ) -> Stage {
        let mut endpoints = self.deployment.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| endpoint.plan.service == service);
        let endpoint = endpoint.expect("an endpoint of each service of the plan");
        let target = |address, call| Target { address, call };
        Stage {
            direct: target(endpoint.address, direct),
            entry: target(self.deployment.vms[0].callers, entry),
            process: self.process,
            time: self.time,
            seed: self.seed,
        }
    }
}

const PROMPT: &str = "tasting notes for a still cider from Rougemont";

fn plan(folder: &Path, vms: usize) -> Plan {
    let mut plan = Plan::new(folder)
        .vms(vms, &DOMAINS)
        .services(SERVICE, 1, &DOMAINS)
        .engines(FAST, 1, &DOMAINS)
        .engines(PACED, 1, &DOMAINS);
    for back in &mut plan.endpoints {
        let arguments: &[&str] = match back.service.as_str() {
            SERVICE => &["--service-ms=0"],
            FAST => &["--first-token-ms=0", "--tokens-per-s=1000000000"],
            _ => &["--first-token-ms=0", "--tokens-per-s=10000"],
        };
        let slots = ["--slots=4096", "--queue=4096"];
        let all = slots.iter().chain(arguments);
        back.arguments = all.map(|argument| (*argument).to_string()).collect();
    }
    plan
}

fn command(program: &Path, arguments: &[&str], platform: SocketAddr) -> Result<String, Error> {
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
