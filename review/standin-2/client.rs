//! Stand-in for clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;

/// Key of the tenant in the configuration.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// Returns a new attempt id.
pub fn attempt_id(client: &str) -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::SeqCst);
    format!("{client}{number:08x}")
}

/// What a client got of a stream.
pub struct Stream {
    pub status: u16,
    /// Id of the last event, if there was one.
    pub last: Option<u64>,
    pub is_complete: bool,
}

/// A streaming request, which a client sends again with another attempt id and `Last-Event-Id`.
#[derive(Clone)]
pub struct Prompt {
    pub path: String,
    /// Parts of the prompt, with their tokens.
    pub parts: String,
    pub body: String,
}

/// Sends a streaming request and reads its events until the end; `seen` is told the id of each.
pub fn stream(
    record: &Record,
    client: &str,
    address: SocketAddr,
    prompt: &Prompt,
    last: Option<u64>,
    deadline: Duration,
    seen: impl Fn(u64),
) -> Option<Stream> {
    let attempt = attempt_id(client);
    let mut connection = match Connection::open(address) {
        Ok(connection) => connection,
        Err(err) => {
            record.line(&format!(
                "unsent client={client} to={address} error={:?}",
                err.kind()
            ));
            return None;
        }
    };
    let last_event = last.map_or(String::new(), |last| format!("Last-Event-Id: {last}\r\n"));
    let request = format!(
        "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nX-Bilberrypost-Attempt-Id: {attempt}\r\n{last_event}\
         X-Bilberrypost-Model-Id: m\r\nX-Bilberrypost-Token-Count: 1460,1200\r\n\
         X-Bilberrypost-Prompt-Prefix: {}\r\nX-Bilberrypost-Deadline-Ms: {}\r\n\
         X-Bilberrypost-Credential: {KEY}\r\nContent-Length: {}\r\n\r\n{}",
        prompt.path,
        prompt.parts,
        deadline.as_millis(),
        prompt.body.len(),
        prompt.body
    );
    record.line(&format!(
        "sent client={client} attempt={attempt} to={address} last_event={}",
        last.map_or(-1, |last| last as i64)
    ));
    connection.send(request.as_bytes());
    let _ = connection.stream.set_read_timeout(Some(deadline));
    let began = Instant::now();
    let Some(head) = connection.read_head() else {
        record.line(&format!(
            "closed client={client} attempt={attempt} without an answer"
        ));
        return None;
    };
    let mut stream = Stream {
        status: head.status(),
        last,
        is_complete: false,
    };
    record.line(&format!(
        "answer client={client} attempt={attempt} status={}",
        stream.status
    ));
    if stream.status != 200 {
        return Some(stream);
    }
    let mut text = String::new();
    while let Some(chunk) = connection.read_chunk() {
        if chunk.is_empty() {
            stream.is_complete = true;
            break;
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            if let Some(id) = id.and_then(|id| id.parse().ok()) {
                stream.last = Some(id);
                seen(id);
            }
            text = rest.to_owned();
        }
        if began.elapsed() > deadline {
            break;
        }
    }
    record.line(&format!(
        "stream-end client={client} attempt={attempt} last_event={} complete={}",
        stream.last.map_or(-1, |last| last as i64),
        stream.is_complete
    ));
    Some(stream)
}

/// Sends a request that may run once; returns its id and the answer.
pub fn submit(
    record: &Record,
    client: &str,
    address: SocketAddr,
    path: &str,
) -> (String, Option<Message>) {
    let attempt = attempt_id(client);
    let Ok(mut connection) = Connection::open(address) else {
        record.line(&format!("unsent client={client} to={address}"));
        return (attempt, None);
    };
    let body = format!("lane 3 for {client}");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Bilberrypost-Attempt-Id: {attempt}\r\n\
         X-Bilberrypost-Deadline-Ms: 1000\r\nX-Bilberrypost-Credential: {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line(&format!(
        "sent client={client} attempt={attempt} to={address}"
    ));
    connection.send(request.as_bytes());
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(2)));
    let answer = connection.read_message();
    let status = answer.as_ref().map_or(0, Message::status);
    record.line(&format!(
        "answer client={client} attempt={attempt} status={status}"
    ));
    (attempt, answer)
}
