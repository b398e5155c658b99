//! Parsing and writing of HTTP/1.1 messages. Requests and responses are
//! forwarded only once they have arrived completely.

use compact_str::CompactString;
use httparse::{EMPTY_HEADER, Header};

use chestnutlb_core::manifest::HostLimits;
use chestnutlb_core::{RequestId, RequestOutcome};

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;

/// Maximum size of a response from a backend server, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Response header by which a backend server that sheds load declares that it
/// did not start the request.
const NOT_RUN_HEADER: &str = "not-run";

/// Hop-by-hop headers, which are not forwarded (RFC 9110 section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 5] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "upgrade",
];

/// Reason for refusing a request, as an HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestError {
    /// HTTP status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: &'static str,
}

const MALFORMED: RequestError = RequestError {
    status: 400,
    reason: "Bad Request",
};
const HEAD_TOO_LARGE: RequestError = RequestError {
    status: 431,
    reason: "Request Header Fields Too Large",
};
const BODY_TOO_LARGE: RequestError = RequestError {
    status: 413,
    reason: "Content Too Large",
};
const LENGTH_REQUIRED: RequestError = RequestError {
    status: 411,
    reason: "Length Required",
};
/// The request took too long to arrive.
pub const REQUEST_TIMED_OUT: RequestError = RequestError {
    status: 408,
    reason: "Request Timeout",
};

/// Head of a complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: CompactString,
    /// Request target: path and query.
    pub path: CompactString,
    /// Length of head and body in bytes.
    pub len: usize,
    /// Whether the flow closes after the response.
    pub close: bool,
}

/// Result of parsing the request bytes received so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestScan {
    /// More bytes are needed.
    Incomplete,
    /// The bytes start with a complete request.
    Complete(RequestHead),
    /// The bytes do not form an acceptable request.
    Invalid(RequestError),
}

/// Parses the request at the start of `bytes`.
pub fn scan_request(bytes: &[u8], limits: &HostLimits) -> RequestScan {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_limit = limits.head.0 as usize;
    let head_len = match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) if len <= head_limit => len,
        Ok(httparse::Status::Partial) if bytes.len() <= head_limit => {
            return RequestScan::Incomplete;
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return RequestScan::Invalid(HEAD_TOO_LARGE);
        }
        Err(_) => return RequestScan::Invalid(MALFORMED),
    };
    if find_header(request.headers, "transfer-encoding").is_some() {
        return RequestScan::Invalid(LENGTH_REQUIRED);
    }
    let body_len = match scan_content_length(request.headers) {
        Ok(len) => len.unwrap_or(0),
        Err(error) => return RequestScan::Invalid(error),
    };
    if body_len > limits.body.0 {
        return RequestScan::Invalid(BODY_TOO_LARGE);
    }
    let len = head_len + body_len as usize;
    if bytes.len() < len {
        return RequestScan::Incomplete;
    }
    let is_http_1_0 = request.version == Some(0);
    let close = find_header(request.headers, "connection").map_or(is_http_1_0, |value| {
        value.eq_ignore_ascii_case("close") || (is_http_1_0 && value != "keep-alive")
    });
    RequestScan::Complete(RequestHead {
        method: request.method.unwrap_or_default().into(),
        path: request.path.unwrap_or_default().into(),
        len,
        close,
    })
}

fn find_header<'a>(headers: &'a [Header<'_>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .and_then(|header| std::str::from_utf8(header.value).ok())
}

// Parses the `Content-Length` headers. Differing lengths are an error, since
// they allow request smuggling (RFC 9112 section 6.3).
fn scan_content_length(headers: &[Header<'_>]) -> Result<Option<u64>, RequestError> {
    let mut length_found = None;
    for header in headers {
        if !header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let length = std::str::from_utf8(header.value)
            .ok()
            .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
            .and_then(|text| text.parse::<u64>().ok())
            .ok_or(MALFORMED)?;
        if length_found.is_some_and(|other| other != length) {
            return Err(MALFORMED);
        }
        length_found = Some(length);
    }
    Ok(length_found)
}

fn append_headers(message: &mut Vec<u8>, headers: &[Header<'_>], excluded: &[&str]) {
    for header in headers {
        let is_excluded = excluded
            .iter()
            .any(|name| header.name.eq_ignore_ascii_case(name));
        if !is_excluded {
            message.extend_from_slice(header.name.as_bytes());
            message.extend_from_slice(b": ");
            message.extend_from_slice(header.value);
            message.extend_from_slice(b"\r\n");
        }
    }
}

/// Returns the request in the form sent to the backend server: on a separate
/// connection (`Connection: close`), with headers for the request's identifier
/// and the remaining time.
pub fn write_request(bytes: &[u8], id: RequestId, left_ms: u64) -> Vec<u8> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head_len)) = request.parse(bytes) else {
        return Vec::new();
    };
    let (method, path) = (
        request.method.unwrap_or_default(),
        request.path.unwrap_or_default(),
    );
    let mut message = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    let added_names = ["chestnut-request-id", "chestnut-deadline-ms"];
    append_headers(
        &mut message,
        request.headers,
        &[&HOP_BY_HOP_HEADERS[..], &added_names].concat(),
    );
    let added_headers = format!(
        "Connection: close\r\nChestnut-Request-Id: {id}\r\nChestnut-Deadline-Ms: {left_ms}\r\n\r\n"
    );
    message.extend_from_slice(added_headers.as_bytes());
    message.extend_from_slice(&bytes[head_len..]);
    message
}

/// Result of parsing the bytes that a backend server has sent so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseScan {
    /// More bytes are needed.
    Incomplete,
    /// Complete response in the form sent to the caller.
    Complete(Vec<u8>),
    /// The backend server declared that it did not start the request.
    NotRun,
    /// The response is invalid or truncated.
    Invalid,
}

/// Parses the response at the start of `bytes`; `closed` is true once the
/// backend server has closed the connection. A chunked response counts as
/// complete only then.
pub fn scan_response(bytes: &[u8], closed: bool, is_head_method: bool) -> ResponseScan {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let incomplete = if closed {
        ResponseScan::Invalid
    } else {
        ResponseScan::Incomplete
    };
    let head_len = match response.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return incomplete,
        Err(_) => return ResponseScan::Invalid,
    };
    let code = response.code.unwrap_or(0);
    let body = &bytes[head_len..];
    if (100..200).contains(&code) {
        return scan_response(body, closed, is_head_method);
    }
    if code == 503 && find_header(response.headers, NOT_RUN_HEADER).is_some() {
        return ResponseScan::NotRun;
    }
    let no_body = is_head_method || code == 204 || code == 304;
    let chunked = find_header(response.headers, "transfer-encoding").is_some();
    let Ok(length) = scan_content_length(response.headers) else {
        return ResponseScan::Invalid;
    };
    let body_len = match (no_body, chunked, length) {
        (true, _, _) => 0,
        (_, true, _) if body.ends_with(b"0\r\n\r\n") && closed => body.len(),
        (_, true, _) => return incomplete,
        (_, _, Some(length)) if body.len() as u64 >= length => length as usize,
        (_, _, Some(_)) => return incomplete,
        (_, _, None) if closed => body.len(),
        (_, _, None) => return incomplete,
    };
    let reason = response.reason.unwrap_or_default();
    let mut message = format!("HTTP/1.1 {code} {reason}\r\n").into_bytes();
    append_headers(&mut message, response.headers, &HOP_BY_HOP_HEADERS);
    if !no_body && !chunked && length.is_none() {
        message.extend_from_slice(format!("Content-Length: {body_len}\r\n").as_bytes());
    }
    message.extend_from_slice(b"\r\n");
    message.extend_from_slice(&body[..body_len]);
    ResponseScan::Complete(message)
}

/// Adds the header `Connection: close` to a response.
pub fn add_close_header(response: &mut Vec<u8>) {
    const LINE_END: &[u8] = b"\r\n";
    if let Some(position) = response.windows(2).position(|pair| pair == LINE_END) {
        let position = position + LINE_END.len();
        response.splice(position..position, *b"Connection: close\r\n");
    }
}

/// Returns the response to a request without a backend server's response. Its
/// body contains the outcome and its cause.
pub fn write_outcome_response(outcome: RequestOutcome, cause: &str) -> Vec<u8> {
    let status = match outcome {
        RequestOutcome::NotRun => "503 Service Unavailable",
        RequestOutcome::Unknown | RequestOutcome::Answered => "504 Gateway Timeout",
    };
    let body = format!(
        "{{\"outcome\":\"{}\",\"cause\":\"{cause}\"}}",
        outcome.as_str()
    );
    format!(
        "HTTP/1.1 {status}\r\nChestnut-Outcome: {}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        outcome.as_str(),
        body.len(),
    )
    .into_bytes()
}

/// Returns the response to a refused request; the flow closes after it.
pub fn write_error_response(error: RequestError) -> Vec<u8> {
    format!(
        "HTTP/1.1 {} {}\r\nChestnut-Outcome: {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        error.status,
        error.reason,
        RequestOutcome::NotRun.as_str(),
    )
    .into_bytes()
}
