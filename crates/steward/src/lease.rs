//! Holding of one lease on the platform.

use std::{cell::RefCell, rc::Rc, time::Duration};

use board::lease::{KIND, Lease, Record, Terms};
use link::platform::{Error, When};
use policy::lease::{self, Outcome, Step};

use crate::vm::Vm;

const TICK_TIME: Duration = Duration::from_millis(100);

/// Keeps trying to hold `job`, for ever.
pub(crate) async fn hold(vm: Rc<Vm>, job: String, pick: fn(&Vm) -> &RefCell<Lease>) {
    let terms = Terms::default();
    let mut was_held = false;
    loop {
        turn(&vm, &job, pick(&vm), terms).await;
        let epoch = vm.epoch(pick(&vm));
        if epoch.is_some() != was_held {
            was_held = epoch.is_some();
            let job = job.as_str();
            spdlog::info!("lease changed", kv: { job, held = was_held, epoch = epoch.unwrap_or(0) });
        }
        monoio::time::sleep(TICK_TIME).await;
    }
}

async fn turn(vm: &Vm, job: &str, lease: &RefCell<Lease>, terms: Terms) {
    let now = vm.now();
    let step = lease::step(&mut lease.borrow_mut(), now, terms, &vm.settings.vm);
    match step {
        Step::Wait => {}
        Step::Read => {
            let found = match vm.platform.read::<Record>(KIND, job).await {
                Ok(found) => Some(found),
                Err(Error::Absent) => None,
                Err(_) => return,
            };
            lease::read(&mut lease.borrow_mut(), vm.now(), found, terms);
        }
        Step::Write { version, record } => {
            let sent = vm.now();
            let when = match version {
                0 => When::Absent,
                version => When::At(version),
            };
            let outcome = match vm.platform.write(KIND, job, when, &record).await {
                Ok(version) => Outcome::Written(version),
                Err(Error::Unknown(_)) => Outcome::Unknown,
                Err(_) => Outcome::Failed,
            };
            lease::wrote(&mut lease.borrow_mut(), sent, record, outcome, terms);
        }
    }
}
