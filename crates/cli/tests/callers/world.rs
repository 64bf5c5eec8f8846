//! A small deployment with a configuration in force and a key.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use fakes::{
    blocking,
    deployment::{Deployment, Plan},
};
use link::http::{Limits, Pool};
use serde_json::{Value, json};

use super::{
    common,
    raw::{self, Answer},
};

pub(crate) const MODEL: &str = "tasting-notes";
const SEED: u64 = 7;
pub(crate) const ACCOUNT: &str = "maison-verte";

pub(crate) struct World {
    pub(crate) deployment: Deployment,
    pub(crate) key: String,
}

/// Returns a plan of one VM with `engines` and `services`.
pub(crate) fn plan(engines: usize, services: usize) -> Plan {
    Plan::new(common::FESTIVAL)
        .vms(1, &["a"])
        .engines(MODEL, engines, &["a"])
        .services("entry-registry", services, &["a"])
}

/// As [`plan`], with engines of `arguments`.
pub(crate) fn plan_with(engines: usize, services: usize, arguments: &[&str]) -> Plan {
    let mut plan = plan(engines, services);
    for back in plan.endpoints.iter_mut().filter(|back| back.is_model) {
        back.arguments
            .extend(arguments.iter().map(ToString::to_string));
    }
    plan
}

impl World {
    pub(crate) fn start(plan: &Plan) -> Self {
        let deployment = link::runtime::run(async {
            let mut deployment = common::bare(plan).await;
            common::publish(&deployment);
            deployment.wait_ready().await.unwrap();
            // Connections of this runtime end with it.
            deployment.pool = Pool::new(Limits::new());
            deployment
        })
        .unwrap();
        let mut world = Self {
            deployment,
            key: String::new(),
        };
        world.key = world.issue(ACCOUNT);
        world
    }

    /// Issues a key and waits until it is good.
    pub(crate) fn issue(&self, account: &str) -> String {
        let key = common::issue_key(&self.deployment, account);
        let probe = request("POST", "/submissions/probe", &key, "");
        within("key in force", || {
            let path = probe.replace("/submissions/probe", "/v1/trainers/none/x");
            raw::ask(self.entry(), path.as_bytes()).is_some_and(|a| a.status != 401)
        });
        key
    }

    pub(crate) fn withdraw(&self, key: &str) {
        common::good(&self.deployment, &["key", "withdraw", key]);
    }

    pub(crate) fn entry(&self) -> SocketAddr {
        self.deployment.vms[0].callers
    }

    pub(crate) fn endpoints(&self, is_model: bool) -> Vec<SocketAddr> {
        let all = self.deployment.endpoints.iter();
        let kind = all.filter(|endpoint| endpoint.plan.is_model == is_model);
        kind.map(|endpoint| endpoint.address).collect()
    }

    /// Sets switches of every engine, or of every plain service.
    pub(crate) fn fault(&self, is_model: bool, switches: &Value) {
        for address in self.endpoints(is_model) {
            blocking::set_faults(address, switches).unwrap();
        }
    }

    /// Returns what every engine, or every plain service, has run.
    pub(crate) fn log(&self, is_model: bool) -> Vec<Value> {
        let mut all = Vec::new();
        for address in self.endpoints(is_model) {
            let log: Value = blocking::get(address, "/v1/log").unwrap();
            all.extend(log["entries"].as_array().cloned().unwrap());
        }
        all
    }

    pub(crate) fn generate(&self, body: &Value) -> Vec<u8> {
        let path = format!("/v1/models/{MODEL}/generate");
        request("POST", &path, &self.key, &body.to_string()).into_bytes()
    }

    pub(crate) fn ask_model(&self, body: &Value) -> Answer {
        raw::ask(self.entry(), &self.generate(body)).expect("an answer")
    }

    /// Returns the resident memory of the entry daemon, in KiB.
    pub(crate) fn resident(&self) -> u64 {
        let id = self.deployment.vms[0].entry.id().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let words = line.unwrap().split_whitespace().nth(1);
        words.unwrap().parse().unwrap()
    }

    /// Returns a counter of the entry daemon, summed over its labels.
    pub(crate) fn usage(&self) -> Vec<Value> {
        let all: Value = blocking::get(self.deployment.platform, "/v1/usage").unwrap();
        let reports = all["reports"].as_array().cloned().unwrap();
        let figures = reports
            .iter()
            .flat_map(|r| r["figures"].as_array().cloned().unwrap());
        figures.collect()
    }

    /// Fails if the daemon panicked or ended.
    pub(crate) fn assert_well(&mut self) {
        let code = self.deployment.vms[0].entry.exit_code();
        assert_eq!(code, None, "the entry daemon ended");
        let log = self.deployment.folder.join("entry-vm-a1.log");
        let log = std::fs::read_to_string(log).unwrap();
        assert!(!log.contains("panicked"), "{log}");
    }
}

/// Returns a request with a key and a body.
pub(crate) fn request(method: &str, path: &str, key: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a body that asks for `tokens` tokens.
pub(crate) fn prompt(tokens: u32, stream: bool) -> Value {
    json!({"prompt": "a still cider", "max_tokens": tokens, "stream": stream, "seed": SEED})
}

/// Returns the tokens that the model gives to [`prompt`].
pub(crate) fn tokens(count: u32) -> Vec<&'static str> {
    tokens_of(SEED, count)
}

/// Returns the tokens that the model gives to [`prompt`] with another seed.
pub(crate) fn tokens_of(seed: u64, count: u32) -> Vec<&'static str> {
    let token = |index| fakes::text::token(MODEL, "a still cider", seed, u64::from(index));
    (0..count).map(token).collect()
}

/// Polls until `is_true`, for a time that no healthy run comes near.
pub(crate) fn within(what: &str, mut is_true: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_true() {
        assert!(start.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
