//! Tests of `tarragonseam explain ID` with the logs of two VMs.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

const LOG: &str = r#"
  12.1 vm-1 {"level":"info","timestamp":1000,"payload":"job accepted","kv":{"job":"j1","items":2,"ms":9},"logger":"vm-1","tid":1}
{"level":"info","timestamp":1001,"payload":"job accepted","kv":{"job":"j2","items":2,"ms":9},"logger":"vm-1","tid":1}
{"level":"info","timestamp":1500,"payload":"endpoint is draining","kv":{"endpoint":"e1"},"logger":"vm-1","tid":1}
{"level":"warn","timestamp":2000,"payload":"item interrupted or endpoint unreachable","kv":{"item":"i1","job":"j1","endpoint":"e1","last":3,"problem":"closed"},"logger":"vm-1","tid":1}
{"level":"info","timestamp":2001,"payload":"item completed","kv":{"item":"i2","job":"j1","endpoint":"e1","last":3},"logger":"vm-1","tid":1}
not a line of a log
{"level":"info","timestamp":1900,"payload":"job taken over","kv":{"job":"j1","from":"vm-1"},"logger":"vm-2","tid":2}
{"level":"info","timestamp":2500,"payload":"item completed","kv":{"item":"i1","job":"j1","endpoint":"e2","last":9},"logger":"vm-2","tid":2}
{"level":"info","timestamp":99000,"payload":"endpoint removed","kv":{"endpoint":"e1"},"logger":"vm-1","tid":1}
"#;

fn explain(id: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tarragonseam"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(LOG.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn trace_item() {
    let output = explain("i1");
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    let events: Vec<&str> = text
        .lines()
        .map(|line| line.split_once(" s  ").unwrap().1)
        .map(|line| line.split_once(':').unwrap().0)
        .collect();
    let events: Vec<String> = events
        .iter()
        .map(|t| t.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect();
    assert_eq!(
        events,
        [
            "vm-1 info job accepted",
            "vm-1 info endpoint is draining",
            "vm-2 info job taken over",
            "vm-1 warn item interrupted or endpoint unreachable",
            "vm-2 info item completed",
        ]
    );
    assert!(text.contains("-1.000 s"), "{text}");
    assert!(text.contains("problem=closed"), "{text}");
}

#[test]
fn trace_unknown_id() {
    let output = explain("nobody");
    assert!(!output.status.success());
    let problem = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(problem.contains("no log line mentions nobody"), "{problem}");
}
