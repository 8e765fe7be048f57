//! What the other parts of a router see of the membership.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use serde::Serialize;

use super::rendezvous;

/// A router as a peer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
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
}

impl View {
    /// Creates the view of a host that sees only itself.
    pub fn new(own: Peer) -> Self {
        Self {
            own: own.name.clone(),
            live: Rc::new(RefCell::new(BTreeMap::from([(own.name.clone(), own)]))),
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
        self.owner(duty).is_some_and(|owner| owner.name == self.own)
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
