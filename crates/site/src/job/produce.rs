//! Running of one job: items placed at endpoints, what they made written in
//! pages.

use std::{
    cell::RefCell,
    collections::VecDeque,
    future::Future,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use futures_util::stream::{FuturesUnordered, StreamExt};
use platform::{
    batch::{Outcome, Sample},
    store::{Error, Written},
};

use super::{
    Registry, Shared,
    attempt::{Run, Runner, Score, Terms},
    content::Content,
    listing::{self, Groups},
    progress,
    record::{Head, Items, Page},
    sample::Text,
};
use crate::{
    facts::Key,
    follow::Contact,
    forward::Place,
    place::{self, Need},
};

/// How often places are looked for while none is free.
const PLACE_PERIOD: Duration = Duration::from_millis(50);
/// How many times an item is moved to a faster endpoint: each move costs a
/// connection and what it has made is read again.
const MOVES_MAX: u32 = 2;
/// The pause before the items of a job are asked for again.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// The pause before an item that broke off or was turned away is run again.
const AGAIN_PAUSE: Duration = Duration::from_millis(50);
/// How old what is known of a job may be when its items are started: they must
/// not run 3 s after its end.
const UNSURE_TIME: Duration = Duration::from_millis(2000);
/// How much later than they may be items are given up: when a job was submitted
/// is told by the clock of another VM, which may have jumped by seconds.
const CLOCK_SLACK: Duration = Duration::from_secs(4);
/// The time of an item whose route sets none.
const ITEM_TIME: Duration = Duration::from_secs(60);

/// What jobs are run with.
#[derive(Clone)]
pub struct Producer {
    /// What runs items.
    pub runner: Runner,
    /// The jobs that this VM knows.
    pub registry: Registry,
    /// Where pages go.
    pub content: Content,
    /// How old what is known of the jobs is.
    pub contact: Contact,
    /// The name of this VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
}

/// An item that is still to be run.
struct Work {
    index: usize,
    text: Rc<RefCell<Text>>,
    failures: u32,
    /// How many times it was moved to a faster endpoint.
    moves: u32,
    not_before: Instant,
}

/// What a task of a job ended with.
enum Step {
    Again(Work),
    Ended(usize, Sample),
    Saved(Result<(), Error>),
    Page(Result<Written, Error>, u32),
    Tick,
}

type Task = Pin<Box<dyn Future<Output = Step>>>;

/// A job while it is run.
struct Production {
    producer: Producer,
    job: Shared,
    head: Rc<Head>,
    items: Rc<Items>,
    terms: Terms,
    service: String,
    max_attempts: u32,
    todo: VecDeque<Work>,
    tasks: FuturesUnordered<Task>,
    /// Where the items of a group run, which share a prompt.
    group_endpoints: Map<String, Key>,
    groups: Groups,
    ready: Vec<Sample>,
    /// When the last page was written, and whether one is being written.
    wrote: Instant,
    is_writing: bool,
    /// The same for what open items have made.
    saved: Instant,
    is_saving: bool,
}

impl Producer {
    /// Starts running `job`, unless this process does so already.
    pub fn start(&self, job: &Shared) {
        if std::mem::replace(&mut job.borrow_mut().is_running, true) {
            return;
        }
        let (producer, job) = (self.clone(), job.clone());
        monoio::spawn(async move {
            let id = job.borrow().id.clone();
            let id = id.as_str();
            spdlog::info!("job run", kv: { job = id });
            let reason = producer.produce(&job).await;
            {
                let mut job = job.borrow_mut();
                job.is_running = false;
                job.is_current = false;
                job.open.clear();
            }
            let samples = job.borrow().samples.len();
            spdlog::info!("job left", kv: { job = id, reason, samples });
        });
    }

    /// Writes what the items of `job` have made, which this process is about to
    /// give up.
    pub async fn save(&self, job: &Shared) {
        let Some(progress) = progress::of(&job.borrow()) else {
            return;
        };
        let (job, items) = (job.borrow().id.clone(), progress.texts.len());
        let saved = self.content.write_progress(&job, &progress).await;
        let is_kept = saved.is_ok();
        spdlog::info!("progress kept", kv: { job, items, is_kept });
    }

    /// Reads what `job` consists of, unless it was accepted here, for as long
    /// as this VM is to run it.
    async fn read(&self, job: &Shared) -> Option<Rc<Items>> {
        loop {
            let known = job.borrow().items.clone();
            if let Some(items) = known.filter(|_| job.borrow().is_current) {
                return Some(items);
            }
            let problem = match self.content.read(job).await {
                Ok(items) => {
                    job.borrow_mut().is_current = true;
                    return Some(items);
                }
                Err(e) => e.to_string(),
            };
            let id = job.borrow().id.clone();
            spdlog::warn!("items not read yet", kv: { job = id, problem });
            let is_over = job.borrow().is_ended || job.borrow().holder != self.vm;
            if is_over {
                return None;
            }
            monoio::time::sleep(READ_PAUSE).await;
        }
    }

    async fn produce(&self, job: &Shared) -> &'static str {
        let Some(items) = self.read(job).await else {
            return "over before its items were read";
        };
        let Some(mut production) = Production::new(self.clone(), job.clone(), items) else {
            return "no route";
        };
        loop {
            if let Some(reason) = production.is_over() {
                return reason;
            }
            production.fill();
            production.write();
            production.save();
            let changed = job.borrow().notice.clone();
            let seen = changed.count();
            let next = production.tasks.next();
            let step = monoio::select! {
                step = next => step,
                () = changed.past(seen) => None,
            };
            if let Some(step) = step {
                production.take(step);
            }
        }
    }
}

impl Production {
    fn new(producer: Producer, job: Shared, items: Rc<Items>) -> Option<Self> {
        let head = job.borrow().head.clone();
        let config = producer.runner.facts.borrow().config.clone()?;
        let route = config.route(&head.host, &head.path)?;
        let (service, _) = route.shares().next()?;
        let now = Instant::now();
        let wait = route.max_wait_s.unwrap_or(ITEM_TIME);
        let terms = Terms {
            job: job.borrow().id.clone(),
            host: head.host.clone(),
            account: head.account.clone(),
            model: head.model.clone(),
            oldest: head.oldest_version.unwrap_or_default(),
            is_single_version: route.single_version,
            deadline: job.borrow().submitted + wait + CLOCK_SLACK,
        };
        let known = |id: &str| {
            let text = producer.registry.text(id);
            let fits = |text: &Text| text.fits(terms.oldest, terms.is_single_version);
            text.filter(fits).unwrap_or_default()
        };
        let todo = (0..items.len()).filter_map(|index| {
            let id = &items[index].id;
            let is_listed = job.borrow().listed.contains(id);
            (!is_listed).then(|| Work {
                index,
                text: Rc::new(RefCell::new(known(id))),
                failures: 0,
                moves: 0,
                not_before: now,
            })
        });
        let mut todo: Vec<Work> = todo.collect();
        // Long items first: the last of them decides when a step ends.
        todo.sort_by_key(|work| std::cmp::Reverse(items[work.index].expected_tokens()));
        let open = todo.iter().map(|work| (work.index, work.text.clone()));
        job.borrow_mut().open = open.collect();
        let tasks: FuturesUnordered<Task> = FuturesUnordered::new();
        tasks.push(tick());
        Some(Self {
            producer,
            service: service.to_string(),
            groups: Groups::new(&items),
            max_attempts: route.max_attempts,
            head,
            items,
            job,
            terms,
            todo: todo.into(),
            saved: now,
            is_saving: false,
            tasks,
            group_endpoints: Map::default(),
            ready: Vec::new(),
            is_writing: false,
            wrote: now,
        })
    }

    /// Returns why the job is to be run here no more.
    fn is_over(&self) -> Option<&'static str> {
        let job = self.job.borrow();
        if job.is_ended {
            return Some("ended");
        }
        if job.is_whole() {
            return Some("whole");
        }
        (job.holder != self.producer.vm).then_some("claimed by another VM")
    }

    /// Starts the items for which there is a place.
    fn fill(&mut self) {
        let now = Instant::now();
        if now >= self.terms.deadline {
            self.give_up_rest();
            return;
        }
        // A job that may have been ended starts nothing.
        let age = self.producer.contact.age(now);
        if age.is_none_or(|age| age > UNSURE_TIME) {
            return;
        }
        let mut index = 0;
        while let Some(work) = self.todo.get(index) {
            if work.not_before > now {
                index += 1;
                continue;
            }
            // All items need the same, so none has a place that this one has not.
            let Some(key) = self.place(index, now) else {
                return;
            };
            if let Some(work) = self.todo.remove(index) {
                self.begin(work, key);
            }
        }
    }

    fn give_up_rest(&mut self) {
        for work in std::mem::take(&mut self.todo) {
            let item = self.items[work.index].id.as_str();
            let (job, failures) = (self.terms.job.as_str(), work.failures);
            spdlog::warn!("item given up, its time is over", kv: { item, job, failures });
            let sample = self.given_up(&work);
            self.ready.push(sample);
        }
    }

    fn given_up(&self, work: &Work) -> Sample {
        Sample {
            id: self.items[work.index].id.clone(),
            outcome: Outcome::Abandoned,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        }
    }

    /// Returns the endpoint for the item at `index` of those that wait.
    fn place(&mut self, index: usize, now: Instant) -> Option<Key> {
        let item = &self.items[self.todo.get(index)?.index];
        let facts = self.producer.runner.facts.borrow();
        let model = self.head.model.as_deref();
        let need = Need {
            service: &self.service,
            domain: &self.producer.domain,
            model: model.map(|model| (model, self.terms.oldest)),
            prefer: item
                .group
                .as_ref()
                .and_then(|g| self.group_endpoints.get(g))
                .copied(),
            is_bounded: true,
            ..Need::default()
        };
        let key = place::choose(&facts, need, now)?;
        if let Some(group) = &item.group {
            self.group_endpoints.insert(group.clone(), key);
        }
        Some(key)
    }

    fn begin(&mut self, work: Work, key: Key) {
        let runner = self.producer.runner.clone();
        let Some(place) = Place::take(&runner.facts, key) else {
            self.todo.push_back(work);
            return;
        };
        let (items, terms) = (self.items.clone(), self.terms.clone());
        let max_attempts = self.max_attempts;
        let registry = self.producer.registry.clone();
        self.tasks.push(Box::pin(async move {
            let item = &items[work.index];
            let is_whole = work.text.borrow().is_whole();
            let run = match is_whole {
                true => Run::Whole,
                false => {
                    let is_settled = work.moves >= MOVES_MAX;
                    let is_new = work.text.borrow().last().is_none();
                    let start = Instant::now();
                    let run = runner.run(key, item, &terms, &work.text, is_settled).await;
                    if let (Run::Whole, true, Some(model)) = (&run, is_new, &terms.model) {
                        registry.note_work(model, item.expected_tokens(), start.elapsed());
                    }
                    run
                }
            };
            drop(place);
            let mut work = work;
            let ended = |outcome, text, versions, score| {
                let sample = Sample {
                    id: item.id.clone(),
                    outcome,
                    text,
                    versions,
                    score,
                };
                Step::Ended(work.index, sample)
            };
            let given_up = || ended(Outcome::Abandoned, String::new(), Vec::new(), None);
            match run {
                Run::Whole => {}
                Run::Never => return given_up(),
                Run::Failed => {
                    work.failures += 1;
                    if work.failures >= max_attempts {
                        return given_up();
                    }
                    return again(work);
                }
                Run::Moved => {
                    work.moves += 1;
                    return Step::Again(work);
                }
                Run::Broken(_) | Run::NotRun | Run::Unreached(_) => return again(work),
            }
            let score = match &item.scorer {
                Some(scorer) => runner.score(item, scorer, max_attempts, &terms).await,
                None => Score::None,
            };
            let text = work.text.borrow().clone();
            let (text, versions) = text.into_parts();
            match score {
                Score::Signed(signature) => ended(Outcome::Done, text, versions, Some(signature)),
                Score::None => ended(Outcome::Done, text, versions, None),
                Score::GivenUp => given_up(),
            }
        }));
    }

    /// Writes what the items under way have made if it is time to.
    fn save(&mut self) {
        if self.is_saving || self.saved.elapsed() < progress::PERIOD {
            return;
        }
        self.saved = Instant::now();
        let Some(progress) = progress::of(&self.job.borrow()) else {
            return;
        };
        self.is_saving = true;
        let content = self.producer.content.clone();
        let job = self.terms.job.clone();
        self.tasks.push(Box::pin(async move {
            Step::Saved(content.write_progress(&job, &progress).await)
        }));
    }

    /// Writes a page if it is time for one.
    fn write(&mut self) {
        if self.is_writing {
            return;
        }
        {
            let job = self.job.borrow();
            self.ready.retain(|sample| !job.listed.contains(&sample.id));
        }
        let is_last = self.todo.is_empty() && self.tasks.len() <= 1;
        let is_due = {
            let job = self.job.borrow();
            let waited = self.wrote.elapsed();
            self.groups.is_due(&self.ready, &job.listed, waited)
        };
        if self.ready.is_empty() || !(is_due || is_last) {
            return;
        }
        let samples = listing::page(&self.ready);
        let page = Page {
            vm: self.producer.vm.clone(),
            samples,
        };
        let number = self.job.borrow().pages;
        let content = self.producer.content.clone();
        let job = self.terms.job.clone();
        self.is_writing = true;
        self.tasks.push(Box::pin(async move {
            let written = content.write_page(&job, number, &page).await;
            Step::Page(written, number)
        }));
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Again(work) => self.todo.push_front(work),
            Step::Ended(index, sample) => {
                // Kept for a later job with the same item.
                let text = self.job.borrow_mut().open.remove(&index);
                if let Some(text) = text {
                    let text = text.borrow().clone();
                    self.producer.registry.put_text(&sample.id, text);
                }
                self.ready.push(sample);
            }
            Step::Saved(saved) => {
                self.is_saving = false;
                if let Err(e) = saved {
                    let (job, problem) = (self.job.borrow().id.clone(), e.to_string());
                    spdlog::warn!("progress not kept", kv: { job, problem });
                }
            }
            Step::Tick => self.tasks.push(tick()),
            Step::Page(written, number) => self.take_page(written, number),
        }
    }

    /// Takes the page that stands under `number`, whoever made it.
    fn take_page(&mut self, written: Result<Written, Error>, number: u32) {
        self.is_writing = false;
        self.wrote = Instant::now();
        let id = self.job.borrow().id.clone();
        let (job, page) = (id.as_str(), number);
        let standing = match written {
            Ok(Written::Done(object)) => Some(object),
            Ok(Written::Conflict(object)) => {
                spdlog::info!("page stands already", kv: { job, page });
                object
            }
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("page not written yet", kv: { job, page, problem });
                None
            }
        };
        if let Some(page) = standing.and_then(|object| object.read()) {
            self.job.borrow_mut().put_page(number, page);
        }
    }
}

fn again(mut work: Work) -> Step {
    work.not_before = Instant::now() + AGAIN_PAUSE;
    Step::Again(work)
}

fn tick() -> Task {
    Box::pin(async {
        monoio::time::sleep(PLACE_PERIOD).await;
        Step::Tick
    })
}
