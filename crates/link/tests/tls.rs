//! A server over TLS: whole answers, refused and slow handshakes, certificates
//! that change.

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

/// Longer than anything takes that comes at all.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);
const BIG: usize = 300 * 1024;

/// A certificate that its own clients trust.
struct Pair {
    certificate: String,
    key: String,
    trusted: Certificate,
}

impl Pair {
    fn new() -> Self {
        let made = rcgen::generate_simple_self_signed(["127.0.0.1".to_string()]).unwrap();
        Self {
            certificate: made.cert.pem(),
            key: made.key_pair.serialize_pem(),
            trusted: Certificate(made.cert.der().to_vec()),
        }
    }
}

#[derive(Clone, Default)]
struct Counters(Arc<[AtomicU64; 5]>);

impl Counters {
    fn up(&self, event: Event) {
        self.0[event as usize].fetch_add(1, Ordering::SeqCst);
    }

    fn get(&self, event: Event) -> u64 {
        self.0[event as usize].load(Ordering::SeqCst)
    }

    fn wait(&self, event: Event, count: u64) {
        let mut left = PATIENCE;
        while self.get(event) < count {
            left = left.checked_sub(POLL).expect("the event in time");
            thread::sleep(POLL);
        }
    }
}

struct Server {
    address: SocketAddr,
    counters: Counters,
    folder: PathBuf,
}

impl Server {
    fn start(name: &str, pair: &Pair, handshake_time: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("tls-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let counters = Counters::default();
        let mut server = Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            counters: counters.clone(),
            folder: folder.clone(),
        };
        server.replace(&pair.certificate, &pair.key);
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            runtime::run(async move {
                let listener = net::listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
                let files = Files::new(folder.join("c.pem"), folder.join("k.pem"));
                let tls = Tls::new(files).unwrap();
                // Tests may replace the files from now on.
                sender.send(listener.local_addr().unwrap()).unwrap();
                let tls = tls
                    .handshake_time(handshake_time)
                    .reload_period(POLL)
                    .on_event(move |event| counters.up(event));
                monoio::spawn(tls.clone().follow());
                let drain = Drain::default();
                let state = (drain.clone(), Rc::new(Cell::new(0)));
                let handler = move |request| answer(state.clone(), request);
                server::serve_with(listener, Some(tls), Limits::new(), drain.clone(), handler)
                    .await;
                drain.wait(PATIENCE).await
            })
        });
        server.address = receiver.recv().unwrap();
        server
    }

    fn replace(&self, certificate: &str, key: &str) {
        fs::write(self.folder.join("c.pem"), certificate).unwrap();
        fs::write(self.folder.join("k.pem"), key).unwrap();
    }

    fn raw(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    fn connect(&self, pair: &Pair) -> Caller {
        let mut roots = RootCertStore::empty();
        roots.add(&pair.trusted).unwrap();
        let config = ClientConfig::builder()
            .with_safe_defaults()
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::try_from("127.0.0.1").unwrap();
        let client = ClientConnection::new(Arc::new(config), name).unwrap();
        Caller(StreamOwned::new(client, self.raw()))
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

    /// Reads up to the notice of the close, which proves that all came.
    fn read_to_notice(&mut self) -> String {
        let mut rest = String::new();
        self.0.read_to_string(&mut rest).unwrap();
        rest
    }
}

async fn answer((drain, calls): (Drain, Rc<Cell<u64>>), request: Request) -> Reply {
    calls.set(calls.get() + 1);
    match request.uri.path() {
        "/big" => Reply::new(StatusCode::OK, vec![b'b'; BIG]),
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
            monoio::time::sleep(POLL).await;
            Reply::new(StatusCode::OK, "last")
        }
        _ => Reply::new(StatusCode::OK, request.body),
    }
}

#[test]
fn serve_requests_on_one_connection() {
    let pair = Pair::new();
    let server = Server::start("requests", &pair, PATIENCE);
    let mut caller = server.connect(&pair);
    let body = "x".repeat(BIG);
    caller.send(&format!(
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {BIG}\r\n\r\n{body}"
    ));
    assert!(caller.read_head().starts_with("HTTP/1.1 200"));
    assert_eq!(caller.read(BIG), body.as_bytes());
    assert!(caller.get("/big").contains(&BIG.to_string()));
    assert_eq!(caller.read(BIG), vec![b'b'; BIG]);
    caller.get("/count");
    assert_eq!(caller.read(1), b"3");
    assert_eq!(server.counters.get(Event::Accepted), 1);
}

#[test]
fn serve_pipelined_with_handshake() {
    let pair = Pair::new();
    let server = Server::start("pipelined", &pair, PATIENCE);
    let mut caller = server.connect(&pair);
    let one = "GET /count HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.send(&one.repeat(2));
    for expected in [b"1", b"2"] {
        caller.read_head();
        assert_eq!(caller.read(1), expected);
    }
}

#[test]
fn serve_stream() {
    let pair = Pair::new();
    let server = Server::start("stream", &pair, PATIENCE);
    let mut caller = server.connect(&pair);
    caller.send("GET /stream HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    assert!(caller.read_head().contains("chunked"));
    let body = caller.read_to_notice();
    assert!(body.starts_with("4\r\none \r\n"), "{body}");
    assert!(body.ends_with("0\r\n\r\n"), "{body}");
}

#[test]
fn refuse_plain_text() {
    let pair = Pair::new();
    let server = Server::start("plain", &pair, PATIENCE);
    let mut stream = server.raw();
    stream
        .write_all(b"GET /count HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let mut back = Vec::new();
    // The close may reset what is left of the text.
    let end = stream.read_to_end(&mut back);
    assert!(end.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |_| true));
    assert!(!back.starts_with(b"HTTP"), "{back:?}");
    server.counters.wait(Event::Failed, 1);
    let mut caller = server.connect(&pair);
    caller.get("/count");
    assert_eq!(caller.read(1), b"1", "the plain request ran");
}

#[test]
fn drop_slow_handshake() {
    let pair = Pair::new();
    let server = Server::start("slow", &pair, POLL * 20);
    for begin in [&b""[..], &[22, 3, 1]] {
        let mut stream = server.raw();
        stream.write_all(begin).unwrap();
        let mut back = Vec::new();
        let _ = stream.read_to_end(&mut back);
        assert!(back.is_empty(), "{back:?}");
    }
    server.counters.wait(Event::Slow, 2);
}

#[test]
fn drop_handshake_of_gone_caller() {
    let pair = Pair::new();
    let server = Server::start("gone", &pair, PATIENCE);
    drop(server.raw());
    server.counters.wait(Event::Failed, 1);
}

#[test]
fn refuse_body_over_limit() {
    let pair = Pair::new();
    let server = Server::start("limit", &pair, PATIENCE);
    let mut caller = server.connect(&pair);
    caller.send("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99000000\r\n\r\nstart of it");
    assert!(caller.read_head().starts_with("HTTP/1.1 413"));
    assert!(caller.read_to_notice().contains("body-too-large"));
}

#[test]
fn close_answers_request_in_hand() {
    let pair = Pair::new();
    let server = Server::start("close", &pair, PATIENCE);
    let mut idle = server.connect(&pair);
    idle.get("/count");
    idle.read(1);
    let mut caller = server.connect(&pair);
    let head = caller.get("/close");
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(caller.read_to_notice(), "last");
    assert_eq!(idle.read_to_notice(), "");
}

#[test]
fn reload_keeps_open_connections() {
    let (old, new) = (Pair::new(), Pair::new());
    let server = Server::start("reload", &old, PATIENCE);
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
    let (old, new) = (Pair::new(), Pair::new());
    let server = Server::start("wrong", &old, PATIENCE);
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
    let (one, other) = (Pair::new(), Pair::new());
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
