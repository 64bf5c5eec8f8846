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
    /// Checks the configuration files below a folder without publishing them.
    Check {
        /// The folder with the services' code and configuration files.
        tree: PathBuf,
    },
    /// Checks the configuration files below a folder and publishes them as a
    /// new revision.
    Publish {
        /// The folder with the services' code and configuration files.
        tree: PathBuf,
        #[command(flatten)]
        base: Base,
        #[command(flatten)]
        platform: Platform,
    },
    /// Shows what publishing the configuration files below a folder would
    /// change.
    Diff {
        /// The folder with the services' code and configuration files.
        tree: PathBuf,
        #[command(flatten)]
        platform: Platform,
    },
    /// Shows the history of an id from logs, or whether a VM would accept a
    /// key, or where it would route a path.
    #[command(group = clap::ArgGroup::new("subject").required(true).args(["id", "key", "path"]))]
    Explain {
        /// The id of a request, an item, a job or an endpoint.
        id: Option<String>,
        /// Log files of VMs; standard input if none is given.
        #[arg(requires = "id")]
        logs: Vec<PathBuf>,
        /// The peer address of the VM.
        #[arg(long, required_unless_present = "id")]
        vm: Option<SocketAddr>,
        /// A key, or its digest.
        #[arg(long)]
        key: Option<String>,
        /// The path of a request.
        #[arg(long)]
        path: Option<String>,
    },
    /// Shows a summary of the state that each VM knows.
    Status {
        /// Peer addresses of VMs; by default those of all VMs that the platform
        /// lists.
        #[arg(long)]
        vm: Vec<SocketAddr>,
        #[command(flatten)]
        platform: Platform,
    },
    /// Saves the objects that the platform stores for a deployment to a file,
    /// and restores the configuration from it.
    #[command(subcommand)]
    Snapshot(Snapshot),
    /// Starts the example deployment with a fake platform, engines and
    /// services, sends requests to it and prints the results.
    Demo {
        /// The folder with the configuration files.
        #[arg(long, default_value = "examples/cider-festival")]
        tree: PathBuf,
    },
    /// Runs one process of a deployment, for the demo and for tests.
    #[command(hide = true, subcommand)]
    Part(Process),
    /// Issues and withdraws keys of callers.
    #[command(subcommand)]
    Key(Key),
}

#[derive(Debug, Subcommand)]
enum Key {
    /// Issues a key for a client account and prints it. The platform stores
    /// only its digest.
    Issue {
        /// The client account.
        account: String,
        #[command(flatten)]
        platform: Platform,
    },
    /// Withdraws a key permanently.
    Withdraw {
        /// The key, or its digest.
        key: String,
        #[command(flatten)]
        platform: Platform,
    },
}

#[derive(Debug, Subcommand)]
enum Snapshot {
    /// Saves the configuration, digests of keys, leases, order intents, weights
    /// in force and usage windows to a file.
    Save {
        /// The file to write.
        file: PathBuf,
        #[command(flatten)]
        platform: Platform,
    },
    /// Shows the content of a snapshot.
    Show {
        /// The snapshot.
        file: PathBuf,
    },
    /// Shows the difference between a snapshot and the platform.
    Diff {
        /// The snapshot.
        file: PathBuf,
        #[command(flatten)]
        platform: Platform,
    },
    /// Publishes the configuration of a snapshot as a new revision.
    Restore {
        /// The snapshot.
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
    /// A fake platform, engine or service.
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
    /// The revision that the files are based on. Publishing fails if another
    /// revision is in force.
    #[arg(long = "base", value_name = "REVISION")]
    pub(crate) revision: Option<u64>,
}

/// Runs one command.
///
/// # Errors
///
/// A report with the problem, its position in a file if it has one, and advice.
pub fn run(arguments: Arguments) -> miette::Result<()> {
    match arguments.command {
        Command::Check { tree } => {
            let files = files::load(&tree)?;
            println!("{} files are valid", files.parts.len());
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
            // The parser requires `--vm` if there is no id.
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
