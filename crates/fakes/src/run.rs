//! Runs a fake in the current thread or in a thread of its own.

use std::{
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread::JoinHandle,
    time::Duration,
};

use monoio::net::TcpListener;

use crate::{
    Error, engine,
    host::{self, Callbacks, Host},
    platform, scorer, service, weights,
};

/// The addresses that a fake listens on.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Bind {
    /// Address to listen on; port 0 stands for any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Second address, which the fault switch `refuse` does not affect.
    #[arg(long)]
    pub control: Option<SocketAddr>,
}

/// A fake with its settings.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Config {
    /// The platform: objects, VMs, endpoint orders and usage reports.
    Platform(platform::Config),
    /// A model engine.
    Engine(engine::Config),
    /// A plain service.
    Service(service::Config),
    /// The weight store.
    Weights(weights::Config),
    /// A service that scores samples.
    Scorer(scorer::Config),
}

impl Config {
    fn bind(&mut self) -> &mut Bind {
        match self {
            Self::Platform(config) => &mut config.bind,
            Self::Engine(config) => &mut config.bind,
            Self::Service(config) => &mut config.bind,
            Self::Weights(config) => &mut config.bind,
            Self::Scorer(config) => &mut config.bind,
        }
    }

    fn callbacks(self, host: &Rc<Host>) -> Result<Callbacks, Error> {
        match self {
            Self::Platform(config) => platform::callbacks(config, host),
            Self::Engine(config) => Ok(engine::callbacks(config, host)),
            Self::Service(config) => Ok(service::callbacks(config, host)),
            Self::Weights(config) => Ok(weights::callbacks(config)),
            Self::Scorer(config) => Ok(scorer::callbacks(config, host)),
        }
    }

    fn seed(&self) -> u64 {
        match self {
            Self::Engine(config) => config.seed,
            _ => 0,
        }
    }
}

/// The exit code of a process that the fault switch `crash` ends.
const CRASH_EXIT_CODE: i32 = 70;

/// Runs a fake in the current thread until SIGINT or SIGTERM, and prints the
/// address that it listens on.
///
/// # Errors
///
/// When the settings cannot be read or the address cannot be bound.
pub fn serve(config: Config) -> Result<(), Error> {
    let end = async {
        let _ = link::runtime::stop_signal().await;
    };
    let ready = |address, _| println!("listening on {address}");
    let crash = Box::new(|| std::process::exit(CRASH_EXIT_CODE));
    link::runtime::run(run(config, end, ready, crash))?
}

async fn run(
    mut config: Config,
    end: impl Future<Output = ()>,
    ready: impl FnOnce(SocketAddr, Option<SocketAddr>),
    on_crash: Box<dyn Fn()>,
) -> Result<(), Error> {
    let bind = *config.bind();
    let host = Host::new(config.seed(), on_crash);
    let listener = link::net::listen(bind.listen)?;
    let control = bind.control.map(link::net::listen).transpose()?;
    let callbacks = config.callbacks(&host)?;
    let control_address = control.as_ref().map(TcpListener::local_addr);
    ready(listener.local_addr()?, control_address.transpose()?);
    monoio::select! {
        () = host::serve(host.clone(), callbacks, listener, control) => {}
        () = end => {}
    }
    host.wait_connections_cut().await;
    Ok(())
}

/// The handle of a fake that runs in a thread; dropping it stops the fake.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    control: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Returns the address of the fake.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the second address, which the fault switch `refuse` does not
    /// affect.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns whether the fake has ended, for instance by a crash.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Sets fault switches, given as the JSON object of `POST /fault`.
    ///
    /// # Errors
    ///
    /// When the call fails; a call that sets `crash` always does.
    pub fn set_faults(&self, switches: &serde_json::Value) -> Result<(), Error> {
        crate::blocking::set_faults(self.control, switches)
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

const STOP_POLL_PERIOD: Duration = Duration::from_millis(10);
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a fake in a thread of its own.
///
/// # Errors
///
/// When the settings cannot be read or the address cannot be bound.
pub fn spawn(mut config: Config) -> Result<Handle, Error> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    config.bind().control.get_or_insert(any_port);
    let stop = Arc::new(AtomicBool::new(false));
    let (sender, started) = mpsc::channel();
    let thread = std::thread::spawn({
        let stop = stop.clone();
        move || run_in_thread(config, stop, &sender)
    });
    let (address, control) = started
        .recv_timeout(START_TIMEOUT)
        .map_err(|_| Error::NotStarted)??;
    Ok(Handle {
        address,
        control: control.unwrap_or(address),
        stop,
        thread: Some(thread),
    })
}

type StartResult = Result<(SocketAddr, Option<SocketAddr>), Error>;

fn run_in_thread(config: Config, stop: Arc<AtomicBool>, started: &mpsc::Sender<StartResult>) {
    let crash = {
        let stop = stop.clone();
        Box::new(move || stop.store(true, Ordering::Relaxed))
    };
    let end = async move {
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(STOP_POLL_PERIOD).await;
        }
    };
    let ready = |address, control| {
        let _ = started.send(Ok((address, control)));
    };
    let result = link::runtime::run(run(config, end, ready, crash));
    let result = result.map_err(Error::from).and_then(|inner| inner);
    if let Err(e) = result {
        let _ = started.send(Err(e));
    }
}
