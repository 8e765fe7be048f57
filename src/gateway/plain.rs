//! Requests whose response is not a stream. A short response of an engine is buffered before any of
//! it is sent to the caller, so that one that breaks off can be replaced by that of another engine.
//! A long one is forwarded as it arrives, which bounds the memory that it takes.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::Response;

use super::attempt::{self, OpenResponse, Placement, ResumePoint, response_builder};
use super::attempts::Attempts;
use super::failover::Failover;
use super::fault::Fault;
use super::protocol::Protocol;
use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::{Gateway, admission, crash, versions};
use crate::clock::Clock;
use crate::http::body::{Body, Writer};
use crate::http::client::{Exchange, Prefix};
use crate::http::problem::Reason;
use crate::report::trace::Trace;
use crate::route::registry::Engine;
use crate::util::within;

/// Size in bytes up to which a response body is buffered.
const BUFFERED_BYTES_MAX: usize = 16 * 1024;

/// Maximum size of a response body in bytes; a longer one is cut.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// A request is refused after it was rejected by this many engines.
const REJECTED_ATTEMPTS_MAX: u32 = 6;

/// A request is not retried when less time than this is left until its deadline.
const RETRY_TIME_LEFT_MIN: Duration = Duration::from_millis(60);

/// Serves a request, with as many attempts as its route allows.
///
/// # Errors
/// [`Refusal`] if no engine gave a response that can be forwarded.
pub async fn serve<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &AdmittedRequest,
) -> Result<Response<Body>, Refusal> {
    admission::admit(gateway, admitted)?;
    let mut attempts = Attempts::new(gateway, admitted.service.clone());
    // The last failure that an engine reported. It is forwarded if no other attempt succeeds.
    let mut failure = None;
    loop {
        if attempts.possible_runs == 0 {
            gateway.check_time_left(admitted)?;
        }
        if crash::is_blocked(gateway, admitted) {
            let blocked = || match attempts.possible_runs {
                0 => crash::not_sent(gateway, admitted),
                _ => crash::stopped(),
            };
            return failure.ok_or_else(blocked);
        }
        let Some(engine) = choose_engine(gateway, admitted, &attempts) else {
            return give_up(&attempts, failure);
        };
        if !has_retry_time(gateway, admitted, &attempts) || !attempts.may_send() {
            return give_up(&attempts, failure);
        }
        let placement = Placement::new(gateway, engine, None, admitted);
        attempts.begin();
        let sent_at = gateway.clock.now();
        let result = send_once::<C, P>(
            gateway,
            admitted,
            &mut attempts,
            placement,
            failure.is_some(),
        )
        .await;
        let now = gateway.clock.now();
        let taken = now.duration_since(sent_at);
        let mut answer_times = gateway.answer_times.borrow_mut();
        answer_times.record(&admitted.service, taken, now);
        drop(answer_times);
        if result.is_ok() {
            admission::record_answer(gateway, admitted, engine, taken);
        }
        match result {
            Ok((response, true)) => {
                crash::record_pass(gateway, &admitted.prompt);
                attempts.record_answer();
                return Ok(response);
            }
            Ok((response, false)) => {
                attempts.record_answer();
                attempts.excluded.push(engine);
                failure = Some(response);
            }
            Err(Fault::Silent) => return failure.ok_or_else(timed_out),
            Err(Fault::NoContact) => {
                attempts.record_no_contact();
                return give_up(&attempts, failure);
            }
            Err(fault) => attempts.record_fault(engine, fault),
        }
        let is_exhausted = attempts.possible_runs >= admitted.route.max_attempts
            || attempts.is_unplaceable(REJECTED_ATTEMPTS_MAX);
        let is_final = attempts.possible_runs > 0 && !admitted.route.kind.is_retryable();
        if is_exhausted || is_final {
            return give_up(&attempts, failure);
        }
    }
}

fn choose_engine<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    attempts: &Attempts<C>,
) -> Option<Engine> {
    let need = admitted.need(&attempts.excluded);
    versions::choose(gateway, &need, attempts.is_trial())
}

/// Returns whether enough time is left for the next attempt; the first one is always made.
fn has_retry_time<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    attempts: &Attempts<C>,
) -> bool {
    let now = gateway.clock.now();
    let left = admitted.deadline.saturating_duration_since(now);
    attempts.excluded.is_empty() || left >= RETRY_TIME_LEFT_MIN
}

/// Makes one attempt; returns the engine's response and whether it reports success. `has_response` tells
/// whether an earlier attempt has left a response to forward.
async fn send_once<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &AdmittedRequest,
    attempts: &mut Attempts<C>,
    mut placement: Placement<C>,
    has_response: bool,
) -> Result<(Response<Body>, bool), Fault> {
    let resume_point = ResumePoint {
        last_event: admitted.call.last_event,
        replica: None,
    };
    let deadline = admitted.deadline;
    let failover = Failover {
        gateway,
        admitted,
        runs: attempts.possible_runs + 1,
        attempts,
        engine: placement.engine,
        time_left_min: RETRY_TIME_LEFT_MIN,
        may_return: false,
        has_response,
    };
    // A short response may take until the deadline; only its engine's loss is a reason to give it up.
    let failover = failover.wait(std::future::pending());
    let open =
        attempt::open::<C, P>(gateway, admitted, &placement, &resume_point, failover).await?;
    placement.record_output();
    let OpenResponse {
        mut exchange,
        is_success,
    } = open;
    let left = deadline.saturating_duration_since(gateway.clock.now());
    let body = match within(left, exchange.read_up_to(BUFFERED_BYTES_MAX)).await {
        Some(Ok(Prefix::Whole(body))) => Body::full(Bytes::from(body)),
        Some(Ok(Prefix::Part { read, next })) => {
            let head = response_builder(&exchange.head);
            exchange.clear_headers();
            let (writer, body) = Body::channel();
            let long = LongResponse {
                exchange,
                _placement: placement,
                trace: admitted.trace.clone(),
            };
            let left = deadline.saturating_duration_since(gateway.clock.now());
            gateway
                .stream_tasks
                .spawn(long.forward([read.into(), next], writer, left));
            let response = head.body(body).map_err(|_| Fault::Lost)?;
            return Ok((response, is_success));
        }
        Some(Err(_)) => {
            gateway.registry.borrow_mut().set_failed(placement.engine);
            placement.record_break();
            return Err(Fault::Lost);
        }
        None => return Err(Fault::Silent),
    };
    let response = response_builder(&exchange.head)
        .body(body)
        .map_err(|_| Fault::Lost)?;
    Ok((response, is_success))
}

/// A response that is too long to be buffered.
struct LongResponse<C: Clock> {
    exchange: Exchange,
    // Counts the request as running on the engine.
    _placement: Placement<C>,
    trace: Trace,
}

impl<C: Clock> LongResponse<C> {
    /// Forwards the body, of which `read` has arrived, for `left` at most. A body that breaks off, is
    /// too long or takes too long is cut, so that the caller does not take it for complete.
    async fn forward(mut self, read: [Bytes; 2], mut writer: Writer, left: Duration) {
        let cut = match within(left, self.forward_chunks(read, &mut writer)).await {
            Some(Ok(())) => {
                // An error means that the caller has closed the connection.
                let _ = writer.finish().await;
                return;
            }
            Some(Err(cut)) => cut,
            None => "timeout",
        };
        self.trace
            .log_failure("response_cut", format_args!("reason={cut}"));
    }

    async fn forward_chunks(
        &mut self,
        [first, second]: [Bytes; 2],
        writer: &mut Writer,
    ) -> Result<(), &'static str> {
        let mut size = first.len() + second.len();
        if !first.is_empty() {
            writer.send(first).await.map_err(|_| "caller-gone")?;
        }
        let mut next = Some(second);
        while let Some(chunk) = next {
            writer.send(chunk).await.map_err(|_| "caller-gone")?;
            let read = pin!(self.exchange.next());
            // Closing the connection to the engine ends the work on the request.
            next = match select(read, pin!(writer.closed())).await {
                Either::Left((read, _)) => read.map_err(|_| "broken")?,
                Either::Right(_) => return Err("caller-gone"),
            };
            size += next.as_ref().map_or(0, Bytes::len);
            if size > RESPONSE_BYTES_MAX {
                return Err("too-long");
            }
        }
        Ok(())
    }
}

fn give_up<C: Clock>(
    attempts: &Attempts<C>,
    failure: Option<Response<Body>>,
) -> Result<Response<Body>, Refusal> {
    if let Some(failure) = failure {
        return Ok(failure);
    }
    if attempts.possible_runs > 0 {
        let detail = "the engine's answer was lost; check the effect before sending again";
        return Err(Refusal::unknown(Reason::AnswerLost, detail));
    }
    Err(attempts.no_engine())
}

fn timed_out() -> Refusal {
    let detail = "the engine did not answer in time; check the effect before sending again";
    Refusal::unknown(Reason::Timeout, detail)
}
