//! Admits requests to services with few slots, or refuses them while more arrive than their engines
//! can answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use log::info;

use super::Gateway;
use super::refusal::Refusal;
use super::request::AdmittedRequest;
use crate::clock::Clock;
use crate::http::problem::Reason;
use crate::route::load::EngineHash;
use crate::route::registry::Engine;
use crate::sched::admission::{self, Level, Request, Verdict, are_slots_scarce};
use crate::sched::demand::Class;
use crate::sched::retry::Service;

/// Maximum number of engines of a service that is limited. With more, hosts have whole slots and see an
/// overload on their own connections, and the counts would fill the reports.
const ENGINES_MAX: usize = 32;

/// Time without a refusal after which an overload has ended, for the log.
const OVERLOAD_END: Duration = Duration::from_secs(2);

/// A period in which requests to a service were refused.
#[derive(Clone, Copy, Debug)]
struct Overload {
    began_at: Instant,
    refused_at: Instant,
    refused: u32,
}

/// Overloads of services that have not ended, as this host sees them.
#[derive(Debug, Default)]
pub struct Overloads(BTreeMap<CompactString, Overload>);

impl Overloads {
    /// Records a refusal; returns whether an overload began with it.
    fn record_refusal(&mut self, service: &CompactString, now: Instant) -> bool {
        let is_new = !self.0.contains_key(service);
        let overload = self.0.entry(service.clone()).or_insert(Overload {
            began_at: now,
            refused_at: now,
            refused: 0,
        });
        overload.refused_at = now;
        overload.refused += 1;
        is_new
    }

    /// Takes the overload of a service that has ended.
    fn take_ended(&mut self, service: &str, now: Instant) -> Option<Overload> {
        let overload = self.0.get(service)?;
        let has_ended = now.duration_since(overload.refused_at) >= OVERLOAD_END;
        has_ended.then(|| self.0.remove(service)).flatten()
    }
}

/// Admits a request that was not sent yet.
///
/// # Errors
/// [`Refusal`] if more requests arrive than the engines can answer, and others go first.
pub fn admit<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest) -> Result<(), Refusal> {
    let engines = usable_engines(gateway, admitted);
    if engines.is_empty() {
        return Ok(());
    }
    let now = gateway.clock.now();
    let time_left = admitted.deadline.saturating_duration_since(now);
    let request = Request {
        service: Service::of(&admitted.service),
        class: class_of(gateway, admitted, now),
        team: admitted.team.as_deref(),
        time_left,
        target_latency: admitted.route.target_latency,
    };
    let mut admission = gateway.admission.borrow_mut();
    let verdict = admission.decide(&request, &engines, rand::random(), now);
    let Verdict::Refuse { retry_after } = verdict else {
        log_end(gateway, &admitted.service, now);
        return Ok(());
    };
    let level = admission.level(request.service, &engines, request.target_latency, now);
    gateway.metrics.count_decision("admission", "refused");
    let mut overloads = gateway.overloads.borrow_mut();
    if overloads.record_refusal(&admitted.service, now) {
        log_begin(&admitted.service, &level.unwrap_or_default());
    }
    let detail = "more requests arrive than the engines can answer; retry";
    Err(Refusal::not_run(Reason::Overload, detail, retry_after))
}

/// Records the time that an engine took to answer.
pub fn record_answer<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    engine: Engine,
    taken: Duration,
) {
    if usable_engines(gateway, admitted).is_empty() {
        return;
    }
    let registry = gateway.registry.borrow();
    let Some(state) = registry.get(engine) else {
        return;
    };
    let engine = EngineHash::of(&state.registration.id);
    let service = Service::of(&admitted.service);
    let now = gateway.clock.now();
    let mut admission = gateway.admission.borrow_mut();
    admission.record_answer(service, engine, taken, now);
}

/// Requests with a prompt differ too much in size to be limited by their number.
fn is_limited(admitted: &AdmittedRequest) -> bool {
    admitted.memory_tokens == 0
}

/// Returns the engines that may get the request; none if its service is not limited.
fn usable_engines<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
) -> Vec<admission::Engine> {
    if !is_limited(admitted) {
        return Vec::new();
    }
    let engines = gateway.registry.borrow().usable(&admitted.service);
    let hosts = gateway.budget.borrow().hosts();
    match engines.len() <= ENGINES_MAX && are_slots_scarce(hosts, &engines) {
        true => engines,
        false => Vec::new(),
    }
}

/// Returns the class of a request. A caller that repeats a request has less time than the longest
/// timeout of recent callers of the route; the difference is the time that it has waited.
fn class_of<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest, now: Instant) -> Class {
    let route = &admitted.route;
    let timeout = admitted.call.timeout;
    let mut timeouts = gateway.caller_timeouts.borrow_mut();
    timeouts.record(&route.name, timeout, now);
    let longest = timeouts.slowest(&route.name, now).unwrap_or(timeout);
    let admission = gateway.admission.borrow();
    let answer_time = admission.answer_time(Service::of(&admitted.service));
    let is_late = longest - timeout + answer_time > route.target_latency;
    Class::new(admitted.rank, is_late, route.kind.is_retryable())
}

fn log_begin(service: &str, level: &Level) {
    info!(
        "event=overload_began service={service} arrivals={:.0} capacity={:.0} queue_ms={:.0} \
         answer_ms={:.0}",
        level.arrivals,
        level.capacity,
        level.queue_time * 1000.0,
        level.answer_time * 1000.0,
    );
}

fn log_end<C: Clock>(gateway: &Gateway<C>, service: &str, now: Instant) {
    let ended = gateway.overloads.borrow_mut().take_ended(service, now);
    if let Some(overload) = ended {
        let after = overload.refused_at.duration_since(overload.began_at);
        info!(
            "event=overload_ended service={service} after_ms={} refused={}",
            after.as_millis(),
            overload.refused
        );
    }
}
