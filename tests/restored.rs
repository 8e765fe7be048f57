//! A store that comes back from an older copy of its data, and gives out revisions again.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bilberrypost::clock::Manual;
use bilberrypost::config::routes::Revision;
use bilberrypost::gateway;
use bilberrypost::gateway::position::Position;
use bilberrypost::gateway::protocol::{Change, Directory, Listing, Unavailable};
use bilberrypost::gateway::watch;
use bilberrypost::platform::store::Store as Client;
use bilberrypost::route::registry::Registration;
use bilberrypost::supervisor::Signal;
use bilberrypost::util::within;
use serde_json::json;
use support::platform::{
    Engine, Gateway, Mode, Store, config, gateway_settings, ok, start, two_engines, wait_for,
};
use support::{TEST_TIMEOUT, block_on};

const VERSION: &str = "bilberrypost_revision_version ";
const ENGINES: &str = "bilberrypost_engines ";

fn wait_for_metric(gateway: &Gateway, name: &str, value: f64) {
    wait_for(name, || gateway.metric(name) == Some(value));
}

/// Replaces the store's data by `copy` while it does not answer. Before it answers again, all in
/// `written` are written in this order.
fn restore(store: &Store, copy: &support::platform::Copy, written: impl FnOnce()) {
    store.set_mode(Mode::Unavailable);
    store.restore(copy);
    written();
    store.set_mode(Mode::Normal);
}

/// Guards against a change that is never in force, because its revision is one that was given out
/// before the store came back from an older copy.
#[test]
fn a_change_with_a_reused_revision_is_in_force() {
    let engine = Engine::start("i-1", |_| ok());
    let (store, gateway) = start(&[(&engine, "app", "fd-a")]);
    let copy = store.copy();
    (0..4).for_each(|number| store.put("other", "x", json!(number)));
    store.put("config", "main", config(4));
    wait_for_metric(&gateway, VERSION, 4.0);
    restore(&store, &copy, || {
        store.put("config", "main", config(5));
        (0..9).for_each(|number| store.put("other", "x", json!(number)));
    });
    wait_for_metric(&gateway, VERSION, 5.0);
}

/// Guards against an engine that has left and is used again, because an older copy of the store still
/// lists it.
#[test]
fn an_engine_that_left_is_not_used_again() {
    let [left, stays] = two_engines(|_| ok());
    let (store, gateway) = start(&[(&left, "app", "fd-a"), (&stays, "app", "fd-a")]);
    let copy = store.copy();
    wait_for_metric(&gateway, ENGINES, 2.0);
    store.remove("servers", &left.id);
    wait_for_metric(&gateway, ENGINES, 1.0);
    restore(&store, &copy, || {
        store.put("servers", "i-3", stays.registration("other", "fd-a"));
    });
    wait_for("the list", || gateway.metric(ENGINES) > Some(1.0));
    assert_eq!(gateway.metric(ENGINES), Some(2.0));
    for number in 0..20 {
        assert_eq!(
            gateway.status("GET", "/any/x", &format!("r{number}"), ""),
            200
        );
    }
    assert_eq!(left.request_count(), 0);
}

/// A store whose answers the test decides.
#[derive(Clone, Default)]
struct Played(Rc<Answers>);

#[derive(Default)]
struct Answers {
    position: Cell<Position>,
    version: Cell<u64>,
    engines: RefCell<Vec<Registration>>,
    // Whether a watch from an earlier era gets status 410. Otherwise its revision was given out again,
    // and nothing has changed since.
    is_history_gone: Cell<bool>,
}

impl Played {
    fn new(version: u64, engines: &[&str]) -> Self {
        let played = Self::default();
        played.set(0, version, engines);
        played
    }

    fn set(&self, era: u64, version: u64, engines: &[&str]) {
        self.0.position.set(Position { era, revision: 20 });
        self.0.version.set(version);
        *self.0.engines.borrow_mut() = engines.iter().map(|id| registration(id)).collect();
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
        Ok(self.answer(self.0.engines.borrow().clone()))
    }

    async fn watch_engines(
        &self,
        since: Position,
        _: Duration,
    ) -> Result<Listing<Change>, Unavailable> {
        let is_same_era = since.era == self.0.position.get().era;
        match self.0.is_history_gone.get() && !is_same_era {
            true => Err(Unavailable::HistoryGone),
            false => Ok(self.answer(Vec::new())),
        }
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
    }
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    within(TEST_TIMEOUT, waiting).await.expect(what);
}

/// Runs the watches of a gateway until `test` ends.
fn with_watches(store: &Played, test: impl AsyncFnOnce(&gateway::Gateway<Manual>)) {
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

/// Guards against a configuration that arrives late, as its watch still waits in a history that is
/// gone while that of the engines has been told so.
#[test]
fn a_new_era_ends_the_wait_of_the_other_watch() {
    let store = Played::new(3, &["a"]);
    with_watches(&store, async |gateway| {
        store.set(1, 4, &["a"]);
        until("the configuration", || gateway.revision_version() == 4).await;
    });
}

/// Guards against engines that are never known, as they registered at a revision that was given out
/// before, while no call failed.
#[test]
fn engines_are_listed_again_in_a_new_era() {
    let store = Played::new(3, &["a"]);
    with_watches(&store, async |gateway| {
        store.set(1, 3, &["a", "b"]);
        until("the engine", || {
            gateway.registry.borrow().by_id("b").is_some()
        })
        .await;
    });
}

/// Guards against engines that are dropped because an older copy of the store lacks their entries,
/// although they write them again.
#[test]
fn an_engine_of_the_lost_history_stays_in_use_for_a_while() {
    let store = Played::new(3, &["a", "b"]);
    store.0.is_history_gone.set(true);
    with_watches(&store, async |gateway| {
        store.set(1, 3, &["a"]);
        let registry = &gateway.registry;
        until("the list", || {
            registry.borrow().lapsing() == 1 || registry.borrow().by_id("b").is_none()
        })
        .await;
        assert!(registry.borrow().by_id("b").is_some());
    });
}
