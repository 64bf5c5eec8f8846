//! The state that the tasks of one entry process share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use board::{
    Board, Time, endpoint,
    hash::Map,
    ticket,
    usage::{Origin, Window},
};
use link::{
    clock::{self, Clock},
    gossip::Gossip,
    http::{Limits, Pool},
    platform,
    telemetry::Telemetry,
};
use local_sync::oneshot;
use policy::call::Rejection;

use crate::{bulk, metrics::Metrics, rollout, run, settings::Settings, usage};

/// The endpoint assigned to a waiting request, or why it was rejected.
pub(crate) type Assignment = Result<endpoint::Key, Rejection>;

/// One entry process.
pub(crate) struct Vm {
    pub(crate) settings: Settings,
    pub(crate) board: Rc<RefCell<Board>>,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) platform: platform::Client,
    /// Membership and shared state, exchanged with other VMs.
    pub(crate) gossip: Gossip,
    pub(crate) telemetry: Telemetry,
    pub(crate) metrics: Metrics,
    /// Usage records that are copied to other VMs.
    pub(crate) usage: usage::State,
    /// Requests that wait for an endpoint, each with the sender of its
    /// assignment.
    pub(crate) waiting: RefCell<Map<ticket::Key, oneshot::Sender<Assignment>>>,
    /// The number of the next request.
    pub(crate) next_request: Cell<u64>,
    /// Whether the task that dispatches at intervals runs.
    pub(crate) is_ticking: Cell<bool>,
    /// Whether the process drains before a shutdown.
    pub(crate) is_draining: Cell<bool>,
    /// The steps and lots of rollouts.
    pub(crate) rollouts: rollout::State,
    /// The disk for bulk data, on a VM that has one.
    pub(crate) disk: Option<bulk::disk::Disk>,
}

impl Vm {
    /// Opens the socket for gossip with other VMs and the disk, if there is
    /// one.
    ///
    /// # Errors
    ///
    /// A [`run::Error`] when the socket or the disk cannot be opened.
    pub(crate) fn new(settings: Settings) -> Result<Rc<Self>, run::Error> {
        let seed = clock::wall_millis();
        let telemetry = Telemetry::new("tarragonseam-entry");
        let board = Board::new(&settings.vm, &settings.failure_domain, seed);
        let origin = Origin {
            vm: settings.vm.clone(),
            incarnation: seed,
        };
        let board = Rc::new(RefCell::new(board));
        let clock = Clock::default();
        let disk = settings.data.as_deref().map(bulk::disk::Disk::open);
        let gossip = Gossip::open(board.clone(), clock, settings.peers, &telemetry);
        Ok(Rc::new(Self {
            disk: disk.transpose()?,
            gossip: gossip.map_err(|source| run::Error::Listen {
                setting: "peers",
                address: settings.peers,
                source,
            })?,
            board,
            clock,
            pool: Pool::new(Limits::new()),
            platform: platform::Client::new(settings.platform, &settings.vm),
            metrics: Metrics::new(&telemetry),
            telemetry,
            usage: usage::State::new(origin),
            waiting: RefCell::default(),
            next_request: Cell::new(seed),
            is_ticking: Cell::new(false),
            is_draining: Cell::new(false),
            rollouts: rollout::State::default(),
            settings,
        }))
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a request id that is unique in the deployment.
    pub(crate) fn request_id(&self) -> String {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        format!("{}-{number:x}", self.settings.vm)
    }

    /// Returns the usage window of the current time.
    pub(crate) fn window(&self) -> Window {
        let length = self.settings.window.as_millis().max(1) as u64;
        Window(clock::wall_millis() / length)
    }
}
