//! Frames between our processes: whatever decodes encodes to a frame that
//! decodes to the same.

#![no_main]

use libfuzzer_sys::fuzz_target;
use serde::{Serialize, de::DeserializeOwned};
use wire::{Datagram, Request, Response, decode, encode};

fn round<T: Serialize + DeserializeOwned>(bytes: &[u8]) {
    let Ok(message) = decode::<T>(bytes) else {
        return;
    };
    let frame = encode(&message).expect("a frame no larger than the one read");
    let again: T = decode(&frame).expect("a frame of our own");
    assert_eq!(encode(&again).expect("the same frame"), frame);
}

fuzz_target!(|bytes: &[u8]| {
    round::<Request>(bytes);
    round::<Response>(bytes);
    round::<Datagram>(bytes);
});
