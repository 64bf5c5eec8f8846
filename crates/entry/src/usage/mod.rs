//! The usage of requests: measured here, held by a second VM, reported once.
//!
//! A request is billed before its last byte goes to the caller: its record is
//! put on the board and sent to a VM of another failure domain, which holds a
//! copy until the window is reported. A VM that is lost then loses no usage.

pub(crate) mod copy;
pub(crate) mod settle;

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
use link::{peer::Links, platform};
use local_sync::oneshot;

use crate::vm::Vm;

/// What the tasks of one process know of usage, besides the board.
pub(crate) struct State {
    /// This process.
    pub(crate) origin: Origin,
    links: Links,
    /// The VMs that the platform lists.
    vms: RefCell<Vec<platform::Vm>>,
    /// VMs that did not answer, and until when they are not asked again.
    absent: RefCell<Map<String, Time>>,
    /// Records that are not held by another VM yet.
    queue: RefCell<Vec<copy::Waiting>>,
    is_sending: Cell<bool>,
    /// Whether the last turn found no VM that takes records.
    is_alone: Cell<bool>,
    /// The process that holds the copies.
    holder: RefCell<Option<Origin>>,
    is_settling: Cell<bool>,
    /// Calls under way whose caller has left.
    abandoned: Cell<usize>,
    is_over: Cell<bool>,
    /// When processes last asked this one to hold copies. One that is passed
    /// on is taken out.
    heard: RefCell<Map<Origin, Time>>,
}

impl State {
    /// Returns the state of the process `origin`.
    pub(crate) fn new(origin: Origin) -> Self {
        Self {
            origin,
            links: Links::default(),
            vms: RefCell::default(),
            absent: RefCell::default(),
            queue: RefCell::default(),
            is_sending: Cell::new(false),
            is_alone: Cell::new(false),
            holder: RefCell::default(),
            is_settling: Cell::new(false),
            abandoned: Cell::new(0),
            is_over: Cell::new(false),
            heard: RefCell::default(),
        }
    }
}

/// How long the last byte of an answer waits for the copy of its record.
const HOLD_WAIT: Duration = Duration::from_secs(1);

/// Counts what a request used, and waits until another VM holds a copy.
///
/// When none does in time, the answer goes out all the same: the record is
/// counted as not held, and sent again until a VM takes it.
pub(crate) async fn bill(vm: &Rc<Vm>, id: &str, account: &str, figures: Figures) {
    let (done, held) = oneshot::channel();
    add(vm, id, account, figures, Some(done));
    let is_held = monoio::time::timeout(HOLD_WAIT, held).await;
    let result = match is_held {
        Ok(Ok(true)) => "held",
        Ok(_) => "not-held",
        Err(_) => "not-held-in-time",
    };
    vm.metrics.usage(result);
}

/// Counts what a request used whose caller left: nobody waits for its copy.
pub(crate) fn note(vm: &Rc<Vm>, id: &str, account: &str, figures: Figures) {
    let figures = Figures {
        abandoned: figures.requests,
        ..figures
    };
    vm.metrics.usage("abandoned");
    add(vm, id, account, figures, None);
}

/// Runs `work` that a caller has left to its end.
pub(crate) fn abandon(vm: &Rc<Vm>, work: impl Future<Output = ()> + 'static) {
    if vm.usage.is_over.get() {
        return;
    }
    let under_way = &vm.usage.abandoned;
    under_way.set(under_way.get() + 1);
    let vm = vm.clone();
    monoio::spawn(async move {
        work.await;
        let under_way = &vm.usage.abandoned;
        under_way.set(under_way.get() - 1);
    });
}

/// Waits up to `limit` for the calls that their callers have left.
pub(crate) async fn wait_abandoned(vm: &Vm, limit: Duration) {
    let wait = async {
        while vm.usage.abandoned.get() > 0 {
            monoio::time::sleep(ABANDONED_POLL).await;
        }
    };
    let _ = monoio::time::timeout(limit, wait).await;
}

const ABANDONED_POLL: Duration = Duration::from_millis(20);

/// Takes no more work: the runtime is about to end.
pub(crate) fn end(vm: &Vm) {
    vm.usage.is_over.set(true);
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
    copy::push(vm, record, done);
}
