//! Connection pool for short calls between processes.
//!
//! A call that fails or times out closes all idle connections to its address, as a device on the path
//! may have lost the state of all of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use compio::bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request};

use super::client::{Connection, Error};
use crate::util::within;

/// Maximum number of idle connections kept for one address.
const IDLE_PER_ADDRESS_MAX: usize = 8;

/// Maximum size of a response body in bytes. A response of the store holds up to 1 MB, or a few changes
/// of a configuration of that size.
const RESPONSE_BYTES_MAX: usize = 32 * 1024 * 1024;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<String, Vec<Connection>>>,
    bytes: Cell<u64>,
}

/// Estimates the size of an HTTP message in bytes; its first line is counted as 32 bytes.
pub fn message_bytes(headers: &HeaderMap, body: usize) -> u64 {
    const FIRST_LINE_BYTES: usize = 32;
    // The `: ` and line break of a header.
    const SEPARATOR_BYTES: usize = 4;
    let headers = headers.iter();
    let head: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum();
    (FIRST_LINE_BYTES + head + body) as u64
}

impl Pool {
    /// Sends a request and reads the whole response.
    ///
    /// `limit` bounds the time to connect, and again the time from then to the end of the response.
    ///
    /// # Errors
    /// [`Error::Connect`] if no byte was sent; [`Error::Response`] if the request may have reached the
    /// server, also if the response is longer than [`RESPONSE_BYTES_MAX`].
    pub async fn call(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(Parts, Bytes), Error> {
        let size = request.body().size_hint().exact().unwrap_or(0) as usize;
        self.count_bytes(message_bytes(request.headers(), size));
        let idle = self.take_idle(address);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, limit).await?,
        };
        let exchange = async {
            let (head, body) = connection.send(request).await?.into_parts();
            let body = Limited::new(body, RESPONSE_BYTES_MAX).collect();
            let body = body.await.map_err(|err| Error::Response {
                address: address.into(),
                cause: err.to_string(),
            })?;
            Ok((head, body.to_bytes()))
        };
        let result = within(limit, exchange).await.unwrap_or_else(|| {
            Err(Error::Response {
                address: address.into(),
                cause: format!("no complete answer within {} ms", limit.as_millis()),
            })
        });
        match &result {
            Ok((head, body)) => {
                self.count_bytes(message_bytes(&head.headers, body.len()));
                self.put_idle(address, connection);
            }
            Err(_) => drop(self.idle.borrow_mut().remove(address)),
        }
        result
    }

    /// Returns the bytes sent and received, without TCP and IP headers.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    fn count_bytes(&self, bytes: u64) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(address)?;
        std::iter::from_fn(|| idle.pop()).find(|connection| !connection.is_closed())
    }

    fn put_idle(&self, address: &str, connection: Connection) {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(address.into()).or_default();
        if idle.len() < IDLE_PER_ADDRESS_MAX {
            idle.push(connection);
        }
    }
}
