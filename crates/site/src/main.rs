//! The process of one VM on the users' platform.

use miette::IntoDiagnostic;

fn main() -> miette::Result<()> {
    link::log::start_on(link::log::StdStream::Stdout, "tarragonseam-vm").into_diagnostic()?;
    tarragonseam_site::run().into_diagnostic()
}
