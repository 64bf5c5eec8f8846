//! The platform's store: objects by kind and name, with one revision counter.
use crate::http::{self, Request};
use serde_json::{json, value::RawValue, Value};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const VALUE_BYTES: usize = 1_048_576;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How soon a watch that waits is turned away too.
const WATCH_STEP: Duration = Duration::from_millis(20);

struct Object {
    rev: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn encode(&self, name: &str) -> String {
        let metadata = json!({"name": name, "rev": self.rev, "created": self.created, "finalizers": [], "deleting": false});
        format!(r#"{{"metadata":{metadata},"spec":{},"status":{}}}"#, self.spec, self.status)
    }
}

#[derive(Default)]
struct State {
    rev: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Revision, kind and encoded event.
    log: Vec<(u64, String, String)>,
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// The status with which the store turns a call away at this moment; `None` to serve it.
pub type Filter = dyn Fn(&Request) -> Option<u16> + Send + Sync;

impl Default for Store {
    fn default() -> Self {
        let state = State { rev: 100, ..State::default() };
        Self(Arc::new((Mutex::new(state), Condvar::new())))
    }
}

impl Store {
    /// Creates or replaces an object, as the operator, a server or a trainer does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        let mut state = self.0 .0.lock().unwrap();
        let (status, created) = match state.kinds.get(kind).and_then(|k| k.get(name)) {
            Some(known) => (known.status.clone(), known.created),
            None => ("null".to_string(), state.rev + 1),
        };
        set(&mut state, kind, name, Object { rev: 0, created, spec: spec.to_string(), status });
        self.0 .1.notify_all();
        state.rev
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.0 .0.lock().unwrap();
        drop_object(&mut state, kind, name);
        self.0 .1.notify_all();
    }

    /// Returns the specs of a kind.
    pub fn specs(&self, kind: &str) -> Vec<(String, Value)> {
        let state = self.0 .0.lock().unwrap();
        let objects = state.kinds.get(kind).into_iter().flatten();
        objects
            .map(|(name, object)| (name.clone(), serde_json::from_str(&object.spec).unwrap_or_default()))
            .collect()
    }

    pub fn serve(&self, address: SocketAddr, filter: Arc<Filter>) -> io::Result<()> {
        let store = self.clone();
        http::serve(
            address,
            Arc::new(move |request, stream| {
                thread::sleep(ANSWER_TIME);
                let (status, body) = match filter(request) {
                    Some(status) => (status, String::new()),
                    None => store.answer(request, &*filter),
                };
                http::respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
            }),
        )
    }

    fn answer(&self, request: &Request, filter: &Filter) -> (u16, String) {
        let path = http::decode(request.path());
        let Some(rest) = path.strip_prefix("/objects/") else {
            return (404, "{}".into());
        };
        let mut parts = rest.splitn(3, '/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().map(str::to_string);
        let sub = parts.next();
        match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch").and_then(|rev| rev.parse().ok()) {
                Some(from) => self.watch(request, &kind, from, filter),
                None => self.list(&kind, &request.query("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                let state = self.0 .0.lock().unwrap();
                match state.kinds.get(&kind).and_then(|k| k.get(&name)) {
                    Some(object) => (200, object.encode(&name)),
                    None => (404, "{}".into()),
                }
            }
            (method, name) => self.write(method, &kind, name, sub, request),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (name, object) in state.kinds.get(kind).into_iter().flatten() {
            if name.as_str() <= after && !after.is_empty() {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            let text = object.encode(name);
            bytes += text.len();
            items.push(text);
        }
        let items = items.join(",");
        (200, format!(r#"{{"items":[{items}],"more-pages":{more},"as-of":{}}}"#, state.rev))
    }

    fn watch(&self, request: &Request, kind: &str, from: u64, filter: &Filter) -> (u16, String) {
        let wait = request.query("wait-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.0 .0.lock().unwrap();
        loop {
            let start = state.log.partition_point(|(rev, _, _)| *rev <= from);
            let events = state.log[start..].iter().filter(|(_, known, _)| known == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"as-of":{}}}"#, state.rev));
            }
            if let Some(status) = filter(request) {
                return (status, String::new());
            }
            state = self.0 .1.wait_timeout(state, (end - now).min(WATCH_STEP)).unwrap().0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<String>, sub: Option<&str>, request: &Request) -> (u16, String) {
        #[derive(Default)]
        struct Body {
            name: Option<String>,
            rev: Option<u64>,
            spec: Option<String>,
            status: Option<String>,
        }
        let mut body = Body::default();
        if !request.body.is_empty() {
            if request.body.len() > VALUE_BYTES + 512 {
                return (413, "{}".into());
            }
            let Ok(fields) = serde_json::from_slice::<BTreeMap<String, Box<RawValue>>>(&request.body) else {
                return (400, "{}".into());
            };
            let metadata = fields.get("metadata").and_then(|raw| serde_json::from_str::<Value>(raw.get()).ok());
            let metadata = metadata.unwrap_or_default();
            body = Body {
                name: metadata["name"].as_str().map(str::to_string),
                rev: metadata["rev"].as_u64(),
                spec: fields.get("spec").map(|raw| raw.get().to_string()),
                status: fields.get("status").map(|raw| raw.get().to_string()),
            };
        }
        let rev = body.rev.or_else(|| request.query("rev").and_then(|rev| rev.parse().ok()));
        let Some(name) = name.or(body.name) else {
            return (400, "{}".into());
        };
        let mut state = self.0 .0.lock().unwrap();
        let known = state.kinds.get(kind).and_then(|k| k.get(&name));
        if let Some(known) = known {
            if method == "POST" || rev.is_some_and(|rev| rev != known.rev) {
                return (409, known.encode(&name));
            }
        } else if method != "POST" {
            return (404, "{}".into());
        }
        if method == "DELETE" {
            drop_object(&mut state, kind, &name);
            self.0 .1.notify_all();
            return (200, "{}".into());
        }
        let (mut spec, mut status, created) = match known {
            Some(known) => (known.spec.clone(), known.status.clone(), known.created),
            None => ("null".into(), "null".into(), state.rev + 1),
        };
        let before = (spec.clone(), status.clone());
        match sub {
            Some("status") => status = body.status.unwrap_or_else(|| "null".into()),
            _ => spec = body.spec.unwrap_or_else(|| "null".into()),
        }
        if known.is_none() || before != (spec.clone(), status.clone()) {
            set(&mut state, kind, &name, Object { rev: 0, created, spec, status });
            self.0 .1.notify_all();
        }
        let object = &state.kinds[kind][&name];
        (if method == "POST" { 201 } else { 200 }, object.encode(&name))
    }
}

fn set(state: &mut State, kind: &str, name: &str, mut object: Object) {
    state.rev += 1;
    object.rev = state.rev;
    let event = format!(r#"{{"removed":false,"object":{}}}"#, object.encode(name));
    state.log.push((state.rev, kind.to_string(), event));
    state.kinds.entry(kind.to_string()).or_default().insert(name.to_string(), object);
}

fn drop_object(state: &mut State, kind: &str, name: &str) {
    let removed = state.kinds.get_mut(kind).and_then(|k| k.remove(name));
    if let Some(mut object) = removed {
        state.rev += 1;
        object.rev = state.rev;
        let event = format!(r#"{{"removed":true,"object":{}}}"#, object.encode(name));
        state.log.push((state.rev, kind.to_string(), event));
    }
}
