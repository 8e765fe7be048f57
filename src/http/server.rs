//! The accept loop: each connection is a task that this loop joins.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use log::warn;

use super::body::Body;
use crate::supervisor::Signal;

/// What a server allows on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time in which the head of a request must arrive, counted from the end of the answer before.
    pub head_timeout: Duration,
    /// Greatest size of a head in bytes.
    pub head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(15),
            head_bytes: 64 * 1024,
        }
    }
}

/// Smallest buffer that hyper accepts for heads.
const HEAD_BYTES_MIN: usize = 8192;

/// Time between two looks at whether a host is idle.
const IDLE_PERIOD: Duration = Duration::from_millis(20);

/// Answers requests.
pub trait Service: 'static {
    /// Answers one request.
    fn call(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Returns the limits for a new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// The requests that a host runs.
#[derive(Clone, Debug, Default)]
pub struct Requests(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    last: u64,
    running: BTreeMap<u64, (String, Instant)>,
}

/// A running request; it ends when this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    requests: Requests,
    number: u64,
}

impl Requests {
    /// Notes a request; `what` describes it in the log.
    pub fn begin(&self, what: String) -> RequestGuard {
        let mut state = self.0.borrow_mut();
        state.last += 1;
        let number = state.last;
        state.running.insert(number, (what, Instant::now()));
        RequestGuard {
            requests: self.clone(),
            number,
        }
    }

    /// Returns what runs and since when, the oldest first.
    pub fn running(&self) -> Vec<(String, Instant)> {
        self.0.borrow().running.values().cloned().collect()
    }

    /// Waits until no request runs.
    pub async fn idle(&self) {
        while !self.0.borrow().running.is_empty() {
            compio::time::sleep(IDLE_PERIOD).await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.requests.0.borrow_mut().running.remove(&self.number);
    }
}

/// Serves connections until `stop` is given and all connections have ended.
///
/// Running requests are finished after `stop`; idle connections are closed.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, stop: Signal) {
    let mut connections = FuturesUnordered::new();
    while !stop.is_set() {
        let stopped = pin!(stop.wait());
        let accepted = {
            let accept = pin!(listener.accept());
            let ended = pin!(next_ended(&mut connections));
            match select(stopped, select(accept, ended)).await {
                Either::Left(_) => break,
                Either::Right((Either::Left((accepted, _)), _)) => accepted,
                Either::Right((Either::Right(_), _)) => continue,
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let task = connection(stream, service.clone(), stop.clone());
                connections.push(compio::runtime::spawn(task));
            }
            Err(err) => {
                warn!("event=accept_failed error={err:?}");
                // Out of file descriptors: accepting again at once would spin.
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    while connections.next().await.is_some() {}
}

async fn next_ended<F: Future>(connections: &mut FuturesUnordered<F>) {
    if connections.next().await.is_none() {
        std::future::pending::<()>().await;
    }
}

async fn connection<S: Service>(stream: TcpStream, service: Rc<S>, stop: Signal) {
    // Frames are small and each one is waited for, so they are sent at once.
    let _ = stream.set_nodelay(true);
    let limits = service.limits();
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.call(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(HyperStream::new_plain(stream), handler);
    let mut connection = pin!(connection);
    let stopped = pin!(stop.wait());
    if let Either::Right(((), connection)) = select(connection.as_mut(), stopped).await {
        connection.graceful_shutdown();
    } else {
        return;
    }
    let _ = connection.await;
}
