//! Stream that lets other tasks run while a peer sends without pause.
//!
//! hyper reads some parts of a message, such as the size of a chunk, byte by byte for as long as the
//! stream has data. A peer that never stops would keep the only thread of the process.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

/// Number of reads in a row after which other tasks run.
const READS_PER_TURN: u32 = 4;

/// A stream that yields after a number of reads without waiting.
#[derive(Debug)]
pub struct Fair<S> {
    stream: S,
    reads: u32,
}

impl<S> Fair<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self { stream, reads: 0 }
    }
}

impl<S: Read + Unpin> Read for Fair<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.reads = match result {
            Poll::Ready(_) => self.reads + 1,
            Poll::Pending => 0,
        };
        result
    }
}

impl<S: Write + Unpin> Write for Fair<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    // Without it, hyper copies all that it writes into a buffer, which stays as large as the longest
    // chunk.
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
