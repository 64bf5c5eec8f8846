//! Tests of the platform client under each fault of the platform.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use fakes::{
    Config, Handle, blocking, platform,
    script::{self, Answer},
    spawn,
};
use link::{
    http::client::Fence,
    platform::{Client, Condition, Error},
};
use serde_json::{Value, json};

use board::{
    capacity::{Action, Order},
    endpoint::CapacityClass,
};

const KIND: &str = "thing";

fn start() -> Handle {
    start_with(endpoint())
}

/// Returns an endpoint that is not started.
fn endpoint() -> platform::Endpoint {
    platform::Endpoint {
        id: "registry-1".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "a".into(),
        service: "registry".into(),
        class: "stable".into(),
        state: platform::State::Spare,
        checks_epoch: false,
        price: 1.0,
    }
}

fn start_with(endpoint: platform::Endpoint) -> Handle {
    let config = platform::Config {
        first_endpoints: vec![endpoint],
        ..platform::Config::default()
    };
    spawn(Config::Platform(config)).unwrap()
}

fn order(key: &str) -> Order {
    Order {
        key: key.into(),
        epoch: 1,
        failure_domain: "a".into(),
        service: "registry".into(),
        capacity_class: Some(CapacityClass::Stable),
        action: Action::Start,
        count: 1,
        endpoint: None,
    }
}

fn open_fence() -> Fence {
    Fence::new(|| true)
}

/// Classifies the result of a call: it was answered, it may have been acted on,
/// it was not acted on, or it was rejected.
fn outcome<T>(result: Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "answer",
        Err(Error::Unknown(_)) => "unknown",
        Err(Error::Unavailable(_)) => "not done",
        Err(_) => "refused",
    }
}

/// Makes one call of each kind and returns the outcomes.
async fn call_each_kind(client: &Client) -> [&'static str; 5] {
    let usage = json!({"window": "9", "epoch": 1, "figures": []});
    [
        outcome(client.get(KIND, "there").await),
        outcome(client.put(KIND, "new", Condition::Absent, "1").await),
        outcome(client.order(&order("a.1.1"), open_fence()).await),
        outcome(client.report("9", &usage, open_fence()).await),
        outcome(client.vms().await),
    ]
}

#[test]
fn each_call_under_each_fault() {
    let cases = [
        (json!({}), ["answer"; 5]),
        (json!({"outage": true}), ["not done"; 5]),
        (json!({"error_rate": 1.0}), ["unknown"; 5]),
        (json!({"lost_reply": 1.0}), ["unknown"; 5]),
        (json!({"mute": true}), ["unknown"; 5]),
    ];
    for (switches, expected) in cases {
        let platform = start();
        let address = platform.address();
        link::runtime::run(async {
            let client = Client::new(address, "vm-1");
            client
                .put(KIND, "there", Condition::Absent, "1")
                .await
                .unwrap();
            set_faults(address, &switches).await;
            assert_eq!(call_each_kind(&client).await, expected, "{switches}");
        })
        .unwrap();
    }
}

/// Sets fault switches from another thread, because the blocking client runs a
/// runtime of its own.
async fn set_faults(address: SocketAddr, switches: &Value) {
    let switches = switches.clone();
    std::thread::spawn(move || blocking::set_faults(address, &switches).unwrap())
        .join()
        .unwrap();
}

#[test]
fn unreachable_platform_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        assert_eq!(call_each_kind(&client).await, ["not done"; 5]);
    })
    .unwrap();
}

#[test]
fn lost_replies_are_resolved_by_reading() {
    let platform = start();
    let address = platform.address();
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        set_faults(address, &json!({"lost_reply": 1.0})).await;
        let lost = client.order(&order("a.1.1"), open_fence()).await;
        assert!(matches!(lost, Err(Error::Unknown(_))));
        let lost = client.put(KIND, "new", Condition::Absent, "1").await;
        assert!(matches!(lost, Err(Error::Unknown(_))));
        set_faults(address, &json!({"reset": true})).await;
        let accepted = client.find_order("a.1.1").await.unwrap();
        assert_eq!(accepted.endpoints, ["registry-1"]);
        let none = client.find_order("a.1.2").await;
        assert_eq!(none, Err(Error::Absent));
        let existing = client.create(KIND, "new", "2").await.unwrap();
        assert_eq!(existing.value, "1");
    })
    .unwrap();
}

#[test]
fn create_lost_reply_then_outage() {
    let platform = start();
    let address = platform.address();
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        let switches = json!({"lost_reply": 1.0, "outage_after_lost_reply": true});
        set_faults(address, &switches).await;
        let created = client.create(KIND, "new", "1").await;
        set_faults(address, &json!({"reset": true})).await;
        assert_eq!(client.get(KIND, "new").await.unwrap().value, "1");
        assert!(matches!(created, Err(Error::Unknown(_))), "{created:?}");
    })
    .unwrap();
}

#[test]
fn create_in_transit_is_not_absent() {
    // The read is answered before the write that was sent first.
    let script = script::spawn(vec![vec![Answer::Close], vec![Answer::Status(404)]]).unwrap();
    link::runtime::run(async {
        let client = Client::new(script.address, "vm-1");
        let created = client.create(KIND, "new", "1").await;
        assert!(matches!(created, Err(Error::Unknown(_))), "{created:?}");
    })
    .unwrap();
}

/// One entry that cannot be decoded made the whole list unreadable.
#[test]
fn list_with_odd_entries() {
    let endpoint = |id: &str, address: &str| {
        format!(
            r#"{{"id": "{id}", "address": "{address}", "failure_domain": "a", "service": "s",
                "class": "stable", "state": "ready"}}"#
        )
    };
    let endpoints = [
        "{}".to_string(),
        endpoint("odd", "127.0.0.1:70000"),
        endpoint("registry-1", "127.0.0.1:80"),
        "null".to_string(),
    ];
    let vms = r#"{"vms": [{"id": 4}, {"id": "vm-1", "address": "127.0.0.1:80",
        "failure_domain": "a", "state": "live"}]}"#;
    let endpoints = format!(r#"{{"endpoints": [{}]}}"#, endpoints.join(", "));
    let answers = [Answer::Body(String::leak(endpoints)), Answer::Body(vms)];
    let script = script::spawn(answers.map(|answer| vec![answer]).to_vec()).unwrap();
    link::runtime::run(async {
        let client = Client::new(script.address, "vm-1");
        let endpoints = client.endpoints(None).await.unwrap();
        assert!(endpoints.iter().map(|e| e.id.as_str()).eq(["registry-1"]));
        let vms = client.vms().await.unwrap();
        assert!(vms.iter().map(|vm| vm.id.as_str()).eq(["vm-1"]));
    })
    .unwrap();
}

/// A failure domain with another character than those of names made the call fail, so
/// the endpoints of the other ones were not listed either.
#[test]
fn endpoints_of_domain_with_odd_name() {
    for domain in ["zone a", "zone&a", "zone#a", "zone%a", "zone+a", "zone\n"] {
        let platform = start_with(platform::Endpoint {
            failure_domain: domain.into(),
            state: platform::State::Ready,
            ..endpoint()
        });
        let address = platform.address();
        link::runtime::run(async {
            let client = Client::new(address, "vm-1");
            let listed = client.endpoints(Some(domain)).await.unwrap();
            assert_eq!(listed.len(), 1, "{domain:?}");
            let others = client.endpoints(Some("zone")).await.unwrap();
            assert!(others.is_empty(), "{domain:?}");
        })
        .unwrap();
    }
}

#[test]
fn unreadable_success_of_write_is_not_a_rejection() {
    let script = script::spawn(vec![vec![Answer::Body("busy")]; 3]).unwrap();
    link::runtime::run(async {
        let client = Client::new(script.address, "vm-1");
        let body = json!({});
        let outcomes = [
            outcome(client.put(KIND, "new", Condition::Absent, "1").await),
            outcome(client.order(&order("a.1.1"), open_fence()).await),
            outcome(client.post::<_, Value>("/v1/orders", &body).await),
        ];
        assert_eq!(outcomes, ["unknown"; 3]);
        assert_eq!(script.requests(), 3);
    })
    .unwrap();
}

#[test]
fn order_behind_closed_fence_is_not_sent() {
    let platform = start();
    let address = platform.address();
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        let closed = Fence::new(|| false);
        let result = client.order(&order("a.1.1"), closed).await;
        assert!(matches!(result, Err(Error::Unavailable(_))), "{result:?}");
        assert_eq!(client.find_order("a.1.1").await, Err(Error::Absent));
    })
    .unwrap();
}

#[test]
fn stop_order_is_accepted() {
    let platform = start();
    link::runtime::run(async {
        let client = Client::new(platform.address(), "vm-1");
        client.order(&order("a.1.1"), open_fence()).await.unwrap();
        let stop = Order {
            capacity_class: None,
            action: Action::Stop,
            endpoint: Some("registry-1".into()),
            ..order("a.1.2")
        };
        let answer = client.order(&stop, open_fence()).await.unwrap();
        assert_eq!(answer.endpoints, ["registry-1"]);
    })
    .unwrap();
}

#[test]
fn out_of_stock_is_rejected_and_not_an_outage() {
    let platform = start();
    let address = platform.address();
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        let stock = json!({"failure_domain": "a", "class": "stable"});
        set_faults(address, &json!({"out_of_stock": [stock]})).await;
        let result = client.order(&order("a.1.1"), open_fence()).await;
        assert!(
            matches!(result, Err(Error::Rejected { status: 503, .. })),
            "{result:?}"
        );
    })
    .unwrap();
}

#[test]
fn throttled_client_waits_before_its_next_call() {
    let platform = start();
    let address = platform.address();
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        set_faults(address, &json!({"reads_per_s": 1})).await;
        let mut rejected = None;
        for _ in 0..5 {
            let result = client.get(KIND, "there").await;
            rejected = rejected.or(result.err().filter(|e| *e != Error::Absent));
            if rejected.is_some() {
                break;
            }
        }
        assert!(
            matches!(rejected, Some(Error::Unavailable(_))),
            "{rejected:?}"
        );
        set_faults(address, &json!({"reset": true})).await;
        // The platform's 429 answer sets a delay of one second, which the client
        // waits before its next call.
        let start = Instant::now();
        assert_eq!(client.get(KIND, "there").await, Err(Error::Absent));
        assert!(start.elapsed() > Duration::from_millis(800));
        let stats: Value = run_on_thread(move || blocking::get(address, "/stats").unwrap());
        assert_eq!(stats["answers"]["429"], 1);
    })
    .unwrap();
}

fn run_on_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    std::thread::spawn(work).join().unwrap()
}

#[test]
fn calls_stay_within_their_rate() {
    let platform = start();
    link::runtime::run(async {
        let client = Client::new(platform.address(), "vm-1").calls_per_s(10);
        let start = Instant::now();
        for _ in 0..20 {
            client.vms().await.unwrap();
        }
        assert!(start.elapsed() > Duration::from_millis(900));
    })
    .unwrap();
}

/// Answers one call on each connection and then closes it without announcing
/// that in the answer.
fn serve_one_call_each(listener: &TcpListener, connections: usize) {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"vms\":[]}";
    for stream in listener.incoming().take(connections) {
        let mut stream = stream.unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(ANSWER).unwrap();
    }
}

#[test]
fn read_survives_closed_idle_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || serve_one_call_each(&listener, 3));
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        for _ in 0..3 {
            assert_eq!(client.vms().await, Ok(Vec::new()));
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
    })
    .unwrap();
    server.join().unwrap();
}

#[test]
fn silent_watch_times_out_and_resumes_from_its_version() {
    let platform = start();
    let address = platform.address();
    link::runtime::run(async {
        let client = Client::new(address, "vm-1");
        let from = client
            .put(KIND, "one", Condition::Absent, "1")
            .await
            .unwrap();
        set_faults(address, &json!({"mute": true})).await;
        let start = Instant::now();
        let silent = client.watch(KIND, from, Duration::from_millis(500)).await;
        assert!(matches!(silent, Err(Error::Unknown(_))), "{silent:?}");
        assert!(start.elapsed() < Duration::from_secs(20));
        set_faults(address, &json!({"reset": true})).await;
        client
            .put(KIND, "two", Condition::Absent, "1")
            .await
            .unwrap();
        let changes = client.watch(KIND, from, Duration::from_secs(5)).await;
        assert_eq!(changes.unwrap().changes[0].name, "two");
    })
    .unwrap();
}
