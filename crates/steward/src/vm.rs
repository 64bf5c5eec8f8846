//! The state that the tasks of one steward process share.

use std::{cell::RefCell, rc::Rc};

use board::{Board, Time, lease::Lease};
use link::{
    clock::{self, Clock},
    follow::Follower,
    http::{Limits, Pool, client::Fence},
    platform,
    telemetry::Telemetry,
};
use policy::lease;
use rand::{Rng, SeedableRng};

use crate::{metrics::Metrics, settings::Settings, unsettled::Unsettled};

/// The rate limit of calls that delete expired data.
const CLEANUP_CALLS_PER_S: u32 = 10;

/// Selects one of the leases of a process.
pub(crate) type Selector = fn(&Vm) -> &RefCell<Lease>;

/// One steward process.
pub(crate) struct Vm {
    pub(crate) settings: Settings,
    pub(crate) board: Rc<RefCell<Board>>,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) platform: platform::Client,
    /// The client for leases; it is separate so that other calls do not delay a
    /// renewal.
    pub(crate) lease_platform: platform::Client,
    /// The client for deletions; it has its own low rate limit, so that
    /// deletions leave capacity for all other calls.
    pub(crate) cleanup_platform: platform::Client,
    pub(crate) telemetry: Telemetry,
    pub(crate) metrics: Metrics,
    /// The task that copies facts and members to the board.
    pub(crate) follower: Follower,
    /// The lease on the orders of this failure domain.
    pub(crate) orders: RefCell<Lease>,
    /// The orders sent under that lease whose outcome is unknown.
    pub(crate) unsettled: RefCell<Unsettled>,
    /// The lease on the reports of usage.
    pub(crate) reports: RefCell<Lease>,
}

impl Vm {
    pub(crate) fn new(settings: Settings) -> Rc<Self> {
        let seed = clock::wall_millis();
        let board = Board::new(&settings.vm, &settings.failure_domain, seed);
        let telemetry = Telemetry::new("tarragonseam-steward");
        let nonce = rand::rngs::SmallRng::from_os_rng().random();
        let (board, clock) = (Rc::new(RefCell::new(board)), Clock::default());
        Rc::new(Self {
            follower: Follower::new(board.clone(), clock, settings.entry),
            board,
            clock,
            pool: Pool::new(Limits::new()),
            platform: platform::Client::new(settings.platform, &settings.vm),
            lease_platform: platform::Client::new(settings.platform, &settings.vm),
            cleanup_platform: platform::Client::new(settings.platform, &settings.vm)
                .calls_per_s(CLEANUP_CALLS_PER_S),
            metrics: Metrics::new(&telemetry),
            telemetry,
            orders: RefCell::new(Lease::new(nonce)),
            unsettled: RefCell::default(),
            reports: RefCell::new(Lease::new(nonce)),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the epoch of `lease` if it is held now.
    pub(crate) fn epoch(&self, lease: &RefCell<Lease>) -> Option<u64> {
        lease::epoch(&lease.borrow(), self.now())
    }

    /// Returns a fence that is open while `epoch` is held.
    pub(crate) fn fence(self: &Rc<Self>, select: Selector, epoch: u64) -> Fence {
        let vm = self.clone();
        Fence::new(move || vm.epoch(select(&vm)) == Some(epoch))
    }
}
