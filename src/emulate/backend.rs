//! An emulated backend server that counts how often it ran each call.
//!
//! It runs every `POST` that it receives and counts it by the value of the header `X-Call`. The
//! header `X-Fault` selects a fault: `refuse` responds with 503 and `not-run`, `drop` runs the call
//! and then closes the connection in the middle of the response, `slow@MS` responds after MS
//! milliseconds. `/v1/emulation/runs` returns the counts, and `/v1/emulation/leave` makes the
//! server refuse all further calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::body::Body;
use crate::http::problem::{Problem, Reason, json_response, text_response};
use crate::http::server;
use crate::supervisor::Signal;

/// Response to a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Value of the header `X-Call`.
    pub call: String,
    /// Body of the request.
    pub body: String,
    /// Number of calls that this server has run, this one included.
    pub serial: u64,
}

struct Backend {
    // Number of runs by the value of `X-Call`.
    runs: RefCell<BTreeMap<String, u64>>,
    last_serial: Cell<u64>,
    is_leaving: Cell<bool>,
    delay: Duration,
}

/// Runs an emulated backend server on `listener` until `stop` is set. `delay` is the time for a
/// `POST`.
pub async fn run(listener: TcpListener, delay: Duration, stop: Signal) {
    let backend = Backend {
        runs: RefCell::default(),
        last_serial: Cell::new(0),
        is_leaving: Cell::new(false),
        delay,
    };
    server::serve(listener, Rc::new(backend), stop).await;
}

impl Backend {
    fn run_call(&self, call: &str, body: String) -> Confirmation {
        *self.runs.borrow_mut().entry(call.into()).or_default() += 1;
        self.last_serial.set(self.last_serial.get() + 1);
        Confirmation {
            call: call.into(),
            body,
            serial: self.last_serial.get(),
        }
    }
}

impl Backend {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        match head.uri.path() {
            "/v1/emulation/runs" => return json_response(&*self.runs.borrow()),
            "/v1/emulation/leave" => {
                self.is_leaving.set(true);
                return text_response(StatusCode::OK, "");
            }
            _ => {}
        }
        let fault = header("x-fault");
        if self.is_leaving.get() {
            let detail = "the backend server takes no new work; use another one";
            return Problem::not_run(Reason::Leaving, detail).into_response();
        }
        if fault == "refuse" {
            let detail = "the backend server is full; use another one";
            return Problem::not_run(Reason::QueueFull, detail).into_response();
        }
        if let Some(seconds) = fault.strip_prefix("refuse@") {
            let detail = "the backend server wants no call for a while; use another one";
            let problem = Problem::not_run(Reason::BackendUnavailable, detail);
            let after = Duration::from_secs(seconds.parse().unwrap_or_default());
            return problem.retry_after(after).into_response();
        }
        if head.method == Method::GET {
            return text_response(StatusCode::OK, format!("calendar of {}", head.uri.path()));
        }
        let Ok(body) = body.collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "the request body is incomplete");
        };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let confirmation = self.run_call(&header("x-call"), body);
        let fault_ms = fault.strip_prefix("slow@").and_then(|ms| ms.parse().ok());
        let delay = fault_ms.map_or(self.delay, Duration::from_millis);
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        if fault == "drop" {
            let (writer, body) = Body::channel();
            drop(writer);
            // The body is shorter than its declared length, so the server closes the connection.
            return Response::builder()
                .header(hyper::header::CONTENT_LENGTH, 1000)
                .body(body)
                .expect("the headers are valid");
        }
        json_response(&confirmation)
    }
}

impl server::Service for Backend {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let request_id = request.headers().get("x-request-id").cloned();
        let mut response = self.respond(request).await;
        if let Some(id) = request_id {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }
}
