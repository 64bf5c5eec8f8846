//! A server over TLS: complete replies, failed and slow handshakes, and changed
//! certificates.

use std::{
    cell::Cell,
    fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use rustls::{Certificate, ClientConfig, ClientConnection, RootCertStore, ServerName, StreamOwned};
use tarragonseam_link::{
    Bytes, StatusCode,
    http::{
        Limits, Reply, Request, Tls,
        server::{self, Drain, Part},
        tls::{Event, Files},
    },
    net, runtime,
};

/// A time limit that only a hanging test exceeds.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(5);
const LARGE_BODY_BYTES: usize = 300 * 1024;

/// A self-signed certificate with its key.
struct Identity {
    certificate: String,
    key: String,
    trusted: Certificate,
}

impl Identity {
    fn new() -> Self {
        let generated = rcgen::generate_simple_self_signed(["127.0.0.1".to_string()]).unwrap();
        Self {
            certificate: generated.cert.pem(),
            key: generated.key_pair.serialize_pem(),
            trusted: Certificate(generated.cert.der().to_vec()),
        }
    }
}

#[derive(Clone, Default)]
struct Counters(Arc<[AtomicU64; 5]>);

impl Counters {
    fn increment(&self, event: Event) {
        self.0[event as usize].fetch_add(1, Ordering::SeqCst);
    }

    fn get(&self, event: Event) -> u64 {
        self.0[event as usize].load(Ordering::SeqCst)
    }

    fn wait(&self, event: Event, count: u64) {
        let mut remaining = TIMEOUT;
        while self.get(event) < count {
            remaining = remaining
                .checked_sub(POLL_PERIOD)
                .expect("the event within the time limit");
            thread::sleep(POLL_PERIOD);
        }
    }
}

struct Server {
    address: SocketAddr,
    counters: Counters,
    folder: PathBuf,
}

impl Server {
    fn start(name: &str, identity: &Identity, handshake_time: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("tls-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let counters = Counters::default();
        let mut server = Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            counters: counters.clone(),
            folder: folder.clone(),
        };
        server.replace(&identity.certificate, &identity.key);
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            runtime::run(async move {
                let listener = net::listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
                let files = Files::new(folder.join("c.pem"), folder.join("k.pem"));
                let tls = Tls::new(files).unwrap();
                // The files are loaded, so tests may replace them.
                sender.send(listener.local_addr().unwrap()).unwrap();
                let tls = tls
                    .handshake_time(handshake_time)
                    .reload_period(POLL_PERIOD)
                    .on_event(move |event| counters.increment(event));
                monoio::spawn(tls.clone().watch_files());
                let drain = Drain::default();
                let state = (drain.clone(), Rc::new(Cell::new(0)));
                let handler = move |request| handle(state.clone(), request);
                server::serve_with(listener, Some(tls), Limits::new(), drain.clone(), handler)
                    .await;
                drain.wait(TIMEOUT).await
            })
        });
        server.address = receiver.recv().unwrap();
        server
    }

    fn replace(&self, certificate: &str, key: &str) {
        fs::write(self.folder.join("c.pem"), certificate).unwrap();
        fs::write(self.folder.join("k.pem"), key).unwrap();
    }

    fn connect_plain(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    fn connect(&self, identity: &Identity) -> Caller {
        let mut roots = RootCertStore::empty();
        roots.add(&identity.trusted).unwrap();
        let config = ClientConfig::builder()
            .with_safe_defaults()
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::try_from("127.0.0.1").unwrap();
        let client = ClientConnection::new(Arc::new(config), name).unwrap();
        Caller(StreamOwned::new(client, self.connect_plain()))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

struct Caller(StreamOwned<ClientConnection, TcpStream>);

impl Caller {
    fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    fn get(&mut self, path: &str) -> String {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"));
        self.read_head()
    }

    fn read_head(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        String::from_utf8(head).unwrap()
    }

    fn read(&mut self, length: usize) -> Vec<u8> {
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        body
    }

    /// Reads up to the close notification, which proves that nothing was lost.
    fn read_to_close_notify(&mut self) -> String {
        let mut text = String::new();
        self.0.read_to_string(&mut text).unwrap();
        text
    }
}

async fn handle((drain, calls): (Drain, Rc<Cell<u64>>), request: Request) -> Reply {
    calls.set(calls.get() + 1);
    match request.uri.path() {
        "/big" => Reply::new(StatusCode::OK, vec![b'b'; LARGE_BODY_BYTES]),
        "/count" => Reply::new(StatusCode::OK, calls.get().to_string()),
        "/stream" => {
            let (reply, sender) = Reply::stream(StatusCode::OK);
            monoio::spawn(async move {
                for part in ["one ", "two"] {
                    let _ = sender.send(Part::Data(Bytes::from(part))).await;
                }
                let _ = sender.send(Part::End).await;
            });
            reply
        }
        "/close" => {
            drain.close();
            monoio::time::sleep(POLL_PERIOD).await;
            Reply::new(StatusCode::OK, "last")
        }
        _ => Reply::new(StatusCode::OK, request.body),
    }
}

#[test]
fn serve_requests_on_one_connection() {
    let identity = Identity::new();
    let server = Server::start("requests", &identity, TIMEOUT);
    let mut caller = server.connect(&identity);
    let body = "x".repeat(LARGE_BODY_BYTES);
    caller.send(&format!(
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n{body}"
    ));
    assert!(caller.read_head().starts_with("HTTP/1.1 200"));
    assert_eq!(caller.read(LARGE_BODY_BYTES), body.as_bytes());
    assert!(caller.get("/big").contains(&LARGE_BODY_BYTES.to_string()));
    assert_eq!(caller.read(LARGE_BODY_BYTES), vec![b'b'; LARGE_BODY_BYTES]);
    caller.get("/count");
    assert_eq!(caller.read(1), b"3");
    assert_eq!(server.counters.get(Event::Accepted), 1);
}

#[test]
fn serve_pipelined_requests() {
    let identity = Identity::new();
    let server = Server::start("pipelined", &identity, TIMEOUT);
    let mut caller = server.connect(&identity);
    let request = "GET /count HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.send(&request.repeat(2));
    for expected in [b"1", b"2"] {
        caller.read_head();
        assert_eq!(caller.read(1), expected);
    }
}

#[test]
fn serve_stream() {
    let identity = Identity::new();
    let server = Server::start("stream", &identity, TIMEOUT);
    let mut caller = server.connect(&identity);
    caller.send("GET /stream HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    assert!(caller.read_head().contains("chunked"));
    let body = caller.read_to_close_notify();
    assert!(body.starts_with("4\r\none \r\n"), "{body}");
    assert!(body.ends_with("0\r\n\r\n"), "{body}");
}

#[test]
fn accept_plain_text() {
    let identity = Identity::new();
    let server = Server::start("plain", &identity, TIMEOUT);
    let mut stream = server.connect_plain();
    stream
        .write_all(b"GET /count HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let mut received = Vec::new();
    // The close may reset the connection while text is still unread.
    let end = stream.read_to_end(&mut received);
    assert!(end.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |_| true));
    assert!(!received.starts_with(b"HTTP"), "{received:?}");
    server.counters.wait(Event::Failed, 1);
    let mut caller = server.connect(&identity);
    caller.get("/count");
    assert_eq!(caller.read(1), b"1", "the plain-text request was executed");
}

#[test]
fn accept_slow_handshake() {
    let identity = Identity::new();
    let server = Server::start("slow", &identity, POLL_PERIOD * 20);
    for first_bytes in [&b""[..], &[22, 3, 1]] {
        let mut stream = server.connect_plain();
        stream.write_all(first_bytes).unwrap();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        assert!(received.is_empty(), "{received:?}");
    }
    server.counters.wait(Event::Slow, 2);
}

#[test]
fn accept_disconnected_caller() {
    let identity = Identity::new();
    let server = Server::start("gone", &identity, TIMEOUT);
    drop(server.connect_plain());
    server.counters.wait(Event::Failed, 1);
}

#[test]
fn serve_body_over_limit() {
    let identity = Identity::new();
    let server = Server::start("limit", &identity, TIMEOUT);
    let mut caller = server.connect(&identity);
    caller.send("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99000000\r\n\r\nstart of it");
    assert!(caller.read_head().starts_with("HTTP/1.1 413"));
    assert!(caller.read_to_close_notify().contains("body-too-large"));
}

#[test]
fn close_answers_running_request() {
    let identity = Identity::new();
    let server = Server::start("close", &identity, TIMEOUT);
    let mut idle = server.connect(&identity);
    idle.get("/count");
    idle.read(1);
    let mut caller = server.connect(&identity);
    let head = caller.get("/close");
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(caller.read_to_close_notify(), "last");
    assert_eq!(idle.read_to_close_notify(), "");
}

#[test]
fn reload_keeps_open_connections() {
    let (old, new) = (Identity::new(), Identity::new());
    let server = Server::start("reload", &old, TIMEOUT);
    let mut caller = server.connect(&old);
    caller.get("/count");
    caller.read(1);
    server.replace(&new.certificate, &new.key);
    server.counters.wait(Event::Reloaded, 1);
    caller.get("/count");
    assert_eq!(caller.read(1), b"2");
    let mut other = server.connect(&new);
    other.get("/count");
    assert_eq!(other.read(1), b"3");
}

#[test]
fn reload_wrong_key() {
    let (old, new) = (Identity::new(), Identity::new());
    let server = Server::start("wrong", &old, TIMEOUT);
    server.replace(&new.certificate, &old.key);
    server.counters.wait(Event::ReloadFailed, 1);
    let mut caller = server.connect(&old);
    caller.get("/count");
    assert_eq!(caller.read(1), b"1");
    server.replace(&new.certificate, &new.key);
    server.counters.wait(Event::Reloaded, 1);
    let mut caller = server.connect(&new);
    caller.get("/count");
    assert_eq!(caller.read(1), b"2");
}

#[test]
fn read_unusable_files() {
    let (one, other) = (Identity::new(), Identity::new());
    let folder = std::env::temp_dir().join(format!("tls-{}-files", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let cases = [
        ("absent", None, Some(&one.key), "cannot read"),
        ("empty", Some(&one.key), Some(&one.key), "no certificate"),
        (
            "no key",
            Some(&one.certificate),
            Some(&one.certificate),
            "no key",
        ),
        (
            "mismatch",
            Some(&one.certificate),
            Some(&other.key),
            "does not belong",
        ),
    ];
    for (name, certificate, key, problem) in cases {
        let path = |kind: &str, text: Option<&String>| {
            let path = folder.join(format!("{name}.{kind}"));
            if let Some(text) = text {
                fs::write(&path, text).unwrap();
            }
            path
        };
        let files = Files::new(path("c", certificate), path("k", key));
        let error = Tls::new(files).unwrap_err().to_string();
        assert!(error.contains(problem), "{name}: {error}");
    }
    fs::remove_dir_all(folder).unwrap();
}
