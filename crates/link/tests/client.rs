//! The HTTP client.

use std::{
    cell::Cell,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use tarragonseam_link::{
    http::{Limits, Pool, client::Call, error::Kind},
    runtime,
};

/// Sends a request to `peer`. Returns the kind of its error, and how often the
/// hook was called.
fn send(peer: SocketAddr) -> (Kind, u32) {
    let calls = Rc::new(Cell::new(0));
    let seen = calls.clone();
    let run = async move {
        let call = Call::get("/").on_send(move || seen.set(seen.get() + 1));
        let call = call.deadline(Duration::from_millis(300));
        let sent = Pool::new(Limits::new()).fetch(peer, call).await;
        sent.unwrap_err().kind()
    };
    let kind = runtime::run(run).unwrap();
    (kind, calls.get())
}

#[test]
fn on_send_only_if_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    assert_eq!(send(peer), (Kind::Timeout, 1));
    drop(listener);
    assert_eq!(send(peer), (Kind::Connect, 0));
}

/// A server that answers each request on its connections with the same text.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

fn serve(response: String) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            count.fetch_add(1, Ordering::SeqCst);
            let response = response.clone();
            thread::spawn(move || answer_all(stream, &response));
        }
    });
    Server {
        address,
        connections,
    }
}

/// Answers requests without a body until the client closes the connection.
fn answer_all(mut stream: TcpStream, response: &str) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Sends three requests, one after the other, to a server whose responses have
/// `headers`. Returns the number of connections, and whether one is idle then.
fn send_three(headers: &str) -> (usize, bool) {
    let server = serve(format!(
        "HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n"
    ));
    let run = async {
        let pool = Pool::new(Limits::new());
        assert!(!pool.has_idle(server.address));
        for _ in 0..3 {
            pool.fetch(server.address, Call::get("/")).await.unwrap();
        }
        pool.has_idle(server.address)
    };
    let has_idle = runtime::run(run).unwrap();
    (server.connections.load(Ordering::SeqCst), has_idle)
}

/// A connection was used again after the idle time that its peer states, when the
/// peer closes it, and the request was lost.
#[test]
fn connections_are_used_longer_than_the_peer_states() {
    assert_eq!(send_three(""), (1, true));
    assert_eq!(send_three("keep-alive: timeout=60, max=9\r\n"), (1, true));
    assert_eq!(send_three("Keep-Alive: max=9, TIMEOUT = 60\r\n"), (1, true));
    assert_eq!(send_three("keep-alive: timeout=soon\r\n"), (1, true));
    assert_eq!(send_three("keep-alive: timeout=0\r\n"), (3, false));
    assert_eq!(send_three("connection: close\r\n"), (3, false));
    assert_eq!(send_three("connection: x, Close\r\n"), (3, false));
}

/// A connection that its peer has closed is not idle.
#[test]
fn closed_connection_counts_as_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    let server = thread::spawn(move || listener.accept().unwrap());
    let run = async {
        let pool = Pool::new(Limits::new());
        pool.open(peer, Duration::from_secs(5)).await.unwrap();
        assert!(pool.has_idle(peer));
        drop(server.join().unwrap());
        // The end of the connection arrives on loopback after a moment.
        while pool.has_idle(peer) {
            thread::yield_now();
        }
    };
    runtime::run(run).unwrap();
}

/// The number of times that a test checks whether a response was discarded. The rest
/// of its body is read for 200 ms at most.
const DISCARD_POLLS_MAX: u32 = 1000;

/// A response whose body nobody needs, such as that of a rejection, closed its
/// connection.
#[test]
fn discarded_response_closes_its_connection() {
    for body in [
        "content-length: 4\r\n\r\nfull",
        "transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
    ] {
        let server = serve(format!("HTTP/1.1 503 Full\r\n{body}"));
        let run = async {
            let pool = Pool::new(Limits::new());
            for _ in 0..3 {
                let response = pool.send(server.address, Call::get("/")).await.unwrap();
                response.discard();
                for _ in 0..DISCARD_POLLS_MAX {
                    if pool.has_idle(server.address) {
                        break;
                    }
                    monoio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        };
        runtime::run(run).unwrap();
        assert_eq!(server.connections.load(Ordering::SeqCst), 1, "{body}");
    }
}

/// Guards against a condition that is checked only before a connection is opened: it
/// may cease to hold meanwhile.
#[test]
fn nothing_written_if_condition_ceases_to_hold_while_connecting() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    let is_connected = Rc::new(Cell::new(false));
    let (connected, sent) = (is_connected.clone(), Rc::new(Cell::new(0)));
    let seen = sent.clone();
    let run = async move {
        let call = Call::get("/")
            .on_connect(move |is_open| is_connected.set(is_open))
            .condition(move || !connected.get())
            .on_send(move || seen.set(seen.get() + 1));
        let result = Pool::new(Limits::new()).fetch(peer, call).await;
        let error = result.unwrap_err();
        assert!(error.is_unsent());
        (error.kind(), sent.get())
    };
    assert_eq!(runtime::run(run).unwrap(), (Kind::Fenced, 0));
    let (connection, _) = listener.accept().unwrap();
    connection
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    let start = Instant::now();
    let read = std::io::Read::read(&mut &connection, &mut [0; 16]);
    let is_closed = match read {
        Ok(count) => count == 0,
        Err(e) => e.kind() == ErrorKind::ConnectionReset,
    };
    assert!(is_closed && start.elapsed() < Duration::from_secs(1));
}

/// Fetches from a server that sends `response` and then closes the connection. Returns
/// the length of the body.
fn fetch_closing(response: &[u8]) -> Result<usize, Kind> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    let response = response.to_vec();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        stream.write_all(&response).unwrap();
    });
    let call = Call::get("/").deadline(Duration::from_secs(5));
    let fetched = runtime::run(async move { Pool::new(Limits::new()).fetch(peer, call).await });
    server.join().unwrap();
    let fetched = fetched.unwrap();
    fetched
        .map(|answer| answer.body.len())
        .map_err(|e| e.kind())
}

/// A server that stopped within its answer's head and closed the connection must not
/// be taken for one that gave an empty or short answer, wherever it stopped.
#[test]
fn fetch_from_server_that_stops_anywhere() {
    for (start, body) in [
        ("content-length: 4\r\n\r\n", "body"),
        ("content-length: 0\r\nx-other: value\r\n\r\n", ""),
        (
            "x-other: v\r\ntransfer-encoding: chunked\r\n\r\n",
            "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        ),
    ] {
        for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
            let whole = format!("{interim}HTTP/1.1 200 OK\r\n{start}{body}");
            let length = if body.is_empty() { 0 } else { 4 };
            assert_eq!(fetch_closing(whole.as_bytes()), Ok(length), "{whole:?}");
            for cut in 0..whole.len() {
                let part = &whole[..cut];
                let fetched = fetch_closing(part.as_bytes());
                assert_eq!(fetched, Err(Kind::Incomplete), "{part:?}");
            }
        }
    }
    // Without a length only the close would end the body.
    let fetched = fetch_closing(b"HTTP/1.1 200 OK\r\n\r\nbody");
    assert_eq!(fetched, Err(Kind::Incomplete));
}

/// Returns whether a response is taken for an answer if `line` stands in its head,
/// before or after the length of its body.
fn is_answer_with(line: &[u8]) -> bool {
    let lines: [&[u8]; 2] = [b"content-length: 5\r\n", line];
    [[0, 1], [1, 0]].iter().any(|order| {
        let mut response = b"HTTP/1.1 200 OK\r\n".to_vec();
        order
            .iter()
            .for_each(|&n| response.extend_from_slice(lines[n]));
        response.extend_from_slice(b"\r\nwrong");
        fetch_closing(&response).is_ok()
    })
}

/// A head with an invalid field was taken for an answer, without the rest of its
/// lines.
#[test]
fn fetch_with_invalid_field_name() {
    assert!(is_answer_with(b"name: value\r\n"));
    assert!(is_answer_with(b"!#$%&'*+-.^_`|~09azAZ: value\r\n"));
    let mut taken = Vec::new();
    for byte in 0..=u8::MAX {
        let is_token = byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        if is_token {
            continue;
        }
        for name in [
            &[byte][..],
            &[byte, b'n'],
            &[b'n', byte, b'm'],
            &[b'n', byte],
        ] {
            // The first colon ends a name.
            let is_cut = byte == b':' && name[0] != b':';
            let line = [name, b": value\r\n"].concat();
            if !is_cut && is_answer_with(&line) {
                taken.push(line.escape_ascii().to_string());
            }
        }
    }
    assert!(taken.is_empty(), "{taken:?}");
}

/// A field whose value has a control byte, a line without a colon, and one that goes
/// on with a blank.
#[test]
fn fetch_with_invalid_field() {
    let mut taken = Vec::new();
    for byte in (0..=u8::MAX).filter(u8::is_ascii_control) {
        for value in [&[byte, b'v'][..], &[b'v', byte, b'w'], &[b'v', byte]] {
            let line = [b"name: ", value, b"\r\n"].concat();
            if byte != b'\t' && is_answer_with(&line) {
                taken.push(line.escape_ascii().to_string());
            }
        }
    }
    for line in [
        &b"name\r\n"[..],
        b"\n",
        b"name: value\r\n more\r\n",
        b"a: b\n",
    ] {
        if is_answer_with(line) {
            taken.push(line.escape_ascii().to_string());
        }
    }
    assert!(taken.is_empty(), "{taken:?}");
}

/// Only the codes from 200 to 599 are those of final answers.
#[test]
fn fetch_with_invalid_status() {
    let is_answer = |status: &str| {
        let response = format!("HTTP/1.1 {status} Text\r\ncontent-length: 5\r\n\r\nwrong");
        fetch_closing(response.as_bytes()).is_ok()
    };
    let codes = (0..1000).map(|code| format!("{code:03}"));
    let odd = [
        "0", "20", "2000", "0200", "+20", "-20", " 200", "2 0", "20x", "2\0", "",
    ];
    let taken: Vec<String> = codes
        .chain(odd.map(String::from))
        .filter(|status| is_answer(status))
        .collect();
    let valid: Vec<String> = (200..600).map(|code| code.to_string()).collect();
    assert_eq!(taken, valid);
}

/// A body whose bytes were always there was read without a pause. No other task ran
/// meanwhile, and no time limit ended it before the limit on its size.
#[test]
fn fetch_of_endless_small_chunks_ends_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).unwrap();
        let chunks = "1\r\nx\r\n".repeat(64 * 1024);
        while stream.write_all(chunks.as_bytes()).is_ok() {}
    });
    let call = Call::get("/").deadline(Duration::from_millis(100));
    let limits = Limits::new().body_bytes(32 * 1024 * 1024);
    let fetched = runtime::run(async move { Pool::new(limits).fetch(peer, call).await });
    assert_eq!(fetched.unwrap().unwrap_err().kind(), Kind::Timeout);
    server.join().unwrap();
}
