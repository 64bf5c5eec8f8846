//! Measures the throughput of a server and its peak memory, for bodies of several
//! sizes in chunks of several sizes:
//!
//! ```sh
//! cargo run --release -p tarragonseam-link --example bodies
//! ```
//!
//! The server runs in a process of its own for each line, with one caller at a
//! time, so that its peak memory is that of one request.

use std::{
    error::Error,
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    time::Instant,
};

use tarragonseam_link::{
    StatusCode,
    http::{
        Limits, Reply,
        server::{self, Drain},
    },
    net, runtime,
};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// How many bytes of bodies each line sends in all, and how many requests at most.
const TOTAL_BYTES: usize = 60 * MIB;
const REQUESTS_MAX: usize = 2000;
/// The requests of the line without a body.
const SMALL_REQUESTS: usize = 20_000;

fn main() -> Result<(), Box<dyn Error>> {
    if std::env::args().any(|argument| argument == "serve") {
        return Ok(runtime::run(serve())?);
    }
    println!("| body | chunks | requests | MB/s | requests/s | peak memory, KB |");
    println!("|---|---|---|---|---|---|");
    measure("none", "", &request(0, None), 0, SMALL_REQUESTS)?;
    for (name, bytes) in [("64 KB", 64 * KIB), ("3 MB", 3 * MIB), ("30 MB", 30 * MIB)] {
        let count = (TOTAL_BYTES / bytes).clamp(1, REQUESTS_MAX);
        for (chunks, chunk_bytes) in [
            ("a length", None),
            ("1 B", Some(1)),
            ("1 KB", Some(KIB)),
            ("64 KB", Some(64 * KIB)),
        ] {
            let request = request(bytes, chunk_bytes);
            measure(name, chunks, &request, bytes, count)?;
        }
    }
    Ok(())
}

async fn serve() {
    let listener = net::listen(([127, 0, 0, 1], 0).into()).expect("a port should be free");
    let address = listener.local_addr().expect("the socket has an address");
    println!("{address}");
    let limits = Limits::new()
        .body_bytes(32 * MIB)
        .total_body_bytes(64 * MIB);
    let handler = |_| async { Reply::new(StatusCode::OK, "") };
    server::serve(listener, limits, Drain::default(), handler).await;
}

fn request(bytes: usize, chunk_bytes: Option<usize>) -> Vec<u8> {
    let head = "POST /store HTTP/1.1\r\nhost: bench\r\n";
    let Some(chunk_bytes) = chunk_bytes else {
        let mut request = format!("{head}content-length: {bytes}\r\n\r\n").into_bytes();
        request.resize(request.len() + bytes, b'x');
        return request;
    };
    let mut request = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let mut remaining = bytes;
    while remaining > 0 {
        let length = remaining.min(chunk_bytes);
        request.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        request.resize(request.len() + length, b'x');
        request.extend_from_slice(b"\r\n");
        remaining -= length;
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

/// A server process, which is ended on drop.
struct Server(Child);

impl Drop for Server {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn measure(
    body: &str,
    chunks: &str,
    request: &[u8],
    bytes: usize,
    count: usize,
) -> Result<(), Box<dyn Error>> {
    let mut command = Command::new(std::env::current_exe()?);
    let mut server = Server(command.arg("serve").stdout(Stdio::piped()).spawn()?);
    let output = server.0.stdout.take().ok_or("no output")?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    let address: SocketAddr = line.trim().parse()?;
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let start = Instant::now();
    for _ in 0..count {
        let exchanged = stream.write_all(request).map_err(Into::into);
        if exchanged.and_then(|()| read_reply(&mut reader)).is_err() {
            println!("| {body} | {chunks} | refused | | | |");
            return Ok(());
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let status = fs::read_to_string(format!("/proc/{}/status", server.0.id()))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.unwrap_or_default().trim().trim_end_matches(" kB");
    let rate = (bytes * count) as f64 / 1e6 / seconds;
    let requests = count as f64 / seconds;
    println!("| {body} | {chunks} | {count} | {rate:.0} | {requests:.0} | {peak} |");
    Ok(())
}

/// Reads a reply with status 200 and without a body.
fn read_reply(reader: &mut impl BufRead) -> Result<(), Box<dyn Error>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if !line.contains(" 200 ") {
        return Err(line.into());
    }
    while line != "\r\n" {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err("the reply is incomplete".into());
        }
    }
    Ok(())
}
