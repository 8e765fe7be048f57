//! Stand-in for the platform's store: lists, watches and the operator's writes.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, answer, serve};

#[derive(Default)]
struct State {
    revision: u64,
    /// Kind and name, and the JSON text of the object.
    objects: BTreeMap<(String, String), String>,
    /// Revision, kind and JSON text of each change.
    events: Vec<(u64, String, String)>,
}

/// The store. Clones share its state.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Writes an object, as the operator or an engine does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
             \"finalizer-list\":[],\"deletion-pending\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let event = format!("{{\"removed\":false,\"object\":{object}}}");
        state
            .objects
            .insert((kind.to_owned(), name.to_owned()), object);
        state.events.push((revision, kind.to_owned(), event));
        changed.notify_all();
        revision
    }

    /// Serves the store at a listener.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        serve(listener, move |connection| store.handle(connection));
    }

    fn handle(&self, mut connection: Connection) {
        while let Some(request) = connection.read_message() {
            let (path, query) = request
                .path()
                .split_once('?')
                .unwrap_or((request.path(), ""));
            let kind = path
                .strip_prefix("/bilberrypost/objects/")
                .unwrap_or("")
                .to_owned();
            let parameter = |name: &str| {
                let parts = query.split('&').filter_map(|part| part.split_once('='));
                let mut values = parts.filter(|(key, _)| *key == name);
                values
                    .next()
                    .and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let body = match parameter("watch-revision") {
                Some(since) => self.watch(&kind, since, parameter("wait-ms").unwrap_or(0)),
                None => self.list(&kind),
            };
            let json = [("Content-Type", "application/json")];
            if !connection.send(&answer("200 OK", &json, &body)) {
                return;
            }
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.0.0.lock().unwrap();
        let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
        let objects: Vec<_> = objects.map(|(_, object)| object.as_str()).collect();
        format!(
            "{{\"entries\":[{}],\"has-more\":false,\"at\":{}}}",
            objects.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> String {
        let (state, changed) = &*self.0;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = state.lock().unwrap();
        loop {
            let events = state
                .events
                .iter()
                .filter(|(at, of, _)| *at > since && of == kind);
            let events: Vec<_> = events.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
