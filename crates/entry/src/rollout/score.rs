//! Scoring of samples.

use std::{rc::Rc, time::Duration};

use board::{hash, lot::Id};
use link::{http::client::Call, telemetry};
use serde::{Deserialize, Serialize};

use super::produce::Job;
use crate::vm::Vm;

/// The body of a call to a scorer.
#[derive(Serialize)]
struct Parameters<'a> {
    key: String,
    prompt: &'a str,
    tokens: &'a [String],
}

#[derive(Deserialize)]
struct Scored {
    key: String,
    score: f64,
}

const SCORE_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);

/// Returns the score of a sample, or `None` once the lot is sealed or deleted.
///
/// The call is retried until it succeeds, because generating the tokens again
/// would cost more. All tries use the same key, so that the scorer can
/// recognize a repeat.
pub(crate) async fn fetch(
    vm: &Rc<Vm>,
    job: &Job,
    id: &Id,
    prompt: &str,
    tokens: &[String],
    span: &telemetry::Span,
) -> Option<f64> {
    let span = span.child("scoring");
    // The key includes the tokens, so a sample that is drawn again gets its
    // own.
    let key = format!("{id}.{:016x}", hash::hash_value(&tokens));
    let parameters = Parameters {
        key: key.clone(),
        prompt,
        tokens,
    };
    let body = serde_json::to_vec(&parameters).ok()?;
    let mut delay = RETRY_DELAY_MIN;
    while !job.is_ended.get() {
        let call = Call::post("/v1/score", body.clone())
            .deadline(SCORE_TIMEOUT)
            .traced(&span);
        if let Ok(answer) = vm.pool.fetch(job.trainer.scorer, call).await
            && answer.status.is_success()
            && let Ok(scored) = serde_json::from_slice::<Scored>(&answer.body)
            && scored.key == key
        {
            return Some(scored.score);
        }
        vm.metrics.record_sample("score-retried");
        monoio::time::sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
    None
}
