//! What the demo does, step by step.

use std::{net::SocketAddr, time::Duration};

use fakes::deployment::Deployment;
use link::{
    http::client::{Call, Fetched},
    platform::Client,
};
use miette::IntoDiagnostic;
use serde_json::{Value, json};

use super::show::Row;
use crate::{collect, fault::Failed, keys, publish};

const CALL_TIME: Duration = Duration::from_secs(20);
const MODEL_PATH: &str = "/v1/models/tasting-notes/generate";

/// Uses the deployment and returns what came back.
pub(super) async fn run(deployment: &Deployment) -> miette::Result<Vec<Row>> {
    let mut steps = Steps {
        deployment,
        client: Client::new(deployment.platform, "demo"),
        rows: Vec::new(),
    };
    steps.publish(1).await?;
    let caller = steps.key("maison-verte").await?;
    let trainer = steps.key("festival").await?;
    steps.deployment.wait_ready().await.into_diagnostic()?;
    steps.ask_model(&caller).await?;
    steps.look_up().await?;
    steps.train(&trainer).await?;
    steps.swap_weights(&trainer).await?;
    steps.change().await?;
    steps.withdraw(&caller).await?;
    steps.usage().await?;
    Ok(steps.rows)
}

struct Steps<'a> {
    deployment: &'a Deployment,
    client: Client,
    rows: Vec<Row>,
}

impl Steps<'_> {
    fn row(&mut self, what: &'static str, seen: impl Into<String>) {
        self.rows.push(Row::new(what, seen));
    }

    fn entry(&self, place: usize) -> SocketAddr {
        self.deployment.vms[place % self.deployment.vms.len()].callers
    }

    async fn fetch(&self, place: usize, call: Call) -> miette::Result<Fetched> {
        let call = call.deadline(CALL_TIME);
        let answer = self.deployment.pool.fetch(self.entry(place), call);
        answer.await.into_diagnostic()
    }

    async fn good(&self, place: usize, call: Call) -> miette::Result<(Fetched, Value)> {
        let what = call.path().to_string();
        let answer = self.fetch(place, call).await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if !answer.status.is_success() {
            let problem = format!("{what}: {} {text}", answer.status);
            return Err(Failed::new(problem, "see the log of the process").into());
        }
        let value = serde_json::from_str(&text).into_diagnostic()?;
        Ok((answer, value))
    }

    async fn publish(&mut self, revision: u64) -> miette::Result<()> {
        let set = collect::checked(&self.deployment.tree)?;
        let count = set.parts.len();
        publish::run_with(&self.client, set).await?;
        self.row(
            "configuration",
            format!("revision {revision} published from {count} files"),
        );
        Ok(())
    }

    async fn key(&mut self, account: &str) -> miette::Result<String> {
        let key = keys::create(&self.client, account.to_string()).await?;
        let shown = &key[..7];
        self.row("key issued", format!("{account}: {shown}..."));
        Ok(key)
    }

    async fn wait_key(&self, key: &str) -> miette::Result<()> {
        for vm in &self.deployment.vms {
            loop {
                let call = ask(key, 1);
                let answer = self.deployment.pool.fetch(vm.callers, call).await;
                if answer.into_diagnostic()?.status != 401 {
                    break;
                }
                monoio::time::sleep(POLL_TIME).await;
            }
        }
        Ok(())
    }

    async fn ask_model(&mut self, key: &str) -> miette::Result<()> {
        self.wait_key(key).await?;
        let (answer, value) = self.good(0, ask(key, 24)).await?;
        self.row("answer", clip(value["text"].as_str().unwrap_or_default()));
        let seen = format!(
            "request {}, versions {}, usage {}",
            value["request_id"].as_str().unwrap_or_default(),
            value["versions"],
            value["usage"]
        );
        self.row("", seen);
        let trace = answer.headers.get("x-trace");
        let trace = trace.and_then(|t| t.to_str().ok()).unwrap_or_default();
        self.spans(0, trace).await
    }

    async fn spans(&mut self, place: usize, trace: &str) -> miette::Result<()> {
        let admin = self.deployment.vms[place].entry_admin;
        let call = Call::get(format!("/spans?trace={trace}"));
        let answer = self.deployment.pool.fetch(admin, call).await;
        let spans: Vec<Value> =
            serde_json::from_slice(&answer.into_diagnostic()?.body).into_diagnostic()?;
        let line = |span: &Value| {
            let name = span["name"].as_str().unwrap_or_default();
            format!("{name:<10} {:>8} us", span["took_us"])
        };
        let lines: Vec<_> = spans.iter().map(line).collect();
        self.row("spans", lines.join("\n"));
        Ok(())
    }

    async fn look_up(&mut self) -> miette::Result<()> {
        let (_, value) = self.good(1, Call::get("/entries/4711")).await?;
        self.row("public route", value.to_string());
        Ok(())
    }

    async fn train(&mut self, key: &str) -> miette::Result<()> {
        self.wait_key(key).await?;
        let prompts: Vec<_> = (0..8).map(|n| format!("describe bottle {n}")).collect();
        let step = json!({ "prompts": prompts }).to_string();
        let call = bearer(Call::post("/v1/trainers/notes/steps/0", step), key);
        let (_, declared) = self.good(2, call).await?;
        let lots = declared["lots"].as_u64().unwrap_or_default();
        for lot in 0..lots {
            let path = format!("/v1/trainers/notes/lots/{lot}");
            let wait = Call::get(format!("{path}?wait_ms=15000"));
            let (_, drawn) = self.good(3, bearer(wait, key)).await?;
            self.row("lot drawn", lot_line(&drawn));
            let ack = Call::post(format!("{path}/ack"), "{}");
            self.good(4, bearer(ack, key)).await?;
        }
        Ok(())
    }

    async fn swap_weights(&mut self, key: &str) -> miette::Result<()> {
        let call = Call::post("/v1/trainers/notes/weights", "{\"version\":2}");
        self.good(5, bearer(call, key)).await?;
        let start = std::time::Instant::now();
        for endpoint in &self.deployment.endpoints {
            if !endpoint.plan.is_model {
                continue;
            }
            let has_two = |answer: &Fetched| {
                let load: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                load["versions"]["tasting-notes"] == 2
            };
            let seen = self
                .deployment
                .wait_for(endpoint.address, "/v1/load", has_two);
            seen.await.into_diagnostic()?;
        }
        let took = start.elapsed().as_millis();
        self.row(
            "weights",
            format!("version 2 on every engine after {took} ms"),
        );
        Ok(())
    }

    async fn change(&mut self) -> miette::Result<()> {
        let file = self.deployment.tree.join("accounts/tarragonseam.toml");
        let text = std::fs::read_to_string(&file).into_diagnostic()?;
        let text = format!("{text}\n[accounts.nouveau-venu]\nweight = 2\n");
        std::fs::write(&file, text).into_diagnostic()?;
        self.publish(2).await?;
        let start = std::time::Instant::now();
        for vm in &self.deployment.vms {
            let has_two = |answer: &Fetched| {
                let status: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                status["revision"] == 2
            };
            let seen = self.deployment.wait_for(vm.entry_admin, "/status", has_two);
            seen.await.into_diagnostic()?;
        }
        let took = start.elapsed().as_millis();
        self.row("", format!("in force on every VM after {took} ms"));
        Ok(())
    }

    async fn withdraw(&mut self, key: &str) -> miette::Result<()> {
        keys::mark_withdrawn(&self.client, key).await?;
        let start = std::time::Instant::now();
        for place in 0..self.deployment.vms.len() {
            while self.fetch(place, ask(key, 1)).await?.status != 401 {
                monoio::time::sleep(POLL_TIME).await;
            }
        }
        let took = start.elapsed().as_millis();
        self.row(
            "key withdrawn",
            format!("refused on every VM after {took} ms"),
        );
        Ok(())
    }

    async fn usage(&mut self) -> miette::Result<()> {
        let has_figures =
            |answer: &Fetched| String::from_utf8_lossy(&answer.body).contains("maison-verte");
        let platform = self.deployment.platform;
        let seen = self.deployment.wait_for(platform, "/v1/usage", has_figures);
        let answer = seen.await.into_diagnostic()?;
        let usage: Value = serde_json::from_slice(&answer.body).into_diagnostic()?;
        let reports = usage["reports"].as_array().cloned().unwrap_or_default();
        for report in reports {
            let figures = report["figures"].as_array().cloned().unwrap_or_default();
            for line in figures {
                let seen = format!("window {}: {line}", report["window"]);
                self.row("usage reported", seen);
            }
        }
        Ok(())
    }
}

const POLL_TIME: Duration = Duration::from_millis(50);

fn ask(key: &str, max_tokens: u32) -> Call {
    let prompt = "tasting notes for a still cider from Rougemont";
    let body = json!({ "prompt": prompt, "max_tokens": max_tokens });
    bearer(Call::post(MODEL_PATH, body.to_string()), key)
}

fn bearer(call: Call, key: &str) -> Call {
    call.header("authorization", format!("Bearer {key}"))
}

fn clip(text: &str) -> String {
    const WIDTH: usize = 70;
    text.chars().take(WIDTH).collect()
}

fn lot_line(lot: &Value) -> String {
    let samples = lot["samples"].as_array().cloned().unwrap_or_default();
    let id = |sample: &Value| {
        let id = &sample["id"];
        format!("{}.{}.{}", id["step"], id["group"], id["index"])
    };
    let first = samples.first().map(id).unwrap_or_default();
    let last = samples.last().map(id).unwrap_or_default();
    let version = samples.first().map(|sample| sample["spans"].to_string());
    format!(
        "lot {}: {} samples {first} to {last}, versions of the first {}",
        lot["number"],
        samples.len(),
        version.unwrap_or_default()
    )
}
