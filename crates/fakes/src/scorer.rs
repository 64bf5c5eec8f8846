//! A service that scores samples.

use std::rc::Rc;

use clap::Parser;
use link::{
    StatusCode,
    http::{Reply, Request},
};
use serde::{Deserialize, Serialize};

use crate::{
    Bind, clock,
    host::{Callbacks, Host},
    text,
};

/// Settings of the scorer.
#[derive(Clone, Debug, Parser)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub bind: Bind,
    /// Time to score one sample, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub service_ms: u64,
    /// Probability of an answer with status 503.
    #[arg(long, default_value_t = 0.0)]
    pub busy_rate: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self::parse_from(["scorer"])
    }
}

#[derive(Deserialize)]
struct Sample {
    key: String,
    #[serde(rename = "prompt")]
    _prompt: String,
    #[serde(rename = "tokens")]
    _tokens: Vec<String>,
}

#[derive(Serialize)]
struct Score {
    key: String,
    score: f64,
}

const SCORE_STEPS: u64 = 10_000;

/// Returns the score of the sample with `key`, a number from 0 to 1 that
/// depends on the key alone.
pub fn score(key: &str) -> f64 {
    (text::hash(key) % SCORE_STEPS) as f64 / SCORE_STEPS as f64
}

pub(crate) fn callbacks(config: Config, host: &Rc<Host>) -> Callbacks {
    let host = host.clone();
    Callbacks {
        answer: Box::new(move |request| {
            let (config, host) = (config.clone(), host.clone());
            Box::pin(async move { answer(&config, &host, &request).await })
        }),
        on_fault: Box::new(|_| {}),
    }
}

async fn answer(config: &Config, host: &Host, request: &Request) -> Reply {
    if request.uri.path() != "/v1/score" {
        return Reply::error(StatusCode::NOT_FOUND, "not-found", "no such call");
    }
    let sample: Sample = match request.json() {
        Ok(sample) => sample,
        Err(reply) => return reply,
    };
    if host.random_bool(config.busy_rate) {
        let reply = Reply::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
            "the setting busy_rate rejected this sample",
        );
        return reply.header("retry-after", "1");
    }
    clock::sleep_ms(config.service_ms).await;
    let score = Score {
        score: score(&sample.key),
        key: sample.key,
    };
    Reply::json(StatusCode::OK, &score)
}
