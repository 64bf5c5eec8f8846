//! Objects and answers of the platform, decoded into the daemons' records and
//! read by the platform client.

#![no_main]

mod peer;

use std::time::Duration;

use board::{config::Manifest, key::Grant, lease, lot, usage};
use libfuzzer_sys::fuzz_target;
use link::platform::{Client, Condition, Error};
use serde::{Serialize, de::DeserializeOwned};

/// Checks that a record that was decoded encodes to JSON that decodes to the same
/// record.
fn check_round_trip<T: Serialize + DeserializeOwned>(bytes: &[u8]) {
    let Ok(record) = serde_json::from_slice::<T>(bytes) else {
        return;
    };
    let text = serde_json::to_vec(&record).expect("a decoded record should encode");
    let decoded: T = serde_json::from_slice(&text).expect("an encoded record should decode");
    assert_eq!(
        serde_json::to_vec(&decoded).expect("a decoded record should encode again"),
        text
    );
}

fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\netag: \"3\"\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

async fn call(client: &Client, choice: u8) -> Result<(), Error> {
    match choice {
        0 => client.get("lease", "x").await.map(drop),
        1 => client.list("key", "").await.map(drop),
        2 => client.watch("key", 1, Duration::ZERO).await.map(drop),
        3 => client.vms().await.map(drop),
        4 => client.endpoints(None).await.map(drop),
        _ => client
            .put("lease", "x", Condition::Absent, "{}")
            .await
            .map(drop),
    }
}

fuzz_target!(|bytes: &[u8]| {
    let [choice, status, body @ ..] = bytes else {
        return;
    };
    check_round_trip::<Manifest>(body);
    check_round_trip::<Grant>(body);
    check_round_trip::<lease::Record>(body);
    check_round_trip::<lot::Manifest>(body);
    check_round_trip::<usage::Record>(body);
    let status = match status % 5 {
        0 | 1 => "200 OK",
        2 => "412 Precondition Failed",
        3 => "503 Service Unavailable",
        _ => "429 Too Many Requests",
    };
    let address = peer::answer(response(status, body));
    let result = link::runtime::run(async move {
        let client = Client::new(address, "vm-1");
        call(&client, choice % 6).await
    });
    // The client may return any of its errors, but must not panic.
    let _ = result.expect("the runtime should start");
});
