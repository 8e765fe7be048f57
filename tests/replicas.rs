//! Streams whose replica is lost, or that had none, while they run.

mod support;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use support::platform::{
    End, Engine, Message, Reaction, config, event, events, registration, start_gateway,
    stream_headers, wait_for,
};

/// An engine that streams until it has copied the run and then breaks off.
struct Source {
    address: String,
    has_copied: Arc<AtomicBool>,
    copied_to: Arc<std::sync::Mutex<Vec<Value>>>,
}

impl Source {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let source = Self {
            address: listener.local_addr().unwrap().to_string(),
            has_copied: Arc::default(),
            copied_to: Arc::default(),
        };
        let (has_copied, copied_to) = (source.has_copied.clone(), source.copied_to.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (has_copied, copied_to) = (has_copied.clone(), copied_to.clone());
                std::thread::spawn(move || serve(stream.unwrap(), &has_copied, &copied_to));
            }
        });
        source
    }
}

fn serve(mut stream: TcpStream, has_copied: &AtomicBool, copied_to: &std::sync::Mutex<Vec<Value>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let Some(request) = Message::read(&mut reader) else {
        return;
    };
    if request
        .first_line
        .starts_with("POST /bilberrypost/kv-move ")
    {
        let body = serde_json::from_slice(&request.body).unwrap();
        copied_to.lock().unwrap().push(body);
        let answer = r#"{"kv-handle":"h1","created":2}"#;
        let length = answer.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all((head + answer).as_bytes());
        has_copied.store(true, Ordering::SeqCst);
        return;
    }
    let id = request.header("x-bilberrypost-attempt-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-bilberrypost-attempt-id: {id}\r\n\
         x-bilberrypost-response-seal: s\r\ncontent-length: 1000000\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    for number in 1.. {
        let is_last = has_copied.load(Ordering::SeqCst);
        if stream.write_all(event(number).as_bytes()).is_err() {
            return;
        }
        // Long enough for the gateway to hear of the copy.
        std::thread::sleep(Duration::from_millis(if is_last { 200 } else { 20 }));
        if is_last && stream.write_all(event(number + 1).as_bytes()).is_ok() {
            return;
        }
    }
}

/// Guards against a stream that had no replica at its start and gets none while it runs, and against a
/// resumed run that ignores the copy.
#[test]
fn a_run_without_a_replica_is_copied_once_an_engine_has_room() {
    let source = Source::start();
    let spare = Engine::start("i-2", |_| Reaction::Events(300, End::Complete));
    let mut config = config(1);
    let engines = &mut config["services"][1]["engine-id"];
    engines["migrations"] = json!(true);
    engines["kv-handle-s"] = json!(4.0);
    let registered = registration(&source.address, "model", "fd-a");
    let (store, gateway) = start_gateway(config, &[("i-1", registered)]);
    let headers = stream_headers("s1");
    let caller = gateway.open("POST", "/stream/x", &headers, "prompt");
    std::thread::sleep(Duration::from_millis(200));
    assert!(source.copied_to.lock().unwrap().is_empty());
    store.put("servers", "i-2", spare.registration("model", "fd-b"));
    wait_for("the copy", || source.has_copied.load(Ordering::SeqCst));
    let answer = Message::read(&mut BufReader::new(caller)).unwrap();
    assert_eq!(answer.text(), events(1, 300));
    let expected = json!({"instance-id": "s1", "to": spare.address, "final": false});
    assert_eq!(source.copied_to.lock().unwrap()[0], expected);
    let resumed = spare.received.lock().unwrap()[0].clone();
    let copy = format!("{}/h1", source.address);
    assert_eq!(resumed.header("kv-from"), Some(copy.as_str()));
}
