//! A server that answers by a script, one connection after the other.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

/// The answer to one request.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// An empty response with this status.
    Status(u16),
    /// The response of an endpoint that does not run the request.
    NotRun,
    /// The connection closes without a response.
    Close,
}

/// Starts a server on loopback. Each element of `connections` has the answers
/// of one connection, which closes after the last one.
///
/// # Errors
///
/// When the socket cannot be opened.
///
/// # Examples
///
/// ```
/// use link::http::client::Call;
/// use tarragonseam_fakes::{blocking, script::{self, Answer}};
///
/// let address = script::spawn(vec![vec![Answer::Status(503)]])?;
/// assert_eq!(blocking::fetch(address, Call::get("/"))?.status, 503);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn spawn(connections: Vec<Vec<Answer>>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || -> io::Result<()> {
        for answers in connections {
            let (stream, _) = listener.accept()?;
            serve(stream, &answers)?;
        }
        Ok(())
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, answers: &[Answer]) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    for answer in answers {
        let id = read_request(&mut reader)?;
        let (status, header) = match answer {
            Answer::Status(status) => (*status, ""),
            Answer::NotRun => (503, "not-run: 1\r\n"),
            Answer::Close => return Ok(()),
        };
        write!(
            stream,
            "HTTP/1.1 {status} Scripted\r\n{id}{header}content-length: 0\r\n\r\n"
        )?;
    }
    Ok(())
}

/// Reads a request, and returns the line of its head with the id, which
/// responses repeat.
fn read_request(reader: &mut impl BufRead) -> io::Result<String> {
    let (mut body_bytes, mut id) = (0, String::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if line.starts_with("request-id:") {
            id = format!("{line}\r\n");
        }
        if let Some(length) = line.strip_prefix("content-length:") {
            body_bytes = length.trim().parse().map_err(io::Error::other)?;
        }
    }
    io::copy(&mut reader.take(body_bytes), &mut io::sink())?;
    Ok(id)
}
