//! Streams of tokens.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    Bytes, StatusCode,
    http::{
        Reply, Request,
        server::{Part, Sender},
    },
};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{Engine, log::EntryIndex};
use crate::{batch::Slot, clock, stats, text};

/// The body of a request for tokens.
#[derive(Debug, Deserialize)]
struct Body {
    request_id: String,
    model: String,
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    resume: Vec<String>,
    #[serde(default)]
    natural: bool,
}

/// How a stream ended, as written to the log.
type Finish = &'static str;

const CANCELLED: Finish = "cancelled";
const CUT: Finish = "cut";
const SILENT: Finish = "silent";

/// How a truncated stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Truncation {
    /// The connection closes before the body is complete.
    Closed,
    /// The body is complete, but lacks the last event.
    Unfinished,
}

/// A running stream.
struct Generation {
    engine: Rc<Engine>,
    request: Body,
    reply_id: String,
    sender: Sender,
    is_cancelled: Rc<Cell<bool>>,
    entry: EntryIndex,
}

/// Starts a stream, or returns an error reply.
pub(crate) fn generate(engine: &Rc<Engine>, request: &Request) -> Reply {
    let body: Body = match request.json() {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    if engine.version(&body.model).is_none() {
        let detail = "the engine does not serve this model";
        return Reply::error(StatusCode::NOT_FOUND, "unknown-model", detail);
    }
    if engine.batch.is_full() {
        let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "full", "no slot is free");
        return reply.header("retry-after", "1");
    }
    let id = request.header("x-request-id").unwrap_or(&body.request_id);
    let has_wrong_id = engine
        .host
        .random_bool(engine.host.read_switch(|s| s.wrong_id));
    let reply_id = if has_wrong_id {
        format!("foreign-{id}")
    } else {
        id.to_owned()
    };
    let (reply, sender) = Reply::stream(StatusCode::OK);
    let reply = reply
        .header("content-type", "text/event-stream")
        .header("x-request-id", &reply_id);
    let headers = stats::headers(request);
    let entry = engine
        .log
        .borrow_mut()
        .start(&body.request_id, &body.model, headers);
    let is_cancelled = Rc::new(Cell::new(false));
    let mut flags = engine.cancel_flags.borrow_mut();
    flags.insert(body.request_id.clone(), is_cancelled.clone());
    monoio::spawn(
        Generation {
            engine: engine.clone(),
            request: body,
            reply_id,
            sender,
            is_cancelled,
            entry,
        }
        .run(),
    );
    reply
}

impl Generation {
    async fn run(self) {
        let finish = match self.send_all().await {
            Ok(finish) | Err(finish) => finish,
        };
        self.engine.log.borrow_mut().finish(self.entry, finish);
        if finish == SILENT {
            self.stay_silent().await;
        }
        let mut flags = self.engine.cancel_flags.borrow_mut();
        let id = &self.request.request_id;
        if flags
            .get(id)
            .is_some_and(|flag| Rc::ptr_eq(flag, &self.is_cancelled))
        {
            flags.remove(id);
        }
    }

    /// Sends all events of the stream.
    async fn send_all(&self) -> Result<Finish, Finish> {
        let _slot = self.wait_for_slot().await?;
        self.prefill().await;
        let first = self.request.resume.len() as u64;
        let (end, finish) = self.planned_end();
        let truncation = self.truncation(first, end);
        let mut due = Instant::now();
        for index in first..end {
            due += self.token_time();
            sleep_until(due).await;
            self.check_faults(index - first).await?;
            if let Some((at, kind)) = truncation
                && at == index
            {
                return self.truncate(kind).await;
            }
            self.send_token(index).await?;
        }
        self.check_faults(end.saturating_sub(first)).await?;
        let done = json!({
            "done": true,
            "request_id": self.reply_id,
            "tokens": end.max(first),
            "finish": finish,
        });
        self.send_event(&done).await?;
        self.send_end().await?;
        Ok(finish)
    }

    async fn wait_for_slot(&self) -> Result<Slot, Finish> {
        let mut ticket = self.engine.batch.join(self.request.priority);
        let mut granted = std::pin::pin!(ticket.slot());
        loop {
            match monoio::time::timeout(CALLER_POLL_PERIOD, granted.as_mut()).await {
                Ok(slot) => return slot.ok_or(CUT),
                Err(_) => self.check_caller().await?,
            }
        }
    }

    /// Waits for the time to the first token, which is shorter if the prefix is
    /// cached.
    async fn prefill(&self) {
        let prefix = text::prefix(&self.request.prompt);
        let is_cached = self.engine.cache.borrow_mut().touch(&prefix);
        let full_ms = self.engine.config.first_token_ms;
        clock::sleep_ms(if is_cached {
            full_ms / CACHED_PREFILL_DIVISOR
        } else {
            full_ms
        })
        .await;
    }

    /// Returns the number of tokens that the stream will have, and the reason
    /// for its end.
    fn planned_end(&self) -> (u64, Finish) {
        let Body { model, prompt, .. } = &self.request;
        let natural = text::natural_length(model, prompt, self.request.seed);
        if self.request.natural && natural < self.request.max_tokens {
            return (natural, "stop");
        }
        (self.request.max_tokens, "length")
    }

    fn truncation(&self, first: u64, end: u64) -> Option<(u64, Truncation)> {
        let host = &self.engine.host;
        if end <= first || !host.random_bool(host.read_switch(|s| s.truncate)) {
            return None;
        }
        let kind = match host.random_below(2) {
            0 => Truncation::Closed,
            _ => Truncation::Unfinished,
        };
        Some((first + host.random_below(end - first), kind))
    }

    /// Returns the time for one token at the current number of streams.
    fn token_time(&self) -> Duration {
        let active = self.engine.batch.active().max(1) as f64;
        Duration::from_secs_f64(active / self.engine.config.tokens_per_s.max(TOKENS_PER_S_MIN))
    }

    /// Fails if the stream is cancelled or cut, or must stall after `sent`
    /// tokens.
    async fn check_faults(&self, sent: u64) -> Result<(), Finish> {
        self.check_caller().await?;
        match self.is_silent(sent) {
            true => Err(SILENT),
            false => Ok(()),
        }
    }

    fn is_silent(&self, sent: u64) -> bool {
        self.engine.host.read_switch(|switches| {
            let has_reached_limit = switches.silent_after.is_some_and(|after| sent >= after);
            has_reached_limit || switches.mute
        })
    }

    /// Keeps the connection open without sending anything while the switch that
    /// stalls the stream is on. The slot has been released before.
    async fn stay_silent(&self) {
        while self.is_silent(u64::MAX) && self.check_caller().await.is_ok() {
            monoio::time::sleep(CALLER_POLL_PERIOD).await;
        }
    }

    async fn check_caller(&self) -> Result<(), Finish> {
        if self.sender.is_closed() || self.engine.host.read_switch(|s| s.gone) {
            return Err(CUT);
        }
        if self.is_cancelled.get() {
            self.send_event(&json!({"error": CANCELLED})).await?;
            self.send_end().await?;
            return Err(CANCELLED);
        }
        Ok(())
    }

    async fn truncate(&self, kind: Truncation) -> Result<Finish, Finish> {
        if kind == Truncation::Unfinished {
            self.send_end().await?;
        }
        Ok(CUT)
    }

    async fn send_token(&self, index: u64) -> Result<(), Finish> {
        let Body { model, prompt, .. } = &self.request;
        let version = self.engine.version(model).unwrap_or_default();
        let token = text::token(model, prompt, self.request.seed, index);
        let event = json!({"index": index, "token": token, "version": version});
        self.send_event(&event).await?;
        let mut log = self.engine.log.borrow_mut();
        log.record_token(self.entry, index, version);
        Ok(())
    }

    async fn send_event(&self, event: &Value) -> Result<(), Finish> {
        let line = Bytes::from(format!("data: {event}\n\n"));
        self.sender.send(Part::Data(line)).await.map_err(|_| CUT)
    }

    async fn send_end(&self) -> Result<(), Finish> {
        self.sender.send(Part::End).await.map_err(|_| CUT)
    }
}

const CALLER_POLL_PERIOD: Duration = Duration::from_millis(10);
const CACHED_PREFILL_DIVISOR: u64 = 4;
const TOKENS_PER_S_MIN: f64 = 0.1;

async fn sleep_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    if !remaining.is_zero() {
        monoio::time::sleep(remaining).await;
    }
}
