//! Frames between processes, as they come off a socket.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use tarragonseam_link::{net, peer, runtime};
use wire::{Answer, Ask};

/// More than a first read takes.
const LONG: usize = 10_000;
const PATIENCE: Duration = Duration::from_secs(30);

/// Starts a server that answers each question with a long text.
fn serve() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime::run(async {
            let listener = net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            peer::serve(listener, |_| async { Answer::Refused("x".repeat(LONG)) }).await;
        })
    });
    receiver.recv().unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn frame(ask: &Ask) -> Vec<u8> {
    let body = wire::encode(ask).unwrap();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame
}

fn answer(stream: &mut TcpStream) -> Answer {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body).unwrap();
    wire::decode(&body).unwrap()
}

#[test]
fn serve_frame_in_pieces() {
    let mut stream = connect(serve());
    let long = frame(&Ask::Lot("d".repeat(LONG)));
    let pieces: [&[u8]; 5] = [
        &long[..1],
        &long[1..3],
        &long[3..5],
        &long[5..9],
        &long[9..],
    ];
    for piece in pieces {
        stream.write_all(piece).unwrap();
        // Not needed to pass: it keeps the pieces apart where it can.
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(answer(&mut stream), Answer::Refused("x".repeat(LONG)));
    // The connection goes on with the next frame.
    stream.write_all(&frame(&Ask::Status)).unwrap();
    assert_eq!(answer(&mut stream), Answer::Refused("x".repeat(LONG)));
}

#[test]
fn ask_long_answer() {
    let address = serve();
    let asked = runtime::run(async {
        let links = peer::Links::default();
        let mut answers = Vec::new();
        for _ in 0..3 {
            answers.push(links.ask(address, &Ask::Status, PATIENCE).await.unwrap());
        }
        answers
    });
    let expected = Answer::Refused("x".repeat(LONG));
    assert!(asked.unwrap().iter().all(|answer| *answer == expected));
}

#[test]
fn serve_frame_broken() {
    let address = serve();
    let too_long = u32::MAX.to_be_bytes().to_vec();
    let other_version = vec![0, 0, 0, 2, 255, 0];
    for bytes in [too_long, other_version] {
        let mut stream = connect(address);
        stream.write_all(&bytes).unwrap();
        let mut rest = Vec::new();
        // An end or a reset, but no answer.
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty(), "{bytes:?} was answered");
    }
}
