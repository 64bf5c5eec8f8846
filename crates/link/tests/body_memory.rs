//! The limit on the memory that a server uses for all request bodies.

use std::time::Duration;

use tarragonseam_link::{
    Method, StatusCode,
    http::{
        Limits, Pool,
        client::Call,
        server::{self, Drain, Reply},
    },
    net, runtime,
};

const KIB: usize = 1024;

/// Sends `count` requests at once, each with a body of `bytes`, and returns the
/// statuses of the responses. The server limits all bodies to 64 KiB and
/// answers each request after 300 ms.
fn send_concurrently(count: usize, bytes: usize) -> Vec<StatusCode> {
    let run = async move {
        let listener = net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let limits = Limits::new()
            .body_bytes(48 * KIB)
            .total_body_bytes(64 * KIB);
        let handler = |_| async {
            monoio::time::sleep(Duration::from_millis(300)).await;
            Reply::new(StatusCode::OK, "")
        };
        monoio::spawn(server::serve(listener, limits, Drain::default(), handler));
        let pool = Pool::new(Limits::new());
        let calls: Vec<_> = (0..count)
            .map(|_| {
                let pool = pool.clone();
                let call = Call::new(Method::POST, "/").body(vec![7; bytes]);
                monoio::spawn(async move { pool.fetch(address, call).await.unwrap().status })
            })
            .collect();
        let mut statuses = Vec::new();
        for call in calls {
            statuses.push(call.await);
        }
        statuses
    };
    runtime::run(run).unwrap()
}

#[test]
fn serve_bodies_within_total_limit() {
    assert!(
        send_concurrently(4, 8 * KIB)
            .iter()
            .all(|status| *status == 200)
    );
}

#[test]
fn serve_bodies_over_total_limit() {
    let statuses = send_concurrently(4, 40 * KIB);
    let served = statuses.iter().filter(|status| **status == 200).count();
    let rejected = statuses.iter().filter(|status| **status == 503).count();
    assert_eq!((served, rejected), (1, 3));
}

#[test]
fn serve_bodies_in_sequence() {
    for _ in 0..3 {
        assert_eq!(send_concurrently(1, 40 * KIB), [StatusCode::OK]);
    }
}

#[test]
fn serve_body_over_limit() {
    assert_eq!(
        send_concurrently(1, 50 * KIB),
        [StatusCode::PAYLOAD_TOO_LARGE]
    );
}
