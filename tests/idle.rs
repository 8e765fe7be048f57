//! Limits of callers' connections that stay open between requests.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::platform::{
    Engine, Message, Store, config, headers, ok, registrations, request, start_gateway, wait_for,
};

/// Shorter and longer limit, and a time between them.
const SHORT: Duration = Duration::from_millis(1000);
const LONG: Duration = Duration::from_secs(30);
const BETWEEN: Duration = Duration::from_millis(2500);

fn config_with_idle(version: u64, limit: Duration) -> Value {
    let mut config = config(version);
    config["limits"]["idle-timeout-ms"] = json!(limit.as_millis() as u64);
    config
}

fn call(connection: &mut BufReader<TcpStream>, id: &str) -> Option<u16> {
    let text = request("POST", "/once/x", &headers(id), "b");
    connection.get_mut().write_all(text.as_bytes()).ok()?;
    Message::read(connection).map(|response| response.status())
}

/// Guards against a connection that is closed by the limit of an earlier revision, at a moment at
/// which the caller sends its next request.
#[test]
fn a_kept_connection_follows_the_limit_in_force() {
    let app = Engine::start("i-1", |_| ok());
    let engines = registrations(&[(&app, "app", "fd-a")]);
    let (store, gateway) = start_gateway(config_with_idle(3, SHORT), &engines);
    let connect = || {
        let stream = TcpStream::connect(&gateway.process.address).unwrap();
        stream
            .set_read_timeout(Some(support::TEST_TIMEOUT))
            .unwrap();
        BufReader::new(stream)
    };
    let set_limit = |store: &Store, version: u64, limit: Duration| {
        store.put("config", "main", config_with_idle(version, limit));
        wait_for("the revision", || {
            gateway.metric("bilberrypost_revision_version") == Some(version as f64)
        });
    };
    let mut kept = connect();
    assert_eq!(call(&mut kept, "r1"), Some(200));
    set_limit(&store, 4, LONG);
    std::thread::sleep(BETWEEN);
    assert_eq!(call(&mut kept, "r2"), Some(200), "after a longer limit");
    set_limit(&store, 5, SHORT);
    let since = Instant::now();
    assert!(Message::read(&mut kept).is_none(), "a response to nothing");
    let elapsed = since.elapsed();
    assert!(elapsed < LONG / 2, "closed after {elapsed:?}");
}
