//! Tasks that keep the configuration and the engines up to date by watching the store.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use log::{info, warn};

use super::Gateway;
use super::position::Position;
use super::protocol::{Change, Directory, Listing, Unavailable};
use super::stagger;
use crate::clock::Clock;
use crate::config::routes::Revision;
use crate::route::registry::Registration;
use crate::supervisor::Signal;
use crate::util::within;

/// Time for which the store holds a watch without changes. A store or connection that stopped
/// responding is noticed only after this time and [`WATCH_TIMEOUT_MARGIN`], which together stay
/// below the 3 s within which a host must be up to date after an outage. When it was 8 s for the
/// configuration while peers sent reports, all hosts waited at once and accepted revoked keys for
/// 6 s after a silent outage.
///
/// [`WATCH_TIMEOUT_MARGIN`]: crate::platform::store::WATCH_TIMEOUT_MARGIN
pub const WATCH_WAIT: Duration = Duration::from_millis(2000);

/// [`WATCH_WAIT`] of a host that others follow. It is shorter because followers switch to another
/// host when this one does not reach the store.
const FOLLOWED_WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Pause between two watches of engines, without followers and with followers. Several changes then
/// arrive in one call, as the store charges for each; hosts with followers are in large fleets,
/// where changes are frequent.
const ENGINE_WATCH_PAUSE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(500));

/// Time after which a list of engines without an answer is begun again beside the first one. A call
/// that was sent just before a cut ended gets no answer, and would delay the notice of its end by its
/// whole timeout.
pub const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the start of the first failed call to the store to the next one; it doubles with each
/// further failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Longest [`RETRY_INTERVAL`] of a representative, and of any other host, of which there are many
/// more. Together with the time for which lapsed entries stay in use, that of a representative stays
/// below the 3 s within which a host must be up to date after an outage.
const RETRY_INTERVAL_MAX: (Duration, Duration) =
    (Duration::from_millis(600), Duration::from_millis(4000));

/// Time between two checks whether this host has to watch the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the time between the starts of two calls after `failures` failed ones in a row. The store
/// charges for refused calls too, and hosts must not call a recovering store all at once.
pub fn retry_interval(failures: u32, is_representative: bool) -> Duration {
    let longest = match is_representative {
        true => RETRY_INTERVAL_MAX.0,
        false => RETRY_INTERVAL_MAX.1,
    };
    let doubled = RETRY_INTERVAL.saturating_mul(1 << failures.saturating_sub(1).min(8));
    doubled.min(longest)
}

/// Tracks the failures of one kind of calls to the store, and logs once when they start to fail and
/// once when they succeed again.
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

    fn record_failure<C: Clock>(&mut self, gateway: &Gateway<C>, err: &Unavailable) {
        self.failures += 1;
        if self.is_lost {
            return;
        }
        self.is_lost = true;
        gateway.set_call_failing(true);
        warn!("event=dependency_lost name={} error={err:?}", self.name);
    }

    fn record_success<C: Clock>(&mut self, gateway: &Gateway<C>, position: Position) {
        self.failures = 0;
        if !self.is_lost {
            return;
        }
        self.is_lost = false;
        gateway.set_call_failing(false);
        let Position { era, revision } = position;
        info!(
            "event=dependency_back name={} era={era} revision={revision}",
            self.name
        );
    }

    /// Waits until the next call is due after one that began at `began_at`, or the store is found to be
    /// in a new era.
    async fn pause<C: Clock>(
        &self,
        gateway: &Gateway<C>,
        began_at: Instant,
        next_era: &Signal,
        stop: &Signal,
    ) {
        let interval = retry_interval(self.failures, gateway.role.is_representative());
        // Random jitter, so that hosts that failed together do not retry together.
        let interval = interval.mul_f64(rand::random_range(0.7..1.0));
        let elapsed = gateway.clock.now().duration_since(began_at);
        let pause = interval.saturating_sub(elapsed);
        within(pause, select(next_era.wait(), stop.wait())).await;
    }
}

/// Returns how long the next watch may last. A host that has just started may become a representative
/// meanwhile.
pub fn watch_wait<C: Clock>(gateway: &Gateway<C>) -> Duration {
    match gateway.role.is_followed() || gateway.uptime() < WATCH_WAIT {
        true => FOLLOWED_WATCH_WAIT,
        false => WATCH_WAIT,
    }
}

/// Keeps the configuration up to date until `stop` is set, while this host watches the store.
pub async fn revisions<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    stop: Signal,
) {
    let mut dependency = Dependency::new("configuration");
    let mut since = None;
    let mut known = Position::default();
    while !stop.is_set() {
        if !gateway.role.is_watching() {
            since = None;
            within(ROLE_CHECK_INTERVAL, stop.wait()).await;
            continue;
        }
        let began_at = gateway.clock.now();
        let next_era = gateway.next_era();
        since = since.filter(|since| gateway.is_current_era(*since));
        let call = call_revisions(&gateway, &directory, since, known);
        let result = unless_set(&next_era, call).await;
        count_call(&gateway, "configuration_call", &result);
        match result {
            Ok(listing) => {
                dependency.record_success(&gateway, listing.position);
                gateway.confirm_revision(Duration::ZERO);
                warn_unreadable("configuration", listing.unreadable);
                known = listing.position;
                since = Some(known);
                for revision in listing.items {
                    gateway.set_revision(revision, "store");
                }
            }
            Err(Unavailable::HistoryGone) => since = None,
            Err(err) => {
                dependency.record_failure(&gateway, &err);
                // The store may have come back from an older copy, in which changes after `since` are
                // not the ones that follow.
                since = None;
                dependency.pause(&gateway, began_at, &next_era, &stop).await;
            }
        }
    }
}

async fn call_revisions<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    since: Option<Position>,
    known: Position,
) -> Result<Listing<Revision>, Unavailable> {
    let listing = match since {
        None => directory.read_revision().await?,
        Some(since) => directory.watch_revision(since, watch_wait(gateway)).await?,
    };
    gateway.check_position("configuration", since, known, listing.position)?;
    Ok(listing)
}

/// Reads the configuration once; returns whether the store answered.
pub async fn read_revision<C: Clock, D: Directory>(gateway: &Gateway<C>, directory: &D) -> bool {
    let result = call_revisions(gateway, directory, None, Position::default()).await;
    count_call(gateway, "configuration_read", &result);
    let Ok(listing) = result else {
        return false;
    };
    for revision in listing.items {
        gateway.set_revision(revision, "store");
    }
    true
}

/// Returns the result of a call to the store; [`Unavailable::HistoryGone`] if the store was found to
/// be in a new era meanwhile.
pub(super) async fn unless_set<T>(
    next_era: &Signal,
    call: impl Future<Output = Result<T, Unavailable>>,
) -> Result<T, Unavailable> {
    match select(pin!(call), next_era.wait()).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Unavailable::HistoryGone),
    }
}

/// Keeps the engines up to date until `stop` is set, while this host watches the store.
pub async fn engines<C: Clock, D: Directory>(gateway: Rc<Gateway<C>>, directory: D, stop: Signal) {
    let mut dependency = Dependency::new("engines");
    let mut since = None;
    while !stop.is_set() {
        if !gateway.role.is_watching() {
            since = None;
            within(ROLE_CHECK_INTERVAL, stop.wait()).await;
            continue;
        }
        let was_lost = dependency.is_lost;
        let began_at = gateway.clock.now();
        let next_era = gateway.next_era();
        since = since.filter(|since| gateway.is_current_era(*since));
        let before = gateway.registry.borrow().last_change();
        let call = call_engines(&gateway, &directory, since, was_lost);
        let result = unless_set(&next_era, call).await;
        count_call(&gateway, "engines_call", &result);
        match result {
            Ok(next) => {
                dependency.record_success(&gateway, next);
                since = Some(next);
                gateway.set_engines_position(next);
                gateway.registry.borrow_mut().expire_lapsed();
                gateway.confirm_engines(Duration::ZERO);
                if gateway.registry.borrow().last_change() != before {
                    gateway.notify_followers();
                }
                let pause = match gateway.role.is_followed() {
                    true => ENGINE_WATCH_PAUSE.1,
                    false => ENGINE_WATCH_PAUSE.0,
                };
                within(pause, stop.wait()).await;
            }
            Err(Unavailable::HistoryGone) => since = None,
            Err(err) => {
                dependency.record_failure(&gateway, &err);
                // Entries may have expired in the meantime, so all are listed again.
                since = None;
                dependency.pause(&gateway, began_at, &next_era, &stop).await;
            }
        }
    }
}

/// Lists the engines, or waits for changes after `since`. Returns the position to watch from.
async fn call_engines<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    since: Option<Position>,
    was_lost: bool,
) -> Result<Position, Unavailable> {
    let known = gateway.engines_position();
    match since {
        None => {
            let listing = stagger::first_of(LIST_INTERVAL, || directory.list_engines()).await?;
            gateway.check_position("engines", None, known, listing.position)?;
            Ok(apply_listing(gateway, listing, was_lost))
        }
        Some(since) => {
            let wait = watch_wait(gateway);
            let listing = directory.watch_engines(since, wait).await?;
            gateway.check_position("engines", Some(since), known, listing.position)?;
            Ok(apply_changes(gateway, listing))
        }
    }
}

fn apply_listing<C: Clock>(
    gateway: &Gateway<C>,
    listing: Listing<Registration>,
    was_lost: bool,
) -> Position {
    warn_unreadable("engines", listing.unreadable);
    let (engines, position) = (listing.items.len(), listing.position);
    let (era, revision) = (position.era, position.revision);
    // What engines wrote in the lost part of the history is written again.
    let is_new_era = era > gateway.engines_position().era;
    let mut registry = gateway.registry.borrow_mut();
    if is_new_era {
        registry.begin_era();
    }
    registry.replace(listing.items, was_lost || is_new_era);
    let lapsing = registry.lapsing();
    info!(
        "event=engines_listed engines={engines} lapsing={lapsing} era={era} engines_revision={revision}"
    );
    position
}

fn apply_changes<C: Clock>(gateway: &Gateway<C>, listing: Listing<Change>) -> Position {
    warn_unreadable("engines", listing.unreadable);
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
                registry.apply_removal(&id);
            }
        }
    }
    listing.position
}

/// Counts a call to the directory and its outcome in the metrics.
pub(super) fn count_call<C: Clock, T>(
    gateway: &Gateway<C>,
    call: &'static str,
    result: &Result<T, Unavailable>,
) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(Unavailable::HistoryGone) => "history-gone",
        Err(Unavailable::NoAnswer(_)) => "no-answer",
    };
    gateway.metrics.count_decision(call, outcome);
}

/// Warns of entries that could not be decoded.
pub(super) fn warn_unreadable(kind: &str, count: usize) {
    if count > 0 {
        warn!("event=entries_unreadable kind={kind} count={count}");
    }
}
