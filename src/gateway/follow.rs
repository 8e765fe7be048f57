//! Follows a representative: polls it for the configuration and the engines instead of the store.
//!
//! The store charges for each call, so only the first representative of a failure domain watches it.
//! A host that no representative answers watches the store itself.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use super::feed::{self, Query, Update};
use super::followed::{Cause, Followed};
use super::position::Position;
use super::protocol::Directory;
use super::watch;
use crate::clock::Clock;
use crate::http::client::post_json;
use crate::http::pool::Pool;
use crate::peer::representatives::Representatives;
use crate::supervisor::Signal;
use crate::util::within;

/// Time for which a representative holds a query without changes. One that stopped responding is
/// noticed only after this time.
const QUERY_WAIT: Duration = Duration::from_millis(600);

/// Time beyond the requested wait after which a query counts as failed, and after which a probe does.
const QUERY_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);

/// Age of a representative's configuration or engines above which it is not followed, and up to which
/// a query may wait. Changes must be in force within 3 s, and after this time a query may still have to
/// time out, the others be probed and a list be sent. A representative that reaches the store
/// stays below: it pauses for 0.5 s between two watches, which end within 1.5 s.
const AGE_MAX: Duration = Duration::from_millis(2000);

/// Time between two checks whether this host has become a follower.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after no representative can be followed although one answered.
const UNUSABLE_PAUSE: Duration = Duration::from_millis(200);

/// Pause after all representatives failed, or after the store did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(1000);

/// Pause between two queries, so that several changes arrive in one update.
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Range of the time after which a host that follows a substitute tries its preferred representative
/// again. It is wide because each host then gets all engines, about 25 KB on large fleets: 20 hosts
/// within 8 s take a twentieth of a link of 10 Mbit/s.
const SUBSTITUTE_TIME: Range<Duration> = Duration::from_secs(4)..Duration::from_secs(12);

/// Part of a host in watching the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Duty {
    /// Watches the store; others may follow it.
    #[default]
    Watch,
    /// Follows a representative, and watches the store while none reaches it.
    Standby,
    /// Follows a representative, and watches the store only while none answers.
    Follow,
}

impl Duty {
    /// Returns the name of the duty in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Standby => "standby",
            Self::Follow => "follow",
        }
    }
}

/// Whether this host watches the store or follows a representative, and which.
#[derive(Debug, Default)]
pub struct Role {
    duty: Cell<Duty>,
    // Whether no representative can be followed, so that this host watches the store itself.
    has_no_representative: Cell<bool>,
    // The representatives that this host may follow.
    representatives: RefCell<Representatives>,
    // Whether other hosts may follow this one.
    is_followed: Cell<bool>,
}

impl Role {
    /// Sets the duty of this host and the representatives that it may follow, preferred ones first.
    /// A follower without any watches the store itself.
    pub fn set(&self, duty: Duty, is_followed: bool, representatives: Vec<SocketAddr>) {
        if self.duty.replace(duty) != duty {
            info!("event=duty duty={}", duty.as_str());
        }
        self.is_followed.set(is_followed);
        self.representatives.borrow_mut().set(representatives);
    }

    /// Returns whether this host watches the store.
    pub fn is_watching(&self) -> bool {
        self.duty.get() == Duty::Watch || self.has_no_representative.get()
    }

    /// Returns whether this host is a representative of its failure domain.
    pub fn is_representative(&self) -> bool {
        self.duty.get() != Duty::Follow
    }

    /// Returns whether other hosts may follow this one.
    pub fn is_followed(&self) -> bool {
        self.is_followed.get()
    }

    /// Returns whether the last queries leave this host no choice but to watch the store itself.
    fn must_watch(&self) -> bool {
        let representatives = self.representatives.borrow();
        match self.duty.get() {
            Duty::Watch => true,
            Duty::Standby => representatives.all_failed(),
            Duty::Follow => representatives.all_silent(),
        }
    }

    fn set_has_no_representative(&self, has_no_representative: bool) {
        if self.has_no_representative.replace(has_no_representative) != has_no_representative {
            info!("event=following works={}", !has_no_representative);
        }
    }
}

/// Follows a representative until `stop` is set; does nothing while this host is one itself.
pub async fn run<C: Clock, D: Directory>(gateway: Rc<Gateway<C>>, directory: D, stop: Signal) {
    let pool = Pool::default();
    // The process whose changes of engines were applied, and the number of the last one.
    let mut known: Option<(u64, u64)> = None;
    // When to try the preferred representative again.
    let mut return_at = None;
    let mut followed = Followed::default();
    while !stop.is_set() {
        if gateway.role.duty.get() == Duty::Watch {
            gateway.role.set_has_no_representative(false);
            known = None;
            within(ROLE_CHECK_INTERVAL, stop.wait()).await;
            continue;
        }
        return_to_preferred(&gateway, &mut return_at).await;
        let representative = gateway.role.representatives.borrow().current();
        let update = match representative {
            Some(representative) => fetch_update(&gateway, &pool, representative, known).await,
            None => None,
        };
        let failure = cause_against(&gateway, update.as_ref());
        log_followed(&gateway, &mut followed, representative, failure);
        record_outcome(&mut gateway.role.representatives.borrow_mut(), failure);
        let version = update.as_ref().map_or(0, |update| update.version);
        if let Some(update) = update {
            known = apply_update(&gateway, &directory, update).or(known);
        }
        if version > gateway.revision_version() {
            watch::read_revision(&gateway, &directory).await;
        }
        let is_behind = version > gateway.revision_version();
        let can_follow = failure.is_none() || select_usable(&gateway).await;
        let must_watch = gateway.role.must_watch();
        gateway.role.set_has_no_representative(must_watch);
        let pause = match can_follow {
            _ if must_watch || is_behind => RETRY_PAUSE,
            true => QUERY_INTERVAL_MIN,
            false => UNUSABLE_PAUSE,
        };
        within(pause, stop.wait()).await;
    }
}

/// Returns why the representative with this answer cannot be followed; `None` if it can.
fn cause_against<C: Clock>(gateway: &Gateway<C>, update: Option<&Update>) -> Option<Cause> {
    let Some(update) = update else {
        return Some(Cause::Silent);
    };
    if !update.is_confirmed {
        return Some(Cause::WithoutStore);
    }
    if Duration::from_millis(update.age_ms) > AGE_MAX {
        return Some(Cause::Stale);
    }
    let known = gateway.engines_position();
    (update.engines_position(known) < known).then_some(Cause::Behind)
}

fn record_outcome(representatives: &mut Representatives, failure: Option<Cause>) {
    match failure {
        None => representatives.record_success(),
        Some(cause) => representatives.record_failure(cause == Cause::Silent),
    }
}

/// Logs when the followed representative is lost, and when another one is followed.
fn log_followed<C: Clock>(
    gateway: &Gateway<C>,
    followed: &mut Followed,
    queried: Option<SocketAddr>,
    failure: Option<Cause>,
) {
    let age = gateway.engines_age().as_millis();
    let Position { era, revision } = gateway.engines_position();
    match failure {
        None => {
            if let Some(peer) = queried.filter(|peer| followed.record_success(*peer)) {
                info!(
                    "event=followed peer={peer} era={era} engines_revision={revision} engines_age_ms={age}"
                );
            }
        }
        Some(cause) => {
            if let Some(peer) = followed.record_failure() {
                info!(
                    "event=followed_lost peer={peer} cause={} era={era} engines_revision={revision} engines_age_ms={age}",
                    cause.as_str()
                );
            }
        }
    }
}

/// Selects the preferred representative at `return_at`, which is set once a substitute is followed, if
/// it can be followed again.
async fn return_to_preferred<C: Clock>(gateway: &Gateway<C>, return_at: &mut Option<Instant>) {
    let preferred = {
        let representatives = gateway.role.representatives.borrow();
        let preferred = representatives.preferred();
        preferred.filter(|_| representatives.is_at_substitute())
    };
    let Some(preferred) = preferred else {
        *return_at = None;
        return;
    };
    let now = gateway.clock.now();
    let due = *return_at.get_or_insert_with(|| now + rand::random_range(SUBSTITUTE_TIME));
    if now < due {
        return;
    }
    *return_at = None;
    let state = probe(gateway, &Pool::default(), preferred).await;
    let mut representatives = gateway.role.representatives.borrow_mut();
    if cause_against(gateway, state.as_ref()).is_none()
        && representatives.preferred() == Some(preferred)
    {
        representatives.prefer_first();
    }
}

/// Selects the first other representative that can be followed, after the current one failed. Probes
/// all at once, so that several silent ones do not add up their timeouts, and without their engines,
/// which would fill their links. Returns whether there is one.
async fn select_usable<C: Clock>(gateway: &Gateway<C>) -> bool {
    let others = gateway.role.representatives.borrow().others();
    let pool = Pool::default();
    let probes = others.iter().map(|other| probe(gateway, &pool, *other));
    let states = futures_util::future::join_all(probes).await;
    let mut representatives = gateway.role.representatives.borrow_mut();
    for (other, state) in others.iter().zip(&states) {
        // The list of representatives may have changed meanwhile.
        if representatives.current() != Some(*other) {
            return false;
        }
        let failure = cause_against(gateway, state.as_ref());
        if failure.is_none() {
            return true;
        }
        record_outcome(&mut representatives, failure);
    }
    false
}

/// Asks a representative for its state only; `None` if it does not answer in time.
async fn probe<C: Clock>(
    gateway: &Gateway<C>,
    pool: &Pool,
    representative: SocketAddr,
) -> Option<Update> {
    let query = Query {
        is_probe: true,
        ..Query::default()
    };
    let address = representative.to_string();
    let request = post_json(&address, feed::PATH, &query);
    let call = pool.call(&address, request, QUERY_TIMEOUT_MARGIN);
    let answer = within(QUERY_TIMEOUT_MARGIN, call).await;
    let state = answer.and_then(Result::ok);
    let outcome = match &state {
        Some(_) => "answered",
        None => "no-answer",
    };
    gateway.metrics.count_decision("probe", outcome);
    Update::decode(&state?.1).ok()
}

/// Returns how long a query may wait for a change, so that a silent representative is noticed before
/// what this host knows is too old.
fn query_wait<C: Clock>(gateway: &Gateway<C>) -> Duration {
    if gateway.role.has_no_representative.get() {
        return Duration::ZERO;
    }
    let age = gateway.engines_age().max(gateway.configuration_age());
    let left = AGE_MAX.saturating_sub(age);
    left.saturating_sub(QUERY_TIMEOUT_MARGIN).min(QUERY_WAIT)
}

async fn fetch_update<C: Clock>(
    gateway: &Gateway<C>,
    pool: &Pool,
    representative: SocketAddr,
    known: Option<(u64, u64)>,
) -> Option<Update> {
    let wait = query_wait(gateway);
    let query = Query {
        process: known.map_or(0, |(process, _)| process),
        engines: known.map(|(_, at)| at),
        revision: gateway.revision_version(),
        document: Some(gateway.document_digest()),
        wait_ms: wait.as_millis() as u64,
        is_cut_off: false,
        is_probe: false,
    };
    let address = representative.to_string();
    let request = post_json(&address, feed::PATH, &query);
    let update = pool
        .call(&address, request, wait + QUERY_TIMEOUT_MARGIN)
        .await;
    let outcome = match &update {
        Ok(_) => "answered",
        Err(_) => "no-answer",
    };
    gateway.metrics.count_decision("follow", outcome);
    let cause = match update {
        Ok((_, body)) => match Update::decode(&body) {
            Ok(update) => return Some(update),
            Err(err) => err.to_string(),
        },
        Err(err) => err.to_string(),
    };
    info!("event=representative_failed peer={representative} error={cause:?}");
    None
}

/// Applies an update. Returns the process and the number of the last change of engines, or `None`
/// if the engines were not taken over.
fn apply_update<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    update: Update,
) -> Option<(u64, u64)> {
    gateway.apply_revision(directory, &update, "representative");
    // A representative that does not reach the store may have dropped engines that this host still
    // knows.
    let is_less_reliable = !update.is_confirmed && !gateway.registry.borrow().is_empty();
    // One that lags behind the last one still lists engines that have left.
    let known_position = gateway.engines_position();
    let position = update.engines_position(known_position);
    let is_older = position < known_position;
    if is_older
        || is_less_reliable
        || (!update.is_confirmed && update.engines.registered.is_empty())
    {
        return None;
    }
    let known = (update.process, update.engines.at);
    let age = Duration::from_millis(update.age_ms);
    let before = gateway.registry.borrow().last_change();
    let content = engines_content(&update, position);
    // What engines wrote in the lost part of the history is written again.
    let is_new_era = position.era > known_position.era;
    let mut registry = gateway.registry.borrow_mut();
    if is_new_era {
        registry.begin_era();
    }
    registry.apply_changes(update.engines, is_new_era);
    drop(registry);
    if gateway.registry.borrow().last_change() != before {
        info!("event=engines_followed {content}");
        gateway.notify_followers();
    }
    gateway.set_engines_position(position);
    if gateway.revision_version() >= update.version {
        gateway.confirm_revision(age);
    }
    gateway.confirm_engines(age);
    Some(known)
}

/// Returns the keys of the log line for engines that another host sent.
fn engines_content(update: &Update, position: Position) -> String {
    format!(
        "era={} engines_revision={} whole={} registered={} lapsing={} gone={} age_ms={}",
        position.era,
        position.revision,
        update.engines.is_whole,
        update.engines.registered.len(),
        update.engines.lapsing.len(),
        update.engines.gone.len(),
        update.age_ms
    )
}
