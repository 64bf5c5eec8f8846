//! Calls to plain services, which complete even if their caller disconnects.
//!
//! A request that was sent to a plain service cannot be cancelled there. So if
//! the caller disconnects, the call continues in the background and holds its
//! slot until the service answers; then the request is billed as abandoned.

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

/// The usage of one answered request.
pub(crate) const REQUEST_USAGE: Figures = Figures {
    requests: 1,
    tokens_in: 0,
    tokens_out: 0,
    abandoned: 0,
};

/// The request to bill, and the account that pays for it.
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

/// A call in progress, which continues in the background when dropped.
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

/// Waits for the answer to a dropped call, and bills it. A failure is not
/// billed, as for calls whose caller is still connected.
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
