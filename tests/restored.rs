//! A store that comes back from an older copy of its data, and gives out revisions again.

mod support;

use serde_json::json;
use support::directory::{Played, until, with_watches};
use support::platform::{Engine, Gateway, Mode, Store, config, ok, start, two_engines, wait_for};

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
    store.set_history_gone();
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
