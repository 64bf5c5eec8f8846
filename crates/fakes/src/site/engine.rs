//! A model engine: series of events, and orders to load weights.

use std::time::Duration;

use link::{
    Bytes, Method, StatusCode,
    http::{
        Reply, Request,
        server::{Part, Sender},
    },
};
use serde_json::{Value, json};

use super::{MODEL, Shared, arrive, echo, lock, refusal, text};

/// The events of a text whose request names no other number.
const EVENTS: u64 = 5;

/// Returns the data of event `number` of the item `id`.
///
/// # Examples
///
/// ```
/// assert_eq!(tarragonseam_fakes::site::event_text("a", 2), "a/2");
/// ```
pub fn event_text(id: &str, number: u64) -> String {
    format!("{id}/{number}")
}

pub(super) async fn answer(world: Shared, request: Request, id: String, time: Duration) -> Reply {
    match (&request.method, request.uri.path()) {
        (&Method::GET, "/report") => report(&world, &id),
        (&Method::POST, "/order") => order(&world, &request, &id),
        _ => generate(&world, &request, &id, time),
    }
}

fn report(world: &Shared, id: &str) -> Reply {
    let world = lock(world);
    let Some(endpoint) = world.endpoints.get(id) else {
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

fn order(world: &Shared, request: &Request, id: &str) -> Reply {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    let mut world = lock(world);
    let Some(endpoint) = world.endpoints.get_mut(id) else {
        return Reply::new(StatusCode::NOT_FOUND, "");
    };
    let epoch = body["fence"].as_u64().unwrap_or_default();
    if epoch < endpoint.epoch {
        return Reply::new(StatusCode::PRECONDITION_FAILED, "");
    }
    endpoint.epoch = epoch;
    let is_next = body["precondition"]
        .as_u64()
        .is_none_or(|orders| orders == endpoint.orders);
    if !is_next {
        return Reply::new(StatusCode::CONFLICT, "");
    }
    endpoint.orders += 1;
    let model = body["model"].as_str().unwrap_or_default().to_string();
    endpoint
        .versions
        .insert(model, body["version"].as_u64().unwrap_or_default());
    world.announce(id, "ready");
    Reply::new(StatusCode::ACCEPTED, "")
}

fn generate(world: &Shared, request: &Request, id: &str, time: Duration) -> Reply {
    let faults = arrive(world, request, id);
    if let Some(reply) = refusal(request, id, &faults) {
        return reply;
    }
    if faults.dropped_replies > 0 {
        return Reply::cut();
    }
    let version = {
        let world = lock(world);
        let endpoint = world.endpoints.get(id);
        endpoint
            .and_then(|endpoint| endpoint.versions.get(MODEL).copied())
            .unwrap_or_default()
    };
    let item = text(request, "request-id").unwrap_or_default();
    let number = |name| request.header(name).and_then(|text| text.parse().ok());
    let first = number("last-event-id").map_or(0, |last: u64| last + 1);
    let last = number("x-events").unwrap_or(EVENTS);
    let cut = faults.cut_after;
    let reply = Reply::produced(StatusCode::OK, move |sender| async move {
        write(sender, &item, first..last, cut, time).await;
    });
    echo(request, reply)
        .header("content-type", "text/event-stream")
        .header("weight-versions", version.to_string())
        .header("server-stamp", format!("{id}.stamp"))
}

async fn write(
    sender: Sender,
    item: &str,
    events: std::ops::Range<u64>,
    cut: Option<u64>,
    time: Duration,
) {
    for number in events {
        monoio::time::sleep(time).await;
        let event = format!("id: {number}\ndata: {}\n\n", event_text(item, number));
        if sender.send(Part::Data(Bytes::from(event))).await.is_err() || cut == Some(number) {
            return;
        }
    }
    // A caller that left needs no end.
    let _ = sender.send(Part::End).await;
}
