//! TCP connection that hyper reads and writes directly.
//!
//! hyper has buffers of its own. A stream with further buffers would add 16 KB and more to each
//! connection, and a generation holds two connections for minutes.

use std::io::{self, IoSlice};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use compio::runtime::fd::PollFd;
use futures_util::AsyncWrite;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Maximum number of bytes of one read, which is the size of hyper's initial read buffer.
const READ_BYTES_MAX: usize = 8 * 1024;

/// A connected socket.
#[derive(Debug)]
pub struct Socket<S: AsFd>(PollFd<S>);

impl<S: AsFd> Socket<S> {
    /// Wraps a connected socket, which must be non-blocking.
    pub fn new(socket: PollFd<S>) -> Self {
        Self(socket)
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
        let read = ready!(self.0.poll_read(cx, &mut bytes[..len]))?;
        buffer.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsFd + Unpin + 'static> Write for Socket<S>
where
    for<'a> &'a S: io::Write,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes go to the operating system at once.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_close(cx)
    }
}
