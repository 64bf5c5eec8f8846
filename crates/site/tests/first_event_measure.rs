//! Measures the time to the first event of a stream, with and without VMs that
//! keep records on disks. Run with `--ignored --nocapture`.

mod common;

use std::time::{Duration, Instant};

use common::stream::{Attempt, EVENTS, Stream, start};

/// The number of streams that are opened one after the other.
const STREAMS: usize = 300;

/// Returns the median and the 99th percentile of the time to the first event.
fn times(disks: usize) -> (Duration, Duration) {
    let mut deployment = start(4, Duration::from_millis(5));
    deployment.add_disks(disks);
    common::add_stream_route(&deployment, true);
    let vm = deployment.vms[3].callers;
    let mut times: Vec<Duration> = (0..STREAMS)
        .map(|number| {
            let mut stream = Stream::new(&format!("s{number}"));
            let begin = Instant::now();
            let mut attempt = Attempt::open(vm, &stream, EVENTS);
            attempt.read(1);
            let elapsed = begin.elapsed();
            attempt.finish(&mut stream);
            elapsed
        })
        .collect();
    times.sort();
    (times[STREAMS / 2], times[STREAMS * 99 / 100])
}

#[test]
#[ignore = "a measurement"]
fn first_event_with_and_without_disks() {
    for disks in [0, 1, 3] {
        let (median, p99) = times(disks);
        println!("disks {disks}: median {median:?}, 99th percentile {p99:?}");
    }
}
