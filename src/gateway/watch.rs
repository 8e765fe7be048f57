//! Tasks that keep the configuration and the engines up to date.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};

use super::Gateway;
use super::protocol::{Change, Directory, Unavailable};
use crate::clock::Clock;
use crate::supervisor::Signal;
use crate::util::within;

/// Longest wait of one watch. A store that went silent, or a connection to it, is noticed only at its
/// end, so it ends within the 3 s after which a host counts as connected again. A wait of 8 s for the
/// configuration, while reports of other hosts arrive, kept all hosts on taken-back keys for 6 s after
/// a silent outage, as all of them waited at once.
pub const WATCH_WAIT: Duration = Duration::from_millis(2000);

/// The same where other hosts follow this one, which they leave when it does not reach the store.
const FOLLOWED_WAIT: Duration = Duration::from_millis(1000);

/// Time in which changes of engines gather before they are asked for again, as each call is priced;
/// and the same where other hosts follow this one, of which there are several and changes are many.
const GATHER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(500));

/// Shortest pause between two tries while the store does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest such pause of a representative, and of another host, of which there are many.
const RETRY_PAUSE_MAX: (Duration, Duration) =
    (Duration::from_millis(600), Duration::from_millis(4000));

/// Time between two looks whether this host has to watch the store.
const IDLE: Duration = Duration::from_millis(100);

/// Returns the pause before the next try after `failures` in a row. A refused call is priced like
/// any other, and a store that returns must not be met by all hosts at once.
pub fn retry_pause(failures: u32, is_representative: bool) -> Duration {
    let longest = match is_representative {
        true => RETRY_PAUSE_MAX.0,
        false => RETRY_PAUSE_MAX.1,
    };
    let doubled = RETRY_PAUSE.saturating_mul(1 << failures.saturating_sub(1).min(8));
    doubled.min(longest)
}

/// Tells once that a dependency was lost, and once that it is back.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    is_lost: bool,
    failures: u32,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: false,
            failures: 0,
        }
    }

    fn lost<C: Clock>(&mut self, gateway: &Gateway<C>, err: &Unavailable) {
        self.failures += 1;
        if self.is_lost {
            return;
        }
        self.is_lost = true;
        gateway.set_failing(true);
        warn!("event=dependency_lost name={} error={err:?}", self.name);
    }

    fn back<C: Clock>(&mut self, gateway: &Gateway<C>) {
        self.failures = 0;
        if !self.is_lost {
            return;
        }
        self.is_lost = false;
        gateway.set_failing(false);
        info!("event=dependency_back name={}", self.name);
    }

    async fn pause<C: Clock>(&self, gateway: &Gateway<C>, stop: &Signal) {
        let pause = retry_pause(self.failures, gateway.duty.is_representative());
        // Spread, so that hosts that failed together do not come back together.
        within(pause.mul_f64(rand::random_range(0.7..1.0)), stop.wait()).await;
    }
}

fn wait<C: Clock>(gateway: &Gateway<C>) -> Duration {
    match gateway.duty.is_followed() {
        true => FOLLOWED_WAIT,
        false => WATCH_WAIT,
    }
}

/// Keeps the configuration up to date until `stop` is given, while this host watches the store.
pub async fn revisions<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    stop: Signal,
) {
    let mut dependency = Dependency::new("configuration");
    let mut at = None;
    while !stop.is_given() {
        if !gateway.duty.is_watching() {
            at = None;
            within(IDLE, stop.wait()).await;
            continue;
        }
        let answer = match at {
            None => directory.revision().await,
            Some(from) => directory.revision_changes(from, wait(&gateway)).await,
        };
        count(&gateway, "configuration_call", answer.as_ref().err());
        match answer {
            Ok(listing) => {
                dependency.back(&gateway);
                gateway.confirm(Duration::ZERO);
                unreadable("configuration", listing.unreadable);
                at = at.max(Some(listing.at));
                for revision in listing.items {
                    gateway.set_revision(revision, "store");
                }
            }
            Err(Unavailable::HistoryGone) => at = None,
            Err(err) => {
                dependency.lost(&gateway, &err);
                dependency.pause(&gateway, &stop).await;
            }
        }
    }
}

/// Reads the configuration once; returns whether the store answered.
pub async fn read_revision<C: Clock, D: Directory>(gateway: &Gateway<C>, directory: &D) -> bool {
    let answer = directory.revision().await;
    count(gateway, "configuration_read", answer.as_ref().err());
    let Ok(listing) = answer else {
        return false;
    };
    for revision in listing.items {
        gateway.set_revision(revision, "store");
    }
    true
}

/// Keeps the engines up to date until `stop` is given, while this host watches the store.
pub async fn engines<C: Clock, D: Directory>(gateway: Rc<Gateway<C>>, directory: D, stop: Signal) {
    let mut dependency = Dependency::new("engines");
    let mut at = None;
    while !stop.is_given() {
        if !gateway.duty.is_watching() {
            at = None;
            within(IDLE, stop.wait()).await;
            continue;
        }
        let was_lost = dependency.is_lost;
        let before = gateway.registry.borrow().last_change();
        let result = match at {
            None => list(&gateway, &directory, was_lost).await,
            Some(from) => follow(&gateway, &directory, from).await,
        };
        count(&gateway, "engines_call", result.as_ref().err());
        match result {
            Ok(next) => {
                dependency.back(&gateway);
                at = Some(next);
                gateway.registered(Duration::ZERO);
                if gateway.registry.borrow().last_change() != before {
                    gateway.note_news();
                }
                let gather = match gateway.duty.is_followed() {
                    true => GATHER.1,
                    false => GATHER.0,
                };
                within(gather, stop.wait()).await;
            }
            Err(Unavailable::HistoryGone) => at = None,
            Err(err) => {
                dependency.lost(&gateway, &err);
                // Entries may have lapsed unseen, so everything is read again.
                at = None;
                dependency.pause(&gateway, &stop).await;
            }
        }
    }
}

async fn list<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    was_lost: bool,
) -> Result<u64, Unavailable> {
    let listing = directory.engines().await?;
    unreadable("engines", listing.unreadable);
    info!("event=engines_listed engines={}", listing.items.len());
    gateway
        .registry
        .borrow_mut()
        .replace(listing.items, was_lost);
    Ok(listing.at)
}

async fn follow<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    from: u64,
) -> Result<u64, Unavailable> {
    let listing = directory.engine_changes(from, wait(gateway)).await?;
    unreadable("engines", listing.unreadable);
    let mut registry = gateway.registry.borrow_mut();
    for change in listing.items {
        match change {
            Change::Registered(registration) => {
                info!(
                    "event=engine_registered engine={} draining={}",
                    registration.id, registration.is_draining
                );
                registry.insert(registration);
            }
            Change::Removed(id) => {
                info!("event=engine_gone engine={id}");
                registry.remove(&id);
            }
        }
    }
    Ok(listing.at.max(from))
}

/// Counts a call to the directory.
fn count<C: Clock>(gateway: &Gateway<C>, call: &'static str, err: Option<&Unavailable>) {
    let outcome = match err {
        None => "answered",
        Some(Unavailable::HistoryGone) => "history-gone",
        Some(Unavailable::NoAnswer(_)) => "no-answer",
    };
    gateway.metrics.decided(call, outcome);
}

fn unreadable(kind: &str, count: usize) {
    if count > 0 {
        warn!("event=entries_unreadable kind={kind} count={count}");
    }
}
