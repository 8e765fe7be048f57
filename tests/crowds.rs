//! Crowds of callers that send unfinished requests or do not read, in front of a gateway process with low
//! limits of memory and descriptors.
//!
//! Each test opens its crowd, keeps it open, and checks that the process stays within its limits and
//! answers an ordinary request.

mod support;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
use serde_json::{Value, json};
use support::TEST_TIMEOUT;
use support::platform::{
    API_KEY, Engine, Gateway, Message, Store, config, exchange, ok, registration, request,
    settings, start_gateway, wait_for,
};

/// Limits of the gateway process.
const MEMORY_MB: u64 = 96;
const FDS_MAX: usize = 400;

/// Descriptors that are kept for files.
const FILE_FDS: usize = 200;

/// Longest body that the configuration allows.
const BODY_BYTES_MAX: usize = 1_000_000;

/// Time in which the memory of the process has not grown when the limits are checked.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Length of an answer that a caller does not read, more than the system's buffers hold.
const LONG_ANSWER_BYTES: usize = 15_000_000;

/// Longest time for which a caller of a crowd waits for room to send.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Lets one crowd at a time run.
fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn crowd_config() -> Value {
    let mut config = config(3);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(120_000);
    }
    for service in config["services"].as_array_mut().unwrap() {
        service["max-connections"] = json!(1000);
    }
    config["limits"]["max-body-bytes"] = json!(BODY_BYTES_MAX);
    config
}

/// A gateway with low limits in front of one engine.
struct Site {
    _engine: Option<Engine>,
    _store: Store,
    gateway: Gateway,
    upstream: String,
}

impl Site {
    fn start() -> Self {
        let engine = Engine::start("i-1", |_| ok());
        let mut site = Self::start_with(&engine.address);
        site._engine = Some(engine);
        site
    }

    fn start_with(engine: &str) -> Self {
        let mut entry = registration(engine, "app", "fd-a");
        entry["batch-slots"] = json!(1000);
        let store = Store::with(crowd_config(), &[("i-1", entry)]);
        let limits = format!("memory_mb = {MEMORY_MB}\nmax_fds = {FDS_MAX}");
        let gateway = Gateway::start(&settings(&store.address, &limits));
        wait_for("readiness", || gateway.is_ready());
        Self {
            _engine: None,
            upstream: engine.into(),
            _store: store,
            gateway,
        }
    }

    /// Opens a connection for each of the `count` callers and sends `text(number)` on it. A gateway that
    /// refuses the rest of it is allowed to.
    fn crowd(&self, count: usize, text: impl Fn(usize) -> Vec<u8>) -> Vec<TcpStream> {
        let send = |number| {
            let mut stream = TcpStream::connect(&self.gateway.process.address).ok()?;
            stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
            let _ = stream.write_all(&text(number));
            Some(stream)
        };
        (0..count).filter_map(send).collect()
    }

    /// Returns the highest resident memory so far and the bytes that wait to be read now, in MB.
    fn memory_mb(&self) -> u64 {
        let port = |address: &str| address.parse::<SocketAddr>().unwrap().port();
        let unread = unread_bytes(port(&self.gateway.process.address), port(&self.upstream));
        peak_memory_mb(self.gateway.process.id()) + unread.div_ceil(1 << 20)
    }

    /// Checks that the process lives, that it stayed within its limits, and that it answers.
    fn check(&mut self) {
        let id = self.gateway.process.id();
        let mut peak = 0;
        while peak < self.memory_mb() {
            peak = self.memory_mb();
            std::thread::sleep(SETTLE_TIME);
            assert!(self.gateway.process.is_running(), "the process ended");
        }
        let sockets = socket_count(id);
        println!("peak of {peak} MB, {sockets} sockets");
        assert!(peak <= MEMORY_MB, "{peak} MB of {MEMORY_MB}");
        let sockets_max = FDS_MAX - FILE_FDS;
        assert!(sockets <= sockets_max, "{sockets} of {sockets_max}");
        wait_for("an ordinary request that is answered", || {
            let text = request("POST", "/any/x", &headers("ordinary"), "body");
            exchange(&self.gateway.process.address, &text)
                .is_some_and(|answer| answer.status() == 200)
        });
        assert!(self.gateway.process.is_running(), "the process ended");
    }
}

fn headers(id: &str) -> String {
    format!(
        "x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-deadline-ms: 120000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\n"
    )
}

/// Head of a request with chunks.
fn chunked_head(number: usize) -> String {
    let headers = headers(&format!("c{number}"));
    format!(
        "POST /any/x HTTP/1.1\r\nhost: shop.example\r\n{headers}transfer-encoding: chunked\r\n\r\n"
    )
}

/// A request whose chunks lack their end.
fn unfinished(number: usize, chunk_bytes: usize, chunks: usize) -> Vec<u8> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    (chunked_head(number) + &chunk.repeat(chunks)).into_bytes()
}

/// Returns the highest resident memory that a process has had, in MB.
fn peak_memory_mb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib: u64 = line.unwrap().trim_end_matches("kB").trim().parse().unwrap();
    kib.div_ceil(1024)
}

/// Returns the number of bytes that a process which listens on `port` and connects to `upstream` has
/// received and not read.
fn unread_bytes(port: u16, upstream: u16) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let (local, remote) = (format!(":{port:04X}"), format!(":{upstream:04X}"));
    let unread = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let (_, queue) = fields.get(4)?.split_once(':')?;
        let is_own = fields[1].ends_with(&local) || fields[2].ends_with(&remote);
        let is_listener = fields[3] == "0A";
        (is_own && !is_listener).then(|| u64::from_str_radix(queue, 16).unwrap_or(0))
    };
    table.lines().filter_map(unread).sum()
}

/// Returns the number of sockets that a process has open.
fn socket_count(pid: u32) -> usize {
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let target = |entry: std::fs::DirEntry| std::fs::read_link(entry.path()).ok();
    let targets = entries.flatten().filter_map(target);
    targets
        .filter(|target| target.to_string_lossy().starts_with("socket:"))
        .count()
}

/// Guards against a host whose memory fills with long bodies in long chunks that never end.
#[test]
fn unfinished_bodies_in_long_chunks_stay_within_the_memory() {
    let _alone = alone();
    let mut site = Site::start();
    let _crowd = site.crowd(150, |number| unfinished(number, 110_000, 9));
    site.check();
}

/// Guards against a host whose memory fills with what each of many tiny chunks takes beside its content.
#[test]
fn unfinished_bodies_in_chunks_of_one_byte_stay_within_the_memory() {
    let _alone = alone();
    let mut site = Site::start();
    let _crowd = site.crowd(60, |number| unfinished(number, 1, 50_000));
    site.check();
}

/// Guards against a host that runs out of descriptors for callers whose heads never end.
#[test]
fn unfinished_heads_stay_within_the_descriptors() {
    let _alone = alone();
    let mut site = Site::start();
    let head = format!("POST /any/x HTTP/1.1\r\nx-more: {}", "x".repeat(15_000));
    let _crowd = site.crowd(300, |_| head.clone().into_bytes());
    site.check();
}

/// Guards against a host that runs out of descriptors for callers that send nothing.
#[test]
fn idle_connections_stay_within_the_descriptors() {
    let _alone = alone();
    let mut site = Site::start();
    let _crowd = site.crowd(400, |_| Vec::new());
    site.check();
}

/// Guards against a host that runs out of descriptors for callers whose bodies have hardly begun.
#[test]
fn unfinished_short_bodies_stay_within_the_descriptors() {
    let _alone = alone();
    let mut site = Site::start();
    let _crowd = site.crowd(300, |number| unfinished(number, 10, 1));
    site.check();
}

/// Connects with a small buffer for what arrives, so that a long answer waits in the gateway.
fn connect_narrow(address: &str) -> Option<TcpStream> {
    let address: SocketAddr = address.parse().unwrap();
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&socket, 4096).unwrap();
    connect(&socket, &address).ok()?;
    Some(TcpStream::from(socket))
}

/// Engine whose answers are as long as a caller wants to read them, up to [`LONG_ANSWER_BYTES`].
fn start_verbose_engine() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let answer = |mut stream: TcpStream| {
        let request = Message::read(&mut BufReader::new(&stream))?;
        let id = request.header("x-bilberrypost-attempt-id").unwrap_or("");
        let is_long = request.first_line.contains("/long");
        let length = if is_long { LONG_ANSWER_BYTES } else { 2 };
        let head = format!(
            "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: {id}\r\n\
             x-bilberrypost-response-seal: s\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let block = [b'y'; 64 * 1024];
        let mut left = length;
        while left > 0 {
            let size = left.min(block.len());
            stream.write_all(&block[..size]).ok()?;
            left -= size;
        }
        Some(())
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer(stream));
        }
    });
    address
}

/// Guards against a host whose memory or descriptors fill with answers that their callers do not read.
#[test]
fn unread_answers_stay_within_memory_and_descriptors() {
    let _alone = alone();
    let engine = start_verbose_engine();
    let mut site = Site::start_with(&engine);
    let open = |number: usize| {
        let mut stream = connect_narrow(&site.gateway.process.address)?;
        let text = request("POST", "/any/long", &headers(&format!("c{number}")), "b");
        let _ = stream.write_all(text.as_bytes());
        Some(stream)
    };
    let _crowd: Vec<_> = (0..150).filter_map(open).collect();
    site.check();
}

/// Guards against a limit that a single caller inside the limits meets: a body of the longest allowed
/// size in chunks of one byte, and one with pauses.
#[test]
fn single_requests_inside_the_limits_are_served() {
    let _alone = alone();
    let site = Site::start();
    let longest = "1\r\nx\r\n".repeat(BODY_BYTES_MAX);
    let cases: [(&str, Vec<String>); 2] = [
        ("the longest body", vec![longest]),
        ("pauses", vec!["3\r\nabc\r\n".into(); 6]),
    ];
    for (name, parts) in cases {
        let mut stream = TcpStream::connect(&site.gateway.process.address).unwrap();
        stream.write_all(chunked_head(1).as_bytes()).unwrap();
        for part in parts {
            stream.write_all(part.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(500));
        }
        stream.write_all(b"0\r\n\r\n").unwrap();
        let answer = Message::read(&mut BufReader::new(&stream)).expect("an answer");
        assert_eq!(answer.status(), 200, "{name}");
        stream.shutdown(Shutdown::Both).unwrap();
    }
}

/// Guards against a body that stands still and keeps its connection and memory until the deadline, which
/// its caller chooses.
#[test]
fn a_body_that_stands_still_is_refused() {
    let _alone = alone();
    let engine = Engine::start("i-1", |_| ok());
    let mut config = crowd_config();
    config["limits"]["idle-timeout-ms"] = json!(500);
    let entry = registration(&engine.address, "app", "fd-a");
    let (_store, gateway) = start_gateway(config, &[("i-1", entry)]);
    let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(&unfinished(1, 10, 1)).unwrap();
    let answer = Message::read(&mut BufReader::new(&stream)).expect("a refusal");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(engine.request_count(), 0);
}
