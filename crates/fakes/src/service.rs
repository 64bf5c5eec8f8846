//! A plain service, which answers a call to any path after a fixed time.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use clap::Parser;
use link::{
    Bytes, StatusCode,
    http::{Reply, Request, server::Part},
};
use serde::Serialize;
use serde_json::json;

use crate::{
    Bind,
    batch::Batch,
    clock,
    host::{Callbacks, Host},
    stats,
};

/// Settings of a plain service.
#[derive(Clone, Debug, Parser)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub bind: Bind,
    /// The endpoint's id.
    #[arg(long, default_value = "s1")]
    pub id: String,
    /// The service's name.
    #[arg(long, default_value = "registry")]
    pub name: String,
    /// Time to handle one call, in milliseconds.
    #[arg(long, default_value_t = 10)]
    pub service_ms: u64,
    /// Concurrent calls; further calls wait.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// Calls that may wait; further calls are answered with 503.
    #[arg(long, default_value_t = 256)]
    pub queue: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self::parse_from(["service"])
    }
}

#[derive(Clone, Debug, Serialize)]
struct Entry {
    request_id: String,
    method: String,
    path: String,
    started_ms: u64,
    headers: Vec<(String, String)>,
}

struct Service {
    config: Config,
    host: Rc<Host>,
    batch: Rc<Batch>,
    runs: Cell<u64>,
    log: RefCell<Vec<Entry>>,
}

pub(crate) fn callbacks(config: Config, host: &Rc<Host>) -> Callbacks {
    let service = Rc::new(Service {
        batch: Batch::new(config.slots, config.queue),
        config,
        host: host.clone(),
        runs: Cell::new(0),
        log: RefCell::default(),
    });
    Callbacks {
        answer: Box::new(move |request| {
            let service = service.clone();
            Box::pin(async move { service.answer(request).await })
        }),
        on_fault: Box::new(|_| {}),
    }
}

impl Service {
    async fn answer(&self, request: Request) -> Reply {
        match request.uri.path() {
            "/v1/load" => self.load(),
            "/v1/log" => Reply::json(StatusCode::OK, &json!({"entries": *self.log.borrow()})),
            _ => self.run(&request).await,
        }
    }

    fn load(&self) -> Reply {
        let load = json!({
            "in_flight": self.batch.active(),
            "queued": self.batch.queued(),
            "slots": self.config.slots,
            "tokens_per_s": 0.0,
            "cached_prefixes": 0,
            "versions": {},
            "age_ms": 0,
        });
        Reply::json(StatusCode::OK, &load)
    }

    async fn run(&self, request: &Request) -> Reply {
        if self.batch.is_full() {
            let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "full", "no slot is free");
            return reply.header("retry-after", "1");
        }
        let mut ticket = self.batch.join(0);
        let _slot = ticket.slot().await;
        let run = self.record(request);
        clock::sleep_ms(self.config.service_ms).await;
        let body = json!({
            "service": self.config.name,
            "endpoint": self.config.id,
            "path": request.uri.path(),
            "method": request.method.as_str(),
            "run": run,
        });
        let reply = self.reply(body.to_string());
        match self.request_id(request) {
            Some(id) => reply.header("x-request-id", id),
            None => reply,
        }
    }

    /// Logs a call that starts to run and returns its number.
    fn record(&self, request: &Request) -> u64 {
        let run = self.runs.get() + 1;
        self.runs.set(run);
        self.log.borrow_mut().push(Entry {
            request_id: request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned(),
            method: request.method.to_string(),
            path: request.uri.path().to_owned(),
            started_ms: clock::now_ms(),
            headers: stats::headers(request),
        });
        run
    }

    fn request_id(&self, request: &Request) -> Option<String> {
        let id = request.header("x-request-id")?;
        let has_wrong_id = self.host.random_bool(self.host.read_switch(|s| s.wrong_id));
        Some(if has_wrong_id {
            format!("foreign-{id}")
        } else {
            id.to_owned()
        })
    }

    /// Returns a reply with `body`, or, if the fault `truncate` applies, with its
    /// first half before the connection closes.
    fn reply(&self, body: String) -> Reply {
        if !self.host.random_bool(self.host.read_switch(|s| s.truncate)) {
            return Reply::new(StatusCode::OK, body).header("content-type", "application/json");
        }
        let (reply, sender) = Reply::stream(StatusCode::OK);
        let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
        monoio::spawn(async move {
            let _ = sender.send(Part::Data(half)).await;
        });
        reply.header("content-type", "application/json")
    }
}
