//! Requests with one answer, which is read whole before it is passed on.

use std::rc::Rc;
use std::time::Duration;

use compio::bytes::Bytes;
use hyper::Response;

use super::Gateway;
use super::attempt::{self, Fault, Open, Place, Start, head_of};
use super::front::{Admitted, RETRY_SOON, Refused};
use super::protocol::Protocol;
use crate::clock::Clock;
use crate::http::body::Body;
use crate::http::problem::Reason;
use crate::route::registry::{Engine, Need};
use crate::util::within;

/// Greatest size of an answer in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Sends that certainly did not run before a request is refused.
const NOT_RUN_MAX: u32 = 6;

/// Time that is left at least when a request is sent once more.
const RETRY_LEFT_MIN: Duration = Duration::from_millis(60);

/// What the sends of one request have come to.
#[derive(Debug, Default)]
struct Tries {
    /// Engines that may have run it.
    ran: u32,
    /// Sends that certainly did not run.
    not_run: u32,
    /// Engines that are not asked again.
    excluded: Vec<Engine>,
    /// A failure that an engine reported, as it is passed on when no engine does better.
    failure: Option<Response<Body>>,
}

/// Serves a request, with as many attempts as its route allows.
///
/// # Errors
/// [`Refused`] if no engine gave an answer that can be passed on.
pub async fn serve<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &Admitted,
) -> Result<Response<Body>, Refused> {
    let mut tries = Tries::default();
    loop {
        let Some(engine) = choose(gateway, admitted, &tries) else {
            return give_up(tries);
        };
        if tries.ran + tries.not_run > 0 && !may_repeat(gateway, admitted) {
            return give_up(tries);
        }
        let place = Place::new(gateway, engine, None, admitted.call.footprint());
        match once::<C, P>(gateway, admitted, place).await {
            Ok((response, true)) => return Ok(response),
            Ok((response, false)) => {
                tries.ran += 1;
                tries.failure = Some(response);
            }
            Err(fault) if fault.is_not_run() => tries.not_run += 1,
            Err(Fault::Silent) => return Err(timed_out()),
            Err(_) => tries.ran += 1,
        }
        tries.excluded.push(engine);
        let is_exhausted = tries.ran >= admitted.route.attempts || tries.not_run >= NOT_RUN_MAX;
        let is_final = tries.ran > 0 && !admitted.route.repeat.is_repeatable();
        if is_exhausted || is_final {
            return give_up(tries);
        }
    }
}

fn choose<C: Clock>(gateway: &Gateway<C>, admitted: &Admitted, tries: &Tries) -> Option<Engine> {
    gateway.registry.borrow().choose(&Need {
        service: &admitted.service,
        footprint: admitted.call.footprint(),
        capacity: admitted.capacity,
        excluded: &tries.excluded,
    })
}

fn may_repeat<C: Clock>(gateway: &Gateway<C>, admitted: &Admitted) -> bool {
    let now = gateway.clock.now();
    admitted.deadline.saturating_duration_since(now) >= RETRY_LEFT_MIN
        && gateway.budget.borrow_mut().spend(&admitted.service, now)
}

/// Returns an engine's answer, and whether it is a success.
async fn once<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &Admitted,
    mut place: Place<C>,
) -> Result<(Response<Body>, bool), Fault> {
    let start = Start {
        last_event: admitted.call.last_event,
        copy_of: None,
    };
    let until = admitted.deadline;
    let open = attempt::open::<C, P>(gateway, admitted, &place, &start, until).await?;
    place.has_output();
    let Open {
        mut exchange,
        is_success,
    } = open;
    let left = until.saturating_duration_since(gateway.clock.now());
    let body = match within(left, exchange.read_rest(ANSWER_BYTES_MAX)).await {
        Some(Ok(body)) => body,
        Some(Err(_)) => {
            gateway.registry.borrow_mut().set_failed(place.engine);
            return Err(Fault::Lost);
        }
        None => return Err(Fault::Silent),
    };
    let response = head_of(&exchange.head)
        .body(Body::full(Bytes::from(body)))
        .map_err(|_| Fault::Lost)?;
    Ok((response, is_success))
}

fn give_up(tries: Tries) -> Result<Response<Body>, Refused> {
    if let Some(failure) = tries.failure {
        return Ok(failure);
    }
    if tries.ran > 0 {
        let detail = "the engine's answer was lost; check the effect before sending again";
        return Err(Refused::unknown(Reason::AnswerLost, detail));
    }
    let detail = "no engine takes the request at present; retry";
    Err(Refused::not_run(Reason::NoEngine, detail, RETRY_SOON))
}

fn timed_out() -> Refused {
    let detail = "the engine did not answer in time; check the effect before sending again";
    Refused::unknown(Reason::Timeout, detail)
}
