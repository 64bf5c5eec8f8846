//! End-to-end tests of what endpoints answer on a route of event streams.

mod common;

use common::{
    Deployment, caller, job,
    stream::{Attempt, Stream},
};
use fakes::{
    blocking,
    script::{self, Answer, Script},
    site::ENGINE_SERVICE,
};
use link::{
    Method,
    http::client::{Call, Fetched},
};

/// The number of events of each stream.
const EVENTS: usize = 3;

/// Starts a VM, an engine, and an endpoint that the VM prefers and that gives
/// `answers`, each on a connection of its own.
fn start(answers: &[Answer]) -> (Deployment, Script) {
    let connections = answers.iter().map(|answer| vec![*answer]);
    let script = script::spawn(connections.collect()).unwrap();
    let deployment = common::start_beside_script(ENGINE_SERVICE, &script);
    common::add_stream_route(&deployment, true);
    (deployment, script)
}

/// Returns a request for a stream of [`EVENTS`] events with the id `s`.
fn request() -> Call {
    caller(Method::POST, "/stream/a", "s").header("x-events", EVENTS.to_string())
}

fn open(deployment: &Deployment) -> Fetched {
    deployment.vms[0].send(request())
}

/// Returns the text of an answer.
fn text(answer: &Fetched) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// Returns the events from number `first` on as an engine sends them.
fn events(first: usize) -> String {
    let events = (first..EVENTS).map(|number| format!("id: {number}\ndata: s/{number}\n\n"));
    events.collect()
}

/// An endpoint's failure lost its body on its way to the caller.
#[test]
fn failure_instead_of_stream_loses_its_body() {
    let (deployment, script) = start(&[Answer::Failure("no memory left")]);
    let answer = open(&deployment);
    assert_eq!(script.requests(), 1);
    assert_eq!(answer.status, 500);
    assert_eq!(text(&answer), "no memory left");
}

/// An endpoint's failure whose body broke off was followed by the events of another
/// endpoint, in one answer with status 500.
#[test]
fn failure_that_breaks_off_goes_on_with_events() {
    let (deployment, script) = start(&[Answer::CutFailure("no memory left\n\n")]);
    let answer = open(&deployment);
    assert_eq!(script.requests(), 1);
    assert_eq!(answer.status, 504);
    assert!(!text(&answer).contains("data:"), "{}", text(&answer));
}

/// A stream that an endpoint ended within an event was complete for the caller.
#[test]
fn stream_that_ends_within_event_is_complete() {
    let start_of_stream = "id: 0\ndata: s/0\n\nid: 1\nda";
    let (deployment, script) = start(&[Answer::Events(start_of_stream)]);
    let answer = open(&deployment);
    assert_eq!(script.requests(), 1);
    assert_eq!(text(&answer), events(0));
}

/// Asserts that an item has its whole text although an endpoint gives `answer`.
fn assert_item_whole(answer: Answer) {
    let (deployment, script) = start(&[answer]);
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job", &job("i", 1, EVENTS as u64)), 202);
    let samples = vm.read_all("job", 1);
    assert_eq!(script.requests(), 1);
    assert_eq!(samples[0]["text"], common::text("i-0", EVENTS as u64));
}

/// An item whose stream an endpoint ended within an event was done with a part of
/// its text.
#[test]
fn item_that_ends_within_event_is_done() {
    assert_item_whole(Answer::Events("id: 0\ndata: i-0/0\n\nid: 1\nda"));
}

/// An item was done with an empty text after an endpoint answered without a body.
#[test]
fn item_without_body_is_done() {
    assert_item_whole(Answer::Status(204));
}

/// A stream that broke was followed by the text of an error that an endpoint sent
/// with status 200, and was complete.
#[test]
fn stream_goes_on_with_text_of_error() {
    let answers = [
        Answer::Events("id: 0\ndata: s/0\n\nid: 1\nda"),
        Answer::Body("HTTP/1.1 500 Internal Server Error\n\nno memory left\n\n"),
    ];
    let (deployment, script) = start(&answers);
    // The stream can go on only where it began.
    let mut state = deployment.site.state();
    state.endpoints.get_mut("engine-0").unwrap().faults.rejects = u32::MAX;
    drop(state);
    let answer = blocking::fetch(deployment.vms[0].callers, request());
    assert_eq!(script.requests(), 2);
    assert!(answer.is_err(), "{answer:?}");
}

const WHOLE: Answer = Answer::Events("id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n");
/// The answers of which the random ones are drawn.
const ANSWERS: [Answer; 14] = [
    WHOLE,
    WHOLE,
    WHOLE,
    Answer::Events("id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid"),
    Answer::Events("id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\nda"),
    Answer::Events("id: 0\ndata: 0\n\nid: 1"),
    Answer::Events("id: 0\ndata"),
    Answer::Failure("no memory left\n\n"),
    Answer::CutFailure("no memory left\n\n"),
    Answer::Status(500),
    Answer::Status(204),
    Answer::Body("no memory left\n\n"),
    Answer::NotRun,
    Answer::Close,
];
/// The number of streams of a run, each of which gets several answers.
const RANDOM_STREAMS: usize = 200;
/// The most answers that a stream gets.
const ANSWERS_MAX: usize = 12;

/// Whatever endpoints answer, a stream has its events in order and without gaps, is
/// complete only with all of them, and contains nothing else.
fn assert_streams_hold(seed: u64) {
    let draw = |number: usize| {
        let drawn = board::hash::hash_value(&(seed, number)) % ANSWERS.len() as u64;
        ANSWERS[drawn as usize]
    };
    let answers: Vec<Answer> = (0..RANDOM_STREAMS * ANSWERS_MAX).map(draw).collect();
    let (deployment, script) = start(&answers);
    common::add_stream_route_with(&deployment, true, 4);
    let mut state = deployment.site.state();
    state.endpoints.get_mut("engine-0").unwrap().faults.rejects = u32::MAX;
    drop(state);
    let mut complete = 0;
    for number in 0..RANDOM_STREAMS {
        let mut stream = Stream::new(&format!("s{number}"));
        let vm = deployment.vms[0].callers;
        let mut attempt = Attempt::open(vm, &stream, EVENTS as u64);
        attempt.read(usize::MAX);
        // The first answer is passed on unchanged if it names no media type.
        let is_stream = attempt.text().contains("text/event-stream");
        attempt.finish(&mut stream);
        let expected = (0..EVENTS as u64).map(|id| (id, id.to_string()));
        let received = stream.events.len();
        let context = format!("seed {seed}, stream {number}: {:?}", stream.events);
        assert!(
            expected.take(received).eq(stream.events.iter().cloned()),
            "{context}"
        );
        // An endpoint may also stop behind the last event.
        assert!(
            !stream.is_complete || !is_stream || received == EVENTS,
            "{context}"
        );
        complete += usize::from(stream.is_complete && is_stream);
    }
    assert!(
        complete > RANDOM_STREAMS / 10,
        "seed {seed}: {complete} complete"
    );
    assert!(script.requests() > RANDOM_STREAMS);
}

#[test]
fn random_answers_spoil_streams() {
    let seeds = std::env::var("STREAM_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    (0..seeds).for_each(assert_streams_hold);
}
