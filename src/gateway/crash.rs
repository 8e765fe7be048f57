//! Engines that end as they begin to write a response: recognizes them, and keeps requests that would
//! end more of them from engines. [`crate::route::quarantine`] decides.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use log::info;

use super::Gateway;
use super::refusal::Refusal;
use super::request::AdmittedRequest;
use crate::clock::Clock;
use crate::http::problem::Reason;
use crate::route::evidence::{Certainty, DomainHash, Evidence};
use crate::route::load::EngineHash;
use crate::route::losses::Finder;
use crate::route::prompt::{self, Prompt};
use crate::route::quarantine::{Blocked, Cause, Update};
use crate::route::registry::{Engine, Registration};
use crate::supervisor::Signal;
use crate::util::within;

/// Timeout for the connection. An engine or its machine answers within a round trip if it can be
/// reached at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Requests that wait for an engine to begin its response.
#[derive(Debug, Default)]
pub struct Waiting {
    last: Cell<u64>,
    // The prompt of each, and the signal that ends its wait.
    requests: RefCell<BTreeMap<u64, (Prompt, Signal)>>,
}

/// A request in [`Waiting`], which it leaves when dropped.
struct Wait<'a> {
    waiting: &'a Waiting,
    number: u64,
    stop: Signal,
}

impl Waiting {
    fn enter(&self, prompt: &Prompt) -> Wait<'_> {
        let number = self.last.get() + 1;
        self.last.set(number);
        let stop = Signal::default();
        let entry = (prompt.clone(), stop.clone());
        self.requests.borrow_mut().insert(number, entry);
        Wait {
            waiting: self,
            number,
            stop,
        }
    }

    /// Ends the wait of the requests that `is_blocked` selects.
    fn stop(&self, is_blocked: impl Fn(&Prompt) -> bool) {
        for (prompt, stop) in self.requests.borrow().values() {
            if is_blocked(prompt) {
                stop.set();
            }
        }
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.waiting.requests.borrow_mut().remove(&self.number);
    }
}

/// Returns whether the machine at `address` refuses connections, so that the engine's process has
/// ended. Silence is no sign of that: this host's own link may have failed.
async fn has_ended(address: &str) -> bool {
    let result = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(result, Some(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
}

/// How a response ended before its engine was past the beginning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It broke off.
    Broken,
    /// Its connection was closed, which is also how a complete response without a length ends.
    Closed,
}

/// Finds out whether an engine has ended that sent the head of a response and not much more, and
/// records what may be a crash.
pub async fn record_end<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    engine: Engine,
    end: End,
) {
    let Some(registration) = suspect(gateway, admitted, engine) else {
        return;
    };
    let has_ended = has_ended(&registration.address).await;
    admitted.trace.log_failure(
        "broken_at_beginning",
        format_args!(
            "engine={} has_ended={has_ended} parts={}",
            registration.id, admitted.prompt
        ),
    );
    match (has_ended, end) {
        (true, _) => record(gateway, admitted, &registration, Certainty::Certain),
        (false, End::Broken) => record(gateway, admitted, &registration, Certainty::Possible),
        (false, End::Closed) => {}
    }
}

/// Records a possible crash: the engine broke off before the head of its response, or was declared lost.
pub fn record_possible<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest, engine: Engine) {
    if let Some(registration) = suspect(gateway, admitted, engine) {
        record(gateway, admitted, &registration, Certainty::Possible);
    }
}

/// Returns the registration of an engine, unless the prompt of the request cannot be a cause.
fn suspect<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    engine: Engine,
) -> Option<Registration> {
    if admitted.prompt.parts.is_empty() {
        return None;
    }
    let registry = gateway.registry.borrow();
    registry.get(engine).map(|state| state.registration.clone())
}

fn record<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    registration: &Registration,
    certainty: Certainty,
) {
    let outcome = match certainty {
        Certainty::Certain => "crashed",
        Certainty::Possible => "maybe-crashed",
    };
    gateway.metrics.count_decision("prompt", outcome);
    let engine = EngineHash::of(&registration.id);
    let domain = DomainHash::of(&registration.failure_domain);
    let now = gateway.clock.now();
    let mut quarantine = gateway.quarantine.borrow_mut();
    let update = quarantine.record_crash(engine, domain, &admitted.prompt, certainty, now);
    drop(quarantine);
    apply(gateway, &update, "own");
}

/// Records that an engine has begun to write the response to a request and survived.
pub fn record_pass<C: Clock>(gateway: &Gateway<C>, prompt: &Prompt) {
    if prompt.parts.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let update = gateway.quarantine.borrow_mut().record_pass(prompt, now);
    apply(gateway, &update, "own");
}

/// Adds the evidence of another host; returns whether some of it is news.
pub fn merge<C: Clock>(
    gateway: &Gateway<C>,
    evidence: &Evidence,
    finder: Finder,
    from: SocketAddr,
) -> bool {
    if *evidence == Evidence::default() {
        return false;
    }
    let now = gateway.clock.now();
    let update = gateway.quarantine.borrow_mut().merge(evidence, finder, now);
    if update.crashes > 0 {
        info!("event=crashes_heard peer={from} crashes={}", update.crashes);
    }
    apply(gateway, &update, "peer");
    update.is_news()
}

/// Logs the parts that are blocked or cleared, and stops the requests that wait for an engine with
/// one that is blocked.
fn apply<C: Clock>(gateway: &Gateway<C>, update: &Update, from: &str) {
    for parts in &update.blocked {
        let parts = prompt::join(parts);
        info!("event=parts_blocked parts={parts} from={from}");
        gateway.metrics.count_decision("prompt", "blocked");
    }
    for part in &update.cleared {
        info!("event=part_cleared parts={part} from={from}");
        gateway.metrics.count_decision("prompt", "cleared");
    }
    if update.crashes > 0 || !update.blocked.is_empty() {
        let now = gateway.clock.now();
        let quarantine = gateway.quarantine.borrow();
        let is_blocked = |prompt: &Prompt| quarantine.check(prompt, now).is_some();
        gateway.waiting.stop(is_blocked);
    }
}

/// Refuses a new request that would crash engines.
///
/// # Errors
/// [`Refusal`] with the time until the request may be tried again.
pub fn admit<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest) -> Result<(), Refusal> {
    let now = gateway.clock.now();
    let mut quarantine = gateway.quarantine.borrow_mut();
    let Some(blocked) = quarantine.admit(&admitted.prompt, now) else {
        return Ok(());
    };
    log_blocked(admitted, &blocked);
    Err(refusal(blocked.left))
}

/// Returns the refusal of an admitted request that was not sent to an engine.
pub fn not_sent<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest) -> Refusal {
    let now = gateway.clock.now();
    let blocked = gateway.quarantine.borrow().check(&admitted.prompt, now);
    refusal(blocked.map_or(Duration::ZERO, |blocked| blocked.left))
}

fn refusal(retry_after: Duration) -> Refusal {
    let detail = "a part of the prompt crashes engines; leave it out, or retry later";
    Refusal::not_run(Reason::CrashingPrompt, detail, retry_after)
}

/// Returns whether a request must not be sent to a further engine.
pub fn is_blocked<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest) -> bool {
    let now = gateway.clock.now();
    let blocked = gateway.quarantine.borrow().check(&admitted.prompt, now);
    if let Some(blocked) = &blocked {
        log_blocked(admitted, blocked);
    }
    blocked.is_some()
}

/// Waits until a request must not be sent to a further engine.
pub async fn wait_until_blocked<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest) {
    let wait = gateway.waiting.enter(&admitted.prompt);
    wait.stop.wait().await;
    is_blocked(gateway, admitted);
}

/// Returns the refusal of a request that has been sent to an engine and is sent to no other.
pub fn stopped() -> Refusal {
    let detail = "engines crash as they begin to answer this prompt; do not send it again as it is";
    Refusal::unknown(Reason::EngineKiller, detail)
}

fn log_blocked(admitted: &AdmittedRequest, blocked: &Blocked) {
    let age = blocked.age.as_millis();
    match &blocked.cause {
        Cause::Parts(parts) => admitted.trace.log(
            "prompt_blocked",
            format_args!("cause=parts parts={} age_ms={age}", prompt::join(parts)),
        ),
        Cause::Request => admitted
            .trace
            .log("prompt_blocked", format_args!("cause=request age_ms={age}")),
    }
}
