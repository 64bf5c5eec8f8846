//! Callers over TLS get complete answers and streams, even during a shutdown.
//! Plain text is not answered.

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    sync::Arc,
    time::Duration,
};

use fakes::{blocking, metrics};
use link::http::client::Call;
use rustls::{Certificate, ClientConfig, ClientConnection, RootCertStore, ServerName, StreamOwned};

use super::{
    connection::{Answer, Connection},
    fixture::{Fixture, plan_with, prompt, tokens, wait_until},
};

const READ_TIMEOUT: Duration = Duration::from_secs(30);

type Caller = StreamOwned<ClientConnection, TcpStream>;

/// Starts a deployment and restarts its entry daemon with a certificate.
fn start() -> (Fixture, Arc<ClientConfig>) {
    let mut fixture = Fixture::start(&plan_with(1, 1, &["--tokens-per-s=60"]));
    let self_signed =
        rcgen::generate_simple_self_signed([fixture.entry().ip().to_string()]).unwrap();
    let folder = fixture.deployment.folder.clone();
    let (certificate, key) = (folder.join("tls.pem"), folder.join("tls.key"));
    fs::write(&certificate, self_signed.cert.pem()).unwrap();
    fs::write(&key, self_signed.key_pair.serialize_pem()).unwrap();
    let settings = folder.join("entry-vm-a1.toml");
    let mut text = fs::read_to_string(&settings).unwrap();
    text.push_str(&format!(
        "\ntls_certificate = {certificate:?}\ntls_key = {key:?}\n"
    ));
    fs::write(&settings, text).unwrap();
    fixture.deployment.vms[0].entry.signal("TERM").unwrap();
    wait_until("ended", || {
        fixture.deployment.vms[0].entry.exit_code() == Some(0)
    });
    fixture.deployment.start_entry(0).unwrap();
    let admin = fixture.deployment.vms[0].entry_admin;
    wait_until("ready", || {
        blocking::fetch(admin, Call::get("/ready")).is_ok_and(|a| a.status == 200)
    });
    let mut roots = RootCertStore::empty();
    roots
        .add(&Certificate(self_signed.cert.der().to_vec()))
        .unwrap();
    let config = ClientConfig::builder()
        .with_safe_defaults()
        .with_root_certificates(roots)
        .with_no_client_auth();
    (fixture, Arc::new(config))
}

fn connect(fixture: &Fixture, config: &Arc<ClientConfig>) -> Caller {
    let stream = TcpStream::connect(fixture.entry()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let name = ServerName::try_from(fixture.entry().ip().to_string().as_str()).unwrap();
    let client = ClientConnection::new(config.clone(), name).unwrap();
    StreamOwned::new(client, stream)
}

/// Reads up to the `close_notify` alert. The read fails if the connection ends
/// without it.
fn read_to_end(caller: &mut Caller) -> String {
    let mut text = String::new();
    caller.read_to_string(&mut text).unwrap();
    text
}

fn events(text: String) -> Answer {
    Answer {
        body: text.into_bytes(),
        ..Answer::default()
    }
}

#[test]
fn answer_over_tls() {
    let (mut fixture, config) = start();
    let mut caller = connect(&fixture, &config);
    caller
        .write_all(b"GET /entries/1 HTTP/1.1\r\nconnection: close\r\n\r\n")
        .unwrap();
    let text = read_to_end(&mut caller);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");

    let mut plain = Connection::open(fixture.entry());
    plain.send(b"GET /entries/2 HTTP/1.1\r\n\r\n");
    assert!(plain.read_answer().is_none(), "plain text was answered");
    let admin = fixture.deployment.vms[0].entry_admin;
    let page = blocking::fetch(admin, Call::get("/metrics")).unwrap();
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let count = |result: &str| {
        let samples = metrics::samples(&page);
        let mut samples = samples.filter(|sample| sample.series.starts_with("tarragonseam_tls"));
        samples.any(|sample| sample.label("result") == Some(result) && sample.count() == Some(1))
    };
    assert!(count("accepted") && count("failed"), "{page}");

    let id = fixture.deployment.vms[0].entry.id().unwrap();
    for entry in fs::read_dir(format!("/proc/{id}/fd")).unwrap() {
        let target = fs::read_link(entry.unwrap().path()).unwrap_or_default();
        let target = target.display().to_string();
        assert!(!target.contains("io_uring"), "{target}");
    }
    fixture.assert_healthy();
}

#[test]
fn shutdown_with_stream_over_tls() {
    let (mut fixture, config) = start();
    let mut caller = connect(&fixture, &config);
    let request = fixture.generate_request(&prompt(60, true));
    caller.write_all(&request).unwrap();
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("\"index\":0") {
        let mut byte = [0];
        caller.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
    fixture.deployment.vms[0].entry.signal("TERM").unwrap();
    let text = String::from_utf8(received).unwrap() + &read_to_end(&mut caller);
    assert!(text.ends_with("0\r\n\r\n"), "no last chunk: {text}");
    assert_eq!(
        events(text).events().last().unwrap()["text"],
        tokens(60).join(" ").as_str()
    );
    wait_until("ended", || {
        fixture.deployment.vms[0].entry.exit_code() == Some(0)
    });
}

const IDLE_CONNECTION_COUNT: usize = 400;
/// Memory that one idle connection may take: its TLS session, its buffers and
/// the memory that the allocator retains for both.
const IDLE_CONNECTION_BYTES_MAX: u64 = 128 * 1024;

#[test]
fn memory_idle_over_tls() {
    let (mut fixture, config) = start();
    let look_up = |fixture: &Fixture| {
        let mut caller = connect(fixture, &config);
        caller.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").unwrap();
        let mut received = [0; 12];
        caller.read_exact(&mut received).unwrap();
        assert_eq!(&received, b"HTTP/1.1 404");
        caller
    };
    drop((0..50).map(|_| look_up(&fixture)).collect::<Vec<_>>());
    let before = fixture.resident_kib();
    let idle: Vec<_> = (0..IDLE_CONNECTION_COUNT)
        .map(|_| look_up(&fixture))
        .collect();
    let bytes_each = (fixture.resident_kib() - before) * 1024 / IDLE_CONNECTION_COUNT as u64;
    println!("{bytes_each} bytes for each of {IDLE_CONNECTION_COUNT} idle connections over TLS");
    assert!(
        bytes_each < IDLE_CONNECTION_BYTES_MAX,
        "{bytes_each} bytes each"
    );
    drop(idle);
    fixture.assert_healthy();
}
