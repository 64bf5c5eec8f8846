//! A model engine, which streams events and accepts orders to load weights.

use std::time::Duration;

use link::{
    Bytes, Method, StatusCode,
    http::{
        Reply, Request,
        server::{Part, Sender},
    },
};
use serde_json::{Value, json};

use super::{
    MODEL, SOFTWARE, SharedState, crashes, echo_request_id, header_text, lock, record_arrival,
    record_connection, record_control_call, rejection,
};

/// The number of events of a stream whose request names none.
const EVENTS_DEFAULT: u64 = 5;
/// The path of orders.
pub(super) const ORDER_PATH: &str = "/order";

/// Returns the data of the event `number` in the stream for the item `id`.
///
/// # Examples
///
/// ```
/// assert_eq!(tarragonseam_fakes::site::event_text("a", 2), "a/2");
/// ```
pub fn event_text(id: &str, number: u64) -> String {
    format!("{id}/{number}")
}

/// Returns the version of the software that produced an event with this data.
///
/// # Examples
///
/// ```
/// use tarragonseam_fakes::site;
///
/// assert_eq!(site::event_software(&site::event_text("a", 2)), site::SOFTWARE);
/// assert_eq!(site::event_software("a/2@v2"), "v2");
/// ```
pub fn event_software(data: &str) -> &str {
    data.split_once('@')
        .map_or(SOFTWARE, |(_, software)| software)
}

pub(super) async fn answer(
    state: SharedState,
    request: Request,
    id: String,
    time: Duration,
) -> Reply {
    record_connection(&state, &request, &id);
    let reply = match (&request.method, request.uri.path()) {
        (&Method::GET, "/report") => {
            record_control_call(&state, &request, &id);
            report(&state, &id)
        }
        (&Method::POST, ORDER_PATH) => {
            record_control_call(&state, &request, &id);
            order(&state, &request, &id)
        }
        _ => return generate(&state, &request, &id, time),
    };
    match lock(&state).repeats_order_ids {
        true => echo_request_id(&request, reply),
        false => reply,
    }
}

fn report(state: &SharedState, id: &str) -> Reply {
    let state = lock(state);
    let Some(endpoint) = state.endpoints.get(id) else {
        return Reply::new(StatusCode::NOT_FOUND, "");
    };
    let models = endpoint.versions.iter();
    let models = models.map(|(name, version)| json!({"name": name, "version": version}));
    let report = json!({
        "models": models.collect::<Vec<Value>>(),
        "busy": false,
        "seq": endpoint.orders,
        "num-running": 0,
    });
    Reply::json(StatusCode::OK, &report)
}

fn order(state: &SharedState, request: &Request, id: &str) -> Reply {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    let mut state = lock(state);
    let ignores_epochs = state.ignores_epochs;
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return Reply::new(StatusCode::NOT_FOUND, "");
    };
    let epoch = body["fence"].as_u64().unwrap_or_default();
    if !ignores_epochs && epoch < endpoint.epoch {
        return Reply::new(StatusCode::PRECONDITION_FAILED, "");
    }
    endpoint.epoch = epoch;
    let is_precondition_met = body["precondition"]
        .as_u64()
        .is_none_or(|orders| orders == endpoint.orders);
    if !is_precondition_met {
        return Reply::new(StatusCode::CONFLICT, "");
    }
    endpoint.orders += 1;
    let model = body["model"].as_str().unwrap_or_default().to_string();
    endpoint
        .versions
        .insert(model, body["version"].as_u64().unwrap_or_default());
    state.announce(id, "ready");
    Reply::new(StatusCode::ACCEPTED, "")
}

fn generate(state: &SharedState, request: &Request, id: &str, time: Duration) -> Reply {
    let faults = record_arrival(state, request, id);
    if let Some(reply) = rejection(request, id, &faults) {
        return reply;
    }
    if faults.dropped_replies > 0 || crashes(state, request, id) {
        return Reply::cut();
    }
    let (version, software) = {
        let state = lock(state);
        let endpoint = state.endpoints.get(id);
        let version = endpoint.and_then(|endpoint| endpoint.versions.get(MODEL).copied());
        let software = endpoint.map_or(SOFTWARE, |endpoint| endpoint.software);
        (version.unwrap_or_default(), software)
    };
    let item = header_text(request, "request-id").unwrap_or_default();
    let number = |name| request.header(name).and_then(|value| value.parse().ok());
    let first = number("last-event-id").map_or(0, |last: u64| last + 1);
    let end = number("x-events").unwrap_or(EVENTS_DEFAULT);
    let cut = faults.cut_after;
    let guard = StreamGuard::new(state);
    let reply = Reply::produced(StatusCode::OK, move |sender| async move {
        let data = |number| match software {
            SOFTWARE => event_text(&item, number),
            _ => format!("{}@{software}", event_text(&item, number)),
        };
        let _guard = guard;
        write_events(sender, data, first..end, cut, time).await;
    });
    echo_request_id(request, reply)
        .header("content-type", "text/event-stream")
        .header("weight-versions", version.to_string())
        .header("server-stamp", format!("{id}.stamp"))
}

/// Counts a stream as open until it is dropped.
struct StreamGuard(SharedState);

impl StreamGuard {
    fn new(state: &SharedState) -> Self {
        lock(state).open_streams += 1;
        Self(state.clone())
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        lock(&self.0).open_streams -= 1;
    }
}

async fn write_events(
    sender: Sender,
    data: impl Fn(u64) -> String,
    events: std::ops::Range<u64>,
    cut: Option<u64>,
    time: Duration,
) {
    for number in events {
        monoio::time::sleep(time).await;
        let event = format!("id: {number}\ndata: {}\n\n", data(number));
        if sender.send(Part::Data(Bytes::from(event))).await.is_err() || cut == Some(number) {
            return;
        }
    }
    // If the caller has closed the connection, no end is sent.
    let _ = sender.send(Part::End).await;
}
