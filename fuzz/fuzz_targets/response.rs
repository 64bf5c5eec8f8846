//! Bytes of an endpoint through the client, and events of a stream.

#![no_main]

mod stand;

use std::{cell::RefCell, time::Duration};

use libfuzzer_sys::fuzz_target;
use link::http::{Limits, Pool, client::Call};

const CALL_TIME: Duration = Duration::from_secs(2);

fuzz_target!(|bytes: &[u8]| {
    let address = stand::answer(bytes.to_vec());
    let call = Call::get("/").new_connection().deadline(CALL_TIME);
    let fetched = link::runtime::run(async move {
        let pool = Pool::new(Limits::new());
        pool.fetch(address, call).await
    });
    let _ = fetched.expect("a runtime");
    events(bytes);
});

/// The events are the same in whatever pieces they come.
fn events(bytes: &[u8]) {
    let seen = RefCell::new(Vec::new());
    for size in [1, 7, bytes.len().max(1)] {
        let mut splitter = link::event::Splitter::default();
        let mut events = Vec::new();
        for piece in bytes.chunks(size) {
            splitter.push(piece);
            while let Some(event) = splitter.next() {
                events.push(event);
            }
        }
        seen.borrow_mut().push(events);
    }
    let seen = seen.into_inner();
    assert!(
        seen.windows(2).all(|pair| pair[0] == pair[1]),
        "events differ"
    );
}
