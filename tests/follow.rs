//! A gateway that follows representatives which the test plays.

mod support;

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bilberrypost::config::patch::Patch;
use bilberrypost::gateway::feed::Update;
use bilberrypost::member::rendezvous;
use bilberrypost::peer::report::Report;
use bilberrypost::route::history::Changes;
use bilberrypost::route::registry::Registration;
use compact_str::ToCompactString;
use support::platform::{
    Engine, Gateway, Message, Mode, Reaction, Store, config, empty_report, settings, wait_for,
};

/// A gateway that answers queries of followers with a fixed list of engines.
struct Representative {
    updates: Arc<AtomicU64>,
}

impl Representative {
    /// Starts to report from `address` to `follower`, and to answer while `is_up` is not zero.
    fn start(
        address: SocketAddr,
        all: &[IpAddr],
        follower: SocketAddr,
        update: impl Fn() -> Update + Send + Sync + 'static,
        is_up: Arc<AtomicU64>,
    ) -> Self {
        let socket = UdpSocket::bind(address).unwrap();
        let report = Report {
            revision: 3,
            hosts: [("fd-a".into(), all.to_vec())].into(),
            ..empty_report("fd-a")
        };
        let datagram = report.encode().unwrap();
        std::thread::spawn(move || {
            while socket.send_to(&datagram, follower).is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        let listener = TcpListener::bind(address).unwrap();
        let updates = Arc::new(AtomicU64::new(0));
        let (count, update) = (updates.clone(), Arc::new(update));
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (count, update, is_up) = (count.clone(), update.clone(), is_up.clone());
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while Message::read(&mut reader).is_some() {
                        if is_up.load(Ordering::Relaxed) == 0 {
                            return;
                        }
                        std::thread::sleep(Duration::from_millis(50));
                        let body = serde_json::to_string(&update()).unwrap();
                        let head =
                            format!("HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n", body.len());
                        if stream.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        Self { updates }
    }
}

fn registration(engine: &Engine) -> Registration {
    Registration {
        id: engine.id.as_str().into(),
        service: "app".into(),
        address: engine.address.as_str().into(),
        failure_domain: "fd-a".into(),
        slots: 12,
        is_draining: false,
        started_ms: 1,
        version: "v1".into(),
    }
}

fn update(process: u64, engines_revision: u64, engines: &[&Engine]) -> Update {
    Update {
        process,
        engines: Changes {
            at: 1,
            is_whole: true,
            registered: engines.iter().map(|engine| registration(engine)).collect(),
            lapsing: Vec::new(),
            gone: Vec::new(),
        },
        packed_engines: None,
        engines_revision,
        engines_era: None,
        version: 3,
        revision: Some(config(3).to_string()),
        patch: None,
        is_confirmed: true,
        age_ms: 0,
    }
}

/// Returns the addresses of three hosts of the failure domain `fd-a`: its two representatives and a
/// follower.
fn ranked_addresses() -> [SocketAddr; 3] {
    let port = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap().port()
    };
    let names = (1..=3).map(|n| SocketAddr::from(([127, 0, 3, n], port)).to_compact_string());
    let names: Vec<_> = names.collect();
    let ranked = rendezvous::ranked("fd-a", names.iter().map(|name| name.as_str()));
    let ranked: Vec<SocketAddr> = ranked.iter().map(|name| name.parse().unwrap()).collect();
    ranked.try_into().unwrap()
}

/// Starts a gateway with the address `follower` whose seed is `representative`.
fn start_gateway(store: &Store, follower: SocketAddr, representative: SocketAddr) -> Gateway {
    let port = follower.port();
    let more = format!("seeds = {}:1\nports = {port},{port}", representative.ip());
    let text =
        settings(&store.address, &more).replace("127.0.0.1:0", &format!("{}:0", follower.ip()));
    Gateway::start(&text)
}

/// Starts a gateway that follows a representative with these updates.
fn start_follower(
    store: &Store,
    update: impl Fn() -> Update + Send + Sync + 'static,
) -> (Gateway, Representative) {
    let ranked = ranked_addresses();
    let all: Vec<_> = ranked.iter().map(SocketAddr::ip).collect();
    let is_up = Arc::new(AtomicU64::new(1));
    let update = Arc::new(update);
    let second = update.clone();
    let first = Representative::start(ranked[0], &all, ranked[2], move || update(), is_up.clone());
    Representative::start(ranked[1], &all, ranked[2], move || second(), is_up);
    (start_gateway(store, ranked[2], ranked[0]), first)
}

/// Returns a function that returns copies of an update.
fn copies_of(update: Update) -> impl Fn() -> Update {
    let text = serde_json::to_string(&update).unwrap();
    move || serde_json::from_str(&text).unwrap()
}

/// Guards against an engine that has left and is used again because the host changes to a
/// representative whose list is older.
#[test]
fn an_older_list_of_engines_is_refused() {
    let left = Engine::start("i-1", |_| Reaction::Response(200, "left".into()));
    let stays = Engine::start("i-2", |_| Reaction::Response(200, "stays".into()));
    let store = Store::start();
    store.set_mode(Mode::Unavailable);
    // The host with the lowest rank is the gateway; the others represent the failure domain.
    let ranked = ranked_addresses();
    let all: Vec<_> = ranked.iter().map(SocketAddr::ip).collect();
    let follower = ranked[2];
    let (first_up, second_up) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicU64::new(1)));
    let current = update(11, 20, &[&stays]);
    let older = update(12, 10, &[&left, &stays]);
    let first = Representative::start(
        ranked[0],
        &all,
        follower,
        copies_of(current),
        first_up.clone(),
    );
    let second = Representative::start(ranked[1], &all, follower, copies_of(older), second_up);
    let gateway = start_gateway(&store, follower, ranked[0]);
    wait_for("readiness", || gateway.is_ready());
    wait_for("the current list", || {
        first.updates.load(Ordering::Relaxed) > 2
    });
    first_up.store(0, Ordering::Relaxed);
    let before = second.updates.load(Ordering::Relaxed);
    wait_for("older lists", || {
        second.updates.load(Ordering::Relaxed) > before + 3
    });
    for number in 0..40 {
        let answer = gateway.call("GET", "/any/x", &format!("r{number}"), "");
        assert_eq!(answer.text(), "stays", "request {number}");
    }
    assert_eq!(left.request_count(), 0);
}

/// Guards against a follower that stays with a representative that takes itself for confirmed although
/// its last contact with the store was long ago.
#[test]
fn a_representative_with_old_engines_is_left() {
    let left = Engine::start("i-1", |_| Reaction::Response(200, "left".into()));
    let stays = Engine::start("i-2", |_| Reaction::Response(200, "stays".into()));
    let store = Store::start();
    store.set_mode(Mode::Unavailable);
    let ranked = ranked_addresses();
    let all: Vec<_> = ranked.iter().map(SocketAddr::ip).collect();
    let old = Update {
        age_ms: 60_000,
        ..update(11, 20, &[&left, &stays])
    };
    let is_up = Arc::new(AtomicU64::new(1));
    Representative::start(ranked[0], &all, ranked[2], copies_of(old), is_up.clone());
    let current = copies_of(update(12, 20, &[&stays]));
    let second = Representative::start(ranked[1], &all, ranked[2], current, is_up);
    let gateway = start_gateway(&store, ranked[2], ranked[0]);
    wait_for("readiness", || gateway.is_ready());
    wait_for("the current list", || {
        second.updates.load(Ordering::Relaxed) > 3
    });
    wait_for("requests to the engine that stays", || {
        gateway.call("GET", "/any/x", "r", "").text() == "stays"
    });
}

/// Guards against a follower that stays behind because the patch from its representative is
/// damaged.
#[test]
fn a_damaged_patch_is_replaced_from_the_store() {
    let store = Store::start();
    let patch = Patch::new("", &config(4).to_string());
    let mut damaged = serde_json::to_value(&patch).unwrap();
    damaged["result"] = 1.into();
    let damaged: Patch = serde_json::from_value(damaged).unwrap();
    let (gateway, representative) = start_follower(&store, move || Update {
        version: 4,
        revision: None,
        patch: Some(damaged.clone()),
        ..update(11, 20, &[])
    });
    wait_for("an update", || {
        representative.updates.load(Ordering::Relaxed) > 1
    });
    store.put("config", "main", config(4));
    wait_for("the revision", || {
        gateway.metric("bilberrypost_revision_version ") == Some(4.0)
    });
}

/// Guards against a follower that does not understand patches of its representative.
#[test]
fn a_patch_is_put_into_force_without_the_store() {
    let store = Store::start();
    store.set_mode(Mode::Unavailable);
    let patch = Patch::new("", &config(4).to_string());
    let (gateway, _representative) = start_follower(&store, move || Update {
        version: 4,
        revision: None,
        patch: Some(patch.clone()),
        ..update(11, 20, &[])
    });
    wait_for("the revision", || {
        gateway.metric("bilberrypost_revision_version ") == Some(4.0)
    });
}

/// Guards against hosts that all stay with the one representative that answered while theirs did
/// not, and fill its link.
#[test]
fn a_follower_returns_to_its_representative() {
    let engine = Engine::start("i-1", |_| Reaction::Response(200, "ok".into()));
    let store = Store::start();
    store.set_mode(Mode::Unavailable);
    let ranked = ranked_addresses();
    let all: Vec<_> = ranked.iter().map(SocketAddr::ip).collect();
    let (first_up, second_up) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(1)));
    let text = serde_json::to_string(&update(11, 20, &[&engine])).unwrap();
    let update = move || serde_json::from_str(&text).unwrap();
    let second_update = update.clone();
    let first = Representative::start(ranked[0], &all, ranked[2], update, first_up.clone());
    let second = Representative::start(ranked[1], &all, ranked[2], second_update, second_up);
    let gateway = start_gateway(&store, ranked[2], ranked[0]);
    wait_for("readiness", || gateway.is_ready());
    wait_for("updates of the second", || {
        second.updates.load(Ordering::Relaxed) > 2
    });
    first_up.store(1, Ordering::Relaxed);
    wait_for("updates of the first", || {
        first.updates.load(Ordering::Relaxed) > 2
    });
}

/// Guards against datagrams that fill a link without a trace in the metrics.
#[test]
fn bytes_of_reports_are_counted() {
    let store = Store::start();
    let (gateway, _representative) = start_follower(&store, || update(11, 20, &[]));
    let name = "bilberrypost_report_bytes_total{content=\"report\"} ";
    wait_for("a report", || {
        gateway.metric(name).is_some_and(|bytes| bytes > 0.0)
    });
}

fn update_in_era(process: u64, era: u64, engines_revision: u64, engines: &[&Engine]) -> Update {
    Update {
        engines_era: Some(era),
        ..update(process, engines_revision, engines)
    }
}

/// Guards against a representative in an earlier era of the store that is preferred to one in the
/// current era, because it knows a greater revision.
#[test]
fn the_list_of_the_later_era_is_used() {
    let earlier = Engine::start("i-1", |_| Reaction::Response(200, "earlier".into()));
    let later = Engine::start("i-2", |_| Reaction::Response(200, "later".into()));
    for is_first_later in [false, true] {
        let store = Store::start();
        store.set_mode(Mode::Unavailable);
        let ranked = ranked_addresses();
        let all: Vec<_> = ranked.iter().map(SocketAddr::ip).collect();
        let follower = ranked[2];
        let ups = [1, 1].map(|is_up| Arc::new(AtomicU64::new(is_up)));
        let mut lists = [
            update_in_era(11, 1, 20, &[&earlier]),
            update_in_era(12, 2, 10, &[&later]),
        ];
        if is_first_later {
            lists.reverse();
        }
        let [first, second] = lists;
        let up = ups[0].clone();
        let first = Representative::start(ranked[0], &all, follower, copies_of(first), up);
        let up = ups[1].clone();
        let second = Representative::start(ranked[1], &all, follower, copies_of(second), up);
        let gateway = start_gateway(&store, follower, ranked[0]);
        wait_for("the first list", || {
            gateway.is_ready() && first.updates.load(Ordering::Relaxed) > 2
        });
        ups[0].store(0, Ordering::Relaxed);
        let before = second.updates.load(Ordering::Relaxed);
        wait_for("the second list", || {
            second.updates.load(Ordering::Relaxed) > before + 3
        });
        // An engine that only the earlier era lists stays in use for a while.
        wait_for("one engine", || {
            gateway.metric("bilberrypost_engines ") == Some(1.0)
        });
        for number in 0..10 {
            let answer = gateway.call("GET", "/any/x", &format!("r{number}"), "");
            assert_eq!(answer.text(), "later", "first later: {is_first_later}");
        }
    }
}

/// Guards against a host that stays at an older configuration, because the store that it reads came
/// back from a copy without the one that its peers have.
#[test]
fn a_newer_revision_than_that_of_the_store_is_fetched_from_a_peer() {
    let engine = Engine::start("i-1", |_| Reaction::Response(200, "answer".into()));
    let engines = [("i-1", engine.registration("app", "fd-a"))];
    let store = Store::with(config(2), &engines);
    let ranked = ranked_addresses();
    let all: Vec<_> = ranked.iter().map(SocketAddr::ip).collect();
    let is_up = Arc::new(AtomicU64::new(1));
    let newer = copies_of(update(11, 20, &[&engine]));
    Representative::start(ranked[1], &all, ranked[0], newer, is_up);
    let gateway = start_gateway(&store, ranked[0], ranked[1]);
    wait_for("the newer revision", || {
        gateway.metric("bilberrypost_revision_version ") == Some(3.0)
    });
}
