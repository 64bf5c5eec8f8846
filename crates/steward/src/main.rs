//! The binary of the steward daemon.

fn main() -> miette::Result<()> {
    link::daemon::main(
        "tarragonseam-steward",
        "Orders endpoints, loads weights on them and reports usage.",
        tarragonseam_steward::run,
    )
}
