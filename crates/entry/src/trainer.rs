//! The HTTP interface for trainers: steps, lots, acknowledgements and weights.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use board::{
    config::Trainer,
    lot::{Cursor, Manifest, Step},
    retention::STEP_KIND,
    weights,
};
use link::{
    Bytes, Method, StatusCode,
    http::{Reply, Request},
    platform::{Condition, Error},
};
use policy::execution::Execution;
use serde::{Deserialize, Serialize};

use crate::{
    auth,
    failure::Failure,
    rollout::{
        self,
        read::{self, Status},
        step,
    },
    vm::Vm,
};

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Version {
    version: u64,
}

#[derive(Serialize)]
struct Position {
    next_lot: u64,
}

#[derive(Serialize)]
struct Declared {
    first_lot: u64,
    lots: u32,
}

/// How long a request may wait for a lot to be sealed.
const LOT_WAIT_MAX: Duration = Duration::from_secs(30);

/// Answers a request below `/v1/trainers/{name}`.
pub(crate) async fn handle(vm: Rc<Vm>, request: Request, name: String) -> Reply {
    match serve(&vm, &request, &name).await {
        Ok(reply) => {
            vm.metrics.record_request("trainer", "answered");
            reply
        }
        Err(failure) => {
            vm.metrics.record_request("trainer", failure.code);
            failure.reply()
        }
    }
}

async fn serve(vm: &Rc<Vm>, request: &Request, name: &str) -> Result<Reply, Failure> {
    let trainer = authorize(vm, request, name)?;
    let segments = request.segments();
    match (&request.method, &segments[3..]) {
        (&Method::POST, ["steps", step]) => {
            declare(vm, request, name, &trainer, parse_number(step)?).await
        }
        (&Method::GET, ["lots", lot]) => read_lot(vm, request, name, parse_number(lot)?).await,
        (&Method::POST, ["lots", lot, "ack"]) => acknowledge(vm, name, parse_number(lot)?).await,
        (&Method::GET, ["cursor"]) => read_cursor(vm, name).await,
        (&Method::POST, ["weights"]) => put_weights(vm, request, &trainer).await,
        _ => Err(Failure::client_error(
            StatusCode::NOT_FOUND,
            "no-page",
            "no such call below /v1/trainers/{name}",
        )),
    }
}

fn authorize(vm: &Vm, request: &Request, name: &str) -> Result<Trainer, Failure> {
    let caller = auth::check(vm, request)?;
    let board = vm.board.borrow();
    match board.config.trainers.get(name) {
        Some(trainer) if *trainer.account == *caller.account => Ok(trainer.clone()),
        _ => Err(Failure::client_error(
            StatusCode::NOT_FOUND,
            "no-trainer",
            "this account has no such trainer",
        )),
    }
}

fn parse_number(text: &str) -> Result<u64, Failure> {
    text.parse().map_err(|_| bad_number())
}

fn bad_number() -> Failure {
    let detail = "the number in the path is not an integer or is too large";
    Failure::client_error(StatusCode::BAD_REQUEST, "bad-number", detail)
}

fn parse_body<T: for<'a> Deserialize<'a>>(request: &Request) -> Result<T, Failure> {
    serde_json::from_slice(&request.body)
        .map_err(|e| Failure::client_error(StatusCode::BAD_REQUEST, "bad-json", &e.to_string()))
}

fn unavailable(e: Error) -> Failure {
    Failure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "platform",
        detail: e.to_string(),
        execution: e.execution(),
        retry_after: Some(policy::admission::RETRY_AFTER),
    }
}

async fn declare(
    vm: &Rc<Vm>,
    request: &Request,
    name: &str,
    trainer: &Trainer,
    number: u64,
) -> Result<Reply, Failure> {
    let step_name = step::Name::new(name, number).ok_or_else(bad_number)?;
    let step: Step = parse_body(request)?;
    if step.prompts.len() != trainer.groups_per_step as usize {
        let detail = format!(
            "a step of this trainer has {} prompts",
            trainer.groups_per_step
        );
        return Err(Failure::client_error(
            StatusCode::BAD_REQUEST,
            "bad-step",
            &detail,
        ));
    }
    let lots = trainer.lots_per_step();
    let floor = rollout::floor(vm, name).await.map_err(unavailable)?;
    if policy::retention::is_step_below(number, floor, lots) {
        return Err(deleted("the step was acknowledged and is deleted"));
    }
    let value = serde_json::to_vec(&step).unwrap_or_default();
    let object = vm
        .platform
        .create(STEP_KIND, &format!("{name}.{number}"), value)
        .await
        .map_err(unavailable)?;
    let stored: Step = object.json().map_err(unavailable)?;
    if stored != step {
        return Err(Failure::client_error(
            StatusCode::CONFLICT,
            "step-differs",
            "the step was declared before with other prompts",
        ));
    }
    step::register(vm, step_name, Some(Rc::new(step)), floor);
    let declared = Declared {
        first_lot: number * u64::from(lots),
        lots,
    };
    Ok(Reply::json(StatusCode::OK, &declared))
}

async fn read_lot(vm: &Rc<Vm>, request: &Request, name: &str, lot: u64) -> Result<Reply, Failure> {
    let requested = request
        .query("wait_ms")
        .and_then(|value| value.parse().ok());
    let wait = requested
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(LOT_WAIT_MAX);
    let lot_name = format!("{name}.{lot}");
    let manifest = await_sealed(vm, &lot_name, wait).await?;
    match read::content(vm, &lot_name, &manifest).await {
        Ok(content) => content_reply(request, &manifest, content),
        // This VM may still have the manifest in its cache after the lot was
        // deleted.
        Err(_) if rollout::is_deleted(vm, name, lot).await == Ok(true) => Err(deleted_lot()),
        Err(e) => Err(unavailable(e)),
    }
}

fn deleted(detail: &str) -> Failure {
    Failure::client_error(StatusCode::GONE, "deleted", detail)
}

fn deleted_lot() -> Failure {
    deleted("the lot was acknowledged and is deleted")
}

async fn await_sealed(vm: &Rc<Vm>, lot: &str, wait: Duration) -> Result<Rc<Manifest>, Failure> {
    let start = Instant::now();
    let mut poller = read::Poller::default();
    loop {
        let failure = match poller.poll(vm, lot).await {
            Ok(Status::Sealed(manifest)) => return Ok(manifest),
            Ok(Status::Deleted) => return Err(deleted_lot()),
            Ok(Status::Open) => not_sealed(),
            Err(e) => unavailable(e),
        };
        // The loop continues after an error of the platform too, because a
        // peer may report that the lot is sealed.
        if start.elapsed() >= wait {
            return Err(failure);
        }
        monoio::time::sleep(read::Poller::INTERVAL).await;
    }
}

fn not_sealed() -> Failure {
    Failure {
        retry_after: Some(policy::admission::RETRY_AFTER),
        ..Failure::client_error(
            StatusCode::NOT_FOUND,
            "not-sealed",
            "the lot is not sealed yet",
        )
    }
}

/// Returns the content of a lot, or the part from the offset in the `range`
/// header, with which a trainer resumes an interrupted transfer.
fn content_reply(request: &Request, manifest: &Manifest, content: Bytes) -> Result<Reply, Failure> {
    let total = content.len();
    let reply = |status, body: Bytes| {
        Reply::new(status, body)
            .header("content-type", "application/json")
            .header("accept-ranges", "bytes")
            .header("etag", format!("\"{}\"", manifest.digest))
            .header("x-lot-digest", manifest.digest.to_string())
            .header("x-lot-bytes", total.to_string())
    };
    let Some(range) = request.header("range") else {
        return Ok(reply(StatusCode::OK, content));
    };
    let first = range
        .strip_prefix("bytes=")
        .and_then(|range| range.strip_suffix('-'))
        .and_then(|first| first.parse::<usize>().ok())
        .filter(|first| *first < total);
    let Some(first) = first else {
        return Err(Failure::client_error(
            StatusCode::RANGE_NOT_SATISFIABLE,
            "bad-range",
            "the range must be bytes=FIRST- within the lot",
        ));
    };
    let content_range = format!("bytes {first}-{}/{total}", total - 1);
    Ok(reply(StatusCode::PARTIAL_CONTENT, content.slice(first..))
        .header("content-range", content_range))
}

/// The maximum number of attempts at a conditional update. After that the call
/// fails, and the trainer has to retry it.
const UPDATE_ATTEMPTS_MAX: usize = 5;

/// Attempts a conditional update until it succeeds, or fails for another reason
/// than a concurrent update or a lost reply.
///
/// # Errors
///
/// The [`Failure`] of the last attempt, with what is known of all attempts.
async fn update<T>(
    mut attempt: impl AsyncFnMut() -> Result<Result<T, Error>, Failure>,
) -> Result<T, Failure> {
    let mut execution = Execution::NotRun;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let (failure, is_final) = match attempt().await {
            Ok(Ok(value)) => return Ok(value),
            // Another update came first, or the reply was lost: the next
            // attempt reads the object again.
            Ok(Err(e @ (Error::Conflict(_) | Error::Unknown(_)))) => (unavailable(e), false),
            Ok(Err(e)) => (unavailable(e), true),
            Err(failure) => (failure, true),
        };
        execution = execution.and(failure.execution);
        if is_final || attempts == UPDATE_ATTEMPTS_MAX {
            return Err(Failure {
                execution,
                ..failure
            });
        }
    }
}

async fn acknowledge(vm: &Rc<Vm>, name: &str, lot: u64) -> Result<Reply, Failure> {
    update(async || move_cursor(vm, name, lot).await).await?;
    Ok(Reply::json(StatusCode::OK, &Cursor { acknowledged: lot }))
}

async fn move_cursor(vm: &Rc<Vm>, name: &str, lot: u64) -> Result<Result<(), Error>, Failure> {
    let read = vm.platform.read::<Cursor>(Cursor::KIND, name).await;
    let (condition, next) = match read {
        Ok((version, cursor)) => (Condition::At(version), cursor.acknowledged + 1),
        Err(Error::Absent) => (Condition::Absent, 0),
        Err(e) => return Ok(Err(e)),
    };
    if lot < next {
        return Ok(Ok(()));
    }
    if lot > next {
        return Err(Failure::client_error(
            StatusCode::CONFLICT,
            "out-of-order",
            "an earlier lot is not acknowledged",
        ));
    }
    await_sealed(vm, &format!("{name}.{lot}"), Duration::ZERO).await?;
    let moved = Cursor { acknowledged: lot };
    let written = vm
        .platform
        .write(Cursor::KIND, name, condition, &moved)
        .await;
    Ok(written.map(drop))
}

/// Answers with the number of the next lot that the trainer has to acknowledge.
async fn read_cursor(vm: &Rc<Vm>, name: &str) -> Result<Reply, Failure> {
    match rollout::next_unacknowledged(vm, name).await {
        Some(next_lot) => Ok(Reply::json(StatusCode::OK, &Position { next_lot })),
        None => Err(unavailable(Error::Unavailable(
            "the cursor of the trainer cannot be read".to_string(),
        ))),
    }
}

async fn put_weights(vm: &Rc<Vm>, request: &Request, trainer: &Trainer) -> Result<Reply, Failure> {
    let requested: Version = parse_body(request)?;
    let raise = async || Ok(raise_version(vm, &trainer.model, requested.version).await);
    let version = update(raise).await?;
    vm.board
        .borrow_mut()
        .record_weights(&trainer.model, version);
    Ok(Reply::json(StatusCode::OK, &version))
}

/// Raises the version in force to `version` unless it is higher already, and
/// returns the version in force.
async fn raise_version(vm: &Rc<Vm>, model: &str, version: u64) -> Result<u64, Error> {
    let condition = match vm.platform.read::<Version>(weights::KIND, model).await {
        Ok((_, known)) if known.version >= version => return Ok(known.version),
        Ok((at, _)) => Condition::At(at),
        Err(Error::Absent) => Condition::Absent,
        Err(e) => return Err(e),
    };
    let requested = Version { version };
    vm.platform
        .write(weights::KIND, model, condition, &requested)
        .await?;
    Ok(version)
}
