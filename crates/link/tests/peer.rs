//! Requests and responses between processes over TCP.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use policy::execution::Execution;
use tarragonseam_link::{net, peer, runtime};
use wire::{Request, Response};

/// A text that one read does not return completely.
const LONG_BYTES: usize = 10_000;
const TIMEOUT: Duration = Duration::from_secs(30);
/// The time limit of a request that may get no response.
const LIMIT: Duration = Duration::from_secs(1);

/// Starts a server that answers each request with a long text.
fn serve() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime::run(async {
            let listener = net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            peer::serve(listener, |_| async {
                Response::Rejected("x".repeat(LONG_BYTES))
            })
            .await;
        })
    });
    receiver.recv().unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

fn encode_request(request: &Request) -> Vec<u8> {
    frame(&wire::encode(request).unwrap())
}

fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn read_response(stream: &mut TcpStream) -> Response {
    wire::decode(&read_frame(stream).unwrap()).unwrap()
}

#[test]
fn serve_frame_in_pieces() {
    let mut stream = connect(serve());
    let frame_bytes = encode_request(&Request::Lot("d".repeat(LONG_BYTES)));
    let pieces: [&[u8]; 5] = [
        &frame_bytes[..1],
        &frame_bytes[1..3],
        &frame_bytes[3..5],
        &frame_bytes[5..9],
        &frame_bytes[9..],
    ];
    for piece in pieces {
        stream.write_all(piece).unwrap();
        // The pause makes it likely that the server reads each piece on its
        // own. The test passes without it too.
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(
        read_response(&mut stream),
        Response::Rejected("x".repeat(LONG_BYTES))
    );
    // The connection serves the next frame too.
    stream.write_all(&encode_request(&Request::Status)).unwrap();
    assert_eq!(
        read_response(&mut stream),
        Response::Rejected("x".repeat(LONG_BYTES))
    );
}

#[test]
fn request_long_response() {
    let address = serve();
    let responses = runtime::run(async {
        let pool = peer::Pool::default();
        let mut responses = Vec::new();
        for _ in 0..3 {
            responses.push(
                pool.request(address, &Request::Status, TIMEOUT)
                    .await
                    .unwrap(),
            );
        }
        responses
    });
    let expected = Response::Rejected("x".repeat(LONG_BYTES));
    assert!(
        responses
            .unwrap()
            .iter()
            .all(|response| *response == expected)
    );
}

/// Starts a server that answers the requests on its first connection up to
/// `answered`, leaves the next one without an answer, and answers all others.
fn serve_without_answer_after(answered: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut unanswered = Vec::new();
        for (index, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            let mut count = 0;
            while read_frame(&mut stream).is_ok() {
                if index == 0 && count == answered {
                    break;
                }
                let response = frame(&wire::encode(&Response::Done).unwrap());
                stream.write_all(&response).unwrap();
                count += 1;
            }
            unanswered.push(stream);
        }
    });
    address
}

#[test]
fn response_after_unanswered_attempt_leaves_its_execution_unknown() {
    let address = serve_without_answer_after(1);
    let outcomes = runtime::run(async {
        let pool = peer::Pool::default();
        let mut outcomes = Vec::new();
        for _ in 0..3 {
            let outcome = pool.request_with_execution(address, &Request::Status, LIMIT);
            outcomes.push(outcome.await);
        }
        outcomes
    });
    let executions: Vec<_> = outcomes
        .unwrap()
        .into_iter()
        .map(|(response, execution)| {
            assert_eq!(response.unwrap(), Response::Done);
            execution
        })
        .collect();
    let (not_run, unknown) = (Execution::NotRun, Execution::Unknown);
    assert_eq!(executions, [not_run, unknown, not_run]);
}

#[test]
fn execution_of_failed_request() {
    let silent = serve_without_answer_after(0);
    let refusing = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    for (address, expected) in [(silent, Execution::Unknown), (refusing, Execution::NotRun)] {
        let (result, execution) = runtime::run(async {
            let pool = peer::Pool::default();
            pool.request_with_execution(address, &Request::Status, LIMIT)
                .await
        })
        .unwrap();
        assert!(result.is_err());
        assert_eq!(execution, expected);
    }
}

#[test]
fn serve_malformed_frame() {
    let address = serve();
    let too_long = u32::MAX.to_be_bytes().to_vec();
    let other_version = vec![0, 0, 0, 2, 255, 0];
    for bytes in [too_long, other_version] {
        let mut stream = connect(address);
        stream.write_all(&bytes).unwrap();
        let mut received = Vec::new();
        // The connection may end or be reset, but no response may arrive.
        let _ = stream.read_to_end(&mut received);
        assert!(received.is_empty(), "{bytes:?} was answered");
    }
}
