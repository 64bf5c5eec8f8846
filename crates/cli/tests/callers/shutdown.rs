//! A graceful shutdown cuts no request.

use std::{
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use fakes::drive;
use link::http::client::Call;

use super::{
    raw::{Answer, Raw},
    world::{World, plan_with, prompt, tokens, within},
};

#[test]
fn shutdown_with_streams() {
    let mut world = World::start(&plan_with(2, 1, &["--tokens-per-s=60"]));
    let mut streams: Vec<_> = (0..4)
        .map(|_| {
            let mut raw = Raw::open(world.entry());
            raw.send(&world.generate(&prompt(60, true)));
            raw
        })
        .collect();
    for raw in &mut streams {
        raw.head();
        raw.until("\"index\":0");
    }
    let mut kept = Raw::open(world.entry());
    kept.send(b"GET /entries/1 HTTP/1.1\r\n\r\n");
    assert_eq!(kept.answer().unwrap().status, 200);
    let idle = Raw::open(world.entry());
    let entry = world.entry();
    let done = Arc::new(AtomicBool::new(false));
    let is_done = done.clone();
    // A caller that goes on until nobody listens: each connection that is
    // taken must answer.
    let callers = std::thread::spawn(move || {
        let mut answered = 0;
        while !is_done.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect(entry) else {
                return answered;
            };
            drop(stream);
            let mut raw = Raw::open(entry);
            loop {
                raw.send(b"GET /entries/1 HTTP/1.1\r\n\r\n");
                let answer = raw.answer().expect("an answer before the close");
                assert_eq!(answer.status, 200, "{}", answer.text());
                answered += 1;
                if answer.header("connection") == Some("close") {
                    break;
                }
            }
            if answered > 100_000 {
                return answered;
            }
        }
        answered
    });
    let vm = &world.deployment.vms[0];
    vm.entry.signal("TERM").unwrap();
    let admin = vm.entry_admin;
    within("unready", || {
        drive::fetch(admin, Call::get("/ready")).is_ok_and(|a| a.status == 503)
    });
    // Still open to callers that the balancer sends meanwhile.
    kept.send(b"GET /entries/2 HTTP/1.1\r\n\r\n");
    let answer = kept.answer().expect("an answer while leaving");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    for raw in &mut streams {
        let body = raw.chunks().expect("a body with its end mark");
        let events = Answer {
            body,
            ..Answer::default()
        }
        .events();
        assert_eq!(
            events.last().unwrap()["text"],
            tokens(60).join(" ").as_str()
        );
    }
    within("ended", || {
        world.deployment.vms[0].entry.exit_code() == Some(0)
    });
    done.store(true, Ordering::Relaxed);
    drop(idle);
    assert!(callers.join().is_ok());
}
