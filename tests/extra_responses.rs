//! Faulty engines that write a response more than once, or one that belongs to another request.

mod support;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use support::platform::{
    Gateway, Message, config, registration, request, start_gateway, stream_headers,
};

/// A refusal with these lines in place of the id of its request.
fn refusal(ids: &str) -> String {
    format!("HTTP/1.1 503 x\r\n{ids}x-bilberrypost-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
}

fn id_line(id: &str) -> String {
    format!("x-bilberrypost-attempt-id: {id}\r\n")
}

/// What a faulty engine writes besides its responses.
#[derive(Clone, Debug, Default)]
struct Extra {
    /// Written at once after a connection was accepted.
    on_accept: String,
    /// Written after the request was read and before its response.
    before: String,
    /// Written together with the response.
    with: String,
    /// Written 20 ms after the response.
    after: String,
}

/// An engine that runs all requests and writes [`Extra`] texts.
struct FaultyEngine {
    address: String,
    /// Number of runs by id of the request.
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl FaultyEngine {
    fn start(extra: &Extra) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Self {
            address: listener.local_addr().unwrap().to_string(),
            runs: Arc::default(),
        };
        let (runs, extra) = (engine.runs.clone(), extra.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (runs, extra) = (runs.clone(), extra.clone());
                std::thread::spawn(move || serve(&stream.unwrap(), &runs, &extra));
            }
        });
        engine
    }

    fn registration(&self) -> Value {
        registration(&self.address, "app", "fd-a")
    }

    fn runs_of(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// Serves all requests of a connection. Errors are ignored, as the gateway closes the connection.
fn serve(mut stream: &TcpStream, runs: &Mutex<BTreeMap<String, u32>>, extra: &Extra) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let _ = stream.write_all(extra.on_accept.as_bytes());
    while let Some(request) = Message::read(&mut reader) {
        let id = request
            .header("x-bilberrypost-attempt-id")
            .unwrap()
            .to_owned();
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        let response = format!(
            "HTTP/1.1 200 x\r\n{}x-bilberrypost-response-seal: s\r\ncontent-length: 2\r\n\r\nok",
            id_line(&id)
        );
        let _ = stream.write_all((extra.before.clone() + &response + &extra.with).as_bytes());
        std::thread::sleep(Duration::from_millis(20));
        let _ = stream.write_all(extra.after.as_bytes());
    }
}

/// Starts a gateway with two engines that write the same extra texts.
fn start(extra: &Extra) -> ([FaultyEngine; 2], Gateway) {
    let engines = [FaultyEngine::start(extra), FaultyEngine::start(extra)];
    let registrations = [
        ("i-1", engines[0].registration()),
        ("i-2", engines[1].registration()),
    ];
    let (_store, gateway) = start_gateway(config(3), &registrations);
    (engines, gateway)
}

/// Sends `count` requests one after another over one connection, and returns the responses by id.
fn call_on_one_connection(gateway: &Gateway, path: &str, count: u32) -> Vec<(String, Message)> {
    let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
    stream
        .set_read_timeout(Some(support::TEST_TIMEOUT))
        .unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let calls = (0..count).map(|number| {
        let id = format!("r{number}");
        let text = request("POST", path, &stream_headers(&id), "b");
        stream.write_all(text.as_bytes()).unwrap();
        let response = Message::read(&mut reader).unwrap();
        std::thread::sleep(Duration::from_millis(30 * u64::from(number % 2)));
        (id, response)
    });
    let calls = calls.collect();
    assert!(reader.buffer().is_empty(), "bytes follow the last response");
    calls
}

/// Refusals that do not belong to the request that an engine runs: of an earlier request, of none, or
/// of the same one after it was answered.
fn extra_refusals() -> [String; 4] {
    let without_id = refusal("");
    [
        refusal(&id_line("r0")),
        refusal(&id_line("another")),
        without_id.clone(),
        without_id.repeat(3),
    ]
}

/// Guards against a refusal after the response to a request that is taken for the response to the
/// next one, which an engine then runs although its caller is told that it did not run.
#[test]
fn a_refusal_after_a_response_reaches_no_caller() {
    for text in extra_refusals() {
        let extras = [
            Extra {
                with: text.clone(),
                ..Extra::default()
            },
            Extra {
                after: text.clone(),
                ..Extra::default()
            },
            Extra {
                with: text.clone(),
                after: text.clone(),
                ..Extra::default()
            },
        ];
        for extra in extras {
            let (engines, gateway) = start(&extra);
            for path in ["/once/x", "/any/x"] {
                for (id, response) in call_on_one_connection(&gateway, path, 6) {
                    assert_eq!(
                        (response.status(), &*response.text()),
                        (200, "ok"),
                        "{extra:?}"
                    );
                    assert_eq!(response.header("x-bilberrypost-attempt-id"), Some(&*id));
                }
            }
            for number in 0..6 {
                let runs: u32 = engines
                    .iter()
                    .map(|engine| engine.runs_of(&format!("r{number}")))
                    .sum();
                assert_eq!(runs, 2, "{extra:?}");
            }
        }
    }
}

/// Guards against a refusal of another request, before the response to this one, that tells the caller
/// or a second engine that this one did not run.
#[test]
fn a_refusal_of_another_request_is_no_promise() {
    let other = id_line("another");
    let refusals = [
        refusal(&other),
        refusal(&(other.clone() + &id_line("r0"))),
        refusal(&(id_line("r0") + &other)),
        refusal(&other).replace("503", "421"),
        refusal(&other).replace("503", "429"),
        format!("HTTP/1.1 421 x\r\n{other}content-length: 0\r\n\r\n"),
    ];
    for text in refusals {
        let extras = [
            Extra {
                before: text.clone(),
                ..Extra::default()
            },
            Extra {
                on_accept: text.clone(),
                ..Extra::default()
            },
        ];
        for extra in extras {
            for _ in 0..5 {
                let (engines, gateway) = start(&extra);
                let answer = gateway.call("POST", "/once/x", "r0", "b");
                let runs: u32 = engines.iter().map(|engine| engine.runs_of("r0")).sum();
                assert!(runs <= 1, "it ran {runs} times: {extra:?}");
                assert!(
                    matches!(answer.status(), 200 | 502),
                    "{}: {extra:?}",
                    answer.status()
                );
            }
        }
    }
}
