//! An endpoint of a plain service, which answers any request with a server stamp.

use std::time::Duration;

use link::{
    StatusCode,
    http::{Reply, Request},
};

use super::{
    SharedState, crashes, echo_request_id, header_text, is_cut, lock, record_arrival,
    record_connection, rejection,
};

/// The time for which a connection stays open without an answer before it is
/// closed.
const DROPPED_REPLY_DELAY: Duration = Duration::from_secs(30);

pub(super) async fn answer(state: SharedState, request: Request, id: String) -> Reply {
    record_connection(&state, &request, &id);
    let faults = record_arrival(&state, &request, &id);
    if let Some(reply) = rejection(&request, &id, &faults) {
        return reply;
    }
    let delay = take_delay(&state, request.uri.path());
    monoio::time::sleep(delay).await;
    if is_cut(&state, &request) || crashes(&state, &request, &id) {
        return Reply::cut();
    }
    if faults.dropped_replies > 0 {
        monoio::time::sleep(DROPPED_REPLY_DELAY).await;
        return Reply::cut();
    }
    let work_time = lock(&state).endpoints.get(&id).map(|e| e.work_time);
    if let Some(work_time) = work_time.filter(|time| !time.is_zero()) {
        monoio::time::sleep(work_time).await;
    }
    let request_id = header_text(&request, "request-id").unwrap_or_default();
    let reply = Reply::new(StatusCode::OK, format!("answer to {request_id}"));
    echo_request_id(&request, reply).header("server-stamp", format!("{id}.{request_id}"))
}

/// Removes the next delay of requests with `path`, and returns it.
fn take_delay(state: &SharedState, path: &str) -> Duration {
    let mut state = lock(state);
    let delays = state.delays.get_mut(path);
    delays
        .and_then(|delays| delays.pop_front())
        .unwrap_or_default()
}
