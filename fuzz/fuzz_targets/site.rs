//! Data that the users' platform, its endpoints and trainers send: records,
//! streams of events, job bodies and paths.

#![no_main]

use libfuzzer_sys::fuzz_target;
use site_platform::{batch, config::Config, endpoint, order, settings::Settings, store, stream};
use tarragonseam_site::job::record;

fn decode_records(bytes: &[u8]) {
    // Any input may be rejected, but must not cause a panic.
    let _ = serde_json::from_slice::<Config>(bytes).map(|config| {
        config
            .route("h", "/a/b")
            .map(|route| route.shares().count());
        config.keys().len()
    });
    let _ = serde_json::from_slice::<batch::Submission>(bytes).map(|job| {
        let tokens = job.items.iter().map(batch::Item::expected_tokens);
        tokens.fold(0_u64, u64::saturating_add)
    });
    let _ = serde_json::from_slice::<order::State>(bytes);
    let _ = serde_json::from_slice::<order::Version>(bytes);
    let _ = serde_json::from_slice::<record::Page>(bytes);
    let _ = serde_json::from_slice::<record::Progress>(bytes);
    let _ = serde_json::from_slice::<record::Head>(bytes);
    let _ = serde_json::from_slice::<record::Claim>(bytes);
    if let Ok(value) = serde_json::from_slice(bytes) {
        let _ = endpoint::decode(value);
    }
}

/// Checks that the events of a stream do not depend on how its bytes are split.
fn check_events(bytes: &[u8]) {
    let read = |size: usize| {
        let mut decoder = stream::Events::default();
        let mut events = Vec::new();
        for part in bytes.chunks(size) {
            if decoder.push(part).is_err() {
                break;
            }
            while let Some(event) = decoder.next() {
                events.push(event);
            }
        }
        events
    };
    if !bytes.is_empty() {
        assert_eq!(read(1), read(bytes.len()));
    }
}

fuzz_target!(|bytes: &[u8]| {
    decode_records(bytes);
    check_events(bytes);
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = toml::from_str::<Settings>(text);
        let _ = store::parse_kind_path(text);
        if let Some(name) = record::Name::decode(text) {
            let decoded =
                record::Name::decode(&name.encode()).expect("an encoded name should decode");
            assert_eq!(decoded, name);
        }
        if let Some(name) = record::ContentName::decode(text) {
            let decoded =
                record::ContentName::decode(&name.encode()).expect("an encoded name should decode");
            assert_eq!(decoded, name);
        }
    }
});
