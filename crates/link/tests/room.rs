//! The bound on what all bodies of a server take in memory.

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

const KB: usize = 1024;

/// Sends `bytes` of body to a server that has room for 64 KB and answers a
/// request after 300 ms, `count` times at once, and returns the answers.
fn flood(count: usize, bytes: usize) -> Vec<StatusCode> {
    let run = async move {
        let listener = net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let limits = Limits::new().body_bytes(48 * KB).room_bytes(64 * KB);
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
        let mut answers = Vec::new();
        for call in calls {
            answers.push(call.await);
        }
        answers
    };
    runtime::run(run).unwrap()
}

#[test]
fn room_for_all() {
    assert!(flood(4, 8 * KB).iter().all(|status| *status == 200));
}

#[test]
fn room_for_some() {
    let answers = flood(4, 40 * KB);
    let served = answers.iter().filter(|status| **status == 200).count();
    let refused = answers.iter().filter(|status| **status == 503).count();
    assert_eq!((served, refused), (1, 3));
}

#[test]
fn room_is_given_back() {
    for _ in 0..3 {
        assert_eq!(flood(1, 40 * KB), [StatusCode::OK]);
    }
}

#[test]
fn body_over_the_limit_is_refused_as_such() {
    assert_eq!(flood(1, 50 * KB), [StatusCode::PAYLOAD_TOO_LARGE]);
}
