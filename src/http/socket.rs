//! TCP connection that hyper reads and writes directly.
//!
//! hyper has buffers of its own. A stream with further buffers would add 16 KB and more to each
//! connection, and a generation holds two connections for minutes.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::runtime::fd::PollFd;
use futures_util::AsyncWrite;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Maximum number of bytes of one read, which is the size of hyper's initial read buffer.
const READ_BYTES_MAX: usize = 8 * 1024;

/// Whether the peer ended its side of a connection while bytes to it were still unsent.
///
/// A peer that ends in the middle of a request may reset the connection right after, which cannot be
/// seen: reads report the end, and a reset that is reported to a write is not reported to a read.
#[derive(Clone, Debug, Default)]
pub struct EarlyEnd(Rc<Cell<bool>>);

impl EarlyEnd {
    /// Returns whether the peer has ended its side early.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// A connected socket.
#[derive(Debug)]
pub struct Socket<S: AsFd> {
    socket: PollFd<S>,
    // Whether the last write took fewer bytes than it was given.
    has_unsent: bool,
    early_end: EarlyEnd,
}

impl<S: AsFd> Socket<S> {
    /// Wraps a connected socket, which must be non-blocking.
    pub fn new(socket: PollFd<S>) -> Self {
        Self {
            socket,
            has_unsent: false,
            early_end: EarlyEnd::default(),
        }
    }

    /// Returns the flag that is set when the peer ends its side early.
    pub fn early_end(&self) -> EarlyEnd {
        self.early_end.clone()
    }

    fn record_write(&mut self, length: usize, written: &Poll<io::Result<usize>>) {
        self.has_unsent = !matches!(written, Poll::Ready(Ok(written)) if *written == length);
    }
}

impl<S: AsFd + 'static> Read for Socket<S>
where
    for<'a> &'a S: io::Read,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES_MAX];
        let len = buffer.remaining().min(READ_BYTES_MAX);
        let read = ready!(self.socket.poll_read(cx, &mut bytes[..len]))?;
        if read == 0 && len > 0 && self.has_unsent {
            self.early_end.0.set(true);
        }
        buffer.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsFd + Unpin + 'static> Write for Socket<S>
where
    for<'a> &'a S: io::Write,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.socket.poll_write(cx, bytes);
        self.record_write(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.socket.poll_write_vectored(cx, bytes);
        let length = bytes.iter().map(|slice| slice.len()).sum();
        self.record_write(length, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes go to the operating system at once.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_close(cx)
    }
}
