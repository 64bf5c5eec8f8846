//! Frames between our processes: whatever decodes encodes to a frame that
//! decodes to the same.

#![no_main]

use libfuzzer_sys::fuzz_target;
use serde::{Serialize, de::DeserializeOwned};
use wire::{Answer, Ask, Gram, decode, encode};

fn check_round_trip<T: Serialize + DeserializeOwned>(bytes: &[u8]) {
    let Ok(message) = decode::<T>(bytes) else {
        return;
    };
    let frame = encode(&message).expect("a frame no larger than the one read");
    let decoded: T = decode(&frame).expect("a frame of our own");
    assert_eq!(encode(&decoded).expect("the same frame"), frame);
}

fuzz_target!(|bytes: &[u8]| {
    check_round_trip::<Ask>(bytes);
    check_round_trip::<Answer>(bytes);
    check_round_trip::<Gram>(bytes);
});
