//! Opens connections to engines, and tells an engine that cannot be reached from a host that reaches
//! nothing at present.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, ToCompactString};
use compio::net::TcpStream;
use futures_util::future::{Either, select};
use log::{info, warn};
use rand::seq::IteratorRandom;

use super::Gateway;
use crate::clock::Clock;
use crate::route::contact::{ANSWER_TIME, Contact, Verdict};
use crate::route::registry::Engine;
use crate::supervisor::{Group, Signal};
use crate::util::within;

/// Delay before a second connection is tried, in case a packet of the first one was lost, and before
/// other addresses are tried for comparison.
const COMPARE_AFTER: Duration = Duration::from_millis(50);

/// Number of other hosts, and of other engines, that are tried at once for comparison.
const COMPARED: usize = 2;

/// Timeout for an answer of the addresses that are tried at once for comparison.
const COMPARISON_TIMEOUT: Duration = Duration::from_millis(300);

/// Why there is no connection to an engine. No byte of a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unreached {
    /// The engine's address refused the connection.
    Refused,
    /// The engine did not answer, while this host reached another address.
    Unanswered,
    /// The engine accepts no connection at present, but it sent bytes meanwhile.
    Busy,
    /// Neither the engine nor another address answered, so nothing is known of the engine.
    NoContact,
}

impl Unreached {
    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::Busy => "busy",
            Self::NoContact => "no-contact",
        }
    }
}

/// The contact of this host to other addresses, and the comparison that is running.
#[derive(Debug, Default)]
pub struct Reach {
    contact: RefCell<Contact>,
    /// Other hosts to try for comparison.
    hosts: RefCell<Vec<SocketAddr>>,
    // Set at the next round trip or end of a comparison, and replaced by a new signal.
    next: RefCell<Signal>,
    // When the running comparison began.
    comparing_since: Cell<Option<Instant>>,
    // When the comparison began that was the first one in a row to get no answer.
    lost_at: Cell<Option<Instant>>,
    comparisons: Group,
}

impl Reach {
    /// Sets the other hosts that may be tried for comparison.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        *self.hosts.borrow_mut() = hosts;
    }

    /// Cancels the running comparison.
    pub async fn stop(&self) {
        self.comparisons.cancel().await;
    }

    fn record(&self, began: Instant) {
        self.contact.borrow_mut().record(began);
        self.next.take().set();
    }
}

/// Opens a connection to an engine, for `limit` at most.
///
/// # Errors
/// See [`Unreached`].
pub async fn connect<C: Clock>(
    gateway: &Rc<Gateway<C>>,
    engine: Engine,
    address: &str,
    limit: Duration,
) -> Result<TcpStream, Unreached> {
    let connecting = async {
        loop {
            // Packets of a connection that began before contact was lost may have been dropped, and
            // are sent again only after a second. It proves nothing once contact is back.
            if let Some(result) = connect_once(gateway, engine, address).await {
                return result;
            }
        }
    };
    within(limit, connecting)
        .await
        .unwrap_or(Err(Unreached::NoContact))
}

/// Opens a connection; `None` if this host had no contact for so long that it has to be tried again.
async fn connect_once<C: Clock>(
    gateway: &Rc<Gateway<C>>,
    engine: Engine,
    address: &str,
) -> Option<Result<TcpStream, Unreached>> {
    let began = gateway.clock.now();
    let connected = pin!(connect_twice(address));
    let unanswered = pin!(unanswered(gateway, engine, began));
    match select(connected, unanswered).await {
        Either::Left((Ok(stream), _)) => {
            gateway.reach.record(began);
            Some(Ok(stream))
        }
        Either::Left((Err(err), _)) if is_refusal(&err) => {
            gateway.reach.record(began);
            Some(Err(Unreached::Refused))
        }
        Either::Left((Err(err), unanswered)) => {
            warn!("event=connect_failed address={address} error={err:?}");
            Some(Err(unanswered.await))
        }
        Either::Right((cause, _)) => {
            let elapsed = gateway.clock.now().duration_since(began);
            let was_without_contact = elapsed >= COMPARISON_TIMEOUT;
            (!was_without_contact).then_some(Err(cause))
        }
    }
}

/// Waits until a round trip of this host that began at `since` or later has ended.
pub async fn wait_for_contact<C: Clock>(gateway: &Rc<Gateway<C>>, engine: Engine, since: Instant) {
    while !gateway.reach.contact.borrow().has_since(since) {
        let next = gateway.reach.next.borrow().clone();
        let is_comparing = |began: Instant| began >= since;
        if !gateway
            .reach
            .comparing_since
            .get()
            .is_some_and(is_comparing)
        {
            compare(gateway, engine);
        }
        next.wait().await;
    }
}

/// Waits until this host has contact and the engine has not answered in time; returns why.
async fn unanswered<C: Clock>(
    gateway: &Rc<Gateway<C>>,
    engine: Engine,
    began: Instant,
) -> Unreached {
    compio::time::sleep(COMPARE_AFTER).await;
    wait_for_contact(gateway, engine, began).await;
    loop {
        let now = gateway.clock.now();
        let verdict = gateway.reach.contact.borrow().judge(began, now);
        let is_heard = gateway.registry.borrow().was_heard_since(engine, began);
        match verdict {
            Verdict::Unreachable if is_heard => return Unreached::Busy,
            Verdict::Unreachable => return Unreached::Unanswered,
            Verdict::Open => {
                let left = (began + ANSWER_TIME).saturating_duration_since(now);
                compio::time::sleep(left).await;
            }
        }
    }
}

/// Returns the first of two connection attempts to end.
async fn connect_twice(address: &str) -> std::io::Result<TcpStream> {
    let first = pin!(TcpStream::connect(address));
    let second = pin!(async {
        compio::time::sleep(COMPARE_AFTER).await;
        TcpStream::connect(address).await
    });
    match select(first, second).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

fn is_refusal(err: &std::io::Error) -> bool {
    matches!(
        err.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

/// Starts to try other addresses than that of `engine`.
fn compare<C: Clock>(gateway: &Rc<Gateway<C>>, engine: Engine) {
    let began = gateway.clock.now();
    gateway.reach.comparing_since.set(Some(began));
    let addresses = compared_addresses(gateway, engine);
    let task = try_addresses(gateway.clone(), addresses, began);
    gateway.reach.comparisons.spawn(task);
}

/// Returns addresses of other hosts and of other engines.
fn compared_addresses<C: Clock>(gateway: &Gateway<C>, engine: Engine) -> Vec<CompactString> {
    let hosts = gateway.reach.hosts.borrow();
    let hosts = hosts.iter().choose_multiple(&mut rand::rng(), COMPARED);
    let hosts = hosts.iter().map(ToCompactString::to_compact_string);
    let engines = gateway.registry.borrow().comparable_to(engine);
    let engines = engines
        .into_iter()
        .choose_multiple(&mut rand::rng(), COMPARED);
    hosts.chain(engines).collect()
}

/// Tries `addresses` until one answers, and records whether one did.
async fn try_addresses<C: Clock>(
    gateway: Rc<Gateway<C>>,
    addresses: Vec<CompactString>,
    began: Instant,
) {
    let tries = addresses.iter().map(|address| Box::pin(answers(address)));
    let tries = futures_util::future::select_ok(tries);
    let answered = match addresses.is_empty() {
        true => {
            compio::time::sleep(COMPARISON_TIMEOUT).await;
            false
        }
        false => within(COMPARISON_TIMEOUT, tries)
            .await
            .is_some_and(|answer| answer.is_ok()),
    };
    let reach = &gateway.reach;
    if !answered {
        // Connections that fail at once are not tried again without a pause.
        let ends_at = began + COMPARISON_TIMEOUT;
        compio::time::sleep(ends_at.saturating_duration_since(gateway.clock.now())).await;
    }
    let now = gateway.clock.now();
    let outcome = if answered { "answered" } else { "no-answer" };
    gateway.metrics.count_decision("comparison", outcome);
    if reach.comparing_since.get() == Some(began) {
        reach.comparing_since.set(None);
    }
    if answered {
        if let Some(lost_at) = reach.lost_at.take() {
            let after = now.duration_since(lost_at).as_millis();
            info!("event=contact_back after_ms={after}");
        }
        reach.record(began);
        return;
    }
    if reach.lost_at.get().is_none() {
        reach.lost_at.set(Some(began));
        let tried = addresses.join(",");
        warn!("event=contact_lost tried={tried}");
    }
    reach.next.take().set();
}

/// Waits for an answer of `address`.
///
/// # Errors
/// The connection failed on this host.
async fn answers(address: &str) -> std::io::Result<()> {
    match TcpStream::connect(address).await {
        Ok(_) => Ok(()),
        Err(err) if is_refusal(&err) => Ok(()),
        Err(err) => Err(err),
    }
}
