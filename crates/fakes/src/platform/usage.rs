//! Accepts usage reports.

use std::{cell::RefCell, collections::BTreeMap};

use link::{
    StatusCode,
    http::{Reply, Request},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::not_found;
use crate::clock;

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct Figure {
    account: String,
    requests: u64,
    tokens_in: u64,
    tokens_out: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    abandoned: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[derive(Debug, Deserialize)]
struct Report {
    window: String,
    epoch: u64,
    figures: Vec<Figure>,
}

/// The first report of one window, and all calls that reported the window.
#[derive(Clone, Debug, Serialize)]
struct Window {
    window: String,
    epoch: u64,
    figures: Vec<Figure>,
    calls: Vec<ReportCall>,
}

/// One call that reported a window.
#[derive(Clone, Debug, Serialize)]
struct ReportCall {
    holder: String,
    epoch: u64,
    at_ms: u64,
    accepted: bool,
}

/// The reports of all windows.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    windows: RefCell<BTreeMap<String, Window>>,
    violations: RefCell<u64>,
}

impl Reports {
    /// Records a report of `window`, and rejects it if the first report of the
    /// window has different figures.
    pub(crate) fn report(&self, window: &str, request: &Request) -> Reply {
        let mut report: Report = match request.json() {
            Ok(report) => report,
            Err(reply) => return reply,
        };
        if report.window != window {
            let detail = "the body and the path name different windows";
            return Reply::error(StatusCode::BAD_REQUEST, "bad-window", detail);
        }
        report.figures.sort_by(|a, b| a.account.cmp(&b.account));
        let mut windows = self.windows.borrow_mut();
        let recorded = windows.entry(window.to_owned()).or_insert_with(|| Window {
            window: report.window,
            epoch: report.epoch,
            figures: report.figures.clone(),
            calls: Vec::new(),
        });
        let accepted = recorded.figures == report.figures;
        recorded.calls.push(ReportCall {
            holder: request.header("x-vm").unwrap_or_default().to_owned(),
            epoch: report.epoch,
            at_ms: clock::now_ms(),
            accepted,
        });
        if !accepted {
            *self.violations.borrow_mut() += 1;
            let detail = "an earlier report of the window has different figures";
            return Reply::error(StatusCode::CONFLICT, "different-figures", detail);
        }
        Reply::json(StatusCode::OK, &json!({"window": window}))
    }

    /// Answers with the report of `window`.
    pub(crate) fn get(&self, window: &str) -> Reply {
        match self.windows.borrow().get(window) {
            Some(report) => Reply::json(StatusCode::OK, report),
            None => not_found("no such window"),
        }
    }

    /// Answers with all reports.
    pub(crate) fn list(&self) -> Reply {
        let windows = self.windows.borrow();
        let reports: Vec<&Window> = windows.values().collect();
        let body = json!({"reports": reports, "violations": *self.violations.borrow()});
        Reply::json(StatusCode::OK, &body)
    }
}
