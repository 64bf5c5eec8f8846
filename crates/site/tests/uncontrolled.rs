//! Callers that nobody controls must not end a VM: its memory and descriptors
//! stay within the settings, and an ordinary request is answered afterwards.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use common::{Deployment, HOST, KEY, caller, peer_address, wait};
use fakes::{
    blocking,
    crowd::{self, Crowd, finished_chunks, unfinished_chunks},
    script::{self, Answer},
    site::{PLAIN_SERVICE, Plan},
};
use link::Method;

/// The settings of the VM, and the bounds that each test checks.
const MEMORY_MB: u64 = 120;
const DESCRIPTORS_MAX: usize = 500;

/// The time for the VM to read what the kernel has accepted from the callers.
const READ_TIME: Duration = Duration::from_secs(3);

const CALLERS: usize = 12;
const KB: usize = 1000;
const MB: usize = 1000 * KB;

/// Tests run one at a time, since each holds much memory.
static SERIAL: Mutex<()> = Mutex::new(());

struct Case {
    deployment: Deployment,
    _serial: MutexGuard<'static, ()>,
}

impl Case {
    /// Starts a VM with the limits, and an endpoint that gives `answer` to each
    /// request.
    fn start(answer: Answer) -> Self {
        let serial = SERIAL.lock().unwrap_or_else(|e| e.into_inner());
        let mut deployment = Deployment::start(1, Plan::default());
        let vm = &mut deployment.vms[0];
        vm.change_settings(|text| {
            let limits = format!("memory-mb = {MEMORY_MB}\nmax-fds = {DESCRIPTORS_MAX}");
            text.replace("memory-mb = 260", &limits)
        });
        vm.kill();
        vm.restart();
        let script = script::spawn(vec![vec![answer]; 200]).unwrap();
        common::announce_script(&deployment, PLAIN_SERVICE, &script);
        Self {
            deployment,
            _serial: serial,
        }
    }

    fn callers(&self) -> SocketAddr {
        self.deployment.vms[0].callers
    }

    /// Checks the process while the connections of `crowd` are open.
    fn check(self, crowd: Crowd) {
        std::thread::sleep(READ_TIME);
        self.check_usage(&crowd);
        let vm = &self.deployment.vms[0];
        wait("the answer to an ordinary request", || {
            let call = caller(Method::POST, "/safe/ordinary", "ordinary");
            blocking::fetch(vm.callers, call).is_ok_and(|answer| answer.status == 200)
        });
        self.check_usage(&crowd);
    }

    fn check_usage(&self, crowd: &Crowd) {
        let vm = &self.deployment.vms[0];
        let peak = crowd::peak_memory(vm.process_id()).unwrap();
        let descriptors = crowd::descriptors(vm.process_id()).unwrap();
        println!(
            "{} connections, peak memory {} KB, {descriptors} descriptors",
            crowd.size(),
            peak / 1024
        );
        assert!(peak < MEMORY_MB * 1024 * 1024, "peak memory {peak}");
        assert!(
            descriptors < DESCRIPTORS_MAX,
            "{descriptors} open descriptors"
        );
    }
}

/// Returns the head of a request of the account `acme`, without its empty line.
fn head(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-api-key: {KEY}\r\n\
         request-id: crowd\r\ndeadline-ms: 20000\r\n"
    )
}

/// Guards against a queue of decoded chunks that costs many times the body.
#[test]
fn unfinished_bodies_in_chunks_of_one_byte() {
    let case = Case::start(Answer::Body("ok"));
    let bytes = unfinished_chunks(&head("/safe/a"), 400 * KB, 1);
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against the same at the port for other VMs.
#[test]
fn unfinished_bodies_in_chunks_of_one_byte_at_the_port_for_vms() {
    let case = Case::start(Answer::Body("ok"));
    let address = peer_address(&case.deployment.vms[0]);
    let bytes = unfinished_chunks(&head("/safe/a"), 400 * KB, 1);
    let crowd = Crowd::send(address, CALLERS, bytes);
    case.check(crowd);
}

/// Guards against bodies that are held without a common limit.
#[test]
fn unfinished_bodies_in_large_chunks() {
    let case = Case::start(Answer::Body("ok"));
    let bytes = unfinished_chunks(&head("/safe/a"), 12 * MB, 64 * KB);
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against one chunk that is held whole before it is counted.
#[test]
fn unfinished_bodies_in_one_chunk() {
    let case = Case::start(Answer::Body("ok"));
    let bytes = unfinished_chunks(&head("/safe/a"), 12 * MB, 12 * MB);
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against bodies with a length that are held without a common limit.
#[test]
fn unfinished_bodies_with_a_length() {
    let case = Case::start(Answer::Body("ok"));
    let mut bytes = format!("{}content-length: {}\r\n\r\n", head("/safe/a"), 12 * MB).into_bytes();
    bytes.resize(bytes.len() + 12 * MB - 1, b'x');
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against a chunk extension that is held while it arrives.
#[test]
fn chunk_extension_without_end() {
    let case = Case::start(Answer::Body("ok"));
    let mut bytes = format!("{}transfer-encoding: chunked\r\n\r\n1;", head("/safe/a")).into_bytes();
    bytes.resize(bytes.len() + 12 * MB, b'x');
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against trailers that are held while they arrive.
#[test]
fn trailers_without_end() {
    let case = Case::start(Answer::Body("ok"));
    let mut bytes =
        format!("{}transfer-encoding: chunked\r\n\r\n0\r\n", head("/safe/a")).into_bytes();
    bytes.extend_from_slice("x-trailer: value\r\n".repeat(600_000).as_bytes());
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against heads that are held without a limit.
#[test]
fn many_headers() {
    let case = Case::start(Answer::Body("ok"));
    let mut bytes = head("/safe/a").into_bytes();
    bytes.extend_from_slice("x-header: value\r\n".repeat(100_000).as_bytes());
    let crowd = Crowd::send(case.callers(), 5 * CALLERS, bytes);
    case.check(crowd);
}

/// Guards against a cost for each read of a head.
#[test]
fn heads_that_arrive_a_byte_at_a_time() {
    let case = Case::start(Answer::Body("ok"));
    let mut bytes = head("/safe/a").into_bytes();
    bytes.extend_from_slice("x-header: value\r\n".repeat(100).as_bytes());
    let crowd = Crowd::send_in_steps(case.callers(), 5 * CALLERS, bytes, 1);
    case.check(crowd);
}

/// Guards against bodies that are held although their request is refused.
#[test]
fn bodies_of_requests_without_a_key() {
    let case = Case::start(Answer::Body("ok"));
    let head = format!("POST /safe/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: crowd\r\n");
    let bytes = unfinished_chunks(&head, 400 * KB, 1);
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against bodies that are held although their request has no route.
#[test]
fn bodies_of_requests_without_a_route() {
    let case = Case::start(Answer::Body("ok"));
    let bytes = unfinished_chunks(&head("/nowhere"), 400 * KB, 1);
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against bodies over the limit that are held until they reach it.
#[test]
fn bodies_over_the_limit() {
    let case = Case::start(Answer::Body("ok"));
    let bytes = unfinished_chunks(&head("/safe/a"), 40 * MB, 64 * KB);
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against replies that are held, and copied, until their caller reads
/// them.
#[test]
fn replies_that_are_never_read() {
    let case = Case::start(Answer::Body("x".repeat(4 * MB).leak()));
    let bytes = format!("{}content-length: 0\r\n\r\n", head("/safe/a")).into_bytes();
    let crowd = Crowd::send(case.callers(), 10 * CALLERS, bytes);
    case.check(crowd);
}

/// Guards against answers of endpoints in chunks of one byte that cost many
/// times their bytes.
#[test]
fn answers_in_chunks_of_one_byte() {
    let case = Case::start(Answer::EndlessBody("x"));
    let bytes = format!("{}content-length: 0\r\n\r\n", head("/safe/a")).into_bytes();
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against heads of answers that are held without a limit.
#[test]
fn heads_of_answers_without_end() {
    let case = Case::start(Answer::EndlessHead("x-header: value\r\n"));
    let bytes = format!("{}content-length: 0\r\n\r\n", head("/safe/a")).into_bytes();
    let crowd = Crowd::send(case.callers(), CALLERS, bytes);
    case.check(crowd);
}

/// Guards against connections that take all descriptors.
#[test]
fn connections_that_send_nothing() {
    let case = Case::start(Answer::Body("ok"));
    let crowd = Crowd::connect(case.callers(), 2 * DESCRIPTORS_MAX);
    case.check(crowd);
}

/// Sends `bytes` and returns the first line of the reply.
fn status_line(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    // A refusal may arrive before all is written.
    let _ = stream.write_all(bytes);
    let mut start = [0; 15];
    let _ = stream.read_exact(&mut start);
    String::from_utf8_lossy(&start).to_string()
}

/// The largest body that the platform allows.
const LARGEST_BODY_BYTES: usize = 33_554_432;

/// Guards against a limit below that of a single body within the limits.
#[test]
fn single_body_of_32_mb_with_a_length() {
    let case = Case::start(Answer::Body("ok"));
    let length = LARGEST_BODY_BYTES;
    let mut bytes = format!("{}content-length: {length}\r\n\r\n", head("/safe/a")).into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    let line = status_line(case.callers(), &bytes);
    assert_eq!(line, "HTTP/1.1 200 OK");
    case.check(Crowd::connect(SocketAddr::from(([127, 0, 0, 1], 0)), 0));
}

/// As [`single_body_of_32_mb_with_a_length`], in chunks.
#[test]
fn single_body_of_32_mb_in_chunks() {
    let case = Case::start(Answer::Body("ok"));
    let bytes = finished_chunks(&head("/safe/a"), LARGEST_BODY_BYTES, 64 * KB);
    let line = status_line(case.callers(), &bytes);
    assert_eq!(line, "HTTP/1.1 200 OK");
    case.check(Crowd::connect(SocketAddr::from(([127, 0, 0, 1], 0)), 0));
}

/// Guards against refusals that operators cannot see, and against a log line for
/// each of them.
#[test]
fn refusals_are_counted_and_logged_within_bounds() {
    let case = Case::start(Answer::Body("ok"));
    let mut bytes = head("/safe/a").into_bytes();
    bytes.extend_from_slice("x-header: value\r\n".repeat(10_000).as_bytes());
    let crowd = Crowd::send(case.callers(), 3 * CALLERS, bytes);
    let vm = &case.deployment.vms[0];
    let series = "tarragonseam_refused_callers{reason=\"head-too-large\",";
    wait("the counted refusals", || {
        let page = vm.metrics_page();
        let mut lines = page.lines().filter(|line| line.starts_with(series));
        lines.any(|line| line.ends_with(&format!(" {}", 3 * CALLERS)))
    });
    vm.wait_until_logged("callers refused");
    assert!(vm.log().matches("callers refused").count() < 10);
    case.check(crowd);
}
