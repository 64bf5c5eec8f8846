//! Explanations for operators: whether this VM accepts a key, and where a path
//! is routed.

use board::{Board, Time, config::IsolationMode, endpoint::State, key::Digest, shared::Kind};
use policy::isolation::{self, View};
use wire::message::Subject;

use crate::vm::Vm;

/// Returns the findings about `subject`, one a line.
pub(crate) fn lines(vm: &Vm, board: &Board, subject: &Subject) -> Vec<String> {
    let mut lines = explain_vm(vm, board);
    match subject {
        Subject::Key(digest) => lines.extend(explain_key(board, vm.now(), digest)),
        Subject::Path(path) => lines.extend(explain_path(board, path)),
    }
    lines
}

fn explain_vm(vm: &Vm, board: &Board) -> Vec<String> {
    let now = vm.now();
    let age = match board.members.keys_complete_at {
        Some(time) => format!("{} ms ago", (now - time).as_millis()),
        None => "never".to_string(),
    };
    let view = match isolation::view(board, now) {
        View::UpToDate => "the keys are up to date",
        View::Outage => "no VM reachable from here, in any failure domain, reaches the platform",
        View::Isolated => "the VM is isolated: it may have missed withdrawals of keys",
    };
    let mut lines = vec![
        format!("VM {} in failure domain {}", board.vm, board.failure_domain),
        format!("configuration revision {} is in force", board.revision),
        format!("keys last confirmed as complete: {age}; {view}"),
    ];
    if !vm.gossip.is_bootstrapped() || board.revision == 0 {
        lines.push("rejects all keys: the configuration or the keys are not known yet".to_string());
    }
    lines
}

fn explain_key(board: &Board, now: Time, digest: &Digest) -> Vec<String> {
    let Some(grant) = board.keys.get(digest) else {
        return vec!["the key is not known on this VM: rejected with 401".to_string()];
    };
    let version = board.shared.version(Kind::Key, &digest.to_string());
    let known = format!(
        "the key belongs to account {} (version {version} of the key's record)",
        grant.account
    );
    let verdict = match board.config.accounts.get(&grant.account) {
        _ if grant.withdrawn => "the key was withdrawn: rejected with 401",
        None => "the configuration has no such account: rejected with 401",
        Some(account) if isolation::may_run(board, now, account.when_isolated) => "it is valid",
        Some(_) => "rejected with 503 while the VM is isolated",
    };
    let declared = board.config.accounts.get(&grant.account);
    let mut lines = vec![known, verdict.to_string()];
    if declared.is_some_and(|account| account.when_isolated == IsolationMode::Serve) {
        lines.push("isolated VMs serve this account too".to_string());
    }
    lines
}

fn explain_path(board: &Board, path: &str) -> Vec<String> {
    let routes = board.config.routes.iter();
    let found = routes
        .filter(|(_, route)| path.starts_with(&route.path))
        .max_by_key(|(_, route)| route.path.len());
    let Some((name, route)) = found else {
        return vec!["no route matches this path: rejected with 404".to_string()];
    };
    let access = if route.public {
        "public"
    } else {
        "needs a key"
    };
    let endpoints = board.endpoints.of_service(&route.service).iter();
    let endpoints: Vec<_> = endpoints
        .filter_map(|key| board.endpoints.get(*key))
        .collect();
    let ready = endpoints.iter().filter(|e| e.record.state == State::Ready);
    vec![
        format!("route {name} leads to service {}, {access}", route.service),
        format!(
            "{} endpoints known, {} ready",
            endpoints.len(),
            ready.count()
        ),
    ]
}
