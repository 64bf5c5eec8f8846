//! Runs under faults that are drawn at random from a seed.

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
    run::{EXPECTED, Fixture, PROGRAM, RETRY_PAUSE, RUN_TIME_MAX, plan},
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

/// The number of faults injected in one run.
const FAULTS_PER_RUN: usize = 4;

/// Runs two processes of one trainer through all steps under faults drawn from
/// `seed`, and returns the record of the run.
pub(crate) async fn run(seed: u64) -> Record {
    let fixture = Fixture::start(&plan(4), 2).await;
    let rng = RefCell::new(StdRng::seed_from_u64(seed));
    let finished_processes = Rc::new(Cell::new(0));
    for process in 0..2 {
        let (fixture, finished_processes) = (fixture.clone(), finished_processes.clone());
        monoio::spawn(async move {
            fixture.train(process, seed * 2 + process as u64).await;
            finished_processes.set(finished_processes.get() + 1);
        });
    }
    let declaring_fixture = fixture.clone();
    monoio::spawn(async move { declare_all(&declaring_fixture, seed).await });
    for _ in 0..FAULTS_PER_RUN {
        let pause = rng.borrow_mut().random_range(200..1500);
        monoio::time::sleep(Duration::from_millis(pause)).await;
        let fault = FAULTS[rng.borrow_mut().random_range(0..FAULTS.len())];
        inject(&fixture, &rng, fault).await;
    }
    let start = Instant::now();
    while finished_processes.get() < 2 {
        assert!(
            start.elapsed() < RUN_TIME_MAX,
            "seed {seed}: the trainers did not finish in {RUN_TIME_MAX:?}"
        );
        monoio::time::sleep(RETRY_PAUSE).await;
    }
    fixture.final_record().await
}

/// Declares all steps, with new weights before each.
async fn declare_all(fixture: &Fixture, seed: u64) {
    let rng = RefCell::new(StdRng::seed_from_u64(seed + 1));
    for step in 0..EXPECTED.steps {
        let version = 2 + step * 2;
        fixture.publish_weights(&rng, version).await;
        fixture.record_version(step, version);
        fixture.declare(&rng, step, 0).await;
        monoio::time::sleep(Duration::from_millis(1500)).await;
        fixture.publish_weights(&rng, version + 1).await;
    }
}

async fn inject(fixture: &Rc<Fixture>, rng: &RefCell<StdRng>, fault: Fault) {
    let vms = fixture.deployment.vms.len();
    let vm = rng.borrow_mut().random_range(0..vms);
    let millis = rng.borrow_mut().random_range(1000..4000);
    let duration = Duration::from_millis(millis);
    let platform = fixture.deployment.platform;
    let engines: Vec<_> = fixture
        .deployment
        .endpoints
        .iter()
        .map(|e| e.address)
        .collect();
    match fault {
        Fault::Kill => kill_and_restart(fixture, vm, duration).await,
        Fault::Freeze => {
            let entry = &fixture.deployment.vms[vm].entry;
            entry.signal("STOP").unwrap();
            // Long enough for another VM to take over.
            monoio::time::sleep(Duration::from_secs(6)).await;
            entry.signal("CONT").unwrap();
        }
        Fault::CutVm => {
            let id = &fixture.deployment.vms[vm].vm.id;
            fixture.set_faults(platform, json!({ "cut": [id] })).await;
            monoio::time::sleep(duration).await;
            fixture.set_faults(platform, json!({ "cut": [] })).await;
        }
        Fault::Outage => {
            fixture
                .set_faults(platform, json!({ "outage": true }))
                .await;
            monoio::time::sleep(duration).await;
            fixture
                .set_faults(platform, json!({ "outage": false }))
                .await;
        }
        Fault::LoseReplies => {
            fixture
                .set_faults(platform, json!({ "lost_reply": 0.3 }))
                .await;
            monoio::time::sleep(duration).await;
            clear_faults(fixture, platform, json!({ "lost_reply": 0.0 })).await;
        }
        Fault::TruncateStreams => {
            for engine in &engines {
                fixture
                    .set_faults(*engine, json!({ "truncate": 0.3 }))
                    .await;
            }
            monoio::time::sleep(duration).await;
            for engine in &engines {
                fixture
                    .set_faults(*engine, json!({ "truncate": 0.0 }))
                    .await;
            }
        }
        Fault::ScorerBusy => {
            let scorer = fixture.deployment.scorer;
            fixture.set_faults(scorer, json!({ "outage": true })).await;
            monoio::time::sleep(duration).await;
            fixture
                .set_faults(scorer, json!({ "outage": false, "lost_reply": 0.2 }))
                .await;
            monoio::time::sleep(duration).await;
            clear_faults(fixture, scorer, json!({ "lost_reply": 0.0 })).await;
        }
    }
}

/// Sends `switches` repeatedly until a reply arrives, since the reply to this
/// call may be lost too.
pub(crate) async fn clear_faults(
    fixture: &Fixture,
    address: std::net::SocketAddr,
    switches: Value,
) {
    loop {
        let call = Call::post("/fault", switches.to_string());
        let answer = fixture.deployment.pool.fetch(address, call).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return;
        }
    }
}

/// Kills an entry daemon with `SIGKILL` and starts it again after `downtime`.
pub(crate) async fn kill_and_restart(fixture: &Rc<Fixture>, vm: usize, downtime: Duration) {
    let id = fixture.deployment.vms[vm].vm.id.clone();
    fixture.deployment.vms[vm].entry.signal("KILL").unwrap();
    monoio::time::sleep(downtime).await;
    let settings = fixture.deployment.folder.join(format!("entry-{id}.toml"));
    let arguments = [
        "entry".to_string(),
        format!("--settings={}", settings.display()),
    ];
    let log = fixture
        .deployment
        .folder
        .join(format!("entry-{id}-again.log"));
    let child = fakes::deployment::Child::spawn_part(Path::new(PROGRAM), &arguments, &log).unwrap();
    RESTARTED.with(|restarted| restarted.borrow_mut().push(child));
}

thread_local! {
    /// Restarted daemons, which are stopped at the end of the run.
    static RESTARTED: RefCell<Vec<fakes::deployment::Child>> = const { RefCell::new(Vec::new()) };
}

/// Stops the daemons that were restarted.
pub(crate) fn stop_restarted() {
    RESTARTED.with(|restarted| restarted.borrow_mut().clear());
}
