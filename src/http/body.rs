//! Response bodies: whole, or written piece by piece with back-pressure.

use std::pin::Pin;
use std::task::{Context, Poll};

use compio::bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use hyper::body::{Frame, SizeHint};

use super::server::RequestGuard;

/// Chunks that wait for a slow reader before the writer has to wait too.
const BUFFERED_CHUNKS: usize = 16;

/// A response body.
#[derive(Debug)]
pub enum Body {
    /// All of it is known.
    Full(Option<Bytes>),
    /// Written by a [`Writer`].
    Chunks {
        /// Chunks not yet sent; `None` is the end.
        receiver: mpsc::Receiver<Option<Bytes>>,
        /// Dropped with the body, which tells the writer that the reader is gone.
        _reader: oneshot::Receiver<()>,
    },
    /// Keeps a request among the running ones until it is sent.
    Guarded(Box<Self>, RequestGuard),
}

/// Writes the pieces of a body. If it is dropped before [`Writer::finish`], the connection is closed
/// without the end of the body, so that a broken answer cannot be taken for a complete one.
#[derive(Debug)]
pub struct Writer {
    sender: mpsc::Sender<Option<Bytes>>,
    reader: oneshot::Sender<()>,
}

/// The writer stopped before the end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off; ask again for what is missing")]
pub struct Truncated;

/// The reader of a body went away.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the reader closed the connection")]
pub struct Disconnected;

impl Body {
    /// Creates a body from all of its bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Keeps `guard` until the body is sent or dropped.
    #[must_use]
    pub fn with_guard(self, guard: RequestGuard) -> Self {
        Self::Guarded(Box::new(self), guard)
    }

    /// Creates a body that is written piece by piece.
    pub fn channel() -> (Writer, Self) {
        let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        let (reader, reader_side) = oneshot::channel();
        let body = Self::Chunks {
            receiver,
            _reader: reader_side,
        };
        (Writer { sender, reader }, body)
    }
}

impl Writer {
    /// Sends a piece; waits while the reader is slow.
    ///
    /// # Errors
    /// [`Disconnected`] if the reader closed the connection.
    pub async fn send(&mut self, piece: impl Into<Bytes>) -> Result<(), Disconnected> {
        self.sender
            .send(Some(piece.into()))
            .await
            .map_err(|_| Disconnected)
    }

    /// Ends the body.
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
            Self::Chunks { receiver, .. } => {
                Pin::new(receiver).poll_next(cx).map(|piece| match piece {
                    Some(Some(piece)) => Some(Ok(Frame::data(piece))),
                    Some(None) => None,
                    None => Some(Err(Truncated)),
                })
            }
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
