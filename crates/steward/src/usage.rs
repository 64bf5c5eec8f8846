//! Reports of usage, one for each window, with figures frozen before they are
//! first sent.

use std::{rc::Rc, time::Duration};

use board::usage::{Figures, Sheet, Window};
use link::{clock, peer, platform::Error};
use serde::{Deserialize, Serialize};
use wire::{Answer, Ask};

use crate::vm::Vm;

const PERIOD: Duration = Duration::from_millis(500);
const ASK_TIME: Duration = Duration::from_secs(2);
const KIND: &str = "usage-window";

#[derive(Debug, Serialize, Deserialize)]
struct Report {
    window: String,
    epoch: u64,
    figures: Vec<Line>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Line {
    account: String,
    #[serde(flatten)]
    figures: Figures,
}

/// Reports each window once it has ended, for ever.
pub(crate) async fn run(vm: Rc<Vm>) {
    let mut next = None;
    loop {
        monoio::time::sleep(PERIOD).await;
        let Some(epoch) = vm.epoch(&vm.reports) else {
            next = None;
            continue;
        };
        let open = clock::wall_millis() / vm.settings.window.as_millis().max(1) as u64;
        if next.is_none() {
            next = first(&vm, open).await;
        }
        let Some(window) = next else {
            continue;
        };
        // The window before the open one may still be counted by a slow VM.
        if window + 1 < open && report(&vm, epoch, Window(window)).await {
            next = Some(window + 1);
        }
    }
}

/// Returns the first window that is not frozen yet.
async fn first(vm: &Vm, open: u64) -> Option<u64> {
    let frozen = vm.platform.list(KIND, "").await.ok()?;
    let last = frozen
        .changes
        .iter()
        .filter_map(|c| c.name.parse().ok())
        .max();
    Some(last.unwrap_or(open - 1))
}

async fn report(vm: &Vm, epoch: u64, window: Window) -> bool {
    let Some(sheet) = collect(vm, window).await else {
        return false;
    };
    let draft = Report {
        window: window.0.to_string(),
        epoch,
        figures: lines(sheet),
    };
    let value = serde_json::to_vec(&draft).unwrap_or_default();
    let Ok(frozen) = vm.platform.create(KIND, &draft.window, value).await else {
        return false;
    };
    let Ok(report) = frozen.json::<Report>() else {
        return false;
    };
    if vm.epoch(&vm.reports) != Some(epoch) {
        return false;
    }
    let path = format!("/v1/usage/{}", report.window);
    let sent: Result<serde_json::Value, Error> = vm.platform.post(&path, &report).await;
    sent.is_ok()
}

/// Adds up what every VM measured; `None` when one cannot be asked.
async fn collect(vm: &Vm, window: Window) -> Option<Sheet> {
    let mut total = Sheet::default();
    for peer in vm.platform.vms().await.ok()? {
        let answer = peer::ask(peer.address, &Ask::Usage(window), ASK_TIME).await;
        let Ok(Answer::Usage(sheet)) = answer else {
            return None;
        };
        for (account, figures) in sheet {
            total.entry(account).or_default().add(figures);
        }
    }
    Some(total)
}

fn lines(sheet: Sheet) -> Vec<Line> {
    let line = |(account, figures)| Line { account, figures };
    sheet.into_iter().map(line).collect()
}
