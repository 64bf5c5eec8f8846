//! The steps of the demo.

use std::{net::SocketAddr, time::Duration};

use fakes::deployment::Deployment;
use link::{
    http::client::{Call, Fetched},
    platform::Client,
};
use miette::IntoDiagnostic;
use serde_json::{Value, json};

use super::table::Row;
use crate::{error::Failure, files, keys, publish};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const GENERATE_PATH: &str = "/v1/models/tasting-notes/generate";

/// Sends requests to the deployment and returns the results.
pub(super) async fn run(deployment: &Deployment) -> miette::Result<Vec<Row>> {
    let mut steps = Steps {
        deployment,
        client: Client::new(deployment.platform, "demo"),
        rows: Vec::new(),
    };
    steps.publish(1).await?;
    let caller = steps.issue_key("maison-verte").await?;
    let trainer = steps.issue_key("festival").await?;
    steps.deployment.wait_ready().await.into_diagnostic()?;
    steps.generate(&caller).await?;
    steps.call_public_route().await?;
    steps.train(&trainer).await?;
    steps.swap_weights(&trainer).await?;
    steps.change_config().await?;
    steps.withdraw_key(&caller).await?;
    steps.show_usage().await?;
    Ok(steps.rows)
}

struct Steps<'a> {
    deployment: &'a Deployment,
    client: Client,
    rows: Vec<Row>,
}

impl Steps<'_> {
    fn add_row(&mut self, label: &'static str, text: impl Into<String>) {
        self.rows.push(Row::new(label, text));
    }

    fn callers_address(&self, vm_index: usize) -> SocketAddr {
        self.deployment.vms[vm_index % self.deployment.vms.len()].callers
    }

    async fn fetch(&self, vm_index: usize, call: Call) -> miette::Result<Fetched> {
        let call = call.deadline(CALL_TIMEOUT);
        let answer = self
            .deployment
            .pool
            .fetch(self.callers_address(vm_index), call);
        answer.await.into_diagnostic()
    }

    async fn fetch_json(&self, vm_index: usize, call: Call) -> miette::Result<(Fetched, Value)> {
        let path = call.path().to_string();
        let answer = self.fetch(vm_index, call).await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if !answer.status.is_success() {
            let problem = format!("{path}: {} {text}", answer.status);
            return Err(Failure::new(problem, "see the log of the entry daemon").into());
        }
        let value = serde_json::from_str(&text).into_diagnostic()?;
        Ok((answer, value))
    }

    async fn publish(&mut self, revision: u64) -> miette::Result<()> {
        let files = files::load(&self.deployment.tree)?;
        let file_count = files.parts.len();
        publish::run_with_client(&self.client, files).await?;
        self.add_row(
            "configuration",
            format!("revision {revision} published from {file_count} files"),
        );
        Ok(())
    }

    async fn issue_key(&mut self, account: &str) -> miette::Result<String> {
        let key = keys::create(&self.client, account.to_string()).await?;
        let prefix = &key[..7];
        self.add_row("key issued", format!("{account}: {prefix}..."));
        Ok(key)
    }

    async fn wait_for_key(&self, key: &str) -> miette::Result<()> {
        for vm in &self.deployment.vms {
            loop {
                let call = generate_call(key, 1);
                let answer = self.deployment.pool.fetch(vm.callers, call).await;
                if answer.into_diagnostic()?.status != 401 {
                    break;
                }
                monoio::time::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    async fn generate(&mut self, key: &str) -> miette::Result<()> {
        self.wait_for_key(key).await?;
        let (answer, value) = self.fetch_json(0, generate_call(key, 24)).await?;
        self.add_row(
            "answer",
            truncate(value["text"].as_str().unwrap_or_default()),
        );
        let details = format!(
            "request {}, versions {}, usage {}",
            value["request_id"].as_str().unwrap_or_default(),
            value["versions"],
            value["usage"]
        );
        self.add_row("", details);
        let trace = answer.headers.get("x-trace");
        let trace = trace.and_then(|t| t.to_str().ok()).unwrap_or_default();
        self.show_spans(0, trace).await
    }

    async fn show_spans(&mut self, vm_index: usize, trace: &str) -> miette::Result<()> {
        let admin = self.deployment.vms[vm_index].entry_admin;
        let call = Call::get(format!("/spans?trace={trace}"));
        let answer = self.deployment.pool.fetch(admin, call).await;
        let spans: Vec<Value> =
            serde_json::from_slice(&answer.into_diagnostic()?.body).into_diagnostic()?;
        let format_span = |span: &Value| {
            let name = span["name"].as_str().unwrap_or_default();
            format!("{name:<10} {:>8} us", span["took_us"])
        };
        let lines: Vec<_> = spans.iter().map(format_span).collect();
        self.add_row("spans", lines.join("\n"));
        Ok(())
    }

    async fn call_public_route(&mut self) -> miette::Result<()> {
        let (_, value) = self.fetch_json(1, Call::get("/entries/4711")).await?;
        self.add_row("public route", value.to_string());
        Ok(())
    }

    async fn train(&mut self, key: &str) -> miette::Result<()> {
        self.wait_for_key(key).await?;
        let prompts: Vec<_> = (0..8).map(|n| format!("describe bottle {n}")).collect();
        let step = json!({ "prompts": prompts }).to_string();
        let call = with_bearer(Call::post("/v1/trainers/notes/steps/0", step), key);
        let (_, declared) = self.fetch_json(2, call).await?;
        let lots = declared["lots"].as_u64().unwrap_or_default();
        for lot in 0..lots {
            let path = format!("/v1/trainers/notes/lots/{lot}");
            let get_lot = Call::get(format!("{path}?wait_ms=15000"));
            let (_, content) = self.fetch_json(3, with_bearer(get_lot, key)).await?;
            self.add_row("lot received", format_lot(&content));
            let ack = Call::post(format!("{path}/ack"), "{}");
            self.fetch_json(4, with_bearer(ack, key)).await?;
        }
        Ok(())
    }

    async fn swap_weights(&mut self, key: &str) -> miette::Result<()> {
        let call = Call::post("/v1/trainers/notes/weights", "{\"version\":2}");
        self.fetch_json(5, with_bearer(call, key)).await?;
        let start = std::time::Instant::now();
        for endpoint in &self.deployment.endpoints {
            if !endpoint.plan.is_engine {
                continue;
            }
            let has_version_2 = |answer: &Fetched| {
                let load: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                load["versions"]["tasting-notes"] == 2
            };
            let waiting = self
                .deployment
                .wait_for(endpoint.address, "/v1/load", has_version_2);
            waiting.await.into_diagnostic()?;
        }
        let elapsed_ms = start.elapsed().as_millis();
        self.add_row(
            "weights",
            format!("version 2 on every engine after {elapsed_ms} ms"),
        );
        Ok(())
    }

    async fn change_config(&mut self) -> miette::Result<()> {
        let file = self.deployment.tree.join("accounts/tarragonseam.toml");
        let text = std::fs::read_to_string(&file).into_diagnostic()?;
        let text = format!("{text}\n[accounts.nouveau-venu]\nweight = 2\n");
        std::fs::write(&file, text).into_diagnostic()?;
        self.publish(2).await?;
        let start = std::time::Instant::now();
        for vm in &self.deployment.vms {
            let has_revision_2 = |answer: &Fetched| {
                let status: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                status["revision"] == 2
            };
            let waiting = self
                .deployment
                .wait_for(vm.entry_admin, "/status", has_revision_2);
            waiting.await.into_diagnostic()?;
        }
        let elapsed_ms = start.elapsed().as_millis();
        self.add_row("", format!("in force on every VM after {elapsed_ms} ms"));
        Ok(())
    }

    async fn withdraw_key(&mut self, key: &str) -> miette::Result<()> {
        keys::mark_withdrawn(&self.client, key).await?;
        let start = std::time::Instant::now();
        for vm_index in 0..self.deployment.vms.len() {
            while self.fetch(vm_index, generate_call(key, 1)).await?.status != 401 {
                monoio::time::sleep(POLL_PERIOD).await;
            }
        }
        let elapsed_ms = start.elapsed().as_millis();
        self.add_row(
            "key withdrawn",
            format!("rejected by every VM after {elapsed_ms} ms"),
        );
        Ok(())
    }

    async fn show_usage(&mut self) -> miette::Result<()> {
        let has_figures =
            |answer: &Fetched| String::from_utf8_lossy(&answer.body).contains("maison-verte");
        let platform = self.deployment.platform;
        let waiting = self.deployment.wait_for(platform, "/v1/usage", has_figures);
        let answer = waiting.await.into_diagnostic()?;
        let usage: Value = serde_json::from_slice(&answer.body).into_diagnostic()?;
        let reports = usage["reports"].as_array().cloned().unwrap_or_default();
        for report in reports {
            let figures = report["figures"].as_array().cloned().unwrap_or_default();
            for line in figures {
                let text = format!("window {}: {line}", report["window"]);
                self.add_row("usage reported", text);
            }
        }
        Ok(())
    }
}

const POLL_PERIOD: Duration = Duration::from_millis(50);

fn generate_call(key: &str, max_tokens: u32) -> Call {
    let prompt = "tasting notes for a still cider from Rougemont";
    let body = json!({ "prompt": prompt, "max_tokens": max_tokens });
    with_bearer(Call::post(GENERATE_PATH, body.to_string()), key)
}

fn with_bearer(call: Call, key: &str) -> Call {
    call.header("authorization", format!("Bearer {key}"))
}

fn truncate(text: &str) -> String {
    const TEXT_CHARS_MAX: usize = 70;
    text.chars().take(TEXT_CHARS_MAX).collect()
}

fn format_lot(lot: &Value) -> String {
    let samples = lot["samples"].as_array().cloned().unwrap_or_default();
    let format_id = |sample: &Value| {
        let id = &sample["id"];
        format!("{}.{}.{}", id["step"], id["group"], id["index"])
    };
    let first = samples.first().map(format_id).unwrap_or_default();
    let last = samples.last().map(format_id).unwrap_or_default();
    let spans = samples.first().map(|sample| sample["spans"].to_string());
    format!(
        "lot {}: {} samples {first} to {last}, version spans of the first {}",
        lot["number"],
        samples.len(),
        spans.unwrap_or_default()
    )
}
