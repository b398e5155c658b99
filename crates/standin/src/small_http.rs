//! Just enough HTTP/1.1 for the stand-ins' own servers and clients.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

const HEAD_LIMIT: usize = 64 << 10;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SmallRequest {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl SmallRequest {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Reads a request; none if the connection ends before it is whole.
pub fn read_request(stream: &mut impl Read) -> Option<SmallRequest> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        if let Some(request) = scan_whole(&bytes) {
            return Some(request);
        }
        let len = stream.read(&mut chunk).ok()?;
        if len == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..len]);
    }
}

fn scan_whole(bytes: &[u8]) -> Option<SmallRequest> {
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
    Some(SmallRequest {
        method: request.method?.to_owned(),
        path: request.path?.to_owned(),
        headers,
        body,
    })
}

/// Writes an answer and ends the connection.
pub fn write_reply(stream: &mut impl Write, status: u16, body: &str) -> std::io::Result<()> {
    let len = body.len();
    write!(
        stream,
        "HTTP/1.1 {status} -\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}"
    )?;
    stream.flush()
}

/// Makes a call and returns status and body.
pub fn call(
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
