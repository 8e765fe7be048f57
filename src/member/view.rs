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
    listed: Rc<RefCell<BTreeMap<CompactString, Peer>>>,
    // Incarnations that announced their leaving, while the list still shows the host.
    leaving: Rc<RefCell<BTreeMap<CompactString, u64>>>,
    // Invariant: holds only routers that are live, neither leaving nor suspected.
    live: Rc<RefCell<BTreeMap<CompactString, Peer>>>,
}

impl View {
    /// Creates the view of a host that sees only itself.
    pub fn new(own: Peer) -> Self {
        let view = Self {
            own: own.name.clone(),
            listed: Rc::default(),
            leaving: Rc::default(),
            live: Rc::default(),
        };
        view.set([own]);
        view
    }

    /// Replaces the live routers.
    pub fn set(&self, live: impl IntoIterator<Item = Peer>) {
        let live = live.into_iter().map(|peer| (peer.name.clone(), peer));
        *self.listed.borrow_mut() = live.collect();
        let listed = self.listed.borrow();
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|name, _| listed.contains_key(name));
        drop((listed, leaving));
        self.update();
    }

    fn update(&self) {
        let leaving = self.leaving.borrow();
        let mut live = self.listed.borrow().clone();
        live.retain(|name, _| !leaving.contains_key(name));
        *self.live.borrow_mut() = live;
    }

    /// Notes that a host announced that it leaves; the list lags behind.
    pub fn set_leaving(&self, name: &CompactString, incarnation: u64) {
        self.leaving.borrow_mut().insert(name.clone(), incarnation);
        self.update();
    }

    /// Notes a message of a host; a later incarnation does not leave.
    pub fn heard(&self, name: &CompactString, incarnation: u64) {
        let left = self.leaving.borrow().get(name).copied();
        if left.is_some_and(|left| left < incarnation) {
            self.leaving.borrow_mut().remove(name);
            self.update();
        }
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
