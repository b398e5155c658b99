//! Minimal HTTP/1.1 for the servers and clients of the stand-ins: one request per
//! connection, and only bodies with a `Content-Length`.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// Largest accepted request head, in bytes.
const HEAD_LIMIT: usize = 64 << 10;
/// Timeout of the connection attempt and of each read of a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method, such as `GET`.
    pub method: String,
    /// Path with its query string.
    pub path: String,
    /// Names, in lower case, and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body of `Content-Length` bytes; empty without that header.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of a header, whose `name` is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header_name, _)| header_name == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Reads a request; returns `None` if the connection ends before it is complete.
pub fn read_request(stream: &mut impl Read) -> Option<HttpRequest> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        if let Some(request) = parse_request(&bytes) {
            return Some(request);
        }
        let len = stream.read(&mut chunk).ok()?;
        if len == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..len]);
    }
}

// Parses a complete request; returns `None` if bytes are missing or the head is invalid or
// too large.
fn parse_request(bytes: &[u8]) -> Option<HttpRequest> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) if len <= HEAD_LIMIT => len,
        _ => return None,
    };
    let headers: Vec<(String, String)> = request
        .headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_ascii_lowercase(), value)
        })
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name == "content-length")
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0usize);
    let body = bytes.get(head..head + length)?.to_vec();
    Some(HttpRequest {
        method: request.method?.to_owned(),
        path: request.path?.to_owned(),
        headers,
        body,
    })
}

/// Writes a response with the header `Connection: close`.
pub fn write_response(stream: &mut impl Write, status: u16, body: &str) -> std::io::Result<()> {
    let len = body.len();
    write!(
        stream,
        "HTTP/1.1 {status} -\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}"
    )?;
    stream.flush()
}

/// Sends a request over a new connection and returns the status and the body of the
/// response; the status is 0 if the response has no valid status line.
pub fn send_request(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address.into(), CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let len = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len}\r\n\
         Content-Type: application/json\r\nConnection: close\r\n\r\n{body}"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_owned()))
}
