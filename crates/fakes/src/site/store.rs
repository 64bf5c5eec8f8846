//! The object store: lists, watches and conditional writes.

use std::time::{Duration, Instant};

use link::{
    Method, StatusCode,
    http::{Reply, Request},
};
use serde_json::{Value, json};

use super::{Fault, SharedState, State, lock};
use crate::target;

/// A change of an object, as watches report it.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    revision: u64,
    kind: String,
    object: Value,
    is_removal: bool,
}

/// The maximum size of a request body, and the size at which a page of a list
/// ends.
const OBJECT_BYTES_MAX: usize = 1024 * 1024;
/// The period at which a watch checks for changes.
const WATCH_POLL_PERIOD: Duration = Duration::from_millis(5);

pub(super) async fn answer(state: SharedState, request: Request) -> Reply {
    let fault = {
        let mut state = lock(&state);
        let kind = request.segments().get(1).copied().unwrap_or_default();
        let call = format!("{} {kind}", request.method);
        *state.calls.entry(call).or_default() += 1;
        state.fault
    };
    if fault == Fault::Unavailable {
        return Reply::new(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    if let Fault::FailedWriteOf(kind) = fault
        && is_write_of(&request, kind)
    {
        lock(&state).fault = Fault::None;
        return Reply::new(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    if let Some(delay) = write_delay(fault, &request) {
        // A task of its own, since the caller may close the connection.
        let write = monoio::spawn(async move {
            monoio::time::sleep(delay).await;
            lock(&state).handle(&request);
        });
        write.await;
        return Reply::cut();
    }
    if let Fault::SlowWritesOf(kind, delay) = fault
        && is_write_of(&request, kind)
    {
        monoio::time::sleep(delay).await;
    }
    let watch = request.query("watch").and_then(|value| value.parse().ok());
    let reply = match watch {
        Some(from) => watch_from(&state, &request, from).await,
        None => lock(&state).handle(&request),
    };
    let is_dropped = match fault {
        Fault::DroppedReplies => true,
        Fault::LostWriteOf(kind) => {
            let is_lost = is_write_of(&request, kind);
            if is_lost {
                lock(&state).fault = Fault::Unavailable;
            }
            is_lost
        }
        Fault::DroppedRepliesOf(kind) => request.segments().get(1) == Some(&kind),
        _ => false,
    };
    match fault {
        _ if is_dropped => Reply::cut(),
        Fault::ExecutedWithStatus(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            Reply::new(status, "")
        }
        _ => reply,
    }
}

fn is_write_of(request: &Request, kind: &str) -> bool {
    request.segments().get(1) == Some(&kind) && request.method != Method::GET
}

/// Returns how much later a write is executed.
fn write_delay(fault: Fault, request: &Request) -> Option<Duration> {
    let delay = match fault {
        Fault::LateWrites(delay) => delay,
        Fault::LateWritesOf(kind, delay) if request.segments().get(1) == Some(&kind) => delay,
        _ => return None,
    };
    (request.method != Method::GET).then_some(delay)
}

async fn watch_from(state: &SharedState, request: &Request, from: u64) -> Reply {
    let kind = request
        .segments()
        .get(1)
        .map(|kind| kind.to_string())
        .unwrap_or_default();
    let wait = request
        .query("wait-ms")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait);
    loop {
        {
            let state = lock(state);
            if from < state.compacted_revision {
                return Reply::new(StatusCode::GONE, "");
            }
            let changes = state
                .log
                .iter()
                .filter(|c| c.revision > from && c.kind == kind);
            let events: Vec<Value> = changes
                .map(|c| json!({"object": c.object, "removed": c.is_removal}))
                .collect();
            let should_answer = !events.is_empty() && state.fault != Fault::SilentWatches;
            if should_answer {
                return Reply::json(
                    StatusCode::OK,
                    &json!({"events": events, "as-of": state.revision}),
                );
            }
            if Instant::now() >= deadline {
                // The revision stays at `from`, so that the next watch reports
                // the changes that a silent watch has withheld.
                let events: [Value; 0] = [];
                return Reply::json(StatusCode::OK, &json!({"events": events, "as-of": from}));
            }
        }
        monoio::time::sleep(WATCH_POLL_PERIOD).await;
    }
}

impl State {
    /// Writes the object `name` of `kind`, whether or not it exists.
    pub fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let key = (kind.to_string(), name.to_string());
        let status = self
            .objects
            .get(&key)
            .map_or(Value::Null, |old| old["status"].clone());
        self.set(key, spec, status);
    }

    /// Removes the object `name` of `kind`.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_string(), name.to_string());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.log_change(kind, object, true);
        }
    }

    /// Returns the spec of the object `name` of `kind`.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_string(), name.to_string());
        self.objects.get(&key).map(|object| object["spec"].clone())
    }

    /// Returns the status of the object `name` of `kind`.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_string(), name.to_string());
        self.objects
            .get(&key)
            .map(|object| object["status"].clone())
    }

    /// Returns the names of the objects of `kind`.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let keys = self
            .objects
            .keys()
            .filter(|(other_kind, _)| other_kind == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    /// Drops the history of changes, so that watches from an older revision get
    /// 410 and must list again.
    pub fn compact_history(&mut self) {
        self.revision += 1;
        self.compacted_revision = self.revision;
        self.log.clear();
    }

    fn set(&mut self, key: (String, String), spec: Value, status: Value) -> Value {
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |old| {
            old["metadata"]["created"].as_u64().unwrap_or_default()
        });
        let metadata = json!({
            "name": key.1, "rev": self.revision, "created": created,
            "finalizers": [], "deleting": false,
        });
        let object = json!({"metadata": metadata, "spec": spec, "status": status});
        let kind = key.0.clone();
        self.objects.insert(key, object.clone());
        self.log_change(&kind, object.clone(), false);
        object
    }

    fn log_change(&mut self, kind: &str, object: Value, is_removal: bool) {
        self.log.push(Change {
            revision: self.revision,
            kind: kind.to_string(),
            object,
            is_removal,
        });
    }

    fn handle(&mut self, request: &Request) -> Reply {
        if request.body.len() > OBJECT_BYTES_MAX {
            return Reply::new(StatusCode::PAYLOAD_TOO_LARGE, "");
        }
        let segments: Option<Vec<String>> =
            request.segments().into_iter().map(target::decode).collect();
        let after = request.query("after").map(target::decode_query);
        let (Some(segments), None | Some(Some(_))) = (segments, &after) else {
            return Reply::new(StatusCode::BAD_REQUEST, "");
        };
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match (&request.method, &*segments) {
            (&Method::GET, ["objects", kind]) => self.list(kind, after.flatten().as_deref()),
            (&Method::POST, ["objects", kind]) => self.create(kind, body),
            (&Method::GET, ["objects", kind, name]) => self.read(kind, name),
            (&Method::PUT, ["objects", kind, name]) => self.replace(kind, name, body),
            (&Method::PUT, ["objects", kind, name, "status"]) => self.set_status(kind, name, body),
            (&Method::DELETE, ["objects", kind, name]) => {
                self.remove(kind, name);
                Reply::json(StatusCode::OK, &json!({}))
            }
            _ => Reply::new(StatusCode::NOT_FOUND, ""),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Reply {
        let objects = self.objects.iter().filter(|((other_kind, name), _)| {
            other_kind == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let objects: Vec<&Value> = objects.map(|(_, object)| object).collect();
        let page_length = self.page_length.unwrap_or(usize::MAX);
        let (mut count, mut bytes) = (0, 0);
        let fits = |object: &&&Value| {
            count += 1;
            bytes += object.to_string().len();
            count == 1 || count <= page_length && bytes <= OBJECT_BYTES_MAX
        };
        let items: Vec<&&Value> = objects.iter().take_while(fits).collect();
        let has_more = items.len() < objects.len();
        let page = json!({"items": items, "more-pages": has_more, "as-of": self.revision});
        Reply::json(StatusCode::OK, &page)
    }

    fn read(&self, kind: &str, name: &str) -> Reply {
        let key = (kind.to_string(), name.to_string());
        match self.objects.get(&key) {
            Some(object) => Reply::json(StatusCode::OK, object),
            None => Reply::new(StatusCode::NOT_FOUND, ""),
        }
    }

    fn create(&mut self, kind: &str, mut body: Value) -> Reply {
        let name = body["metadata"]["name"]
            .as_str()
            .unwrap_or_default()
            .to_string();
        let key = (kind.to_string(), name);
        if let Some(existing) = self.objects.get(&key) {
            return Reply::json(StatusCode::CONFLICT, existing);
        }
        let object = self.set(key, body["spec"].take(), Value::Null);
        Reply::json(StatusCode::OK, &object)
    }

    fn replace(&mut self, kind: &str, name: &str, mut body: Value) -> Reply {
        let key = (kind.to_string(), name.to_string());
        let Some(existing) = self.objects.get(&key) else {
            return Reply::new(StatusCode::NOT_FOUND, "");
        };
        let expected = body["metadata"]["rev"].as_u64();
        if expected.is_some_and(|rev| existing["metadata"]["rev"] != rev) {
            return Reply::json(StatusCode::CONFLICT, existing);
        }
        let status = existing["status"].clone();
        let object = self.set(key, body["spec"].take(), status);
        Reply::json(StatusCode::OK, &object)
    }

    fn set_status(&mut self, kind: &str, name: &str, mut body: Value) -> Reply {
        let key = (kind.to_string(), name.to_string());
        let Some(existing) = self.objects.get(&key) else {
            return Reply::new(StatusCode::NOT_FOUND, "");
        };
        let spec = existing["spec"].clone();
        let object = self.set(key, spec, body["status"].take());
        Reply::json(StatusCode::OK, &object)
    }
}
