//! Stand-in of the platform's store: lists and watches, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    // Revision and spec by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    // Revision, kind, name, last spec and whether the change removed the object.
    changes: Vec<(u64, String, String, String, bool)>,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    /// Address, `IP:PORT`.
    pub address: String,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":1,"finalizer-list":[],"deletion-pending":false}},"spec":{spec},"status":null}}"#
    )
}

fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address").to_string(),
            state: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Creates or replaces an object. The return acknowledges the write.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec));
    }

    /// Removes an object. The return acknowledges the write.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) {
        let mut state = self.state.0.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let text = match spec {
            Some(spec) => {
                state.objects.insert(key, (revision, spec.to_owned()));
                spec.to_owned()
            }
            None => state
                .objects
                .remove(&key)
                .map_or("null".into(), |old| old.1),
        };
        let change = (revision, kind.into(), name.into(), text, spec.is_none());
        state.changes.push(change);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_message(&mut reader) {
            let body = self.answer(request.second_word());
            let headers = "Content-Type: application/json\r\n";
            if http::write_response(&mut writer, "200 OK", headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> String {
        let kind = path.split('?').next().unwrap_or("");
        let kind = kind.rsplit('/').next().unwrap_or("").to_owned();
        match query_number(path, "watch-revision") {
            Some(since) => self.watch(&kind, since, query_number(path, "wait-ms").unwrap_or(0)),
            None => self.list(&kind),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().expect("no panic");
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let entries = of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec));
        let entries: Vec<_> = entries.collect();
        let at = state.revision;
        format!(
            r#"{{"entries":[{}],"has-more":false,"at":{at}}}"#,
            entries.join(",")
        )
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().expect("no panic");
        loop {
            let changes = state.changes.iter();
            let newer = changes.filter(|change| change.0 > since && change.1 == kind);
            let events: Vec<_> = newer
                .map(|(revision, _, name, spec, removed)| {
                    let object = object(name, *revision, spec);
                    format!(r#"{{"removed":{removed},"object":{object}}}"#)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no panic").0;
        }
    }
}
