//! Authentication: which client account a request acts for.

use std::{sync::Arc, time::Duration};

use board::{Board, key::Digest};
use link::{StatusCode, http::Request};
use policy::{
    execution::Execution,
    isolation::{self, View},
};

use crate::{failure::Failure, vm::Vm};

/// An account and the digest of its key, which was valid when it was checked.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) account: Arc<str>,
    pub(crate) digest: Digest,
}

/// Checks the key of a request and returns the account it acts for.
///
/// # Errors
///
/// A [`Failure`]: 401 without a valid key; 503 before the keys are known, or
/// when this VM is isolated and may not serve the account.
pub(crate) fn check(vm: &Vm, request: &Request) -> Result<Caller, Failure> {
    if !vm.gossip.is_bootstrapped() || vm.board.borrow().revision == 0 {
        return Err(Failure::not_ready());
    }
    let unauthorized = |code, detail| Failure::client_error(StatusCode::UNAUTHORIZED, code, detail);
    let secret = request
        .header("authorization")
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, secret)| secret)
        .ok_or_else(|| unauthorized("no-key", "send the key as 'authorization: Bearer KEY'"))?;
    let digest = Digest::of(secret.trim());
    let board = vm.board.borrow();
    let grant = board.keys.get(&digest);
    match grant {
        Some(grant) if grant.withdrawn => {
            Err(unauthorized("key-withdrawn", "the key was withdrawn"))
        }
        Some(grant) => match board.config.accounts.get(&grant.account) {
            Some(account) if isolation::may_run(&board, vm.now(), account.when_isolated) => {
                Ok(Caller {
                    account: grant.account.as_str().into(),
                    digest,
                })
            }
            Some(_) => Err(isolated_failure()),
            None => Err(unauthorized("bad-key", "no account has this key")),
        },
        // An isolated VM may have missed that the key was issued.
        None if isolation::view(&board, vm.now()) == View::Isolated => Err(isolated_failure()),
        None => Err(unauthorized("bad-key", "no account has this key")),
    }
}

fn isolated_failure() -> Failure {
    Failure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "isolated",
        detail: "this VM is isolated and its keys may be out of date".to_string(),
        execution: Execution::NotRun,
        retry_after: Some(policy::admission::RETRY_AFTER),
    }
}

/// Waits until a key is no longer valid.
///
/// It polls the board, so that it also ends a request whose endpoint sends
/// nothing.
pub(crate) async fn wait_withdrawn(vm: &Vm, digest: &Digest) {
    while is_valid(&vm.board.borrow(), digest) {
        monoio::time::sleep(WITHDRAWAL_POLL_INTERVAL).await;
    }
}

const WITHDRAWAL_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Issued keys consist of this prefix and hexadecimal digits.
const KEY_PREFIX: &[u8] = b"ts-";
const KEY_DIGITS: usize = 48;

/// Rejects a request that carries a key where an endpoint would see it.
///
/// # Errors
///
/// 400 for a key in the path, the query, the body or another header.
pub(crate) fn check_key_placement(request: &Request) -> Result<(), Failure> {
    let target = percent_decode(request.target());
    let other_headers = request
        .headers
        .iter()
        .filter(|(name, _)| *name != "authorization");
    let is_misplaced = has_key(&target)
        || has_key(&request.body)
        || other_headers
            .into_iter()
            .any(|(_, value)| has_key(value.as_bytes()));
    if !is_misplaced {
        return Ok(());
    }
    let detail = "a key may be sent in the authorization header only";
    Err(Failure::client_error(
        StatusCode::BAD_REQUEST,
        "key-misplaced",
        detail,
    ))
}

fn has_key(text: &[u8]) -> bool {
    let key_length = KEY_PREFIX.len() + KEY_DIGITS;
    let is_key = |candidate: &[u8]| {
        candidate.starts_with(KEY_PREFIX)
            && candidate[KEY_PREFIX.len()..]
                .iter()
                .all(u8::is_ascii_hexdigit)
    };
    text.windows(key_length).any(is_key)
}

/// Decodes the percent-encoded bytes of a request target.
fn percent_decode(target: &str) -> Vec<u8> {
    let bytes = target.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = (bytes[index] == b'%')
            .then(|| target.get(index + 1..index + 3))
            .flatten();
        match escape.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    out
}

/// Returns whether a key is known and not withdrawn.
pub(crate) fn is_valid(board: &Board, digest: &Digest) -> bool {
    board.keys.get(digest).is_some_and(|grant| !grant.withdrawn)
}
