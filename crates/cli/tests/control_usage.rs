//! Usage is billed exactly under kills, outages and lost replies. The tests run
//! real processes.

mod common;
mod control_support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use control_support::{
    Tree, WAIT_MAX, fetch_json, find_holder, issue_key, set_faults, start, wait_for,
};
use fakes::deployment::{Deployment, Plan};
use link::http::{Pool, client::Call};
use serde_json::{Value, json};

const CONFIG: &str = "[models.notes]\n\
    max_tokens = 64\n\
    capacity = { stable = 1 }\n\
    [accounts.steady]\n\
    [accounts.shaky]\n";

const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Usage of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
struct Usage {
    requests: u64,
    tokens: u64,
}

/// Tokens of the requests that got a complete answer, by request id.
type Served = BTreeMap<String, u64>;

fn plan(tree: &Tree) -> Plan {
    Plan::new(&tree.0)
        .vms(3, &FAILURE_DOMAINS)
        .engines("notes", 3, &FAILURE_DOMAINS)
}

/// Sends one request for `tokens` tokens, and records them in `served` if the
/// complete answer arrives.
async fn generate(
    pool: &Pool,
    callers: std::net::SocketAddr,
    key: &str,
    tokens: u64,
    served: &RefCell<Served>,
) -> bool {
    let body = json!({"prompt": "two words", "max_tokens": tokens, "seed": tokens});
    let call = Call::post("/v1/models/notes/generate", body.to_string())
        .header("authorization", format!("Bearer {key}"))
        .deadline(Duration::from_secs(10));
    let Ok(answer) = pool.fetch(callers, call).await else {
        return false;
    };
    if !answer.status.is_success() {
        return false;
    }
    let answer: Value = serde_json::from_slice(&answer.body).unwrap();
    let id = answer["request_id"].as_str().unwrap().to_string();
    let tokens = answer["usage"]["tokens_out"].as_u64().unwrap();
    assert!(served.borrow_mut().insert(id, tokens).is_none());
    true
}

/// Sends requests to each VM until it answers one, and therefore knows the key.
async fn warm_up(deployment: &Deployment, key: &str, served: &RefCell<Served>) {
    for vm in &deployment.vms {
        wait_for("answer", async || {
            generate(&deployment.pool, vm.callers, key, 1, served)
                .await
                .then_some(())
        })
        .await;
    }
}

/// Issues a key for `account`, and returns it once all VMs know it, with what was
/// served meanwhile.
async fn issue_and_warm_up(deployment: &Deployment, account: &str) -> (String, RefCell<Served>) {
    let key = issue_key(deployment, account);
    let served = RefCell::default();
    warm_up(deployment, &key, &served).await;
    (key, served)
}

/// Returns the sum of the reported usage of an account.
fn sum_reported(reports: &Value, account: &str) -> Usage {
    let mut total = Usage::default();
    for report in reports["reports"].as_array().unwrap() {
        for line in report["figures"].as_array().unwrap() {
            if line["account"] == account {
                total.requests += line["requests"].as_u64().unwrap();
                total.tokens += line["tokens_out"].as_u64().unwrap();
            }
        }
    }
    total
}

fn sum_usage(served: &Served) -> Usage {
    Usage {
        requests: served.len() as u64,
        tokens: served.values().sum(),
    }
}

/// Returns the tokens in the engines' logs, by request id.
async fn fetch_engine_log(deployment: &Deployment) -> Served {
    let mut logged = Served::new();
    for endpoint in &deployment.endpoints {
        let log = fetch_json(deployment, endpoint.address, "/v1/log").await;
        for entry in log["entries"].as_array().unwrap() {
            let id = entry["request_id"].as_str().unwrap().to_string();
            *logged.entry(id).or_default() += entry["tokens"].as_u64().unwrap();
        }
    }
    logged
}

async fn fetch_usage(deployment: &Deployment) -> Value {
    fetch_json(deployment, deployment.platform, "/v1/usage").await
}

/// Waits until a window that begins after this call is reported.
async fn wait_reported(deployment: &Deployment, plan: &Plan) {
    let millis = plan.window.as_millis() as u64;
    let window = link::clock::wall_millis() / millis + 2;
    wait_for("report", async || {
        let reports = fetch_usage(deployment).await;
        let mut windows = reports["reports"].as_array()?.iter();
        let is_past = |report: &Value| {
            let number = report["window"].as_str().and_then(|text| text.parse().ok());
            number.is_some_and(|number: u64| number >= window)
        };
        windows.any(is_past).then_some(())
    })
    .await;
}

/// Checks that no window was reported with two sets of figures, and that every
/// report was accepted.
fn check_reports(reports: &Value) {
    assert_eq!(reports["violations"], 0, "{reports:#}");
    let mut times_by_epoch = BTreeMap::new();
    for report in reports["reports"].as_array().unwrap() {
        for call in report["calls"].as_array().unwrap() {
            let epoch = call["epoch"].as_u64().unwrap();
            assert_eq!(call["accepted"], true);
            let times: &mut Vec<u64> = times_by_epoch.entry(epoch).or_default();
            times.push(call["at_ms"].as_u64().unwrap());
        }
    }
}

/// Waits until the reports bill `expected` to `account`, and returns them.
async fn wait_billed(deployment: &Deployment, account: &str, expected: Usage) -> Value {
    wait_for("report of the usage", async || {
        let reports = fetch_usage(deployment).await;
        (sum_reported(&reports, account) == expected).then_some(reports)
    })
    .await
}

/// Checks the reports, and that they bill `expected` to `account`.
async fn assert_reported(deployment: &Deployment, account: &str, expected: Usage) {
    let reports = fetch_usage(deployment).await;
    check_reports(&reports);
    assert_eq!(sum_reported(&reports, account), expected, "{reports:#}");
}

/// Returns the index of the VM that holds the copies of the first VM's records.
fn first_holder(deployment: &Deployment) -> usize {
    let vms = deployment.vms.iter().map(|vm| &vm.vm);
    let names: Vec<_> = vms
        .map(|vm| (vm.id.as_str(), vm.failure_domain.as_str()))
        .collect();
    let (origin, domain) = names[0];
    policy::usage::copy_holders(origin, domain, &names)[0]
}

/// Returns switches that cut a daemon off from `peers`, and from no others.
fn cut(peers: &[std::net::SocketAddr]) -> Value {
    json!({"to": peers, "from": peers})
}

/// Lets tests set the fault switches of all daemons.
fn allow_faults(plan: &mut Plan) {
    for vm in &mut plan.vms {
        vm.entry_settings = "test_faults = true\n".to_string();
        vm.steward_settings = "test_faults = true\n".to_string();
    }
}

#[test]
fn killed_vm_loses_no_usage() {
    let tree = Tree::new("killed", CONFIG);
    let plan = plan(&tree);
    link::runtime::run(async {
        let mut deployment = start(&plan).await;
        let (key, served) = issue_and_warm_up(&deployment, "shaky").await;
        let callers = deployment.vms[0].callers;
        for tokens in 1..=12 {
            assert!(generate(&deployment.pool, callers, &key, tokens, &served).await);
        }
        // The last byte of the last answer has arrived, so its usage must
        // survive the kill.
        deployment.vms[0].entry.kill();
        wait_reported(&deployment, &plan).await;
        deployment.start_entry(0).unwrap();
        wait_for("answer", async || {
            generate(&deployment.pool, callers, &key, 5, &served)
                .await
                .then_some(())
        })
        .await;
        deployment.vms[0].entry.kill();
        wait_reported(&deployment, &plan).await;

        let reports = fetch_usage(&deployment).await;
        check_reports(&reports);
        let log = fetch_engine_log(&deployment).await;
        assert_eq!(
            sum_usage(&log),
            sum_usage(&served.borrow()),
            "the engines' logs"
        );
        assert_eq!(
            sum_reported(&reports, "shaky"),
            sum_usage(&served.borrow()),
            "{reports}"
        );
    })
    .unwrap();
}

/// Longer than a holder takes to hand over the copies of a lost VM, and shorter
/// than the reporter waits for that VM.
const HAND_OVER_TIME: Duration = Duration::from_millis(8500);

#[test]
fn killed_vm_and_later_its_holder_lose_no_usage() {
    let tree = Tree::new("holder", CONFIG);
    let plan = plan(&tree);
    link::runtime::run(async {
        let mut deployment = start(&plan).await;
        let (key, served) = issue_and_warm_up(&deployment, "shaky").await;
        wait_reported(&deployment, &plan).await;
        let holder = first_holder(&deployment);
        let callers = deployment.vms[0].callers;
        assert!(generate(&deployment.pool, callers, &key, 7, &served).await);
        deployment.vms[0].entry.kill();
        monoio::time::sleep(HAND_OVER_TIME).await;
        deployment.vms[holder].entry.kill();
        wait_reported(&deployment, &plan).await;
        let expected = sum_usage(&served.borrow());
        assert_reported(&deployment, "shaky", expected).await;
    })
    .unwrap();
}

#[test]
fn frozen_reporter_resumed_changes_no_figures() {
    let tree = Tree::new("reporter", CONFIG);
    let plan = plan(&tree);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let (key, served) = issue_and_warm_up(&deployment, "steady").await;
        let (old_reporter, _) = wait_for("reporter", async || {
            find_holder(&deployment, "reports_epoch", "", None).await
        })
        .await;
        // The platform acts on a report in flight, and its reply comes late.
        set_faults(&deployment, deployment.platform, json!({"late_ms": 800})).await;
        monoio::time::sleep(Duration::from_secs(2)).await;
        deployment.vms[old_reporter].steward.signal("STOP").unwrap();
        set_faults(&deployment, deployment.platform, json!({"reset": true})).await;
        warm_up(&deployment, &key, &served).await;
        wait_for("successor", async || {
            find_holder(&deployment, "reports_epoch", "", Some(old_reporter)).await
        })
        .await;
        wait_reported(&deployment, &plan).await;
        deployment.vms[old_reporter].steward.signal("CONT").unwrap();
        warm_up(&deployment, &key, &served).await;
        wait_reported(&deployment, &plan).await;
        let expected = sum_usage(&served.borrow());
        assert_reported(&deployment, "steady", expected).await;
    })
    .unwrap();
}

/// Returns a plan of two VMs with fault switches in their daemons.
fn plan_of_two(tree: &Tree) -> Plan {
    let mut plan =
        Plan::new(&tree.0)
            .vms(2, &FAILURE_DOMAINS)
            .engines("notes", 2, &FAILURE_DOMAINS);
    allow_faults(&mut plan);
    plan
}

const RESEND_TIME_MAX: Duration = Duration::from_secs(8);

#[test]
fn record_counted_from_unconfirmed_copy_is_not_billed_twice() {
    let tree = Tree::new("unconfirmed", CONFIG);
    let plan = plan_of_two(&tree);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let (key, served) = issue_and_warm_up(&deployment, "steady").await;
        wait_reported(&deployment, &plan).await;
        let [origin, holder] = &deployment.vms[..] else {
            unreachable!("the plan has two VMs");
        };
        for vm in [origin, holder] {
            set_faults(&deployment, vm.steward_admin, cut(&[origin.peers])).await;
        }
        // The holder stores the copy, but its answer is too late.
        holder.entry.signal("STOP").unwrap();
        assert!(generate(&deployment.pool, origin.callers, &key, 7, &served).await);
        set_faults(&deployment, origin.entry_admin, cut(&[holder.peers])).await;
        holder.entry.signal("CONT").unwrap();
        let expected = sum_usage(&served.borrow());
        wait_billed(&deployment, "steady", expected).await;
        set_faults(&deployment, origin.entry_admin, cut(&[])).await;
        monoio::time::sleep(RESEND_TIME_MAX).await;
        for vm in [origin, holder] {
            set_faults(&deployment, vm.steward_admin, cut(&[])).await;
        }
        wait_reported(&deployment, &plan).await;
        wait_reported(&deployment, &plan).await;
        assert_reported(&deployment, "steady", expected).await;
    })
    .unwrap();
}

/// Returns a plan of two VMs in which the figures of windows are deleted soon.
fn plan_with_short_retention(tree: &Tree) -> Plan {
    let mut plan = plan_of_two(tree);
    for vm in &mut plan.vms {
        vm.steward_settings
            .push_str("keep_lots_ms = 800\nkeep_windows_ms = 1000\n");
    }
    plan
}

/// Cuts the reporter off from the entry daemons at `peers`, and from no others.
async fn cut_reporters(deployment: &Deployment, peers: &[std::net::SocketAddr]) {
    for vm in &deployment.vms {
        set_faults(deployment, vm.steward_admin, cut(peers)).await;
    }
}

/// Waits until a window after the current one was reported and the figures of
/// both were deleted.
async fn wait_deleted(deployment: &Deployment, plan: &Plan) {
    let window = link::clock::wall_millis() / plan.window.as_millis() as u64 + 1;
    let client = link::platform::Client::new(deployment.platform, "test");
    wait_for("deletion of the figures", async || {
        let listed = client.list(board::usage::KIND, "").await.ok()?;
        let numbers = listed.changes.iter().map(|c| c.name.parse::<u64>().ok());
        (numbers.flatten().min()? > window).then_some(())
    })
    .await;
}

#[test]
fn record_counted_in_deleted_window_is_not_billed_twice() {
    let tree = Tree::new("deleted", CONFIG);
    let plan = plan_with_short_retention(&tree);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let (key, served) = issue_and_warm_up(&deployment, "steady").await;
        wait_reported(&deployment, &plan).await;
        let origin = &deployment.vms[0];
        assert!(generate(&deployment.pool, origin.callers, &key, 7, &served).await);
        let expected = sum_usage(&served.borrow());
        wait_billed(&deployment, "steady", expected).await;
        // The VM does not learn in time that its record was counted.
        cut_reporters(&deployment, &[origin.peers]).await;
        wait_deleted(&deployment, &plan).await;
        cut_reporters(&deployment, &[]).await;
        wait_reported(&deployment, &plan).await;
        wait_reported(&deployment, &plan).await;
        assert_reported(&deployment, "steady", expected).await;
        wait_for("count of the undecided record", async || {
            let call = Call::get("/metrics");
            let answer = deployment.pool.fetch(origin.entry_admin, call).await.ok()?;
            let text = String::from_utf8(answer.body.to_vec()).unwrap();
            let is_undecided = |sample: &fakes::metrics::Sample<'_>| {
                sample
                    .series
                    .starts_with("tarragonseam_usage_records_total{")
                    && sample.series.contains("result=\"undecided\"")
            };
            let mut samples = fakes::metrics::samples(&text);
            (samples.find(is_undecided)?.count() == Some(1)).then_some(())
        })
        .await;
    })
    .unwrap();
}

#[test]
fn record_never_copied_of_deleted_window_is_billed() {
    let tree = Tree::new("alone", CONFIG);
    let plan = plan_with_short_retention(&tree);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let (key, served) = issue_and_warm_up(&deployment, "steady").await;
        wait_reported(&deployment, &plan).await;
        let [origin, holder] = &deployment.vms[..] else {
            unreachable!("the plan has two VMs");
        };
        cut_reporters(&deployment, &[origin.peers]).await;
        set_faults(&deployment, origin.entry_admin, cut(&[holder.peers])).await;
        assert!(generate(&deployment.pool, origin.callers, &key, 7, &served).await);
        wait_deleted(&deployment, &plan).await;
        set_faults(&deployment, origin.entry_admin, cut(&[])).await;
        cut_reporters(&deployment, &[]).await;
        wait_reported(&deployment, &plan).await;
        wait_reported(&deployment, &plan).await;
        let expected = sum_usage(&served.borrow());
        assert_reported(&deployment, "steady", expected).await;
    })
    .unwrap();
}

/// Returns the last reported window with usage of `account`.
fn last_window_of(reports: &Value, account: &str) -> u64 {
    let reports = reports["reports"].as_array().unwrap().iter();
    let has_usage = |report: &&Value| {
        let mut lines = report["figures"].as_array().unwrap().iter();
        lines.any(|line| line["account"] == account)
    };
    let windows = reports.filter(has_usage).map(|report| &report["window"]);
    let numbers = windows.map(|window| window.as_str().unwrap().parse().unwrap());
    numbers.max().unwrap()
}

/// Writes figures of `window` that count nothing, whenever there are none, until
/// `end`.
async fn freeze_late(platform: std::net::SocketAddr, window: u64, end: Rc<Cell<bool>>) {
    let client = link::platform::Client::new(platform, "test");
    let late = json!({
        "window": window, "epoch": 1, "figures": [], "late": 0, "origins": [], "copied": [],
    });
    while !end.get() {
        // The object exists until the next round of deletion.
        let _ = client
            .create(board::usage::KIND, &window.to_string(), late.to_string())
            .await;
        monoio::time::sleep(Duration::from_millis(15)).await;
    }
}

#[test]
fn figures_written_after_deletion_are_not_in_force() {
    let tree = Tree::new("late-figures", CONFIG);
    let plan = plan_with_short_retention(&tree);
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let (key, served) = issue_and_warm_up(&deployment, "steady").await;
        wait_reported(&deployment, &plan).await;
        let origin = &deployment.vms[0];
        assert!(generate(&deployment.pool, origin.callers, &key, 7, &served).await);
        let expected = sum_usage(&served.borrow());
        let reports = wait_billed(&deployment, "steady", expected).await;
        cut_reporters(&deployment, &[origin.peers]).await;
        wait_deleted(&deployment, &plan).await;
        // A reporter that was frozen before its write resumes.
        let window = last_window_of(&reports, "steady");
        let end = Rc::new(Cell::new(false));
        let late = monoio::spawn(freeze_late(deployment.platform, window, end.clone()));
        cut_reporters(&deployment, &[]).await;
        wait_reported(&deployment, &plan).await;
        wait_reported(&deployment, &plan).await;
        end.set(true);
        late.await;
        assert_reported(&deployment, "steady", expected).await;
    })
    .unwrap();
}

/// Starts `plan` with fault switches in its daemons. No window can be reported
/// until the platform's faults are reset.
async fn start_without_reports(plan: &mut Plan) -> Deployment {
    allow_faults(plan);
    let deployment = common::start_unconfigured(plan).await;
    let unlisted = json!({"outage": true, "outage_of": "GET /v1/objects/usage-window"});
    set_faults(&deployment, deployment.platform, unlisted).await;
    control_support::publish(&deployment);
    deployment.wait_ready().await.unwrap();
    deployment
}

/// Sends a request to a VM until it answers.
async fn generate_first(
    deployment: &Deployment,
    vm: usize,
    key: &str,
    served: &RefCell<Served>,
) -> u64 {
    let callers = deployment.vms[vm].callers;
    wait_for("answer", async || {
        generate(&deployment.pool, callers, key, 7, served)
            .await
            .then_some(())
    })
    .await;
    link::clock::wall_millis()
}

#[test]
fn first_window_in_transit_while_reporter_changes() {
    let tree = Tree::new("first-window", CONFIG);
    let mut plan = plan(&tree);
    link::runtime::run(async {
        let mut deployment = start_without_reports(&mut plan).await;
        let peers: Vec<_> = deployment.vms.iter().map(|vm| vm.peers).collect();
        set_faults(&deployment, deployment.vms[0].entry_admin, cut(&peers[1..])).await;
        let key = issue_key(&deployment, "steady");
        let served = RefCell::default();
        generate_first(&deployment, 0, &key, &served).await;
        let delayed = json!({
            "reset": true,
            "lost_reply": 1.0,
            "lost_reply_of": "PUT /v1/objects/usage-window/",
            "transit_ms": 35_000,
            "outage_after_lost_reply": true,
            "outage_of": "PUT /v1/objects/usage-window/",
        });
        set_faults(&deployment, deployment.platform, delayed).await;
        wait_for("figures in transit", async || {
            let faults = fetch_json(&deployment, deployment.platform, "/fault").await;
            (faults["outage"] == true).then_some(())
        })
        .await;
        let find_reporter = async || find_holder(&deployment, "reports_epoch", "", None).await;
        let (reporter, _) = wait_for("reporter", find_reporter).await;
        cut_reporters(&deployment, &peers[..1]).await;
        deployment.vms[reporter].steward.kill();
        set_faults(&deployment, deployment.platform, json!({"reset": true})).await;
        wait_reported(&deployment, &plan).await;
        // The figures in transit have arrived, unless others were written first.
        monoio::time::sleep(Duration::from_secs(35)).await;
        for (index, vm) in deployment.vms.iter().enumerate() {
            if index != reporter {
                set_faults(&deployment, vm.steward_admin, cut(&[])).await;
            }
        }
        wait_reported(&deployment, &plan).await;
        wait_reported(&deployment, &plan).await;
        let expected = sum_usage(&served.borrow());
        assert_reported(&deployment, "steady", expected).await;
    })
    .unwrap();
}

#[test]
fn record_from_before_first_window_is_billed() {
    let tree = Tree::new("before-first", CONFIG);
    let mut plan = plan(&tree);
    link::runtime::run(async {
        let deployment = start_without_reports(&mut plan).await;
        let key = issue_key(&deployment, "steady");
        let served = RefCell::default();
        let ended_ms = generate_first(&deployment, 0, &key, &served).await;
        let holder = first_holder(&deployment);
        let unreached = [0, holder].map(|index| deployment.vms[index].peers);
        cut_reporters(&deployment, &unreached).await;
        monoio::time::sleep(plan.window).await;
        set_faults(&deployment, deployment.platform, json!({"reset": true})).await;
        wait_reported(&deployment, &plan).await;
        let reports = fetch_usage(&deployment).await;
        let reported = reports["reports"].as_array().unwrap().iter();
        let numbers = reported.map(|r| r["window"].as_str().unwrap().parse::<u64>().unwrap());
        let last_window = ended_ms / plan.window.as_millis() as u64;
        assert!(numbers.min() > Some(last_window), "{reports:#}");
        cut_reporters(&deployment, &[]).await;
        wait_reported(&deployment, &plan).await;
        wait_reported(&deployment, &plan).await;
        let expected = sum_usage(&served.borrow());
        assert_reported(&deployment, "steady", expected).await;
    })
    .unwrap();
}

/// Sends requests to a VM, one after another, until `end`.
async fn generate_until(
    pool: Pool,
    callers: std::net::SocketAddr,
    key: String,
    served: Rc<RefCell<Served>>,
    end: Instant,
) {
    let mut tokens = 1;
    while Instant::now() < end {
        if !generate(&pool, callers, &key, tokens, &served).await {
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        tokens = tokens % 40 + 1;
    }
}

#[test]
fn usage_under_faults() {
    let tree = Tree::new("history", CONFIG);
    let plan = plan(&tree);
    link::runtime::run(async {
        let mut deployment = start(&plan).await;
        let platform = deployment.platform;
        let keys = ["steady", "shaky"].map(|account| issue_key(&deployment, account));
        let served: [Rc<RefCell<Served>>; 2] = Default::default();
        for (key, served) in keys.iter().zip(&served) {
            warm_up(&deployment, key, served).await;
        }
        let end = Instant::now() + Duration::from_secs(20);
        let mut caller_tasks = Vec::new();
        for (index, account) in [(2, 0), (2, 0), (0, 1), (1, 1), (0, 1)] {
            let callers = deployment.vms[index].callers;
            let (key, served) = (keys[account].clone(), served[account].clone());
            let caller = generate_until(deployment.pool.clone(), callers, key, served, end);
            caller_tasks.push(monoio::spawn(caller));
        }
        let pause = |seconds| monoio::time::sleep(Duration::from_secs(seconds));
        pause(3).await;
        deployment.vms[0].entry.kill();
        pause(2).await;
        deployment.start_entry(0).unwrap();
        set_faults(&deployment, platform, json!({"outage": true})).await;
        pause(5).await;
        set_faults(
            &deployment,
            platform,
            json!({"reset": true, "lost_reply": 0.3}),
        )
        .await;
        pause(4).await;
        deployment.vms[1].entry.kill();
        pause(2).await;
        set_faults(&deployment, platform, json!({"reset": true})).await;
        deployment.start_entry(1).unwrap();
        for caller in caller_tasks {
            caller.await;
        }
        wait_reported(&deployment, &plan).await;

        let reports = fetch_usage(&deployment).await;
        check_reports(&reports);
        let log = fetch_engine_log(&deployment).await;
        for served in &served {
            for (id, tokens) in served.borrow().iter() {
                assert_eq!(log.get(id), Some(tokens), "request {id}");
            }
        }
        let [steady, shaky] = served.map(|served| sum_usage(&served.borrow()));
        assert_eq!(sum_reported(&reports, "steady"), steady);
        // A request that was interrupted may be billed for the tokens that were
        // generated, or not at all.
        let reported = sum_reported(&reports, "shaky");
        let logged = sum_usage(&log);
        let cut_off = Usage {
            requests: logged.requests - steady.requests - shaky.requests,
            tokens: logged.tokens - steady.tokens - shaky.tokens,
        };
        assert!(
            reported.requests >= shaky.requests,
            "{reported:?} of {shaky:?}"
        );
        assert!(reported.tokens >= shaky.tokens, "{reported:?} of {shaky:?}");
        assert!(
            reported.requests <= shaky.requests + cut_off.requests,
            "{reported:?}"
        );
        assert!(
            reported.tokens <= shaky.tokens + cut_off.tokens,
            "{reported:?}"
        );
        assert!(
            shaky.requests > 50 && steady.requests > 50,
            "too few requests: {shaky:?}, {steady:?}; each wait takes {WAIT_MAX:?} at most"
        );
    })
    .unwrap();
}
