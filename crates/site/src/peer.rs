//! What VMs ask of each other: to pass calls on to the store, and to run jobs.
//!
//! Watches that wait for the same are asked of the store once.

use std::{cell::RefCell, rc::Rc};

use board::hash::Map;
use link::{
    Method, StatusCode,
    http::{Request, client::Fetched, server::Reply},
};
use platform::store::{self, Error, Store};

use crate::{
    job::{Jobs, runner},
    notice::Notice,
};

/// What answers other VMs.
#[derive(Clone)]
pub struct Peer {
    store: Store,
    jobs: Jobs,
    watches: Rc<RefCell<Map<String, Rc<Watch>>>>,
}

/// A watch that several VMs wait for.
#[derive(Default)]
struct Watch {
    outcome: RefCell<Option<Result<Fetched, Error>>>,
    is_over: Notice,
}

impl Peer {
    /// Returns what answers other VMs with the store of `jobs`.
    pub fn new(jobs: Jobs) -> Self {
        Self {
            store: jobs.store.clone(),
            jobs,
            watches: Rc::default(),
        }
    }

    /// Answers a call of another VM.
    pub async fn answer(&self, request: Request) -> Reply {
        if request.uri.path().starts_with(runner::PATH) {
            return runner::take(&self.jobs, request).await;
        }
        let uri = &request.uri;
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        if !path.starts_with(store::ROOT) {
            return Reply::new(StatusCode::NOT_FOUND, "");
        }
        let is_watch = request.method == Method::GET && path.contains("watch=");
        let outcome = match is_watch {
            true => self.watch(path).await,
            false => {
                self.store
                    .relay(request.method.clone(), path, request.body.clone())
                    .await
            }
        };
        match outcome {
            Ok(found) => {
                Reply::new(found.status, found.body).header("content-type", "application/json")
            }
            Err(Error::Refused(status)) => Reply::new(status, ""),
            // Whether the store has done it is not known: no answer is given.
            Err(_) => Reply::cut(),
        }
    }

    async fn watch(&self, path: &str) -> Result<Fetched, Error> {
        let known = self.watches.borrow().get(path).cloned();
        let watch = known.unwrap_or_else(|| self.begin(path));
        watch.is_over.past(0).await;
        let outcome = watch.outcome.borrow().clone();
        outcome.unwrap_or(Err(Error::Unknown))
    }

    /// Starts a watch that goes on for all that wait, whoever leaves.
    fn begin(&self, path: &str) -> Rc<Watch> {
        let watch: Rc<Watch> = Rc::default();
        self.watches
            .borrow_mut()
            .insert(path.to_string(), watch.clone());
        let (peer, path, begun) = (self.clone(), path.to_string(), watch.clone());
        monoio::spawn(async move {
            let outcome = peer
                .store
                .relay(Method::GET, &path, Default::default())
                .await;
            peer.watches.borrow_mut().remove(&path);
            *begun.outcome.borrow_mut() = Some(outcome);
            begun.is_over.raise();
        });
        watch
    }
}
