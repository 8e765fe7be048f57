//! The emulated store beside a return from an older copy, as a real process.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;

use bilberrypost::http::client;
use bilberrypost::store::objects::{Client, Condition, Era, Error, Objects, STORE_ERA};
use compio::bytes::Bytes;
use hyper::{Request, Response};
use support::{Process, TEST_TIMEOUT, block_on, put};

fn start_store() -> Process {
    Process::start(&["emulate", "store"])
}

async fn call(store: &Process, method: &str, path: &str) -> Response<()> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header("host", &store.address);
    let request = request.body(Bytes::from("value").into()).unwrap();
    let exchange = client::send(&store.address, request, TEST_TIMEOUT).await;
    exchange.unwrap().head
}

fn header(response: &Response<()>, name: &str) -> String {
    response.headers()[name].to_str().unwrap().into()
}

/// Guards against a response that does not tell the era, and against a return that keeps what was
/// written since the copy.
#[test]
fn a_return_begins_an_era_and_gives_out_versions_again() {
    let store = start_store();
    let first = block_on(call(&store, "PUT", "/v1/objects/a"));
    put(&store.address, "/v1/emulation/copy", &());
    let lost = block_on(call(&store, "PUT", "/v1/objects/b"));
    assert_eq!(header(&lost, STORE_ERA), "1");
    put(&store.address, "/v1/emulation/restore", &());
    let missing = block_on(call(&store, "GET", "/v1/objects/b"));
    assert_eq!(missing.status(), 404);
    assert_eq!(header(&missing, STORE_ERA), "2");
    let kept = block_on(call(&store, "GET", "/v1/objects/a"));
    assert_eq!(header(&kept, "etag"), header(&first, "etag"));
    let written = block_on(call(&store, "PUT", "/v1/objects/c"));
    assert_eq!(header(&written, "etag"), header(&lost, "etag"));
    for path in ["/v1/objects", "/v1/emulation/calls", "/no-such-path"] {
        assert_eq!(
            header(&block_on(call(&store, "GET", path)), STORE_ERA),
            "2",
            "{path}"
        );
    }
}

/// Guards against a write of the earlier history that is executed because its version is given out
/// again, and against a watch that waits for a version of the earlier history.
#[test]
fn versions_of_an_earlier_history_match_nothing() {
    let store = start_store();
    let (client, later) = (Client::new(&store.address), Client::new(&store.address));
    block_on(async {
        let put = |client: Client, body, condition| async move {
            client.put("a", Bytes::from(body), condition).await
        };
        let first = client.era();
        put(client.clone(), "1", Condition::Absent(first))
            .await
            .unwrap();
        call(&store, "PUT", "/v1/emulation/copy").await;
        let lost = put(client.clone(), "2", Condition::Any).await.unwrap();
        call(&store, "PUT", "/v1/emulation/restore").await;
        let written = put(later.clone(), "3", Condition::Any).await.unwrap();
        assert_eq!((lost.number, lost < written), (written.number, true));
        for condition in [Condition::Matches(lost), Condition::Absent(first)] {
            let refused = put(client.clone(), "4", condition).await;
            assert_eq!(refused, Err(Error::Conflict), "{condition:?}");
        }
        let seen = client.watch("a", Some(lost), TEST_TIMEOUT).await.unwrap();
        assert_eq!(seen.unwrap().version, written);
    });
}

/// Answers one write for each era, as the store in that era does.
fn answer_writes(listener: &TcpListener, eras: &[u64]) {
    for era in eras {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"value") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.extend(byte);
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\n{STORE_ERA}: {era}\r\netag: \"7\"\r\ncontent-length: 0\r\n\
             connection: close\r\n\r\n"
        );
        stream.write_all(response.as_bytes()).unwrap();
    }
}

/// Guards against a write that counts as stored because its response, of a history that is gone,
/// arrives after one of the present history.
#[test]
fn a_response_of_an_earlier_era_confirms_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(&listener.local_addr().unwrap().to_string());
    let answers = std::thread::spawn(move || answer_writes(&listener, &[2, 1]));
    block_on(async {
        let write = || client.put("a", Bytes::from("value"), Condition::Any);
        assert_eq!(write().await.unwrap().era, Era(2));
        let outdated = write().await;
        assert!(matches!(outdated, Err(Error::Unknown(_))), "{outdated:?}");
        assert_eq!(client.era(), Era(2));
    });
    answers.join().unwrap();
}
