//! The platform: objects, the list of VMs, endpoint orders and usage reports,
//! on one port.

pub(crate) mod lists;
pub(crate) mod object;
pub(crate) mod order;
pub(crate) mod usage;
pub(crate) mod vm;

use std::{path::PathBuf, rc::Rc};

use clap::Parser;
use link::{
    StatusCode,
    http::{Reply, Request},
};

pub use self::{
    order::{Endpoint, State},
    vm::Vm,
};
use crate::{
    Bind, Error,
    host::{Callbacks, Host},
};

/// Settings of the platform.
#[derive(Clone, Debug, Parser)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub bind: Bind,
    /// File with the initial VMs, as TOML tables `[[vm]]`.
    #[arg(long, value_name = "FILE")]
    pub vms: Option<PathBuf>,
    /// File with the initial endpoints, as TOML tables `[[endpoint]]`.
    #[arg(long, value_name = "FILE")]
    pub endpoints: Option<PathBuf>,
    /// Allowed reads, lists and watches of objects per second.
    #[arg(long, default_value_t = 2000)]
    pub reads_per_s: u32,
    /// Allowed writes of objects per second.
    #[arg(long, default_value_t = 300)]
    pub writes_per_s: u32,
    /// Time until a change of the VMs appears in the list of VMs, in
    /// milliseconds.
    #[arg(long, default_value_t = 0)]
    pub vm_lag_ms: u64,
    /// Time from an order until the endpoint is ready, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub order_delay_ms: u64,
    /// Time that a stopped endpoint is listed as leaving, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub notice_ms: u64,
    /// Time that an endpoint is listed as gone before it becomes spare again,
    /// in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub gone_ms: u64,
    /// Cut the streams and calls of an endpoint while it is gone.
    #[arg(long)]
    pub cut_gone: bool,
    /// Initial VMs in addition to those of the file.
    #[arg(skip)]
    pub first_vms: Vec<Vm>,
    /// Initial endpoints in addition to those of the file.
    #[arg(skip)]
    pub first_endpoints: Vec<Endpoint>,
}

impl Default for Config {
    fn default() -> Self {
        Self::parse_from(["platform"])
    }
}

struct Platform {
    objects: Rc<object::Store>,
    vms: Rc<vm::List>,
    orders: Rc<order::Handler>,
    usage: usage::Reports,
}

pub(crate) fn callbacks(config: Config, host: &Rc<Host>) -> Result<Callbacks, Error> {
    let vms = lists::vms(&config)?;
    let endpoints = lists::endpoints(&config)?;
    let platform = Rc::new(Platform {
        objects: object::Store::new(host.clone(), config.reads_per_s, config.writes_per_s),
        vms: vm::List::new(vms, config.vm_lag_ms),
        orders: order::Handler::new(host.clone(), &config, endpoints),
        usage: usage::Reports::default(),
    });
    let (orders, objects) = (platform.orders.clone(), platform.objects.clone());
    Ok(Callbacks {
        answer: Box::new(move |request| {
            let platform = platform.clone();
            Box::pin(async move { platform.answer(&request).await })
        }),
        on_fault: Box::new(move |reclaim| {
            objects.wake_watches();
            if let Some(reclaim) = reclaim {
                orders.reclaim(reclaim);
            }
        }),
    })
}

impl Platform {
    async fn answer(&self, request: &Request) -> Reply {
        let segments = request.segments();
        match (request.method.as_str(), &segments[..]) {
            (_, ["v1", "objects", ..] | ["v1", "watch", _]) => self.objects.answer(request).await,
            ("GET", ["v1", "vms"]) => self.vms.get(),
            ("POST", ["v1", "vms"]) => self.vms.replace(request),
            ("POST", ["v1", "orders"]) => self.orders.submit(request),
            ("GET", ["v1", "orders"]) => self.orders.list(),
            ("GET", ["v1", "orders", key]) => self.orders.get(key),
            ("GET", ["v1", "endpoints"]) => self.orders.endpoints(request),
            ("POST", ["v1", "usage", window]) => self.usage.report(window, request),
            ("GET", ["v1", "usage", window]) => self.usage.get(window),
            ("GET", ["v1", "usage"]) => self.usage.list(),
            _ => not_found("no such call"),
        }
    }
}

fn not_found(detail: &str) -> Reply {
    Reply::error(StatusCode::NOT_FOUND, "not-found", detail)
}
