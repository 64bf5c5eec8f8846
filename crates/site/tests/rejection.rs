//! Submissions to VMs that run as processes, under faults of the store and
//! kills: a job that is rejected at every attempt never runs, and a job that is
//! accepted is complete.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use common::{Deployment, Vm, caller, job};
use fakes::{
    blocking, seeds,
    site::{Fault, Plan, Site},
};
use link::{Method, http::client::Call};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde_json::Value;

/// The number of VMs, and of the coordinators among them.
const VMS: usize = 4;
const COORDINATORS: usize = 2;
/// The number of trainers, which submit jobs at the same time.
const TRAINERS: u64 = 3;
const ITEMS: usize = 2;
const EVENTS: u64 = 5;
const EVENT_TIME: Duration = Duration::from_millis(30);
/// The number of VMs that a trainer tries for one job.
const ATTEMPTS_MAX: usize = 3;
/// The number of calls with which a trainer tries to end a job.
const ENDS_MAX: usize = 2;
/// The kind of the objects of jobs, the heads among them.
const HEADS: &str = "rollout-jobs";

/// How long faults come and go.
const FAULTS_TIME: Duration = Duration::from_millis(6000);
/// How long a trainer waits for an answer: longer than a VM retries.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// How long jobs may take to be complete once the store is available and all
/// VMs are ready.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(30);
/// How long no request must arrive at any endpoint for the play to end.
const QUIET_TIME: Duration = Duration::from_millis(1000);
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// What a trainer learns from a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Status(u16),
    /// The call may have been sent and got no answer.
    None,
}

impl Answer {
    /// Returns whether the answer promises that the call has no effect.
    fn is_promise(self) -> bool {
        matches!(self, Self::Status(408 | 421 | 429 | 503))
    }
}

/// What a trainer knows of its job.
#[derive(Clone, Debug, Default)]
struct Submitted {
    id: String,
    /// The ids of its items.
    items: Vec<String>,
    /// The answers to the attempts to submit it.
    submissions: Vec<Answer>,
    /// The answers to the attempts to end it.
    ends: Vec<Answer>,
}

impl Submitted {
    fn is_accepted(&self) -> bool {
        self.submissions.contains(&Answer::Status(202))
    }

    fn may_be_ended(&self) -> bool {
        !self.ends.iter().all(|answer| answer.is_promise())
    }
}

/// The list of a job's samples that a VM returned.
#[derive(Clone, Debug)]
struct Listing {
    job: String,
    /// The ids of the items in order, and whether each is done.
    items: Vec<(String, bool)>,
}

/// What the trainers were told, and what the endpoints saw.
#[derive(Clone, Debug, Default)]
struct History {
    jobs: Vec<Submitted>,
    /// The ids of the requests that arrived at endpoints.
    arrivals: Vec<String>,
    /// The lists that trainers read, in any order.
    listings: Vec<Listing>,
    /// The jobs in the store that were not complete at the end.
    unsettled: Vec<String>,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Violation {
    /// All attempts to submit the job were rejected, and this request of it
    /// arrived at an endpoint.
    RejectedJobRan(String, String),
    /// The job was accepted and not ended, and this item of it is not done.
    AcceptedJobIncomplete(String, String),
    /// An item of the job is at two positions.
    ItemMoved(String, String),
    /// A position of the job has two items.
    PositionReused(String, usize),
    /// The job is in the store and not ended, and not complete at all VMs long
    /// after the last fault.
    Unsettled(String),
}

impl Violation {
    fn job(&self) -> &str {
        match self {
            Self::RejectedJobRan(job, _)
            | Self::AcceptedJobIncomplete(job, _)
            | Self::ItemMoved(job, _)
            | Self::PositionReused(job, _)
            | Self::Unsettled(job) => job,
        }
    }
}

/// Returns the violations in `history`, each of them once.
fn check(history: &History) -> BTreeSet<Violation> {
    let unsettled = history.unsettled.iter().cloned();
    let mut violations: BTreeSet<Violation> = unsettled.map(Violation::Unsettled).collect();
    for job in &history.jobs {
        violations.extend(check_rejected(job, &history.arrivals));
        let listings = history.listings.iter().filter(|l| l.job == job.id);
        let listings: Vec<&Listing> = listings.collect();
        violations.extend(check_complete(job, &listings));
        violations.extend(check_positions(&job.id, &listings));
    }
    violations
}

fn check_rejected(job: &Submitted, arrivals: &[String]) -> Vec<Violation> {
    if !job.submissions.iter().all(|answer| answer.is_promise()) {
        return Vec::new();
    }
    let is_of_job = |request: &&String| {
        let item = request.strip_prefix("score-").unwrap_or(request);
        job.items.iter().any(|id| id == item)
    };
    let ran = arrivals.iter().filter(is_of_job);
    ran.map(|request| Violation::RejectedJobRan(job.id.clone(), request.clone()))
        .collect()
}

fn check_complete(job: &Submitted, listings: &[&Listing]) -> Vec<Violation> {
    if !job.is_accepted() || job.may_be_ended() {
        return Vec::new();
    }
    let is_done = |item: &&String| {
        let mut listed = listings.iter().flat_map(|listing| &listing.items);
        listed.any(|(id, is_done)| id == *item && *is_done)
    };
    let missing = job.items.iter().filter(|item| !is_done(item));
    missing
        .map(|item| Violation::AcceptedJobIncomplete(job.id.clone(), item.clone()))
        .collect()
}

fn check_positions(job: &str, listings: &[&Listing]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let (mut positions, mut items) = (BTreeMap::new(), BTreeMap::new());
    let listed = listings.iter().flat_map(|l| l.items.iter().enumerate());
    for (position, (item, _)) in listed {
        if *positions.entry(item).or_insert(position) != position {
            violations.push(Violation::ItemMoved(job.to_string(), item.clone()));
        }
        if *items.entry(position).or_insert(item) != item {
            violations.push(Violation::PositionReused(job.to_string(), position));
        }
    }
    violations
}

/// What happens in a play: its history, and lines that tell what happened when.
#[derive(Debug, Default)]
struct Play {
    history: Mutex<History>,
    lines: Mutex<Vec<String>>,
    has_ended: AtomicBool,
}

impl Play {
    fn note(&self, line: String) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let line = format!("{} {line}", now.as_millis());
        self.lines.lock().unwrap().push(line);
    }

    fn record(&self, listing: Option<Listing>) {
        self.history.lock().unwrap().listings.extend(listing);
    }
}

/// Sends `call`, and returns the status and the body, which is null unless it is
/// JSON. Returns nothing if the call was not sent at all.
fn send(vm: SocketAddr, call: Call) -> Option<(Answer, Value)> {
    match blocking::fetch(vm, call.deadline(ANSWER_TIMEOUT)) {
        Ok(answer) => {
            let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
            Some((Answer::Status(answer.status.as_u16()), body))
        }
        Err(fakes::Error::Call(e)) if e.is_unsent() => None,
        Err(_) => Some((Answer::None, Value::Null)),
    }
}

fn read(vm: SocketAddr, job: &str) -> Option<Listing> {
    let call = caller(Method::GET, &format!("/lots/{job}?after=0"), "read");
    let (answer, body) = send(vm, call)?;
    if answer != Answer::Status(200) {
        return None;
    }
    let samples = body["results"].as_array()?;
    let items = samples.iter().map(|sample| {
        let id = sample["id"].as_str().unwrap_or_default();
        (id.to_string(), sample["state"] == "done")
    });
    Some(Listing {
        job: job.to_string(),
        items: items.collect(),
    })
}

/// Submits jobs until the play ends.
fn train(play: &Play, number: u64, vms: &[SocketAddr], mut rng: SmallRng) {
    for count in 0.. {
        if play.has_ended.load(Ordering::Relaxed) {
            return;
        }
        let submitted = submit(play, &format!("t{number}-{count}"), vms, &mut rng);
        play.history.lock().unwrap().jobs.push(submitted);
        thread::sleep(Duration::from_millis(rng.random_range(0..150)));
    }
}

fn submit(play: &Play, name: &str, vms: &[SocketAddr], rng: &mut SmallRng) -> Submitted {
    let id = format!("job-{name}");
    let mut submitted = Submitted {
        id: id.clone(),
        items: (0..ITEMS).map(|item| format!("{name}-{item}")).collect(),
        ..Submitted::default()
    };
    let body = job(name, ITEMS, EVENTS).to_string();
    let mut order: Vec<usize> = (0..vms.len()).collect();
    order.shuffle(rng);
    for vm in order {
        if submitted.is_accepted() || submitted.submissions.len() == ATTEMPTS_MAX {
            break;
        }
        let call = caller(Method::POST, "/jobs-here/step", &id).body(body.clone());
        play.note(format!("submit {id} at vm-{vm}"));
        let answer = send(vms[vm], call).map(|(answer, _)| answer);
        play.note(format!("submit {id} at vm-{vm}: {answer:?}"));
        submitted.submissions.extend(answer);
    }
    if submitted.is_accepted() && rng.random_bool(0.5) {
        thread::sleep(EVENT_TIME * rng.random_range(0..8));
        play.record(read(vms[rng.random_range(0..vms.len())], &id));
    }
    if submitted.is_accepted() && rng.random_bool(0.25) {
        end(play, &mut submitted, vms, rng);
    }
    submitted
}

fn end(play: &Play, job: &mut Submitted, vms: &[SocketAddr], rng: &mut SmallRng) {
    let id = &job.id;
    for _ in 0..ENDS_MAX {
        let vm = rng.random_range(0..vms.len());
        let call = caller(Method::DELETE, &format!("/lots/{id}"), "end");
        play.note(format!("end {id} at vm-{vm}"));
        let answer = send(vms[vm], call).map(|(answer, _)| answer);
        play.note(format!("end {id} at vm-{vm}: {answer:?}"));
        job.ends.extend(answer);
        if answer == Some(Answer::Status(200)) {
            return;
        }
    }
}

fn draw_fault(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..11) {
        0..3 => Fault::None,
        3 => Fault::Unavailable,
        4 => Fault::DroppedReplies,
        5 => Fault::DroppedRepliesOf(HEADS),
        6..9 => Fault::LostWriteOf(HEADS),
        9 => Fault::ExecutedWithStatus([200, 500, 502, 504][rng.random_range(0..4)]),
        _ => Fault::LateWrites(Duration::from_millis(rng.random_range(100..1500))),
    }
}

/// Lets faults of the store come and go, and kills and restarts single VMs.
/// Afterwards the store is available and all VMs run.
fn disturb(play: &Play, site: &Site, vms: &mut [Vm], rng: &mut SmallRng) {
    let start = Instant::now();
    let mut killed: Option<usize> = None;
    while start.elapsed() < FAULTS_TIME {
        let fault = draw_fault(rng);
        site.state().fault = fault;
        play.note(format!("store {fault:?}"));
        if let Some(vm) = killed.take() {
            vms[vm].start_again();
            play.note(format!("start vm-{vm}"));
        }
        let length = Duration::from_millis(rng.random_range(150..1200));
        let kill_after = length.mul_f64(rng.random_range(0.0..1.0));
        let is_kill = rng.random_bool(0.2);
        let vm = rng.random_range(0..vms.len());
        thread::sleep(kill_after);
        if is_kill {
            vms[vm].kill();
            play.note(format!("kill vm-{vm}"));
            killed = Some(vm);
        }
        thread::sleep(length - kill_after);
    }
    site.state().fault = Fault::None;
    play.note("store None".to_string());
    if let Some(vm) = killed {
        vms[vm].start_again();
    }
}

/// Returns the submitted jobs that are in the store and were not ended.
fn jobs_in_store(play: &Play, site: &Site) -> Vec<String> {
    let names: BTreeSet<String> = site.state().names(HEADS).into_iter().collect();
    let history = play.history.lock().unwrap();
    let ids = history.jobs.iter().map(|job| job.id.clone());
    ids.filter(|id| names.contains(id) && !names.contains(&format!("{id}.e")))
        .collect()
}

/// Waits until all jobs in the store are complete at all VMs and nothing arrives
/// at endpoints any more, or the time for it is over.
fn settle(play: &Play, site: &Site, vms: &[SocketAddr]) {
    let start = Instant::now();
    let mut arrivals = 0;
    let mut quiet_since = start;
    let is_complete = |job: &String, vm: SocketAddr| {
        let listing = read(vm, job);
        let is_complete = listing.as_ref().is_some_and(|l| l.items.len() == ITEMS);
        play.record(listing);
        is_complete
    };
    let mut complete = BTreeSet::new();
    while quiet_since.elapsed() < QUIET_TIME {
        let jobs = jobs_in_store(play, site);
        for job in &jobs {
            if !complete.contains(job) && vms.iter().all(|vm| is_complete(job, *vm)) {
                complete.insert(job.clone());
            }
        }
        let incomplete = jobs.into_iter().filter(|job| !complete.contains(job));
        let incomplete: Vec<String> = incomplete.collect();
        let arrivals_now = site.state().arrivals.len();
        if arrivals_now != arrivals || !incomplete.is_empty() {
            (arrivals, quiet_since) = (arrivals_now, Instant::now());
        }
        if start.elapsed() > SETTLE_TIME_MAX {
            play.history.lock().unwrap().unsettled = incomplete;
            return;
        }
        thread::sleep(POLL_PERIOD);
    }
}

fn run(seed: u64) -> (Play, Deployment) {
    let plan = Plan {
        event_time: EVENT_TIME,
        ..Plan::default()
    };
    let mut deployment = Deployment::start_with_coordinators(VMS, COORDINATORS, plan);
    let play = Play::default();
    let addresses: Vec<SocketAddr> = deployment.vms.iter().map(|vm| vm.callers).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    thread::scope(|scope| {
        for number in 0..TRAINERS {
            let rng = SmallRng::from_rng(&mut rng);
            let (play, addresses) = (&play, &addresses);
            scope.spawn(move || train(play, number, addresses, rng));
        }
        disturb(&play, &deployment.site, &mut deployment.vms, &mut rng);
        play.has_ended.store(true, Ordering::Relaxed);
    });
    for vm in &deployment.vms {
        vm.wait_until_ready();
    }
    settle(&play, &deployment.site, &addresses);
    let arrivals = deployment.site.state().arrivals.clone();
    play.history.lock().unwrap().arrivals = arrivals.into_iter().map(|a| a.id).collect();
    (play, deployment)
}

/// Prints what happened in a play, what trainers read of `jobs`, and what the
/// VMs logged about them.
fn print(play: &Play, history: &History, deployment: &Deployment, jobs: &BTreeSet<&str>) {
    for line in play.lines.lock().unwrap().iter() {
        println!("{line}");
    }
    for listing in &history.listings {
        if jobs.contains(&*listing.job) {
            println!("{listing:?}");
        }
    }
    for vm in &deployment.vms {
        let log = vm.log();
        let is_about = |line: &&str| jobs.iter().any(|job| line.contains(&format!("\"{job}\"")));
        for line in log.lines().filter(is_about) {
            println!("{} {line}", vm.name);
        }
    }
}

#[test]
fn submissions_under_faults() {
    for seed in seeds::from_environment(13..16) {
        let (play, deployment) = run(seed);
        let history = play.history.lock().unwrap();
        let violations = check(&history);
        if !violations.is_empty() {
            let jobs = violations.iter().map(Violation::job).collect();
            print(&play, &history, &deployment, &jobs);
        }
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let jobs = &history.jobs;
        let count = |is_counted: fn(&&Submitted) -> bool| jobs.iter().filter(is_counted).count();
        println!(
            "seed {seed}: {} jobs, {} accepted, {} rejected at every attempt, {} ended, no violation",
            jobs.len(),
            count(|job| job.is_accepted()),
            count(|job| job.submissions.iter().all(|answer| answer.is_promise())),
            count(|job| job.may_be_ended()),
        );
    }
}

fn listing(job: &str, items: &[&str]) -> Listing {
    Listing {
        job: job.to_string(),
        items: items.iter().map(|id| (id.to_string(), true)).collect(),
    }
}

/// Returns a history without violations, in which `job-0` is accepted, `job-1`
/// is rejected, `job-2` has an unknown outcome and `job-3` is ended.
fn good_history() -> History {
    use Answer::{None, Status};
    let job = |number: usize, submissions: &[Answer], ends: &[Answer]| Submitted {
        id: format!("job-{number}"),
        items: vec![format!("{number}-0"), format!("{number}-1")],
        submissions: submissions.to_vec(),
        ends: ends.to_vec(),
    };
    History {
        jobs: vec![
            job(0, &[Status(503), Status(202)], &[Status(503)]),
            job(1, &[Status(503), Status(429), Status(503)], &[]),
            job(2, &[Status(503), None, Status(504)], &[]),
            job(3, &[Status(202)], &[Status(503), Status(504)]),
        ],
        arrivals: ["0-0", "0-1", "score-0-0", "score-0-1", "2-0", "3-0"]
            .map(str::to_string)
            .to_vec(),
        listings: vec![
            listing("job-0", &["0-1"]),
            listing("job-0", &["0-1", "0-0"]),
            listing("job-3", &["3-0"]),
        ],
        unsettled: Vec::new(),
    }
}

#[test]
fn check_good_history() {
    assert_eq!(check(&good_history()), BTreeSet::new());
}

#[test]
fn check_bad_histories() {
    type Corrupt = fn(&mut History);
    let names = |job: &str, id: &str| (job.to_string(), id.to_string());
    let rejected_ran = |id| {
        let (job, id) = names("job-1", id);
        Violation::RejectedJobRan(job, id)
    };
    let incomplete = |id| {
        let (job, id) = names("job-0", id);
        Violation::AcceptedJobIncomplete(job, id)
    };
    let moved = |id| {
        let (job, id) = names("job-0", id);
        Violation::ItemMoved(job, id)
    };
    let cases: [(&str, Corrupt, Violation); 10] = [
        (
            "an item of a rejected job",
            |h| h.arrivals.push("1-1".into()),
            rejected_ran("1-1"),
        ),
        (
            "only the scoring call of a rejected job",
            |h| h.arrivals.push("score-1-0".into()),
            rejected_ran("score-1-0"),
        ),
        (
            "a job with other promises than 503",
            |h| {
                h.jobs[1].submissions = vec![Answer::Status(408), Answer::Status(421)];
                h.arrivals.push("1-0".into());
            },
            rejected_ran("1-0"),
        ),
        (
            "an accepted job without one item",
            |h| drop(h.listings[1].items.pop()),
            incomplete("0-0"),
        ),
        (
            "an accepted job with an abandoned item",
            |h| h.listings[1].items[1].1 = false,
            incomplete("0-0"),
        ),
        (
            "an accepted job that no VM lists",
            |h| h.listings.clear(),
            incomplete("0-1"),
        ),
        (
            "an item twice in one list",
            |h| h.listings[1].items.push(("0-1".into(), true)),
            moved("0-1"),
        ),
        (
            "an item at another position in another list",
            |h| h.listings.push(listing("job-0", &["0-0", "0-1"])),
            moved("0-1"),
        ),
        (
            "another item at the position of an earlier list",
            |h| h.listings[0] = listing("job-0", &["0-0"]),
            Violation::PositionReused("job-0".into(), 0),
        ),
        (
            "a job that runs for ever",
            |h| h.unsettled.push("job-2".into()),
            Violation::Unsettled("job-2".into()),
        ),
    ];
    for (case, corrupt, expected) in cases {
        let mut history = good_history();
        corrupt(&mut history);
        let violations = check(&history);
        assert!(violations.contains(&expected), "{case}: {violations:?}");
    }
}
