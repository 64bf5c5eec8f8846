//! The list of VMs, which lags behind its changes.

use std::{cell::RefCell, rc::Rc};

use link::{
    StatusCode,
    http::{Reply, Request},
    platform::State,
};
use serde::{Deserialize, Serialize};

use crate::clock;

/// A VM in the list of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// The VM's id.
    pub id: String,
    /// The address at which other VMs reach it.
    pub address: String,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether it runs or will be removed.
    #[serde(default)]
    pub state: State,
}

#[derive(Debug, Deserialize, Serialize)]
struct Vms {
    vms: Vec<Vm>,
}

/// The list that callers read; a change appears in it after a lag.
#[derive(Debug)]
pub(crate) struct List {
    visible: RefCell<Vms>,
    lag_ms: u64,
}

impl List {
    /// Returns a list that contains `vms` from the start.
    pub(crate) fn new(vms: Vec<Vm>, lag_ms: u64) -> Rc<Self> {
        Rc::new(Self {
            visible: RefCell::new(Vms { vms }),
            lag_ms,
        })
    }

    /// Answers with the list.
    pub(crate) fn get(&self) -> Reply {
        Reply::json(StatusCode::OK, &*self.visible.borrow())
    }

    /// Replaces the list after the lag; tests call this.
    pub(crate) fn replace(self: &Rc<Self>, request: &Request) -> Reply {
        let next: Vms = match request.json() {
            Ok(next) => next,
            Err(reply) => return reply,
        };
        let reply = Reply::json(StatusCode::OK, &next);
        if self.lag_ms == 0 {
            *self.visible.borrow_mut() = next;
            return reply;
        }
        let list = self.clone();
        monoio::spawn(async move {
            clock::sleep_ms(list.lag_ms).await;
            *list.visible.borrow_mut() = next;
        });
        reply
    }
}
