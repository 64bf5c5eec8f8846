//! The commands and their arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Parser, Subcommand};
use miette::IntoDiagnostic;

use crate::{demo, diff, explain, files, keys, publish, snapshot, status, trace};

/// Operates a deployment of tarragonseam.
#[derive(Debug, Parser)]
#[command(name = "tarragonseam", version)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks the files below a folder without publishing them.
    Check {
        /// The folder that holds the services' code.
        tree: PathBuf,
    },
    /// Collects the files below a folder, checks the whole and puts it in
    /// force.
    Publish {
        /// The folder that holds the services' code.
        tree: PathBuf,
        #[command(flatten)]
        base: Base,
        #[command(flatten)]
        platform: Platform,
    },
    /// Shows what publishing the files below a folder would change.
    Diff {
        /// The folder that holds the services' code.
        tree: PathBuf,
        #[command(flatten)]
        platform: Platform,
    },
    /// Tells what became of an id, from logs; or why a VM would refuse a
    /// request, or where it would send it.
    #[command(group = clap::ArgGroup::new("subject").required(true).args(["id", "key", "path"]))]
    Explain {
        /// The id of a request, an item, a job or an endpoint.
        id: Option<String>,
        /// Files with logs of VMs; standard input if there are none.
        #[arg(requires = "id")]
        logs: Vec<PathBuf>,
        /// The VM's address for peers.
        #[arg(long, required_unless_present = "id")]
        vm: Option<SocketAddr>,
        /// A key, or its digest.
        #[arg(long)]
        key: Option<String>,
        /// The path of a request.
        #[arg(long)]
        path: Option<String>,
    },
    /// Shows what VMs know.
    Status {
        /// Peer addresses of VMs; those that the platform lists by default.
        #[arg(long)]
        vm: Vec<SocketAddr>,
        #[command(flatten)]
        platform: Platform,
    },
    /// Keeps what the platform holds for the system as one file.
    #[command(subcommand)]
    Snapshot(Snapshot),
    /// Brings the cider festival's deployment up with stand-ins, uses it and
    /// shows what came back.
    Demo {
        /// The folder with the operators' files.
        #[arg(long, default_value = "examples/cider-festival")]
        tree: PathBuf,
    },
    /// Runs one process of a deployment, for the demo and for tests.
    #[command(hide = true, subcommand)]
    Part(Process),
    /// Issues and withdraws callers' keys.
    #[command(subcommand)]
    Key(Key),
}

#[derive(Debug, Subcommand)]
enum Key {
    /// Issues a key for a client account and prints it once.
    Issue {
        /// The client account.
        account: String,
        #[command(flatten)]
        platform: Platform,
    },
    /// Withdraws a key for good.
    Withdraw {
        /// The key, or its digest.
        key: String,
        #[command(flatten)]
        platform: Platform,
    },
}

#[derive(Debug, Subcommand)]
enum Snapshot {
    /// Reads configuration, digests of keys, leases, weights in force and
    /// windows of usage into a file.
    Save {
        /// The file to write.
        file: PathBuf,
        #[command(flatten)]
        platform: Platform,
    },
    /// Shows what a file holds.
    Show {
        /// The file.
        file: PathBuf,
    },
    /// Shows in what the platform differs from a file.
    Diff {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        platform: Platform,
    },
    /// Publishes the configuration of a file as a new revision.
    Restore {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        base: Base,
        #[command(flatten)]
        platform: Platform,
    },
}

#[derive(Debug, Subcommand)]
enum Process {
    /// The entry daemon.
    Entry {
        #[arg(long)]
        settings: PathBuf,
    },
    /// The steward daemon.
    Steward {
        #[arg(long)]
        settings: PathBuf,
    },
    /// A stand-in.
    #[command(subcommand)]
    Fakes(fakes::Config),
}

#[derive(Debug, clap::Args)]
pub(crate) struct Platform {
    /// The address of the platform.
    #[arg(long = "platform", value_name = "ADDRESS")]
    pub(crate) address: SocketAddr,
}

#[derive(Debug, clap::Args)]
pub(crate) struct Base {
    /// The revision that the files were written from: refuses to publish when
    /// another one is in force.
    #[arg(long = "base", value_name = "REVISION")]
    pub(crate) revision: Option<u64>,
}

/// Runs one command.
///
/// # Errors
///
/// A report that says what is wrong, where, and what to do.
pub fn run(arguments: Arguments) -> miette::Result<()> {
    match arguments.command {
        Command::Check { tree } => {
            let files = files::load(&tree)?;
            println!("{} files are good", files.parts.len());
            Ok(())
        }
        Command::Publish {
            tree,
            base,
            platform,
        } => {
            let files = files::load(&tree)?;
            block_on(publish::run(&platform, files, base))
        }
        Command::Diff { tree, platform } => {
            let files = files::load(&tree)?;
            block_on(diff::run(&platform, files))
        }
        Command::Explain {
            id: Some(id), logs, ..
        } => trace::run(&id, &logs),
        Command::Explain { vm, key, path, .. } => match vm {
            Some(vm) => block_on(explain::run(vm, key, path)),
            // The arguments ask for one or the other.
            None => Ok(()),
        },
        Command::Status { vm, platform } => block_on(status::run(&platform, vm)),
        Command::Snapshot(command) => run_snapshot(command),
        Command::Demo { tree } => block_on(demo::run(&tree)),
        Command::Part(process) => run_process(process),
        Command::Key(Key::Issue { account, platform }) => block_on(keys::issue(&platform, account)),
        Command::Key(Key::Withdraw { key, platform }) => block_on(keys::withdraw(&platform, key)),
    }
}

fn run_snapshot(command: Snapshot) -> miette::Result<()> {
    match command {
        Snapshot::Save { file, platform } => block_on(snapshot::save(&platform, &file)),
        Snapshot::Show { file } => snapshot::show(&file),
        Snapshot::Diff { file, platform } => block_on(snapshot::diff(&platform, &file)),
        Snapshot::Restore {
            file,
            base,
            platform,
        } => block_on(snapshot::restore(&platform, &file, base)),
    }
}

fn run_process(process: Process) -> miette::Result<()> {
    match process {
        Process::Entry { settings } => {
            link::daemon::run("tarragonseam-entry", &settings, entry::run)
        }
        Process::Steward { settings } => {
            link::daemon::run("tarragonseam-steward", &settings, steward::run)
        }
        Process::Fakes(config) => fakes::serve(config).into_diagnostic(),
    }
}

fn block_on(future: impl Future<Output = miette::Result<()>>) -> miette::Result<()> {
    link::runtime::run(future).into_diagnostic()?
}
