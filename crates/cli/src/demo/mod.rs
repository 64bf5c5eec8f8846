//! `demo`: runs the example deployment on the loopback interface, with a fake
//! platform, engines and services.

mod steps;
mod table;

use std::{path::Path, time::Duration};

use fakes::deployment::{Deployment, Plan};
use miette::IntoDiagnostic;

use crate::error::Failure;

const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
const VM_COUNT: usize = 6;
const ENGINE_COUNT: usize = 8;
const REGISTRY_COUNT: usize = 3;
const RUN_TIME_MAX: Duration = Duration::from_secs(55);

/// Starts the deployment, sends requests to it, prints a table of the results
/// and stops all processes.
pub(crate) async fn run(tree: &Path) -> miette::Result<()> {
    monoio::select! {
        // The branches are polled in order, so that the signal handler is
        // installed before the first process is started.
        biased;
        stopped = link::runtime::stop_signal() => {
            stopped.into_diagnostic()?;
            Err(Failure::new("stopped", "all processes of the demo are stopped too").into())
        }
        finished = monoio::time::timeout(RUN_TIME_MAX, run_deployment(tree)) => match finished {
            Ok(result) => result,
            Err(_) => Err(Failure::new("the demo timed out", "run it on an idle host").into()),
        },
    }
}

async fn run_deployment(tree: &Path) -> miette::Result<()> {
    let program = std::env::current_exe().into_diagnostic()?;
    let plan = Plan::new(tree)
        .vms(VM_COUNT, &FAILURE_DOMAINS)
        .engines("tasting-notes", ENGINE_COUNT, &FAILURE_DOMAINS)
        .services("entry-registry", REGISTRY_COUNT, &FAILURE_DOMAINS);
    println!("starting {VM_COUNT} VMs, {ENGINE_COUNT} engines and {REGISTRY_COUNT} registries ...");
    let deployment = Deployment::start(&program, &plan).await.into_diagnostic()?;
    let rows = steps::run(&deployment).await?;
    table::print(&rows);
    Ok(())
}
