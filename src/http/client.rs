//! HTTP client that opens a connection for each request.
//!
//! Streams of engines and calls to backend servers do not use pooled connections: a pooled connection
//! may have failed silently, and only with a new connection is it known whether any byte of a request
//! can have reached the server.

use std::ops::RangeInclusive;
use std::time::Duration;

use compio::bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response};

use super::fair::Fair;
use super::socket::{EarlyEnd, Socket};
use crate::util::within;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("could not connect to {address}: {cause}; check that the process listens there")]
    Connect {
        /// Address of the server.
        address: String,
        /// Error of the operating system or timeout.
        cause: String,
    },
    /// The request may have reached the server.
    #[error("no response from {address}: {cause}; the outcome of the request is unknown")]
    Response {
        /// Address of the server.
        address: String,
        /// Error of the connection or timeout.
        cause: String,
    },
}

impl Error {
    /// Returns whether it is certain that no byte of the request reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Why a body cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed before the end.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The connection, whose end is that of the body, ended while the request was still being sent.
    #[error("the server closed the connection before it was sent the whole request")]
    EarlyEnd,
    /// The body is longer than the limit, and perhaps endless.
    #[error("the body is longer than {limit} bytes; raise the limit or shorten the response")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
}

/// The beginning of a body.
#[derive(Debug)]
pub enum Prefix {
    /// The whole body.
    Whole(Vec<u8>),
    /// As much as fits into the limit; more may follow.
    Part {
        /// The bytes up to the limit.
        read: Vec<u8>,
        /// The chunk that exceeds the limit.
        next: Bytes,
    },
}

/// A response and its connection.
///
/// Dropping it closes the connection; an engine then cancels the attempt.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: Response<()>,
    body: Incoming,
    /// Set for a successful response whose end is that of its connection: where the connection ended
    /// before the request was sent, the body may be a part.
    early_end: Option<EarlyEnd>,
    _connection: JoinHandle<()>,
}

impl Exchange {
    /// Combines a response with the connection it arrives on.
    pub fn new(response: Response<Incoming>, connection: Connection) -> Self {
        let (parts, body) = response.into_parts();
        let head = Response::from_parts(parts, ());
        let has_end = is_framed(&head) || body.is_end_stream();
        // A failure may be reported before the whole request has arrived.
        let needs_request = head.status().is_success() && !has_end;
        Self {
            head,
            body,
            early_end: needs_request.then_some(connection.early_end),
            _connection: connection.task,
        }
    }

    /// Returns whether the head says where the body ends. Otherwise it ends with its connection.
    pub fn is_framed(&self) -> bool {
        is_framed(&self.head)
    }

    /// Drops the headers, which hold the read buffer that they arrived in.
    pub fn clear_headers(&mut self) {
        *self.head.headers_mut() = HeaderMap::new();
    }

    /// Returns the next chunk of the body, `None` at its end.
    ///
    /// # Errors
    /// The connection failed before the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        match self.early_end.as_ref().is_some_and(EarlyEnd::is_set) {
            true => Err(BodyError::EarlyEnd),
            false => Ok(None),
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// The connection failed before the end of the body, or the body is longer than `limit` bytes.
    pub async fn read_rest(&mut self, limit: usize) -> Result<Vec<u8>, BodyError> {
        match self.read_up_to(limit).await? {
            Prefix::Whole(body) => Ok(body),
            Prefix::Part { .. } => Err(BodyError::TooLong { limit }),
        }
    }

    /// Reads the body until it ends or more than `limit` bytes have arrived.
    ///
    /// # Errors
    /// The connection failed before that.
    pub async fn read_up_to(&mut self, limit: usize) -> Result<Prefix, BodyError> {
        let mut read = Vec::new();
        while let Some(chunk) = self.next().await? {
            // Growing the buffer past the limit would double it.
            if read.len() + chunk.len() > limit {
                return Ok(Prefix::Part { read, next: chunk });
            }
            read.extend_from_slice(&chunk);
        }
        Ok(Prefix::Whole(read))
    }
}

fn is_framed(head: &Response<()>) -> bool {
    let headers = head.headers();
    headers.contains_key(CONTENT_LENGTH) || is_chunked(headers)
}

/// Returns whether the body is sent in chunks; one with only other transfer encodings has no end of
/// its own.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut lines = headers.get_all(TRANSFER_ENCODING).iter();
    let last = lines.next_back().map(|line| line.as_bytes());
    let last = last.and_then(|line| line.rsplit(|byte| *byte == b',').next());
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Size of the read buffer of a connection, which bounds the head of a response and the memory that a
/// server takes which sends bytes without end.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Status codes of a response (RFC 9110, section 15). The library takes those up to 999, and 101 for
/// a change of the protocol, which is never asked for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: String,
    sender: http1::SendRequest<Full<Bytes>>,
    early_end: EarlyEnd,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`Error::Connect`] if no connection is established within `limit`.
    pub async fn open(address: &str, limit: Duration) -> Result<Self, Error> {
        let unsent = |cause: String| Error::Connect {
            address: address.into(),
            cause,
        };
        let stream = within(limit, TcpStream::connect(address))
            .await
            .ok_or_else(|| unsent(format!("no answer within {} ms", limit.as_millis())))?
            .map_err(|err| unsent(err.to_string()))?;
        Self::start(address, stream).await
    }

    /// Starts to use an open connection.
    ///
    /// # Errors
    /// [`Error::Connect`] if the connection cannot be used.
    pub async fn start(address: &str, stream: TcpStream) -> Result<Self, Error> {
        let unsent = |cause: String| Error::Connect {
            address: address.into(),
            cause,
        };
        let _ = stream.set_nodelay(true);
        let socket = stream
            .into_poll_fd()
            .map_err(|err| unsent(err.to_string()))?;
        let socket = Socket::new(socket);
        let early_end = socket.early_end();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(Fair::new(socket))
            .await
            .map_err(|err| unsent(err.to_string()))?;
        let task = compio::runtime::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address: address.into(),
            sender,
            early_end,
            task,
        })
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`Error::Response`]; the request may have reached the server.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let failed = |err: hyper::Error| Error::Response {
            address: self.address.clone(),
            cause: err.to_string(),
        };
        self.sender.ready().await.map_err(failed)?;
        let response = self.sender.send_request(request).await.map_err(failed)?;
        if !FINAL_STATUSES.contains(&response.status().as_u16()) {
            return Err(Error::Response {
                address: self.address.clone(),
                cause: format!("status {} is none of HTTP", response.status().as_u16()),
            });
        }
        Ok(response)
    }
}

/// Sends `request` over a new connection to `address` and waits for the head of the response.
///
/// `connect_limit` bounds only the time to connect; the caller has to bound the wait for the response.
///
/// # Errors
/// [`Error::Connect`] if no byte was sent, [`Error::Response`] otherwise.
pub async fn send(
    address: &str,
    request: Request<Full<Bytes>>,
    connect_limit: Duration,
) -> Result<Exchange, Error> {
    let mut connection = Connection::open(address, connect_limit).await?;
    let response = connection.send(request).await?;
    Ok(Exchange::new(response, connection))
}

/// Builds a `POST` request with a JSON body.
pub fn post_json<T: serde::Serialize>(address: &str, path: &str, body: &T) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(body).expect("wire types serialize");
    Request::post(path)
        .header(hyper::header::HOST, address)
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the path and address are valid header text")
}
