//! A run of the cider festival's deployment on loopback, with stand-ins.

mod show;
mod steps;

use std::{path::Path, time::Duration};

use fakes::deployment::{Deployment, Plan};
use miette::IntoDiagnostic;

use crate::fault::Failed;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS: usize = 6;
const ENGINES: usize = 8;
const REGISTRIES: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(55);

/// Brings the deployment up, uses it, prints a table and stops everything.
pub(crate) async fn run(tree: &Path) -> miette::Result<()> {
    monoio::select! {
        // The signal's handler must stand before the first process is started.
        biased;
        stopped = link::runtime::stop_signal() => {
            stopped.into_diagnostic()?;
            Err(Failed::new("stopped", "everything that was started is stopped too").into())
        }
        done = monoio::time::timeout(RUN_TIME, whole(tree)) => match done {
            Ok(result) => result,
            Err(_) => Err(Failed::new("the demo took too long", "run it on an idle machine").into()),
        },
    }
}

async fn whole(tree: &Path) -> miette::Result<()> {
    let program = std::env::current_exe().into_diagnostic()?;
    let plan = Plan::new(tree)
        .vms(VMS, &DOMAINS)
        .engines("tasting-notes", ENGINES, &DOMAINS)
        .services("entry-registry", REGISTRIES, &DOMAINS);
    println!("starting {VMS} VMs, {ENGINES} engines and {REGISTRIES} registries ...");
    let deployment = Deployment::start(&program, &plan).await.into_diagnostic()?;
    let rows = steps::run(&deployment).await?;
    show::table(&rows);
    Ok(())
}
