//! Frames between VMs: a message that was decoded encodes to a frame that decodes
//! to the same message.

#![no_main]

use libfuzzer_sys::fuzz_target;
use serde::{Serialize, de::DeserializeOwned};
use wire::{Datagram, Request, Response, decode, encode};

fn check_round_trip<T: Serialize + DeserializeOwned>(bytes: &[u8]) {
    let Ok(message) = decode::<T>(bytes) else {
        return;
    };
    let frame = encode(&message).expect("a decoded message should encode");
    let decoded: T = decode(&frame).expect("an encoded message should decode");
    assert_eq!(
        encode(&decoded).expect("a decoded message should encode again"),
        frame
    );
}

fuzz_target!(|bytes: &[u8]| {
    check_round_trip::<Request>(bytes);
    check_round_trip::<Response>(bytes);
    check_round_trip::<Datagram>(bytes);
});
