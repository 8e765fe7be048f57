//! Engines and callers that send bytes without end, and streams that are slow or stalled, with real
//! processes and connections.

mod support;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use support::platform::{
    API_KEY, End, Engine, Gateway, Message, Reaction, UNFRAMED, config, event, events, exchange,
    ok, registration, request, start_gateway, wait_for,
};

/// Bytes that an endless sender writes at most; the test fails before that.
const ENDLESS_BYTES: u64 = 64 * 1024 * 1024;

/// Engine that answers each request with a head and then the same bytes until the connection closes.
struct EndlessEngine {
    address: String,
    connections: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    sent: Arc<AtomicU64>,
}

impl EndlessEngine {
    /// `head` may contain `ID`, which stands for the id of the attempt.
    fn start(head: &'static str, bytes: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Self {
            address: listener.local_addr().unwrap().to_string(),
            connections: Arc::default(),
            open: Arc::default(),
            sent: Arc::default(),
        };
        let (connections, open, sent) = (
            engine.connections.clone(),
            engine.open.clone(),
            engine.sent.clone(),
        );
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (open, sent) = (open.clone(), sent.clone());
                connections.fetch_add(1, Ordering::Relaxed);
                open.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || {
                    let id = read_id(&mut stream);
                    let _ = stream.write_all(head.replace("ID", &id).as_bytes());
                    let block = bytes.repeat(1 + 4096 / bytes.len());
                    while sent.load(Ordering::Relaxed) < ENDLESS_BYTES
                        && stream.write_all(&block).is_ok()
                    {
                        sent.fetch_add(block.len() as u64, Ordering::Relaxed);
                    }
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        engine
    }

    fn registration(&self, service: &str, domain: &str) -> serde_json::Value {
        let mut entry = registration(&self.address, service, domain);
        entry["batch-slots"] = json!(100);
        entry
    }
}

/// Reads a request to its end and returns the id of the attempt, which is empty if the connection has
/// no request. A connection that is closed with unread bytes is reset, and its last bytes may be lost.
fn read_id(stream: &mut TcpStream) -> String {
    let request = Message::read(&mut BufReader::new(stream));
    let id = request.and_then(|request| request.headers.get("x-bilberrypost-attempt-id").cloned());
    id.unwrap_or_default()
}

fn headers(id: &str, deadline_ms: u32) -> String {
    format!(
        "x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-deadline-ms: {deadline_ms}\r\n\
         x-bilberrypost-credential: {API_KEY}\r\nx-bilberrypost-token-count: 100,70\r\n"
    )
}

const HEAD: &str = "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: ID\r\n\
                    x-bilberrypost-response-seal: s\r\n";
const CHUNKED: &str = "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: ID\r\n\
                       x-bilberrypost-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const TRAILERS: &str = "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: ID\r\n\
                        x-bilberrypost-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n\
                        2\r\nhi\r\n0\r\n";

/// Guards against a call or stream that hangs, is taken for complete or keeps its connection while
/// an engine sends bytes without end in any part of a response.
#[test]
fn endless_bytes_of_an_engine_end_in_time() {
    let cases: [(&str, &'static str, &'static [u8]); 7] = [
        ("status line", "HTTP/1.1 200 ", b"x"),
        ("informational responses", "", b"HTTP/1.1 102 x\r\n\r\n"),
        ("head", HEAD, b"x-more: and more\r\n"),
        ("chunk header", CHUNKED, b"0"),
        ("trailer", TRAILERS, b"x-more: and more\r\n"),
        ("chunks", CHUNKED, b"4\r\nabcd\r\n"),
        ("body without a length", UNFRAMED, b"abcd"),
    ];
    for (name, head, bytes) in cases {
        for (path, service) in [("/once/x", "app"), ("/stream/x", "model")] {
            let engine = EndlessEngine::start(head, bytes);
            let entry = engine.registration(service, "fd-a");
            let (_store, gateway) = start_gateway(config(3), &[("i-1", entry)]);
            let started = Instant::now();
            let answer = gateway.send("POST", path, &headers("r1", 3000), "b");
            assert!(
                started.elapsed() < Duration::from_secs(8),
                "{name}: {:?}",
                started.elapsed()
            );
            let is_complete = answer
                .is_some_and(|answer| answer.status() == 200 && answer.header("broken").is_none());
            assert!(!is_complete, "{name} on {path} was taken for a response");
            wait_for("closed connections", || {
                engine.open.load(Ordering::Relaxed) == 0
            });
            assert!(
                engine.sent.load(Ordering::Relaxed) < ENDLESS_BYTES,
                "{name}"
            );
        }
    }
}

/// Guards against an engine that works on for a caller that left in the middle of a long response.
#[test]
fn a_caller_that_leaves_ends_a_long_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let is_closed = Arc::new(AtomicUsize::new(0));
    let closed = is_closed.clone();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let id = read_id(&mut stream);
        let text = "x".repeat(64 * 1024);
        let head = CHUNKED.replace("ID", &id);
        let chunk = format!("{head}{:x}\r\n{text}\r\n", text.len());
        stream.write_all(chunk.as_bytes()).unwrap();
        // Nothing follows; the read ends when the gateway closes the connection.
        let _ = stream.read_to_end(&mut Vec::new());
        closed.store(1, Ordering::Relaxed);
    });
    let entry = registration(&address, "app", "fd-a");
    let (_store, gateway) = start_gateway(config(3), &[("i-1", entry)]);
    let mut caller = TcpStream::connect(&gateway.process.address).unwrap();
    let text = request("GET", "/any/x", &headers("r1", 20_000), "");
    caller.write_all(text.as_bytes()).unwrap();
    // All that the engine sent is forwarded before the caller leaves.
    caller.read_exact(&mut [0; 64 * 1024]).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // The call may take 20 s; the engine must see long before that that its caller left.
    let left_at = Instant::now();
    drop(caller);
    wait_for("a closed connection to the engine", || {
        is_closed.load(Ordering::Relaxed) == 1
    });
    let elapsed = left_at.elapsed();
    assert!(elapsed < Duration::from_secs(8), "{elapsed:?}");
}

/// Returns the resident memory of a process in bytes.
fn memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: u64 = line.unwrap().trim_end_matches("kB").trim().parse().unwrap();
    kib * 1024
}

/// Guards against a host whose memory grows with what engines send without end: 25 streams whose event
/// has no end and 25 calls whose body has none take about as much as as many ordinary ones.
#[test]
fn endless_bytes_do_not_fill_the_memory() {
    let stream = EndlessEngine::start(CHUNKED, b"4\r\nabcd\r\n");
    let call = EndlessEngine::start(CHUNKED, b"4\r\nabcd\r\n");
    let (_store, gateway) = start_gateway(
        config(3),
        &[
            ("i-1", stream.registration("model", "fd-a")),
            ("i-2", call.registration("app", "fd-a")),
        ],
    );
    let sound_stream = Engine::start("i-8", |_| {
        Reaction::TaggedEvents(10, End::Complete, Duration::from_millis(100))
    });
    let sound_call = Engine::start("i-9", |_| {
        std::thread::sleep(Duration::from_millis(1000));
        ok()
    });
    let mut stream_entry = sound_stream.registration("model", "fd-a");
    stream_entry["batch-slots"] = json!(100);
    let (_sound_store, sound_gateway) = start_gateway(
        config(3),
        &[
            ("i-8", stream_entry),
            ("i-9", sound_call.registration("app", "fd-a")),
        ],
    );
    let path = |number| match number % 2 {
        0 => "/once/x",
        _ => "/stream/x",
    };
    let ordinary = peak_memory(&sound_gateway, path);
    let endless = peak_memory(&gateway, path);
    println!("{ordinary} bytes with ordinary responses, {endless} with endless ones");
    assert!(
        endless < ordinary + 2 * 1024 * 1024,
        "{ordinary} bytes with ordinary responses, {endless} with endless ones"
    );
}

/// Sends 50 requests at once and returns the highest resident memory of the gateway meanwhile.
fn peak_memory(gateway: &Gateway, path: impl Fn(usize) -> &'static str) -> u64 {
    let send = |number: usize| {
        let headers = headers(&format!("r{number}"), 3000);
        let text = request("POST", path(number), &headers, "b");
        let address = gateway.process.address.clone();
        std::thread::spawn(move || exchange(&address, &text))
    };
    let threads: Vec<_> = (0..50).map(send).collect();
    let mut peak = 0;
    while !threads.iter().all(|thread| thread.is_finished()) {
        peak = peak.max(memory(gateway.process.id()));
        std::thread::sleep(Duration::from_millis(20));
    }
    peak
}

/// Guards against bytes that are lost, repeated or reordered where a caller reads more slowly than its
/// engine sends, so that each socket on the way is full again and again.
#[test]
fn a_slow_caller_gets_all_of_a_long_response() {
    let text: String = (0..400_000).map(|number| format!("{number:07}-")).collect();
    let body = text.clone();
    let app = Engine::start("i-1", move |_| Reaction::Response(200, body.clone()));
    let (_store, gateway) = start_gateway(config(3), &[("i-1", app.registration("app", "fd-a"))]);
    let mut caller = gateway.open("GET", "/any/x", &headers("r1", 20_000), "");
    let mut received = Vec::new();
    let mut block = [0; 64 * 1024];
    while !received.ends_with(b"0\r\n\r\n") {
        std::thread::sleep(Duration::from_millis(5));
        let read = caller.read(&mut block).unwrap();
        assert!(read > 0, "cut after {} bytes", received.len());
        received.extend_from_slice(&block[..read]);
    }
    let message = Message::read(&mut BufReader::new(received.as_slice())).unwrap();
    assert!(message.text() == text, "{} bytes", message.text().len());
}

/// Guards against a caller that sends bytes without end in a head, a chunk header or a body, and so
/// keeps a connection and memory of the host.
#[test]
fn endless_bytes_of_a_caller_end_in_time() {
    let app = Engine::start("i-1", |_| ok());
    let (_store, gateway) = start_gateway(config(3), &[("i-1", app.registration("app", "fd-a"))]);
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: shop.example\r\n{}transfer-encoding: chunked\r\n\r\n",
        headers("r1", 3000)
    );
    let cases: [(&str, &str, &[u8]); 4] = [
        ("request line", "POST /", b"x"),
        ("head", "POST /once/x HTTP/1.1\r\n", b"x-more: and more\r\n"),
        ("chunk header", &head, b"0"),
        ("chunks", &head, b"4\r\nabcd\r\n"),
    ];
    for (name, head, bytes) in cases {
        let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        let block = bytes.repeat(1 + 4096 / bytes.len());
        let mut sent = 0;
        while stream.write_all(&block).is_ok() {
            sent += block.len() as u64;
            assert!(
                sent < ENDLESS_BYTES,
                "{name}: still open after {sent} bytes"
            );
        }
    }
    assert_eq!(app.request_count(), 0);
    assert_eq!(gateway.status("POST", "/once/x", "next", "b"), 200);
}

/// Engine whose streams send text at intervals, with the pause before each; `ID` stands for the id
/// of the attempt. Returns its address and the count of its streams.
fn start_paced(
    parts: impl Fn(u64) -> Vec<(Duration, String)> + Send + Sync + 'static,
) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (streams, parts) = (Arc::new(AtomicUsize::new(0)), Arc::new(parts));
    let count = streams.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (count, parts) = (count.clone(), parts.clone());
            std::thread::spawn(move || {
                let id = read_id(&mut stream);
                if id.is_empty() {
                    // A connection that only checks whether the engine is alive.
                    return;
                }
                let number = count.fetch_add(1, Ordering::Relaxed) as u64;
                let _ = stream.write_all(CHUNKED.replace("ID", &id).as_bytes());
                for (pause, text) in parts(number) {
                    std::thread::sleep(pause);
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    if stream.write_all(chunk.as_bytes()).is_err() {
                        return;
                    }
                }
                let _ = stream.write_all(b"0\r\n\r\n");
            });
        }
    });
    (address, streams)
}

/// Guards against a slow but sound stream that is cut or moved to other engines until it has no
/// attempts left. Its events have nearly the longest gap that the route allows.
#[test]
fn a_slow_but_sound_stream_goes_on() {
    let parts = |_| {
        let events = (1..=10).map(|number| (Duration::from_millis(600), event(number)));
        events.collect()
    };
    let (address, streams) = start_paced(parts);
    let (other, moved) = start_paced(parts);
    let (_store, gateway) = start_gateway(
        config(3),
        &[
            ("i-1", registration(&address, "model", "fd-a")),
            ("i-2", registration(&other, "model", "fd-b")),
        ],
    );
    let answer = gateway
        .send("POST", "/stream/x", &headers("s1", 20_000), "p")
        .unwrap();
    assert_eq!(answer.text(), events(1, 10));
    assert_eq!(answer.header("broken"), None);
    let attempts = streams.load(Ordering::Relaxed) + moved.load(Ordering::Relaxed);
    assert_eq!(attempts, 1);
}

/// Guards against a stalled stream that is kept until its deadline because its engine still sends a
/// byte, a comment or an empty line now and then.
#[test]
fn a_stalled_stream_goes_on_elsewhere() {
    for filler in ["x", ": still here\n\n", "\n"] {
        let parts = move |number: u64| {
            let mut parts: Vec<_> = (1..=3)
                .map(|number| (Duration::from_millis(20), event(number)))
                .collect();
            match number {
                0 => parts.extend((0..400).map(|_| (Duration::from_millis(50), filler.into()))),
                _ => {
                    parts = (4..=8)
                        .map(|number| (Duration::ZERO, event(number)))
                        .collect()
                }
            }
            parts
        };
        // Both addresses belong to one stand-in, so that the second attempt is its second stream.
        let (address, streams) = start_paced(parts);
        let port = address.rsplit(':').next().unwrap();
        let (_store, gateway) = start_gateway(
            config(3),
            &[
                ("i-1", registration(&address, "model", "fd-a")),
                (
                    "i-2",
                    registration(&format!("127.0.0.1:{port}"), "model", "fd-b"),
                ),
            ],
        );
        let started = Instant::now();
        let answer = gateway
            .send("POST", "/stream/x", &headers("s1", 20_000), "p")
            .unwrap();
        let text = answer.text().replace(filler, "");
        let expected = events(1, 8).replace(filler, "");
        assert_eq!(text, expected, "{filler:?}");
        assert!(started.elapsed() < Duration::from_secs(5), "{filler:?}");
        assert_eq!(streams.load(Ordering::Relaxed), 2, "{filler:?}");
    }
}
