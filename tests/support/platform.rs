//! Emulated store, engines and backend servers of the users' platform, and a gateway process. They use
//! plain sockets, because HTTP libraries do not send malformed messages.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use bilberrypost::gateway;
use bilberrypost::peer::report::Report;
use bilberrypost::route::evidence::Evidence;
use bilberrypost::route::placing::Policy;
use bilberrypost::sched::demand::Counts;
use bilberrypost::sched::retry;
use compact_str::CompactString;
use rustix::net::{self, AddressFamily, SocketType};
use serde_json::{Value, json};

use super::{Process, TEST_TIMEOUT};

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Values by lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the status code of a response, or 0 if it cannot be parsed.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1).unwrap_or("0");
        status.parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads a message; `None` if the connection is closed. A message with an incomplete body gets
    /// the header `broken`; complete chunks of the body are kept.
    pub fn read<R: BufRead>(reader: &mut R) -> Option<Self> {
        let mut message = Self {
            first_line: read_line(reader)?,
            ..Self::default()
        };
        while let Some(header) = read_line(reader).filter(|line| !line.is_empty()) {
            if let Some((name, value)) = header.split_once(':') {
                message
                    .headers
                    .insert(name.to_lowercase(), value.trim().into());
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.read_chunks(reader);
        } else if let Some(length) = message.header("content-length") {
            let mut body = vec![0; length.parse().unwrap()];
            match reader.read_exact(&mut body) {
                Ok(()) => message.body = body,
                Err(_) => message.mark_broken(),
            }
        }
        Some(message)
    }

    fn read_chunks<R: BufRead>(&mut self, reader: &mut R) {
        loop {
            let Some(size) = read_line(reader) else {
                return self.mark_broken();
            };
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return self.mark_broken();
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return self.mark_broken();
            }
            if size == 0 {
                return;
            }
            self.body.extend_from_slice(&chunk[..size]);
        }
    }

    fn mark_broken(&mut self) {
        self.headers.insert("broken".into(), "yes".into());
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(line.trim_end().into()),
    }
}

fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// A loopback address that refuses connections, and that no other program gets until it is dropped.
pub struct RefusingAddress {
    pub address: String,
    _bound: OwnedFd,
}

impl RefusingAddress {
    pub fn new() -> Self {
        let bound = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        net::bind(&bound, &any_port).unwrap();
        let address = SocketAddrV4::try_from(net::getsockname(&bound).unwrap()).unwrap();
        Self {
            address: address.to_string(),
            _bound: bound,
        }
    }
}

/// How the store responds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    #[default]
    Normal,
    /// Each call gets status 503.
    Unavailable,
    /// The next watch gets status 410, as its history is gone; then the store responds normally.
    HistoryGone,
    /// Each watch gets status 410 after 50 ms, and lists show each object as it was before its last
    /// change.
    Stale,
}

/// Copy of all that a store held at a revision.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    // Objects by kind and name, with the revision of their last change; `None` if removed.
    objects: BTreeMap<(String, String), (u64, Option<Value>)>,
    // Statuses by kind and name.
    statuses: BTreeMap<(String, String), Value>,
}

#[derive(Debug, Default)]
struct Objects {
    mode: Mode,
    current: Copy,
    // Number of times that the store came back from an older copy.
    era: u64,
    // The previous value of each object that was changed.
    previous: BTreeMap<(String, String), Value>,
    // Values that are not valid JSON. In `objects`, the text `raw-NUMBER-` stands for each.
    raw: Vec<Vec<u8>>,
    calls: u64,
    // All statuses that were written, in order.
    written: Vec<Value>,
}

/// Emulated store of the platform.
#[derive(Clone)]
pub struct Store {
    pub address: String,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = listen();
        let store = Self {
            address,
            objects: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve_connection(stream));
            }
        });
        store
    }

    /// Starts a store that holds a configuration, and engines by id and spec.
    pub fn with(config: Value, engines: &[(&str, Value)]) -> Self {
        let store = Self::start();
        store.put("config", "main", config);
        for (id, registration) in engines {
            store.put("servers", id, registration.clone());
        }
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.change(kind, name, Some(spec));
    }

    /// Stores a value that may be no valid JSON.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut objects = self.objects.0.lock().unwrap();
        let text = format!("raw-{}-", objects.raw.len());
        objects.raw.push(spec.into());
        drop(objects);
        self.change(kind, name, Some(json!(text)));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    pub fn set_mode(&self, mode: Mode) {
        self.objects.0.lock().unwrap().mode = mode;
        self.objects.1.notify_all();
    }

    /// Returns a copy of all that the store holds.
    pub fn copy(&self) -> Copy {
        self.objects.0.lock().unwrap().current.clone()
    }

    /// Comes back from an older copy: later writes are gone, and their revisions are given out again.
    /// Waiting watches stay open and are not told.
    pub fn restore(&self, copy: &Copy) {
        let mut objects = self.objects.0.lock().unwrap();
        objects.current = copy.clone();
        objects.era += 1;
    }

    /// Returns all statuses that were written, in order.
    pub fn written_statuses(&self) -> Vec<Value> {
        self.objects.0.lock().unwrap().written.clone()
    }

    /// Returns the number of calls that the store received.
    pub fn calls(&self) -> u64 {
        self.objects.0.lock().unwrap().calls
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut objects = self.objects.0.lock().unwrap();
        objects.current.revision += 1;
        let revision = objects.current.revision;
        let key = (kind.to_owned(), name.to_owned());
        if spec.is_none() {
            objects.current.statuses.remove(&key);
        }
        let old = objects
            .current
            .objects
            .insert(key.clone(), (revision, spec));
        if let Some((_, Some(old))) = old {
            objects.previous.insert(key, old);
        }
        self.objects.1.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(request) = Message::read(&mut reader) {
            let mut words = request.first_line.split(' ');
            let (method, path) = (words.next().unwrap(), words.next().unwrap());
            let (status, body, era) = match method {
                "PUT" => self.replace_status(path, &request.body),
                _ => self.respond(path),
            };
            let body = self.encode(&body);
            let head = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\nstore-era: {era}\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            if stream
                .write_all(&[head.as_bytes(), &body].concat())
                .is_err()
            {
                return;
            }
        }
    }

    /// Returns the text of a body, with the values that are not valid JSON in their places.
    fn encode(&self, body: &Value) -> Vec<u8> {
        let text = body.to_string();
        let objects = self.objects.0.lock().unwrap();
        let mut encoded = Vec::new();
        let mut rest = text.as_str();
        while let Some((before, after)) = rest.split_once("\"raw-") {
            let (number, after) = after.split_once("-\"").unwrap();
            encoded.extend_from_slice(before.as_bytes());
            encoded.extend_from_slice(&objects.raw[number.parse::<usize>().unwrap()]);
            rest = after;
        }
        encoded.extend_from_slice(rest.as_bytes());
        encoded
    }

    /// Replaces the status of an object if the call carries the object's revision. Returns the status and
    /// body of the response, and its era.
    fn replace_status(&self, path: &str, body: &[u8]) -> (u16, Value, u64) {
        let path = path.strip_prefix("/bilberrypost/objects/").unwrap();
        let (kind, name) = path
            .strip_suffix("/status")
            .unwrap()
            .split_once('/')
            .unwrap();
        let sent: Value = serde_json::from_slice(body).unwrap();
        let mut objects = self.objects.0.lock().unwrap();
        objects.calls += 1;
        if objects.mode == Mode::Unavailable {
            return (503, json!({}), objects.era);
        }
        let key = (kind.to_owned(), name.to_owned());
        let Some((revision, Some(spec))) = objects.current.objects.get(&key).cloned() else {
            return (404, json!({}), objects.era);
        };
        let is_current = sent["metadata"]["revision"] == revision;
        if is_current {
            let status = sent["status"].clone();
            objects.written.push(status.clone());
            objects.current.statuses.insert(key.clone(), status);
            objects.current.revision += 1;
            let revision = objects.current.revision;
            objects
                .current
                .objects
                .insert(key, (revision, Some(spec.clone())));
            self.objects.1.notify_all();
        }
        let (revision, _) = objects.current.objects[&(kind.to_owned(), name.to_owned())];
        let object = objects.object_json(kind, &(name.to_owned(), revision, Some(spec)));
        (if is_current { 200 } else { 409 }, object, objects.era)
    }

    /// Returns the status and body of the response to a list or watch, and its era.
    fn respond(&self, path: &str) -> (u16, Value, u64) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let kind = path.strip_prefix("/bilberrypost/objects/").unwrap();
        let query: BTreeMap<_, _> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let mut objects = self.objects.0.lock().unwrap();
        objects.calls += 1;
        if objects.mode == Mode::Unavailable {
            return (503, json!({}), objects.era);
        }
        let Some(from) = query.get("watch-revision") else {
            // Small, so that tests cover lists of several pages.
            const PAGE_SIZE: usize = 2;
            let after = query.get("after").copied().unwrap_or("");
            let mut entries: Vec<_> = objects
                .of_kind(kind, 0)
                .into_iter()
                .filter(|(name, _, spec)| name.as_str() > after && spec.is_some())
                .collect();
            if objects.mode == Mode::Stale {
                for (name, _, spec) in &mut entries {
                    let key = (kind.to_owned(), name.clone());
                    *spec = objects.previous.get(&key).cloned().or(spec.take());
                }
            }
            let has_more = entries.len() > PAGE_SIZE;
            entries.truncate(PAGE_SIZE);
            let entries = entries.iter().map(|entry| objects.object_json(kind, entry));
            let entries: Vec<_> = entries.collect();
            let at = objects.current.revision;
            let page = json!({"entries": entries, "has-more": has_more, "at": at});
            return (200, page, objects.era);
        };
        let from: u64 = from.parse().unwrap();
        let wait = Duration::from_millis(query["wait-ms"].parse().unwrap());
        let deadline = Instant::now() + wait;
        if from > objects.current.revision {
            return (410, json!({}), objects.era);
        }
        loop {
            if objects.mode == Mode::HistoryGone {
                objects.mode = Mode::Normal;
                return (410, json!({}), objects.era);
            }
            if objects.mode == Mode::Stale {
                let era = objects.era;
                drop(objects);
                std::thread::sleep(Duration::from_millis(50));
                return (410, json!({}), era);
            }
            let changed = objects.of_kind(kind, from);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || remaining.is_zero() || objects.mode != Mode::Normal {
                let events: Vec<_> = changed
                    .iter()
                    .map(|entry| {
                        let object = objects.object_json(kind, entry);
                        json!({"removed": entry.2.is_none(), "object": object})
                    })
                    .collect();
                let at = objects.current.revision;
                return (200, json!({"events": events, "at": at}), objects.era);
            }
            objects = self.objects.1.wait_timeout(objects, remaining).unwrap().0;
        }
    }
}

/// Name, revision of the last change, and value; `None` if removed.
type Entry = (String, u64, Option<Value>);

impl Objects {
    fn object_json(&self, kind: &str, (name, revision, spec): &Entry) -> Value {
        let status = self.current.statuses.get(&(kind.to_owned(), name.clone()));
        json!({"metadata": {"name": name, "revision": revision}, "spec": spec, "status": status})
    }

    /// Returns the objects of a kind that changed after revision `from`.
    fn of_kind(&self, kind: &str, from: u64) -> Vec<Entry> {
        let entries = self.current.objects.iter();
        entries
            .filter(|((of, _), (revision, _))| of == kind && *revision > from)
            .map(|((_, name), (revision, spec))| (name.clone(), *revision, spec.clone()))
            .collect()
    }
}

/// Reaction of an engine to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reaction {
    /// Sends a complete response with this status and body.
    Response(u16, String),
    /// Responds that it did not execute the request.
    NotExecuted,
    /// Closes the connection without a response.
    Close,
    /// Sends this text with `ID` replaced by the attempt's id, and closes the connection.
    Raw(String),
    /// Like `Raw`, but resets the connection.
    Reset(String),
    /// Like `Raw`, and the engine's process ends: its address refuses further connections.
    Crash(String),
    /// Streams the events up to this number, then ends the stream as given.
    Events(u64, End),
    /// Reacts after this time; the engine serves other requests meanwhile.
    After(Duration, Box<Reaction>),
    /// Like `Events`, with the attempt's id in each event and a pause before each.
    TaggedEvents(u64, End, Duration),
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Complete,
    /// The connection closes in the middle of the next event.
    HalfEvent,
    /// An event follows every 20 ms until the caller closes the connection.
    Endless,
    /// Nothing follows for a while; then the events up to this number and the end.
    Pause(Duration, u64),
    /// Nothing follows, and the engine accepts no more connections.
    Unresponsive,
    /// The engine's process ends: its connection closes, and its address refuses further ones.
    Crash,
}

/// Decides the reaction to each request.
type Script = Box<dyn Fn(&Message) -> Reaction + Send>;

/// Emulated model engine or backend server.
pub struct Engine {
    pub id: String,
    pub address: String,
    /// Requests in order of arrival.
    pub received: Arc<Mutex<Vec<Message>>>,
    script: Arc<Mutex<Script>>,
    listener: Arc<Mutex<Option<TcpListener>>>,
    // Whether new connections wait unanswered.
    blocked: Arc<(Mutex<bool>, Condvar)>,
    // Connections that fill the queue of a blocked listener.
    fillers: Mutex<Vec<TcpStream>>,
}

impl Engine {
    pub fn start(id: &str, script: impl Fn(&Message) -> Reaction + Send + 'static) -> Self {
        let (listener, address) = listen();
        let engine = Self {
            id: id.into(),
            address,
            received: Arc::default(),
            script: Arc::new(Mutex::new(Box::new(script))),
            listener: Arc::new(Mutex::new(Some(listener))),
            blocked: Arc::default(),
            fillers: Mutex::default(),
        };
        let (received, script, id) = (
            engine.received.clone(),
            engine.script.clone(),
            id.to_owned(),
        );
        let (listener, blocked) = (engine.listener.clone(), engine.blocked.clone());
        std::thread::spawn(move || {
            loop {
                let accepting = listener
                    .lock()
                    .unwrap()
                    .as_ref()
                    .map(|l| l.try_clone().unwrap());
                let Some(accepting) = accepting else { return };
                let Ok((stream, _)) = accepting.accept() else {
                    return;
                };
                let waiting = blocked.0.lock().unwrap();
                drop(blocked.1.wait_while(waiting, |blocked| *blocked).unwrap());
                let (received, script, id, listener) = (
                    received.clone(),
                    script.clone(),
                    id.clone(),
                    listener.clone(),
                );
                std::thread::spawn(move || {
                    serve_connection(stream, &id, &received, &script, &listener)
                });
            }
        });
        engine
    }

    pub fn set_script(&self, script: impl Fn(&Message) -> Reaction + Send + 'static) {
        *self.script.lock().unwrap() = Box::new(script);
    }

    /// Leaves new connections without an answer, as a host that is cut off does. Open ones stay.
    pub fn block_connections(&self) {
        *self.blocked.0.lock().unwrap() = true;
        self.set_backlog(0);
        let address = self.address.parse().unwrap();
        let mut fillers = self.fillers.lock().unwrap();
        let mut failures = 0;
        // The accepting thread may take a connection after the first failure.
        while failures < 2 {
            match TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
                Ok(filler) => fillers.push(filler),
                Err(_) => failures += 1,
            }
        }
    }

    /// Answers new connections again.
    pub fn unblock_connections(&self) {
        self.set_backlog(128);
        *self.blocked.0.lock().unwrap() = false;
        self.blocked.1.notify_all();
        self.fillers.lock().unwrap().clear();
    }

    fn set_backlog(&self, backlog: i32) {
        let listener = self.listener.lock().unwrap();
        rustix::net::listen(listener.as_ref().unwrap(), backlog).unwrap();
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Returns the engine's spec in the store.
    pub fn registration(&self, service: &str, domain: &str) -> Value {
        registration(&self.address, service, domain)
    }
}

/// Returns the spec in the store of an engine at an address.
pub fn registration(address: &str, service: &str, domain: &str) -> Value {
    json!({"service": service, "address": address, "zone": domain, "version": "v1",
           "batch-slots": 12, "lifecycle": "available", "cold-remaining-ms": 0,
           "sequence": 4, "born": 1})
}

/// Starts engines `i-1` and `i-2` with the same script.
pub fn two_engines(script: impl Fn(&Message) -> Reaction + Clone + Send + 'static) -> [Engine; 2] {
    ["i-1", "i-2"].map(|id| Engine::start(id, script.clone()))
}

/// Script of a stream that ends as given after event `first_end`, and up to event `last` where it is
/// resumed.
pub fn resumable(
    first_end: u64,
    end: End,
    last: u64,
) -> impl Fn(&Message) -> Reaction + Clone + Send + 'static {
    move |request| match request.header("last-event-id") {
        None => Reaction::Events(first_end, end),
        Some(_) => Reaction::Events(last, End::Complete),
    }
}

/// A complete response with status 200.
pub fn ok() -> Reaction {
    Reaction::Response(200, "done".into())
}

/// Head of a successful response without a length and chunks, which ends with its connection; `ID`
/// stands for the id of the attempt.
pub const UNFRAMED: &str = "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: ID\r\n\
                            x-bilberrypost-response-seal: s\r\n\r\n";

/// Makes the connection end with a reset when it is dropped.
pub fn reset(stream: &TcpStream) {
    rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
}

/// Text of event `number`.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece-{number}\n\n")
}

/// Report of a host in `domain` that knows nothing and runs nothing.
pub fn empty_report(domain: &str) -> Report {
    Report {
        number: 1,
        process: 1,
        domain: domain.into(),
        revision: 0,
        is_leaving: false,
        is_question: false,
        hosts: BTreeMap::new(),
        usages: Vec::new(),
        retries: Vec::new(),
        counts: Counts::default(),
        losses: Vec::new(),
        removals: Vec::new(),
        evidence: Evidence::default(),
        sightings: Vec::new(),
        rollouts: None,
        streams: Vec::new(),
        summaries: Vec::new(),
    }
}

/// Text of event `number` with the id of its attempt.
pub fn tagged_event(number: u64, id: &str) -> String {
    format!("id: {number}\ndata: piece-{number}-of-{id}\n\n")
}

/// Text of the events from `first` to `last`.
pub fn events(first: u64, last: u64) -> String {
    (first..=last).map(event).collect()
}

fn serve_connection(
    mut stream: TcpStream,
    id: &str,
    received: &Mutex<Vec<Message>>,
    script: &Mutex<Script>,
    listener: &Mutex<Option<TcpListener>>,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Message::read(&mut reader) {
        let attempt = request
            .header("x-bilberrypost-attempt-id")
            .unwrap_or("")
            .to_owned();
        if request
            .header("x-bilberrypost-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let _ = stream.write_all(b"HTTP/1.1 421 x\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        let mut reaction = (script.lock().unwrap())(&request);
        while let Reaction::After(delay, next) = reaction {
            std::thread::sleep(delay);
            reaction = *next;
        }
        received.lock().unwrap().push(request.clone());
        let common = format!(
            "x-bilberrypost-attempt-id: {attempt}\r\nx-bilberrypost-response-seal: seal-{id}\r\n"
        );
        match reaction {
            Reaction::Response(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\n{common}content-length: {}\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all((head + &body).as_bytes());
            }
            Reaction::NotExecuted => {
                let head =
                    "HTTP/1.1 503 x\r\nx-bilberrypost-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                let _ = stream.write_all(head.as_bytes());
            }
            Reaction::Close | Reaction::After(..) => return,
            Reaction::Raw(text) => {
                let _ = stream.write_all(text.replace("ID", &attempt).as_bytes());
                return;
            }
            Reaction::Reset(text) => {
                let _ = stream.write_all(text.replace("ID", &attempt).as_bytes());
                reset(&stream);
                return;
            }
            Reaction::Crash(text) => {
                let _ = stream.write_all(text.replace("ID", &attempt).as_bytes());
                return stop_listening(&stream, listener);
            }
            Reaction::Events(last, end) | Reaction::TaggedEvents(last, end, _) => {
                let (is_tagged, pause) = match reaction {
                    Reaction::TaggedEvents(_, _, pause) => (true, pause),
                    _ => (false, Duration::ZERO),
                };
                let text_of = |number| match is_tagged {
                    true => tagged_event(number, &attempt),
                    false => event(number),
                };
                let first = request
                    .header("last-event-id")
                    .map_or(1, |id| id.parse::<u64>().unwrap() + 1);
                let head = format!(
                    "HTTP/1.1 200 x\r\n{common}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes());
                for number in first..=last {
                    std::thread::sleep(pause);
                    let text = text_of(number);
                    let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
                }
                match end {
                    End::Complete => {
                        let _ = stream.write_all(b"0\r\n\r\n");
                    }
                    End::Pause(pause, last_after) => {
                        std::thread::sleep(pause);
                        let rest: String = (last + 1..=last_after).map(text_of).collect();
                        let end = format!("{:x}\r\n{rest}\r\n0\r\n\r\n", rest.len());
                        let _ = stream.write_all(end.as_bytes());
                    }
                    End::HalfEvent => {
                        let _ = stream.write_all(b"8\r\nid: 9999\r\n");
                        return;
                    }
                    End::Endless => {
                        for number in last + 1.. {
                            std::thread::sleep(Duration::from_millis(20));
                            let text = text_of(number);
                            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                            if stream.write_all(chunk.as_bytes()).is_err() {
                                return;
                            }
                        }
                    }
                    End::Crash => {
                        return stop_listening(&stream, listener);
                    }
                    End::Unresponsive => {
                        // The accepting thread holds another handle of the listener; the connection
                        // wakes the thread, so that it drops its handle too.
                        listener.lock().unwrap().take();
                        let own = stream.local_addr().unwrap();
                        let _ = TcpStream::connect(own);
                        let mut rest = Vec::new();
                        let _ = reader.read_to_end(&mut rest);
                        return;
                    }
                }
            }
        }
    }
}

/// Closes the listener, and waits until its address refuses connections.
fn stop_listening(stream: &TcpStream, listener: &Mutex<Option<TcpListener>>) {
    listener.lock().unwrap().take();
    let own = stream.local_addr().unwrap();
    // Wakes the accepting thread, which then drops its handle of the listener.
    while TcpStream::connect(own).is_ok() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Port for messages between gateways, outside of the range from which the system draws ports.
pub const PEER_PORT: u16 = 7200;

/// Returns loopback addresses that no other test uses, so that [`PEER_PORT`] is free on them.
pub fn own_ips<const N: usize>() -> [String; N] {
    std::array::from_fn(|_| own_ip())
}

/// Returns a loopback address that no other test uses.
pub fn own_ip() -> String {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let host = 1 + LAST.fetch_add(1, Ordering::Relaxed) % 254;
    format!("127.{}.{}.{host}", 1 + (process >> 8) % 254, process % 256)
}

/// API key of the tenant in [`config`].
pub const API_KEY: &str = "secret-key-of-the-team";

/// Returns a configuration with the routes `/once/` (not idempotent), `/any/` (idempotent), `/open/`
/// (idempotent, anonymous) and `/stream/` (streaming).
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "shop.example", "path-prefix": format!("/{name}/"),
               "route-type": kind, "timeout-ms": 20000, "target-latency-ms": 150,
               "priority": 2, "service": service, "max-attempts": 3,
               "anonymous": name == "open", "stream-resume": kind == "streaming",
               "target-gap-ms": 700})
    };
    json!({
        "version": version,
        "routes": [route("once", "non_idempotent", "app"), route("any", "idempotent", "app"),
                   route("open", "idempotent", "app"), route("stream", "streaming", "model")],
        "services": [
            {"name": "app", "health-path": "/healthz", "max-connections": 96},
            {"name": "model", "health-path": "/healthz", "max-connections": 96,
             "engine-id": {"batch-slots": 12, "kv-capacity": 55000, "replicas": true}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "team-a", "api-keys": [API_KEY], "priority": 1}]
    })
}

/// Returns the settings of a gateway; `extra` is appended to the `[platform]` section.
pub fn settings(store: &str, extra: &str) -> String {
    format!(
        "[platform]\nname = host-a\nfailure_domain = fd-a\nlisten = 127.0.0.1:0\n\
         ready_listen = 127.0.0.1:0\nstore = {store}\nretry_ratio = 0.8\nretry_slack = 150\n{extra}\n"
    )
}

/// Returns settings of a gateway that runs inside the test.
pub fn gateway_settings() -> gateway::Settings {
    let address: CompactString = "127.0.0.1:0".into();
    gateway::Settings {
        name: "host-a".into(),
        failure_domain: "fd-a".into(),
        listen: address.clone(),
        ready_listen: address.clone(),
        peers: None,
        peer_keys: None,
        store: address,
        drain_limit: Duration::from_secs(8),
        is_fail_closed: false,
        revoke_limit: Duration::from_secs(5),
        link_mbps: None,
        memory_mb: None,
        max_fds: None,
        placing: Policy::default(),
        retries: retry::Policy {
            ratio: 0.8,
            slack: 150.0,
            window: Duration::from_secs(10),
        },
        rollouts: None,
    }
}

fn settings_path(folder: &tempfile::TempDir) -> std::path::PathBuf {
    folder.path().join("host.ini")
}

fn start_process(folder: &tempfile::TempDir) -> Process {
    let path = settings_path(folder);
    Process::start(&["serve", "-c", path.to_str().unwrap()])
}

/// A gateway process and its settings file.
pub struct Gateway {
    pub process: Process,
    folder: tempfile::TempDir,
}

impl Gateway {
    /// Starts a gateway without waiting until it is ready.
    pub fn start(settings: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(settings_path(&folder), settings).unwrap();
        let process = start_process(&folder);
        Self { process, folder }
    }

    /// Kills the process if it still runs, and starts it again with the same settings file. Nothing
    /// is written, as a busy disk would delay it.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = start_process(&self.folder);
    }

    /// Returns whether the gateway's readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let address = self.process.field("ready_address").unwrap();
        let response = exchange(
            &address,
            "GET /bilberrypost/readyz HTTP/1.1\r\nhost: x\r\n\r\n",
        );
        response.is_some_and(|response| response.status() == 200)
    }

    /// Returns the value of a metric without labels.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let address = self.process.field("ready_address").unwrap();
        let response = exchange(&address, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")?;
        let text = response.text();
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().parse().ok()
    }

    /// Sends a request and returns the response, if there is one.
    pub fn send(&self, method: &str, path: &str, headers: &str, body: &str) -> Option<Message> {
        exchange(&self.process.address, &request(method, path, headers, body))
    }

    /// Sends a request with the tenant's key and returns the status of the response.
    pub fn status(&self, method: &str, path: &str, id: &str, body: &str) -> u16 {
        self.call(method, path, id, body).status()
    }

    /// Sends a request with the tenant's key and returns the response.
    pub fn call(&self, method: &str, path: &str, id: &str, body: &str) -> Message {
        self.send(method, path, &headers(id), body)
            .expect("a response")
    }

    /// Sends a request for a stream and returns the response.
    pub fn stream(&self, id: &str) -> Message {
        self.send("POST", "/stream/x", &stream_headers(id), "prompt")
            .expect("a response")
    }

    /// Sends a request over a new connection without waiting for the response.
    pub fn open(&self, method: &str, path: &str, headers: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(&self.process.address).unwrap();
        let text = request(method, path, headers, body);
        stream.write_all(text.as_bytes()).unwrap();
        stream
    }
}

/// Headers of a request with the tenant's key and a deadline of 20 s.
pub fn headers(id: &str) -> String {
    format!(
        "x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-deadline-ms: 20000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\n"
    )
}

/// Headers of a request for a stream, with a prompt of 1000 tokens.
pub fn stream_headers(id: &str) -> String {
    headers(id) + "x-bilberrypost-token-count: 1000,70\r\n"
}

/// Starts a store with the configuration [`config`] and engines, each with its service and failure
/// domain, and a gateway, and waits until it is ready.
pub fn start(engines: &[(&Engine, &str, &str)]) -> (Store, Gateway) {
    start_gateway(config(3), &registrations(engines))
}

/// Like [`start`], with a configuration, and engines by id and spec.
pub fn start_gateway(config: Value, engines: &[(&str, Value)]) -> (Store, Gateway) {
    let store = Store::with(config, engines);
    let gateway = Gateway::start(&settings(&store.address, ""));
    wait_for("readiness", || gateway.is_ready());
    (store, gateway)
}

/// Returns the id and spec of each engine.
pub fn registrations<'a>(engines: &[(&'a Engine, &str, &str)]) -> Vec<(&'a str, Value)> {
    let with_spec = |(engine, service, domain): &(&'a Engine, &str, &str)| {
        (engine.id.as_str(), engine.registration(service, domain))
    };
    engines.iter().map(with_spec).collect()
}

/// Text of a request to `shop.example`.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request over a new connection and reads one response.
pub fn exchange(address: &str, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// Waits until a condition holds; panics with `what` after [`TEST_TIMEOUT`].
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "no {what} within {TEST_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
