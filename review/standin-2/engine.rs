//! Stand-ins for engines: model engines with event streams and replicas of their memory, and plain
//! application servers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer, serve};
use crate::record::Record;

/// Memory of a run that another engine holds.
pub struct Memory {
    /// Attempt whose run it is.
    attempt: String,
    /// When it is dropped, once its run has broken off (`kv-handle-s`).
    until: Option<Instant>,
}

/// Memories by the address of the engine that holds them and the id of the run.
pub type Memories = Arc<Mutex<BTreeMap<(String, String), Memory>>>;

/// How an application server answers a request that it has run.
#[derive(Clone, Copy, PartialEq)]
pub enum Failure {
    /// With success.
    None,
    /// Part of the requests with 503, without saying that they were not executed.
    Unavailable,
}

/// An engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub record: Record,
    pub memories: Memories,
    /// Events of each stream and the time between two of them.
    pub events: u64,
    pub gap: Duration,
    /// Time in which the prompt is read.
    pub prefill: Duration,
    pub failure: Arc<Mutex<Failure>>,
    /// One stream in this many does not say where it ends, which is the end of its connection.
    pub unframed: Option<u64>,
}

/// A run that ended otherwise than by the engine.
const HANDLE_LIFETIME: Duration = Duration::from_secs(4);

impl Engine {
    /// Returns the entry of the engine in the store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"batch-slots\":{},\
             \"lifecycle\":\"available\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":1790000000000}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Serves the engine.
    pub fn serve(&self, listener: TcpListener) {
        let engine = self.clone();
        serve(listener, move |connection| engine.handle(connection));
    }

    fn handle(&self, mut connection: Connection) {
        while let Some(request) = connection.read_message() {
            if request.path().starts_with("/bilberrypost/") {
                // No room for a copy on order; nothing else is asked for.
                if !connection.send(&answer("503 Service Unavailable", &[], "{}")) {
                    return;
                }
                continue;
            }
            let expected = request.header("x-bilberrypost-expect-instance");
            if !expected.is_empty() && expected != self.id {
                let own = [("X-Bilberrypost-Instance-Id", self.id.as_str())];
                connection.send(&answer("421 Misdirected Request", &own, ""));
                continue;
            }
            let is_stream = !request.header("x-bilberrypost-token-count").is_empty();
            let goes_on = match is_stream {
                true => self.run_stream(&mut connection, &request),
                false => self.run_plain(&mut connection, &request),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn run_plain(&self, connection: &mut Connection, request: &Message) -> bool {
        let attempt = request.header("x-bilberrypost-attempt-id");
        self.record.line(&format!(
            "run attempt={attempt} engine={} service={}",
            self.id, self.service
        ));
        std::thread::sleep(Duration::from_millis(30));
        let seal = format!("seal.{}.{attempt}", self.id);
        let headers = [
            ("X-Bilberrypost-Attempt-Id", attempt),
            ("X-Bilberrypost-Response-Seal", seal.as_str()),
        ];
        // A sum of the bytes of the id chooses the part that fails.
        let fails = attempt.bytes().map(u32::from).sum::<u32>() % 5 < 2;
        let failure = *self.failure.lock().unwrap();
        let status = match failure == Failure::Unavailable && fails {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        self.record.line(&format!(
            "engine-answers attempt={attempt} engine={} status={status}",
            self.id
        ));
        connection.send(&answer(status, &headers, &format!("result of {attempt}")))
    }

    fn run_stream(&self, connection: &mut Connection, request: &Message) -> bool {
        let attempt = request.header("x-bilberrypost-attempt-id").to_owned();
        let last: Option<u64> = request.header("last-event-id").parse().ok();
        let from = request.header("kv-from").to_owned();
        let memory = match from.split_once('/') {
            None => None,
            Some((address, id)) => match self.take_memory(address, id) {
                Some(memory) => Some(memory),
                None => {
                    self.record.line(&format!(
                        "not-run attempt={attempt} engine={} no memory {from}",
                        self.id
                    ));
                    let headers = [
                        ("X-Bilberrypost-Attempt-Id", attempt.as_str()),
                        ("X-Bilberrypost-Not-Executed", "1"),
                    ];
                    return connection.send(&answer("503 Service Unavailable", &headers, ""));
                }
            },
        };
        let source = memory.clone().unwrap_or_else(|| "none".to_owned());
        self.record.line(&format!(
            "run attempt={attempt} engine={} service={} after_event={} memory_of={source}",
            self.id,
            self.service,
            last.map_or(-1, |last| last as i64),
        ));
        if memory.is_none() {
            std::thread::sleep(self.prefill);
        }
        let replica = request.header("x-bilberrypost-kv-replica").to_owned();
        let number = u64::from_str_radix(&attempt[1..], 16).unwrap_or(1);
        let is_framed = self.unframed.is_none_or(|unframed| number % unframed != 0);
        if !is_framed {
            self.record
                .line(&format!("answer is unframed attempt={attempt}"));
        }
        let framing = match is_framed {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             X-Bilberrypost-Attempt-Id: {attempt}\r\nX-Bilberrypost-Response-Seal: seal.{}.{attempt}\r\n\r\n",
            self.id
        );
        let mut is_sent = connection.send(head.as_bytes());
        for number in last.map_or(0, |last| last + 1)..self.events {
            if !is_sent || connection.is_closed() {
                is_sent = false;
                break;
            }
            let event = format!("id: {number}\ndata: event {number} by {}\n\n", self.service);
            let bytes = match is_framed {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            is_sent = connection.send(bytes.as_bytes());
            self.keep_memory(&replica, &attempt, None);
            std::thread::sleep(self.gap);
        }
        if !is_sent {
            self.record
                .line(&format!("dropped attempt={attempt} engine={}", self.id));
            self.keep_memory(&replica, &attempt, Some(Instant::now() + HANDLE_LIFETIME));
            return false;
        }
        self.record.line(&format!(
            "run-complete attempt={attempt} engine={}",
            self.id
        ));
        self.memories.lock().unwrap().remove(&(replica, attempt));
        is_framed && connection.send(b"0\r\n\r\n")
    }

    /// Has the engine at `replica` hold the memory of a run, until the run has ended or `until`.
    fn keep_memory(&self, replica: &str, attempt: &str, until: Option<Instant>) {
        if replica.is_empty() {
            return;
        }
        let key = (replica.to_owned(), attempt.to_owned());
        let memory = Memory {
            attempt: attempt.to_owned(),
            until,
        };
        self.memories.lock().unwrap().insert(key, memory);
    }

    /// Uses the memory `id` at this engine; returns the attempt whose run it is.
    fn take_memory(&self, address: &str, id: &str) -> Option<String> {
        if address != self.address.to_string() {
            return None;
        }
        let key = (address.to_owned(), id.to_owned());
        let memory = self.memories.lock().unwrap().remove(&key)?;
        let is_held = memory.until.is_none_or(|until| until > Instant::now());
        is_held.then_some(memory.attempt)
    }
}
