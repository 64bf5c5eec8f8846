//! Runs under faults that are drawn from a seed.

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use link::http::client::Call;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use super::{
    history::Record,
    run::{Bench, EXPECTED, PROGRAM, RETRY_TIME, RUN_TIME, plan},
};

/// One fault of a run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
    CutVm,
    Outage,
    LoseReplies,
    TruncateStreams,
    ScorerBusy,
}

const FAULTS: [Fault; 7] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::CutVm,
    Fault::Outage,
    Fault::LoseReplies,
    Fault::TruncateStreams,
    Fault::ScorerBusy,
];

/// How many faults one run brings about.
const FAULTS_PER_RUN: usize = 4;

/// Runs two processes of one trainer through all steps under faults drawn from
/// `seed`, and returns what was recorded.
pub(crate) async fn run(seed: u64) -> Record {
    let bench = Bench::start(&plan(4), 2).await;
    let rng = RefCell::new(StdRng::seed_from_u64(seed));
    let done = Rc::new(Cell::new(0));
    for process in 0..2 {
        let (bench, done) = (bench.clone(), done.clone());
        monoio::spawn(async move {
            bench.train(process, seed * 2 + process as u64).await;
            done.set(done.get() + 1);
        });
    }
    let steps = bench.clone();
    monoio::spawn(async move { declare_all(&steps, seed).await });
    for _ in 0..FAULTS_PER_RUN {
        let pause = rng.borrow_mut().random_range(200..1500);
        monoio::time::sleep(Duration::from_millis(pause)).await;
        let fault = FAULTS[rng.borrow_mut().random_range(0..FAULTS.len())];
        bring_about(&bench, &rng, fault).await;
    }
    let start = Instant::now();
    while done.get() < 2 {
        assert!(
            start.elapsed() < RUN_TIME,
            "the trainers did not end: seed {seed}"
        );
        monoio::time::sleep(RETRY_TIME).await;
    }
    bench.finish().await
}

/// Declares all steps, with new weights before each.
async fn declare_all(bench: &Bench, seed: u64) {
    let rng = RefCell::new(StdRng::seed_from_u64(seed + 1));
    for step in 0..EXPECTED.steps {
        let version = 2 + step * 2;
        bench.raise_weights(&rng, version).await;
        bench.note_version(step, version);
        bench.declare(&rng, step, 0).await;
        monoio::time::sleep(Duration::from_millis(1500)).await;
        bench.raise_weights(&rng, version + 1).await;
    }
}

async fn bring_about(bench: &Rc<Bench>, rng: &RefCell<StdRng>, fault: Fault) {
    let vms = bench.deployment.vms.len();
    let vm = rng.borrow_mut().random_range(0..vms);
    let millis = rng.borrow_mut().random_range(1000..4000);
    let span = Duration::from_millis(millis);
    let platform = bench.deployment.platform;
    let engines: Vec<_> = bench
        .deployment
        .endpoints
        .iter()
        .map(|e| e.address)
        .collect();
    match fault {
        Fault::Kill => kill(bench, vm, span).await,
        Fault::Freeze => {
            let entry = &bench.deployment.vms[vm].entry;
            entry.signal("STOP").unwrap();
            // Long enough for a takeover.
            monoio::time::sleep(Duration::from_secs(6)).await;
            entry.signal("CONT").unwrap();
        }
        Fault::CutVm => {
            let id = &bench.deployment.vms[vm].vm.id;
            bench.fault(platform, json!({ "cut": [id] })).await;
            monoio::time::sleep(span).await;
            bench.fault(platform, json!({ "cut": [] })).await;
        }
        Fault::Outage => {
            bench.fault(platform, json!({ "outage": true })).await;
            monoio::time::sleep(span).await;
            bench.fault(platform, json!({ "outage": false })).await;
        }
        Fault::LoseReplies => {
            bench.fault(platform, json!({ "lost_reply": 0.3 })).await;
            monoio::time::sleep(span).await;
            lift(bench, platform, json!({ "lost_reply": 0.0 })).await;
        }
        Fault::TruncateStreams => {
            for engine in &engines {
                bench.fault(*engine, json!({ "truncate": 0.3 })).await;
            }
            monoio::time::sleep(span).await;
            for engine in &engines {
                bench.fault(*engine, json!({ "truncate": 0.0 })).await;
            }
        }
        Fault::ScorerBusy => {
            let scorer = bench.deployment.scorer;
            bench.fault(scorer, json!({ "outage": true })).await;
            monoio::time::sleep(span).await;
            bench
                .fault(scorer, json!({ "outage": false, "lost_reply": 0.2 }))
                .await;
            monoio::time::sleep(span).await;
            lift(bench, scorer, json!({ "lost_reply": 0.0 })).await;
        }
    }
}

/// Clears switches whose own reply may be lost.
pub(crate) async fn lift(bench: &Bench, address: std::net::SocketAddr, switches: Value) {
    loop {
        let call = Call::post("/fault", switches.to_string());
        let set = bench.deployment.pool.fetch(address, call).await;
        if set.is_ok_and(|answer| answer.status.is_success()) {
            return;
        }
    }
}

/// Kills an entry daemon outright and starts it again after `span`.
pub(crate) async fn kill(bench: &Rc<Bench>, vm: usize, span: Duration) {
    let id = bench.deployment.vms[vm].vm.id.clone();
    bench.deployment.vms[vm].entry.signal("KILL").unwrap();
    monoio::time::sleep(span).await;
    let settings = bench.deployment.folder.join(format!("entry-{id}.toml"));
    let arguments = [
        "entry".to_string(),
        format!("--settings={}", settings.display()),
    ];
    let log = bench
        .deployment
        .folder
        .join(format!("entry-{id}-again.log"));
    let child = fakes::deployment::Child::spawn_part(Path::new(PROGRAM), &arguments, &log).unwrap();
    RESTARTED.with(|restarted| restarted.borrow_mut().push(child));
}

thread_local! {
    /// Daemons that were started again, which end with the run.
    static RESTARTED: RefCell<Vec<fakes::deployment::Child>> = const { RefCell::new(Vec::new()) };
}

/// Ends daemons that were started again.
pub(crate) fn clean() {
    RESTARTED.with(|restarted| restarted.borrow_mut().clear());
}
