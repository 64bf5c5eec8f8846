//! An endpoint of a plain service: one signed answer to any request.

use std::time::Duration;

use link::{
    StatusCode,
    http::{Reply, Request},
};

use super::{Shared, arrive, echo, refusal, text};

/// How long an answer is withheld that never comes.
const WITHHELD_TIME: Duration = Duration::from_secs(30);

pub(super) async fn answer(world: Shared, request: Request, id: String) -> Reply {
    let faults = arrive(&world, &request, &id);
    if let Some(reply) = refusal(&request, &id, &faults) {
        return reply;
    }
    if faults.dropped_replies > 0 {
        monoio::time::sleep(WITHHELD_TIME).await;
        return Reply::cut();
    }
    let request_id = text(&request, "request-id").unwrap_or_default();
    let reply = Reply::new(StatusCode::OK, format!("answer to {request_id}"));
    echo(&request, reply).header("server-stamp", format!("{id}.{request_id}"))
}
