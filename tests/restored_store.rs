//! The emulated store beside a return from an older copy, as a real process.

mod support;

use bilberrypost::http::client;
use bilberrypost::store::objects::{Client, Condition, Error, Objects, STORE_ERA};
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
