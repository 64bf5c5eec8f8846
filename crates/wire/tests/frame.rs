//! Decoding of frames from an untrusted peer.

use proptest::prelude::*;
use tarragonseam_wire::{Datagram, Error, Request, Response, datagram::Report, decode, encode};

proptest! {
    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2048)) {
        // Any result is accepted, but decoding must not panic.
        let _ = decode::<Request>(&bytes);
        let _ = decode::<Response>(&bytes);
    }

    #[test]
    fn decode_truncated_frame(text in ".{0,64}", fraction in 0.0..1.0_f64) {
        let bytes = encode(&Response::Rejected(text)).unwrap();
        let length = (bytes.len() as f64 * fraction) as usize;
        prop_assert!(decode::<Response>(&bytes[..length]).is_err());
    }

    #[test]
    fn decode_trailing_bytes(text in ".{0,64}", extra in prop::collection::vec(any::<u8>(), 1..9)) {
        let mut bytes = encode(&Response::Rejected(text)).unwrap();
        bytes.extend(extra);
        prop_assert_eq!(decode::<Response>(&bytes), Err(Error::Malformed));
    }

    #[test]
    fn decode_encoded_frame(text in ".{0,64}") {
        let response = Response::Rejected(text);
        let bytes = encode(&response).unwrap();
        prop_assert_eq!(decode::<Response>(&bytes), Ok(response));
    }
}

#[test]
fn decode_other_version() {
    let mut bytes = encode(&Request::Status).unwrap();
    bytes[0] += 1;
    assert_eq!(decode::<Request>(&bytes), Err(Error::Version));
}

#[test]
fn encode_load_report_size() {
    let report = Report {
        endpoint_hash: [255; 4],
        in_flight: 100,
        queued: 100,
        slots: 100,
        version: 10_000,
        age_units: 255,
    };
    let size = |count| {
        let datagram = Datagram::Loads(vec![report; count]);
        encode(&datagram).unwrap().len()
    };
    assert_eq!(size(17) - size(16), 10);
}
