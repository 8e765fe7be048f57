//! Response bodies: whole, or written piece by piece with back-pressure.

use std::pin::Pin;
use std::task::{Context, Poll};

use compio::bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use hyper::body::{Frame, SizeHint};

use super::server::Entry;

/// Pieces that wait for a slow reader before the writer has to wait too.
const BUFFERED_PIECES: usize = 16;

/// A response body.
#[derive(Debug)]
pub enum Body {
    /// All of it is known.
    Whole(Option<Bytes>),
    /// Written by a [`Writer`].
    Pieces {
        /// Pieces not yet sent; `None` is the end.
        receiver: mpsc::Receiver<Option<Bytes>>,
        /// Dropped with the body, which tells the writer that the reader is gone.
        _reader: oneshot::Receiver<()>,
    },
    /// Keeps a request among the running ones until it is sent.
    Held(Box<Self>, Entry),
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
pub struct Cut;

/// The reader of a body went away.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the reader closed the connection")]
pub struct Gone;

impl Body {
    /// Creates a body from all of its bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Keeps `entry` until the body is sent or dropped.
    #[must_use]
    pub fn held(self, entry: Entry) -> Self {
        Self::Held(Box::new(self), entry)
    }

    /// Creates a body that is written piece by piece.
    pub fn pieces() -> (Writer, Self) {
        let (sender, receiver) = mpsc::channel(BUFFERED_PIECES);
        let (reader, reader_side) = oneshot::channel();
        let body = Self::Pieces {
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
    /// [`Gone`] if the reader closed the connection.
    pub async fn send(&mut self, piece: impl Into<Bytes>) -> Result<(), Gone> {
        self.sender.send(Some(piece.into())).await.map_err(|_| Gone)
    }

    /// Ends the body.
    ///
    /// # Errors
    /// [`Gone`] if the reader closed the connection.
    pub async fn finish(mut self) -> Result<(), Gone> {
        self.sender.send(None).await.map_err(|_| Gone)
    }

    /// Waits until the reader closes the connection.
    pub async fn gone(&mut self) {
        self.reader.cancellation().await;
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces { receiver, .. } => {
                Pin::new(receiver).poll_next(cx).map(|piece| match piece {
                    Some(Some(piece)) => Some(Ok(Frame::data(piece))),
                    Some(None) => None,
                    None => Some(Err(Cut)),
                })
            }
            Self::Held(body, _) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Pieces { .. } => false,
            Self::Held(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces { .. } => SizeHint::default(),
            Self::Held(body, _) => body.size_hint(),
        }
    }
}
