//! Lists and changes of the store that hold entries of another writer, which may be anything.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::time::Duration;

use bilberrypost::gateway::position::Position;
use bilberrypost::gateway::protocol::{Change, Directory, Unavailable};
use bilberrypost::platform::store::Store as Client;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use support::block_on;
use support::platform::{
    Engine, Gateway, Message, Store, config, ok, registration, settings, wait_for,
};

/// Where watches begin.
const SINCE: Position = Position {
    era: 0,
    revision: 1,
};

/// Starts a store that answers each call with the body that `respond` returns for its number and path,
/// and returns a client of it.
fn client(mut respond: impl FnMut(usize, &str) -> Vec<u8> + Send + 'static) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let mut calls = 0..;
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Some(request) = Message::read(&mut reader) {
                let path = request.first_line.split(' ').nth(1).unwrap();
                let body = respond(calls.next().unwrap(), path);
                let head = format!("HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n", body.len());
                let _ = stream.write_all(&[head.as_bytes(), &body].concat());
            }
        }
    });
    Client::new(&address)
}

fn spec() -> Value {
    registration("10.0.0.1:80", "app", "fd-a")
}

/// Text of an object with this text as its name, in quotes, and as its spec.
fn object(name: &[u8], spec: &[u8]) -> Vec<u8> {
    let parts: [&[u8]; 5] = [
        br#"{"metadata": {"name": "#,
        name,
        br#", "revision": 3}, "spec": "#,
        spec,
        br#", "status": null}"#,
    ];
    parts.concat()
}

/// Returns a sound spec with one field replaced by raw text.
fn spec_with(field: &str, text: &[u8]) -> Vec<u8> {
    let mut spec = spec();
    spec[field] = json!("REPLACED");
    let spec = spec.to_string();
    let (before, after) = spec.split_once("\"REPLACED\"").unwrap();
    [before.as_bytes(), text, after.as_bytes()].concat()
}

fn nested(open: &str, close: &str, depth: usize) -> Vec<u8> {
    (open.repeat(depth) + "1" + &close.repeat(depth)).into_bytes()
}

/// Specs that name no engine to use.
fn odd_specs() -> Vec<Vec<u8>> {
    let mut specs = vec![
        nested("[", "]", 200),
        nested("[", "]", 200_000),
        nested("{\"a\":", "}", 200),
        nested("{\"a\":", "}", 100_000),
        spec_with("extra", &nested("[", "]", 130)),
        spec_with("zone", b"\"fd-\xff\xfe\""),
        spec_with("zone", b"\"fd-\x01\""),
        spec_with("zone", b"\"\\ud800\""),
        spec_with("extra", b"NaN"),
        spec_with("extra", b"'x'"),
        spec_with("extra", b"1e999"),
    ];
    let numbers = [
        "1e999",
        "-1",
        "2.5",
        "4294967296",
        "99999999999999999999999",
        "1e9999999999999",
    ];
    for field in ["batch-slots", "born"] {
        specs.extend(numbers.map(|number| spec_with(field, number.as_bytes())));
    }
    // A time may exceed 32 bits.
    specs.retain(|spec| *spec != spec_with("born", b"4294967296"));
    let addresses = [
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999",
        "10.0.0.1:-1",
        "10.0.0.1",
        "10.0.0.1:",
        ":80",
        "0.0.0.0:80",
        "[::]:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "host.example:80",
        "10.0.0.1:80/",
        "[::1:80",
        "",
    ];
    specs.extend(addresses.map(|text| spec_with("address", json!(text).to_string().as_bytes())));
    specs.extend(["null", "7", "\"x\"", "[]", "{}", "nonsense", ""].map(Into::into));
    specs
}

/// Whole entries whose name cannot be read.
fn nameless_entries() -> Vec<Vec<u8>> {
    let spec = spec().to_string();
    let mut entries: Vec<Vec<u8>> = [
        "null",
        "7",
        "\"x\"",
        "[]",
        "{}",
        "nonsense",
        "{\"metadata\": {}}",
    ]
    .map(Into::into)
    .into();
    for name in ["null", "7", "[]", "\"\\ud800\"", "1e999"] {
        entries.push(object(name.as_bytes(), spec.as_bytes()));
    }
    entries.push(object(b"\"\xff\"", spec.as_bytes()));
    entries.push(object(&nested("[", "]", 100_000), spec.as_bytes()));
    entries.push(nested("[", "]", 100_000));
    entries
}

/// Names that cannot be sent to an engine, with an otherwise sound spec.
fn odd_names() -> Vec<Vec<u8>> {
    let names = ["", "a b", "n\u{e9}", "a\nb"];
    names
        .map(|name| json!(name).to_string().into_bytes())
        .into()
}

/// All odd entries, each with the name that can be read of it.
fn odd_entries() -> Vec<(Vec<u8>, Option<String>)> {
    let of_spec = |spec: Vec<u8>| (object(b"\"odd\"", &spec), Some("odd".to_owned()));
    let specs = odd_specs().into_iter().map(of_spec);
    let names = odd_names().into_iter();
    let names = names.map(|name| (object(&name, spec().to_string().as_bytes()), None));
    let nameless = nameless_entries().into_iter().map(|entry| (entry, None));
    specs.chain(nameless).chain(names).collect()
}

fn sound(name: &str) -> Vec<u8> {
    object(
        json!(name).to_string().as_bytes(),
        spec().to_string().as_bytes(),
    )
}

fn page(entries: &[Vec<u8>], has_more: bool) -> Vec<u8> {
    let entries = entries.join(&b", "[..]);
    let end = format!("], \"has-more\": {has_more}, \"at\": 9}}");
    [b"{\"entries\": [", entries.as_slice(), end.as_bytes()].concat()
}

fn change(object: &[u8]) -> Vec<u8> {
    [b"{\"removed\": false, \"object\": ", object, b"}"].concat()
}

fn changes(objects: &[Vec<u8>]) -> Vec<u8> {
    let changes: Vec<_> = objects.iter().map(|object| change(object)).collect();
    let changes = changes.join(&b", "[..]);
    [b"{\"at\": 9, \"events\": [", changes.as_slice(), b"]}"].concat()
}

fn excerpt(entry: &[u8]) -> String {
    String::from_utf8_lossy(entry).chars().take(300).collect()
}

/// Returns each odd entry at each place among two sound ones.
fn lists_with_odd_entries() -> impl Iterator<Item = (Vec<u8>, Option<String>, Vec<Vec<u8>>)> {
    odd_entries().into_iter().flat_map(|(odd, name)| {
        (0..3).map(move |at| {
            let mut entries = vec![sound("a"), sound("z")];
            entries.insert(at, odd.clone());
            (odd.clone(), name.clone(), entries)
        })
    })
}

/// Guards against one odd entry that hides the other engines of a list.
#[test]
fn an_odd_entry_hides_no_other_of_a_list() {
    let mut lists = lists_with_odd_entries();
    let client = client(move |_, _| page(&lists.next().unwrap().2, false));
    for (odd, _, _) in lists_with_odd_entries() {
        let text = excerpt(&odd);
        let listing = block_on(client.list_engines()).expect(&text);
        let ids: Vec<_> = listing.items.iter().map(|entry| &*entry.id).collect();
        assert_eq!(ids, ["a", "z"], "{text}");
        assert_eq!(listing.unreadable, 1, "{text}");
    }
}

/// Guards against one odd entry that hides the changes beside it, or leaves the engine of its name in
/// use.
#[test]
fn an_odd_change_hides_no_other_and_removes_its_engine() {
    let mut lists = lists_with_odd_entries();
    let client = client(move |_, _| changes(&lists.next().unwrap().2));
    for (odd, name, _) in lists_with_odd_entries() {
        let text = excerpt(&odd);
        let listing = block_on(client.watch_engines(SINCE, Duration::ZERO)).expect(&text);
        let (mut registered, mut removed) = (Vec::new(), Vec::new());
        for change in &listing.items {
            match change {
                Change::Registered(registration) => registered.push(registration.id.as_str()),
                Change::Removed(id) => removed.push(id.as_str()),
            }
        }
        assert_eq!(registered, ["a", "z"], "{text}");
        assert_eq!(
            removed.first().copied(),
            name.as_deref(),
            "{}",
            excerpt(&odd)
        );
        assert_eq!((listing.unreadable, listing.position.revision), (1, 9));
    }
}

/// Guards against an odd entry at the end of a page that ends the list, repeats it without end, or
/// makes a path that cannot be sent.
#[test]
fn a_list_continues_after_an_odd_last_entry() {
    let mut odd_pages = odd_entries().into_iter();
    let client = client(move |_, path| match path.split_once("after=") {
        None => page(&[sound("a"), odd_pages.next().unwrap().0], true),
        Some((_, "a" | "odd" | "a%20b" | "n%C3%A9" | "a%0Ab" | "")) => {
            page(&[sound("x"), sound("z")], false)
        }
        Some((_, after)) => panic!("unexpected {after}"),
    });
    for (odd, _) in odd_entries() {
        let text = excerpt(&odd);
        let listing = block_on(client.list_engines()).expect(&text);
        let ids: Vec<_> = listing.items.iter().map(|entry| &*entry.id).collect();
        assert_eq!(ids, ["a", "x", "z"], "{text}");
    }
}

/// Guards against a list that is read without end, or taken for whole, when no name says where its
/// next page begins.
#[test]
fn a_list_that_cannot_be_continued_fails() {
    let pages = [vec![], vec![b"{}".to_vec()], vec![sound("a")]];
    for entries in pages {
        let client = client(move |_, _| page(&entries, true));
        let result = block_on(client.list_engines());
        assert!(
            matches!(result, Err(Unavailable::NoAnswer(_))),
            "{result:?}"
        );
    }
}

/// Guards against a list that ends or cannot be sent for a name at the end of a page that is no plain
/// text of a path.
#[test]
fn a_list_continues_after_any_name() {
    let names = [
        ("a b", "a%20b"),
        ("n\u{e9}", "n%C3%A9"),
        ("a\nb", "a%0Ab"),
        ("a&after=c#/?%", "a%26after%3Dc%23%2F%3F%25"),
    ];
    for (name, encoded) in names {
        let client = client(move |_, path| match path.split_once("?after=") {
            None => page(&[sound("a"), sound(name)], true),
            Some((_, after)) => {
                assert_eq!(after, encoded);
                page(&[sound("z")], false)
            }
        });
        let listing = block_on(client.list_engines()).expect(name);
        assert_eq!(listing.items.last().unwrap().id, "z");
    }
}

/// Guards against an odd object beside the configuration that hides it, and against an odd
/// configuration that is taken.
#[test]
fn an_odd_object_hides_no_configuration() {
    let lists = || {
        odd_entries().into_iter().map(|(odd, _)| {
            let main = object(b"\"main\"", config(4).to_string().as_bytes());
            [odd.clone(), main, odd]
        })
    };
    let mut served = lists();
    let serving = client(move |call, _| match call % 2 {
        0 => page(&served.next().unwrap(), false),
        _ => changes(&lists().nth(call / 2).unwrap()),
    });
    for [odd, ..] in lists() {
        let text = excerpt(&odd);
        let listed = block_on(serving.read_revision()).expect(&text);
        let watched = block_on(serving.watch_revision(SINCE, Duration::ZERO)).expect(&text);
        for listing in [listed, watched] {
            let versions: Vec<_> = listing.items.iter().map(|entry| entry.version).collect();
            assert_eq!(versions, [4], "{text}");
        }
    }
    let mut specs = odd_specs().into_iter();
    let serving = client(move |_, _| changes(&[object(b"\"main\"", &specs.next().unwrap())]));
    for spec in odd_specs() {
        let listing = block_on(serving.watch_revision(SINCE, Duration::ZERO)).unwrap();
        assert!(listing.items.is_empty(), "{}", excerpt(&spec));
        assert_eq!(listing.unreadable, 1, "{}", excerpt(&spec));
    }
}

/// Guards against random damage of an entry that hides its neighbours, with 2,000 damaged entries.
/// Damage that leaves brackets or quotes open makes the document unreadable and is left out.
#[test]
fn a_damaged_entry_hides_no_other() {
    const SEED: u64 = 33;
    let is_kept = |byte: &u8| b"\"\\[]{},".contains(byte);
    let mut rng = StdRng::seed_from_u64(SEED);
    let junk: Vec<u8> = (0..=255).filter(|byte| !is_kept(byte)).collect();
    let mut damage = || {
        let mut odd = sound("odd");
        for _ in 0..rng.random_range(1..8) {
            let at = rng.random_range(0..odd.len());
            if !is_kept(&odd[at]) {
                odd[at] = junk[rng.random_range(0..junk.len())];
            }
        }
        page(&[sound("a"), odd, sound("z")], false)
    };
    let pages: Vec<_> = (0..2_000).map(|_| damage()).collect();
    let served = pages.clone();
    let client = client(move |call, _| served[call].clone());
    for damaged in pages {
        let text = excerpt(&damaged);
        let listing = block_on(client.list_engines()).expect(&text);
        let ids: Vec<_> = listing.items.iter().map(|entry| &*entry.id).collect();
        assert_eq!(
            (ids[0], ids[ids.len() - 1]),
            ("a", "z"),
            "seed {SEED}: {text}"
        );
        assert_eq!(ids.len() + listing.unreadable, 3, "seed {SEED}: {text}");
    }
}

/// Guards against a host that no longer follows the store, or ends, because of an odd entry.
#[test]
fn a_host_follows_the_store_beside_odd_entries() {
    let engine = Engine::start("i-1", |_| ok());
    let late = Engine::start("i-2", |_| ok());
    let store = Store::with(config(3), &[]);
    for (number, spec) in odd_specs().into_iter().enumerate() {
        store.put_raw("servers", &format!("h-{number}"), &spec);
    }
    store.put("servers", &engine.id, engine.registration("app", "fd-a"));
    let gateway = Gateway::start(&settings(&store.address, ""));
    wait_for("readiness", || gateway.is_ready());
    assert_eq!(gateway.status("POST", "/once/x", "r1", "b"), 200);
    for (number, spec) in odd_specs().into_iter().enumerate() {
        store.put_raw("servers", &format!("j-{number}"), &spec);
        store.put_raw("config", &format!("other-{number}"), &spec);
    }
    store.put_raw("servers", &engine.id, &nested("[", "]", 200_000));
    store.put("servers", &late.id, late.registration("app", "fd-a"));
    wait_for("the later engine", || {
        gateway.status("POST", "/once/x", "r2", "b") == 200 && late.request_count() > 0
    });
    let before = engine.request_count();
    store.put_raw("config", "main", &nested("[", "]", 200_000));
    assert_eq!(gateway.status("POST", "/once/x", "r3", "b"), 200);
    store.put("config", "main", config(5));
    wait_for("the later configuration", || {
        gateway.metric("bilberrypost_revision_version ") == Some(5.0)
    });
    assert_eq!(engine.request_count(), before);
}
