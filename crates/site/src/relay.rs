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
    forward::{End, Forwarder, Order, Outcome, Place, answer_of},
};

/// The longest pause within a series after which it counts as broken off. The
/// platform's callers leave after two seconds at the earliest.
const PAUSE_TIME: Duration = Duration::from_millis(1800);

/// A series that an endpoint has begun.
pub(crate) struct Opened {
    pub(crate) key: Key,
    pub(crate) place: Place,
    pub(crate) response: Response,
}

/// Why a series ended at an endpoint.
enum Stop {
    Whole,
    Broken,
    CallerLeft,
}

impl Forwarder {
    /// Passes the series of events on that `order` asks for.
    pub(crate) async fn stream(&self, route: Route, order: Order) -> Reply {
        let (outcome, opened) = self.open(&route, &order, &mut Vec::new()).await;
        let Some(opened) = opened else {
            return answer_of(outcome);
        };
        let status = opened.response.status;
        let headers = header::forwarded_headers(&opened.response.headers);
        let forwarder = self.clone();
        let mut reply = Reply::produced(status, move |sender| async move {
            forwarder.pass(route, order, opened, sender).await;
        });
        *reply.headers_mut() = headers;
        reply
    }

    async fn pass(&self, route: Route, mut order: Order, first: Opened, sender: Sender) {
        let mut tried = vec![first.key];
        let mut opened = Some(first);
        let mut last = None;
        while let Some(at) = opened.take() {
            let stop = pass_events(at, &sender, &mut last).await;
            let request = order.id.as_str();
            let event = last.unwrap_or_default();
            match stop {
                Stop::Whole => {
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
                order
                    .headers
                    .insert(header::LAST_EVENT, HeaderValue::from(last));
            }
            let (_, next) = self.open(&route, &order, &mut tried).await;
            opened = next;
        }
    }

    /// Opens a series at an endpoint that is not among those `tried`.
    async fn open(
        &self,
        route: &Route,
        order: &Order,
        tried: &mut Vec<Key>,
    ) -> (Outcome, Option<Opened>) {
        let mut outcome = Outcome::default();
        while let Some(attempt) = self.open_next(route, order, tried, &mut outcome).await {
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
async fn pass_events(mut opened: Opened, sender: &Sender, last: &mut Option<u64>) -> Stop {
    let mut events = Events::default();
    loop {
        match opened.response.next(PAUSE_TIME).await {
            None => {
                drop(opened.place);
                return Stop::Whole;
            }
            Some(Err(_)) => return Stop::Broken,
            Some(Ok(part)) => events.push(&part),
        }
        while let Some((bytes, event)) = events.next_block() {
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
