//! The usage of requests: recorded on this VM, copied to a second one, and
//! reported once.
//!
//! A request is billed before its last byte is sent to the caller: its record
//! is put on the board and sent to a VM of another failure domain, which holds
//! a copy until the window is reported. So no usage is lost when a VM is lost.

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
use link::peer::Pool;
use local_sync::oneshot;

use crate::vm::Vm;

/// The state of usage records of one process, apart from the board.
pub(crate) struct State {
    /// The identity of this process.
    pub(crate) origin: Origin,
    /// Connections to the VMs that hold copies.
    links: Pool,
    /// VMs that did not answer, and until when they are not asked again.
    backoff_until: RefCell<Map<String, Time>>,
    /// Records of which no other VM is known to hold a copy.
    queue: RefCell<Vec<copy::Pending>>,
    /// Whether the task that sends the queue runs.
    is_sending: Cell<bool>,
    /// Whether the last attempt to send records found no VM that accepted them.
    has_no_holder: Cell<bool>,
    /// The process that holds the copies of this process's records.
    holder: RefCell<Option<Origin>>,
    /// Whether a task reconciles records with frozen figures.
    is_reconciling: Cell<bool>,
    /// The number of calls in progress whose caller has disconnected.
    detached_calls: Cell<usize>,
    /// Whether the runtime is about to end.
    is_ending: Cell<bool>,
    /// When other processes last asked this one to hold copies. A process is
    /// removed once its copies were replicated to another VM.
    last_seen: RefCell<Map<Origin, Time>>,
}

impl State {
    /// Returns the state of the process `origin`.
    pub(crate) fn new(origin: Origin) -> Self {
        Self {
            origin,
            links: Pool::default(),
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

/// How long the last byte of an answer is held back until another VM confirms
/// the copy of its record.
const COPY_WAIT_MAX: Duration = Duration::from_secs(1);

/// Records the usage of a request, and waits until another VM holds a copy.
///
/// If no VM confirms the copy in time, the answer is sent anyway: the record is
/// counted as not held, and sent again until a VM accepts it.
pub(crate) async fn bill(vm: &Rc<Vm>, id: &str, account: &str, figures: Figures) {
    let (done, held) = oneshot::channel();
    add(vm, id, account, figures, Some(done));
    let is_held = monoio::time::timeout(COPY_WAIT_MAX, held).await;
    let result = match is_held {
        Ok(Ok(true)) => "held",
        Ok(_) => "not-held",
        Err(_) => "not-held-in-time",
    };
    vm.metrics.record_usage(result);
}

/// Records the usage of a request whose caller has disconnected, without
/// waiting for a copy.
pub(crate) fn bill_abandoned(vm: &Rc<Vm>, id: &str, account: &str, figures: Figures) {
    let figures = Figures {
        abandoned: figures.requests,
        ..figures
    };
    vm.metrics.record_usage("abandoned");
    add(vm, id, account, figures, None);
}

/// Completes the call `work` in the background after its caller disconnected.
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

/// Waits up to `limit` for the calls started by [`run_detached`].
pub(crate) async fn wait_detached(vm: &Vm, limit: Duration) {
    let wait = async {
        while vm.usage.detached_calls.get() > 0 {
            monoio::time::sleep(DETACHED_POLL_INTERVAL).await;
        }
    };
    let _ = monoio::time::timeout(limit, wait).await;
}

const DETACHED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Makes [`run_detached`] drop further calls, because the runtime is about to
/// end.
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
        vm.metrics.record_usage("late");
    }
    copy::enqueue(vm, record, done);
}
