//! Numbered events of an opaque stream: cut out of its bytes, and checked for their order.

use compio::bytes::{Bytes, BytesMut};

/// Greatest length of an event in bytes.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// One whole event with the empty line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its id, if it is a number.
    pub id: Option<u64>,
}

/// Cuts a body into events, wherever its pieces begin and end.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    // Bytes at the start of `buffer` that hold no end of an event.
    searched: usize,
}

/// Why a stream cannot be passed on as it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// An event is longer than the limit.
    #[error("an event is longer than {EVENT_BYTES_MAX} bytes")]
    Oversized,
    /// An event does not follow the one before.
    #[error("an event is out of order")]
    Order,
}

impl Splitter {
    /// Adds a piece of the body.
    ///
    /// # Errors
    /// [`Fault::Oversized`]
    pub fn push(&mut self, piece: &[u8]) -> Result<(), Fault> {
        self.buffer.extend_from_slice(piece);
        match self.buffer.len() > EVENT_BYTES_MAX {
            true => Err(Fault::Oversized),
            false => Ok(()),
        }
    }

    /// Returns the next whole event.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = end_of_event(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether part of an event is left.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
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

fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// The position of a stream: which event its caller has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position(Option<u64>);

impl Position {
    /// Creates the position of a caller that has the events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self(last)
    }

    /// Returns the last event that the caller has.
    pub fn last(self) -> Option<u64> {
        self.0
    }

    /// Moves on to `event`.
    ///
    /// # Errors
    /// [`Fault::Order`] if its id does not follow; such an event must not be passed on.
    pub fn advance(&mut self, event: &Event) -> Result<(), Fault> {
        let Some(id) = event.id else {
            return Ok(());
        };
        if self.0.is_some_and(|last| last.checked_add(1) != Some(id)) {
            return Err(Fault::Order);
        }
        self.0 = Some(id);
        Ok(())
    }
}
