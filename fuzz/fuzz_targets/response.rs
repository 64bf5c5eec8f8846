//! Bytes that an endpoint sends to the HTTP client, and the events of a stream.

#![no_main]

mod peer;

use std::{cell::RefCell, time::Duration};

use libfuzzer_sys::fuzz_target;
use link::http::{Limits, Pool, client::Call};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fuzz_target!(|bytes: &[u8]| {
    let address = peer::answer(bytes.to_vec());
    let call = Call::get("/").new_connection().deadline(CALL_TIMEOUT);
    let fetched = link::runtime::run(async move {
        let pool = Pool::new(Limits::new());
        pool.fetch(address, call).await
    });
    let _ = fetched.expect("the runtime should start");
    check_events(bytes);
});

/// Checks that the events do not depend on how the bytes are split.
fn check_events(bytes: &[u8]) {
    let event_lists = RefCell::new(Vec::new());
    for size in [1, 7, bytes.len().max(1)] {
        let mut splitter = link::event::Splitter::default();
        let mut events = Vec::new();
        for piece in bytes.chunks(size) {
            splitter.push(piece);
            while let Some(event) = splitter.next() {
                events.push(event);
            }
        }
        event_lists.borrow_mut().push(events);
    }
    let event_lists = event_lists.into_inner();
    assert!(
        event_lists.windows(2).all(|pair| pair[0] == pair[1]),
        "the events depend on how the bytes are split"
    );
}
