//! What a gateway sends to the hosts that follow it when the configuration changes.

mod support;

use std::time::Duration;

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::config::patch::{Error, Patch, digest};
use bilberrypost::gateway;
use bilberrypost::gateway::documents::Documents;
use bilberrypost::gateway::feed::{PATH, Update};
use bilberrypost::gateway::follow::Duty;
use bilberrypost::gateway::pacing::Pacing;
use bilberrypost::gateway::watch::watch_wait;
use serde_json::{Value, json};
use support::platform::{
    Gateway, Message, Mode, PEER_PORT, Store, config, exchange, gateway_settings, own_ips,
    registration, settings, wait_for,
};

/// Hosts that follow one representative on large fleets.
const FOLLOWERS: usize = 20;

/// Bytes that may be sent for a small change to all followers. A host counts an engine that is
/// silent for 130 ms as lost, so the change may take a tenth of that of a link of 10 Mbit/s:
/// 0.013 s x 1.25 MB/s.
const SENT_BYTES_MAX: usize = 16_250;

/// Returns a configuration of about 16 KB; `timeout_ms` is the timeout of a route in its middle.
fn large_config(version: u64, timeout_ms: u64) -> Value {
    let mut document = config(version);
    let routes = document["routes"].as_array_mut().unwrap();
    for number in 0..60 {
        let mut route = routes[1].clone();
        route["name"] = format!("r-{number}").into();
        route["path-prefix"] = format!("/any/{number}/").into();
        routes.push(route);
    }
    routes[25]["timeout-ms"] = timeout_ms.into();
    document
}

/// Sends a follower's query; returns the answer and its size in bytes.
fn query(address: &str, query: &Value) -> (Update, usize) {
    let body = query.to_string();
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = exchange(address, &request).expect("an answer");
    assert_eq!(answer.status(), 200, "{}", answer.text());
    let update = Update::decode(&answer.body).unwrap();
    (update, size(&answer))
}

fn size(message: &Message) -> usize {
    let headers = message.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.len() + value.len() + 4)
        .sum();
    message.first_line.len() + headers + message.body.len() + 4
}

/// Returns the query of a host of the release before patches, which has `revision`.
fn old_query(revision: u64) -> Value {
    json!({"process": 0, "engines": null, "revision": revision, "wait_ms": 0, "is_cut_off": false})
}

/// Returns the query of a host that has `revision` with this document.
fn query_with(revision: u64, document: &str) -> Value {
    let mut query = old_query(revision);
    query["document"] = digest(document).into();
    query
}

/// Starts a gateway that has put revision 1 and then `second` into force. Returns its address
/// for followers and the document of revision 1.
fn start_with_change(store: &Store, more: &str, second: Value) -> (Gateway, String, String) {
    let [ip] = own_ips();
    store.put("config", "main", large_config(1, 20_000));
    let more = format!("ports = {PEER_PORT},{PEER_PORT}\n{more}");
    let settings = settings(&store.address, &more);
    let gateway = Gateway::start(&settings.replace("127.0.0.1:0", &format!("{ip}:0")));
    let address = format!("{ip}:{PEER_PORT}");
    let has_version = |version| {
        let name = "bilberrypost_revision_version ";
        wait_for("the revision", || gateway.metric(name) == Some(version));
    };
    has_version(1.0);
    let (update, _) = query(&address, &old_query(0));
    let document = update.revision.expect("the whole document");
    store.put("config", "main", second);
    has_version(2.0);
    (gateway, address, document)
}

/// Guards against a representative whose link is full while it sends a small change.
#[test]
fn a_small_change_takes_few_bytes() {
    let store = Store::start();
    let (_gateway, address, first) = start_with_change(&store, "", large_config(2, 15_000));
    assert!((14_000..=16 * 1024).contains(&first.len()));
    let answers: Vec<_> = (0..FOLLOWERS)
        .map(|_| query(&address, &query_with(1, &first)))
        .collect();
    let bytes: usize = answers.iter().map(|(_, bytes)| bytes).sum();
    assert!(bytes <= SENT_BYTES_MAX, "{bytes} bytes");
    let (whole, _) = query(&address, &old_query(1));
    for (update, _) in &answers {
        let patch = update.patch.as_ref().expect("a patch");
        assert_eq!(patch.apply(&first).ok(), whole.revision);
    }
}

/// Guards against followers of the previous release, or with a document that the host never had,
/// that cannot read what they get.
#[test]
fn any_follower_gets_a_readable_revision() {
    let store = Store::start();
    let (gateway, address, first) = start_with_change(&store, "", large_config(2, 15_000));
    let (old, _) = query(&address, &old_query(1));
    assert!(old.patch.is_none());
    let whole = old.revision.expect("the whole document");
    for (revision, document) in [(0, ""), (1, "another"), (1, first.as_str())] {
        let (update, _) = query(&address, &query_with(revision, document));
        assert!(update.revision.is_none());
        let restored = update.patch.expect("a patch").apply(document);
        assert_eq!(restored, Ok(whole.clone()), "{document}");
    }
    for content in ["revision", "patch"] {
        let name = format!("bilberrypost_feed_bytes_total{{content=\"{content}\"}} ");
        assert!(gateway.metric(&name).is_some_and(|bytes| bytes > 0.0));
    }
}

/// Guards against a link that is full for longer than the check of an engine waits, when the hosts of
/// a failure domain change their representative and get all engines.
#[test]
fn all_engines_take_few_bytes() {
    const ENGINES: usize = 126;
    // 0.13 s of a link of 10 Mbit/s.
    const BYTES_MAX: usize = 162_500;
    let store = Store::start();
    for number in 0..ENGINES as u64 {
        let id = format!("i-{:010x}", digest(&number.to_string()) >> 24);
        let address = format!("10.{}.64.{}:8026", 1 + number % 4, 4 + number / 4);
        let service = ["kegelassist", "buchungsdienst"][usize::from(number % 20 == 0)];
        let engine = json!({"service": service, "address": address, "zone": "niederbach-nord",
                            "version": "v1", "batch-slots": 12, "lifecycle": "available",
                            "cold-remaining-ms": 0, "sequence": 4,
                            "born": 1_774_738_407_000 + digest(&address) % 100_000});
        store.put("servers", &id, engine);
    }
    let (_gateway, address, first) = start_with_change(&store, "", large_config(2, 15_000));
    let changed = query_with(2, &first);
    wait_for("all engines", || {
        query(&address, &changed).0.engines.registered.len() == ENGINES
    });
    let answers: Vec<_> = (0..FOLLOWERS).map(|_| query(&address, &changed)).collect();
    let bytes: usize = answers.iter().map(|(_, bytes)| bytes).sum();
    assert!(bytes <= BYTES_MAX, "{bytes} bytes");
    let (old, bytes) = query(&address, &old_query(2));
    assert_eq!(answers[0].0.engines.registered, old.engines.registered);
    assert!(bytes * FOLLOWERS > BYTES_MAX, "{bytes} bytes, uncompressed");
}

/// Guards against followers that hear only at the end of their queries that the host which holds them
/// has lost the store.
#[test]
fn held_queries_end_when_the_store_is_lost() {
    let gateway = gateway::Gateway::new(Manual::default(), gateway_settings());
    for _ in 0..2 {
        let held = gateway.next_change.borrow().clone();
        gateway.set_call_failing(true);
        assert!(held.is_set());
    }
}

/// Guards against followers that leave a representative that has just started, because the watch that
/// it began before it had followers lasts longer than they accept.
#[test]
fn the_first_watch_of_a_host_is_short() {
    let clock = Manual::default();
    let gateway = gateway::Gateway::new(clock.clone(), gateway_settings());
    let first = watch_wait(&gateway);
    clock.advance(Duration::from_secs(10));
    assert!(first < watch_wait(&gateway));
    gateway.role.set(Duty::Watch, true, Vec::new());
    assert_eq!(first, watch_wait(&gateway));
}

/// Guards against links that fill up when all followers look for another representative at once.
#[test]
fn a_probe_is_answered_without_changes() {
    const BYTES_MAX: usize = 500;
    let store = Store::start();
    store.put("servers", "i-1", registration("127.0.0.1:1", "app", "fd-a"));
    let (_gateway, address, _) = start_with_change(&store, "", large_config(2, 15_000));
    wait_for("the engine", || {
        query(&address, &old_query(2)).0.engines.registered.len() == 1
    });
    let mut probe = old_query(0);
    probe["is_probe"] = true.into();
    let (update, bytes) = query(&address, &probe);
    assert!(update.is_confirmed && update.version == 2);
    assert!(update.engines_revision > 0);
    assert!(bytes <= BYTES_MAX, "{bytes} bytes");
}

/// Guards against an engine that has left and is used again by hosts that knew it, because their
/// representative did not reach the store when it left.
#[test]
fn an_engine_that_left_during_a_cut_is_not_sent_to_followers() {
    let store = Store::start();
    for (id, address) in [("i-1", "127.0.0.1:1"), ("i-2", "127.0.0.1:2")] {
        store.put("servers", id, registration(address, "app", "fd-a"));
    }
    let (gateway, address, first) = start_with_change(&store, "", large_config(2, 15_000));
    let whole = query_with(2, &first);
    wait_for("both engines", || {
        query(&address, &whole).0.engines.registered.len() == 2
    });
    store.set_mode(Mode::Unavailable);
    let failed = "bilberrypost_decisions_total{decision=\"engines_call\",outcome=\"no-answer\"} ";
    wait_for("the loss of the store", || gateway.metric(failed).is_some());
    let (before, _) = query(&address, &whole);
    store.remove("servers", "i-2");
    store.set_mode(Mode::Normal);
    wait_for("the list of the store", || {
        let (update, _) = query(&address, &whole);
        if update.engines_revision <= before.engines_revision {
            return false;
        }
        let registered = update.engines.registered.iter();
        let ids: Vec<_> = registered.map(|engine| engine.id.as_str()).collect();
        assert_eq!(ids, ["i-1"]);
        update.is_confirmed
    });
}

fn text(routes: std::ops::Range<usize>) -> String {
    let route = |n: usize| {
        let hash = digest(&n.to_string());
        format!(r#"{{"name":"{hash:x}","timeout-ms":{}}}"#, hash % 999)
    };
    routes.map(route).collect()
}

/// Guards against patches that restore something else, also where LZ4 cannot refer back far enough.
#[test]
fn a_patch_restores_the_document() {
    let long = text(0..12_000);
    assert!(long.len() > 400_000);
    let inserted = format!(
        "{}{}{}",
        &long[..90_000],
        text(20_000..21_000),
        &long[90_000..]
    );
    let removed = format!("{}{}", &long[..50_000], &long[80_000..]);
    let short = long[..16_000].to_owned();
    let all = ["", "x", "käse", &short, &long, &inserted, &removed];
    for base in all {
        for document in all {
            let patch = Patch::new(base, document);
            assert_eq!(patch.apply(base).as_deref(), Ok(document));
        }
    }
}

/// Guards against patches whose size grows with the document instead of the change.
#[test]
fn the_patch_for_a_small_change_is_small() {
    for length in [16_000, 60_000, 70_000, 400_000] {
        let base = text(0..12_000)[..length].to_owned();
        let mut document = base.clone();
        document.replace_range(length / 2..length / 2 + 4, "abcdefgh");
        let bytes = Patch::new(&base, &document).bytes();
        assert!(bytes * 50 <= length, "{bytes} of {length}");
    }
}

/// Guards against a document that is put into force although a patch was damaged or made for
/// another one.
#[test]
fn a_patch_that_does_not_fit_is_refused() {
    let (base, document) = (text(0..500), text(3..500));
    let patch = Patch::new(&base, &document);
    assert_eq!(patch.apply(&document), Err(Error::OtherBase));
    assert_eq!(patch.apply(""), Err(Error::OtherBase));
    let encoded = serde_json::to_value(&patch).unwrap();
    let damages = [
        ("result", json!(1)),
        ("size", json!(document.len() - 1)),
        ("size", json!(u32::MAX)),
        ("blocks", json!([])),
        ("blocks", json!(["AAAA"])),
        ("blocks", json!(["", "", "////////"])),
    ];
    for (field, value) in damages {
        let mut damaged = encoded.clone();
        damaged[field] = value;
        let damaged: Patch = serde_json::from_value(damaged).unwrap();
        let result = damaged.apply(&base);
        assert!(matches!(result, Err(Error::Corrupt(_))), "{result:?}");
    }
}

/// Guards against memory that grows with each change of the configuration.
#[test]
fn few_earlier_documents_are_kept() {
    let mut documents = Documents::default();
    for number in 0..50 {
        documents.keep(format!("{number}-{}", text(0..400)).into());
    }
    assert!(documents.bytes() <= 256 * 1024);
    let current = format!("50-{}", text(0..400));
    let last = format!("49-{}", text(0..400));
    let patch = documents.patch_to(&current, digest(&last));
    assert!(patch.bytes() < 500, "{} bytes", patch.bytes());
    documents.keep("x".repeat(300 * 1024).into());
    assert_eq!(documents.bytes(), 0);
}

/// Guards against messages to followers that fill the link, and against a schedule that stays
/// behind after a pause.
#[test]
fn messages_take_a_quarter_of_the_link() {
    const LINK_BYTES_PER_S: usize = 1_250_000;
    let clock = Manual::default();
    let started = clock.now();
    let mut pacing = Pacing::new(Some(10.0));
    let mut sent = 0;
    for bytes in [16_000, 500, 3000].into_iter().cycle().take(300) {
        clock.advance(pacing.wait(clock.now()));
        let elapsed = clock.now().duration_since(started).as_secs_f64();
        assert!(sent as f64 <= elapsed * LINK_BYTES_PER_S as f64 / 4.0 + 1.0);
        pacing.reserve(bytes, clock.now());
        sent += bytes;
    }
    clock.advance(Duration::from_secs(3600));
    assert_eq!(pacing.wait(clock.now()), Duration::ZERO);
    pacing.reserve(LINK_BYTES_PER_S / 4, clock.now());
    let wait = pacing.wait(clock.now());
    assert!((0.999..1.001).contains(&wait.as_secs_f64()), "{wait:?}");
}

/// Guards against revisions that no follower gets, because many lists of engines that were sent after
/// their longest wait still count as waiting.
#[test]
fn messages_without_a_revision_hold_back_no_longer_than_they_wait() {
    let wait_max = Duration::from_millis(200);
    let mut pacing = Pacing::new(Some(10.0));
    let now = Manual::default().now();
    for _ in 0..20 {
        pacing.reserve_within(20_000, now, wait_max);
    }
    assert_eq!(pacing.wait(now), wait_max);
}

/// Guards against waits on hosts whose settings do not name the rate of the link.
#[test]
fn nothing_waits_without_a_rate() {
    let clock = Manual::default();
    let mut pacing = Pacing::new(None);
    pacing.reserve(usize::MAX, clock.now());
    assert_eq!(pacing.wait(clock.now()), Duration::ZERO);
}

/// Guards against a slow link that delays a revision for the last of many followers.
#[test]
fn followers_read_the_store_if_the_link_is_slow() {
    let store = Store::start();
    let more = "link_mbps = 0.1";
    let (gateway, address, first) = start_with_change(&store, more, large_config(2, 15_000));
    wait_for("a referral to the store", || {
        // The whole document takes seconds of this link.
        query(&address, &old_query(0));
        let (update, _) = query(&address, &query_with(1, &first));
        update.version == 2 && update.patch.is_none() && update.revision.is_none()
    });
    let mut cut_off = query_with(1, &first);
    cut_off["is_cut_off"] = true.into();
    wait_for("a patch in an outage", || {
        query(&address, &cut_off).0.patch.is_some()
    });
    drop(gateway);
}
