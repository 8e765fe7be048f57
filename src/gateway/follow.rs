//! Learns the configuration and the engines from a representative that watches the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;

use super::Gateway;
use super::feed::{self, Answer, Question};
use super::protocol::Directory;
use super::watch;
use crate::clock::Clock;
use crate::http::client::post_json;
use crate::http::pool::Pool;
use crate::peer::sources::Sources;
use crate::supervisor::Signal;
use crate::util::within;

/// Longest wait of one question; a representative that fell silent is noticed at its end.
const WAIT: Duration = Duration::from_millis(600);

/// Time beyond its wait after which a question is taken for lost.
const SLACK: Duration = Duration::from_millis(300);

/// Time between two looks whether this host has become a follower.
const IDLE: Duration = Duration::from_millis(200);

/// Pause after a round in which no representative was of use, or the store did not answer.
const LOST_PAUSE: Duration = Duration::from_millis(1000);

/// Shortest time between two questions, in which news gather.
const GATHER: Duration = Duration::from_millis(50);

/// Whether this host watches the store, and whom it follows otherwise.
#[derive(Debug)]
pub struct Duty {
    is_representative: Cell<bool>,
    // Whether no representative was of use lately.
    is_alone: Cell<bool>,
    sources: RefCell<Sources>,
    // Whether other hosts may follow this one.
    is_followed: Cell<bool>,
}

impl Default for Duty {
    fn default() -> Self {
        Self {
            is_representative: Cell::new(true),
            is_alone: Cell::default(),
            sources: RefCell::default(),
            is_followed: Cell::default(),
        }
    }
}

impl Duty {
    /// Takes over who represents failure domains. Without `sources` this host watches the store.
    pub fn set(&self, is_representative: bool, is_followed: bool, sources: Vec<SocketAddr>) {
        if self.is_representative.replace(is_representative) != is_representative {
            info!("event=duty watches_store={is_representative}");
        }
        self.is_followed.set(is_followed);
        self.sources.borrow_mut().set(sources);
    }

    /// Returns whether this host watches the store.
    pub fn is_watching(&self) -> bool {
        self.is_representative.get() || self.is_alone.get()
    }

    /// Returns whether this host represents its failure domain.
    pub fn is_representative(&self) -> bool {
        self.is_representative.get()
    }

    /// Returns whether other hosts may follow this one.
    pub fn is_followed(&self) -> bool {
        self.is_followed.get()
    }

    fn set_alone(&self, is_alone: bool) {
        if self.is_alone.replace(is_alone) != is_alone {
            info!("event=following works={}", !is_alone);
        }
    }
}

/// Follows a representative until `stop` is given, whenever this host is none.
pub async fn run<C: Clock, D: Directory>(gateway: Rc<Gateway<C>>, directory: D, stop: Signal) {
    let pool = Pool::default();
    // The process whose changes were taken over, and the last of them.
    let mut known: Option<(u64, u64)> = None;
    while !stop.is_given() {
        if gateway.duty.is_representative() {
            gateway.duty.set_alone(false);
            known = None;
            within(IDLE, stop.wait()).await;
            continue;
        }
        let source = gateway.duty.sources.borrow().get();
        let answer = match source {
            Some(source) => ask(&gateway, &pool, source, known).await,
            None => None,
        };
        let is_confirmed = answer.as_ref().is_some_and(|answer| answer.is_confirmed);
        match is_confirmed {
            true => gateway.duty.sources.borrow_mut().confirmed(),
            false => gateway.duty.sources.borrow_mut().failed(),
        }
        let version = answer.as_ref().map_or(0, |answer| answer.version);
        if let Some(answer) = answer {
            known = take(&gateway, &directory, answer).or(known);
        }
        let is_behind =
            version > gateway.version() && !watch::read_revision(&gateway, &directory).await;
        let is_lost = gateway.duty.sources.borrow().is_lost();
        gateway.duty.set_alone(is_lost);
        let pause = match is_lost || is_behind {
            true => LOST_PAUSE,
            false => GATHER,
        };
        within(pause, stop.wait()).await;
    }
}

async fn ask<C: Clock>(
    gateway: &Gateway<C>,
    pool: &Pool,
    source: SocketAddr,
    known: Option<(u64, u64)>,
) -> Option<Answer> {
    let wait = match gateway.duty.is_alone.get() {
        true => Duration::ZERO,
        false => WAIT,
    };
    let question = Question {
        process: known.map_or(0, |(process, _)| process),
        engines: known.map(|(_, at)| at),
        revision: gateway.version(),
        wait_ms: wait.as_millis() as u64,
        is_cut_off: false,
    };
    let address = source.to_string();
    let request = post_json(&address, feed::PATH, &question);
    let answer = pool.call(&address, request, wait + SLACK).await;
    let outcome = match &answer {
        Ok(_) => "answered",
        Err(_) => "no-answer",
    };
    gateway.metrics.decided("follow", outcome);
    let cause = match answer {
        Ok((_, body)) => match serde_json::from_slice(&body) {
            Ok(answer) => return Some(answer),
            Err(err) => err.to_string(),
        },
        Err(err) => err.to_string(),
    };
    info!("event=representative_failed peer={source} error={cause:?}");
    None
}

/// Takes an answer over; returns the process and the change that it goes up to.
fn take<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    answer: Answer,
) -> Option<(u64, u64)> {
    if let Some(source) = &answer.revision {
        gateway.take_revision(directory, source, "representative");
    }
    // A host that does not reach the store may have forgotten engines that this one still knows.
    let is_worse = !answer.is_confirmed && !gateway.registry.borrow().is_empty();
    if is_worse || (!answer.is_confirmed && answer.engines.registered.is_empty()) {
        return None;
    }
    let known = (answer.process, answer.engines.at);
    let age = Duration::from_millis(answer.age_ms);
    let before = gateway.registry.borrow().last_change();
    gateway.registry.borrow_mut().apply_changes(answer.engines);
    if gateway.registry.borrow().last_change() != before {
        gateway.note_news();
    }
    if gateway.version() >= answer.version {
        gateway.confirm(age);
    }
    gateway.registered(age);
    Some(known)
}
