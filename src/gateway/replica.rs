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

/// Timeout of a copy, which may wait for other transfers on the links of both engines. When a failure
/// domain is lost, the copies of many streams wait there.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

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
    /// The engine answered that there is no copy.
    Refused,
    /// The engine did not answer. It may go on copying, which takes room at the destination.
    Unanswered,
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
            let outcome = request_copy::<C, P>(&gateway, source, to, &run).await;
            let name = match outcome {
                Outcome::Copied(_) => "copied",
                Outcome::Refused | Outcome::Unanswered => "failed",
            };
            gateway.metrics.count_decision("replica_copy", name);
            let has_stream = Rc::strong_count(&result) > 1;
            if let (Outcome::Copied(copy), false) = (&outcome, has_stream) {
                release::<C, P>(&gateway, source, copy);
            }
            result.set(Some(outcome));
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
) -> Outcome {
    let address = |engine| {
        let registry = gateway.registry.borrow();
        Some(registry.get(engine)?.registration.address.clone())
    };
    let Some((address, to_address)) = address(source).zip(address(to)) else {
        return Outcome::Refused;
    };
    let Some(request) = P::copy_request(&address, run, &to_address) else {
        return Outcome::Refused;
    };
    let Some((head, body)) = call(gateway, source, &address, request).await else {
        return Outcome::Unanswered;
    };
    match P::decode_copy(&body).filter(|_| head.status() == StatusCode::OK) {
        Some(id) => Outcome::Copied(Replica {
            engine: to,
            source: Some(address),
            id,
        }),
        None => Outcome::Refused,
    }
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
