//! The lagging list of VMs.

use std::{cell::RefCell, rc::Rc};

use link::{
    StatusCode,
    http::{Reply, Request},
    platform::State,
};
use serde::{Deserialize, Serialize};

use crate::clock;

/// A VM as the platform lists it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// The VM's id.
    pub id: String,
    /// The address, as the VMs reach each other.
    pub address: String,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether it runs or is about to go.
    #[serde(default)]
    pub state: State,
}

#[derive(Debug, Deserialize, Serialize)]
struct Vms {
    vms: Vec<Vm>,
}

/// The list that shows, behind the true one by a lag.
#[derive(Debug)]
pub(crate) struct List {
    visible: RefCell<Vms>,
    lag_ms: u64,
}

impl List {
    /// Returns a list that shows `vms` at once.
    pub(crate) fn new(vms: Vec<Vm>, lag_ms: u64) -> Rc<Self> {
        Rc::new(Self {
            visible: RefCell::new(Vms { vms }),
            lag_ms,
        })
    }

    /// Answers with the list that shows.
    pub(crate) fn get(&self) -> Reply {
        Reply::json(StatusCode::OK, &*self.visible.borrow())
    }

    /// Replaces the list, which shows after the lag; for drivers of tests.
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
