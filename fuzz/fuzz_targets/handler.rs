//! Requests with a valid key to the handlers of an entry daemon, with a fake
//! platform and without endpoints.

#![no_main]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::OnceLock,
    thread,
    time::Duration,
};

use board::{
    config::{Manifest, Part, manifest},
    key::{Digest, Grant},
};
use fakes::{Config, Handle, platform};
use libfuzzer_sys::fuzz_target;
use link::platform::{Client, Condition};

/// The key of the only account.
const KEY: &str = "fuzz-key";
const CONFIG_FILE: &str = r#"
[accounts.a]
[models.m]
max_tokens = 8
deadline_ms = 20
[services.s]
[routes.r]
path = "/r"
service = "s"
deadline_ms = 20
[trainers.t]
account = "a"
model = "m"
scorer = "127.0.0.1:1"
group = 1
groups_per_step = 1
groups_per_lot = 1
max_tokens = 8
max_staleness = 1
"#;

/// The calls; `#` is replaced by the number in the input.
const CALL_TEMPLATES: [&str; 9] = [
    "POST /v1/models/m/generate",
    "POST /v1/trainers/t/steps/#",
    "GET /v1/trainers/t/lots/#",
    "POST /v1/trainers/t/lots/#/ack",
    "GET /v1/trainers/t/cursor",
    "POST /v1/trainers/t/weights",
    "POST /r",
    "GET /r/#?a=#",
    "GET /v1/trainers/t/lots/0?wait_ms=#",
];
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(20);

struct Daemon {
    address: SocketAddr,
    _platform: Handle,
}

async fn publish(platform: SocketAddr) {
    let client = Client::new(platform, "fuzz");
    let part = Part {
        file: "tarragonseam.toml".to_string(),
        text: CONFIG_FILE.to_string(),
    };
    let manifest: Manifest = manifest::from_parts(1, std::slice::from_ref(&part));
    let name = manifest.parts[0].digest.to_string();
    let grant = Grant {
        account: "a".to_string(),
        withdrawn: false,
    };
    let text = client.put(manifest::PART_KIND, &name, Condition::Absent, part.text);
    text.await.expect("the part should be written");
    let manifest_write = client.write(
        manifest::KIND,
        manifest::CURRENT,
        Condition::Absent,
        &manifest,
    );
    manifest_write
        .await
        .expect("the manifest should be written");
    let name = Digest::of(KEY).to_string();
    let key = client.write("key", &name, Condition::Absent, &grant);
    key.await.expect("the key should be written");
}

/// Returns an address on which nothing listens at the moment.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port should be free");
    listener
        .local_addr()
        .expect("the listener should have an address")
}

fn start() -> Daemon {
    let config = platform::Config {
        writes_per_s: 1_000_000,
        reads_per_s: 1_000_000,
        ..platform::Config::default()
    };
    let platform = fakes::spawn(Config::Platform(config)).expect("the platform should start");
    link::runtime::run(publish(platform.address())).expect("the runtime should start");
    let (address, peers, admin) = (free_address(), free_address(), free_address());
    let settings = format!(
        "vm = \"v\"\nfailure_domain = \"a\"\ncallers = \"{address}\"\npeers = \"{peers}\"\n\
         admin = \"{admin}\"\nplatform = \"{}\"\n",
        platform.address()
    );
    let settings = toml::from_str(&settings).expect("the settings should parse");
    thread::spawn(|| entry::run(settings).expect("the entry daemon should run"));
    while !send_call(address, CALL_TEMPLATES[4], "0", b"").starts_with(b"HTTP/1.1 200") {
        thread::sleep(POLL_PERIOD);
    }
    Daemon {
        address,
        _platform: platform,
    }
}

fn send_call(address: SocketAddr, call: &str, number: &str, body: &[u8]) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Vec::new();
    };
    let limit = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
    limit.expect("the timeout should be set");
    let call = call.replace('#', number);
    let head = format!(
        "{call} HTTP/1.1\r\nauthorization: Bearer {KEY}\r\nx-deadline-ms: 20\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
    let mut response = Vec::new();
    if let Err(e) = stream.read_to_end(&mut response) {
        assert_ne!(
            e.kind(),
            std::io::ErrorKind::WouldBlock,
            "the answer did not end in time"
        );
    }
    response
}

fuzz_target!(|bytes: &[u8]| {
    static DAEMON: OnceLock<Daemon> = OnceLock::new();
    let daemon = DAEMON.get_or_init(start);
    let [choice, rest @ ..] = bytes else {
        return;
    };
    let (number, body) = match rest.iter().position(|byte| *byte == b'\n') {
        Some(end) => (&rest[..end], &rest[end + 1..]),
        None => (&b"0"[..], rest),
    };
    let is_path_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~%/".contains(byte);
    let number: String = number
        .iter()
        .filter(|b| is_path_byte(b))
        .map(|b| *b as char)
        .collect();
    let call = CALL_TEMPLATES[usize::from(*choice) % CALL_TEMPLATES.len()];
    // The input could request a wait longer than `ANSWER_TIMEOUT`.
    let number = match call.contains("wait_ms") {
        true => "5",
        false => &number,
    };
    let response = send_call(daemon.address, call, number, body);
    assert!(response.starts_with(b"HTTP/1.1 "), "no answer to {call}");
});
