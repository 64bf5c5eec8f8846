//! A small deployment with a published configuration and an API key.

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
    connection::{self, Answer},
};

pub(crate) const MODEL: &str = "tasting-notes";
const SEED: u64 = 7;
pub(crate) const ACCOUNT: &str = "maison-verte";

pub(crate) struct Fixture {
    pub(crate) deployment: Deployment,
    pub(crate) key: String,
}

/// Returns a plan of one VM with `engines` and `services`.
pub(crate) fn plan(engines: usize, services: usize) -> Plan {
    Plan::new(common::FESTIVAL_TREE)
        .vms(1, &["a"])
        .engines(MODEL, engines, &["a"])
        .services("entry-registry", services, &["a"])
}

/// Returns [`plan`] with `arguments` added to the command line of each engine.
pub(crate) fn plan_with(engines: usize, services: usize, arguments: &[&str]) -> Plan {
    let mut plan = plan(engines, services);
    for endpoint in plan
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.is_engine)
    {
        endpoint
            .arguments
            .extend(arguments.iter().map(ToString::to_string));
    }
    plan
}

impl Fixture {
    pub(crate) fn start(plan: &Plan) -> Self {
        let deployment = link::runtime::run(async {
            let mut deployment = common::start_unconfigured(plan).await;
            common::publish(&deployment);
            deployment.wait_ready().await.unwrap();
            // Connections do not outlive the runtime that opened them, so the
            // deployment gets a new pool.
            deployment.pool = Pool::new(Limits::new());
            deployment
        })
        .unwrap();
        let mut fixture = Self {
            deployment,
            key: String::new(),
        };
        fixture.key = fixture.issue_key(ACCOUNT);
        fixture
    }

    /// Issues a key and waits until the entry daemon accepts it.
    pub(crate) fn issue_key(&self, account: &str) -> String {
        let key = common::issue_key(&self.deployment, account);
        let probe = request("POST", "/submissions/probe", &key, "");
        wait_until("key accepted", || {
            let probe = probe.replace("/submissions/probe", "/v1/trainers/none/x");
            connection::fetch(self.entry(), probe.as_bytes()).is_some_and(|a| a.status != 401)
        });
        key
    }

    pub(crate) fn withdraw_key(&self, key: &str) {
        common::run_ok(&self.deployment, &["key", "withdraw", key]);
    }

    pub(crate) fn entry(&self) -> SocketAddr {
        self.deployment.vms[0].callers
    }

    pub(crate) fn endpoints(&self, is_engine: bool) -> Vec<SocketAddr> {
        let all = self.deployment.endpoints.iter();
        let kind = all.filter(|endpoint| endpoint.plan.is_engine == is_engine);
        kind.map(|endpoint| endpoint.address).collect()
    }

    /// Sets fault switches of every engine, or of every plain service.
    pub(crate) fn set_faults(&self, is_engine: bool, switches: &Value) {
        for address in self.endpoints(is_engine) {
            blocking::set_faults(address, switches).unwrap();
        }
    }

    /// Returns the log entries of every engine, or of every plain service.
    pub(crate) fn log(&self, is_engine: bool) -> Vec<Value> {
        let mut all = Vec::new();
        for address in self.endpoints(is_engine) {
            let log: Value = blocking::get(address, "/v1/log").unwrap();
            all.extend(log["entries"].as_array().cloned().unwrap());
        }
        all
    }

    pub(crate) fn generate_request(&self, body: &Value) -> Vec<u8> {
        let path = format!("/v1/models/{MODEL}/generate");
        request("POST", &path, &self.key, &body.to_string()).into_bytes()
    }

    pub(crate) fn generate(&self, body: &Value) -> Answer {
        connection::fetch(self.entry(), &self.generate_request(body)).expect("an answer")
    }

    /// Returns the resident memory of the entry daemon, in KiB.
    pub(crate) fn resident_kib(&self) -> u64 {
        let id = self.deployment.vms[0].entry.id().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let words = line.unwrap().split_whitespace().nth(1);
        words.unwrap().parse().unwrap()
    }

    /// Returns the figures of all usage reports that the platform has received.
    pub(crate) fn reported_figures(&self) -> Vec<Value> {
        let all: Value = blocking::get(self.deployment.platform, "/v1/usage").unwrap();
        let reports = all["reports"].as_array().cloned().unwrap();
        let figures = reports
            .iter()
            .flat_map(|r| r["figures"].as_array().cloned().unwrap());
        figures.collect()
    }

    /// Panics if the entry daemon has panicked or ended.
    pub(crate) fn assert_healthy(&mut self) {
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

/// Returns the body of a generate request for `tokens` tokens.
pub(crate) fn prompt(tokens: u32, stream: bool) -> Value {
    json!({"prompt": "a still cider", "max_tokens": tokens, "stream": stream, "seed": SEED})
}

/// Returns the tokens that the model generates for [`prompt`].
pub(crate) fn tokens(count: u32) -> Vec<&'static str> {
    tokens_with_seed(SEED, count)
}

/// Returns the tokens that the model generates for [`prompt`] with another
/// seed.
pub(crate) fn tokens_with_seed(seed: u64, count: u32) -> Vec<&'static str> {
    let token = |index| fakes::text::token(MODEL, "a still cider", seed, u64::from(index));
    (0..count).map(token).collect()
}

/// Polls until `is_true` returns true. The timeout is far above the time that a
/// healthy run needs.
pub(crate) fn wait_until(description: &str, mut is_true: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_true() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "timed out: {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
