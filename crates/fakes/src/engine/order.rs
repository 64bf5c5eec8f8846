//! Orders to an engine: load weights, load an adapter, change the role.

use std::time::Duration;

use board::hash::Map;
use link::{
    StatusCode,
    http::{Reply, Request, client::Call},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::Engine;
use crate::clock;

/// The orders that an engine received, with the highest epoch of each subject
/// and the answers to executed orders by key.
#[derive(Debug, Default)]
pub(crate) struct History {
    epochs: Map<String, u64>,
    answers: Map<String, Value>,
    entries: Vec<Entry>,
}

/// A log entry: one order and its outcome.
#[derive(Debug, Serialize)]
pub(crate) struct Entry {
    key: String,
    epoch: u64,
    subject: String,
    value: String,
    at_ms: u64,
    outcome: &'static str,
}

impl History {
    /// Returns the log entries of all orders, including rejected ones.
    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }
}

#[derive(Deserialize)]
struct Weights {
    key: String,
    epoch: u64,
    model: String,
    version: u64,
}

#[derive(Deserialize)]
struct Adapter {
    key: String,
    epoch: u64,
    model: String,
    adapter: String,
}

#[derive(Deserialize)]
struct Role {
    key: String,
    epoch: u64,
    role: String,
}

/// An order of any kind: its subject, the value that it sets, and the answer to
/// it.
struct Order {
    key: String,
    epoch: u64,
    subject: String,
    value: String,
    answer: Value,
}

/// Loads weights, and answers when they are in use.
pub(crate) async fn weights(engine: &Engine, request: &Request) -> Reply {
    let weights: Weights = match request.json() {
        Ok(weights) => weights,
        Err(reply) => return reply,
    };
    let Weights { model, version, .. } = &weights;
    let order = Order {
        key: weights.key.clone(),
        epoch: weights.epoch,
        subject: format!("weights/{model}"),
        value: version.to_string(),
        answer: json!({"version": version}),
    };
    let load = async {
        fetch(engine, model, *version).await?;
        clock::sleep_ms(engine.config.load_ms).await;
        if engine
            .host
            .random_bool(engine.host.read_switch(|s| s.swap_fail))
        {
            return Err(());
        }
        let mut versions = engine.versions.borrow_mut();
        versions.insert(model.clone(), *version);
        Ok(())
    };
    execute(engine, order, load).await
}

/// Loads an adapter.
pub(crate) async fn adapter(engine: &Engine, request: &Request) -> Reply {
    let adapter: Adapter = match request.json() {
        Ok(adapter) => adapter,
        Err(reply) => return reply,
    };
    let order = Order {
        key: adapter.key,
        epoch: adapter.epoch,
        subject: format!("adapter/{}", adapter.model),
        answer: json!({"adapter": adapter.adapter}),
        value: adapter.adapter,
    };
    let load = async {
        clock::sleep_ms(engine.config.load_ms).await;
        Ok(())
    };
    execute(engine, order, load).await
}

/// Changes the role.
pub(crate) async fn role(engine: &Engine, request: &Request) -> Reply {
    let role: Role = match request.json() {
        Ok(role) => role,
        Err(reply) => return reply,
    };
    let order = Order {
        key: role.key,
        epoch: role.epoch,
        subject: "role".to_owned(),
        answer: json!({"role": role.role}),
        value: role.role,
    };
    execute(engine, order, async { Ok(()) }).await
}

/// Executes `order` with `load` and stores the answer for repeated calls. An
/// order whose key was executed before gets the stored answer, and one with a
/// stale epoch is rejected.
async fn execute(
    engine: &Engine,
    order: Order,
    load: impl Future<Output = Result<(), ()>>,
) -> Reply {
    let earlier_answer = engine.orders.borrow().answers.get(&order.key).cloned();
    if let Some(answer) = earlier_answer {
        return Reply::json(StatusCode::OK, &answer);
    }
    if is_stale(engine, &order) {
        record(engine, &order, "stale-epoch");
        let detail = "the engine received a higher epoch before";
        return Reply::error(StatusCode::CONFLICT, "stale-epoch", detail);
    }
    record(engine, &order, "taken");
    if load.await.is_err() {
        record(engine, &order, "swap-failed");
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Reply::error(
            status,
            "swap-failed",
            "loading failed; the previous weights stay in use",
        );
    }
    record(engine, &order, "done");
    let reply = Reply::json(StatusCode::OK, &order.answer);
    engine
        .orders
        .borrow_mut()
        .answers
        .insert(order.key, order.answer);
    reply
}

/// Returns whether the engine checks epochs and received a higher epoch than
/// that of `order` for the same subject. Otherwise, records the epoch.
fn is_stale(engine: &Engine, order: &Order) -> bool {
    let mut history = engine.orders.borrow_mut();
    let highest_epoch = history.epochs.entry(order.subject.clone()).or_default();
    if engine.config.checks_epoch && order.epoch < *highest_epoch {
        return true;
    }
    *highest_epoch = order.epoch.max(*highest_epoch);
    false
}

fn record(engine: &Engine, order: &Order, outcome: &'static str) {
    engine.orders.borrow_mut().entries.push(Entry {
        key: order.key.clone(),
        epoch: order.epoch,
        subject: order.subject.clone(),
        value: order.value.clone(),
        at_ms: clock::now_ms(),
        outcome,
    });
}

const FETCH_ATTEMPTS_MAX: usize = 20;
const FETCH_RETRY_DELAY_MS: u64 = 200;
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);

async fn fetch(engine: &Engine, model: &str, version: u64) -> Result<(), ()> {
    let Some(store) = engine.config.weight_store else {
        return Ok(());
    };
    for _ in 0..FETCH_ATTEMPTS_MAX {
        let call = Call::get(format!("/v1/weights/{model}/{version}")).deadline(FETCH_TIMEOUT);
        let fetched = engine.pool.fetch(store, call).await.map_err(|_| ())?;
        match fetched.status {
            StatusCode::OK => return Ok(()),
            StatusCode::TOO_MANY_REQUESTS => clock::sleep_ms(FETCH_RETRY_DELAY_MS).await,
            _ => return Err(()),
        }
    }
    Err(())
}
