//! An emulated plain backend service that counts how often each call ran.
//!
//! It runs every `POST` that reaches it and counts it under the value of `X-Call`. Faults by
//! header `X-Fault`: `refuse` (503 that says `not-run`), `drop` (runs, then closes without an
//! answer), `slow@MS` (answers after a delay).

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

/// Confirmation of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Identity that the caller gave in `X-Call`.
    pub call: String,
    /// Body of the call.
    pub body: String,
    /// Serial number of the run on this server.
    pub serial: u64,
}

struct Backend {
    runs: RefCell<BTreeMap<String, u64>>,
    serial: Cell<u64>,
    leaving: Cell<bool>,
    delay: Duration,
}

/// Runs an emulated backend server on `listener` until `stop` is given.
pub async fn run(listener: TcpListener, delay: Duration, stop: Signal) {
    let backend = Backend {
        runs: RefCell::default(),
        serial: Cell::new(0),
        leaving: Cell::new(false),
        delay,
    };
    server::serve(listener, Rc::new(backend), stop).await;
}

impl Backend {
    fn run(&self, call: &str, body: String) -> Confirmation {
        *self.runs.borrow_mut().entry(call.into()).or_default() += 1;
        self.serial.set(self.serial.get() + 1);
        Confirmation {
            call: call.into(),
            body,
            serial: self.serial.get(),
        }
    }
}

impl Backend {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        match head.uri.path() {
            "/v1/emulation/runs" => return json_response(&*self.runs.borrow()),
            "/v1/emulation/leave" => {
                self.leaving.set(true);
                return text_response(StatusCode::OK, "");
            }
            _ => {}
        }
        let fault = header("x-fault");
        if self.leaving.get() {
            let detail = "the backend server takes no new work; use another one";
            return Problem::not_run(Reason::Leaving, detail).into_response();
        }
        if fault == "refuse" {
            let detail = "the backend server is full; use another one";
            return Problem::not_run(Reason::QueueFull, detail).into_response();
        }
        if head.method == Method::GET {
            return text_response(StatusCode::OK, format!("calendar of {}", head.uri.path()));
        }
        let Ok(body) = body.collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "the body broke off");
        };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let confirmation = self.run(&header("x-call"), body);
        let slow = fault.strip_prefix("slow@").and_then(|ms| ms.parse().ok());
        let delay = slow.map_or(self.delay, Duration::from_millis);
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        if fault == "drop" {
            let (writer, body) = Body::channel();
            drop(writer);
            // A length that the body does not have makes the connection break off.
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
        let mut response = self.answer(request).await;
        if let Some(id) = request_id {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }
}
