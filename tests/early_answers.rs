//! Engines that answer while the request is still being sent to them, or with a status line that no
//! client reads, with real processes and connections.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use support::platform::{
    Gateway, Message, Store, UNFRAMED, config, event, exchange, registration, request, reset,
    start_gateway, stream_headers,
};

/// More than the buffers between the gateway and the engine hold.
const LONG_UPLOAD_BYTES: usize = 8_000_000;

const SHORT_UPLOAD_BYTES: usize = 10;

/// How an engine ends its connection after a part of its body.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// Resets it after this time.
    Reset(Duration),
    /// Closes its side in order, leaves the rest of the upload unread and resets it after a while.
    CloseAndReset,
}

/// An answer that begins before the upload was read.
#[derive(Clone, Debug)]
struct EarlyAnswer {
    head: String,
    upload_bytes: usize,
    /// Bytes of the upload that the engine reads before it answers.
    read: usize,
    ending: Ending,
}

/// Serves each connection in a thread of its own; `serve` gets the id of the attempt. Checks whether the
/// engine is alive are answered.
fn start_engine(serve: impl Fn(&mut TcpStream, &str) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // Connections inherit it; the less they hold, the more of the upload is still to be sent.
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || {
                let Some(id) = read_head(&mut stream) else {
                    return;
                };
                match id.as_str() {
                    "" => drop(stream.write_all(b"HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n")),
                    id => serve(&mut stream, id),
                }
            });
        }
    });
    address
}

/// Reads the head of a request, and no byte of its body; returns the id of the attempt, which is empty
/// if there is none.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend_from_slice(&byte);
    }
    let head = String::from_utf8(head).unwrap();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-bilberrypost-attempt-id: "));
    Some(id.unwrap_or("").into())
}

/// Starts a gateway with one engine of each service at this address.
fn start(address: &str) -> (Store, Gateway) {
    let mut config = config(3);
    config["limits"]["max-body-bytes"] = json!(LONG_UPLOAD_BYTES);
    let entries = [("i-1", "app"), ("i-2", "model")];
    start_gateway(
        config,
        &entries.map(|(id, service)| (id, registration(address, service, "fd-a"))),
    )
}

fn call(gateway: &Gateway, path: &str, id: &str, upload_bytes: usize) -> Message {
    let headers = stream_headers(id).replace("20000", "5000");
    let text = request("POST", path, &headers, &"b".repeat(upload_bytes));
    exchange(&gateway.process.address, &text).expect("an answer")
}

/// Parts of bodies that end with their connection.
fn early_parts() -> Vec<EarlyAnswer> {
    let old = UNFRAMED.replace("HTTP/1.1", "HTTP/1.0");
    let kept = old.replace("\r\n\r\n", "\r\nconnection: keep-alive\r\n\r\n");
    let encoded = UNFRAMED.replace("\r\n\r\n", "\r\ntransfer-encoding: identity\r\n\r\n");
    let resets = [0, 20].map(|ms| Ending::Reset(Duration::from_millis(ms)));
    let [at_once, later] = resets;
    let mut answers = Vec::new();
    for head in [UNFRAMED.to_owned(), old, kept, encoded] {
        let answer = |upload_bytes, read, ending| EarlyAnswer {
            head: head.clone(),
            upload_bytes,
            read,
            ending,
        };
        for read in [0, 100_000] {
            let endings = [at_once, later, Ending::CloseAndReset];
            answers.extend(endings.map(|ending| answer(LONG_UPLOAD_BYTES, read, ending)));
        }
        answers.extend(resets.map(|ending| answer(SHORT_UPLOAD_BYTES, 0, ending)));
    }
    answers
}

fn answer_early(stream: &mut TcpStream, answer: &EarlyAnswer, id: &str) {
    let _ = stream.read_exact(&mut vec![0; answer.read]);
    // A whole event, so that only the end of the connection tells a part of a stream from all of it.
    let part = answer.head.replace("ID", id) + &event(1);
    let _ = stream.write_all(part.as_bytes());
    match answer.ending {
        Ending::Reset(after) => std::thread::sleep(after),
        Ending::CloseAndReset => {
            let _ = stream.shutdown(Shutdown::Write);
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    reset(stream);
}

/// Starts a gateway with engines that give these answers to requests whose id has their number.
fn start_early(answers: &[EarlyAnswer]) -> (Store, Gateway) {
    let known = answers.to_vec();
    let address = start_engine(move |stream, id| {
        let number: usize = id.split('-').nth(1).unwrap().parse().unwrap();
        answer_early(stream, &known[number], id);
    });
    start(&address)
}

/// Guards against a part of a body that is taken for all of it because the connection ended while the
/// upload was still being sent: the reset is reported to the sender, or follows an end in order.
#[test]
fn a_part_before_the_end_of_the_upload_is_not_whole() {
    let answers = early_parts();
    let (_store, gateway) = start_early(&answers);
    let mut wrong = Vec::new();
    for (number, early) in answers.iter().enumerate() {
        for path in ["/once/x", "/any/x", "/stream/x"] {
            let id = format!("r-{number}-{}", &path[1..4]);
            let answer = call(&gateway, path, &id, early.upload_bytes);
            let is_success = (200..300).contains(&answer.status());
            if is_success && answer.header("broken").is_none() {
                wrong.push((path, early));
            }
        }
    }
    assert!(wrong.is_empty(), "taken for whole: {wrong:#?}");
}

/// Guards against an early answer that is given up although it is whole, or says that the engine does
/// not want the upload.
#[test]
fn a_whole_answer_before_the_end_of_the_upload_is_passed_on() {
    let length = format!("\r\ncontent-length: {}\r\n\r\n", event(1).len());
    let heads = [
        (200, UNFRAMED.replace("\r\n\r\n", &length)),
        (413, UNFRAMED.replace("200", "413")),
    ];
    let answers = heads.clone().map(|(_, head)| EarlyAnswer {
        head,
        upload_bytes: LONG_UPLOAD_BYTES,
        read: 0,
        ending: Ending::CloseAndReset,
    });
    let (_store, gateway) = start_early(&answers);
    for (number, (status, head)) in heads.iter().enumerate() {
        let answer = call(
            &gateway,
            "/once/x",
            &format!("r-{number}"),
            LONG_UPLOAD_BYTES,
        );
        assert_eq!(
            (answer.status(), answer.text()),
            (*status, event(1)),
            "{head}"
        );
    }
}

/// Status lines that are no answer in the protocol.
const STATUS_LINES: [&str; 16] = [
    "HTTP/1.1 000 x",
    "HTTP/1.1 099 x",
    "HTTP/1.1 101 x",
    "HTTP/1.1 600 x",
    "HTTP/1.1 799 x",
    "HTTP/1.1 999 x",
    "HTTP/1.1 20 x",
    "HTTP/1.1 2000 x",
    "HTTP/1.1 abc x",
    "HTTP/1.1 -20 x",
    "HTTP/1.1  200 x",
    "HTTP/1.1",
    "HTTP/2.0 200 x",
    "HTTP/0.9 200 x",
    "HTTP/1.2 200 x",
    "ICY 200 x",
];

/// Guards against an answer with a status that no client knows, or none, that is passed on.
#[test]
fn a_status_line_outside_of_the_protocol_is_no_answer() {
    let address = start_engine(|stream, id| {
        let mut parts = id.split('-').skip(1);
        let line = STATUS_LINES[parts.next().unwrap().parse::<usize>().unwrap()];
        let head = UNFRAMED.replace("HTTP/1.1 200 x", line).replace("ID", id);
        let head = match parts.next().unwrap() {
            "unframed" => head + &event(1),
            _ => head.replace("\r\n\r\n", "\r\ncontent-length: 4\r\n\r\n") + "part",
        };
        let _ = stream.read_exact(&mut [0; SHORT_UPLOAD_BYTES]);
        let _ = stream.write_all(head.as_bytes());
    });
    let (_store, gateway) = start(&address);
    let mut wrong = Vec::new();
    for (number, line) in STATUS_LINES.iter().enumerate() {
        for framing in ["unframed", "framed"] {
            for path in ["/once/x", "/any/x", "/stream/x"] {
                let id = format!("r-{number}-{framing}-{}", &path[1..4]);
                let answer = call(&gateway, path, &id, SHORT_UPLOAD_BYTES);
                let is_sealed = answer.header("x-bilberrypost-response-seal").is_some();
                if answer.status() != 502 || is_sealed {
                    wrong.push((path, line, framing, answer.first_line));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "passed on: {wrong:#?}");
}
