//! Usage records of a VM that no other VM holds copies for.

use std::{
    path::Path,
    process::Command,
    time::{Duration, Instant},
};

use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;

const PROGRAM: &str = env!("CARGO_BIN_EXE_tarragonseam");
const TREE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/cider-festival");

/// More than the records of one message to a holder.
const CALLS: usize = 4_200;
const CALLERS: usize = 32;

/// How long an answer waits for a holder that may come.
const HOLD_WAIT: Duration = Duration::from_secs(1);
const TRIES: usize = 8;
const WAITED_MAX: usize = 2;

async fn look_up(deployment: &Deployment) -> Duration {
    let start = Instant::now();
    let call = Call::get("/entries/4711").deadline(Duration::from_secs(20));
    let answer = deployment.pool.fetch(deployment.vms[0].callers, call).await;
    assert_eq!(answer.unwrap().status, 200);
    start.elapsed()
}

#[test]
fn bill_many_records_without_holder() {
    let mut plan = Plan::new(TREE)
        .vms(1, &["a"])
        .services("entry-registry", 1, &["a"]);
    plan.backs[0].arguments = vec!["--service-ms=0".into(), "--slots=64".into()];
    link::runtime::run(async {
        let deployment = Deployment::start(Path::new(PROGRAM), &plan).await.unwrap();
        let output = Command::new(PROGRAM)
            .arg("publish")
            .arg(&deployment.tree)
            .arg(format!("--platform={}", deployment.platform))
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        deployment.wait_ready().await.unwrap();
        let entry = deployment.vms[0].callers;
        deployment
            .wait_status(entry, "/entries/1", 200)
            .await
            .unwrap();
        let deployment = std::rc::Rc::new(deployment);
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let deployment = deployment.clone();
                monoio::spawn(async move {
                    for _ in 0..CALLS.div_ceil(CALLERS) {
                        look_up(&deployment).await;
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await;
        }
        // A call that waits for a holder takes the whole of that time, but for
        // those that a turn of the sender, every other second, lets go early.
        let mut waited = 0;
        for _ in 0..TRIES {
            waited += usize::from(look_up(&deployment).await >= HOLD_WAIT);
        }
        assert!(waited < WAITED_MAX, "{waited} of {TRIES}");
    })
    .unwrap();
}
