//! The plan of a deployment: its VMs, endpoints and settings.

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use super::EndpointProcess;
use crate::Error;

/// A VM to start.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The VM's id.
    pub id: String,
    /// The failure domain.
    pub failure_domain: String,
    /// Further lines of the entry daemon's settings.
    pub entry_settings: String,
    /// Further lines of the steward daemon's settings.
    pub steward_settings: String,
}

/// An endpoint to start.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's id.
    pub id: String,
    /// The name of the model or plain service.
    pub service: String,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// The failure domain.
    pub failure_domain: String,
    /// The class, `stable` or `cheap`.
    pub class: String,
    /// Whether it is ready from the start; otherwise it is spare until an order
    /// starts it.
    pub is_ready: bool,
    /// Whether it rejects orders with an old epoch.
    pub checks_epoch: bool,
    /// Further command-line arguments of the fake.
    pub arguments: Vec<String>,
}

impl Endpoint {
    pub(super) fn arguments(&self, address: SocketAddr, weights: &str) -> Vec<String> {
        let kind = if self.is_engine { "engine" } else { "service" };
        let mut arguments = vec![
            "fakes".to_string(),
            kind.to_string(),
            format!("--listen={address}"),
            format!("--id={}", self.id),
        ];
        if self.is_engine {
            arguments.push(format!("--model={}=1", self.service));
            arguments.push(format!("--weight-store={weights}"));
            if self.checks_epoch {
                arguments.push("--checks-epoch".to_string());
            }
        } else {
            arguments.push(format!("--name={}", self.service));
        }
        arguments.extend(self.arguments.iter().cloned());
        arguments
    }
}

/// The processes and settings of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The folder with the operators' files.
    pub tree: PathBuf,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The length of a usage window.
    pub window: Duration,
    /// Further command-line arguments of the platform.
    pub platform: Vec<String>,
    /// Further command-line arguments of the weight store.
    pub weights: Vec<String>,
}

/// The length of a usage window, short enough that windows end during a test.
const USAGE_WINDOW: Duration = Duration::from_secs(2);

impl Plan {
    /// Returns a plan without VMs and endpoints for the files in `tree`.
    pub fn new(tree: impl Into<PathBuf>) -> Self {
        Self {
            tree: tree.into(),
            vms: Vec::new(),
            endpoints: Vec::new(),
            window: USAGE_WINDOW,
            platform: Vec::new(),
            weights: Vec::new(),
        }
    }

    /// Adds `count` VMs, distributed evenly over `domains`.
    pub fn vms(mut self, count: usize, domains: &[&str]) -> Self {
        for index in 0..count {
            let domain = domains[index % domains.len()];
            self.vms.push(Vm {
                id: format!("vm-{domain}{}", index / domains.len() + 1),
                failure_domain: domain.to_string(),
                entry_settings: String::new(),
                steward_settings: String::new(),
            });
        }
        self
    }

    /// Adds `count` ready engines of `model`, distributed evenly over `domains`.
    /// The first one of each failure domain is stable, the others are cheap.
    pub fn engines(self, model: &str, count: usize, domains: &[&str]) -> Self {
        self.add_endpoints(model, true, count, domains)
    }

    /// Adds `count` ready endpoints of a plain service, distributed evenly over
    /// `domains`, with classes as for engines.
    pub fn services(self, name: &str, count: usize, domains: &[&str]) -> Self {
        self.add_endpoints(name, false, count, domains)
    }

    fn add_endpoints(
        mut self,
        service: &str,
        is_engine: bool,
        count: usize,
        domains: &[&str],
    ) -> Self {
        for index in 0..count {
            let domain = domains[index % domains.len()];
            let class = match index < domains.len() {
                true => "stable",
                false => "cheap",
            };
            self.endpoints.push(Endpoint {
                id: format!("{service}-{domain}{}", index / domains.len() + 1),
                service: service.to_string(),
                is_engine,
                failure_domain: domain.to_string(),
                class: class.to_string(),
                is_ready: true,
                checks_epoch: index % 2 == 0,
                arguments: Vec::new(),
            });
        }
        self
    }
}

/// The addresses of the scorer in the example files.
const SCORER_ADDRESSES: [&str; 2] = ["127.0.0.1:7340", "127.0.0.1:7440"];

/// Copies the operators' files and replaces the scorer's address.
pub(super) fn copy_tree(from: &Path, to: &Path, scorer: SocketAddr) -> Result<PathBuf, Error> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let path = entry?.path();
        let Some(name) = path.file_name() else {
            continue;
        };
        let target = to.join(name);
        if path.is_dir() {
            copy_tree(&path, &target, scorer)?;
            continue;
        }
        let mut text = fs::read_to_string(&path)?;
        for example in SCORER_ADDRESSES {
            text = text.replace(example, &scorer.to_string());
        }
        fs::write(target, text)?;
    }
    Ok(to.to_owned())
}

pub(super) fn vms_file(vms: &[Vm], addresses: &[SocketAddr]) -> String {
    let mut out = String::new();
    for (vm, address) in vms.iter().zip(addresses) {
        // Writing to a string cannot fail.
        let _ = write!(
            out,
            "[[vm]]\nid = \"{}\"\naddress = \"{address}\"\nfailure_domain = \"{}\"\n\n",
            vm.id, vm.failure_domain
        );
    }
    out
}

pub(super) fn endpoints_file(endpoints: &[EndpointProcess]) -> String {
    let mut out = String::new();
    for EndpointProcess { plan, address, .. } in endpoints {
        let state = if plan.is_ready { "ready" } else { "spare" };
        // Writing to a string cannot fail.
        let _ = write!(
            out,
            "[[endpoint]]\nid = \"{}\"\naddress = \"{address}\"\nfailure_domain = \"{}\"\n\
             service = \"{}\"\nclass = \"{}\"\nstate = \"{state}\"\nchecks_epoch = {}\n\n",
            plan.id, plan.failure_domain, plan.service, plan.class, plan.checks_epoch
        );
    }
    out
}
