//! The parts that all fakes share: fault switches, counters and the HTTP
//! server.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    StatusCode,
    http::{
        Limits, Reply, Request,
        server::{self, Drain},
    },
};
use local_sync::oneshot;
use monoio::net::TcpListener;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    clock,
    fault::{Reclaim, Switches},
    stats::Stats,
};

/// A future that yields the answer of a fake.
pub(crate) type Answer = Pin<Box<dyn Future<Output = Reply>>>;

/// A callback for a change of the switches.
pub(crate) type OnFault = Box<dyn Fn(Option<&Reclaim>)>;

/// The callbacks of one fake.
pub(crate) struct Callbacks {
    /// Answers a call.
    pub(crate) answer: Box<dyn Fn(Request) -> Answer>,
    /// Runs after each change of the switches, with the reclaim that the change
    /// orders, if any.
    pub(crate) on_fault: OnFault,
}

/// The state of one fake that is independent of its kind.
pub(crate) struct Host {
    switches: RefCell<Switches>,
    stats: RefCell<Stats>,
    rng: RefCell<SmallRng>,
    drain: Drain,
    pending_swap: RefCell<Option<PendingSwap>>,
    next_swap_id: Cell<u64>,
    on_crash: Box<dyn Fn()>,
}

/// An answer that waits to be swapped with the next one, for the fault switch
/// `cross`.
struct PendingSwap {
    id: u64,
    reply: Reply,
    partner: oneshot::Sender<Reply>,
}

const SWITCH_POLL_PERIOD: Duration = Duration::from_millis(20);
const SWAP_TIMEOUT: Duration = Duration::from_millis(500);
const CRASH_CUT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIME_MAX: Duration = Duration::from_secs(600);
/// Exceeds the size limit of an object, so that a request over that limit is
/// read completely: closing the connection with unread data would reset it, and
/// the caller would lose the rejection.
const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

impl Host {
    /// Returns a host without faults that calls `on_crash` on a crash.
    pub(crate) fn new(seed: u64, on_crash: Box<dyn Fn()>) -> Rc<Self> {
        Rc::new(Self {
            switches: RefCell::default(),
            stats: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            drain: Drain::default(),
            pending_swap: RefCell::default(),
            next_swap_id: Cell::new(0),
            on_crash,
        })
    }

    /// Returns the result of `read` for the current switches.
    pub(crate) fn read_switch<T>(&self, read: impl Fn(&Switches) -> T) -> T {
        read(&self.switches.borrow())
    }

    /// Returns true with `probability`.
    pub(crate) fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random::<f64>() < probability
    }

    /// Returns a number below `bound`, which must not be zero.
    pub(crate) fn random_below(&self, bound: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..bound)
    }

    /// Waits while the switch `mute` is on, and returns whether it was on.
    pub(crate) async fn wait_while_mute(&self) -> bool {
        self.wait_while(|switches| switches.mute).await
    }

    async fn wait_while(&self, should_wait: impl Fn(&Switches) -> bool) -> bool {
        let mut has_waited = false;
        while self.read_switch(&should_wait) {
            has_waited = true;
            monoio::time::sleep(SWITCH_POLL_PERIOD).await;
        }
        has_waited
    }

    /// Answers one call: applies the switches, updates the counters and calls
    /// `callbacks`.
    async fn answer(&self, callbacks: &Rc<Callbacks>, request: Request) -> Reply {
        match request.uri.path() {
            "/fault" => return self.set_switches(callbacks, &request),
            "/stats" => return Reply::json(StatusCode::OK, &*self.stats.borrow()),
            _ => {}
        }
        self.stats.borrow_mut().count_call(&request);
        let reply = match self.apply_call_faults(&request).await {
            Some(reply) => reply,
            None if request.uri.path() == "/health" => {
                Reply::json(StatusCode::OK, &serde_json::json!({"status": "ok"}))
            }
            None => {
                let (method, path) = (request.method.clone(), request.uri.path().to_owned());
                let loss =
                    || self.read_switch(|s| s.reply_loss_probability(method.as_str(), &path));
                let transit_ms = self.read_switch(|s| s.transit_ms);
                if transit_ms > 0 && self.random_bool(loss()) {
                    let callbacks = callbacks.clone();
                    monoio::spawn(async move {
                        clock::sleep_ms(transit_ms).await;
                        (callbacks.answer)(request).await
                    });
                    self.lose_reply()
                } else {
                    let reply = (callbacks.answer)(request).await;
                    self.apply_reply_faults(reply, loss()).await
                }
            }
        };
        let status = reply.status().as_u16();
        self.stats.borrow_mut().count_answer(status);
        reply
    }

    fn set_switches(&self, callbacks: &Callbacks, request: &Request) -> Reply {
        if request.body.is_empty() {
            return Reply::json(StatusCode::OK, &*self.switches.borrow());
        }
        let next = self.switches.borrow().apply(&request.body);
        let mut next = match next {
            Ok(next) => next,
            Err(detail) => return Reply::error(StatusCode::BAD_REQUEST, "bad-switch", &detail),
        };
        self.drain.set_rejecting(next.refuse);
        if next.crash {
            self.crash();
            return Reply::cut();
        }
        let reclaim = next.reclaim.take();
        let reply = Reply::json(StatusCode::OK, &next);
        *self.switches.borrow_mut() = next;
        (callbacks.on_fault)(reclaim.as_ref());
        reply
    }

    /// Ends the process, or, in a thread, cuts all calls and streams.
    fn crash(&self) {
        (self.on_crash)();
        let cut_all = Switches {
            gone: true,
            ..Switches::default()
        };
        *self.switches.borrow_mut() = cut_all;
        self.drain.close();
    }

    /// Waits until a crash has cut the open connections, for at most
    /// [`CRASH_CUT_TIMEOUT`].
    pub(crate) async fn wait_connections_cut(&self) {
        let start = Instant::now();
        while self.drain.is_closing()
            && self.drain.open_connections() > 0
            && start.elapsed() < CRASH_CUT_TIMEOUT
        {
            monoio::time::sleep(SWITCH_POLL_PERIOD).await;
        }
    }

    /// Applies the faults that precede the handling of a call.
    async fn apply_call_faults(&self, request: &Request) -> Option<Reply> {
        let vm = request.header("x-vm");
        let is_silent = |switches: &Switches| switches.mute || switches.is_cut(vm, request.peer);
        if self.wait_while(is_silent).await || self.read_switch(|s| s.gone) {
            return Some(Reply::cut());
        }
        clock::sleep_ms(self.read_switch(|s| s.latency_ms)).await;
        let (method, path) = (request.method.as_str(), request.uri.path());
        if self.read_switch(|s| s.has_outage(method, path)) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Some(Reply::error(
                status,
                "unavailable",
                "the fault switch outage is on",
            ));
        }
        if self.random_bool(self.read_switch(|s| s.error_rate)) {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Some(Reply::error(
                status,
                "injected",
                "the fault switch error_rate is on",
            ));
        }
        None
    }

    /// Applies the faults that follow the handling of a call.
    async fn apply_reply_faults(&self, reply: Reply, loss: f64) -> Reply {
        clock::sleep_ms(self.read_switch(|s| s.late_ms)).await;
        let is_cut = self.wait_while_mute().await || self.read_switch(|s| s.gone);
        if is_cut {
            return Reply::cut();
        }
        if self.random_bool(loss) {
            return self.lose_reply();
        }
        if self.read_switch(|s| s.cross) {
            return self.swap_reply(reply).await;
        }
        reply
    }

    fn lose_reply(&self) -> Reply {
        let mut switches = self.switches.borrow_mut();
        switches.outage |= switches.outage_after_lost_reply;
        Reply::cut()
    }

    /// Swaps `reply` with another one that is ready within [`SWAP_TIMEOUT`],
    /// and returns `reply` itself if there is none.
    async fn swap_reply(&self, reply: Reply) -> Reply {
        if let Some(waiting) = self.pending_swap.take() {
            return match waiting.partner.send(reply) {
                Ok(()) => waiting.reply,
                Err(reply) => reply,
            };
        }
        let id = self.next_swap_id.get();
        self.next_swap_id.set(id + 1);
        let (partner, received) = oneshot::channel();
        *self.pending_swap.borrow_mut() = Some(PendingSwap { id, reply, partner });
        if let Ok(Ok(reply)) = monoio::time::timeout(SWAP_TIMEOUT, received).await {
            return reply;
        }
        let own = self
            .pending_swap
            .borrow_mut()
            .take_if(|waiting| waiting.id == id);
        own.map_or_else(Reply::cut, |waiting| waiting.reply)
    }
}

/// Returns the answer to a call during an outage.
pub(crate) fn unavailable() -> Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Reply::error(status, "unavailable", "the fault switch outage is on")
}

/// Serves `callbacks` until the task is dropped, on `listener` and on `control`,
/// which the fault switch `refuse` does not affect.
pub(crate) async fn serve(
    host: Rc<Host>,
    callbacks: Callbacks,
    listener: TcpListener,
    control: Option<TcpListener>,
) {
    let callbacks = Rc::new(callbacks);
    let limits = Limits::new()
        .idle_time(IDLE_TIME_MAX)
        .body_bytes(BODY_BYTES_MAX);
    let drain = host.drain.clone();
    let handler = move |request: Request| {
        let (host, callbacks) = (host.clone(), callbacks.clone());
        async move { host.answer(&callbacks, request).await }
    };
    if let Some(control) = control {
        let task = server::serve(control, limits, Drain::default(), handler.clone());
        monoio::spawn(task);
    }
    server::serve(listener, limits, drain, handler).await;
}
