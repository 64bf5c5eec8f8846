//! Execution of one job: runs its items at endpoints and writes their samples
//! in pages.

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
    batch::{Item, Outcome, Sample},
    items::Items,
    store::{Error, Written},
};
use policy::{
    item::{self, Life, Phase, Step},
    schedule::{Needs, Plan},
};

use super::{
    Handle, Registry,
    attempt::{Attempt, Context, Runner, Score},
    content::Content,
    paging::{self, Groups, Ready},
    progress,
    record::{Head, Page},
    schedule::{self, Entry, Schedule, Turn},
    text::{Source, Text},
};
use crate::{
    coordinator::Coordinators,
    facts::Key,
    follow::View,
    forward::Slot,
    placement::{self, Choice, Connections, Criteria},
    prompt,
};

/// How often endpoints are checked for free slots while all are occupied.
const CAPACITY_POLL_PERIOD: Duration = Duration::from_millis(50);
/// The pause before a failed read of a job's items is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How old this VM's view of the jobs may be for items to be started. No item
/// may be started later than 3 s after the end of its job.
const JOB_STATE_AGE_MAX: Duration = Duration::from_millis(2000);
/// A time that is added to the deadline of items, since the submission time of
/// a job comes from the clock of another VM, which may be wrong by seconds.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(4);
/// How long after the submission of a job its items are abandoned if the route
/// sets no limit.
const ITEM_WAIT_DEFAULT: Duration = Duration::from_secs(60);
/// The maximum number of items of a job that are decoded and wait for a slot. A job has
/// dozens of items, and a service some thousand slots.
const QUEUE_ITEMS_MAX: usize = 4096;
/// The maximum size of the texts of these items. A decoded item may take ten times the
/// size of its text.
const QUEUE_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Runs jobs.
#[derive(Clone)]
pub struct Executor {
    /// Runs single items.
    pub runner: Runner,
    /// The jobs known to this VM.
    pub registry: Registry,
    /// Determines which of the running jobs gets the next slot.
    pub schedule: Schedule,
    /// Reads and writes the content of jobs.
    pub content: Content,
    /// How recent this VM's view of the jobs in the store is.
    pub view: View,
    /// The VMs that run jobs.
    pub coordinators: Coordinators,
    /// The name of this VM.
    pub vm: String,
    /// The failure domain of this VM.
    pub failure_domain: String,
}

/// An item that waits to be run.
struct Pending {
    index: usize,
    item: Rc<Item>,
    text: Rc<RefCell<Text>>,
    life: Life,
}

impl Pending {
    /// Returns whether only some endpoints can continue the text.
    fn is_bound(&self) -> bool {
        self.text.borrow().source(false).is_some()
    }
}

/// The result of a task of an execution.
enum Completion {
    Retry(Pending),
    Finished(usize, Sample),
    ProgressWritten(Result<(), Error>),
    FenceWritten,
    PageWritten(Result<Written, Error>, u32),
    Tick,
}

type Task = Pin<Box<dyn Future<Output = Completion>>>;

/// A job that is being run.
struct Execution {
    executor: Executor,
    job: Handle,
    head: Rc<Head>,
    items: Rc<Items>,
    context: Context,
    service: String,
    max_attempts: u32,
    /// The positions of the items that are not in `queue` yet, in reverse order.
    backlog: Vec<u32>,
    queue: VecDeque<Pending>,
    tasks: FuturesUnordered<Task>,
    /// The job in the schedule of all running jobs.
    entry: Entry,
    /// The endpoint that was last chosen for an item of each group. The items
    /// of a group share a prompt, so they preferably run at the same endpoint.
    group_endpoints: Map<String, Key>,
    groups: Groups,
    /// Samples that are in no page yet.
    ready: Vec<Ready>,
    /// When the last page was written, or the execution started.
    page_written_at: Instant,
    is_writing_page: bool,
    /// Whether former runners of the job can add no page anymore.
    is_fenced: bool,
    progress_written_at: Instant,
    is_writing_progress: bool,
}

impl Executor {
    /// Starts a task that runs `job`, unless this process runs it already.
    pub fn start(&self, job: &Handle) {
        if std::mem::replace(&mut job.borrow_mut().is_running, true) {
            return;
        }
        let (executor, job) = (self.clone(), job.clone());
        // Only coordinators see that a job is claimed by another VM or ended.
        let tenure = self.coordinators.hold("this VM runs a job");
        monoio::spawn(async move {
            let id = job.borrow().id.clone();
            let id = id.as_str();
            spdlog::info!("started running job", kv: { job = id });
            let reason = executor.run(&job).await;
            {
                let mut job = job.borrow_mut();
                job.is_running = false;
                job.is_loaded = false;
                job.is_sole_writer = false;
                job.partial_texts.clear();
            }
            let samples = job.borrow().samples.len();
            spdlog::info!("stopped running job", kv: { job = id, reason, samples });
            drop(tenure);
        });
    }

    /// Saves the progress of `job`, which this process is about to release.
    pub async fn save_progress(&self, job: &Handle) {
        let Some(progress) = progress::collect(&job.borrow()) else {
            return;
        };
        let (job, items) = (job.borrow().id.clone(), progress.texts.len());
        let result = self.content.write_progress(&job, &progress).await;
        let is_stored = result.is_ok();
        spdlog::info!("tried to save progress before releasing the job", kv: { job, items, is_kept = is_stored });
    }

    /// Returns the items of `job`. Reads them and the pages from the store
    /// unless the job was accepted here, and retries as long as this VM is the
    /// holder and the job was not ended.
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
            spdlog::warn!("cannot read items of job, retrying", kv: { job = id, problem });
            let should_stop = job.borrow().is_ended || job.borrow().holder != self.vm;
            if should_stop {
                return None;
            }
            monoio::time::sleep(READ_RETRY_DELAY).await;
        }
    }

    async fn run(&self, job: &Handle) -> &'static str {
        let Some(items) = self.read_items(job).await else {
            return "ended or taken over before its items were read";
        };
        let Some(mut execution) = Execution::new(self.clone(), job.clone(), items) else {
            return "no route or service for the job";
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
            let turn = execution.entry.turn().clone();
            let seen_turns = turn.count();
            let next = execution.tasks.next();
            let completion = monoio::select! {
                completion = next => completion,
                () = changes.wait(seen_changes) => None,
                () = turn.wait(seen_turns) => None,
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
        let is_published = |index: &u32| {
            let id = items.id(*index as usize);
            job.borrow().published.contains(id)
        };
        let mut backlog: Vec<u32> = (0..items.len() as u32)
            .rev()
            .filter(|index| !is_published(index))
            .collect();
        // Long items run first, since the last item to finish determines the
        // duration of the step.
        backlog.sort_by_key(|index| items.expected_tokens(*index as usize));
        job.borrow_mut().partial_texts.clear();
        let entry = {
            let job = job.borrow();
            let rank = config.rank(route, head.account.as_deref());
            let plan = Plan {
                rank,
                submitted: executor.schedule.time(job.submitted_at),
                due: route
                    .run_target_ms
                    .map(|target| executor.schedule.time(job.submitted_at) + target),
                groups_wanted: head.groups_wanted,
            };
            let is_published = |id: &str| job.published.contains(id);
            let model = head.model.as_deref();
            let scheduled =
                schedule::scheduled_items(&items, model, &executor.registry, is_published);
            executor.schedule.add(service, plan, &scheduled)
        };
        let tasks: FuturesUnordered<Task> = FuturesUnordered::new();
        tasks.push(tick());
        let is_fenced = job.borrow().is_sole_writer;
        if !is_fenced {
            tasks.push(write_fence(&executor, &job));
        }
        Some(Self {
            executor,
            service: service.to_string(),
            groups: Groups::new(items.clone()),
            max_attempts: route.max_attempts,
            head,
            items,
            job,
            context,
            backlog,
            queue: VecDeque::new(),
            progress_written_at: now,
            is_writing_progress: false,
            tasks,
            entry,
            group_endpoints: Map::default(),
            ready: Vec::new(),
            is_writing_page: false,
            is_fenced,
            page_written_at: now,
        })
    }

    /// Returns why this VM must stop running the job; `None` if it continues.
    fn stop_reason(&self) -> Option<&'static str> {
        let job = self.job.borrow();
        if job.is_ended {
            return Some("ended");
        }
        if job.is_complete() {
            return Some("whole");
        }
        if job.holder != self.executor.vm {
            return Some("claimed by another VM");
        }
        // The claim of that VM may not be known yet.
        (self.is_fenced && !job.is_sole_writer).then_some("another VM wrote a page")
    }

    /// Starts items as long as endpoints have free slots and no item of another
    /// job comes first.
    fn start_items(&mut self) {
        let now = Instant::now();
        self.fill_queue(now);
        if now >= self.context.deadline {
            self.abandon_queue();
            return;
        }
        // With an old view of the store, the job may have been ended already.
        let Some(view_age) = self.executor.view.age() else {
            return;
        };
        if view_age > JOB_STATE_AGE_MAX || self.queue.is_empty() {
            return;
        }
        loop {
            let usable = {
                let facts = self.executor.runner.facts.borrow();
                placement::free_slots(&facts, self.criteria(None), now)
            };
            match self.entry.next(usable, now, view_age) {
                Turn::All => {
                    // Only after a start, or two jobs whose items find no endpoint
                    // would wake each other without end.
                    let is_any_started = self.start_all(now);
                    if is_any_started {
                        self.entry.wake_others();
                    }
                    // There may be slots for more items than were in the queue.
                    if !(is_any_started && self.fill_queue(now)) {
                        return;
                    }
                }
                Turn::Item(item) => self.start_scheduled(item, now),
                Turn::Nothing => return,
            }
        }
    }

    /// Moves items from the backlog to the queue, so that the schedule has enough of
    /// them to choose from, and returns whether there were any. Most jobs are in the queue
    /// as a whole.
    fn fill_queue(&mut self, now: Instant) -> bool {
        // Samples that wait for their page are in memory too.
        if self.backlog.is_empty()
            || self.queue.len() > QUEUE_ITEMS_MAX / 2
            || self.ready.len() >= QUEUE_ITEMS_MAX
        {
            return false;
        }
        let queued = self.queue.len();
        let text_bytes = |pending: &Pending| self.items.text_bytes(pending.index);
        let mut bytes: usize = self.queue.iter().map(text_bytes).sum();
        while self.queue.len() < QUEUE_ITEMS_MAX
            && (bytes < QUEUE_BYTES_MAX || self.queue.is_empty())
            && let Some(index) = self.backlog.pop()
        {
            let index = index as usize;
            bytes += self.items.text_bytes(index);
            let item = match self.items.decode(index) {
                Ok(item) if !item.has_too_many_headers() => Rc::new(item),
                other => {
                    let problem = other.map_or_else(
                        |e| e.to_string(),
                        |_| "the item has too many headers to be sent".to_string(),
                    );
                    let job = self.context.job.as_str();
                    spdlog::warn!("item abandoned, no endpoint can run it", kv: { job, index, problem });
                    self.abandon(index);
                    continue;
                }
            };
            let text = Rc::new(RefCell::new(self.resumable_text(&item.id)));
            let mut job = self.job.borrow_mut();
            job.partial_texts.insert(index, text.clone());
            let life = Life::new(self.executor.schedule.time(now));
            let pending = Pending {
                index,
                item,
                text,
                life,
            };
            announce(&self.entry, &self.context, &pending);
            self.queue.push_back(pending);
        }
        self.queue.len() > queued
    }

    /// Returns the text of the item `id` from an earlier run, if this job may use it.
    fn resumable_text(&self, id: &str) -> Text {
        let context = &self.context;
        let is_usable =
            |text: &Text| text.is_usable(context.oldest_version, context.is_single_version);
        let text = self.executor.registry.text(id).filter(is_usable);
        text.unwrap_or_default()
    }

    /// Starts the waiting items in the order of the queue, and returns whether any
    /// was started.
    fn start_all(&mut self, now: Instant) -> bool {
        let (mut index, mut is_any_started) = (0, false);
        let time = self.executor.schedule.time(now);
        while let Some(pending) = self.queue.get(index) {
            if !pending.life.is_due(time) {
                index += 1;
                continue;
            }
            let is_bound = pending.is_bound();
            match self.choose_endpoint(index, now) {
                Some(choice) => {
                    if let Some(pending) = self.queue.remove(index) {
                        is_any_started |= self.start_item(pending, choice, now);
                    }
                }
                None if is_bound => {
                    // An item whose text was dropped may run anywhere.
                    if !self.drop_text_without_endpoint(index, now) {
                        // Less urgent jobs do not wait for it.
                        self.block(index, now);
                        index += 1;
                    }
                }
                // Any endpoint would do, so the other items find none either.
                None => {
                    self.block(index, now);
                    break;
                }
            }
        }
        is_any_started
    }

    /// Starts the item `item` of the job. If no endpoint can take it, items with
    /// other requirements come first.
    fn start_scheduled(&mut self, item: usize, now: Instant) {
        let Some(mut index) = self.queue.iter().position(|pending| pending.index == item) else {
            self.entry.finish(item);
            return;
        };
        if let Some(key) = self.choose_endpoint(index, now)
            && let Some(pending) = self.queue.remove(index)
        {
            if self.start_item(pending, key, now) {
                return;
            }
            // It is at the end of the queue again.
            index = self.queue.len() - 1;
        }
        let is_bound = self.queue[index].is_bound();
        if !(is_bound && self.drop_text_without_endpoint(index, now)) {
            self.block(index, now);
        }
    }

    /// Records that no endpoint can take the item at `index` of the queue.
    fn block(&self, index: usize, now: Instant) {
        if let Some(pending) = self.queue.get(index) {
            self.entry.block(needs(&self.context, pending), now);
        }
    }

    /// Drops the text of the item at `index` of the queue if no endpoint can
    /// continue it soon, and returns whether it was dropped.
    fn drop_text_without_endpoint(&mut self, index: usize, now: Instant) -> bool {
        let Some(pending) = self.queue.get(index) else {
            return false;
        };
        let can_continue = {
            let text = pending.text.borrow();
            let criteria = self.criteria(text.source(self.context.is_single_version));
            let facts = self.executor.runner.facts.borrow();
            // While all endpoints are evacuated, another one could not begin it either.
            placement::has_suitable(&facts, criteria) || facts.is_service_evacuated(&self.service)
        };
        let time = self.executor.schedule.time(now);
        if !self.queue[index].life.drops_text(time, can_continue) {
            return false;
        }
        let pending = &self.queue[index];
        drop_text(&self.context, &pending.item.id, &pending.text);
        announce(&self.entry, &self.context, pending);
        true
    }

    /// Returns the requirements for an endpoint that continues what `source` began, or
    /// begins a text.
    fn criteria<'a>(&'a self, source: Option<Source<'a>>) -> Criteria<'a> {
        let model = self.head.model.as_deref();
        Criteria {
            service: &self.service,
            software: source.map(|source| source.software),
            version: source.and_then(|source| source.version),
            domain: &self.executor.failure_domain,
            model: model.map(|model| (model, self.context.oldest_version)),
            may_wait: true,
            ..Criteria::default()
        }
    }

    fn abandon_queue(&mut self) {
        for pending in std::mem::take(&mut self.queue) {
            let item = pending.item.id.as_str();
            let (job, failures) = (self.context.job.as_str(), pending.life.failures());
            spdlog::warn!("item abandoned at its deadline", kv: { item, job, failures });
            self.abandon(pending.index);
        }
    }

    /// Gives up the item at the position `item` of the job.
    fn abandon(&mut self, item: usize) {
        let sample = Sample {
            id: self.items.id(item).to_string(),
            outcome: Outcome::Abandoned,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        };
        self.entry.finish(item);
        self.ready.push(Ready { item, sample });
    }

    /// Returns an endpoint for the item at `index` of the queue.
    fn choose_endpoint(&mut self, index: usize, now: Instant) -> Option<Choice> {
        let pending = self.queue.get(index)?;
        let item = &pending.item;
        let needs = prompt::Needs::of_item(item, self.head.model.as_deref());
        let paths = &self.executor.runner.paths;
        let has_idle = |address| paths.has_idle(address);
        let mut facts = self.executor.runner.facts.borrow_mut();
        let text = pending.text.borrow();
        let criteria = Criteria {
            work: needs.work_of_item(&facts, item, &text),
            connections: Connections(Some(&has_idle)),
            vm: &self.executor.vm,
            request: &item.id,
            preferred: item
                .group
                .as_ref()
                .and_then(|g| self.group_endpoints.get(g))
                .copied(),
            ..self.criteria(text.source(self.context.is_single_version))
        };
        let choice = placement::decide(&facts, criteria, now)?;
        needs.record(&mut facts, choice.key);
        if let Some(group) = &item.group {
            self.group_endpoints.insert(group.clone(), choice.key);
        }
        Some(choice)
    }

    /// Starts an item at the endpoint of `choice`, and returns whether the endpoint
    /// exists.
    fn start_item(&mut self, mut pending: Pending, choice: Choice, now: Instant) -> bool {
        let runner = self.executor.runner.clone();
        let Some(slot) = Slot::acquire(&runner.facts, choice.key) else {
            self.queue.push_back(pending);
            return false;
        };
        pending.life.start();
        let slot = self.entry.start(pending.index, slot, now);
        let context = self.context.clone();
        let max_attempts = self.max_attempts;
        let (registry, schedule) = (
            self.executor.registry.clone(),
            self.executor.schedule.clone(),
        );
        self.tasks.push(Box::pin(async move {
            let item = pending.item.clone();
            let last_event = pending.text.borrow().last_event();
            let is_complete = pending.text.borrow().is_complete();
            let attempt = match is_complete {
                true => Attempt::Complete,
                false => {
                    let is_pinned = pending.life.is_pinned();
                    let start = Instant::now();
                    let attempt = runner
                        .run(choice, &item, &context, &pending.text, is_pinned)
                        .await;
                    if let (Attempt::Complete, None, Some(model)) =
                        (&attempt, last_event, &context.model)
                    {
                        registry.record_work(model, item.expected_tokens(), start.elapsed());
                    }
                    attempt
                }
            };
            drop(slot);
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
            let abandoned = || ended(Outcome::Abandoned, String::new(), Vec::new(), None);
            let left = text_left(last_event, pending.text.borrow().last_event());
            let time = schedule.time(Instant::now());
            match pending.life.end(time, attempt.run(), left, max_attempts) {
                Step::Score => {}
                Step::Abandon => return abandoned(),
                Step::Wait => return Completion::Retry(pending),
                Step::BeginAgain => {
                    drop_text(&context, &item.id, &pending.text);
                    return Completion::Retry(pending);
                }
            }
            let score = match &item.scorer {
                Some(scorer) => runner.score(&item, scorer, max_attempts, &context).await,
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
        true
    }

    /// Saves the texts of unfinished items if this is due.
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

    /// Writes a page of samples if one is due.
    fn write_page(&mut self) {
        if self.is_writing_page || !self.is_fenced {
            return;
        }
        {
            let job = self.job.borrow();
            self.ready
                .retain(|ready| !job.published.contains(&ready.sample.id));
        }
        let is_last = self.backlog.is_empty() && self.queue.is_empty() && self.tasks.len() <= 1;
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
            Completion::Retry(pending) => {
                announce(&self.entry, &self.context, &pending);
                self.queue.push_front(pending);
            }
            Completion::Finished(index, sample) => {
                self.entry.finish(index);
                // A later job with the same item reuses the text.
                let text = self.job.borrow_mut().partial_texts.remove(&index);
                if let Some(text) = text {
                    let text = text.borrow().clone();
                    self.executor.registry.put_text(&sample.id, text);
                }
                self.ready.push(Ready {
                    item: index,
                    sample,
                });
            }
            Completion::ProgressWritten(result) => {
                self.is_writing_progress = false;
                if let Err(e) = result {
                    let (job, problem) = (self.job.borrow().id.clone(), e.to_string());
                    spdlog::warn!("cannot save progress of job", kv: { job, problem });
                }
            }
            Completion::FenceWritten => self.is_fenced = true,
            Completion::Tick => self.tasks.push(tick()),
            Completion::PageWritten(result, number) => self.handle_page(result, number),
        }
    }

    /// Adds the page that the store has under `number`, even if another VM
    /// wrote it.
    fn handle_page(&mut self, result: Result<Written, Error>, number: u32) {
        self.is_writing_page = false;
        self.page_written_at = Instant::now();
        let id = self.job.borrow().id.clone();
        let (job, page) = (id.as_str(), number);
        let existing = match result {
            Ok(Written::Done(object)) => Some(object),
            Ok(Written::Conflict(object)) => {
                spdlog::info!("page exists already", kv: { job, page });
                object
            }
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("cannot write page, retrying", kv: { job, page, problem });
                None
            }
        };
        if let Some(page) = existing.and_then(|object| object.read()) {
            self.job.borrow_mut().put_page(number, page);
        }
    }
}

fn needs(context: &Context, pending: &Pending) -> Needs {
    let text = pending.text.borrow();
    let model = context.model.as_deref();
    let source = text.source(context.is_single_version);
    schedule::needs(model, context.oldest_version, source)
}

/// Tells the schedule that `pending` waits, if it does.
fn announce(entry: &Entry, context: &Context, pending: &Pending) {
    if let Phase::Waiting(not_before) = pending.life.phase() {
        entry.wait(pending.index, not_before, needs(context, pending));
    }
}

/// Returns what a run left of a text whose last event was `before` and is `after`.
fn text_left(before: Option<u64>, after: Option<u64>) -> item::Text {
    match after {
        None => item::Text::Empty,
        _ if after > before => item::Text::Grown,
        _ => item::Text::Unchanged,
    }
}

/// Drops the text of an item that no endpoint can continue.
fn drop_text(context: &Context, item: &str, text: &RefCell<Text>) {
    let dropped = text.take();
    let source = dropped.source(context.is_single_version);
    let software = source.map_or("", |source| source.software);
    let version = source.and_then(|source| source.version).unwrap_or_default();
    let last = dropped.last_event().unwrap_or_default();
    let job = context.job.as_str();
    spdlog::warn!("item begins again, no endpoint can continue its text", kv: { item, job, software, version, last });
}

fn write_fence(executor: &Executor, job: &Handle) -> Task {
    let (content, vm) = (executor.content.clone(), executor.vm.clone());
    let job = job.clone();
    Box::pin(async move {
        content.write_fence(&job, &vm).await;
        Completion::FenceWritten
    })
}

fn tick() -> Task {
    Box::pin(async {
        monoio::time::sleep(CAPACITY_POLL_PERIOD).await;
        Completion::Tick
    })
}
