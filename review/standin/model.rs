//! Stand-in of model engines: streams of events, replicas of running requests, and requests that go on
//! from a replica, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(50);

/// Number of events of a stream.
const EVENTS: u64 = 120;

/// What the engine of a run keeps of it: whose request it is.
#[derive(Clone, Debug)]
struct Run {
    owner: String,
}

/// A request that went on from a copy of a run's memory.
#[derive(Clone, Debug)]
pub struct Continuation {
    /// Name of the request that went on.
    pub request: String,
    /// Name of the request whose memory it went on from.
    pub memory_of: String,
}

#[derive(Default)]
struct Shared {
    // By address of the engine that holds the copy, and id of the run.
    copies: BTreeMap<(String, String), Run>,
    continuations: Vec<Continuation>,
}

/// All model engines.
#[derive(Clone)]
pub struct Fleet {
    record: Record,
    shared: Arc<Mutex<Shared>>,
}

impl Fleet {
    /// Creates a fleet without engines.
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            shared: Arc::default(),
        }
    }

    /// Starts an engine; returns its address.
    pub fn start(&self, id: &str) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let (fleet, id, own) = (self.clone(), id.to_owned(), address.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (fleet, id, own) = (fleet.clone(), id.clone(), own.clone());
                std::thread::spawn(move || fleet.serve(stream, &id, &own));
            }
        });
        address
    }

    /// Returns the requests that went on from a copy.
    pub fn continuations(&self) -> Vec<Continuation> {
        self.shared.lock().expect("no panic").continuations.clone()
    }

    fn serve(&self, stream: TcpStream, id: &str, own: &str) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read_message(&mut reader).ok()?;
            if let Err(err) = self.answer(&mut writer, &request, id, own) {
                self.record
                    .line(&format!("engine {id}: run ended early: {err}"));
                return None;
            }
        }
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        request: &Message,
        id: &str,
        own: &str,
    ) -> io::Result<()> {
        let attempt = request.header("x-bilberrypost-attempt-id").unwrap_or("");
        let echo = format!("X-Bilberrypost-Attempt-Id: {attempt}\r\n");
        let expected = request.header("x-bilberrypost-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return http::write_response(writer, "421 Misdirected Request", &echo, "");
        }
        // The body names the request. Retries of a client carry the same body.
        let request_name = request.text();
        let last = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok());
        let from = request.header("kv-from").map(str::to_owned);
        let memory = match &from {
            Some(from) => match self.take_copy(from, &request_name) {
                Some(run) => Some(run),
                None => {
                    self.record.line(&format!(
                        "engine {id}: {attempt} ({request_name}) refused: no copy {from}"
                    ));
                    let headers = format!("{echo}X-Bilberrypost-Not-Executed: 1\r\n");
                    return http::write_response(writer, "503 Service Unavailable", &headers, "");
                }
            },
            None => None,
        };
        let owner = memory.map_or_else(|| request_name.clone(), |run| run.owner);
        let replica = request
            .header("x-bilberrypost-kv-replica")
            .map(str::to_owned);
        self.record.line(&format!(
            "engine {id} at {own}: runs {attempt} of request {request_name}, last-event-id={last:?} \
             kv-from={from:?} replica={replica:?}, from the memory of {owner}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Bilberrypost-Response-Seal: seal-{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let first = last.map_or(0, |last: u64| last + 1);
        for number in first..EVENTS {
            sleep(EVENT_GAP);
            let event = format!("id: {number}\ndata: {owner}-{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
            if let Some(replica) = &replica {
                let run = Run {
                    owner: owner.clone(),
                };
                let key = (replica.clone(), attempt.to_owned());
                self.shared
                    .lock()
                    .expect("no panic")
                    .copies
                    .insert(key, run);
            }
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Takes the copy `ADDRESS/RUN`, which can be used once.
    fn take_copy(&self, from: &str, request: &str) -> Option<Run> {
        let (address, run) = from.split_once('/')?;
        let mut shared = self.shared.lock().expect("no panic");
        let run = shared
            .copies
            .remove(&(address.to_owned(), run.to_owned()))?;
        shared.continuations.push(Continuation {
            request: request.to_owned(),
            memory_of: run.owner.clone(),
        });
        Some(run)
    }
}
