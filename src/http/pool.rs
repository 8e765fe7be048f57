//! Reused connections for short calls between processes.
//!
//! A call that fails or runs out of time closes every idle connection to that address, because
//! something in between may have lost track of all of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use compio::bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::http::response::Parts;

use super::client::{Connection, Error};
use crate::util::within;

/// Idle connections kept for each address.
const IDLE_MAX: usize = 8;

/// Connections by address.
#[derive(Debug, Default)]
pub struct Pool(RefCell<BTreeMap<String, Vec<Connection>>>);

impl Pool {
    /// Sends a request and reads the whole response, within `limit`.
    ///
    /// # Errors
    /// [`Error::Connect`] if no byte was sent; [`Error::Response`] if the request may have arrived.
    pub async fn call(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(Parts, Bytes), Error> {
        let idle = self.take(address);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, limit).await?,
        };
        let exchange = async {
            let (head, body) = connection.send(request).await?.into_parts();
            let body = body.collect().await.map_err(|err| Error::Response {
                address: address.into(),
                cause: err.to_string(),
            })?;
            Ok((head, body.to_bytes()))
        };
        let result = within(limit, exchange).await.unwrap_or_else(|| {
            Err(Error::Response {
                address: address.into(),
                cause: format!("no answer in {} ms", limit.as_millis()),
            })
        });
        match result {
            Ok(_) => self.put(address, connection),
            Err(_) => drop(self.0.borrow_mut().remove(address)),
        }
        result
    }

    fn take(&self, address: &str) -> Option<Connection> {
        let mut pool = self.0.borrow_mut();
        let idle = pool.get_mut(address)?;
        std::iter::from_fn(|| idle.pop()).find(|connection| !connection.is_closed())
    }

    fn put(&self, address: &str, connection: Connection) {
        let mut pool = self.0.borrow_mut();
        let idle = pool.entry(address.into()).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }
}
