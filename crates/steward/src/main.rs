//! The steward daemon.

fn main() -> miette::Result<()> {
    link::daemon::main(
        "tarragonseam-steward",
        "Orders endpoints, puts weights in force and reports usage.",
        tarragonseam_steward::run,
    )
}
