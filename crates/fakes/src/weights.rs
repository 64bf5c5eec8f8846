//! The weight store, with limits on the rate and number of transfers.

use std::{cell::RefCell, rc::Rc};

use clap::Parser;
use link::{
    StatusCode,
    http::{Reply, Request},
};
use local_sync::semaphore::Semaphore;
use serde_json::json;

use crate::{
    Bind,
    bucket::{Bucket, too_many_requests},
    clock,
    host::Callbacks,
};

/// Settings of the weight store.
#[derive(Clone, Debug, Parser)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub bind: Bind,
    /// Duration of one transfer, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub transfer_ms: u64,
    /// Concurrent transfers; further transfers wait.
    #[arg(long, default_value_t = 4)]
    pub concurrent: usize,
    /// Transfers that may start per second; further transfers are answered with
    /// 429.
    #[arg(long, default_value_t = 50)]
    pub rate_per_s: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self::parse_from(["weights"])
    }
}

struct Store {
    config: Config,
    bucket: RefCell<Bucket>,
    transfers: Semaphore,
}

pub(crate) fn callbacks(config: Config) -> Callbacks {
    let store = Rc::new(Store {
        bucket: RefCell::new(Bucket::new(config.rate_per_s)),
        transfers: Semaphore::new(config.concurrent.max(1)),
        config,
    });
    Callbacks {
        answer: Box::new(move |request| {
            let store = store.clone();
            Box::pin(async move { store.answer(&request).await })
        }),
        on_fault: Box::new(|_| {}),
    }
}

impl Store {
    async fn answer(&self, request: &Request) -> Reply {
        let ["v1", "weights", model, version] = request.segments()[..] else {
            return Reply::error(StatusCode::NOT_FOUND, "not-found", "no such call");
        };
        if !self.bucket.borrow_mut().try_acquire(self.config.rate_per_s) {
            return too_many_requests();
        }
        let _transfer = self.transfers.acquire().await;
        clock::sleep_ms(self.config.transfer_ms).await;
        Reply::json(StatusCode::OK, &json!({"model": model, "version": version}))
    }
}
