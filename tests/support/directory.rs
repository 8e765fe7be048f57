//! A directory of engines and configuration inside the test, whose answers the test decides.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bilberrypost::clock::Manual;
use bilberrypost::config::routes::Revision;
use bilberrypost::gateway;
use bilberrypost::gateway::position::Position;
use bilberrypost::gateway::protocol::{Change, Directory, Listing, OrderChange, Unavailable};
use bilberrypost::gateway::watch;
use bilberrypost::platform::store::Store as Client;
use bilberrypost::rollout;
use bilberrypost::route::registry::Registration;
use bilberrypost::supervisor::Signal;
use bilberrypost::util::within;

use super::platform::{config, gateway_settings};
use super::{TEST_TIMEOUT, block_on};

/// A store whose answers the test decides.
#[derive(Clone, Default)]
pub struct Played(Rc<Answers>);

#[derive(Default)]
struct Answers {
    position: Cell<Position>,
    version: Cell<u64>,
    engines: RefCell<Vec<Registration>>,
    // Whether a watch from an earlier era gets status 410. Otherwise its revision was given out again,
    // and nothing has changed since.
    is_history_gone: Cell<bool>,
    // Whether calls fail, and the number of lists that get no answer before one does.
    is_down: Cell<bool>,
    lost_lists: Cell<u32>,
    // Changes that the next watch tells.
    changes: RefCell<Vec<Change>>,
}

impl Played {
    pub fn new(version: u64, engines: &[&str]) -> Self {
        let played = Self::default();
        played.set(0, version, engines);
        played
    }

    pub fn set(&self, era: u64, version: u64, engines: &[&str]) {
        self.0.position.set(Position { era, revision: 20 });
        self.0.version.set(version);
        *self.0.engines.borrow_mut() = engines.iter().map(|id| registration(id)).collect();
    }

    /// Removes the entry of an engine, of which the next watch tells.
    pub fn remove(&self, id: &str) {
        self.0.engines.borrow_mut().retain(|known| known.id != id);
        self.0.changes.borrow_mut().push(Change::Removed(id.into()));
    }

    /// Answers watches from an earlier era with [`Unavailable::HistoryGone`] from now on.
    pub fn set_history_gone(&self) {
        self.0.is_history_gone.set(true);
    }

    /// Lets all calls fail from now on, or answers them again.
    pub fn set_down(&self, is_down: bool) {
        self.0.is_down.set(is_down);
    }

    /// Leaves the next `count` lists without an answer, and without a failure either.
    pub fn lose_lists(&self, count: u32) {
        self.0.lost_lists.set(count);
    }

    /// Returns the number of lists that still get no answer.
    pub fn lists_to_lose(&self) -> u32 {
        self.0.lost_lists.get()
    }

    fn check_up(&self) -> Result<(), Unavailable> {
        match self.0.is_down.get() {
            true => Err(Unavailable::NoAnswer("down".into())),
            false => Ok(()),
        }
    }

    fn answer<T>(&self, items: Vec<T>) -> Listing<T> {
        Listing {
            items,
            unreadable: 0,
            position: self.0.position.get(),
        }
    }
}

impl Directory for Played {
    async fn read_revision(&self) -> Result<Listing<Revision>, Unavailable> {
        let document = config(self.0.version.get()).to_string();
        let revision = self.decode_revision(&document).unwrap();
        Ok(self.answer(vec![revision]))
    }

    async fn watch_revision(
        &self,
        _: Position,
        _: Duration,
    ) -> Result<Listing<Revision>, Unavailable> {
        std::future::pending().await
    }

    fn decode_revision(&self, source: &str) -> Option<Revision> {
        Client::new("127.0.0.1:1").decode_revision(source)
    }

    async fn list_engines(&self) -> Result<Listing<Registration>, Unavailable> {
        self.check_up()?;
        if let Some(left) = self.0.lost_lists.get().checked_sub(1) {
            self.0.lost_lists.set(left);
            return std::future::pending().await;
        }
        Ok(self.answer(self.0.engines.borrow().clone()))
    }

    async fn watch_engines(
        &self,
        since: Position,
        _: Duration,
    ) -> Result<Listing<Change>, Unavailable> {
        self.check_up()?;
        let is_same_era = since.era == self.0.position.get().era;
        match self.0.is_history_gone.get() && !is_same_era {
            true => Err(Unavailable::HistoryGone),
            false => Ok(self.answer(self.0.changes.take())),
        }
    }

    async fn list_orders(&self) -> Result<Listing<rollout::Entry>, Unavailable> {
        Ok(self.answer(Vec::new()))
    }

    async fn watch_orders(
        &self,
        _: Position,
        _: Duration,
    ) -> Result<Listing<OrderChange>, Unavailable> {
        std::future::pending().await
    }

    async fn write_order_state(
        &self,
        _: &rollout::Entry,
        _: rollout::Lifecycle,
    ) -> Result<Option<rollout::Entry>, Unavailable> {
        Ok(None)
    }
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.into(),
        service: "app".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "fd-a".into(),
        slots: 4,
        is_draining: false,
        started_ms: 1,
        version: "v1".into(),
    }
}

/// Waits until a condition holds; panics with `what` after [`TEST_TIMEOUT`].
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    within(TEST_TIMEOUT, waiting).await.expect(what);
}

/// Runs the watches of a gateway until `test` ends.
pub fn with_watches(store: &Played, test: impl AsyncFnOnce(&Rc<gateway::Gateway<Manual>>)) {
    block_on(async {
        let gateway = gateway::Gateway::new(Manual::default(), gateway_settings());
        let (gateway, stop) = (Rc::new(gateway), Signal::default());
        let revisions = watch::revisions(gateway.clone(), store.clone(), stop.clone());
        let engines = watch::engines(gateway.clone(), store.clone(), stop);
        let tasks = (
            compio::runtime::spawn(revisions),
            compio::runtime::spawn(engines),
        );
        until("the first answers", || gateway.reaches_store()).await;
        test(&gateway).await;
        drop(tasks);
    });
}
