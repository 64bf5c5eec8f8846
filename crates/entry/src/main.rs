//! The binary of the entry daemon.

fn main() -> miette::Result<()> {
    link::daemon::main(
        "tarragonseam-entry",
        "Answers callers and trainers of one VM.",
        tarragonseam_entry::run,
    )
}
