//! Frames from a peer that cannot be trusted.

use proptest::prelude::*;
use tarragonseam_wire::{Answer, Ask, Error, Gram, decode, encode, gram::Report};

proptest! {
    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2048)) {
        // Any result will do: what counts is that there is one.
        let _ = decode::<Ask>(&bytes);
        let _ = decode::<Answer>(&bytes);
    }

    #[test]
    fn decode_cut_frame(name in ".{0,64}", keep in 0.0..1.0_f64) {
        let bytes = encode(&Answer::Refused(name)).unwrap();
        let keep = (bytes.len() as f64 * keep) as usize;
        prop_assert!(decode::<Answer>(&bytes[..keep]).is_err());
    }

    #[test]
    fn decode_trailing_bytes(name in ".{0,64}", extra in prop::collection::vec(any::<u8>(), 1..9)) {
        let mut bytes = encode(&Answer::Refused(name)).unwrap();
        bytes.extend(extra);
        prop_assert_eq!(decode::<Answer>(&bytes), Err(Error::Malformed));
    }

    #[test]
    fn decode_encoded(name in ".{0,64}") {
        let answer = Answer::Refused(name);
        let bytes = encode(&answer).unwrap();
        prop_assert_eq!(decode::<Answer>(&bytes), Ok(answer));
    }
}

#[test]
fn decode_other_version() {
    let mut bytes = encode(&Ask::Status).unwrap();
    bytes[0] += 1;
    assert_eq!(decode::<Ask>(&bytes), Err(Error::Version));
}

#[test]
fn gram_report_is_small() {
    let report = Report {
        endpoint: [255; 4],
        in_flight: 100,
        queued: 100,
        slots: 100,
        version: 10_000,
        age: 255,
    };
    let size = |count| {
        let gram = Gram::Loads(vec![report; count]);
        encode(&gram).unwrap().len()
    };
    assert_eq!(size(17) - size(16), 10);
}
