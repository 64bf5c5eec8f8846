//! `explain --key` and `explain --path`: how a VM would handle a request.

use std::{net::SocketAddr, time::Duration};

use board::key::Digest;
use link::peer;
use wire::{Request, Response, message::Subject};

use crate::error::Failure;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints whether the VM at `vm` would accept `key`, or where it would route
/// `path`.
pub(crate) async fn run(
    vm: SocketAddr,
    key: Option<String>,
    path: Option<String>,
) -> miette::Result<()> {
    let subject = match (key, path) {
        (Some(key), _) => Subject::Key(key.parse().unwrap_or_else(|_| Digest::of(&key))),
        (None, path) => Subject::Path(path.unwrap_or_default()),
    };
    match peer::request(vm, &Request::Explain(subject), REQUEST_TIMEOUT).await {
        Ok(Response::Explanation(lines)) => {
            for line in lines {
                println!("{line}");
            }
            Ok(())
        }
        Ok(_) => Err(Failure::new(
            "the VM sent an unexpected response",
            "the VM may run another release of tarragonseam",
        )
        .into()),
        Err(e) => Err(Failure::new(
            format!("{vm}: {e}"),
            "pass the address in the VM's setting 'peers'; check that its entry daemon runs",
        )
        .into()),
    }
}
