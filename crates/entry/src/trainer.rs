//! The interface of trainers: steps, lots, acknowledgements and weights.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use board::{config::Trainer, lot::Step};
use link::{
    Method, StatusCode,
    http::{Reply, Request},
    platform::{Error, When},
};
use serde::{Deserialize, Serialize};

use crate::{
    auth,
    refusal::{Failure, Ran},
    rollout,
    vm::Vm,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Version {
    version: u64,
}

#[derive(Serialize, Deserialize)]
struct Cursor {
    acknowledged: u64,
}

#[derive(Serialize)]
struct Declared {
    first_lot: u64,
    lots: u32,
}

const WAIT_MAX: Duration = Duration::from_secs(30);
const WAIT_POLL: Duration = Duration::from_millis(100);

/// Answers a request below `/v1/trainers/{name}`.
pub(crate) async fn handle(vm: Rc<Vm>, request: Request, name: String) -> Reply {
    match serve(&vm, &request, &name).await {
        Ok(reply) => {
            vm.metrics.request("trainer", "answered");
            reply
        }
        Err(failure) => {
            vm.metrics.request("trainer", failure.code);
            failure.reply()
        }
    }
}

async fn serve(vm: &Rc<Vm>, request: &Request, name: &str) -> Result<Reply, Failure> {
    let trainer = check(vm, request, name)?;
    let segments = request.segments();
    match (&request.method, &segments[3..]) {
        (&Method::POST, ["steps", step]) => {
            declare(vm, request, name, &trainer, number(step)?).await
        }
        (&Method::GET, ["lots", lot]) => draw(vm, request, name, number(lot)?).await,
        (&Method::POST, ["lots", lot, "ack"]) => acknowledge(vm, name, number(lot)?).await,
        (&Method::POST, ["weights"]) => put_weights(vm, request, &trainer).await,
        _ => Err(Failure::rejected(
            StatusCode::NOT_FOUND,
            "no-page",
            "no such trainer call",
        )),
    }
}

fn check(vm: &Vm, request: &Request, name: &str) -> Result<Trainer, Failure> {
    let caller = auth::check(vm, request)?;
    let board = vm.board.borrow();
    match board.config.trainers.get(name) {
        Some(trainer) if *trainer.account == *caller.account => Ok(trainer.clone()),
        _ => Err(Failure::rejected(
            StatusCode::NOT_FOUND,
            "no-trainer",
            "this account has no such trainer",
        )),
    }
}

fn number(text: &str) -> Result<u64, Failure> {
    text.parse()
        .map_err(|_| Failure::rejected(StatusCode::BAD_REQUEST, "bad-number", "not a number"))
}

fn body<T: for<'a> Deserialize<'a>>(request: &Request) -> Result<T, Failure> {
    serde_json::from_slice(&request.body)
        .map_err(|e| Failure::rejected(StatusCode::BAD_REQUEST, "bad-json", &e.to_string()))
}

fn unavailable(e: Error) -> Failure {
    let ran = match e {
        Error::Unknown(_) => Ran::Unknown,
        _ => Ran::NotRun,
    };
    Failure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "platform",
        detail: e.to_string(),
        ran,
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
    let step: Step = body(request)?;
    if step.prompts.len() != trainer.groups_per_step as usize {
        let detail = format!("a step has {} prompts", trainer.groups_per_step);
        return Err(Failure::rejected(
            StatusCode::BAD_REQUEST,
            "bad-step",
            &detail,
        ));
    }
    let value = serde_json::to_vec(&step).unwrap_or_default();
    let object = vm
        .platform
        .create("step", &format!("{name}.{number}"), value)
        .await
        .map_err(unavailable)?;
    let stored: Step = object.json().map_err(unavailable)?;
    if stored != step {
        return Err(Failure::rejected(
            StatusCode::CONFLICT,
            "step-differs",
            "the step was declared with other prompts",
        ));
    }
    rollout::start(vm, name, trainer, number, step);
    let lots = trainer.lots_per_step();
    let declared = Declared {
        first_lot: number * u64::from(lots),
        lots,
    };
    Ok(Reply::json(StatusCode::OK, &declared))
}

async fn draw(vm: &Rc<Vm>, request: &Request, name: &str, lot: u64) -> Result<Reply, Failure> {
    let asked = request
        .query("wait_ms")
        .and_then(|value| value.parse().ok());
    let wait = asked
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(WAIT_MAX);
    let start = Instant::now();
    loop {
        match vm.platform.get("lot", &format!("{name}.{lot}")).await {
            Ok(object) => {
                let reply = Reply::new(StatusCode::OK, object.value);
                return Ok(reply.header("content-type", "application/json"));
            }
            Err(Error::Absent) if start.elapsed() < wait => {}
            Err(Error::Absent) => {
                return Err(Failure {
                    retry_after: Some(policy::admission::RETRY_AFTER),
                    ..Failure::rejected(
                        StatusCode::NOT_FOUND,
                        "not-sealed",
                        "the lot is not sealed yet",
                    )
                });
            }
            Err(e) => return Err(unavailable(e)),
        }
        monoio::time::sleep(WAIT_POLL).await;
    }
}

async fn acknowledge(vm: &Rc<Vm>, name: &str, lot: u64) -> Result<Reply, Failure> {
    let read = vm.platform.read::<Cursor>("cursor", name).await;
    let (when, cursor) = match read {
        Ok((version, cursor)) => (When::At(version), Some(cursor)),
        Err(Error::Absent) => (When::Absent, None),
        Err(e) => return Err(unavailable(e)),
    };
    let next = cursor.as_ref().map_or(0, |cursor| cursor.acknowledged + 1);
    if lot > next {
        return Err(Failure::rejected(
            StatusCode::CONFLICT,
            "out-of-order",
            "an earlier lot is not acknowledged",
        ));
    }
    if lot == next {
        let moved = Cursor { acknowledged: lot };
        let written = vm.platform.write("cursor", name, when, &moved).await;
        written.map_err(unavailable)?;
    }
    Ok(Reply::json(StatusCode::OK, &Cursor { acknowledged: lot }))
}

async fn put_weights(vm: &Rc<Vm>, request: &Request, trainer: &Trainer) -> Result<Reply, Failure> {
    let asked: Version = body(request)?;
    let read = vm.platform.read::<Version>("weights", &trainer.model).await;
    let when = match read {
        Ok((_, known)) if known.version >= asked.version => {
            return Ok(Reply::json(StatusCode::OK, &known.version));
        }
        Ok((version, _)) => When::At(version),
        Err(Error::Absent) => When::Absent,
        Err(e) => return Err(unavailable(e)),
    };
    let value = format!("{{\"version\":{}}}", asked.version);
    let written = vm.platform.put("weights", &trainer.model, when, value);
    written.await.map_err(unavailable)?;
    Ok(Reply::json(StatusCode::OK, &asked.version))
}
