//! Scanners for HTTP/1.1 messages. A request is taken when it has arrived
//! whole, an answer is handed on when it has arrived whole.

use compact_str::CompactString;
use httparse::{EMPTY_HEADER, Header};

use chestnutlb_core::manifest::HostLimits;
use chestnutlb_core::{RequestId, RequestOutcome};

/// Most headers of a message.
const MAX_HEADERS: usize = 64;

/// Largest answer of a backend server, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// By this header a backend server that sheds load says that it did not start
/// the request.
const NOT_RUN_HEADER: &str = "not-run";

/// Headers that belong to one connection (RFC 9110 section 7.6.1).
const HOP_HEADERS: [&str; 5] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "upgrade",
];

/// A request that can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status.
    pub status: u16,
    /// Reason phrase.
    pub reason: &'static str,
}

const MALFORMED: BadRequest = BadRequest {
    status: 400,
    reason: "Bad Request",
};
const HEAD_TOO_LARGE: BadRequest = BadRequest {
    status: 431,
    reason: "Request Header Fields Too Large",
};
const BODY_TOO_LARGE: BadRequest = BadRequest {
    status: 413,
    reason: "Content Too Large",
};
const LENGTH_REQUIRED: BadRequest = BadRequest {
    status: 411,
    reason: "Length Required",
};
/// The request took too long to arrive.
pub const TOO_SLOW: BadRequest = BadRequest {
    status: 408,
    reason: "Request Timeout",
};

/// The head of a whole request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Bytes of head and body.
    pub len: usize,
    /// Whether the caller closes the flow after the answer.
    pub close: bool,
}

/// What the bytes so far are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestScan {
    /// More must come.
    Incomplete,
    /// A whole request.
    Complete(RequestHead),
    /// No request that can be taken.
    Bad(BadRequest),
}

/// Looks for a whole request at the start of `bytes`.
pub fn scan_request(bytes: &[u8], limits: &HostLimits) -> RequestScan {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_limit = limits.head.0 as usize;
    let head_len = match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) if len <= head_limit => len,
        Ok(httparse::Status::Partial) if bytes.len() <= head_limit => {
            return RequestScan::Incomplete;
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return RequestScan::Bad(HEAD_TOO_LARGE),
        Err(_) => return RequestScan::Bad(MALFORMED),
    };
    if find_header(request.headers, "transfer-encoding").is_some() {
        return RequestScan::Bad(LENGTH_REQUIRED);
    }
    let body_len = match scan_length(request.headers) {
        Ok(len) => len.unwrap_or(0),
        Err(bad) => return RequestScan::Bad(bad),
    };
    if body_len > limits.body.0 {
        return RequestScan::Bad(BODY_TOO_LARGE);
    }
    let len = head_len + body_len as usize;
    if bytes.len() < len {
        return RequestScan::Incomplete;
    }
    let old_version = request.version == Some(0);
    let close = find_header(request.headers, "connection").map_or(old_version, |value| {
        value.eq_ignore_ascii_case("close") || (old_version && value != "keep-alive")
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

// Lengths that differ could split a request in two (RFC 9112 section 6.3).
fn scan_length(headers: &[Header<'_>]) -> Result<Option<u64>, BadRequest> {
    let mut found = None;
    for header in headers {
        if !header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let length = std::str::from_utf8(header.value)
            .ok()
            .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
            .and_then(|text| text.parse::<u64>().ok())
            .ok_or(MALFORMED)?;
        if found.is_some_and(|other| other != length) {
            return Err(MALFORMED);
        }
        found = Some(length);
    }
    Ok(found)
}

fn push_headers(message: &mut Vec<u8>, headers: &[Header<'_>], dropped: &[&str]) {
    for header in headers {
        let is_dropped = dropped
            .iter()
            .any(|name| header.name.eq_ignore_ascii_case(name));
        if !is_dropped {
            message.extend_from_slice(header.name.as_bytes());
            message.extend_from_slice(b": ");
            message.extend_from_slice(header.value);
            message.extend_from_slice(b"\r\n");
        }
    }
}

/// The request as the backend server gets it: on a connection of its own,
/// with its id and the time that is left.
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
    let own = ["chestnut-request-id", "chestnut-deadline-ms"];
    push_headers(
        &mut message,
        request.headers,
        &[&HOP_HEADERS[..], &own].concat(),
    );
    let added = format!(
        "Connection: close\r\nChestnut-Request-Id: {id}\r\nChestnut-Deadline-Ms: {left_ms}\r\n\r\n"
    );
    message.extend_from_slice(added.as_bytes());
    message.extend_from_slice(&bytes[head_len..]);
    message
}

/// What a backend server has sent so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerScan {
    /// More must come.
    Incomplete,
    /// A whole answer, ready for the caller.
    Complete(Vec<u8>),
    /// The backend server says that it did not start the request.
    NotRun,
    /// No whole answer will come.
    Broken,
}

/// Looks for a whole answer; `ended` is true when the backend server has
/// closed the connection.
pub fn scan_answer(bytes: &[u8], ended: bool, head_request: bool) -> AnswerScan {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let more = if ended {
        AnswerScan::Broken
    } else {
        AnswerScan::Incomplete
    };
    let head_len = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return more,
        Err(_) => return AnswerScan::Broken,
    };
    let code = answer.code.unwrap_or(0);
    let body = &bytes[head_len..];
    if (100..200).contains(&code) {
        return scan_answer(body, ended, head_request);
    }
    if code == 503 && find_header(answer.headers, NOT_RUN_HEADER).is_some() {
        return AnswerScan::NotRun;
    }
    let no_body = head_request || code == 204 || code == 304;
    let chunked = find_header(answer.headers, "transfer-encoding").is_some();
    let Ok(length) = scan_length(answer.headers) else {
        return AnswerScan::Broken;
    };
    let body_len = match (no_body, chunked, length) {
        (true, _, _) => 0,
        (_, true, _) if body.ends_with(b"0\r\n\r\n") && ended => body.len(),
        (_, true, _) => return more,
        (_, _, Some(length)) if body.len() as u64 >= length => length as usize,
        (_, _, Some(_)) => return more,
        (_, _, None) if ended => body.len(),
        (_, _, None) => return more,
    };
    let reason = answer.reason.unwrap_or_default();
    let mut message = format!("HTTP/1.1 {code} {reason}\r\n").into_bytes();
    push_headers(&mut message, answer.headers, &HOP_HEADERS);
    if !no_body && !chunked && length.is_none() {
        message.extend_from_slice(format!("Content-Length: {body_len}\r\n").as_bytes());
    }
    message.extend_from_slice(b"\r\n");
    message.extend_from_slice(&body[..body_len]);
    AnswerScan::Complete(message)
}

/// Asks the caller to end its flow after this answer.
pub fn add_close(answer: &mut Vec<u8>) {
    const LINE_END: &[u8] = b"\r\n";
    if let Some(place) = answer.windows(2).position(|pair| pair == LINE_END) {
        let place = place + LINE_END.len();
        answer.splice(place..place, *b"Connection: close\r\n");
    }
}

/// The answer for a request without an answer of a backend server.
pub fn write_outcome(outcome: RequestOutcome, cause: &str) -> Vec<u8> {
    let line = match outcome {
        RequestOutcome::NotRun => "503 Service Unavailable",
        RequestOutcome::Unknown | RequestOutcome::Answered => "504 Gateway Timeout",
    };
    let body = format!(
        "{{\"outcome\":\"{}\",\"cause\":\"{cause}\"}}",
        outcome.as_str()
    );
    format!(
        "HTTP/1.1 {line}\r\nChestnut-Outcome: {}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        outcome.as_str(),
        body.len(),
    )
    .into_bytes()
}

/// The answer for bytes that are no request; the flow ends after it.
pub fn write_bad(bad: BadRequest) -> Vec<u8> {
    format!(
        "HTTP/1.1 {} {}\r\nChestnut-Outcome: {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        bad.status,
        bad.reason,
        RequestOutcome::NotRun.as_str(),
    )
    .into_bytes()
}
