//! A store that comes back from an older copy of its data, and gives out revisions again.

mod support;

use serde_json::json;
use support::platform::{Engine, Gateway, Mode, Store, config, ok, start, wait_for};

const VERSION: &str = "bilberrypost_revision_version ";

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
