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
    Handle, Registry,
    attempt::{Attempt, Context, Runner, Score},
    content::Content,
    paging::{self, Groups},
    progress,
    record::{Head, Items, Page},
    text::Text,
};
use crate::{
    facts::Key,
    follow::View,
    forward::Slot,
    placement::{self, Criteria},
};

/// How often places are looked for while none is free.
const CAPACITY_POLL_PERIOD: Duration = Duration::from_millis(50);
/// How many times an item is moved to a faster endpoint: each move costs a
/// connection and what it has made is read again.
const MOVES_MAX: u32 = 2;
/// The pause before the items of a job are asked for again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The pause before an item that broke off or was turned away is run again.
const ITEM_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How old what is known of a job may be when its items are started: they must
/// not run 3 s after its end.
const JOB_STATE_AGE_MAX: Duration = Duration::from_millis(2000);
/// How much later than they may be items are given up: when a job was submitted
/// is told by the clock of another VM, which may have jumped by seconds.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(4);
/// The time of an item whose route sets none.
const ITEM_WAIT_DEFAULT: Duration = Duration::from_secs(60);

/// What jobs are run with.
#[derive(Clone)]
pub struct Executor {
    /// What runs items.
    pub runner: Runner,
    /// The jobs that this VM knows.
    pub registry: Registry,
    /// Where pages go.
    pub content: Content,
    /// How old what is known of the jobs is.
    pub view: View,
    /// The name of this VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
}

/// An item that is still to be run.
struct Pending {
    index: usize,
    text: Rc<RefCell<Text>>,
    failures: u32,
    /// How many times it was moved to a faster endpoint.
    moves: u32,
    not_before: Instant,
}

/// What a task of a job ended with.
enum Completion {
    Retry(Pending),
    Finished(usize, Sample),
    ProgressWritten(Result<(), Error>),
    PageWritten(Result<Written, Error>, u32),
    Tick,
}

type Task = Pin<Box<dyn Future<Output = Completion>>>;

/// A job while it is run.
struct Execution {
    executor: Executor,
    job: Handle,
    head: Rc<Head>,
    items: Rc<Items>,
    context: Context,
    service: String,
    max_attempts: u32,
    queue: VecDeque<Pending>,
    tasks: FuturesUnordered<Task>,
    /// Where the items of a group run, which share a prompt.
    group_endpoints: Map<String, Key>,
    groups: Groups,
    ready: Vec<Sample>,
    /// When the last page was written, and whether one is being written.
    page_written_at: Instant,
    is_writing_page: bool,
    /// The same for what open items have made.
    progress_written_at: Instant,
    is_writing_progress: bool,
}

impl Executor {
    /// Starts running `job`, unless this process does so already.
    pub fn start(&self, job: &Handle) {
        if std::mem::replace(&mut job.borrow_mut().is_running, true) {
            return;
        }
        let (executor, job) = (self.clone(), job.clone());
        monoio::spawn(async move {
            let id = job.borrow().id.clone();
            let id = id.as_str();
            spdlog::info!("job run", kv: { job = id });
            let reason = executor.run(&job).await;
            {
                let mut job = job.borrow_mut();
                job.is_running = false;
                job.is_loaded = false;
                job.partial_texts.clear();
            }
            let samples = job.borrow().samples.len();
            spdlog::info!("job left", kv: { job = id, reason, samples });
        });
    }

    /// Writes what the items of `job` have made, which this process is about to
    /// give up.
    pub async fn save_progress(&self, job: &Handle) {
        let Some(progress) = progress::collect(&job.borrow()) else {
            return;
        };
        let (job, items) = (job.borrow().id.clone(), progress.texts.len());
        let result = self.content.write_progress(&job, &progress).await;
        let is_kept = result.is_ok();
        spdlog::info!("progress kept", kv: { job, items, is_kept });
    }

    /// Reads what `job` consists of, unless it was accepted here, for as long
    /// as this VM is to run it.
    async fn read_items(&self, job: &Handle) -> Option<Rc<Items>> {
        loop {
            let known = job.borrow().items.clone();
            if let Some(items) = known.filter(|_| job.borrow().is_loaded) {
                return Some(items);
            }
            let problem = match self.content.read(job).await {
                Ok(items) => {
                    job.borrow_mut().is_loaded = true;
                    return Some(items);
                }
                Err(e) => e.to_string(),
            };
            let id = job.borrow().id.clone();
            spdlog::warn!("items not read yet", kv: { job = id, problem });
            let should_stop = job.borrow().is_ended || job.borrow().holder != self.vm;
            if should_stop {
                return None;
            }
            monoio::time::sleep(READ_RETRY_DELAY).await;
        }
    }

    async fn run(&self, job: &Handle) -> &'static str {
        let Some(items) = self.read_items(job).await else {
            return "over before its items were read";
        };
        let Some(mut execution) = Execution::new(self.clone(), job.clone(), items) else {
            return "no route";
        };
        loop {
            if let Some(reason) = execution.stop_reason() {
                return reason;
            }
            execution.start_items();
            execution.write_page();
            execution.write_progress();
            let changes = job.borrow().changes.clone();
            let seen_changes = changes.count();
            let next = execution.tasks.next();
            let completion = monoio::select! {
                completion = next => completion,
                () = changes.wait(seen_changes) => None,
            };
            if let Some(completion) = completion {
                execution.handle(completion);
            }
        }
    }
}

impl Execution {
    fn new(executor: Executor, job: Handle, items: Rc<Items>) -> Option<Self> {
        let head = job.borrow().head.clone();
        let config = executor.runner.facts.borrow().config.clone()?;
        let route = config.route(&head.host, &head.path)?;
        let (service, _) = route.shares().next()?;
        let now = Instant::now();
        let wait = route.max_wait_s.unwrap_or(ITEM_WAIT_DEFAULT);
        let context = Context {
            job: job.borrow().id.clone(),
            host: head.host.clone(),
            account: head.account.clone(),
            model: head.model.clone(),
            oldest_version: head.oldest_version.unwrap_or_default(),
            is_single_version: route.single_version,
            deadline: job.borrow().submitted_at + wait + CLOCK_SKEW_MAX,
        };
        let resumable_text = |id: &str| {
            let text = executor.registry.text(id);
            let is_usable =
                |text: &Text| text.is_usable(context.oldest_version, context.is_single_version);
            text.filter(is_usable).unwrap_or_default()
        };
        let queue = (0..items.len()).filter_map(|index| {
            let id = &items[index].id;
            let is_published = job.borrow().published.contains(id);
            (!is_published).then(|| Pending {
                index,
                text: Rc::new(RefCell::new(resumable_text(id))),
                failures: 0,
                moves: 0,
                not_before: now,
            })
        });
        let mut queue: Vec<Pending> = queue.collect();
        // Long items first: the last of them decides when a step ends.
        queue.sort_by_key(|pending| std::cmp::Reverse(items[pending.index].expected_tokens()));
        let texts = queue
            .iter()
            .map(|pending| (pending.index, pending.text.clone()));
        job.borrow_mut().partial_texts = texts.collect();
        let tasks: FuturesUnordered<Task> = FuturesUnordered::new();
        tasks.push(tick());
        Some(Self {
            executor,
            service: service.to_string(),
            groups: Groups::new(&items),
            max_attempts: route.max_attempts,
            head,
            items,
            job,
            context,
            queue: queue.into(),
            progress_written_at: now,
            is_writing_progress: false,
            tasks,
            group_endpoints: Map::default(),
            ready: Vec::new(),
            is_writing_page: false,
            page_written_at: now,
        })
    }

    /// Returns why the job is to be run here no more.
    fn stop_reason(&self) -> Option<&'static str> {
        let job = self.job.borrow();
        if job.is_ended {
            return Some("ended");
        }
        if job.is_complete() {
            return Some("whole");
        }
        (job.holder != self.executor.vm).then_some("claimed by another VM")
    }

    /// Starts the items for which there is a place.
    fn start_items(&mut self) {
        let now = Instant::now();
        if now >= self.context.deadline {
            self.abandon_queue();
            return;
        }
        // A job that may have been ended starts nothing.
        let age = self.executor.view.age(now);
        if age.is_none_or(|age| age > JOB_STATE_AGE_MAX) {
            return;
        }
        let mut index = 0;
        while let Some(pending) = self.queue.get(index) {
            if pending.not_before > now {
                index += 1;
                continue;
            }
            // All items need the same, so none has a place that this one has not.
            let Some(key) = self.choose_endpoint(index, now) else {
                return;
            };
            if let Some(pending) = self.queue.remove(index) {
                self.start_item(pending, key);
            }
        }
    }

    fn abandon_queue(&mut self) {
        for pending in std::mem::take(&mut self.queue) {
            let item = self.items[pending.index].id.as_str();
            let (job, failures) = (self.context.job.as_str(), pending.failures);
            spdlog::warn!("item given up, its time is over", kv: { item, job, failures });
            let sample = self.abandoned_sample(&pending);
            self.ready.push(sample);
        }
    }

    fn abandoned_sample(&self, pending: &Pending) -> Sample {
        Sample {
            id: self.items[pending.index].id.clone(),
            outcome: Outcome::GivenUp,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        }
    }

    /// Returns the endpoint for the item at `index` of those that wait.
    fn choose_endpoint(&mut self, index: usize, now: Instant) -> Option<Key> {
        let item = &self.items[self.queue.get(index)?.index];
        let facts = self.executor.runner.facts.borrow();
        let model = self.head.model.as_deref();
        let need = Criteria {
            service: &self.service,
            domain: &self.executor.domain,
            model: model.map(|model| (model, self.context.oldest_version)),
            preferred: item
                .group
                .as_ref()
                .and_then(|g| self.group_endpoints.get(g))
                .copied(),
            may_wait: true,
            ..Criteria::default()
        };
        let key = placement::choose(&facts, need, now)?;
        if let Some(group) = &item.group {
            self.group_endpoints.insert(group.clone(), key);
        }
        Some(key)
    }

    fn start_item(&mut self, pending: Pending, key: Key) {
        let runner = self.executor.runner.clone();
        let Some(slot) = Slot::acquire(&runner.facts, key) else {
            self.queue.push_back(pending);
            return;
        };
        let (items, context) = (self.items.clone(), self.context.clone());
        let max_attempts = self.max_attempts;
        let registry = self.executor.registry.clone();
        self.tasks.push(Box::pin(async move {
            let item = &items[pending.index];
            let is_complete = pending.text.borrow().is_complete();
            let attempt = match is_complete {
                true => Attempt::Complete,
                false => {
                    let is_pinned = pending.moves >= MOVES_MAX;
                    let is_new = pending.text.borrow().last_event().is_none();
                    let start = Instant::now();
                    let attempt = runner
                        .run(key, item, &context, &pending.text, is_pinned)
                        .await;
                    if let (Attempt::Complete, true, Some(model)) =
                        (&attempt, is_new, &context.model)
                    {
                        registry.record_work(model, item.expected_tokens(), start.elapsed());
                    }
                    attempt
                }
            };
            drop(slot);
            let mut pending = pending;
            let ended = |outcome, text, versions, score| {
                let sample = Sample {
                    id: item.id.clone(),
                    outcome,
                    text,
                    versions,
                    score,
                };
                Completion::Finished(pending.index, sample)
            };
            let abandoned = || ended(Outcome::GivenUp, String::new(), Vec::new(), None);
            match attempt {
                Attempt::Complete => {}
                Attempt::Unprocessable => return abandoned(),
                Attempt::Failed => {
                    pending.failures += 1;
                    if pending.failures >= max_attempts {
                        return abandoned();
                    }
                    return retry(pending);
                }
                Attempt::Moved => {
                    pending.moves += 1;
                    return Completion::Retry(pending);
                }
                Attempt::Interrupted(_) | Attempt::Rejected | Attempt::Unreachable(_) => {
                    return retry(pending);
                }
            }
            let score = match &item.scorer {
                Some(scorer) => runner.score(item, scorer, max_attempts, &context).await,
                None => Score::None,
            };
            let text = pending.text.borrow().clone();
            let (text, versions) = text.into_parts();
            match score {
                Score::Signed(signature) => ended(Outcome::Done, text, versions, Some(signature)),
                Score::None => ended(Outcome::Done, text, versions, None),
                Score::Abandoned => abandoned(),
            }
        }));
    }

    /// Writes what the items under way have made if it is time to.
    fn write_progress(&mut self) {
        if self.is_writing_progress || self.progress_written_at.elapsed() < progress::WRITE_PERIOD {
            return;
        }
        self.progress_written_at = Instant::now();
        let Some(progress) = progress::collect(&self.job.borrow()) else {
            return;
        };
        self.is_writing_progress = true;
        let content = self.executor.content.clone();
        let job = self.context.job.clone();
        self.tasks.push(Box::pin(async move {
            Completion::ProgressWritten(content.write_progress(&job, &progress).await)
        }));
    }

    /// Writes a page if it is time for one.
    fn write_page(&mut self) {
        if self.is_writing_page {
            return;
        }
        {
            let job = self.job.borrow();
            self.ready
                .retain(|sample| !job.published.contains(&sample.id));
        }
        let is_last = self.queue.is_empty() && self.tasks.len() <= 1;
        let is_due = {
            let job = self.job.borrow();
            let since_last_page = self.page_written_at.elapsed();
            self.groups
                .is_due(&self.ready, &job.published, since_last_page)
        };
        if self.ready.is_empty() || !(is_due || is_last) {
            return;
        }
        let samples = paging::next_page(&self.ready);
        let page = Page {
            vm: self.executor.vm.clone(),
            samples,
        };
        let number = self.job.borrow().pages;
        let content = self.executor.content.clone();
        let job = self.context.job.clone();
        self.is_writing_page = true;
        self.tasks.push(Box::pin(async move {
            let result = content.write_page(&job, number, &page).await;
            Completion::PageWritten(result, number)
        }));
    }

    fn handle(&mut self, completion: Completion) {
        match completion {
            Completion::Retry(pending) => self.queue.push_front(pending),
            Completion::Finished(index, sample) => {
                // Kept for a later job with the same item.
                let text = self.job.borrow_mut().partial_texts.remove(&index);
                if let Some(text) = text {
                    let text = text.borrow().clone();
                    self.executor.registry.put_text(&sample.id, text);
                }
                self.ready.push(sample);
            }
            Completion::ProgressWritten(result) => {
                self.is_writing_progress = false;
                if let Err(e) = result {
                    let (job, problem) = (self.job.borrow().id.clone(), e.to_string());
                    spdlog::warn!("progress not kept", kv: { job, problem });
                }
            }
            Completion::Tick => self.tasks.push(tick()),
            Completion::PageWritten(result, number) => self.handle_page(result, number),
        }
    }

    /// Takes the page that stands under `number`, whoever made it.
    fn handle_page(&mut self, result: Result<Written, Error>, number: u32) {
        self.is_writing_page = false;
        self.page_written_at = Instant::now();
        let id = self.job.borrow().id.clone();
        let (job, page) = (id.as_str(), number);
        let existing = match result {
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
        if let Some(page) = existing.and_then(|object| object.read()) {
            self.job.borrow_mut().put_page(number, page);
        }
    }
}

fn retry(mut pending: Pending) -> Completion {
    pending.not_before = Instant::now() + ITEM_RETRY_DELAY;
    Completion::Retry(pending)
}

fn tick() -> Task {
    Box::pin(async {
        monoio::time::sleep(CAPACITY_POLL_PERIOD).await;
        Completion::Tick
    })
}
