//! What the other parts of a router see of the membership.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::rendezvous;

/// A router as a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Name of its host.
    pub name: CompactString,
    /// Address for messages between routers, `IP:PORT`.
    pub address: CompactString,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Region.
    pub region: CompactString,
}

/// The live routers, this one included; clones share the same view.
#[derive(Clone, Debug)]
pub struct View {
    own: CompactString,
    // Invariant: holds only routers that are live, neither leaving nor suspected.
    live: Rc<RefCell<BTreeMap<CompactString, Peer>>>,
    is_active: Rc<Cell<bool>>,
    doubted: Rc<RefCell<Vec<CompactString>>>,
}

impl View {
    /// Creates the view of a host that sees only itself.
    pub fn new(own: Peer) -> Self {
        Self {
            own: own.name.clone(),
            live: Rc::new(RefCell::new(BTreeMap::from([(own.name.clone(), own)]))),
            is_active: Rc::new(Cell::new(true)),
            doubted: Rc::default(),
        }
    }

    /// Replaces the live routers.
    pub fn set(&self, live: impl IntoIterator<Item = Peer>) {
        let live = live.into_iter().map(|peer| (peer.name.clone(), peer));
        *self.live.borrow_mut() = live.collect();
    }

    /// Returns the name of this host.
    pub fn own(&self) -> &CompactString {
        &self.own
    }

    /// Returns the live routers by name.
    pub fn live(&self) -> Vec<Peer> {
        self.live.borrow().values().cloned().collect()
    }

    /// Returns a live router.
    pub fn get(&self, name: &str) -> Option<Peer> {
        self.live.borrow().get(name).cloned()
    }

    /// Returns the live router that should hold a duty.
    pub fn owner(&self, duty: &str) -> Option<Peer> {
        let live = self.live.borrow();
        let name = rendezvous::owner(duty, live.keys().map(CompactString::as_str))?;
        live.get(name).cloned()
    }

    /// Returns whether this host should hold a duty.
    pub fn owns(&self, duty: &str) -> bool {
        self.is_active() && self.owner(duty).is_some_and(|owner| owner.name == self.own)
    }

    /// Says whether this host may act on duties.
    pub fn set_active(&self, is_active: bool) {
        self.is_active.set(is_active);
    }

    /// Returns whether this host may act on duties: it neither leaves nor returns from a pause.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Notes that a call to a peer failed, so that the peer is probed at once.
    pub fn doubt(&self, name: &str) {
        let mut doubted = self.doubted.borrow_mut();
        if !doubted.iter().any(|known| known == name) {
            doubted.push(name.into());
        }
    }

    /// Returns and forgets the doubted peers.
    pub fn take_doubted(&self) -> Vec<CompactString> {
        self.doubted.take()
    }

    /// Returns the live router of a failure domain that should hold a duty of that domain, or of
    /// any domain if the failure domain has none.
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
