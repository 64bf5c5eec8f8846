//! A model of endpoints that share their machines with other work, in steps of a
//! millisecond and without a network, and of the VMs that choose among them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use board::hash;
use link::{HeaderMap, HeaderValue};
use platform::{config::Config, header};
use policy::prompt::{Kept, Part};
use tarragonseam_site::{
    facts::{Facts, Key},
    latency::Meter,
    placement::{self, Criteria, Work},
};

use super::record;

/// The model of the engines.
pub(crate) const MODEL: &str = "m";
/// The slots of an endpoint.
pub(crate) const SLOTS: u32 = 6;
/// The tokens that an engine keeps.
pub(crate) const CAPACITY: u64 = 80_000;
const STEP: Duration = Duration::from_millis(1);
const STEP_S: f64 = 0.001;
const EVENT_S: f64 = 0.045;
const TOKENS_PER_S: f64 = 340_000.0;

/// Returns a number from 0 to 1 that is the same in each run.
pub(crate) fn random(seed: &str, number: usize) -> f64 {
    let hash = hash::hash_bytes(seed.as_bytes(), number as u64);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// One request, or one item of a job.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    /// The VM that sends it.
    pub(crate) vm: usize,
    /// The seconds that it takes at a plain service of usual speed.
    pub(crate) work_s: f64,
    /// The events that an engine generates.
    pub(crate) events: f64,
    /// The events that its sender expects.
    pub(crate) hint: f64,
    pub(crate) prompt: Vec<Part>,
    pub(crate) sent: Duration,
    /// How often it was moved.
    pub(crate) moves: u32,
}

pub(crate) struct Run {
    request: Request,
    read_s: f64,
    left_s: f64,
    events_sent: f64,
    meter: Meter,
}

/// What an endpoint is and does.
pub(crate) struct Machine {
    /// The speed of its hardware; 1 is usual.
    pub(crate) speed: f64,
    /// How many times longer an event takes in a full batch.
    pub(crate) crowding: f64,
    /// Returns how long work takes at a time; 1 is as usual.
    pub(crate) factor: fn(usize, Duration) -> f64,
    /// The fourth figure of its reports, if it is not the factor.
    pub(crate) stated: Option<&'static str>,
    /// The number by which its factor differs from those of others.
    pub(crate) seed: usize,
    /// Whether it forgets each prompt at once.
    pub(crate) forgets: bool,
    /// The requests that it has run.
    pub(crate) served: u32,
    /// The prompts of which it read the first part.
    pub(crate) prompts_read: u32,
    /// The tokens of prompts that it read.
    pub(crate) tokens_read: u64,
    pub(crate) running: Vec<Run>,
    pub(crate) waiting: VecDeque<Run>,
    pub(crate) kept: Kept,
}

impl Machine {
    /// Returns an idle machine of this speed.
    pub(crate) fn new(speed: f64) -> Self {
        Self {
            speed,
            crowding: 1.0,
            factor: |_, _| 1.0,
            stated: None,
            seed: 0,
            forgets: false,
            served: 0,
            prompts_read: 0,
            tokens_read: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            kept: Kept::default(),
        }
    }

    fn headers(&self, now: Duration) -> HeaderMap {
        let (running, waiting) = (self.running.len(), self.waiting.len());
        let percent = ((self.factor)(self.seed, now) * 100.0).round().to_string();
        let load = match self.stated {
            Some("") => format!("{running},{waiting},{SLOTS}"),
            Some(stated) => format!("{running},{waiting},{SLOTS},{stated}"),
            None => format!("{running},{waiting},{SLOTS},{percent}"),
        };
        let value = HeaderValue::from_str(&load).unwrap();
        HeaderMap::from_iter([(header::LOAD, value)])
    }

    fn read_prompt(&mut self, parts: &[Part]) -> u64 {
        let held = self.kept.held(parts);
        if parts
            .first()
            .is_some_and(|first| held < u64::from(first.tokens))
        {
            self.prompts_read += 1;
        }
        let unread = policy::prompt::total(parts) - held;
        self.tokens_read += unread;
        if !self.forgets {
            self.kept.record(parts, CAPACITY);
        }
        unread
    }

    /// Returns how many times more slowly than usual it works.
    fn slowness(&self, now: Duration, is_engine: bool) -> f64 {
        let occupancy = self.running.len() as f64 / f64::from(SLOTS);
        let crowding = if is_engine {
            1.0 + (self.crowding - 1.0) * (2.0 * occupancy - 1.0).max(0.0).powi(2)
        } else {
            1.0
        };
        crowding * (self.factor)(self.seed, now) / self.speed
    }
}

/// The end of a request.
#[derive(Clone, Debug)]
pub(crate) struct Finished {
    pub(crate) id: String,
    /// The time from sending to the end.
    pub(crate) time: Duration,
    pub(crate) at: Duration,
}

/// Endpoints, and the VMs before them.
pub(crate) struct World {
    pub(crate) machines: Vec<Machine>,
    pub(crate) vms: Vec<Facts>,
    pub(crate) keys: Vec<Vec<Key>>,
    pub(crate) is_engine: bool,
    /// Whether runs move to faster endpoints.
    pub(crate) may_move: bool,
    /// The runs that were moved.
    pub(crate) moves: u32,
    /// Requests that wait for an endpoint.
    queue: VecDeque<Request>,
    pub(crate) finished: Vec<Finished>,
    start: Instant,
    now: Duration,
}

impl World {
    /// Returns `vms` VMs before these machines.
    pub(crate) fn new(machines: Vec<Machine>, vms: usize, is_engine: bool) -> Self {
        let versions: &[(&str, u64)] = if is_engine { &[(MODEL, 1)] } else { &[] };
        let facts = || {
            let mut facts = Facts::default();
            facts.set_config(config());
            for number in 0..machines.len() as u8 {
                let record = record::endpoint(number, SLOTS, versions);
                facts.put_endpoint(&format!("e{number}"), record);
            }
            facts
        };
        let vms: Vec<Facts> = (0..vms).map(|_| facts()).collect();
        let keys = vms.iter().map(|facts| facts.endpoints.keys().collect());
        Self {
            keys: keys.collect(),
            machines,
            vms,
            is_engine,
            may_move: false,
            moves: 0,
            queue: VecDeque::new(),
            finished: Vec::new(),
            start: Instant::now(),
            now: Duration::ZERO,
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Returns the endpoint that the VM of `request` chooses.
    pub(crate) fn choose(&self, request: &Request, preferred: Option<Key>) -> Option<Key> {
        let vm = format!("vm-{}", request.vm);
        let criteria = Criteria {
            preferred,
            vm: &vm,
            ..self.criteria(request)
        };
        placement::choose(&self.vms[request.vm], criteria, self.instant())
    }

    fn criteria<'a>(&self, request: &'a Request) -> Criteria<'a> {
        Criteria {
            service: "writer",
            domain: "a",
            model: self.is_engine.then_some((MODEL, 1)),
            may_wait: self.is_engine,
            request: &request.id,
            work: Work {
                model: self.is_engine.then_some(MODEL),
                prompt: &request.prompt,
                events: Some(request.hint),
                ..Work::default()
            },
            ..Criteria::default()
        }
    }

    /// Moves the run `id` to another endpoint if its VM finds that worth it.
    fn consider_move(&mut self, number: usize, id: &str, event_time: Duration) {
        let running = &self.machines[number].running;
        let Some(index) = running.iter().position(|run| run.request.id == id) else {
            return;
        };
        let run = &running[index];
        let (vm, done) = (run.request.vm, run.events_sent);
        let mut rest = run.request.clone();
        rest.events -= done;
        rest.hint = tarragonseam_site::prompt::events_left(rest.hint, done);
        let key = self.keys[vm][number];
        let facts = &self.vms[vm];
        let criteria = self.criteria(&rest);
        let should_move = placement::should_move(facts, key, criteria, event_time, self.instant());
        if !should_move || rest.moves >= 2 || rest.events < 1.0 {
            return;
        }
        rest.moves += 1;
        self.moves += 1;
        self.vms[vm].endpoints[key].in_flight -= 1;
        self.machines[number].running.remove(index);
        self.queue.push_back(rest);
    }

    /// Sends `request` as its VM chooses, and returns whether a VM could send it.
    fn send(&mut self, request: &Request, preferred: &mut Option<Key>) -> bool {
        let Some(key) = self.choose(request, *preferred) else {
            return false;
        };
        *preferred = Some(key);
        let facts = &mut self.vms[request.vm];
        facts.record_prompt(key, &request.prompt);
        facts.endpoints[key].in_flight += 1;
        let number = self.keys[request.vm]
            .iter()
            .position(|known| *known == key)
            .unwrap();
        self.machines[number].waiting.push_back(Run {
            request: request.clone(),
            read_s: 0.0,
            left_s: 0.0,
            events_sent: 0.0,
            meter: Meter::default(),
        });
        true
    }

    /// Sends these requests, in the order in which they are due, and runs until
    /// all have ended.
    pub(crate) fn run(&mut self, requests: Vec<Request>) {
        let mut due: VecDeque<Request> = requests.into();
        let mut preferred = hash::Map::default();
        while !(due.is_empty() && self.queue.is_empty() && self.is_idle()) {
            while due.front().is_some_and(|next| next.sent <= self.now) {
                self.queue.extend(due.pop_front());
            }
            for request in std::mem::take(&mut self.queue) {
                let group = request.prompt.first().map(|part| part.id);
                let known = preferred.entry(group).or_insert(None);
                let mut endpoint = known.filter(|_| group.is_some());
                if !self.send(&request, &mut endpoint) {
                    self.queue.push_back(request);
                }
                *known = endpoint;
            }
            for number in 0..self.machines.len() {
                self.step(number);
            }
            self.now += STEP;
        }
    }

    fn is_idle(&self) -> bool {
        let is_idle = |machine: &Machine| machine.running.is_empty() && machine.waiting.is_empty();
        self.machines.iter().all(is_idle)
    }

    fn report(&mut self, number: usize, vm: usize) {
        let headers = self.machines[number].headers(self.now);
        let (key, now) = (self.keys[vm][number], self.instant());
        self.vms[vm].record_headers(key, &headers, now);
    }

    fn step(&mut self, number: usize) {
        while self.machines[number].running.len() < SLOTS as usize {
            let machine = &mut self.machines[number];
            let Some(mut run) = machine.waiting.pop_front() else {
                break;
            };
            let unread = machine.read_prompt(&run.request.prompt);
            run.read_s = unread as f64 / TOKENS_PER_S;
            run.left_s = match self.is_engine {
                true => run.request.events * EVENT_S,
                false => run.request.work_s,
            };
            machine.served += 1;
            let vm = run.request.vm;
            machine.running.push(run);
            if self.is_engine {
                self.report(number, vm);
            }
        }
        let slowness = self.machines[number].slowness(self.now, self.is_engine);
        let at = self.instant();
        let mut ended = Vec::new();
        let mut measured = Vec::new();
        let is_engine = self.is_engine;
        self.machines[number].running.retain_mut(|run| {
            if run.read_s > 0.0 {
                run.read_s -= STEP_S;
                return true;
            }
            run.left_s -= STEP_S / slowness;
            let done = run.request.events - run.left_s / EVENT_S;
            if is_engine && done >= run.events_sent + 1.0 {
                run.events_sent += 1.0;
                if let Some(time) = run.meter.count(at) {
                    measured.push((run.request.vm, run.request.id.clone(), time));
                }
            }
            if run.left_s <= 0.0 {
                ended.push(run.request.clone());
            }
            run.left_s > 0.0
        });
        for (vm, id, time) in measured {
            let key = self.keys[vm][number];
            self.vms[vm].observe_latency(key, MODEL, time, at);
            if self.may_move {
                self.consider_move(number, &id, time);
            }
        }
        for request in ended {
            let (vm, time) = (request.vm, self.now - request.sent);
            let key = self.keys[vm][number];
            if !self.is_engine {
                self.report(number, vm);
                self.vms[vm].observe_request(key, time, at);
            }
            self.vms[vm].endpoints[key].in_flight -= 1;
            let (id, at) = (request.id, self.now);
            self.finished.push(Finished { id, time, at });
        }
    }

    /// Returns the mean seconds from sending to the end.
    pub(crate) fn mean_s(&self) -> f64 {
        let times = self
            .finished
            .iter()
            .map(|finished| finished.time.as_secs_f64());
        times.sum::<f64>() / self.finished.len() as f64
    }

    /// Returns the seconds within which all but one in `parts` requests ended.
    pub(crate) fn slowest_s(&self, parts: usize) -> f64 {
        let mut times: Vec<Duration> = self.finished.iter().map(|f| f.time).collect();
        times.sort_unstable();
        times[times.len() - 1 - times.len() / parts].as_secs_f64()
    }

    /// Returns the requests that each machine ran.
    pub(crate) fn served(&self) -> Vec<u32> {
        self.machines.iter().map(|machine| machine.served).collect()
    }
}

/// Returns a configuration with engines that keep [`CAPACITY`] tokens.
fn config() -> Config {
    let text = format!(
        r#"{{"version": 1, "services": [{{"name": "writer",
            "engine": {{"slots": {SLOTS}, "kv-capacity-tokens": {CAPACITY}}}}}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

/// Returns `count` requests of `vms` VMs at random times, `per_s` a second.
pub(crate) fn requests(count: usize, vms: usize, per_s: f64) -> Vec<Request> {
    requests_of(0, count, vms, per_s)
}

/// As [`requests`], with other random numbers for each `seed`.
pub(crate) fn requests_of(seed: usize, count: usize, vms: usize, per_s: f64) -> Vec<Request> {
    let mut sent = 0.0;
    let random = |name: &str, number| random(name, seed * 1_000_000 + number);
    let requests = (0..count).map(|number| {
        sent += -(1.0 - random("gap", number)).ln() / per_s;
        // Few runs have many events.
        let events = 4.0 - (1.0 - random("events", number)).ln() * 11.0;
        Request {
            id: format!("r{number}"),
            vm: (random("vm", number) * vms as f64) as usize,
            work_s: 0.02 + 0.06 * random("work", number),
            events: events.min(150.0),
            // Right in the median, and often off by half.
            hint: events.min(150.0) * (1.0 + 1.2 * (random("hint", number) - 0.5)),
            prompt: Vec::new(),
            sent: Duration::from_secs_f64(sent),
            moves: 0,
        }
    });
    requests.collect()
}

/// Returns a factor that changes each 300 ms: a third of the time, work takes up
/// to three times as long.
pub(crate) fn changing(number: usize, now: Duration) -> f64 {
    let span = now.as_millis() as usize / 300;
    let seed = format!("machine {number}");
    let (is_slow, value) = (random(&seed, 2 * span) < 0.33, random(&seed, 2 * span + 1));
    if is_slow {
        1.5 + 1.5 * value
    } else {
        0.9 + 0.2 * value
    }
}

/// As [`changing`], where all machines are slow for the same share of the time.
pub(crate) fn changing_alike(number: usize, now: Duration) -> f64 {
    let span = now.as_millis() as usize / 300;
    let seed = format!("machine {number}");
    let slow = (random(&seed, span / 3) * 3.0) as usize;
    if span % 3 == slow { 2.2 } else { 1.0 }
}
