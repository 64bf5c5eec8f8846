//! Calls to plain services, which run to their end when their caller leaves.
//!
//! A plain service cannot be told to stop: what was sent to it is work done.
//! So its answer is waited for, its place stays taken until then, and the
//! request is billed once the service has answered, marked as abandoned.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use board::usage::Figures;
use link::http::{Error, client::Fetched};

use crate::{usage, vm::Vm};

/// What one answered request uses.
pub(crate) const REQUEST_USAGE: Figures = Figures {
    requests: 1,
    tokens_in: 0,
    tokens_out: 0,
    abandoned: 0,
};

/// Whom to bill, and for which request.
pub(crate) struct Billing {
    vm: Rc<Vm>,
    request_id: String,
    account: Arc<str>,
}

impl Billing {
    pub(crate) fn new(vm: &Rc<Vm>, request_id: &str, account: &Arc<str>) -> Self {
        Self {
            vm: vm.clone(),
            request_id: request_id.to_string(),
            account: account.clone(),
        }
    }
}

type Work = Pin<Box<dyn Future<Output = Result<Fetched, Error>>>>;

/// A call under way.
pub(crate) struct Exchange {
    billing: Rc<Billing>,
    work: Option<Work>,
}

impl Exchange {
    pub(crate) fn new(
        billing: Billing,
        work: impl Future<Output = Result<Fetched, Error>> + 'static,
    ) -> Self {
        Self {
            billing: Rc::new(billing),
            work: Some(Box::pin(work)),
        }
    }
}

impl Future for Exchange {
    type Output = Result<Fetched, Error>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(work) = &mut self.work else {
            return Poll::Pending;
        };
        let result = work.as_mut().poll(cx);
        if result.is_ready() {
            self.work = None;
        }
        result
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(work) = self.work.take() {
            usage::run_detached(&self.billing.vm, finish(self.billing.clone(), work));
        }
    }
}

/// Waits for the answer that nobody reads, and bills it. A failure is not
/// billed, as it is not for a caller that waits.
async fn finish(billing: Rc<Billing>, work: Work) {
    if work.await.is_ok() {
        usage::bill_abandoned(
            &billing.vm,
            &billing.request_id,
            &billing.account,
            REQUEST_USAGE,
        );
    }
}
