//! Streams that callers continue at another host: what this host reports of its own, and from which
//! replica it goes on with those of others. [`crate::relay::inquiry`] decides.

use super::Gateway;
use super::inquiry;
use super::replica::Replica;
use super::request::AdmittedRequest;
use crate::clock::Clock;
use crate::relay::handover::LocalStream;
use crate::relay::inquiry::{Inquiry, Missing, reconnect_time_max};

/// Finds the replica of a stream that another host relayed before, if the caller continues one.
/// Returns `None` if the stream begins here.
///
/// # Errors
/// [`Missing`] if the stream continues without a replica.
pub async fn find<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
) -> Result<Option<Replica>, Missing> {
    let last_event = admitted.call.last_event;
    let Some(last_event) = last_event.filter(|_| can_be_handed_over(admitted)) else {
        return Ok(None);
    };
    let began = gateway.clock.now();
    let inquiry = inquiry::ask(gateway, admitted.digest).await;
    let result = find_replica(gateway, admitted, &inquiry);
    let outcome = result.as_ref().err().map_or("found", |err| err.as_str());
    gateway.metrics.count_decision("handover", outcome);
    let answers = format!(
        "known_ms={} asked_ms={}",
        inquiry.known_for().as_millis(),
        gateway.clock.now().duration_since(began).as_millis(),
    );
    match &result {
        Ok(Replica {
            engine, id: run, ..
        }) => {
            let registry = gateway.registry.borrow();
            let state = registry.get(*engine);
            let replica = state.map_or("none", |state| state.registration.id.as_str());
            let pairs =
                format_args!("run={run} replica={replica} last_event={last_event} {answers}");
            admitted.trace.log("handed_over", pairs);
        }
        Err(missing) => admitted.trace.log(
            "not_handed_over",
            format_args!("reason={missing} last_event={last_event} {answers}"),
        ),
    }
    result.map(Some)
}

/// Returns the replica of the only known run of the request. Where it is not certain that this is the run of
/// the caller, the prompt is prefilled again.
fn find_replica<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    inquiry: &Inquiry,
) -> Result<Replica, Missing> {
    let replica = inquiry.conclude(reconnect_time_max(admitted.route.timeout))?;
    let engine = gateway.registry.borrow().by_hash(replica.engine);
    let engine = engine.ok_or(Missing::Replica)?;
    let mut remote = gateway.remote_streams.borrow_mut();
    remote.record_use(admitted.digest, &replica.run);
    Ok(Replica {
        engine,
        source: None,
        id: replica.run,
    })
}

/// Returns whether another host may resume the stream from a replica.
fn can_be_handed_over(admitted: &AdmittedRequest) -> bool {
    admitted.route.kind.is_retryable() && !admitted.call.prompt_parts.is_empty()
}

/// Lists the stream in the reports to other hosts, for the case that the caller continues it there.
pub fn list<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest) -> Option<LocalStream> {
    let mut local = gateway.local_streams.borrow_mut();
    can_be_handed_over(admitted).then(|| local.begin(admitted.digest, admitted.call.id.clone()))
}
