//! A complete deployment of separate processes on loopback: the fakes, and an
//! entry and a steward daemon for each VM.

pub mod block;
pub mod child;
pub mod plan;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use link::http::{
    Limits, Pool,
    client::{Call, Fetched},
};

pub use block::Block;
pub use child::Child;
pub use plan::{Endpoint, Plan, Vm};

use crate::Error;

/// The addresses and processes of one VM.
#[derive(Debug)]
pub struct VmProcesses {
    /// The VM's part of the plan.
    pub vm: Vm,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other VMs.
    pub peers: SocketAddr,
    /// The admin address of the entry daemon.
    pub entry_admin: SocketAddr,
    /// The admin address of the steward daemon.
    pub steward_admin: SocketAddr,
    /// The entry daemon.
    pub entry: Child,
    /// The steward daemon.
    pub steward: Child,
}

/// The process of one endpoint.
#[derive(Debug)]
pub struct EndpointProcess {
    /// The endpoint's part of the plan.
    pub plan: Endpoint,
    /// The address of the process.
    pub address: SocketAddr,
    /// The process.
    pub process: Child,
}

/// A running deployment, which is stopped on drop.
pub struct Deployment {
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The address of the weight store.
    pub weights: SocketAddr,
    /// The address of the scorer.
    pub scorer: SocketAddr,
    /// The VMs.
    pub vms: Vec<VmProcesses>,
    /// The endpoints.
    pub endpoints: Vec<EndpointProcess>,
    /// The folder with a copy of the operators' files, with the address of the
    /// scorer filled in.
    pub tree: PathBuf,
    /// The folder with the settings and logs of the deployment.
    pub folder: PathBuf,
    /// A connection pool for tests.
    pub pool: Pool,
    program: PathBuf,
    fakes: Vec<Child>,
    block: Block,
}

/// If this environment variable is set, the folder of a deployment is kept.
const KEEP_LOGS_VARIABLE: &str = "TARRAGONSEAM_KEEP_LOGS";

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of lines of each log that the error of a failed start contains.
const EXCERPT_LINES: usize = 12;

const POLL_PERIOD: Duration = Duration::from_millis(50);

impl Deployment {
    /// Starts every process of `plan` and waits until each of them answers.
    /// `program` is the command-line program, whose subcommand `part` runs a
    /// daemon or a fake.
    ///
    /// The configuration is not published, so no VM is ready yet.
    ///
    /// # Errors
    ///
    /// When a process cannot be started or does not answer in time.
    pub async fn start(program: &Path, plan: &Plan) -> Result<Self, Error> {
        let mut block = Block::acquire()?;
        let folder = block.folder();
        fs::create_dir_all(&folder)?;
        let scorer = block.next();
        let mut deployment = Self {
            platform: block.next(),
            weights: block.next(),
            scorer,
            vms: Vec::new(),
            endpoints: Vec::new(),
            tree: plan::copy_tree(&plan.tree, &folder.join("tree"), scorer)?,
            folder,
            pool: Pool::new(Limits::new()),
            program: program.to_owned(),
            fakes: Vec::new(),
            block,
        };
        deployment.start_fakes(plan)?;
        deployment.start_vms(plan)?;
        match deployment.wait_healthy().await {
            Ok(()) => Ok(deployment),
            Err(e) => Err(Error::Deployment(format!(
                "{e}\n{}",
                deployment.log_excerpts()
            ))),
        }
    }

    /// Returns the last lines of each log, without log lines of the level `info`
    /// and start messages.
    fn log_excerpts(&self) -> String {
        let Ok(files) = fs::read_dir(&self.folder) else {
            return "the folder of the deployment does not exist".to_string();
        };
        let logs = files.flatten().map(|file| file.path());
        let logs = logs.filter(|path| path.extension().is_some_and(|end| end == "log"));
        let excerpts = logs.filter_map(|path| {
            let text = fs::read_to_string(&path).ok()?;
            let is_unusual = |line: &&str| {
                !line.contains("\"level\":\"info\"") && !line.starts_with("listening on")
            };
            let lines: Vec<_> = text.lines().filter(is_unusual).collect();
            let last = &lines[lines.len().saturating_sub(EXCERPT_LINES)..];
            (!last.is_empty()).then(|| format!("{}:\n{}", path.display(), last.join("\n")))
        });
        excerpts.collect::<Vec<_>>().join("\n")
    }

    fn start_fakes(&mut self, plan: &Plan) -> Result<(), Error> {
        let weights = self.weights.to_string();
        for endpoint in &plan.endpoints {
            let address = self.block.next();
            let arguments = endpoint.arguments(address, &weights);
            let process = self.spawn(&endpoint.id, &arguments)?;
            self.endpoints.push(EndpointProcess {
                plan: endpoint.clone(),
                address,
                process,
            });
        }
        let mut addresses = Vec::new();
        for _ in &plan.vms {
            addresses.push(self.block.next());
        }
        let vms = self.folder.join("vms.toml");
        fs::write(&vms, plan::vms_file(&plan.vms, &addresses))?;
        let endpoints = self.folder.join("endpoints.toml");
        fs::write(&endpoints, plan::endpoints_file(&self.endpoints))?;
        let platform = [
            "fakes".to_string(),
            "platform".to_string(),
            format!("--listen={}", self.platform),
            format!("--vms={}", vms.display()),
            format!("--endpoints={}", endpoints.display()),
        ];
        let platform: Vec<_> = platform.into_iter().chain(plan.platform.clone()).collect();
        let weight_store = [
            "fakes".to_string(),
            "weights".to_string(),
            format!("--listen={}", self.weights),
        ];
        let weight_store: Vec<_> = weight_store
            .into_iter()
            .chain(plan.weights.clone())
            .collect();
        let scorer = [
            "fakes".to_string(),
            "scorer".to_string(),
            format!("--listen={}", self.scorer),
        ];
        for (name, arguments) in [
            ("platform", platform),
            ("weights", weight_store),
            ("scorer", scorer.to_vec()),
        ] {
            let child = self.spawn(name, &arguments)?;
            self.fakes.push(child);
        }
        for (vm, peers) in plan.vms.iter().zip(addresses) {
            self.add_vm(vm, peers, plan)?;
        }
        Ok(())
    }

    /// Writes the settings of a VM's daemons and adds the VM without processes.
    fn add_vm(&mut self, vm: &Vm, peers: SocketAddr, plan: &Plan) -> Result<(), Error> {
        let callers = self.block.next();
        let entry_admin = self.block.next();
        let steward_admin = self.block.next();
        let (vm_id, domain) = (&vm.id, &vm.failure_domain);
        let shared = format!(
            "vm = \"{vm_id}\"\nfailure_domain = \"{domain}\"\nplatform = \"{}\"\nwindow_ms = {}\n",
            self.platform,
            plan.window.as_millis()
        );
        let entry = format!(
            "{shared}callers = \"{callers}\"\npeers = \"{peers}\"\nadmin = \"{entry_admin}\"\n{}",
            vm.entry_settings
        );
        let steward = format!(
            "{shared}admin = \"{steward_admin}\"\nentry = \"{peers}\"\n{}",
            vm.steward_settings
        );
        fs::write(self.settings_path("entry", vm_id), entry)?;
        fs::write(self.settings_path("steward", vm_id), steward)?;
        self.vms.push(VmProcesses {
            vm: vm.clone(),
            callers,
            peers,
            entry_admin,
            steward_admin,
            entry: Child::none(),
            steward: Child::none(),
        });
        Ok(())
    }

    fn start_vms(&mut self, plan: &Plan) -> Result<(), Error> {
        for index in 0..plan.vms.len() {
            self.start_entry(index)?;
            self.start_steward(index)?;
        }
        Ok(())
    }

    /// Starts the entry daemon of the VM at `index`. An earlier daemon of the
    /// VM is killed.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn start_entry(&mut self, index: usize) -> Result<(), Error> {
        let id = self.vms[index].vm.id.clone();
        let child = self.spawn_daemon("entry", &id)?;
        self.vms[index].entry = child;
        Ok(())
    }

    /// Starts the steward daemon of the VM at `index`. An earlier daemon of the
    /// VM is killed.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn start_steward(&mut self, index: usize) -> Result<(), Error> {
        let id = self.vms[index].vm.id.clone();
        let child = self.spawn_daemon("steward", &id)?;
        self.vms[index].steward = child;
        Ok(())
    }

    fn spawn_daemon(&self, daemon: &str, vm: &str) -> Result<Child, Error> {
        let settings = format!("--settings={}", self.settings_path(daemon, vm).display());
        self.spawn(&format!("{daemon}-{vm}"), &[daemon.to_string(), settings])
    }

    fn settings_path(&self, daemon: &str, vm: &str) -> PathBuf {
        self.folder.join(format!("{daemon}-{vm}.toml"))
    }

    fn spawn(&self, name: &str, arguments: &[String]) -> Result<Child, Error> {
        let log = self.folder.join(format!("{name}.log"));
        Child::spawn_part(&self.program, arguments, &log)
    }

    async fn wait_healthy(&self) -> Result<(), Error> {
        let fakes = [self.platform, self.weights, self.scorer];
        let endpoints = self.endpoints.iter().map(|endpoint| endpoint.address);
        for address in fakes.into_iter().chain(endpoints) {
            self.wait_status(address, "/health", 200).await?;
        }
        for vm in &self.vms {
            self.wait_status(vm.entry_admin, "/status", 200).await?;
            self.wait_status(vm.steward_admin, "/status", 200).await?;
        }
        Ok(())
    }

    /// Waits until every entry daemon is ready for callers.
    ///
    /// # Errors
    ///
    /// When a daemon is not ready in time.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        for vm in &self.vms {
            self.wait_status(vm.entry_admin, "/ready", 200).await?;
        }
        Ok(())
    }

    /// Waits until `path` at `address` answers with `status`.
    ///
    /// # Errors
    ///
    /// When there is no such answer in time.
    pub async fn wait_status(
        &self,
        address: SocketAddr,
        path: &str,
        status: u16,
    ) -> Result<(), Error> {
        self.wait_for(address, path, |answer| answer.status == status)
            .await
            .map(|_| ())
    }

    /// Waits until `accepts` returns true for the answer of `path` at `address`,
    /// and returns that answer.
    ///
    /// # Errors
    ///
    /// When there is no such answer in time.
    pub async fn wait_for(
        &self,
        address: SocketAddr,
        path: &str,
        accepts: impl Fn(&Fetched) -> bool,
    ) -> Result<Fetched, Error> {
        let start = Instant::now();
        loop {
            let last = self.pool.fetch(address, Call::get(path)).await;
            match last {
                Ok(answer) if accepts(&answer) => return Ok(answer),
                _ if start.elapsed() < READY_TIMEOUT => monoio::time::sleep(POLL_PERIOD).await,
                last => {
                    let last_body = last.map(|answer| answer.body);
                    return Err(Error::Deployment(format!(
                        "{address}{path} did not give the expected answer in time; last answer: \
                         {last_body:?}"
                    )));
                }
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.vms.clear();
        self.endpoints.clear();
        self.fakes.clear();
        if !std::thread::panicking() && std::env::var_os(KEEP_LOGS_VARIABLE).is_none() {
            // Files that cannot be removed cost only disk space.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
