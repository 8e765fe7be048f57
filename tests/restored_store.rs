//! The emulated store beside a return from an older copy, as a real process.

mod support;

use bilberrypost::emulate::store::STORE_ERA;
use bilberrypost::http::client;
use compio::bytes::Bytes;
use hyper::{Request, Response};
use support::{Process, TEST_TIMEOUT, block_on, put};

fn start_store() -> Process {
    Process::start(&["emulate", "store"])
}

fn call(store: &Process, method: &str, path: &str) -> Response<()> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header("host", &store.address);
    let request = request.body(Bytes::from("value").into()).unwrap();
    block_on(client::send(&store.address, request, TEST_TIMEOUT))
        .unwrap()
        .head
}

fn header(response: &Response<()>, name: &str) -> String {
    response.headers()[name].to_str().unwrap().into()
}

/// Guards against a response that does not tell the era, and against a return that keeps what was
/// written since the copy.
#[test]
fn a_return_begins_an_era_and_gives_out_versions_again() {
    let store = start_store();
    let first = call(&store, "PUT", "/v1/objects/a");
    put(&store.address, "/v1/emulation/copy", &());
    let lost = call(&store, "PUT", "/v1/objects/b");
    assert_eq!(header(&lost, STORE_ERA), "1");
    put(&store.address, "/v1/emulation/restore", &());
    let missing = call(&store, "GET", "/v1/objects/b");
    assert_eq!(missing.status(), 404);
    assert_eq!(header(&missing, STORE_ERA), "2");
    let kept = call(&store, "GET", "/v1/objects/a");
    assert_eq!(header(&kept, "etag"), header(&first, "etag"));
    let written = call(&store, "PUT", "/v1/objects/c");
    assert_eq!(header(&written, "etag"), header(&lost, "etag"));
    for path in ["/v1/objects", "/v1/emulation/calls", "/no-such-path"] {
        assert_eq!(header(&call(&store, "GET", path), STORE_ERA), "2", "{path}");
    }
}
