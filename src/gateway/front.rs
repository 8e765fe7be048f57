//! The endpoint for callers: finds the route of a request, checks its key, reads its body and hands
//! it to [`plain`] or [`stream`].

use std::marker::PhantomData;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use compact_str::CompactString;
use futures_util::future::{Either, select};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};

use super::Gateway;
use super::call::{Call, InvalidHead};
use super::intake::Account;
use super::protocol::Protocol;
use super::refusal::{RETRY_AFTER_SHORT, Refusal};
use super::request::AdmittedRequest;
use super::{crash, digest, intake, plain, stream};
use crate::clock::Clock;
use crate::config::routes::{Denied, Limits, Revision, Route};
use crate::http::body::Body;
use crate::http::budget::{Budget, ConnectionKey};
use crate::http::detach::detach_headers;
use crate::http::linger;
use crate::http::problem::Reason;
use crate::http::server;
use crate::report::trace::Trace;

/// The HTTP service on the address for callers.
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

    async fn handle(
        &self,
        head: Parts,
        body: &mut Incoming,
        trace: &Trace,
    ) -> Result<Response<Body>, Refusal> {
        // Boxed, so that a call that waits for its engine does not hold the memory of this step.
        let admitted = Box::pin(self.admit(head, body, trace)).await?;
        let footprint = admitted.call.footprint();
        trace.log(
            "admitted",
            format_args!(
                "route={} service={} rank={} team={} left_ms={} prompt={} output={} \
                 parts={} last_event={}",
                admitted.route.name,
                admitted.service,
                admitted.rank,
                admitted.team.as_deref().unwrap_or("none"),
                admitted
                    .deadline
                    .saturating_duration_since(admitted.arrived_at)
                    .as_millis(),
                footprint.prompt,
                footprint.output,
                admitted.prompt,
                admitted
                    .call
                    .last_event
                    .map_or(-1, |last| i64::try_from(last).unwrap_or(i64::MAX)),
            ),
        );
        crash::admit(&self.gateway, &admitted)?;
        let service = admitted.service.clone();
        let now = self.gateway.clock.now();
        self.gateway
            .budget
            .borrow_mut()
            .record_request(&service, now);
        // Boxed, so that a connection takes their memory only while it has a request.
        let served = pin!(async {
            match admitted.route.kind.is_stream() {
                true => Box::pin(stream::serve::<C, P>(&self.gateway, admitted)).await,
                false => Box::pin(plain::serve::<C, P>(&self.gateway, &admitted)).await,
            }
        });
        match select(served, self.gateway.ending.wait()).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                let detail = "this host ends before the engine has answered; check the effect \
                              before sending again";
                Err(Refusal::unknown(Reason::AnswerLost, detail))
            }
        }
    }

    async fn admit(
        &self,
        head: Parts,
        body: &mut Incoming,
        trace: &Trace,
    ) -> Result<AdmittedRequest, Refusal> {
        let gateway = &self.gateway;
        let arrived_at = gateway.clock.now();
        let call = P::decode_request(&head.headers).map_err(bad_request)?;
        let Some(revision) = gateway.revision() else {
            let detail = "this host has no configuration yet; retry";
            let after = gateway.configuration_retry_after(call.timeout);
            return Err(Refusal::not_run(Reason::NoSettings, detail, after));
        };
        let (route, team) = self.find_route(&revision, &head, &call)?;
        let deadline = arrived_at + call.timeout.min(route.timeout);
        let account = match head.extensions.get::<ConnectionKey>() {
            Some(key) => {
                let team = team.map(|team| &team.name);
                Some(Account::admit(&gateway.memory, *key, team, arrived_at)?)
            }
            None => None,
        };
        let limits = intake::Limits {
            bytes_max: revision.limits.max_body_bytes,
            idle_timeout: revision.limits.idle_timeout,
            deadline,
        };
        let reading = pin!(intake::read_body(body, limits, account, &gateway.clock));
        let body = match select(reading, gateway.ending.wait()).await {
            Either::Left((body, _)) => body?,
            Either::Right(_) => return Err(gateway.leaving_refusal()),
        };
        let mut headers = P::forwarded_headers(&head.headers);
        detach_headers(&mut headers);
        let service = route.service(rand::random()).clone();
        let service_settings = revision.services.get(&service);
        let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let request = digest::Request {
            method: &head.method,
            path_and_query,
            key: call.key.as_deref(),
            headers: &headers,
            body: &body.bytes,
        };
        let digest = request.digest::<P>();
        Ok(AdmittedRequest {
            method: head.method,
            digest,
            prompt: call.prompt(digest),
            prefixes: call.prefixes(),
            path_and_query: path_and_query.into(),
            headers,
            body: body.bytes,
            reservation: body.reservation,
            memory_tokens: service_settings.map_or(0, |settings| settings.kv_capacity_tokens),
            has_replicas: service_settings.is_some_and(|settings| settings.has_replicas),
            copy_lifetime: service_settings.and_then(|settings| settings.copy_lifetime),
            service,
            rank: team.and_then(|team| team.rank).unwrap_or(route.rank),
            team: team.map(|team| team.name.clone()),
            route: route.clone(),
            call,
            arrived_at,
            deadline,
            trace: trace.clone(),
        })
    }

    /// Reads the rest of the body of a request that was refused before it had arrived, until `until`.
    fn discard_rest(&self, body: Incoming, until: Instant) {
        let left = until.saturating_duration_since(self.gateway.clock.now());
        if body.is_end_stream() || left.is_zero() {
            return;
        }
        let limits = self.limits_in_force();
        let reading = linger::discard_rest(body, limits.max_body_bytes, left);
        self.gateway.stream_tasks.spawn(reading);
    }

    fn limits_in_force(&self) -> Limits {
        let revision = self.gateway.revision();
        revision.map(|revision| revision.limits).unwrap_or_default()
    }

    fn find_route<'a>(
        &self,
        revision: &'a Revision,
        head: &Parts,
        call: &Call,
    ) -> Result<(&'a Route, Option<&'a crate::config::routes::Team>), Refusal> {
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
        let found = revision.find(host, head.uri.path(), call.key.as_deref());
        let (route, team) = found.map_err(|denied| match denied {
            Denied::NoRoute => Refusal::permanent(
                Reason::NotFound,
                "no route for this host and path; check both",
            ),
            Denied::NoKey => Refusal::permanent(
                Reason::UnknownCaller,
                "the key is missing or unknown; send a key that is in force",
            ),
        })?;
        if team.is_some() && self.gateway.must_refuse_keys() {
            let detail = "this host cannot confirm keys at present; retry";
            return Err(Refusal::not_run(
                Reason::StoreUnavailable,
                detail,
                RETRY_AFTER_SHORT,
            ));
        }
        Ok((route, team))
    }
}

fn bad_request(err: InvalidHead) -> Refusal {
    Refusal::permanent(Reason::BadRequest, err.to_string())
}

impl<C: Clock, P: Protocol> server::Service for Endpoint<C, P> {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, mut body) = request.into_parts();
        let (id, timeout) = match P::decode_request(&head.headers) {
            Ok(call) => (call.id, call.timeout),
            Err(_) => (CompactString::default(), linger::TIME_MAX),
        };
        let entry = self.gateway.requests.begin(id.to_string());
        let arrived_at = self.gateway.clock.now();
        let trace = Trace::new(id.clone(), &self.gateway.sampler, arrived_at);
        let result = self.handle(head, &mut body, &trace).await;
        let after = self.gateway.clock.now().duration_since(arrived_at);
        let version = self.gateway.revision_version();
        let mut response = match result {
            Ok(response) => {
                let status = response.status();
                self.gateway.metrics.record_duration("answer_head", after);
                let pairs =
                    format_args!("status={} after_ms={}", status.as_u16(), after.as_millis());
                match status.is_success() {
                    true => trace.log("answered", pairs),
                    false => trace.log_failure("answered", pairs),
                }
                response
            }
            Err(refusal) => {
                let problem = &refusal.problem;
                self.gateway.metrics.count_refusal(problem.reason);
                trace.log_failure(
                    "refused",
                    format_args!(
                        "reason={} work={} status={} retry_after_ms={} after_ms={} revision={version}",
                        problem.reason.as_str(),
                        problem.work.as_str(),
                        problem.status,
                        refusal.retry_after.map_or(0, |after| after.as_millis()),
                        after.as_millis(),
                    ),
                );
                let retry_after = refusal.retry_after;
                let mut response = refusal.problem.into_response();
                P::add_gateway_headers(response.headers_mut(), &id, retry_after);
                response
            }
        };
        // After its deadline, the caller reads no refusal.
        self.discard_rest(body, arrived_at + timeout);
        if self.gateway.leaving.is_set() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response.map(|body| body.with_guard(entry))
    }

    fn limits(&self) -> server::Limits {
        let limits = self.limits_in_force();
        server::Limits {
            // The time for a head also covers the idle time before it.
            head_timeout: limits.idle_timeout,
            max_head_bytes: limits.max_header_bytes,
        }
    }

    fn budget(&self) -> Option<&Budget> {
        Some(&self.gateway.memory)
    }
}
