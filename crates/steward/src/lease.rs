//! Acquiring, renewing and releasing one lease on the platform.

use std::{cell::RefCell, rc::Rc, time::Duration};

use board::lease::{KIND, Lease, Record, Terms};
use link::platform::{Condition, Error};
use policy::lease::{self, Outcome, Step};

use crate::vm::{Selector, Vm};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Acquires and renews the lease `name`, for which the VMs of `domain`, or of
/// all failure domains, compete; never returns.
pub(crate) async fn run(vm: Rc<Vm>, name: String, domain: Option<String>, select: Selector) {
    let mut previous_epoch = None;
    loop {
        if select(&vm).borrow().next_check <= vm.now() {
            let terms = terms(&vm, &name, domain.as_deref());
            advance(&vm, &name, select(&vm), terms).await;
        }
        let epoch = vm.epoch(select(&vm));
        if epoch != previous_epoch {
            report_change(&vm, &name, previous_epoch, epoch);
            previous_epoch = epoch;
        }
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Releases a lease, so that a successor need not wait until it expires.
pub(crate) async fn release(vm: &Vm, name: &str, select: Selector) {
    let step = lease::release(
        &mut select(vm).borrow_mut(),
        vm.now(),
        Terms::default(),
        &vm.settings.vm,
    );
    if let Some(Step::Write { version, record }) = step {
        // If the write fails, a successor waits until the lease expires.
        let condition = Condition::At(version);
        let _ = vm
            .lease_platform
            .write(KIND, name, condition, &record)
            .await;
    }
}

fn terms(vm: &Vm, name: &str, domain: Option<&str>) -> Terms {
    let board = vm.board.borrow();
    let members = board.members.live().map(|member| &member.record);
    let names = members
        .filter(|other| domain.is_none_or(|domain| other.failure_domain == domain))
        .map(|other| other.vm.as_str());
    let names: Vec<&str> = names.chain([vm.settings.vm.as_str()]).collect();
    let terms = Terms::default();
    Terms {
        period: lease::check_period(name, &vm.settings.vm, &names, terms),
        ..terms
    }
}

fn report_change(vm: &Vm, name: &str, previous: Option<u64>, epoch: Option<u64>) {
    let change = if epoch.is_some() { "taken" } else { "lost" };
    vm.metrics.record_lease(name, change);
    let epoch = epoch.or(previous).unwrap_or_default();
    spdlog::info!("lease acquired or lost", kv: { job = name, change, epoch });
}

async fn advance(vm: &Vm, name: &str, lease: &RefCell<Lease>, terms: Terms) {
    let now = vm.now();
    let step = lease::step(&mut lease.borrow_mut(), now, terms, &vm.settings.vm);
    match step {
        Step::Wait => {}
        Step::Read => {
            let found = match vm.lease_platform.read::<Record>(KIND, name).await {
                Ok(found) => Some(found),
                Err(Error::Absent) => None,
                Err(_) => return,
            };
            lease::record_read(&mut lease.borrow_mut(), vm.now(), found, terms);
        }
        Step::Write { version, record } => {
            let sent = vm.now();
            let condition = match version {
                0 => Condition::Absent,
                version => Condition::At(version),
            };
            let written = vm
                .lease_platform
                .write(KIND, name, condition, &record)
                .await;
            let outcome = written.map_or(Outcome::Unknown, Outcome::Written);
            lease::record_write(&mut lease.borrow_mut(), sent, record, outcome, terms);
        }
    }
}
