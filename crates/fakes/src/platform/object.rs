//! The object API: versioned objects, conditional writes and watches.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    Bytes, StatusCode,
    http::{Reply, Request},
};
use serde::Serialize;
use serde_json::json;

use super::not_found;
use crate::{
    bucket::{Bucket, too_many_requests},
    host::{Host, unavailable},
    signal::Signal,
};

/// The objects, with rate limits for reads and writes.
pub(crate) struct Store {
    host: Rc<Host>,
    reads_per_s: u32,
    writes_per_s: u32,
    reads: RefCell<Bucket>,
    writes: RefCell<Bucket>,
    objects: RefCell<Objects>,
    changed: Signal,
}

#[derive(Debug, Default)]
struct Objects {
    version: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: VecDeque<Change>,
    /// Changes up to this version have been dropped from `history`.
    compacted_version: u64,
}

#[derive(Clone, Debug)]
struct Object {
    version: u64,
    value: Bytes,
}

#[derive(Debug)]
struct Change {
    kind: String,
    name: String,
    version: u64,
    deleted: bool,
}

#[derive(Debug, Serialize)]
struct Item<'a> {
    name: &'a str,
    version: u64,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Update {
    version: u64,
    deleted: bool,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Absent,
    Version(u64),
}

const HISTORY_CHANGES_MAX: usize = 10_000;
const VALUE_BYTES_MAX: usize = 1024 * 1024;
const WAIT_MAX_MS: u64 = 60_000;

impl Store {
    /// Returns an empty store.
    pub(crate) fn new(host: Rc<Host>, reads_per_s: u32, writes_per_s: u32) -> Rc<Self> {
        Rc::new(Self {
            host,
            reads_per_s,
            writes_per_s,
            reads: RefCell::new(Bucket::new(reads_per_s)),
            writes: RefCell::new(Bucket::new(writes_per_s)),
            objects: RefCell::default(),
            changed: Signal::default(),
        })
    }

    /// Answers a call to the object API.
    pub(crate) async fn answer(&self, request: &Request) -> Reply {
        let segments = request.segments();
        if !segments
            .iter()
            .skip(2)
            .all(|segment| is_valid_name(segment))
        {
            let detail = "a kind or name may contain letters, digits, '.', '_' and '-' only";
            return Reply::error(StatusCode::BAD_REQUEST, "bad-name", detail);
        }
        if !self.admit(request.method.as_str()) {
            return too_many_requests();
        }
        match (request.method.as_str(), &segments[1..]) {
            ("GET", ["watch", kind]) => self.watch(kind, request).await,
            ("GET", ["objects", kind]) => self.list(kind, request.query("prefix")),
            ("GET", ["objects", kind, name]) => self.get(kind, name),
            ("PUT", ["objects", kind, name]) => self.put(kind, name, request),
            ("DELETE", ["objects", kind, name]) => self.delete(kind, name, request),
            _ => not_found("no such call"),
        }
    }

    /// Wakes the waiting watches, which then check the fault switches.
    pub(crate) fn wake_watches(&self) {
        self.changed.notify();
    }

    fn admit(&self, method: &str) -> bool {
        if method == "GET" {
            let rate_override = self.host.read_switch(|s| s.reads_per_s);
            let rate = rate_override.unwrap_or(self.reads_per_s);
            return self.reads.borrow_mut().try_acquire(rate);
        }
        let rate_override = self.host.read_switch(|s| s.writes_per_s);
        let rate = rate_override.unwrap_or(self.writes_per_s);
        self.writes.borrow_mut().try_acquire(rate)
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        match self.objects.borrow().get(kind, name) {
            Some(object) => Reply::new(StatusCode::OK, object.value.clone())
                .header("etag", etag(object.version)),
            None => not_found("no such object"),
        }
    }

    fn put(&self, kind: &str, name: &str, request: &Request) -> Reply {
        if request.body.len() > VALUE_BYTES_MAX {
            let detail = "the value is larger than 1 MiB";
            return Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "value-too-large", detail);
        }
        let Some(condition) = parse_condition(request) else {
            return missing_condition();
        };
        let mut objects = self.objects.borrow_mut();
        let found = objects.get(kind, name).map(|object| object.version);
        if let Some(conflict) = version_conflict(condition, found) {
            return conflict;
        }
        let version = objects.change(kind, name, Some(request.body.clone()));
        self.changed.notify();
        write_reply(version)
    }

    fn delete(&self, kind: &str, name: &str, request: &Request) -> Reply {
        let Some(condition @ Condition::Version(_)) = parse_condition(request) else {
            return missing_condition();
        };
        let mut objects = self.objects.borrow_mut();
        let Some(found) = objects.get(kind, name).map(|object| object.version) else {
            return not_found("no such object");
        };
        if let Some(conflict) = version_conflict(condition, Some(found)) {
            return conflict;
        }
        let version = objects.change(kind, name, None);
        self.changed.notify();
        write_reply(version)
    }

    fn list(&self, kind: &str, prefix: Option<&str>) -> Reply {
        let objects = self.objects.borrow();
        let prefix = prefix.unwrap_or_default();
        let all = objects.kinds.get(kind).into_iter().flatten();
        let items: Vec<Item<'_>> = all
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(name, object)| Item {
                name,
                version: object.version,
            })
            .collect();
        let body = json!({"version": objects.version, "objects": items});
        Reply::json(StatusCode::OK, &body)
    }

    async fn watch(&self, kind: &str, request: &Request) -> Reply {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(WAIT_MAX_MS));
        let deadline = Instant::now() + wait;
        loop {
            let path = request.uri.path();
            if self.host.read_switch(|s| s.has_outage("GET", path)) {
                return unavailable();
            }
            let seen = self.changed.count();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if let Some(reply) = self
                .objects
                .borrow()
                .watch_reply(kind, after, remaining.is_zero())
            {
                return reply;
            }
            let _ = monoio::time::timeout(remaining, self.changed.wait(seen)).await;
        }
    }
}

impl Objects {
    fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }

    /// Sets the value of an object, or removes the object if `value` is `None`,
    /// and returns the new version.
    fn change(&mut self, kind: &str, name: &str, value: Option<Bytes>) -> u64 {
        self.version += 1;
        let version = self.version;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let deleted = value.is_none();
        match value {
            Some(value) => objects.insert(name.to_owned(), Object { version, value }),
            None => objects.remove(name),
        };
        self.history.push_back(Change {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version,
            deleted,
        });
        if self.history.len() > HISTORY_CHANGES_MAX
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_version = oldest.version;
        }
        version
    }

    /// Returns the answer to a watch, or `None` if there are no changes and the
    /// watch has not `expired`.
    fn watch_reply(&self, kind: &str, after: u64, expired: bool) -> Option<Reply> {
        if after < self.compacted_version || after > self.version {
            let detail = "changes since this version are not known: list the objects";
            return Some(Reply::error(StatusCode::GONE, "unknown-version", detail));
        }
        let new = self.history.iter().rev();
        let new = new.take_while(|change| change.version > after);
        let mut latest = BTreeMap::new();
        for change in new.filter(|change| change.kind == kind) {
            latest.entry(&change.name).or_insert(Update {
                version: change.version,
                deleted: change.deleted,
            });
        }
        if latest.is_empty() && !expired {
            return None;
        }
        let mut changes: Vec<_> = latest.into_iter().collect();
        changes.sort_by_key(|(_, change)| change.version);
        let changes: Vec<_> = changes
            .into_iter()
            .map(|(name, c)| json!({"name": name, "version": c.version, "deleted": c.deleted}))
            .collect();
        let body = json!({"version": self.version, "changes": changes});
        Some(Reply::json(StatusCode::OK, &body))
    }
}

fn is_valid_name(segment: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    segment.bytes().all(is_allowed)
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

fn parse_condition(request: &Request) -> Option<Condition> {
    if let Some(text) = request.header("if-match") {
        return text.trim_matches('"').parse().ok().map(Condition::Version);
    }
    let is_absent = request.header("if-none-match")? == "*";
    is_absent.then_some(Condition::Absent)
}

fn version_conflict(condition: Condition, found: Option<u64>) -> Option<Reply> {
    let expected = match condition {
        Condition::Absent => None,
        Condition::Version(version) => Some(version),
    };
    if expected == found {
        return None;
    }
    let body = json!({
        "error": "conflict",
        "detail": "the object is not at the expected version",
        "version": found.unwrap_or(0),
    });
    Some(Reply::json(StatusCode::PRECONDITION_FAILED, &body))
}

fn missing_condition() -> Reply {
    let detail = "a write requires the header if-match or if-none-match";
    Reply::error(StatusCode::PRECONDITION_REQUIRED, "no-condition", detail)
}

fn write_reply(version: u64) -> Reply {
    Reply::json(StatusCode::OK, &json!({"version": version})).header("etag", etag(version))
}
