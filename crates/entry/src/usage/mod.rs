//! The usage of requests: measured here, held by a second VM, reported once.
//!
//! A request is billed before its last byte goes to the caller: its record is
//! put on the board and sent to a VM of another failure domain, which holds a
//! copy until the window is reported. A VM that is lost then loses no usage.

pub(crate) mod copy;
pub(crate) mod window;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use board::{
    Time,
    hash::Map,
    usage::{Figures, Origin},
};
use link::peer::Links;
use local_sync::oneshot;

use crate::vm::Vm;

/// What the tasks of one process know of usage, besides the board.
pub(crate) struct State {
    /// This process.
    pub(crate) origin: Origin,
    links: Links,
    /// VMs that did not answer, and until when they are not asked again.
    backoff_until: RefCell<Map<String, Time>>,
    /// Records that are not held by another VM yet.
    queue: RefCell<Vec<copy::Pending>>,
    is_sending: Cell<bool>,
    /// Whether the last turn found no VM that takes records.
    has_no_holder: Cell<bool>,
    /// The process that holds the copies.
    holder: RefCell<Option<Origin>>,
    is_reconciling: Cell<bool>,
    /// Calls under way whose caller has left.
    detached_calls: Cell<usize>,
    is_ending: Cell<bool>,
    /// When processes last asked this one to hold copies. One that is passed
    /// on is taken out.
    last_seen: RefCell<Map<Origin, Time>>,
}

impl State {
    /// Returns the state of the process `origin`.
    pub(crate) fn new(origin: Origin) -> Self {
        Self {
            origin,
            links: Links::default(),
            backoff_until: RefCell::default(),
            queue: RefCell::default(),
            is_sending: Cell::new(false),
            has_no_holder: Cell::new(false),
            holder: RefCell::default(),
            is_reconciling: Cell::new(false),
            detached_calls: Cell::new(0),
            is_ending: Cell::new(false),
            last_seen: RefCell::default(),
        }
    }
}

/// How long the last byte of an answer waits for the copy of its record.
const COPY_WAIT_MAX: Duration = Duration::from_secs(1);

/// Counts what a request used, and waits until another VM holds a copy.
///
/// When none does in time, the answer goes out all the same: the record is
/// counted as not held, and sent again until a VM takes it.
pub(crate) async fn bill(vm: &Rc<Vm>, id: &str, account: &str, figures: Figures) {
    let (done, held) = oneshot::channel();
    add(vm, id, account, figures, Some(done));
    let is_held = monoio::time::timeout(COPY_WAIT_MAX, held).await;
    let result = match is_held {
        Ok(Ok(true)) => "held",
        Ok(_) => "not-held",
        Err(_) => "not-held-in-time",
    };
    vm.metrics.usage(result);
}

/// Counts what a request used whose caller left: nobody waits for its copy.
pub(crate) fn bill_abandoned(vm: &Rc<Vm>, id: &str, account: &str, figures: Figures) {
    let figures = Figures {
        abandoned: figures.requests,
        ..figures
    };
    vm.metrics.usage("abandoned");
    add(vm, id, account, figures, None);
}

/// Runs `work` that a caller has left to its end.
pub(crate) fn run_detached(vm: &Rc<Vm>, work: impl Future<Output = ()> + 'static) {
    if vm.usage.is_ending.get() {
        return;
    }
    let calls = &vm.usage.detached_calls;
    calls.set(calls.get() + 1);
    let vm = vm.clone();
    monoio::spawn(async move {
        work.await;
        let calls = &vm.usage.detached_calls;
        calls.set(calls.get() - 1);
    });
}

/// Waits up to `limit` for the calls that their callers have left.
pub(crate) async fn wait_detached(vm: &Vm, limit: Duration) {
    let wait = async {
        while vm.usage.detached_calls.get() > 0 {
            monoio::time::sleep(DETACHED_POLL_INTERVAL).await;
        }
    };
    let _ = monoio::time::timeout(limit, wait).await;
}

const DETACHED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Takes no more work: the runtime is about to end.
pub(crate) fn reject_detached(vm: &Vm) {
    vm.usage.is_ending.set(true);
}

fn add(
    vm: &Rc<Vm>,
    id: &str,
    account: &str,
    figures: Figures,
    done: Option<oneshot::Sender<bool>>,
) {
    let window = vm.window();
    let record = vm
        .board
        .borrow_mut()
        .usage
        .add(id, account, window, figures);
    if record.late {
        vm.metrics.usage("late");
    }
    copy::enqueue(vm, record, done);
}
