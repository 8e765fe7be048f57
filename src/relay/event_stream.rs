//! Server-sent events with consecutive numeric ids: splits a body into events and checks their
//! fields and their order. The values of fields other than `id` are not interpreted.

use compio::bytes::{Bytes, BytesMut};

/// Limit on buffered bytes, and so on the length of an event. It also bounds the memory that an engine
/// takes which sends bytes without end.
const EVENT_BYTES_MAX: usize = 16 * 1024;

/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"event", b"data", b"id", b"retry"];

/// A complete event, including the empty line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event as received.
    pub bytes: Bytes,
    /// The `id` field, if it is a number.
    pub id: Option<u64>,
}

/// Splits a body into events, independent of how the body was chunked.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    // Length of the part of `buffer` that was searched and holds no end of an event.
    searched: usize,
}

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The buffered bytes exceed the limit.
    #[error("an event is longer than {EVENT_BYTES_MAX} bytes")]
    Oversized,
    /// The text is no event, such as the head or the text of an error.
    #[error("a text between two empty lines is no event with an id")]
    NotAnEvent,
    /// The id of an event is not the successor of the previous one.
    #[error("the id of an event does not follow the previous id")]
    OutOfOrder,
}

impl Event {
    /// Checks that all lines are comments or fields, of which `extra_fields` names more than the usual
    /// ones, and that an event with content has one id, which is a number.
    ///
    /// # Errors
    /// [`Error::NotAnEvent`]; the text must not be forwarded.
    pub fn check(&self, extra_fields: &[&str]) -> Result<(), Error> {
        let (mut ids, mut has_content) = (0, false);
        for line in self.bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() || line.starts_with(b":") {
                continue;
            }
            let field = line.split(|byte| *byte == b':').next().unwrap_or(line);
            let is_extra = extra_fields.iter().any(|extra| extra.as_bytes() == field);
            if !is_extra && !FIELDS.contains(&field) {
                return Err(Error::NotAnEvent);
            }
            ids += u32::from(field == b"id");
            has_content |= field != b"retry";
        }
        match has_content && (ids != 1 || self.id.is_none()) {
            true => Err(Error::NotAnEvent),
            false => Ok(()),
        }
    }
}

impl Splitter {
    /// Appends a chunk of the body.
    ///
    /// # Errors
    /// [`Error::Oversized`] if more than the limit is buffered.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), Error> {
        // Checked first, as growing the buffer past the limit would double it.
        if self.buffer.len() + chunk.len() > EVENT_BYTES_MAX {
            return Err(Error::Oversized);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Removes and returns the next complete event.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Event> {
        // The end of an event is up to 3 bytes long and may have arrived in part.
        let from = self.searched.saturating_sub(3);
        let Some(end) = find_event_end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether the buffer holds part of an event, once [`Self::next`] returned `None`.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the index after the first empty line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let rest = &bytes[at + 1..];
        if rest.first() == Some(&b'\n') {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 3);
        }
    }
    None
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Id of the last event that the caller has, `None` before the first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position(Option<u64>);

impl Position {
    /// Creates the position of a caller that has all events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self(last)
    }

    /// Returns the id of the last event that the caller has.
    pub fn last(self) -> Option<u64> {
        self.0
    }

    /// Moves to `event`. The first id may have any value; an event without an id leaves the
    /// position unchanged.
    ///
    /// # Errors
    /// [`Error::OutOfOrder`] if its id is not the next one; the event must not be forwarded.
    pub fn advance(&mut self, event: &Event) -> Result<(), Error> {
        let Some(id) = event.id else {
            return Ok(());
        };
        if self.0.is_some_and(|last| last.checked_add(1) != Some(id)) {
            return Err(Error::OutOfOrder);
        }
        self.0 = Some(id);
        Ok(())
    }
}
