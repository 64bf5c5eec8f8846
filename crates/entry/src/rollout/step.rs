//! Steps that trainers have declared.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use board::{config::Trainer, lot::Step, retention::STEP_KIND};
use link::platform::{Change, Error};
use policy::claim::{self, Monitor};

use super::OpenStep;
use crate::vm::Vm;

/// The name of a step; also used for the name of a lot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Name {
    /// The trainer.
    pub(crate) trainer: String,
    /// The step's number.
    pub(crate) number: u64,
}

/// The highest number of a step; it keeps the numbers of lots within 64 bits.
const STEP_NUMBER_MAX: u64 = u32::MAX as u64;

impl Name {
    /// Returns the name of a step; `None` if its number is too high.
    pub(crate) fn new(trainer: &str, number: u64) -> Option<Self> {
        let trainer = trainer.to_string();
        (number <= STEP_NUMBER_MAX).then_some(Self { trainer, number })
    }

    /// Returns the name of the step's object.
    pub(crate) fn object(&self) -> String {
        format!("{}.{}", self.trainer, self.number)
    }

    /// Parses the name of the object of a step, or of a lot: then `number` is
    /// the lot's number.
    pub(crate) fn parse(object: &str) -> Option<Self> {
        let (trainer, number) = object.rsplit_once('.')?;
        Self::new(trainer, number.parse().ok()?)
    }

    /// Returns the numbers of the step's lots.
    pub(crate) fn lots(&self, trainer: &Trainer) -> std::ops::Range<u64> {
        let count = u64::from(trainer.lots_per_step());
        self.number * count..(self.number + 1) * count
    }
}

const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches the platform for steps declared through any VM; never returns.
pub(crate) async fn follow(vm: Rc<Vm>) {
    let mut after = None;
    loop {
        let step = match after {
            None => vm.platform.list(STEP_KIND, "").await,
            Some(version) => vm.platform.watch(STEP_KIND, version, WATCH_TIMEOUT).await,
        };
        match step {
            Ok(changes) => {
                apply_changes(&vm, &changes.changes, after.is_none()).await;
                after = Some(changes.version);
            }
            // Changes since that version are no longer available: list again.
            Err(Error::Rejected { status: 410, .. }) => after = None,
            Err(_) => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn apply_changes(vm: &Rc<Vm>, changes: &[Change], is_list: bool) {
    let mut cursors = BTreeMap::new();
    for change in changes.iter().filter(|change| !change.deleted) {
        let Some(name) = Name::parse(&change.name) else {
            continue;
        };
        let mut first_open = 0;
        if is_list {
            // Lots acknowledged before this VM started need no production.
            if !cursors.contains_key(&name.trainer) {
                let cursor = super::next_unacknowledged(vm, &name.trainer).await;
                cursors.insert(name.trainer.clone(), cursor.unwrap_or_default());
            }
            first_open = cursors[&name.trainer];
        }
        register(vm, name.clone(), None, first_open);
        prefetch(vm, &name).await;
    }
}

/// Reads the content of a step if this VM is a candidate for one of its lots,
/// so that it can produce them during an outage of the platform.
async fn prefetch(vm: &Rc<Vm>, name: &Name) {
    let open = vm.rollouts.steps.borrow().get(name).cloned();
    let Some(open) = open else {
        return;
    };
    let is_candidate = {
        let vms = super::live_vms(vm);
        let open = open.borrow();
        let mut lots = open.lots.keys();
        lots.any(|lot| {
            let lot = format!("{}.{lot}", name.trainer);
            let candidates = claim::candidates(vms.iter().map(|vm| vm.vm.as_str()), &lot);
            candidates.contains(&vm.settings.vm.as_str())
        })
    };
    if is_candidate {
        // On failure, the content is read when it is needed.
        let _ = content(vm, name, &open).await;
    }
}

/// Adds a declared step, with its content if that is known. Lots before
/// `first_open` are not open.
pub(crate) fn register(vm: &Vm, name: Name, content: Option<Rc<Step>>, first_open: u64) {
    let now = vm.now();
    let declared = vm
        .board
        .borrow()
        .config
        .trainers
        .get(&name.trainer)
        .cloned();
    let mut steps = vm.rollouts.steps.borrow_mut();
    if let Some(known) = steps.get(&name) {
        let mut known = known.borrow_mut();
        known.content = known.content.take().or(content);
        return;
    }
    // Until the configuration is known, the step has no lots; `owner` adds them
    // later.
    let lots = declared.map_or(0..0, |trainer| name.lots(&trainer));
    let is_known = !lots.is_empty();
    let lots: BTreeMap<_, _> = lots
        .filter(|lot| *lot >= first_open)
        .map(|lot| (lot, Monitor::new(now)))
        .collect();
    if is_known && lots.is_empty() {
        return;
    }
    steps.insert(name, Rc::new(RefCell::new(OpenStep { content, lots })));
}

/// Returns the content of a step, read from the platform at most once.
pub(crate) async fn content(
    vm: &Vm,
    name: &Name,
    open: &RefCell<OpenStep>,
) -> Result<Rc<Step>, Error> {
    if let Some(content) = &open.borrow().content {
        return Ok(content.clone());
    }
    let (_, step) = vm.platform.read::<Step>(STEP_KIND, &name.object()).await?;
    let step = Rc::new(step);
    open.borrow_mut().content = Some(step.clone());
    Ok(step)
}
