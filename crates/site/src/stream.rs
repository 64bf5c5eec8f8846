//! Series of events passed to a caller as they come, and gone on with at
//! another endpoint where the route allows it.

use std::time::Duration;

use link::{
    HeaderValue,
    http::{
        Response,
        server::{Part, Reply, Sender},
    },
};
use platform::{config::Route, header, stream::Events};

use crate::{
    facts::Key,
    forward::{Dispatch, End, Forwarder, Outcome, Slot, reply_for},
};

/// The longest pause within a series after which it counts as broken off. The
/// platform's callers leave after two seconds at the earliest.
const EVENT_GAP_MAX: Duration = Duration::from_millis(1800);

/// A series that an endpoint has begun.
pub(crate) struct Source {
    pub(crate) key: Key,
    pub(crate) slot: Slot,
    pub(crate) response: Response,
}

/// Why a series ended at an endpoint.
enum Stop {
    Complete,
    Broken,
    CallerLeft,
}

impl Forwarder {
    /// Passes the series of events on that `dispatch` asks for.
    pub(crate) async fn stream(&self, route: Route, dispatch: Dispatch) -> Reply {
        let (outcome, opened) = self.open(&route, &dispatch, &mut Vec::new()).await;
        let Some(opened) = opened else {
            return reply_for(outcome);
        };
        let status = opened.response.status;
        let headers = header::passed_on(&opened.response.headers);
        let forwarder = self.clone();
        let mut reply = Reply::produced(status, move |sender| async move {
            forwarder.relay(route, dispatch, opened, sender).await;
        });
        *reply.headers_mut() = headers;
        reply
    }

    async fn relay(&self, route: Route, mut dispatch: Dispatch, first: Source, sender: Sender) {
        let mut tried = vec![first.key];
        let mut opened = Some(first);
        let mut last = None;
        while let Some(source) = opened.take() {
            let stop = relay_events(source, &sender, &mut last).await;
            let request = dispatch.id.as_str();
            let event = last.unwrap_or_default();
            match stop {
                Stop::Complete => {
                    // A caller that has left needs no end.
                    let _ = sender.send(Part::End).await;
                    return;
                }
                Stop::CallerLeft => return,
                Stop::Broken => {
                    let is_resumed = route.resumable && tried.len() < route.max_attempts as usize;
                    spdlog::warn!("stream broke off", kv: { request, event, is_resumed });
                    if !is_resumed {
                        return;
                    }
                }
            }
            if let Some(last) = last {
                dispatch
                    .headers
                    .insert(header::LAST_EVENT, HeaderValue::from(last));
            }
            let (_, next) = self.open(&route, &dispatch, &mut tried).await;
            opened = next;
        }
    }

    /// Opens a series at an endpoint that is not among those `tried`.
    async fn open(
        &self,
        route: &Route,
        dispatch: &Dispatch,
        tried: &mut Vec<Key>,
    ) -> (Outcome, Option<Source>) {
        let mut outcome = Outcome::default();
        while let Some(attempt) = self.open_next(route, dispatch, tried, &mut outcome).await {
            if let Some(opened) = attempt {
                outcome.end = End::NotRun;
                return (outcome, Some(opened));
            }
        }
        (outcome, None)
    }
}

/// Passes whole events on, and notes the number of the last one. A part of an
/// event is kept back: its rest may never come.
async fn relay_events(mut source: Source, sender: &Sender, last: &mut Option<u64>) -> Stop {
    let mut events = Events::default();
    loop {
        match source.response.next(EVENT_GAP_MAX).await {
            None => {
                drop(source.slot);
                return Stop::Complete;
            }
            Some(Err(_)) => return Stop::Broken,
            Some(Ok(part)) => events.push(&part),
        }
        while let Some((bytes, event)) = events.next_raw() {
            let id = event.and_then(|event| event.id);
            if id.is_some_and(|id| last.is_some_and(|last| id <= last)) {
                continue;
            }
            *last = id.or(*last);
            if sender.send(Part::Data(bytes)).await.is_err() {
                return Stop::CallerLeft;
            }
        }
    }
}
