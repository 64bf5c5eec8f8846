//! The state that the tasks of one steward process share.

use std::{cell::RefCell, rc::Rc};

use board::{Board, Time, lease::Lease};
use link::{
    clock::{self, Clock},
    http::{Limits, Pool},
    platform,
    telemetry::Telemetry,
};
use policy::lease;

use crate::settings::Settings;

/// One steward process.
pub(crate) struct Vm {
    pub(crate) settings: Settings,
    pub(crate) board: Rc<RefCell<Board>>,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) platform: platform::Client,
    pub(crate) telemetry: Telemetry,
    /// The lease on the orders of this failure domain.
    pub(crate) orders: RefCell<Lease>,
    /// The lease on the reports of usage.
    pub(crate) reports: RefCell<Lease>,
}

impl Vm {
    pub(crate) fn new(settings: Settings) -> Rc<Self> {
        let seed = clock::wall_millis();
        let board = Board::new(&settings.vm, &settings.failure_domain, seed);
        Rc::new(Self {
            board: Rc::new(RefCell::new(board)),
            clock: Clock::default(),
            pool: Pool::new(Limits::new()),
            platform: platform::Client::new(settings.platform, &settings.vm),
            telemetry: Telemetry::new("tarragonseam-steward"),
            orders: RefCell::default(),
            reports: RefCell::default(),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the epoch under which `lease` allows an order right now.
    pub(crate) fn epoch(&self, lease: &RefCell<Lease>) -> Option<u64> {
        lease::epoch(&lease.borrow(), self.now())
    }
}
