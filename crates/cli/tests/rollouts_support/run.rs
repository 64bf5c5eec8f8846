//! A deployment with trainers that draw lots from it.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use board::lot::{Lot, Manifest};
use fakes::deployment::{Deployment, Plan};
use link::{
    http::client::{Call, Fetched},
    platform::Client,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Deserialize;
use serde_json::{Value, json};
use todc_utils::Action;

pub(crate) use crate::common::PROGRAM;

use super::history::{Draw, Expected, Operation, Record, Stream};

use crate::common;

pub(crate) const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The settings of the example's trainer, with smaller lots.
pub(crate) const EXPECTED: Expected = Expected {
    steps: 3,
    groups: 8,
    group_size: 4,
    max_staleness: 2,
};
const LOTS_PER_STEP: u64 = 4;
const LOT_COUNT: u64 = EXPECTED.steps * LOTS_PER_STEP;

/// A deployment with its configuration published, and a trainer's key.
pub(crate) struct Fixture {
    pub(crate) deployment: Deployment,
    pub(crate) key: String,
    pub(crate) record: RefCell<Record>,
}

/// Returns a plan with `vms` VMs and three engines.
pub(crate) fn plan(vms: usize) -> Plan {
    Plan::new(common::FESTIVAL_TREE)
        .vms(vms, &FAILURE_DOMAINS)
        .engines("tasting-notes", 3, &FAILURE_DOMAINS)
}

impl Fixture {
    /// Starts `plan` with lots of `groups_per_lot` groups.
    pub(crate) async fn start(plan: &Plan, groups_per_lot: u32) -> Rc<Self> {
        Self::start_with(plan, groups_per_lot, |text| text).await
    }

    /// Starts `plan` as [`Fixture::start`] does, with the trainer's file
    /// changed by `edit`.
    pub(crate) async fn start_with(
        plan: &Plan,
        groups_per_lot: u32,
        edit: impl FnOnce(String) -> String,
    ) -> Rc<Self> {
        let deployment = common::start_unconfigured(plan).await;
        let file = deployment.tree.join("tasting-notes/tarragonseam.toml");
        let text = std::fs::read_to_string(&file).unwrap();
        let lots = format!("groups_per_lot = {groups_per_lot}");
        let text = text.replace("groups_per_lot = 4", &lots);
        std::fs::write(&file, edit(text)).unwrap();
        common::publish(&deployment);
        let key = common::issue_key(&deployment, "festival");
        deployment.wait_ready().await.unwrap();
        Rc::new(Self {
            deployment,
            key,
            record: RefCell::default(),
        })
    }

    /// Sends `call` to one VM; `None` if no answer arrives in time.
    pub(crate) async fn try_fetch(&self, vm: usize, call: Call) -> Option<Fetched> {
        let call = call
            .header("authorization", format!("Bearer {}", self.key))
            .new_connection()
            .deadline(Duration::from_secs(4));
        let vm = &self.deployment.vms[vm % self.deployment.vms.len()];
        self.deployment.pool.fetch(vm.callers, call).await.ok()
    }

    /// Sends the call that `call` builds to randomly drawn VMs until one
    /// answers with success.
    pub(crate) async fn retry_until_success(
        &self,
        rng: &RefCell<StdRng>,
        call: impl Fn() -> Call,
    ) -> Fetched {
        let start = Instant::now();
        let mut last_answer = None;
        loop {
            let vm = rng.borrow_mut().random_range(0..self.deployment.vms.len());
            let answer = self.try_fetch(vm, call()).await;
            match answer {
                Some(answer) if answer.status.is_success() => return answer,
                Some(answer) => last_answer = Some(answer),
                None => {}
            }
            let path = call().path().to_string();
            assert!(
                start.elapsed() < RUN_TIME_MAX,
                "{path}: last answer {last_answer:?}"
            );
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sets fault switches of a fake.
    pub(crate) async fn set_faults(&self, address: std::net::SocketAddr, switches: Value) {
        common::set_faults(&self.deployment, address, &switches).await;
    }

    /// Declares a step whose prompts are extended by `words` words.
    pub(crate) async fn declare(&self, rng: &RefCell<StdRng>, step: u64, words: usize) {
        let padding = " dry".repeat(words);
        let prompts: Vec<_> = (0..EXPECTED.groups)
            .map(|group| format!("describe bottle {step}-{group}{padding}"))
            .collect();
        let body = json!({ "prompts": prompts }).to_string();
        let path = format!("/v1/trainers/notes/steps/{step}");
        self.retry_until_success(rng, || Call::post(path.clone(), body.clone()))
            .await;
    }

    /// Publishes a new version of the weights.
    pub(crate) async fn publish_weights(&self, rng: &RefCell<StdRng>, version: u64) {
        let body = json!({ "version": version }).to_string();
        let path = "/v1/trainers/notes/weights";
        self.retry_until_success(rng, || Call::post(path, body.clone()))
            .await;
    }

    /// Draws a lot and records the answer.
    pub(crate) async fn draw(&self, rng: &RefCell<StdRng>, number: u64) -> Draw {
        let path = format!("/v1/trainers/notes/lots/{number}?wait_ms=2000");
        let answer = self
            .retry_until_success(rng, || Call::get(path.clone()))
            .await;
        let digest = answer.headers["x-lot-digest"].to_str().unwrap().to_string();
        let body_digest = board::key::Digest::of_bytes(&answer.body).to_string();
        assert_eq!(body_digest, digest, "digest of lot {number}");
        let lot: Lot = serde_json::from_slice(&answer.body).unwrap();
        let draw = Draw { digest, lot };
        self.record.borrow_mut().draws.push(draw.clone());
        draw
    }

    /// Records the version in force before a step is declared.
    pub(crate) fn record_version(&self, step: u64, version: u64) {
        let mut record = self.record.borrow_mut();
        record.version_before_step.insert(step, version);
    }

    fn record_operation(&self, process: usize, action: Action<Operation>) {
        self.record.borrow_mut().cursor.push((process, action));
    }

    /// Reads the cursor and records it.
    pub(crate) async fn next_lot(&self, rng: &RefCell<StdRng>, process: usize) -> u64 {
        #[derive(Deserialize)]
        struct Position {
            next_lot: u64,
        }
        self.record_operation(process, Action::Call(Operation::Read(None)));
        let path = "/v1/trainers/notes/cursor";
        let answer = self.retry_until_success(rng, || Call::get(path)).await;
        let position: Position = serde_json::from_slice(&answer.body).unwrap();
        let operation = Operation::Read(Some(position.next_lot));
        self.record_operation(process, Action::Response(operation));
        position.next_lot
    }

    /// Acknowledges a lot and records it.
    pub(crate) async fn acknowledge(&self, rng: &RefCell<StdRng>, process: usize, lot: u64) {
        let operation = Operation::Acknowledge(lot);
        self.record_operation(process, Action::Call(operation));
        let path = format!("/v1/trainers/notes/lots/{lot}/ack");
        self.retry_until_success(rng, || Call::post(path.clone(), "{}"))
            .await;
        self.record_operation(process, Action::Response(operation));
    }

    /// Runs a trainer process that draws and acknowledges every lot. At random,
    /// it crashes between the two and starts again from the cursor.
    pub(crate) async fn train(self: Rc<Self>, process: usize, seed: u64) {
        let rng = RefCell::new(StdRng::seed_from_u64(seed));
        loop {
            let lot = self.next_lot(&rng, process).await;
            if lot == LOT_COUNT {
                return;
            }
            self.draw(&rng, lot).await;
            let is_crash = rng.borrow_mut().random_bool(0.25);
            if !is_crash {
                self.acknowledge(&rng, process, lot).await;
            }
        }
    }

    /// Returns the record, completed with the platform's manifests and the
    /// engines' logs at the end of the run.
    pub(crate) async fn final_record(&self) -> Record {
        let client = Client::new(self.deployment.platform, "test");
        let mut record = self.record.borrow().clone();
        for lot in 0..LOT_COUNT {
            if let Ok((_, manifest)) = client
                .read::<Manifest>("lot", &format!("notes.{lot}"))
                .await
            {
                record.manifests.insert(lot, manifest.digest.to_string());
            }
        }
        for endpoint in &self.deployment.endpoints {
            record
                .streams
                .extend(fetch_log(&self.deployment, endpoint.address).await);
        }
        record
    }
}

/// Returns the log of an engine.
pub(crate) async fn fetch_log(
    deployment: &Deployment,
    engine: std::net::SocketAddr,
) -> Vec<Stream> {
    #[derive(Deserialize)]
    struct Log {
        entries: Vec<Stream>,
    }
    let pool = link::http::Pool::new(link::http::Limits::new().body_bytes(64 * 1024 * 1024));
    let call = Call::get("/v1/log").deadline(Duration::from_secs(20));
    let answer = pool.fetch(engine, call).await.unwrap();
    assert!(deployment.endpoints.iter().any(|e| e.address == engine));
    serde_json::from_slice::<Log>(&answer.body).unwrap().entries
}

/// A run that takes longer is considered hung.
pub(crate) const RUN_TIME_MAX: Duration = Duration::from_secs(120);
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(100);
