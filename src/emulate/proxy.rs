//! A TCP proxy that injects faults between a client and a server process.
//!
//! On the control address, `PUT /v1/emulation/fault` sets the fault as JSON and `PUT
//! /v1/emulation/upstream` sets the address to which new connections are forwarded.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::body::Body;
use crate::http::problem::text_response;
use crate::http::server;
use crate::supervisor::{Group, Signal};

/// Fault that the proxy injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// Forwards everything.
    #[default]
    Pass,
    /// Waits before it forwards the data of each read.
    Delay {
        /// Wait in milliseconds.
        ms: u64,
    },
    /// Closes the open connections, and each new one as soon as it is accepted.
    Cut,
    /// Closes the open connections; new ones are forwarded.
    Reset,
    /// Forwards nothing more on the open connections, in either direction, even after the fault is
    /// replaced; new ones are forwarded.
    Silence,
    /// Holds back all data to the upstream side until the fault is replaced; the other direction
    /// works.
    BlockToUpstream,
    /// Holds back all data to the client side until the fault is replaced; the other direction
    /// works.
    BlockToClient,
}

struct Shared {
    upstream: RefCell<CompactString>,
    fault: Cell<Fault>,
    // Connections that were accepted at a lower `silence_count` forward nothing.
    silent_before: Cell<u64>,
    // Number of `Silence` faults so far.
    silence_count: Cell<u64>,
    // Set to close the open connections, then replaced by a new signal.
    close: RefCell<Signal>,
    // Set when the fault changes, then replaced by a new signal.
    changed: RefCell<Signal>,
    stop: Signal,
}

impl Shared {
    fn set_fault(&self, fault: Fault) {
        match fault {
            Fault::Silence => {
                self.silence_count.set(self.silence_count.get() + 1);
                self.silent_before.set(self.silence_count.get());
            }
            Fault::Cut | Fault::Reset => self.close.take().set(),
            _ => {}
        }
        self.fault.set(fault);
        self.changed.take().set();
    }

    fn is_blocked(&self, to_upstream: bool, silence_count: u64) -> bool {
        if silence_count < self.silent_before.get() {
            return true;
        }
        match self.fault.get() {
            Fault::BlockToUpstream => to_upstream,
            Fault::BlockToClient => !to_upstream,
            _ => false,
        }
    }
}

/// Runs the proxy until `stop` is set. `listener` takes the connections to forward, and `control`
/// the requests that change the fault.
pub async fn run(
    listener: TcpListener,
    control: TcpListener,
    upstream: CompactString,
    stop: Signal,
) {
    let shared = Rc::new(Shared {
        upstream: RefCell::new(upstream),
        fault: Cell::default(),
        silent_before: Cell::new(0),
        silence_count: Cell::new(0),
        close: RefCell::default(),
        changed: RefCell::default(),
        stop: stop.clone(),
    });
    let service = Rc::new(Control(shared.clone()));
    let control = compio::runtime::spawn(server::serve(control, service, stop.clone()));
    let connections = Group::default();
    loop {
        let accept = std::pin::pin!(listener.accept());
        let stopped = std::pin::pin!(stop.wait());
        match select(stopped, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, _)), _)) => {
                connections.spawn(forward(stream, shared.clone()));
            }
            Either::Right((Err(_), _)) => {}
        }
    }
    connections.join().await;
    let _ = control.await;
}

async fn forward(client: TcpStream, shared: Rc<Shared>) {
    if shared.fault.get() == Fault::Cut {
        return;
    }
    let close = shared.close.borrow().clone();
    let silence_count = shared.silence_count.get();
    let upstream = shared.upstream.borrow().clone();
    let Ok(server) = TcpStream::connect(upstream.as_str()).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let copies = async {
        let up = std::pin::pin!(copy(
            client_read,
            server_write,
            true,
            silence_count,
            &shared
        ));
        let down = std::pin::pin!(copy(
            server_read,
            client_write,
            false,
            silence_count,
            &shared
        ));
        futures_util::future::join(up, down).await;
    };
    let copies = std::pin::pin!(copies);
    let closed = std::pin::pin!(select(Box::pin(close.wait()), Box::pin(shared.stop.wait())));
    select(copies, closed).await;
}

/// Copies one direction of a connection until it ends or fails.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    to_upstream: bool,
    silence_count: u64,
    shared: &Shared,
) {
    let mut buffer = Vec::with_capacity(16 * 1024);
    loop {
        let BufResult(read, filled) = from.read(buffer).await;
        let Ok(1..) = read else {
            break;
        };
        if let Fault::Delay { ms } = shared.fault.get() {
            compio::time::sleep(Duration::from_millis(ms)).await;
        }
        while shared.is_blocked(to_upstream, silence_count) {
            let changed = shared.changed.borrow().clone();
            changed.wait().await;
        }
        let BufResult(written, mut filled) = to.write_all(filled).await;
        if written.is_err() {
            break;
        }
        filled.clear();
        buffer = filled;
    }
    // A blocked direction does not forward the end of the connection either.
    while shared.is_blocked(to_upstream, silence_count) {
        let changed = shared.changed.borrow().clone();
        changed.wait().await;
    }
    let _ = to.shutdown().await;
}

struct Control(Rc<Shared>);

impl server::Service for Control {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "the request body is incomplete");
        };
        let body = body.to_bytes();
        let result = match head.uri.path() {
            "/v1/emulation/upstream" => serde_json::from_slice(&body)
                .map(|upstream| *self.0.upstream.borrow_mut() = upstream),
            _ => serde_json::from_slice(&body).map(|fault| self.0.set_fault(fault)),
        };
        match result {
            Ok(()) => text_response(StatusCode::OK, ""),
            Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
        }
    }
}
