//! Tasks that keep the configuration and the engines up to date.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};

use super::Gateway;
use super::protocol::{Change, Directory, Unavailable};
use crate::clock::Clock;
use crate::config::routes::Revision;
use crate::supervisor::Signal;
use crate::util::within;

/// Longest wait of one watch. A store that went silent, or a connection to it, is noticed only at its
/// end, so it ends within the 3 s after which a host counts as connected again. A wait of 8 s for the
/// configuration, while reports of other hosts arrive, kept all hosts on taken-back keys for 6 s after
/// a silent outage, as all of them waited at once.
pub const WATCH_WAIT: Duration = Duration::from_millis(2000);

/// Time for each host in which changes of engines gather before they are asked for again. Each call
/// of each host is priced, so that more hosts ask less often.
const GATHER_PER_HOST: Duration = Duration::from_millis(50);

/// Shortest and longest such time. The longest leaves a second of the shortest time in which engines
/// that leave must get nothing more.
const GATHER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(1000));

/// Returns how long changes of engines gather on one of `hosts` hosts.
pub fn gather(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let (shortest, longest) = GATHER;
    GATHER_PER_HOST
        .saturating_mul(hosts)
        .clamp(shortest, longest)
}

/// Time between two tries while the directory does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Tells once that a dependency was lost, and once that it is back.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    is_lost: bool,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: false,
        }
    }

    fn lost(&mut self, err: &Unavailable) {
        if !self.is_lost {
            warn!("event=dependency_lost name={} error={err:?}", self.name);
        }
        self.is_lost = true;
    }

    fn back(&mut self) {
        if self.is_lost {
            info!("event=dependency_back name={}", self.name);
        }
        self.is_lost = false;
    }
}

/// Keeps the configuration up to date until `stop` is given.
pub async fn revisions<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    stop: Signal,
) {
    let mut dependency = Dependency::new("configuration");
    let mut at = None;
    while !stop.is_given() {
        let answer = match at {
            None => directory.revision().await,
            Some(from) => directory.revision_changes(from, WATCH_WAIT).await,
        };
        count(&gateway, "configuration_call", answer.as_ref().err());
        match answer {
            Ok(listing) => {
                dependency.back();
                gateway.confirm_revision();
                unreadable("configuration", listing.unreadable);
                at = at.max(Some(listing.at));
                listing
                    .items
                    .into_iter()
                    .for_each(|revision| put_in_force(&gateway, revision));
            }
            Err(Unavailable::HistoryGone) => at = None,
            Err(err) => {
                dependency.lost(&err);
                within(RETRY_PAUSE, stop.wait()).await;
            }
        }
    }
}

fn put_in_force<C: Clock>(gateway: &Gateway<C>, revision: Revision) {
    let version = revision.version;
    if gateway.set_revision(revision) {
        info!("event=revision version={version}");
    }
}

/// Keeps the engines up to date until `stop` is given.
pub async fn engines<C: Clock, D: Directory>(gateway: Rc<Gateway<C>>, directory: D, stop: Signal) {
    let mut dependency = Dependency::new("engines");
    let mut at = None;
    while !stop.is_given() {
        let was_lost = dependency.is_lost;
        let result = match at {
            None => list(&gateway, &directory, was_lost).await,
            Some(from) => follow(&gateway, &directory, from).await,
        };
        count(&gateway, "engines_call", result.as_ref().err());
        match result {
            Ok(next) => {
                dependency.back();
                at = Some(next);
                gateway.registered();
                within(gather(gateway.peers.get() + 1), stop.wait()).await;
            }
            Err(Unavailable::HistoryGone) => at = None,
            Err(err) => {
                dependency.lost(&err);
                // Entries may have lapsed unseen, so everything is read again.
                at = None;
                within(RETRY_PAUSE, stop.wait()).await;
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
    let listing = directory.engine_changes(from, WATCH_WAIT).await?;
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
