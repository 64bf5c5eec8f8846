//! Usage reports, one for each window. The figures of a window are frozen
//! before they are first sent, so that every retry sends the same figures.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use board::{
    hash::{Map, Set},
    usage::{
        AccountFigures, ClosedWindow, FIRST_KIND, FIRST_NAME, FrozenWindow, KIND, Origin, Record,
        Window,
    },
};
use link::{clock, peer::Pool, platform::Error};
use policy::usage::{self, CLOCK_SKEW_MAX, Unresponsive};
use serde::Serialize;
use wire::{Request, Response, message::Close};

use crate::vm::Vm;

const ROUND_INTERVAL: Duration = Duration::from_millis(250);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of a report to the platform.
#[derive(Debug, Serialize)]
struct Report<'a> {
    window: String,
    epoch: u64,
    figures: &'a [AccountFigures],
}

/// The state of the lease holder that reports usage.
#[derive(Default)]
struct Reporter {
    /// Whether the next window to report is known.
    is_next_known: bool,
    /// Connections to the entry daemons.
    peer_pool: Pool,
    /// The window to report next.
    next: Window,
    /// The window reported last.
    last: Option<FrozenWindow>,
    /// The VMs that do not answer, and for how long they have not.
    unresponsive: Unresponsive,
    /// The answers of processes about the next window. Their own figures are
    /// final; the copies that they hold may change.
    answers: Map<Origin, ClosedWindow>,
    /// The VMs that need not be asked again.
    answered: Set<String>,
    /// Whether copies may have been handed over to VMs that answered before.
    is_outdated: bool,
}

/// Reports each window after its end while this process holds the lease on
/// reports; never returns.
pub(crate) async fn run(vm: Rc<Vm>) {
    let mut reporter = Reporter::default();
    loop {
        monoio::time::sleep(ROUND_INTERVAL).await;
        let Some(epoch) = vm.epoch(&vm.reports) else {
            reporter = Reporter::default();
            continue;
        };
        if !reporter.is_next_known {
            reporter.is_next_known = reporter.resume(&vm).await.is_some();
        }
        while reporter.is_next_known && reporter.report(&vm, epoch).await {}
    }
}

impl Reporter {
    /// Resumes with the last window that was frozen, which may not have been
    /// reported; `None` when the platform cannot be read.
    async fn resume(&mut self, vm: &Rc<Vm>) -> Option<()> {
        let frozen = vm.platform.list(KIND, "").await.ok()?;
        let names = frozen.changes.iter().map(|change| &change.name);
        let Some(last) = names.filter_map(|name| name.parse().ok()).max() else {
            self.next = self.first_window(vm).await?;
            return Some(());
        };
        self.next = Window(last);
        let before = last.saturating_sub(1).to_string();
        self.last = match vm.platform.read::<FrozenWindow>(KIND, &before).await {
            Ok((_, frozen)) => Some(frozen),
            Err(Error::Absent) => None,
            Err(_) => return None,
        };
        Some(())
    }

    /// Returns the window to start with in a deployment that has not frozen a
    /// window yet: the oldest window with records on a VM, or the current
    /// window. Every process gets the same one.
    async fn first_window(&mut self, vm: &Rc<Vm>) -> Option<Window> {
        match vm.platform.read::<Window>(FIRST_KIND, FIRST_NAME).await {
            Ok((_, first)) => return Some(first),
            Err(Error::Absent) => {}
            Err(_) => return None,
        }
        let first = self.oldest_window(vm).await?;
        let value = serde_json::to_vec(&first).ok()?;
        let first = vm.platform.create(FIRST_KIND, FIRST_NAME, value).await;
        first.ok()?.json().ok()
    }

    /// Returns the oldest window with records on a VM, or the current window.
    async fn oldest_window(&mut self, vm: &Rc<Vm>) -> Option<Window> {
        let current = Window(clock::wall_millis() / window_length_ms(vm));
        if !self.close_everywhere(vm).await {
            return None;
        }
        let answers = std::mem::take(&mut self.answers);
        self.answered.clear();
        let oldest = answers.values().filter_map(|answer| answer.oldest).min();
        Some(oldest.map_or(current, |oldest| oldest.min(current)))
    }

    /// Reports the next window if it has ended, and returns whether the report
    /// was accepted.
    async fn report(&mut self, vm: &Rc<Vm>, epoch: u64) -> bool {
        let end = (self.next.0 + 1) * window_length_ms(vm) + CLOCK_SKEW_MAX.as_millis() as u64;
        if clock::wall_millis() < end {
            return false;
        }
        let Some(frozen) = self.freeze(vm, epoch).await else {
            return false;
        };
        let report = Report {
            window: frozen.window.0.to_string(),
            epoch: frozen.epoch,
            figures: &frozen.figures,
        };
        let fence = vm.fence(|vm| &vm.reports, epoch);
        let sent = vm.platform.report(&report.window, &report, fence).await;
        match sent {
            Ok(()) => vm.metrics.record_report("accepted"),
            Err(e) => {
                let (window, problem) = (frozen.window.0, e.to_string());
                spdlog::warn!("usage report failed and will be retried", kv: { window, problem });
                vm.metrics.record_report("failed");
                return false;
            }
        }
        self.advance(vm, frozen);
        true
    }

    /// Advances to the window after `frozen`, which was reported.
    fn advance(&mut self, vm: &Vm, frozen: FrozenWindow) {
        let copied = frozen.copied.iter().map(|copied| copied.ids.len() as u64);
        let tokens = frozen
            .figures
            .iter()
            .map(|account| account.figures.tokens_out);
        vm.metrics
            .record_window(frozen.late, copied.sum(), tokens.sum());
        self.next = frozen.window.next();
        self.last = Some(frozen);
        self.answers.clear();
        self.answered.clear();
    }

    /// Freezes and returns the figures of the next window; `None` when a VM has
    /// to be waited for, or the platform cannot be read or written.
    async fn freeze(&mut self, vm: &Rc<Vm>, epoch: u64) -> Option<FrozenWindow> {
        let name = self.next.0.to_string();
        match vm.platform.read::<FrozenWindow>(KIND, &name).await {
            Ok((_, frozen)) => return Some(frozen),
            Err(Error::Absent) => {}
            Err(_) => return None,
        }
        if !self.close_everywhere(vm).await {
            return None;
        }
        let copies = self.collect_copies(vm).await?;
        let answers: Vec<_> = self.answers.values().cloned().collect();
        let draft = usage::total(self.next, epoch, &answers, &copies, self.last.as_ref());
        let value = serde_json::to_vec(&draft).ok()?;
        if vm.epoch(&vm.reports) != Some(epoch) {
            return None;
        }
        // The figures that were written first are in force, possibly those of
        // another process.
        let frozen = vm.platform.create(KIND, &name, value).await.ok()?;
        frozen.json().ok()
    }

    /// Closes the next window on every VM, and returns whether all VMs that
    /// have to be waited for have answered.
    ///
    /// After a wait all VMs are asked again: a copy of which the holder is lost
    /// meanwhile may be on a VM that answered before it received the copy.
    async fn close_everywhere(&mut self, vm: &Rc<Vm>) -> bool {
        let was_outdated = self.is_outdated;
        self.is_outdated = !self.close_unanswered(vm).await;
        if was_outdated && !self.is_outdated {
            self.answered.clear();
            self.is_outdated = !self.close_unanswered(vm).await;
        }
        !self.is_outdated
    }

    /// Closes the next window on the VMs that have not answered, and returns
    /// whether none of them has to be waited for.
    async fn close_unanswered(&mut self, vm: &Rc<Vm>) -> bool {
        let Ok(vms) = vm.platform.vms().await else {
            return false;
        };
        let request = Rc::new(Request::Close(self.close_request()));
        let mut requests = Vec::new();
        for peer in vms {
            if self.answered.contains(&peer.id) {
                continue;
            }
            let (peer_pool, request) = (self.peer_pool.clone(), request.clone());
            let answer = async move {
                peer_pool
                    .request(peer.address, &request, REQUEST_TIMEOUT)
                    .await
            };
            requests.push((peer.id, monoio::spawn(answer)));
        }
        let mut is_waiting = false;
        for (id, answer) in requests {
            let answer = answer.await;
            let has_answered = matches!(answer, Ok(Response::Closed(_)));
            is_waiting |= self
                .unresponsive
                .record_response(&id, vm.now(), has_answered);
            if let Ok(Response::Closed(closed)) = answer {
                self.answers.insert(closed.origin.clone(), closed);
                self.answered.insert(id);
            }
        }
        !is_waiting
    }

    fn close_request(&self) -> Close {
        let last = self.last.as_ref();
        Close {
            window: self.next,
            frozen: last.map_or(Window(0), |frozen| frozen.window),
            counted: last.map_or_else(Vec::new, |frozen| frozen.origins.clone()),
        }
    }

    /// Reads the records of processes that did not answer from the VMs that
    /// hold copies; `None` when one of these does not answer.
    async fn collect_copies(&mut self, vm: &Vm) -> Option<Vec<(Origin, Vec<Record>)>> {
        let vms = vm.platform.vms().await.ok()?;
        let addresses: Map<_, _> = vms
            .into_iter()
            .map(|peer| (peer.id, peer.address))
            .collect();
        let answers: Vec<_> = self.answers.values().cloned().collect();
        let mut copies = Vec::new();
        for origin in usage::missing_origins(&answers) {
            for answer in answers.iter().filter(|a| a.copies.contains(&origin)) {
                let holder = &answer.origin.vm;
                let records = match addresses.get(holder) {
                    Some(address) => self.fetch_copies(*address, &origin).await,
                    None => None,
                };
                let Some(records) = records else {
                    // Other VMs may hold the copies by now.
                    self.discard_copies(&answer.origin);
                    return None;
                };
                copies.push((origin.clone(), records));
            }
        }
        Some(copies)
    }

    /// Discards what `holder` answered about its copies, and has all VMs asked
    /// again.
    fn discard_copies(&mut self, holder: &Origin) {
        if let Some(answer) = self.answers.get_mut(holder) {
            answer.copies.clear();
        }
        self.answered.clear();
    }

    /// Returns the copies that `holder` has answered to hold; `None` if it does
    /// not have them any more, as after a restart, or does not answer.
    async fn fetch_copies(&self, holder: SocketAddr, origin: &Origin) -> Option<Vec<Record>> {
        let request = Request::Copies(origin.clone(), self.next);
        match self
            .peer_pool
            .request(holder, &request, REQUEST_TIMEOUT)
            .await
        {
            Ok(Response::Copies(records)) if !records.is_empty() => Some(records),
            _ => None,
        }
    }
}

/// Returns the length of a usage window in milliseconds.
fn window_length_ms(vm: &Vm) -> u64 {
    vm.settings.window.as_millis().max(1) as u64
}
