//! Operators' files: any set of texts yields a configuration or faults, and the
//! result does not depend on the order of the texts.

#![no_main]

use board::config::{self, Part, manifest};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| {
    let part = |(n, text): (usize, &str)| Part {
        file: format!("{n}/tarragonseam.toml"),
        text: text.to_string(),
    };
    let mut parts: Vec<_> = text.split('\0').enumerate().map(part).collect();
    let merged = config::merge(&parts);
    if let Err(faults) = &merged {
        assert!(!faults.is_empty(), "rejected without a fault");
        for fault in faults {
            let part = parts.iter().find(|part| part.file == fault.file);
            let length = part.map_or(0, |part| part.text.len());
            let end = fault.span.clone().map_or(0, |span| span.end);
            assert!(end <= length, "the span of a fault exceeds its file");
        }
    }
    let digests = manifest::from_parts(1, &parts).parts.len();
    assert_eq!(digests, parts.len());
    parts.reverse();
    let reversed = config::merge(&parts);
    assert_eq!(merged.is_ok(), reversed.is_ok());
    if let (Ok(a), Ok(b)) = (merged, reversed) {
        assert_eq!(a, b);
    }
});
