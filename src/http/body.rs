//! Response bodies: complete ones, or chunks written with backpressure.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use compio::bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use hyper::body::{Frame, SizeHint};

use super::idle::Running;
use super::server::RequestGuard;

/// Number of chunks buffered for a slow reader; when it is reached, the writer waits.
const BUFFERED_CHUNKS: usize = 16;

/// A response body.
#[derive(Debug)]
pub enum Body {
    /// A complete body, `None` once it was sent.
    Full(Option<Bytes>),
    /// A body written by a [`Writer`].
    Chunks {
        /// Chunks not yet sent; `None` marks the end.
        receiver: mpsc::Receiver<Option<Bytes>>,
        /// Dropped with the body, which tells the writer that the reader disconnected.
        _reader: oneshot::Receiver<()>,
        /// Whether the writer was found to be dropped before the end.
        is_truncated: bool,
    },
    /// A body whose request counts as running until the body is dropped.
    Guarded(Box<Self>, Guard),
}

/// What counts a request as running.
#[derive(Debug)]
pub enum Guard {
    /// Among the requests of the host.
    Host(RequestGuard),
    /// On its connection.
    Connection(Running),
}

impl From<RequestGuard> for Guard {
    fn from(guard: RequestGuard) -> Self {
        Self::Host(guard)
    }
}

impl From<Running> for Guard {
    fn from(running: Running) -> Self {
        Self::Connection(running)
    }
}

/// Writes the chunks of a body.
///
/// If it is dropped before [`Writer::finish`], the connection is closed without the end of the body,
/// so that a truncated response cannot be mistaken for a complete one.
#[derive(Debug)]
pub struct Writer {
    sender: mpsc::Sender<Option<Bytes>>,
    reader: oneshot::Sender<()>,
}

/// The writer was dropped before the end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response body was cut off; request the missing part again")]
pub struct Truncated;

/// The reader of a body disconnected.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the reader closed the connection")]
pub struct Disconnected;

impl Body {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Keeps `guard` until the body is dropped, after it was sent or cancelled.
    #[must_use]
    pub fn with_guard(self, guard: impl Into<Guard>) -> Self {
        Self::Guarded(Box::new(self), guard.into())
    }

    /// Creates a body and the writer of its chunks.
    pub fn channel() -> (Writer, Self) {
        let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        let (reader, reader_side) = oneshot::channel();
        let body = Self::Chunks {
            receiver,
            _reader: reader_side,
            is_truncated: false,
        };
        (Writer { sender, reader }, body)
    }
}

impl Writer {
    /// Sends a chunk; waits while the buffer is full.
    ///
    /// # Errors
    /// [`Disconnected`] if the reader closed the connection.
    pub async fn send(&mut self, chunk: impl Into<Bytes>) -> Result<(), Disconnected> {
        self.sender
            .send(Some(chunk.into()))
            .await
            .map_err(|_| Disconnected)
    }

    /// Marks the end of the body.
    ///
    /// # Errors
    /// [`Disconnected`] if the reader closed the connection.
    pub async fn finish(mut self) -> Result<(), Disconnected> {
        self.sender.send(None).await.map_err(|_| Disconnected)
    }

    /// Waits until the reader closes the connection.
    pub async fn closed(&mut self) {
        self.reader.cancellation().await;
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks {
                receiver,
                is_truncated,
                ..
            } => match ready!(Pin::new(receiver).poll_next(cx)) {
                Some(Some(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
                Some(None) => Poll::Ready(None),
                None if *is_truncated => Poll::Ready(Some(Err(Truncated))),
                None => {
                    // hyper discards what it has buffered on an error, and sends it on a pause.
                    *is_truncated = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
            Self::Guarded(body, _) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Chunks { .. } => false,
            Self::Guarded(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks { .. } => SizeHint::default(),
            Self::Guarded(body, _) => body.size_hint(),
        }
    }
}
