//! HTTP/1 server: an accept loop that runs and joins one task for each connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use log::warn;

use super::body::Body;
use super::budget::{Budget, Exhausted, OpenConnection};
use super::fair::Fair;
use super::idle::Idle;
use super::socket::Socket;
use super::unsent::Unsent;
use crate::supervisor::Signal;
use crate::util::within;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Timeout for reading the head of a request, counted from the end of the previous response. A
    /// change also holds for open connections.
    pub head_timeout: Duration,
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(15),
            max_head_bytes: 64 * 1024,
        }
    }
}

/// Smallest read buffer that hyper accepts; it panics below.
const HEAD_BYTES_MIN: usize = 8192;

/// Time without a new connection after which the queue of the listener counts as empty.
const ACCEPT_QUEUE_WAIT: Duration = Duration::from_millis(10);

/// Time after the request to stop in which connections without a running request stay open. A
/// request that the caller sends at that moment is answered instead of cut.
const IDLE_GRACE: Duration = Duration::from_millis(700);

/// Polling interval of [`Requests::wait_idle`].
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handler of the requests of a server.
pub trait Service: 'static {
    /// Answers one request.
    fn call(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Returns the limits in force.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Returns the budget that limits connections; `None` if they are not limited.
    fn budget(&self) -> Option<&Budget> {
        None
    }
}

/// The requests that are running on this host.
#[derive(Clone, Debug, Default)]
pub struct Requests(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    last_number: u64,
    // Description and start of each running request by number.
    running: BTreeMap<u64, (String, Instant)>,
}

/// Keeps a request among the running ones until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    requests: Requests,
    number: u64,
}

impl Requests {
    /// Registers a running request; `description` identifies it in the log.
    pub fn begin(&self, description: String) -> RequestGuard {
        let mut state = self.0.borrow_mut();
        state.last_number += 1;
        let number = state.last_number;
        state.running.insert(number, (description, Instant::now()));
        RequestGuard {
            requests: self.clone(),
            number,
        }
    }

    /// Returns the description and start of each running request, oldest first.
    pub fn running(&self) -> Vec<(String, Instant)> {
        self.0.borrow().running.values().cloned().collect()
    }

    /// Waits until no request is running.
    pub async fn wait_idle(&self) {
        while !self.0.borrow().running.is_empty() {
            compio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.requests.0.borrow_mut().running.remove(&self.number);
    }
}

/// Serves connections until `stop` is set and all connections have ended.
///
/// After `stop`, the connections that wait in the queue of the listener are served, running requests
/// are finished, and idle connections are closed a moment later.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, stop: Signal) {
    let mut connections = FuturesUnordered::new();
    while !stop.is_set() {
        let stopped = pin!(stop.wait());
        let accepted = {
            let accept = pin!(listener.accept());
            let ended = pin!(next_ended(&mut connections));
            // `accept` is polled first: dropping it after it has taken a connection from the queue
            // would reset that connection.
            match select(select(accept, ended), stopped).await {
                Either::Left((Either::Left((accepted, _)), _)) => accepted,
                Either::Left((Either::Right(_), _)) => continue,
                Either::Right(_) => break,
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                // A connection that is refused is closed.
                if let Ok(open) = admit(&*service, peer) {
                    let task = serve_connection(stream, service.clone(), open, stop.clone());
                    connections.push(compio::runtime::spawn(task));
                }
            }
            Err(err) => {
                warn!("event=accept_failed error={err:?}");
                // When out of file descriptors, accepting again at once would be a busy loop.
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    // Callers have sent their requests on these connections before the listener closes.
    while let Some(Ok((stream, peer))) = within(ACCEPT_QUEUE_WAIT, listener.accept()).await {
        if let Ok(open) = admit(&*service, peer) {
            let task = serve_connection(stream, service.clone(), open, stop.clone());
            connections.push(compio::runtime::spawn(task));
        }
    }
    drop(listener);
    while connections.next().await.is_some() {}
}

/// Adds a connection to the budget of the service, if it has one.
fn admit<S: Service>(service: &S, peer: SocketAddr) -> Result<Option<OpenConnection>, Exhausted> {
    let budget = service.budget();
    budget
        .map(|budget| budget.open(peer.ip(), Instant::now()))
        .transpose()
}

/// Waits until a connection has ended; never returns if there are none.
async fn next_ended<F: Future>(connections: &mut FuturesUnordered<F>) {
    if connections.next().await.is_none() {
        std::future::pending::<()>().await;
    }
}

async fn serve_connection<S: Service>(
    stream: TcpStream,
    service: Rc<S>,
    open: Option<OpenConnection>,
    stop: Signal,
) {
    // Callers wait for each small frame, so Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let limits = service.limits();
    let Ok(socket) = stream.to_poll_fd() else {
        return;
    };
    let has_chunks = Rc::new(Cell::new(true));
    let sets_chunks = has_chunks.clone();
    let key = open.as_ref().map(|open| open.key);
    let budgeted = service.budget().cloned().zip(key);
    let idle = Idle::new(budgeted.clone());
    let closing = open.as_ref().map(|open| open.closing.clone());
    let closing = closing.unwrap_or_default();
    // A connection without a budget never has to close for others.
    let expired = pin!(idle.wait(|| service.limits().head_timeout));
    let expired = pin!(select(expired, closing.wait()));
    let requests = idle.clone();
    let handled = service.clone();
    let handler = service_fn(move |mut request: Request<Incoming>| {
        if let Some(key) = key {
            request.extensions_mut().insert(key);
        }
        sets_chunks.set(request.version() > Version::HTTP_10);
        let service = handled.clone();
        // Boxed, as hyper keeps the memory of this future as long as the connection is open.
        let running = requests.begin();
        async move {
            let response = Box::pin(service.call(request)).await;
            Ok::<_, Infallible>(response.map(|body| body.with_guard(running)))
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        // Its limit would be that of the time at which the connection was opened.
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(
            Unsent::new(Fair::new(Socket::new(socket)), budgeted),
            handler,
        );
    let served = pin!(async move {
        let mut connection = pin!(connection);
        let stopped = pin!(stop.wait());
        match select(connection.as_mut(), stopped).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => match within(IDLE_GRACE, connection.as_mut()).await {
                Some(ended) => ended,
                None => {
                    connection.as_mut().graceful_shutdown();
                    connection.as_mut().await
                }
            },
        }
    });
    // The connection is polled first, so that a request that has arrived is taken.
    let ended = match select(served, expired).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => Ok(()),
    };
    let is_truncated = ended.is_err_and(|err| err.is_user());
    if is_truncated && !has_chunks.get() {
        // Without chunks, a response ends with its connection, and only a reset tells a truncated
        // one from a whole one.
        let _ = stream.set_zero_linger();
    }
}
