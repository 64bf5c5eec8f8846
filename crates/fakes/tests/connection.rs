//! The connections on which the HTTP client sends requests with an id.

use link::{
    HeaderName,
    http::{Limits, Pool, client::Call},
    runtime,
};
use tarragonseam_fakes::script::{self, Answer, Script};

/// Sends a request with each of `ids` to `script`, and returns the statuses.
fn send_in_turn(script: &Script, ids: &[&str]) -> Vec<u16> {
    let run = async {
        let pool = Pool::new(Limits::new());
        let mut statuses = Vec::new();
        for id in ids {
            let call = Call::get("/").echoed_header(HeaderName::from_static("request-id"), id);
            let fetched = pool.fetch(script.address, call).await.unwrap();
            statuses.push(fetched.status.as_u16());
        }
        statuses
    };
    runtime::run(run).unwrap()
}

#[test]
fn requests_with_different_ids_share_a_connection() {
    let script = script::spawn(vec![vec![Answer::Status(204); 3]]).unwrap();
    assert_eq!(send_in_turn(&script, &["r1", "r2", "r3"]), [204, 204, 204]);
}

#[test]
fn request_sent_again_uses_another_connection() {
    let first = vec![Answer::NotRun, Answer::BodyAfterLateNotRun("late")];
    let second = vec![Answer::Body("own"), Answer::Close];
    let script = script::spawn(vec![first, second]).unwrap();
    assert_eq!(send_in_turn(&script, &["r1", "r1"]), [503, 200]);
    assert_eq!(script.runs(), 1);
}

#[test]
fn request_sent_again_after_others_uses_another_connection() {
    let first = vec![
        Answer::NotRun,
        Answer::NotRun,
        Answer::BodyAfterLateNotRun("late"),
    ];
    let second = vec![Answer::Body("own"), Answer::Close];
    let script = script::spawn(vec![first, second]).unwrap();
    assert_eq!(send_in_turn(&script, &["r1", "r2", "r1"]), [503, 503, 200]);
    assert_eq!(script.runs(), 1);
}
