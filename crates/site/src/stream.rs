//! Relays event streams from endpoints to callers. A stream that breaks is
//! resumed at another endpoint if the route allows it.

use std::{
    future,
    time::{Duration, Instant},
};

use link::{
    HeaderMap, HeaderName, HeaderValue, StatusCode,
    http::{
        self, Response, error,
        server::{Part, Reply, Sender},
    },
};
use platform::{config::Route, header, stream::Events};

use crate::{
    facts::Key,
    forward::{
        ALL_FULL_PAUSE, Dispatch, End, Forwarder, Outcome, Slot, rejection, reply_for,
        select_service,
    },
    origin::Producer,
    path,
};

/// The longest time between two events after which a stream that may be resumed
/// counts as broken, if its callers wait no longer. They disconnect after two
/// seconds at the earliest.
const EVENT_GAP_MIN: Duration = Duration::from_millis(1800);
/// Callers wait for an event as long as this number of aims of the route.
const EVENT_GAP_AIMS: u32 = 4;
/// The time before callers disconnect at which a stream is resumed.
const RESUME_RESERVE: Duration = Duration::from_millis(200);

/// An event stream that an endpoint has opened.
pub(crate) struct Source {
    pub(crate) key: Key,
    pub(crate) slot: Slot,
    pub(crate) response: Response,
    pub(crate) producer: Producer,
    pub(crate) sent_at: Instant,
}

/// The endpoints of one stream.
#[derive(Default)]
pub(crate) struct Attempts {
    /// What began the stream, once an endpoint has opened it.
    pub(crate) producer: Option<Producer>,
    /// The endpoints that the stream was requested from.
    pub(crate) tried: Vec<Key>,
    /// The number of endpoints that ran the request or may have run it.
    pub(crate) runs: u32,
    /// Whether the caller has the head of the answer. Only another event stream
    /// can continue it then.
    pub(crate) is_answered: bool,
}

impl Attempts {
    /// Returns whether another endpoint may run the request on `route`, which an
    /// endpoint may have run.
    pub(crate) fn may_continue(&self, route: &Route, dispatch: &Dispatch) -> bool {
        dispatch.may_repeat && self.runs < route.max_attempts
    }
}

/// Why the relay from one endpoint stopped.
enum Stop {
    Complete,
    Broken(http::Error),
    CallerDisconnected,
}

impl Forwarder {
    /// Opens the event stream that `dispatch` requests, and returns the reply
    /// that relays it.
    pub(crate) async fn stream(&self, route: Route, dispatch: Dispatch) -> Reply {
        let producer = match self.find_producer(&route, &dispatch).await {
            Ok(producer) => producer,
            Err(reply) => return reply,
        };
        let mut attempts = Attempts {
            producer,
            ..Attempts::default()
        };
        let (outcome, opened) = self.open(&route, &dispatch, &mut attempts).await;
        let Some(opened) = opened else {
            return reply_for(outcome);
        };
        let status = opened.response.status;
        if !is_event_stream(status, &opened.response.headers) {
            return self.pass_on(&dispatch, opened).await;
        }
        let headers = header::forwarded_headers(&opened.response.headers);
        let forwarder = self.clone();
        let mut reply = Reply::produced(status, move |sender| async move {
            forwarder
                .relay(route, dispatch, attempts, opened, sender)
                .await;
        });
        *reply.headers_mut() = headers;
        reply
    }

    /// Returns the reply that passes an answer other than an event stream on, such
    /// as the endpoint's own failure. No other endpoint can continue it.
    async fn pass_on(&self, dispatch: &Dispatch, opened: Source) -> Reply {
        let Source {
            key,
            slot: _slot,
            response,
            sent_at,
            ..
        } = opened;
        let endpoint = self.endpoint(key);
        let answer = path::collect(dispatch.time_left(), future::ready(Ok(response)));
        let end = match answer.await {
            Ok(answer) => {
                if !answer.status.is_server_error() {
                    self.crashes.record_answer(dispatch);
                }
                End::Answered(answer)
            }
            Err(e) => {
                let (request, problem) = (dispatch.id.as_str(), e.to_string());
                spdlog::warn!("answer without events broke off", kv: { request, problem });
                if let Some(endpoint) = endpoint {
                    self.crashes
                        .record_failure(dispatch, &endpoint, sent_at, &e);
                }
                End::Lost
            }
        };
        reply_for(Outcome {
            end,
            ..Outcome::default()
        })
    }

    /// Returns what began the stream that `dispatch` resumes, or `None` if it
    /// begins one.
    ///
    /// # Errors
    ///
    /// The reply if the stream cannot be resumed here.
    async fn find_producer(
        &self,
        route: &Route,
        dispatch: &Dispatch,
    ) -> Result<Option<Producer>, Reply> {
        if !dispatch.headers.contains_key(header::LAST_EVENT) {
            return Ok(None);
        }
        let Some(service) = select_service(route, &dispatch.id) else {
            return Ok(None);
        };
        let origin = dispatch.origin();
        // A rejection has to reach the caller in time for another attempt.
        let deadline = Instant::now() + dispatch.time_left() / 2;
        let found = self.origins.find(origin, service, deadline).await;
        let request = dispatch.id.as_str();
        let origin = origin.unwrap_or_default();
        match found {
            None => {
                spdlog::warn!("stream not resumed, its producer is not known", kv: { request, origin });
                let detail = "it is not known here which software began the stream";
                Err(rejection("unknown-stream", detail))
            }
            Some(producer) if route.shares().all(|(name, _)| name != producer.service) => {
                let service = producer.service.as_str();
                spdlog::warn!("stream not resumed, its route leads elsewhere", kv: { request, origin, service });
                let detail =
                    "the route leads to another service than the one that began the stream";
                Err(rejection("moved-stream", detail))
            }
            Some(producer) => Ok(Some(producer)),
        }
    }

    async fn relay(
        &self,
        route: Route,
        mut dispatch: Dispatch,
        mut attempts: Attempts,
        first: Source,
        sender: Sender,
    ) {
        // The headers of the reply are those of the first endpoint, so the others
        // have to be of its kind even before the first event.
        attempts.producer = Some(first.producer.clone());
        attempts.is_answered = true;
        // The caller's patience began with the head, so the record is no excuse.
        let mut timer = event_timer(&route, &dispatch);
        if dispatch.may_repeat {
            let origin = dispatch.origin().unwrap_or(&dispatch.id);
            self.origins.record(origin, &first.producer).await;
        }
        let mut opened = Some(first);
        let (mut last_id, mut is_continuation) = (None, false);
        while let Some(source) = opened.take() {
            let endpoint = self.endpoint(source.key);
            let sent_at = source.sent_at;
            let relay = relay_events(source, &sender, &mut last_id, timer, is_continuation);
            let stop = relay.await;
            is_continuation = true;
            let request = dispatch.id.as_str();
            let event = last_id.unwrap_or_default();
            match stop {
                Stop::Complete => {
                    self.crashes.record_answer(&dispatch);
                    // The send fails only if the caller has disconnected.
                    let _ = sender.send(Part::End).await;
                    return;
                }
                Stop::CallerDisconnected => return,
                Stop::Broken(e) => {
                    if let Some(endpoint) = endpoint {
                        self.crashes
                            .record_failure(&dispatch, &endpoint, sent_at, &e);
                    }
                    let is_resumed = attempts.may_continue(&route, &dispatch);
                    spdlog::warn!("event stream broke", kv: { request, event, is_resumed });
                    if !is_resumed {
                        return;
                    }
                }
            }
            if let Some(last_id) = last_id {
                dispatch
                    .headers
                    .insert(header::LAST_EVENT, HeaderValue::from(last_id));
            }
            let (_, next) = self.open(&route, &dispatch, &mut attempts).await;
            opened = next;
            timer = event_timer(&route, &dispatch);
        }
    }

    /// Opens an event stream at an endpoint that was not tried.
    async fn open(
        &self,
        route: &Route,
        dispatch: &Dispatch,
        attempts: &mut Attempts,
    ) -> (Outcome, Option<Source>) {
        let mut outcome = Outcome::default();
        loop {
            let attempt = self.open_next(route, dispatch, attempts, &mut outcome);
            match attempt.await {
                Some(Some(opened)) => {
                    outcome.end = End::NotRun;
                    return (outcome, Some(opened));
                }
                Some(None) => {}
                None if outcome.rejections == 0 || outcome.runs > 0 => return (outcome, None),
                None if attempts.tried.is_empty() || self.is_exhausted(dispatch, &outcome) => {
                    return (outcome, None);
                }
                // All endpoints rejected the request, but a slot may become free
                // soon. Few endpoints may have the software of the stream.
                None => {
                    attempts.tried.clear();
                    monoio::time::sleep(ALL_FULL_PAUSE).await;
                }
            }
        }
    }
}

/// Returns whether a response is an event stream, and not an answer of another
/// kind, such as the endpoint's own failure. Endpoints may omit the media type.
pub(crate) fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_other_type = headers.get(CONTENT_TYPE).is_some_and(|value| {
        let mut parts = value.as_bytes().split(|byte| *byte == b';');
        let media_type = parts.next().unwrap_or_default().trim_ascii();
        !media_type.eq_ignore_ascii_case(EVENT_STREAM)
    });
    status == StatusCode::OK && !is_other_type
}

const CONTENT_TYPE: HeaderName = HeaderName::from_static("content-type");
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// The start of a comment in an event stream.
const COMMENT: &[u8] = b":";

/// Relays complete events, and stores the id of the last one in `last_id`. An
/// incomplete event is held back, since its remainder may never arrive. In a
/// continuation, only events and comments are relayed: other text may be the error
/// of an endpoint that cannot continue the stream.
async fn relay_events(
    mut source: Source,
    sender: &Sender,
    last_id: &mut Option<u64>,
    mut timer: EventTimer,
    is_continuation: bool,
) -> Stop {
    let mut events = Events::default();
    let mut holding = source.response.event_holding();
    let (mut is_empty, mut has_other_text) = (true, false);
    loop {
        match source.response.next(timer.remaining()).await {
            None if is_empty && has_other_text => {
                let detail = "the body has text and no events";
                return Stop::Broken(http::Error::new(error::Kind::Malformed, detail));
            }
            // An endpoint may stop within an event, and end its body all the same.
            None if events.is_within_event() => {
                let detail = "the body ended within an event";
                return Stop::Broken(http::Error::new(error::Kind::Malformed, detail));
            }
            None => {
                drop(source.slot);
                return Stop::Complete;
            }
            Some(Err(e)) => return Stop::Broken(e),
            Some(Ok(part)) => {
                if let Err(e) = events.push(&part) {
                    return Stop::Broken(http::Error::new(error::Kind::Malformed, e));
                }
            }
        }
        let mut has_event = false;
        while let Some((bytes, event)) = events.next_block() {
            let is_event = event.is_some();
            if is_continuation && event.is_none() && !bytes.starts_with(COMMENT) {
                has_other_text = true;
                continue;
            }
            let id = event.and_then(|event| event.id);
            if id.is_some_and(|id| last_id.is_some_and(|last_id| id <= last_id)) {
                continue;
            }
            has_event |= is_event;
            *last_id = id.or(*last_id);
            if sender.send(Part::Data(bytes)).await.is_err() {
                return Stop::CallerDisconnected;
            }
        }
        is_empty &= !has_event;
        if !holding.try_hold(events.unfinished_bytes()) {
            let detail = "no memory for bytes without an event";
            return Stop::Broken(http::Error::new(error::Kind::Malformed, detail));
        }
        // A slow caller may have delayed the next read.
        if let Err(e) = timer.record(has_event) {
            return Stop::Broken(e);
        }
    }
}

/// Returns how long to wait for events of a stream on `route`. Another endpoint can
/// continue it only if it may be resumed; else it ends with the caller's deadline,
/// however slow it is.
fn event_timer(route: &Route, dispatch: &Dispatch) -> EventTimer {
    if !dispatch.may_repeat {
        return EventTimer::until(dispatch.deadline);
    }
    let patience = route.aim_ms.unwrap_or_default() * EVENT_GAP_AIMS;
    EventTimer::new(EVENT_GAP_MIN.max(patience.saturating_sub(RESUME_RESERVE)))
}

/// The time that is left for the next event of a stream. Bytes that complete no
/// event do not extend it.
pub(crate) struct EventTimer {
    limit: Duration,
    last_event: Instant,
    /// When the time ends whatever arrives before, if it does.
    end: Option<Instant>,
}

impl EventTimer {
    /// Returns a timer that starts now.
    pub(crate) fn new(limit: Duration) -> Self {
        Self {
            limit,
            last_event: Instant::now(),
            end: None,
        }
    }

    /// Returns a timer that ends at `end`, and allows for any time between events.
    pub(crate) fn until(end: Instant) -> Self {
        Self {
            end: Some(end),
            ..Self::new(Duration::MAX)
        }
    }

    /// Returns how long to wait for the next part of the body. After a pause of
    /// this process, data that has arrived meanwhile is still read.
    pub(crate) fn remaining(&self) -> Duration {
        self.time_left().max(READ_TIME_MIN)
    }

    fn time_left(&self) -> Duration {
        let left = self.limit.saturating_sub(self.last_event.elapsed());
        let until_end = self
            .end
            .map(|end| end.saturating_duration_since(Instant::now()));
        until_end.map_or(left, |until_end| until_end.min(left))
    }

    /// Records a part of the body, after its events were processed.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Timeout`] if the part completed no event and the time for
    /// one has passed.
    pub(crate) fn record(&mut self, has_event: bool) -> Result<(), http::Error> {
        if has_event {
            self.last_event = Instant::now();
        } else if self.time_left().is_zero() {
            let detail = "the endpoint sent bytes without an event";
            return Err(http::Error::new(error::Kind::Timeout, detail));
        }
        Ok(())
    }
}

/// The least time to wait for a part of a body.
const READ_TIME_MIN: Duration = Duration::from_millis(100);
