//! Stream that records since when its peer has not taken what is written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use hyper::rt::{Read, ReadBufCursor, Write};

use super::budget::{Budget, ConnectionKey, Wait};

/// A stream whose connection is in a budget.
#[derive(Debug)]
pub struct Unsent<S> {
    stream: S,
    budgeted: Option<(Budget, ConnectionKey)>,
    is_waiting: bool,
}

impl<S> Unsent<S> {
    /// Wraps a stream. Without a budget, nothing is recorded.
    pub fn new(stream: S, budgeted: Option<(Budget, ConnectionKey)>) -> Self {
        Self {
            stream,
            budgeted,
            is_waiting: false,
        }
    }

    fn record<T>(&mut self, result: &Poll<T>) {
        let is_waiting = result.is_pending();
        if is_waiting == self.is_waiting {
            return;
        }
        self.is_waiting = is_waiting;
        if let Some((budget, key)) = &self.budgeted {
            budget.set_wait(*key, Wait::Answer, is_waiting.then(Instant::now));
        }
    }
}

impl<S: Read + Unpin> Read for Unsent<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: Write + Unpin> Write for Unsent<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.record(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
