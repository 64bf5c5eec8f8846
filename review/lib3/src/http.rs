//! Blocking HTTP/1.1, one thread per connection.
use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() + 1 {
            if let Ok(value) = u8::from_str_radix(&text[i + 1..(i + 3).min(text.len())], 16) {
                out.push(value);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(bad("end within head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        headers.push((name.trim().to_string(), value.trim().to_string()));
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(bad("end within chunks"));
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| bad("chunk size"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok(data)
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let is_chunked = find(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked"));
    let mut body = Vec::new();
    if is_chunked {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = find(headers, "content-length").and_then(|v| v.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next request on a connection; `None` at its end.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_string();
    let target = words.next().unwrap_or("").to_string();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes a complete response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// What follows after a request.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Serves `address` in threads. An error of the handler closes the connection.
pub fn serve(address: SocketAddr, handler: Arc<Handler>) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if handler(&request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Opens a connection within `limit`.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

pub fn encode(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let (first, headers) = read_head(reader)?.ok_or_else(|| bad("no answer"))?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| bad("status"))?;
    let body = read_body(reader, &headers)?;
    Ok(Response { status, headers, body })
}

/// One request on a new connection, answered within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = connect(address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(&encode(method, target, headers, body))?;
    read_response(&mut BufReader::new(stream))
}
