//! The endpoint for the load balancer's readiness check and for metrics.

use std::marker::PhantomData;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::Gateway;
use super::protocol::Protocol;
use crate::clock::Clock;
use crate::http::body::Body;
use crate::http::problem::text_response;
use crate::http::server;

/// The HTTP service on the address for readiness and metrics.
pub struct Endpoint<C: Clock, P> {
    gateway: Rc<Gateway<C>>,
    protocol: PhantomData<P>,
}

impl<C: Clock, P: Protocol> Endpoint<C, P> {
    /// Creates the service for the protocol `P`.
    pub fn new(gateway: Rc<Gateway<C>>) -> Self {
        Self {
            gateway,
            protocol: PhantomData,
        }
    }
}

impl<C: Clock, P: Protocol> server::Service for Endpoint<C, P> {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            path if path == P::READY_PATH => match self.gateway.not_ready_reason() {
                None => text_response(StatusCode::OK, "ready"),
                Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, reason),
            },
            "/metrics" => text_response(StatusCode::OK, self.gateway.metrics_text()),
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
