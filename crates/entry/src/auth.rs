//! Which client account a request acts for.

use std::sync::Arc;

use board::{Board, key::Digest};
use link::{StatusCode, http::Request};
use policy::isolation::{self, View};

use crate::{
    refusal::{Failure, Ran},
    vm::Vm,
};

/// A key that was good when it was checked.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) account: Arc<str>,
    pub(crate) digest: Digest,
}

/// Checks the key of a request.
///
/// # Errors
///
/// 401 without a good key, 503 before the keys are known.
pub(crate) fn check(vm: &Vm, request: &Request) -> Result<Caller, Failure> {
    if !vm.primed.get() || vm.board.borrow().revision == 0 {
        return Err(Failure::not_ready());
    }
    let refuse = |code, detail| Failure::rejected(StatusCode::UNAUTHORIZED, code, detail);
    let secret = request
        .header("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| refuse("no-key", "send the key as 'authorization: Bearer KEY'"))?;
    let digest = Digest::of(secret.trim());
    let board = vm.board.borrow();
    let grant = board.keys.get(&digest);
    match grant {
        Some(grant) if grant.withdrawn => Err(refuse("key-withdrawn", "the key was withdrawn")),
        Some(grant) => match board.config.accounts.get(&grant.account) {
            Some(account) if isolation::may_run(&board, vm.now(), account.when_isolated) => {
                Ok(Caller {
                    account: grant.account.as_str().into(),
                    digest,
                })
            }
            Some(_) => Err(isolated()),
            None => Err(refuse("bad-key", "no account has this key")),
        },
        // The key may be known where this VM cannot reach.
        None if isolation::view(&board, vm.now()) == View::Isolated => Err(isolated()),
        None => Err(refuse("bad-key", "no account has this key")),
    }
}

fn isolated() -> Failure {
    Failure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "isolated",
        detail: "this VM is cut off and its keys may be out of date".to_string(),
        ran: Ran::NotRun,
        retry_after: Some(policy::admission::RETRY_AFTER),
    }
}

/// Returns whether a key that was good still is.
pub(crate) fn is_good(board: &Board, digest: &Digest) -> bool {
    board.keys.get(digest).is_some_and(|grant| !grant.withdrawn)
}
