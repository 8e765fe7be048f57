//! The live routers and the owners of duties, as the other parts of a router see them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::rendezvous;

/// Identity and location of a router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Name of its host.
    pub name: CompactString,
    /// Address for messages between routers, `IP:PORT`.
    pub address: CompactString,
    /// Failure domain of the host.
    pub failure_domain: CompactString,
    /// Region of the host.
    pub region: CompactString,
}

/// What this host knows about whether a router still runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It runs; it may be leaving.
    Running,
    /// It has not answered probes since this time, or is not known. It may be dead, paused or cut
    /// off.
    Silent(Option<Instant>),
    /// It shut down cleanly.
    Ended,
}

/// The live routers, this one included; clones share the same view.
#[derive(Clone, Debug)]
pub struct View {
    own_name: CompactString,
    // Invariant: contains only live routers, none that is leaving or suspected.
    live: Rc<RefCell<BTreeMap<CompactString, Peer>>>,
    // The other known routers. Invariant: does not contain this host.
    not_live: Rc<RefCell<BTreeMap<CompactString, Liveness>>>,
    is_active: Rc<Cell<bool>>,
    probe_requests: Rc<RefCell<Vec<CompactString>>>,
}

impl View {
    /// Creates a view that contains only this host.
    pub fn new(own: Peer) -> Self {
        Self {
            own_name: own.name.clone(),
            live: Rc::new(RefCell::new(BTreeMap::from([(own.name.clone(), own)]))),
            not_live: Rc::default(),
            is_active: Rc::new(Cell::new(true)),
            probe_requests: Rc::default(),
        }
    }

    /// Replaces the live routers, and the liveness of the others.
    pub fn set(
        &self,
        live: impl IntoIterator<Item = Peer>,
        not_live: BTreeMap<CompactString, Liveness>,
    ) {
        let live = live.into_iter().map(|peer| (peer.name.clone(), peer));
        *self.live.borrow_mut() = live.collect();
        *self.not_live.borrow_mut() = not_live;
    }

    /// Returns whether the router `name` still runs, as far as this host knows.
    pub fn liveness(&self, name: &str) -> Liveness {
        if name == self.own_name || self.live.borrow().contains_key(name) {
            return Liveness::Running;
        }
        let not_live = self.not_live.borrow().get(name).copied();
        not_live.unwrap_or(Liveness::Silent(None))
    }

    /// Returns the name of this host.
    pub fn own_name(&self) -> &CompactString {
        &self.own_name
    }

    /// Returns the live routers by name.
    pub fn live(&self) -> Vec<Peer> {
        self.live.borrow().values().cloned().collect()
    }

    /// Returns the live router `name`.
    pub fn get(&self, name: &str) -> Option<Peer> {
        self.live.borrow().get(name).cloned()
    }

    /// Returns the live router that should hold `duty`.
    pub fn owner(&self, duty: &str) -> Option<Peer> {
        let live = self.live.borrow();
        let name = rendezvous::owner(duty, live.keys().map(CompactString::as_str))?;
        live.get(name).cloned()
    }

    /// Returns whether this host should hold `duty` and may act on it.
    pub fn owns(&self, duty: &str) -> bool {
        self.is_active()
            && self
                .owner(duty)
                .is_some_and(|owner| owner.name == self.own_name)
    }

    /// Sets whether this host may act on duties.
    pub fn set_active(&self, is_active: bool) {
        self.is_active.set(is_active);
    }

    /// Returns whether this host may act on duties: it is not leaving, and has checked its peers
    /// since its process was last paused.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Requests an immediate probe of a peer, because a call to it failed.
    pub fn request_probe(&self, name: &str) {
        let mut probe_requests = self.probe_requests.borrow_mut();
        if !probe_requests.iter().any(|requested| requested == name) {
            probe_requests.push(name.into());
        }
    }

    /// Returns the peers to probe immediately, and clears the requests.
    pub fn take_probe_requests(&self) -> Vec<CompactString> {
        self.probe_requests.take()
    }

    /// Returns the live router that should hold a duty of `failure_domain`: one of that domain, or
    /// of any domain if that one has no live router.
    pub fn owner_in(&self, failure_domain: &str, duty: &str) -> Option<Peer> {
        let live = self.live.borrow();
        let local = live
            .values()
            .filter(|peer| peer.failure_domain == failure_domain)
            .map(|peer| peer.name.as_str());
        match rendezvous::owner(duty, local) {
            Some(name) => live.get(name).cloned(),
            None => {
                drop(live);
                self.owner(duty)
            }
        }
    }
}
