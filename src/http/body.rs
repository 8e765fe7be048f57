//! Response bodies: complete ones, or chunks written with backpressure.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use compio::bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use hyper::body::{Frame, SizeHint};

use super::idle::Running;
use super::server::RequestGuard;

/// Number of chunks buffered for a slow reader; when it is reached, the writer waits.
const BUFFERED_CHUNKS: usize = 16;

/// Number of bytes in buffered chunks from which on the writer waits.
const BUFFERED_BYTES: usize = 16 * 1024;

/// Bytes in the chunks of a body that were not sent yet.
#[derive(Debug, Default)]
struct Unsent {
    bytes: Cell<usize>,
    writer: RefCell<Option<Waker>>,
}

impl Unsent {
    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn subtract(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
        self.wake();
    }

    fn wake(&self) {
        if let Some(writer) = self.writer.take() {
            writer.wake();
        }
    }

    /// Waits until there is room or the reader is gone.
    async fn room(&self, reader: &oneshot::Sender<()>) {
        poll_fn(|cx| {
            if self.bytes.get() < BUFFERED_BYTES || reader.is_canceled() {
                return Poll::Ready(());
            }
            self.writer.replace(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

/// The reader's side of a chunked body.
#[derive(Debug)]
pub struct Reader {
    // Chunks not yet sent; `None` marks the end.
    chunks: mpsc::Receiver<Option<Bytes>>,
    // Dropped with the body, which tells the writer that the reader disconnected.
    connected: Option<oneshot::Receiver<()>>,
    unsent: Rc<Unsent>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.connected.take();
        self.unsent.wake();
    }
}

/// A response body.
#[derive(Debug)]
pub enum Body {
    /// A complete body, `None` once it was sent.
    Full(Option<Bytes>),
    /// A body written by a [`Writer`].
    Chunks {
        /// The chunks.
        reader: Reader,
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
    unsent: Rc<Unsent>,
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
        let (reader, connected) = oneshot::channel();
        let unsent = Rc::new(Unsent::default());
        let body = Self::Chunks {
            reader: Reader {
                chunks: receiver,
                connected: Some(connected),
                unsent: unsent.clone(),
            },
            is_truncated: false,
        };
        let writer = Writer {
            sender,
            reader,
            unsent,
        };
        (writer, body)
    }
}

impl Writer {
    /// Sends a chunk; waits while the buffer is full. A single chunk may be longer than the buffer.
    ///
    /// # Errors
    /// [`Disconnected`] if the reader closed the connection.
    pub async fn send(&mut self, chunk: impl Into<Bytes>) -> Result<(), Disconnected> {
        let chunk = chunk.into();
        self.unsent.room(&self.reader).await;
        self.unsent.add(chunk.len());
        self.sender
            .send(Some(chunk))
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
                reader,
                is_truncated,
            } => match ready!(Pin::new(&mut reader.chunks).poll_next(cx)) {
                Some(Some(chunk)) => {
                    reader.unsent.subtract(chunk.len());
                    Poll::Ready(Some(Ok(Frame::data(chunk))))
                }
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
