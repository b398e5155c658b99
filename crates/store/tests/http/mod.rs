//! The HTTP side of a stand-in store: one call per connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use serde_json::Value;

/// A call of a client.
pub struct HttpCall {
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The body, or null if there is none.
    pub body: Value,
}

/// Reads a call. Returns `None` if the client has closed the connection.
pub fn read_call(stream: &TcpStream) -> Option<HttpCall> {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut request = String::new();
    if reader.read_line(&mut request).unwrap_or(0) == 0 {
        return None;
    }
    let mut len = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            len = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).unwrap();
    let mut words = request.split_whitespace().map(str::to_owned);
    Some(HttpCall {
        method: words.next().unwrap(),
        target: words.next().unwrap(),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}

/// Writes an answer. `headers` are whole lines, each with its line end.
pub fn write_answer(stream: &TcpStream, status: u16, headers: &str, reply: &Value) {
    write_body(stream, status, headers, reply.to_string().as_bytes());
}

/// Writes an answer with a body of any bytes.
pub fn write_body(mut stream: &TcpStream, status: u16, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    // The client may have closed the connection.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body);
}
