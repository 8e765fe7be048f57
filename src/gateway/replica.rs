//! Replicas of the memory of running streams, and copies that the host has engines make of it.
//!
//! [`crate::relay::replication`] decides when a copy is made.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::protocol::Protocol;
use super::{Gateway, reach};
use crate::clock::Clock;
use crate::http::client::{Connection, Exchange};
use crate::route::registry::Engine;
use crate::util::within;

/// Timeout for connecting to an engine for a copy. The engine is sending events of the run, so it should accept
/// at once.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a copy, which may wait for other transfers on the links of both engines.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer, which is a short document.
const ANSWER_BYTES_MAX: usize = 16 * 1024;

/// The memory of a run at another engine, from which its stream can go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The engine that holds it.
    pub engine: Engine,
    /// Address of the engine that made it on request of the host; `None` for the replica that the
    /// request itself ordered.
    pub source: Option<CompactString>,
    /// Its id: that of the run, or one that the source gave it.
    pub id: CompactString,
}

/// A copy that an engine is asked for. Its result is set once.
pub type Pending = Rc<Cell<Option<Outcome>>>;

/// Result of a copy that an engine was asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The copy is complete.
    Copied(Replica),
    /// There is no copy.
    Failed,
}

/// Asks engine `source` to copy the memory of `run` to engine `to`.
pub fn copy<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    source: Engine,
    to: Engine,
    run: CompactString,
) -> Pending {
    let pending = Pending::default();
    let result = pending.clone();
    let task = {
        let gateway = gateway.clone();
        async move {
            let replica = request_copy::<C, P>(&gateway, source, to, &run).await;
            let name = if replica.is_some() {
                "copied"
            } else {
                "failed"
            };
            gateway.metrics.count_decision("replica_copy", name);
            result.set(Some(replica.map_or(Outcome::Failed, Outcome::Copied)));
        }
    };
    gateway.stream_tasks.spawn(task);
    pending
}

async fn request_copy<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    source: Engine,
    to: Engine,
    run: &str,
) -> Option<Replica> {
    let (address, to_address) = {
        let registry = gateway.registry.borrow();
        let address = |engine| Some(registry.get(engine)?.registration.address.clone());
        (address(source)?, address(to)?)
    };
    let request = P::copy_request(&address, run, &to_address)?;
    let (head, body) = call(gateway, source, &address, request).await?;
    let id = P::decode_copy(&body).filter(|_| head.status() == StatusCode::OK)?;
    Some(Replica {
        engine: to,
        source: Some(address),
        id,
    })
}

/// Has the engine that made a copy free it, as its stream has ended.
pub fn release<C: Clock, P: Protocol>(gateway: &Rc<Gateway<C>>, source: Engine, replica: &Replica) {
    let Some(address) = replica.source.clone() else {
        return;
    };
    let Some(request) = P::release_request(&address, &replica.id) else {
        return;
    };
    let task = {
        let gateway = gateway.clone();
        async move {
            let _ = call(&gateway, source, &address, request).await;
        }
    };
    gateway.stream_tasks.spawn(task);
}

async fn call<C: Clock>(
    gateway: &Rc<Gateway<C>>,
    engine: Engine,
    address: &str,
    request: Request<Full<Bytes>>,
) -> Option<(Response<()>, Vec<u8>)> {
    let stream = reach::connect(gateway, engine, address, CONNECT_TIMEOUT).await;
    let mut connection = Connection::start(address, stream.ok()?).await.ok()?;
    let answer = async {
        let response = connection.send(request).await.ok()?;
        let mut exchange = Exchange::new(response, connection);
        let body = exchange.read_rest(ANSWER_BYTES_MAX).await.ok()?;
        Some((exchange.head, body))
    };
    within(COPY_TIMEOUT, answer).await.flatten()
}
