//! Callers that nobody controls must not end the entry daemon: its memory and
//! descriptors stay bounded, and an ordinary request is answered afterwards.

mod common;

use std::time::Duration;

use fakes::{
    crowd::{self, Crowd, unfinished_chunks},
    deployment::{Deployment, Plan},
};

/// The bounds that each case checks.
const MEMORY_MAX: u64 = 200 * 1024 * 1024;
const DESCRIPTORS_MAX: usize = 300;

const CALLERS: usize = 48;
/// The time for the daemon to read what the kernel has accepted from callers.
const READ_TIME: Duration = Duration::from_secs(3);

/// In chunks of one byte, the body takes six times as many bytes on the wire,
/// just below the limit of the daemon.
const TINY_CHUNKS_BODY_BYTES: usize = 170_000;
const BODY_BYTES: usize = 1_000_000;
const KB: usize = 1000;

fn requests() -> Vec<(&'static str, Vec<u8>)> {
    let head = "POST /entries/1 HTTP/1.1\r\nhost: entry\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let with_length = format!("{head}content-length: {BODY_BYTES}\r\n\r\n");
    let repeat = |start: &str, text: &str, bytes: usize| {
        let repeated = text.repeat(bytes / text.len());
        format!("{start}{repeated}").into_bytes()
    };
    vec![
        (
            "chunks of one byte",
            unfinished_chunks(head, TINY_CHUNKS_BODY_BYTES, 1),
        ),
        ("large chunks", unfinished_chunks(head, BODY_BYTES, 64 * KB)),
        (
            "no key",
            unfinished_chunks(
                "POST /submissions HTTP/1.1\r\nhost: entry\r\n",
                TINY_CHUNKS_BODY_BYTES,
                1,
            ),
        ),
        (
            "no route",
            unfinished_chunks(
                "POST /nowhere HTTP/1.1\r\nhost: entry\r\n",
                TINY_CHUNKS_BODY_BYTES,
                1,
            ),
        ),
        ("a length", repeat(&with_length, "x", BODY_BYTES - 1)),
        (
            "an extension without end",
            repeat(&format!("{chunked}1;"), "x", 2 * BODY_BYTES),
        ),
        (
            "trailers without end",
            repeat(&format!("{chunked}0\r\n"), "x-t: v\r\n", 2 * BODY_BYTES),
        ),
        ("many headers", repeat(head, "x-h: v\r\n", 2 * BODY_BYTES)),
    ]
}

/// Guards against bodies that cost many times their bytes, and against those
/// that are held without a common limit.
#[test]
fn unfinished_requests() {
    let plan =
        Plan::new(common::FESTIVAL_TREE)
            .vms(1, &["a"])
            .services("entry-registry", 1, &["a"]);
    link::runtime::run(async {
        let deployment = common::start_unconfigured(&plan).await;
        common::publish(&deployment);
        deployment.wait_ready().await.unwrap();
        let entry = deployment.vms[0].callers;
        let answered = deployment.wait_status(entry, "/entries/1", 200).await;
        answered.unwrap();
        for (case, bytes) in requests() {
            let crowd = Crowd::send(entry, CALLERS, bytes);
            monoio::time::sleep(READ_TIME).await;
            check_usage(&deployment, case, &crowd);
            let answered = deployment.wait_status(entry, "/entries/1", 200).await;
            answered.unwrap();
            check_usage(&deployment, case, &crowd);
        }
    })
    .unwrap();
}

fn check_usage(deployment: &Deployment, case: &str, crowd: &Crowd) {
    let id = deployment.vms[0].entry.id().unwrap();
    let peak = crowd::peak_memory(id).unwrap();
    let descriptors = crowd::descriptors(id).unwrap();
    println!(
        "{case}: {} connections, peak memory {} KB, {descriptors} descriptors",
        crowd.size(),
        peak / 1024
    );
    assert!(peak < MEMORY_MAX, "{case}: peak memory {peak}");
    assert!(
        descriptors < DESCRIPTORS_MAX,
        "{case}: {descriptors} open descriptors"
    );
}
