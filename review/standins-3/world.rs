//! Stand-ins for the platform's store, its routers, hosts and consumers, and the start of the
//! project's own processes on loopback addresses. Used by the scripts of review 3.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------- JSON

/// A JSON value. Numbers keep their text, so that no digit is lost.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn print(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(value) => value.to_string(),
            Json::Number(text) => text.clone(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                let items: Vec<_> = items.iter().map(Json::print).collect();
                format!("[{}]", items.join(","))
            }
            Json::Object(fields) => {
                let fields: Vec<_> = fields
                    .iter()
                    .map(|(name, value)| format!("{}:{}", quote(name), value.print()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' | b'f' | b'n' => {
            let words: [(&[u8], Json); 3] = [
                (b"true", Json::Bool(true)),
                (b"false", Json::Bool(false)),
                (b"null", Json::Null),
            ];
            let (word, value) = words.into_iter().find(|(w, _)| bytes[*at..].starts_with(w))?;
            *at += word.len();
            Some(value)
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            (*at > start).then(|| {
                Json::Number(String::from_utf8_lossy(&bytes[start..*at]).into_owned())
            })
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let c = *bytes.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        text.extend(code.to_string().bytes());
                        *at += 4;
                    }
                    c => text.push(c),
                }
            }
            c => {
                text.push(c);
                *at += 1;
            }
        }
    }
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::new(Vec::new()),
        })
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        let _ = std::fs::write(path, text);
    }
}

// ---------------------------------------------------------------- HTTP

pub struct HttpCall {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<HttpCall> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut len = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    Some(HttpCall {
        method,
        path: path.to_owned(),
        query,
        body,
    })
}

fn serve_http<F>(address: SocketAddrV4, answer: F)
where
    F: Fn(&HttpCall) -> (u16, String) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("bind");
    let answer = Arc::new(answer);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(call) = read_call(&mut reader) {
                    let (status, body) = answer(&call);
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let bytes = [head.as_bytes(), body.as_bytes()].concat();
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one call on a connection of its own. Returns the status, or `None` without an answer
/// within a second.
pub fn http_call(address: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address.into(), ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    let call = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(call.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
    finalizers: Json,
}

impl StoredObject {
    fn print(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":{},\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            quote(name),
            self.revision,
            self.created,
            self.finalizers.print(),
            self.spec.print(),
            self.status.print()
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    // Revision, kind, whether deleted, and the object as it was then.
    events: Vec<(u64, String, bool, String)>,
}

/// The platform's store.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(StoreState {
                revision: 3,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        serve_http(address, move |call| {
            // The store answers in about 4 ms.
            sleep(ms(4));
            served.answer(call)
        });
        store
    }

    /// Writes an object as the operator. Its return is the ack.
    pub fn put_as_operator(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.revision += 1;
        let revision = state.revision;
        let before = state.objects.get(&key).cloned();
        let object = StoredObject {
            revision,
            created: before.map_or(revision, |before| before.created),
            spec,
            status: Json::Null,
            finalizers: Json::List(Vec::new()),
        };
        let printed = object.print(name);
        state.objects.insert(key, object);
        state.events.push((revision, kind.to_owned(), false, printed));
        self.changed.notify_all();
        revision
    }

    fn answer(&self, call: &HttpCall) -> (u16, String) {
        let Some(path) = call.path.strip_prefix("/chestnutlb/objects/") else {
            return (404, "{}".to_owned());
        };
        let mut parts = path.splitn(3, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let part = parts.next();
        match (call.method.as_str(), name) {
            ("GET", None) if call.query.contains_key("watch") => self.watch(kind, call),
            ("GET", None) => self.list(kind, call),
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object.print(name)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => self.create(kind, call),
            ("PUT", Some(name)) => self.replace(kind, name, part == Some("status"), call),
            ("DELETE", Some(name)) => self.delete(kind, name, call),
            _ => (405, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, call: &HttpCall) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let after = call.query.get("after").map_or("", String::as_str);
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((of_kind, name), _)| of_kind == kind && name.as_str() > after)
            .map(|((_, name), object)| object.print(name))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, call: &HttpCall) -> (u16, String) {
        let number = |name: &str| call.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("watch").unwrap_or(0);
        let deadline = Instant::now() + ms(number("wait_ms").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, of_kind, _, _)| *revision > after && of_kind == kind)
                .map(|(_, _, deleted, object)| {
                    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn create(&self, kind: &str, call: &HttpCall) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&call.body));
        let name = body
            .as_ref()
            .and_then(|body| body.get("meta")?.get("name")?.text().map(str::to_owned));
        let (Some(body), Some(name)) = (body, name) else {
            return (400, "{}".to_owned());
        };
        let key = (kind.to_owned(), name.clone());
        let mut state = self.state.lock().unwrap();
        if let Some(object) = state.objects.get(&key) {
            return (409, object.print(&name));
        }
        state.revision += 1;
        let revision = state.revision;
        let object = StoredObject {
            revision,
            created: revision,
            spec: body.get("spec").cloned().unwrap_or(Json::Null),
            status: Json::Null,
            finalizers: Json::List(Vec::new()),
        };
        let printed = object.print(&name);
        state.objects.insert(key, object);
        state
            .events
            .push((revision, kind.to_owned(), false, printed.clone()));
        self.changed.notify_all();
        (200, printed)
    }

    fn replace(&self, kind: &str, name: &str, is_status: bool, call: &HttpCall) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&call.body)) else {
            return (400, "{}".to_owned());
        };
        let expected = body
            .get("meta")
            .and_then(|meta| meta.get("revision")?.number())
            .or_else(|| call.query.get("revision").and_then(|text| text.parse().ok()));
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock().unwrap();
        let Some(mut object) = state.objects.get(&key).cloned() else {
            return (404, "{}".to_owned());
        };
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, object.print(name));
        }
        let before = object.clone();
        if is_status {
            object.status = body.get("status").cloned().unwrap_or(Json::Null);
        } else {
            object.spec = body.get("spec").cloned().unwrap_or(Json::Null);
            if let Some(finalizers) = body.get("meta").and_then(|meta| meta.get("finalizers")) {
                object.finalizers = finalizers.clone();
            }
        }
        if object.print(name) == before.print(name) {
            return (200, object.print(name));
        }
        state.revision += 1;
        object.revision = state.revision;
        let printed = object.print(name);
        let revision = state.revision;
        state.objects.insert(key, object);
        state
            .events
            .push((revision, kind.to_owned(), false, printed.clone()));
        self.changed.notify_all();
        (200, printed)
    }

    fn delete(&self, kind: &str, name: &str, call: &HttpCall) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.get(&key).cloned() else {
            return (404, "{}".to_owned());
        };
        let expected = call.query.get("revision").and_then(|text| text.parse().ok());
        if expected.is_some_and(|expected: u64| expected != object.revision) {
            return (409, object.print(name));
        }
        state.objects.remove(&key);
        state.revision += 1;
        let revision = state.revision;
        let printed = object.print(name);
        state
            .events
            .push((revision, kind.to_owned(), true, printed.clone()));
        self.changed.notify_all();
        (200, printed)
    }
}

// ---------------------------------------------------------------- packets

pub const SYN: u8 = 32;
pub const ACK: u8 = 128;
pub const FIN: u8 = 1;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 2;
const HEAD: usize = 34;
const KEY: &[u8] = b"known to both ends only";

#[derive(Debug, Clone)]
pub struct Packet {
    pub src: Ipv4Addr,
    pub sport: u16,
    pub dst: Ipv4Addr,
    pub dport: u16,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    pub sum: u32,
}

impl Packet {
    fn keyed_sum(&self) -> u32 {
        let mut hash: u32 = 0x811c_9dc5;
        let fields = [
            &self.src.octets()[..],
            &self.sport.to_be_bytes(),
            &self.dst.octets(),
            &self.dport.to_be_bytes(),
            &[self.flags & !BOUNCED],
            &self.seq.to_be_bytes(),
            &self.ack.to_be_bytes(),
            &self.data,
            KEY,
        ];
        for byte in fields.iter().flat_map(|field| field.iter()) {
            hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
        }
        hash | 1
    }

    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..4].copy_from_slice(&self.dst.octets());
        bytes[4..6].copy_from_slice(&self.dport.to_be_bytes());
        bytes[6..8].copy_from_slice(&self.sport.to_be_bytes());
        bytes[8..12].copy_from_slice(&self.src.octets());
        bytes[12..16].copy_from_slice(&self.keyed_sum().to_be_bytes());
        bytes[20..22].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[22..26].copy_from_slice(&self.seq.to_be_bytes());
        bytes[26..30].copy_from_slice(&self.ack.to_be_bytes());
        bytes[30] = self.flags;
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let len = usize::from(u16_at(20));
        (bytes.len() == HEAD + len).then(|| Self {
            dst: Ipv4Addr::from(u32_at(0)),
            dport: u16_at(4),
            sport: u16_at(6),
            src: Ipv4Addr::from(u32_at(8)),
            sum: u32_at(12),
            seq: u32_at(22),
            ack: u32_at(26),
            flags: bytes[30],
            data: bytes[HEAD..].to_vec(),
        })
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }
}

fn random() -> u32 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let step = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mut x = seed ^ step;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as u32
}

// ---------------------------------------------------------------- deployment

#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub datagram: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub peers: u16,
    pub store: u16,
}

impl Ports {
    /// Finds seven consecutive ports that are free on the addresses of all machines.
    pub fn free(ips: &[Ipv4Addr]) -> Self {
        let mut base = 21_000 + (random() % 3_000) as u16 * 8;
        loop {
            let is_free = (base..base + 7).all(|port| {
                ips.iter().all(|ip| {
                    TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
                })
            });
            if is_free {
                break;
            }
            base = if base > 45_000 { 21_000 } else { base + 8 };
        }
        Self {
            datagram: base,
            ready: base + 1,
            control: base + 2,
            outbound: base + 3,
            app: base + 4,
            peers: base + 5,
            store: base + 6,
        }
    }
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    /// The service of the host beside it; empty on `front` machines.
    pub service: &'static str,
}

pub struct Deployment {
    pub ports: Ports,
    pub zones: Vec<&'static str>,
    pub store_ip: Ipv4Addr,
    pub folder: String,
    pub record: Arc<Record>,
    pub fronts: Vec<Machine>,
    pub sides: Vec<Machine>,
    processes: Mutex<HashMap<String, Child>>,
    in_rotation: Mutex<HashSet<String>>,
    pub ended: AtomicBool,
}

impl Deployment {
    pub fn new(record: &Arc<Record>, fronts: Vec<Machine>, sides: Vec<Machine>) -> Arc<Self> {
        let folder = format!(
            "{}/chestnutlb-review-3-{}-{}",
            std::env::temp_dir().display(),
            std::process::id(),
            random()
        );
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let mut zones: Vec<&'static str> = fronts.iter().map(|front| front.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let store_ip = Ipv4Addr::new(127, 61, 0, 1);
        let mut ips = vec![Ipv4Addr::LOCALHOST, store_ip];
        ips.extend(fronts.iter().chain(&sides).map(|machine| machine.ip));
        Arc::new(Self {
            ports: Ports::free(&ips),
            zones,
            store_ip,
            folder,
            record: Arc::clone(record),
            fronts,
            sides,
            processes: Mutex::default(),
            in_rotation: Mutex::default(),
            ended: AtomicBool::new(false),
        })
    }

    pub fn store_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.store_ip, self.ports.store)
    }

    // Fills in a template of the deploy file as the platform does.
    fn settings(&self, machine: &Machine) -> Option<String> {
        let is_front = machine.service.is_empty();
        let path = if is_front { "deploy/entry.json.in" } else { "deploy/side.json.in" };
        let mut text = std::fs::read_to_string(path).ok()?;
        let ports = self.ports;
        let list = |items: Vec<String>| {
            let items: Vec<_> = items.iter().map(|item| quote(item)).collect();
            items.join(",")
        };
        let zones = list(self.zones.iter().map(|zone| (*zone).to_owned()).collect());
        let seeds = self.fronts.iter().take(3);
        let seeds = list(seeds.map(|front| format!("{}:{}", front.ip, ports.control)).collect());
        let ip = machine.ip;
        let filled = [
            ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones),
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds),
            ("{{#bounds.evacuate_ms}}\"drains\": true,{{/bounds.evacuate_ms}}", String::new()),
            (
                "{{#bounds.cold_slack}}\"first_cold_limit\": {{bounds.cold_slack}},{{/bounds.cold_slack}}",
                String::new(),
            ),
            ("{{node_name}}", machine.name.clone()),
            ("{{zone}}", machine.zone.to_owned()),
            ("{{service}}", machine.service.to_owned()),
            ("{{ip}}", ip.to_string()),
            ("{{port_range.0}}", ports.peers.to_string()),
            ("{{platform.address}}", self.store_address().to_string()),
            ("{{listen.datagram_addr}}", format!("{ip}:{}", ports.datagram)),
            ("{{listen.ready}}", format!("{ip}:{}", ports.ready)),
            ("{{listen.control}}", format!("{ip}:{}", ports.control)),
            ("{{listen.outbound}}", format!("{ip}:{}", ports.outbound)),
            ("{{app}}", format!("{ip}:{}", ports.app)),
            ("{{bounds.config_apply_ms}}", "3000".to_owned()),
            ("{{bounds.max_flow_s}}", "60".to_owned()),
            ("{{heartbeat_ms}}", "1200".to_owned()),
        ];
        for (placeholder, value) in filled {
            text = text.replace(placeholder, &value);
        }
        (!text.contains("{{")).then_some(text)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, machine: &Machine) {
        let path = format!("{}/{}.json", self.folder, machine.name);
        let Some(settings) = self.settings(machine) else {
            self.fail("the templates of the deploy file have fields that this script does not fill in");
        };
        std::fs::write(&path, settings).expect("settings");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{}/{}.log", self.folder, machine.name))
            .expect("log");
        let child = Command::new("target/release/chestnutlbd")
            .args(["--settings", &path])
            .env_clear()
            .env("CHESTNUTLB_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record.note(&format!("start {}", machine.name));
                self.processes.lock().unwrap().insert(machine.name.clone(), child);
            }
            Err(error) => self.fail(&format!("chestnutlbd does not start: {error}")),
        }
    }

    pub fn signal(&self, name: &str, signal: i32) {
        let processes = self.processes.lock().unwrap();
        if let Some(child) = processes.get(name) {
            self.record.note(&format!("signal {signal} to {name}"));
            // A child that was not waited for keeps its id.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of a process, with SIGKILL after `grace`.
    pub fn wait_end(&self, name: &str, grace: Duration) {
        let Some(mut child) = self.processes.lock().unwrap().remove(name) else {
            return;
        };
        let deadline = Instant::now() + grace;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => {
                    self.record.note(&format!("end of {name}: {status}"));
                    return;
                }
                _ if Instant::now() >= deadline => {
                    self.record.note(&format!("signal {SIGKILL} to {name}"));
                    let _ = child.kill();
                    let _ = child.wait();
                    return;
                }
                _ => sleep(ms(10)),
            }
        }
    }

    /// Stops a process as in planned work: SIGTERM, SIGKILL after six seconds.
    pub fn stop(&self, name: &str) {
        self.signal(name, SIGTERM);
        self.wait_end(name, ms(6000));
    }

    /// Returns the first process that has ended though nobody stopped it.
    pub fn ended_by_itself(&self) -> Option<String> {
        let mut processes = self.processes.lock().unwrap();
        for (name, child) in processes.iter_mut() {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return Some(name.clone());
            }
        }
        None
    }

    pub fn shut_down(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let mut processes = self.processes.lock().unwrap();
        for child in processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        processes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    pub fn fail(&self, cause: &str) -> ! {
        self.record.note(&format!("could not run: {cause}"));
        eprintln!("could not run: {cause}");
        self.shut_down();
        std::process::exit(2);
    }

    /// Starts the platform's probes of the `ready` addresses, twice a second.
    pub fn start_probes(self: &Arc<Self>) {
        for front in self.fronts.clone() {
            let deployment = Arc::clone(self);
            spawn(move || {
                let address = SocketAddrV4::new(front.ip, deployment.ports.ready);
                let mut misses = 2;
                while !deployment.ended.load(Ordering::Relaxed) {
                    let is_ready = http_call(address, "GET", "/ready", "") == Some(200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    let mut in_rotation = deployment.in_rotation.lock().unwrap();
                    let changed = if misses == 0 {
                        in_rotation.insert(front.name.clone())
                    } else {
                        misses >= 2 && in_rotation.remove(&front.name)
                    };
                    drop(in_rotation);
                    if changed {
                        let word = if misses == 0 { "in" } else { "out of" };
                        deployment.record.note(&format!("{} is {word} rotation", front.name));
                    }
                    sleep(ms(500));
                }
            });
        }
    }

    pub fn ready_fronts(&self) -> usize {
        self.in_rotation.lock().unwrap().len()
    }

    /// Returns the front machine that a router forwards a packet of this flow to.
    pub fn front_of(&self, zone: &str, src: Ipv4Addr, sport: u16, dst: Ipv4Addr, dport: u16) -> &Machine {
        let in_rotation = self.in_rotation.lock().unwrap();
        let of_zone: Vec<&Machine> = self.fronts.iter().filter(|front| front.zone == zone).collect();
        let is_in = |front: &&Machine| in_rotation.contains(&front.name);
        let mut fronts: Vec<&Machine> = of_zone.iter().copied().filter(is_in).collect();
        if !fronts.is_empty() && fronts.len() * 2 < of_zone.len() {
            fronts = of_zone;
        }
        if fronts.is_empty() {
            fronts = self.fronts.iter().filter(is_in).collect();
        }
        if fronts.is_empty() {
            fronts = self.fronts.iter().collect();
        }
        let weight = |front: &&Machine| {
            let text = format!("{} {src} {sport} {dst} {dport}", front.name);
            let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
            for byte in text.bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            hash ^ (hash >> 29)
        };
        fronts.into_iter().max_by_key(weight).expect("no front machine")
    }
}

// ---------------------------------------------------------------- hosts

type Key = (Ipv4Addr, u16, Ipv4Addr, u16);

struct HostFlow {
    client_isn: u32,
    own_isn: u32,
    is_open: bool,
    receive_next: u32,
    send_next: u32,
    // Sent and not acknowledged, oldest first.
    unacknowledged: Vec<Packet>,
    resend_at: Option<Instant>,
    resend_after: Duration,
    resends: u32,
    received: Vec<u8>,
    // Responses to send, with the time at which the work is done.
    work: Vec<(Instant, String)>,
}

/// What a host has seen, for the check at the end.
pub struct HostState {
    pub name: String,
    pub service: &'static str,
    /// Flows that are open at the host.
    pub open: Mutex<HashSet<Key>>,
    /// Opening packets that it took: when, and the flow.
    pub opened: Mutex<Vec<(Duration, Key)>>,
    pub alive: AtomicBool,
    pub draining: AtomicBool,
}

pub struct HostRun {
    pub id: String,
    pub born: u64,
    pub work: Duration,
}

/// Starts the host beside a side machine.
pub fn start_host(deployment: &Arc<Deployment>, side: &Machine, run: HostRun) -> Arc<HostState> {
    let state = Arc::new(HostState {
        name: side.name.clone(),
        service: side.service,
        open: Mutex::default(),
        opened: Mutex::default(),
        alive: AtomicBool::new(true),
        draining: AtomicBool::new(false),
    });
    let app = SocketAddrV4::new(side.ip, deployment.ports.app);
    let socket = UdpSocket::bind(app).expect("host socket");
    socket.set_read_timeout(Some(ms(5))).expect("timeout");
    let health = Arc::clone(&state);
    serve_http(app, move |_| {
        let is_healthy = !health.draining.load(Ordering::Relaxed);
        (if is_healthy { 200 } else { 503 }, "{}".to_owned())
    });
    let pings = (Arc::clone(deployment), side.clone(), Arc::clone(&state), run.id.clone());
    let born = run.born;
    spawn(move || {
        let (deployment, side, state, id) = pings;
        let control = SocketAddrV4::new(side.ip, deployment.ports.control);
        let mut seq = 0;
        let mut was_acknowledged = None;
        while !deployment.ended.load(Ordering::Relaxed) && state.alive.load(Ordering::Relaxed) {
            seq += 1;
            let word = if state.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\"state\":\"{word}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}",
                side.service, side.ip, deployment.ports.app, side.zone
            );
            let path = format!("/v1/backend/{id}");
            let status = http_call(control, "PUT", &path, &body);
            if was_acknowledged != Some((status, word)) {
                was_acknowledged = Some((status, word));
                deployment.record.note(&format!("host {} pings {word}: {status:?}", side.name));
            }
            sleep(ms(1200));
        }
    });
    let flows = (Arc::clone(deployment), side.clone(), Arc::clone(&state));
    spawn(move || run_host(&flows.0, &flows.1, &flows.2, &socket, run.work));
    state
}

fn run_host(
    deployment: &Deployment,
    side: &Machine,
    state: &HostState,
    socket: &UdpSocket,
    work: Duration,
) {
    let outbound = SocketAddrV4::new(side.ip, deployment.ports.outbound);
    let mut flows: HashMap<Key, HostFlow> = HashMap::new();
    let mut ended: HashSet<Key> = HashSet::new();
    let mut buffer = [0; 2048];
    while !deployment.ended.load(Ordering::Relaxed) && state.alive.load(Ordering::Relaxed) {
        if let Ok((len, _)) = socket.recv_from(&mut buffer) {
            let Some(packet) = Packet::read(&buffer[..len]) else {
                continue;
            };
            let key = (packet.src, packet.sport, packet.dst, packet.dport);
            if !packet.is_genuine() || (packet.has(SYN) && packet.has(ACK)) {
                deployment.record.note(&format!("host {} got a forged packet of {key:?}", state.name));
                continue;
            }
            let reply = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| Packet {
                src: packet.dst,
                sport: packet.dport,
                dst: packet.src,
                dport: packet.sport,
                flags,
                seq,
                ack,
                data,
                sum: 0,
            };
            let send = |packet: &Packet| {
                let _ = socket.send_to(&packet.write(), outbound);
            };
            if packet.has(SYN) {
                let is_copy = flows.get(&key).is_some_and(|flow| flow.client_isn == packet.seq);
                if !is_copy {
                    flows.insert(
                        key,
                        HostFlow {
                            client_isn: packet.seq,
                            own_isn: random(),
                            is_open: false,
                            receive_next: packet.seq.wrapping_add(1),
                            send_next: 0,
                            unacknowledged: Vec::new(),
                            resend_at: None,
                            resend_after: ms(200),
                            resends: 0,
                            received: Vec::new(),
                            work: Vec::new(),
                        },
                    );
                    ended.remove(&key);
                }
                let flow = flows.get_mut(&key).expect("flow");
                flow.send_next = flow.own_isn.wrapping_add(1);
                send(&reply(SYN | ACK, flow.own_isn, packet.seq.wrapping_add(1), Vec::new()));
                continue;
            }
            let is_own = flows.get(&key).is_some_and(|flow| {
                flow.is_open || packet.ack == flow.own_isn.wrapping_add(1)
            });
            if !is_own {
                if ended.contains(&key) && packet.has(FIN) {
                    send(&reply(ACK, packet.ack, packet.seq.wrapping_add(1), Vec::new()));
                } else if ended.contains(&key) && !packet.data.is_empty() {
                    send(&reply(RST, packet.ack, packet.seq, Vec::new()));
                } else if !packet.has(RST) {
                    // Returned: the host does not hold the flow.
                    let mut bytes = buffer[..len].to_vec();
                    bytes[30] |= BOUNCED;
                    bytes[31..34].fill(0);
                    let _ = socket.send_to(&bytes, outbound);
                }
                continue;
            }
            if packet.has(RST) {
                flows.remove(&key);
                ended.insert(key);
                state.open.lock().unwrap().remove(&key);
                continue;
            }
            let flow = flows.get_mut(&key).expect("flow");
            if !flow.is_open {
                flow.is_open = true;
                state.open.lock().unwrap().insert(key);
                state.opened.lock().unwrap().push((deployment.record.elapsed(), key));
                deployment.record.note(&format!("host {} ({}) has open flow {key:?}", state.name, state.service));
            }
            flow.unacknowledged.retain(|sent| {
                let end = sent.seq.wrapping_add(sent.data.len() as u32);
                (end.wrapping_sub(packet.ack) as i32) > 0
            });
            if flow.unacknowledged.is_empty() {
                flow.resend_at = None;
                flow.resends = 0;
            }
            if !packet.data.is_empty() {
                if packet.seq == flow.receive_next {
                    flow.receive_next = flow.receive_next.wrapping_add(packet.data.len() as u32);
                    flow.received.extend_from_slice(&packet.data);
                }
                send(&reply(ACK, flow.send_next, flow.receive_next, Vec::new()));
                while let Some(end) = find(&flow.received, b"\r\n\r\n") {
                    let head: Vec<u8> = flow.received.drain(..end + 4).collect();
                    let head = String::from_utf8_lossy(&head).into_owned();
                    let id = head
                        .lines()
                        .find_map(|line| line.strip_prefix("X-Chestnutlb-Request-Id: "))
                        .unwrap_or("?")
                        .to_owned();
                    deployment.record.note(&format!("host {} ({}) runs {id}", state.name, state.service));
                    flow.work.push((Instant::now() + work, id));
                }
            }
            if packet.has(FIN) && packet.seq == flow.receive_next {
                let fin_ack = packet.seq.wrapping_add(1);
                send(&reply(FIN | ACK, flow.send_next, fin_ack, Vec::new()));
                flows.remove(&key);
                ended.insert(key);
                state.open.lock().unwrap().remove(&key);
            }
        }
        let now = Instant::now();
        for (key, flow) in &mut flows {
            let done: Vec<String> = flow
                .work
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, id)| id.clone())
                .collect();
            flow.work.retain(|(at, _)| *at > now);
            for id in done {
                let body = format!("answer to {id} {}", "x".repeat(900));
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Chestnutlb-Server-Signature: {}\r\n\r\n{body}",
                    body.len(),
                    state.name
                );
                for chunk in text.as_bytes().chunks(1200) {
                    let packet = Packet {
                        src: key.2,
                        sport: key.3,
                        dst: key.0,
                        dport: key.1,
                        flags: ACK,
                        seq: flow.send_next,
                        ack: flow.receive_next,
                        data: chunk.to_vec(),
                        sum: 0,
                    };
                    flow.send_next = flow.send_next.wrapping_add(chunk.len() as u32);
                    let _ = socket.send_to(&packet.write(), outbound);
                    flow.unacknowledged.push(packet);
                }
                flow.resend_after = ms(200);
                flow.resend_at = Some(now + flow.resend_after);
            }
            if flow.resend_at.is_some_and(|at| at <= now) && flow.resends < 8 {
                flow.resends += 1;
                flow.resend_after = (flow.resend_after * 2).min(ms(1600));
                flow.resend_at = Some(now + flow.resend_after);
                for packet in &flow.unacknowledged {
                    let _ = socket.send_to(&packet.write(), outbound);
                }
            }
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

// ---------------------------------------------------------------- consumers

/// End of a try of a consumer.
#[derive(Debug, Clone, PartialEq)]
pub enum TryEnd {
    /// The whole answer came.
    Answered,
    /// No SYN+ACK within 1.4 s.
    NeverOpened,
    /// A reset before the flow was open.
    RefusedBySystem,
    /// A reset of the system on an open flow.
    ResetBySystem,
    /// A reset of the host.
    ResetByHost,
    /// The time budget ended.
    TimedOut,
}

/// A consumer with an address of its own and one flow at a time.
pub struct Consumer {
    deployment: Arc<Deployment>,
    pub name: String,
    ip: Ipv4Addr,
    zone: &'static str,
    socket: UdpSocket,
    next_port: u16,
    flow: Option<ConsumerFlow>,
}

struct ConsumerFlow {
    port: u16,
    route: SocketAddrV4,
    send_next: u32,
    receive_next: u32,
}

static REQUESTS: AtomicU32 = AtomicU32::new(1);

impl Consumer {
    pub fn new(deployment: &Arc<Deployment>, number: u8, zone: &'static str) -> Self {
        let ip = Ipv4Addr::new(127, 64, 0, number);
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, deployment.ports.datagram)).expect("consumer socket");
        Self {
            deployment: Arc::clone(deployment),
            name: format!("consumer-{number}"),
            ip,
            zone,
            socket,
            next_port: 1025,
            flow: None,
        }
    }

    pub fn has_flow(&self) -> bool {
        self.flow.is_some()
    }

    /// Returns the flow that is open, as hosts name it.
    pub fn key(&self) -> Option<(Ipv4Addr, u16, Ipv4Addr, u16)> {
        let flow = self.flow.as_ref()?;
        Some((self.ip, flow.port, *flow.route.ip(), flow.route.port()))
    }

    fn send(&self, packet: &Packet, front: Option<&Machine>) {
        let by_router = || {
            self.deployment
                .front_of(self.zone, packet.src, packet.sport, packet.dst, packet.dport)
        };
        let front = front.unwrap_or_else(by_router);
        let target = SocketAddrV4::new(front.ip, self.deployment.ports.datagram);
        let _ = self.socket.send_to(&packet.write(), target);
    }

    fn receive(&self, port: u16, route: SocketAddrV4, until: Instant) -> Option<Packet> {
        let mut buffer = [0; 2048];
        loop {
            let now = Instant::now();
            if now >= until {
                return None;
            }
            self.socket.set_read_timeout(Some(until - now)).ok()?;
            let Ok((len, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if let Some(packet) = Packet::read(&buffer[..len])
                && packet.dport == port
                && (packet.src, packet.sport) == (*route.ip(), route.port())
            {
                return Some(packet);
            }
        }
    }

    // Returns whether a reset may be one of the system's own: no data and a sum of 0.
    fn is_system_reset(packet: &Packet) -> bool {
        packet.has(RST) && packet.data.is_empty() && packet.sum == 0
    }

    /// Opens a flow to a route. `front` sends its packets directly to a node.
    pub fn open(&mut self, route: SocketAddrV4, front: Option<&Machine>) -> Result<(), TryEnd> {
        let port = self.next_port;
        self.next_port += 1;
        let isn = random();
        let packet = |flags: u8, seq: u32, ack: u32| Packet {
            src: self.ip,
            sport: port,
            dst: *route.ip(),
            dport: route.port(),
            flags,
            seq,
            ack,
            data: Vec::new(),
            sum: 0,
        };
        let start = Instant::now();
        self.deployment.record.note(&format!("{} port {port} opens a flow to {route}", self.name));
        for (copy, until) in [(0, 200), (1, 600), (2, 1400)] {
            self.send(&packet(SYN, isn, copy), front);
            let until = start + ms(until);
            while let Some(reply) = self.receive(port, route, until) {
                if reply.has(SYN) && reply.has(ACK) && reply.is_genuine() && reply.ack == isn.wrapping_add(1) {
                    self.flow = Some(ConsumerFlow {
                        port,
                        route,
                        send_next: isn.wrapping_add(1),
                        receive_next: reply.seq.wrapping_add(1),
                    });
                    return Ok(());
                }
                if reply.has(RST) {
                    self.deployment.record.note(&format!("{} port {port}: reset before the flow was open", self.name));
                    return Err(TryEnd::RefusedBySystem);
                }
            }
        }
        self.deployment.record.note(&format!("{} port {port}: no SYN+ACK", self.name));
        Err(TryEnd::NeverOpened)
    }

    /// Sends a request on the open flow and waits for its answer.
    pub fn request(&mut self, budget: Duration, front: Option<&Machine>) -> TryEnd {
        let Some(flow) = &self.flow else {
            return TryEnd::NeverOpened;
        };
        let id = format!("q{}", REQUESTS.fetch_add(1, Ordering::Relaxed));
        let (port, route) = (flow.port, flow.route);
        let text = format!(
            "GET /feed HTTP/1.1\r\nHost: {route}\r\nX-Chestnutlb-Request-Id: {id}\r\n\r\n"
        );
        let start_seq = flow.send_next;
        let end_seq = start_seq.wrapping_add(text.len() as u32);
        let mut receive_next = flow.receive_next;
        let packet = |seq: u32, ack: u32, flags: u8, data: Vec<u8>| Packet {
            src: self.ip,
            sport: port,
            dst: *route.ip(),
            dport: route.port(),
            flags,
            seq,
            ack,
            data,
            sum: 0,
        };
        let by_router = self.deployment.front_of(self.zone, self.ip, port, *route.ip(), route.port());
        let through = front.unwrap_or(by_router).name.clone();
        self.deployment.record.note(&format!("{} port {port} sends {id} through {through}", self.name));
        let start = Instant::now();
        let mut received = Vec::new();
        let mut resend_after = ms(200);
        let mut resend_at = start;
        let mut is_acknowledged = false;
        let mut packets = 0;
        let end = loop {
            let now = Instant::now();
            if now >= start + budget {
                break TryEnd::TimedOut;
            }
            if !is_acknowledged && now >= resend_at {
                self.send(&packet(start_seq, receive_next, ACK, text.clone().into_bytes()), front);
                resend_at = now + resend_after;
                resend_after = (resend_after * 2).min(ms(1600));
            }
            let until = (start + budget).min(if is_acknowledged { start + budget } else { resend_at });
            let Some(reply) = self.receive(port, route, until) else {
                continue;
            };
            if reply.has(RST) && reply.is_genuine() {
                break TryEnd::ResetByHost;
            }
            if Self::is_system_reset(&reply) {
                let distance = reply.seq.wrapping_sub(receive_next) as i32;
                self.deployment.record.note(&format!(
                    "{} port {port}: reset of the system, seq {distance:+} from the last ack",
                    self.name
                ));
                break TryEnd::ResetBySystem;
            }
            if !reply.is_genuine() {
                self.deployment.record.note(&format!("{} port {port}: forged packet", self.name));
                continue;
            }
            is_acknowledged |= (reply.ack.wrapping_sub(end_seq) as i32) >= 0;
            if reply.data.is_empty() {
                continue;
            }
            packets += 1;
            if reply.seq == receive_next {
                receive_next = receive_next.wrapping_add(reply.data.len() as u32);
                received.extend_from_slice(&reply.data);
            }
            let is_whole = is_whole_answer(&received);
            if is_whole || packets % 2 == 0 || reply.seq != receive_next {
                self.send(&packet(end_seq, receive_next, ACK, Vec::new()), front);
            }
            if is_whole {
                let is_own = find(&received, format!("answer to {id} ").as_bytes()).is_some();
                if !is_own {
                    self.deployment.record.note(&format!("{} got a foreign answer to {id}", self.name));
                }
                break TryEnd::Answered;
            }
        };
        self.deployment.record.note(&format!("{} port {port} {id}: {end:?}", self.name));
        match end {
            TryEnd::Answered => {
                if let Some(flow) = &mut self.flow {
                    flow.send_next = end_seq;
                    flow.receive_next = receive_next;
                }
            }
            _ => {
                if matches!(end, TryEnd::TimedOut) {
                    self.send(&packet(end_seq, receive_next, RST | ACK, Vec::new()), front);
                }
                self.flow = None;
            }
        }
        end
    }

    /// Closes the flow.
    pub fn close(&mut self) {
        if let Some(flow) = self.flow.take() {
            let fin = Packet {
                src: self.ip,
                sport: flow.port,
                dst: *flow.route.ip(),
                dport: flow.route.port(),
                flags: FIN | ACK,
                seq: flow.send_next,
                ack: flow.receive_next,
                data: Vec::new(),
                sum: 0,
            };
            self.send(&fin, None);
        }
    }
}

fn is_whole_answer(bytes: &[u8]) -> bool {
    let Some(end) = find(bytes, b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]);
    let len = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok())
        .unwrap_or(0);
    bytes.len() >= end + 4 + len
}

// ---------------------------------------------------------------- a small deployment

/// Returns the machines of the site `dalbit-edge`: four fronts and ten hosts in three zones.
pub fn dalbit_machines() -> (Vec<Machine>, Vec<Machine>) {
    let zones = ["honam-a", "honam-b", "honam-c"];
    let mut fronts = Vec::new();
    let mut sides = Vec::new();
    for (zone, (front_count, catalogue, patterns)) in
        zones.into_iter().zip([(2, 3, 1), (1, 2, 1), (1, 2, 1)])
    {
        let zone_number = 1 + zone.as_bytes()[zone.len() - 1] - b'a';
        for number in 1..=front_count {
            fronts.push(Machine {
                name: format!("front-{zone}-{number}"),
                ip: Ipv4Addr::new(127, 62, zone_number, number),
                zone,
                service: "",
            });
        }
        for number in 1..=catalogue + patterns {
            sides.push(Machine {
                name: format!("side-{zone}-{number}"),
                ip: Ipv4Addr::new(127, 63, zone_number, number),
                zone,
                service: if number <= catalogue { "catalogue" } else { "patterns" },
            });
        }
    }
    (fronts, sides)
}

/// Returns a configuration with these routes: address and service.
pub fn config(version: u64, routes: &[(SocketAddrV4, &str)]) -> Json {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (address, service))| {
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"{}\",\"path_prefix\":\"/{}/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":120,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}",
                address.ip(),
                address.port()
            )
        })
        .collect();
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"catalogue\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"patterns\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    );
    Json::parse(&text).expect("config")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Starts the store, the hosts, all processes and the probes, and waits until the fronts are in
/// rotation and have known their hosts for some seconds, as before traffic starts.
pub fn start_deployment(deployment: &Arc<Deployment>, first: Json) -> (Arc<Store>, Vec<Arc<HostState>>) {
    let store = Store::start(deployment.store_address());
    store.put_as_operator("config", "main", first);
    for machine in deployment.fronts.iter().chain(&deployment.sides) {
        deployment.start(machine);
    }
    sleep(ms(500));
    let hosts = deployment
        .sides
        .iter()
        .map(|side| {
            let run = HostRun {
                id: format!("i-{:08x}", random()),
                born: unix_ms(),
                work: ms(20),
            };
            start_host(deployment, side, run)
        })
        .collect();
    deployment.start_probes();
    let start = Instant::now();
    while deployment.ready_fronts() < deployment.fronts.len() {
        if start.elapsed() > ms(20_000) {
            deployment.fail("the fronts are not ready");
        }
        sleep(ms(100));
    }
    sleep(ms(10_000).saturating_sub(start.elapsed()));
    deployment.record.note("traffic starts");
    (store, hosts)
}
