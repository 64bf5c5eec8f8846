//! Servers: model servers that stream events, and plain ones that answer at once.
use crate::{
    http::{self, Request},
    store::Store,
};
use serde_json::{json, Value};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// What a server saw: when, its id, the request's id, what it did.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub server: String,
    pub request: String,
    pub what: &'static str,
    pub headers: Vec<(String, String)>,
    pub path: String,
}

#[derive(Clone, Default)]
pub struct Log(pub Arc<Mutex<Vec<Seen>>>);

impl Log {
    pub fn add(&self, server: &str, request: &Request, what: &'static str) {
        self.0.lock().unwrap().push(Seen {
            at: Instant::now(),
            server: server.to_string(),
            request: request.header("request-id").unwrap_or("").to_string(),
            what,
            headers: request.headers.clone(),
            path: request.target.clone(),
        });
    }
    pub fn all(&self) -> Vec<Seen> {
        self.0.lock().unwrap().clone()
    }
}

#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub software: String,
    pub slots: usize,
    /// The models of a model server.
    pub models: Vec<String>,
    /// The time of a request at a plain server, or of an event at a model server.
    pub work: Duration,
    /// The events of a stream.
    pub events: u64,
}

pub struct Server {
    pub plan: Plan,
    pub version: AtomicU64,
    pub orders: AtomicU64,
    pub is_busy: AtomicBool,
    running: AtomicUsize,
    store: Store,
    log: Log,
    born: u64,
    stamp: AtomicU64,
}

impl Server {
    pub fn start(plan: Plan, store: &Store, log: &Log) -> io::Result<Arc<Self>> {
        let server = Arc::new(Self {
            plan,
            version: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            is_busy: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            store: store.clone(),
            log: log.clone(),
            born: unix_millis(),
            stamp: AtomicU64::new(0),
        });
        let own = server.clone();
        http::serve(server.plan.address, Arc::new(move |request, stream| own.answer(request, stream)))?;
        server.register("ready");
        Ok(server)
    }

    pub fn register(&self, state: &str) {
        let models: Vec<Value> = self.plan.models.iter().map(|name| {
            json!({"name": name, "version": self.version.load(Ordering::SeqCst), "adapters": []})
        }).collect();
        let record = json!({
            "service": self.plan.service, "address": self.plan.address.to_string(), "zone": self.plan.zone,
            "version": self.plan.software, "slots": self.plan.slots, "state": state, "cold-left-ms": 0,
            "stage": "both", "models": models, "seq": 1, "born": self.born,
        });
        self.store.put("servers", &self.plan.id, &record);
    }

    fn answer(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if request.header("expect-instance").is_some_and(|id| id != self.plan.id) {
            return http::respond(stream, 421, &[("Not-Run", "1"), ("Instance-Id", &self.plan.id)], b"");
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/health") => http::respond(stream, 200, &[("Instance-Id", &self.plan.id)], b""),
            ("GET", "/report") => self.report(stream),
            ("POST", "/order") => self.order(request, stream),
            _ => self.run(request, stream),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let models: Vec<Value> = self.plan.models.iter().map(|name| {
            json!({"name": name, "version": self.version.load(Ordering::SeqCst), "adapters": []})
        }).collect();
        let body = json!({
            "stage": "both", "models": models, "busy": self.is_busy.load(Ordering::SeqCst),
            "seq": self.orders.load(Ordering::SeqCst), "num-waiting": 0,
            "num-running": self.running.load(Ordering::SeqCst), "kv-used": 0, "kv-total": 90000, "handles": 0,
        });
        http::respond(stream, 200, &[("Content-Type", "application/json")], body.to_string().as_bytes())
    }

    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        self.log.add(&self.plan.id, request, "order");
        let id = request.header("request-id").unwrap_or("");
        let echo = [("Request-Id", id)];
        if order["precondition"].as_u64().is_some_and(|seq| seq != self.orders.load(Ordering::SeqCst)) || self.is_busy.load(Ordering::SeqCst) {
            return http::respond(stream, 409, &echo, b"");
        }
        let version = order["version"].as_u64().unwrap_or(0);
        self.orders.fetch_add(1, Ordering::SeqCst);
        self.is_busy.store(true, Ordering::SeqCst);
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(900));
            own.version.store(version, Ordering::SeqCst);
            own.is_busy.store(false, Ordering::SeqCst);
            own.register("ready");
        });
        http::respond(stream, 202, &echo, b"")
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_string();
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let load = format!("{},0,{}", running + 1, self.plan.slots);
        if running >= self.plan.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return http::respond(stream, 503, &[("Request-Id", &id), ("Not-Run", "1"), ("Server-Load", &load)], b"");
        }
        self.log.add(&self.plan.id, request, "run");
        let stamp = format!("{}.{}", self.plan.id, self.stamp.fetch_add(1, Ordering::SeqCst));
        let result = match self.plan.models.is_empty() {
            true => {
                thread::sleep(self.plan.work);
                http::respond(stream, 200, &[("Request-Id", &id), ("Server-Stamp", &stamp), ("Server-Load", &load)], b"ok")
            }
            false => self.stream(request, stream, &id, &stamp, &load),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn stream(&self, request: &Request, stream: &mut TcpStream, id: &str, stamp: &str, load: &str) -> io::Result<()> {
        let version = self.version.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nServer-Load: {load}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let from = request.header("last-event-id").and_then(|n| n.parse::<u64>().ok()).map_or(0, |n| n + 1);
        for event in from..self.plan.events {
            thread::sleep(self.plan.work);
            let data = format!("id: {event}\ndata: {}-{event}\n\n", id);
            stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

pub fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
