//! Why a request would be refused on a VM.

use std::{net::SocketAddr, time::Duration};

use board::key::Digest;
use link::peer;
use wire::{Request, Response, message::Subject};

use crate::fault::Failed;

const ASK_TIME: Duration = Duration::from_secs(2);

/// Prints what the VM at `vm` would do with a key, or with a path.
pub(crate) async fn run(
    vm: SocketAddr,
    key: Option<String>,
    path: Option<String>,
) -> miette::Result<()> {
    let subject = match (key, path) {
        (Some(key), _) => Subject::Key(key.parse().unwrap_or_else(|_| Digest::of(&key))),
        (None, path) => Subject::Path(path.unwrap_or_default()),
    };
    match peer::request(vm, &Request::Explain(subject), ASK_TIME).await {
        Ok(Response::Explanation(lines)) => {
            for line in lines {
                println!("{line}");
            }
            Ok(())
        }
        Ok(_) => Err(Failed::new(
            "the VM gave another answer",
            "it may run another release of tarragonseam",
        )
        .into()),
        Err(e) => Err(Failed::new(
            format!("{vm}: {e}"),
            "give the VM's setting 'peers', and see whether its entry daemon runs",
        )
        .into()),
    }
}
