//! Server-sent events: an encoder and an incremental parser.

use std::fmt::Write;

/// One event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Event name, empty if absent.
    pub name: String,
    /// Event id, empty if absent.
    pub id: String,
    /// Data lines, joined by newlines.
    pub data: String,
}

/// Encodes an event; `name` and `id` are omitted if empty.
pub fn encode(name: &str, id: &str, data: &str) -> String {
    let mut out = String::with_capacity(data.len() + id.len() + name.len() + 24);
    if !name.is_empty() {
        let _ = writeln!(out, "event: {name}");
    }
    if !id.is_empty() {
        let _ = writeln!(out, "id: {id}");
    }
    for line in data.split('\n') {
        let _ = writeln!(out, "data: {line}");
    }
    out.push('\n');
    out
}

/// The server sent an event longer than the limit.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error(
    "an event is longer than {EVENT_BYTES_MAX} bytes; check that the server sends server-sent events"
)]
pub struct Oversized;

/// Maximum number of buffered bytes, which bounds the length of an event and the memory of a parser.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Parses events from the chunks of a body.
#[derive(Debug, Default)]
pub struct Parser {
    // Invariant: contains no complete event after `start` once `next` returned `None`.
    buffer: Vec<u8>,
    // Offset of the first byte that was not parsed yet.
    start: usize,
}

impl Parser {
    /// Appends a chunk of the body.
    ///
    /// # Errors
    /// [`Oversized`] if the bytes not yet parsed, including `chunk`, exceed the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), Oversized> {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(chunk);
        if self.buffer.len() > EVENT_BYTES_MAX {
            return Err(Oversized);
        }
        Ok(())
    }

    /// Returns the next complete event; comments and empty events are skipped.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Event> {
        loop {
            let rest = &self.buffer[self.start..];
            let end = rest.windows(2).position(|pair| pair == b"\n\n")?;
            let event = parse(&String::from_utf8_lossy(&rest[..end]));
            self.start += end + 2;
            if event != Event::default() {
                return Some(event);
            }
        }
    }
}

fn parse(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        let Some((field, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => event.name = value.into(),
            "id" => event.id = value.into(),
            "data" if event.data.is_empty() => event.data = value.into(),
            "data" => {
                event.data.push('\n');
                event.data.push_str(value);
            }
            _ => {}
        }
    }
    event
}

#[cfg(test)]
mod tests;
