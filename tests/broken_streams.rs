//! Streams that broke off and whose next engine answers with something else than their next events.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bilberrypost::engine;
use bilberrypost::wire::{Rank, Request};
use serde_json::json;
use support::block_on;
use support::platform::{
    End, Engine, Message, Reaction, UNFRAMED, config, event, events, registrations, start_gateway,
};

/// Head of a response with this status line, further headers and a length of `body`.
fn framed(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-bilberrypost-attempt-id: ID\r\nx-bilberrypost-response-seal: s\r\n\
         {headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A refusal as an engine writes it.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-bilberrypost-not-executed: 1\r\n\
                       content-length: 0\r\n\r\n";

/// Answers to the request for the events after event 3 that hold none of them.
fn bad_answers() -> Vec<String> {
    let mut answers = vec![
        REFUSAL.to_owned(),
        UNFRAMED.to_owned(),
        framed("204 No Content", "", ""),
        framed("202 Accepted", "", ""),
        framed("200 OK", "content-encoding: gzip\r\n", &events(4, 6)),
        framed("200 OK", "content-type: application/json\r\n", ""),
        framed("200 OK", "content-type: text/html\r\n", "<p>failed\n\n"),
        framed("200 OK", "", "failed").replace("ID", "another"),
        framed("200 OK", "", &events(4, 6)).replace("seal", "other"),
        "not a response\r\n\r\n".to_owned(),
    ];
    for status in [
        "400 x", "404 x", "429 x", "500 x", "502 x", "503 x", "504 x",
    ] {
        answers.push(framed(status, "", "the engine failed\n\n"));
        answers.push(framed(status, "", &events(4, 6)));
    }
    let bodies = [
        "the engine failed\n\n".to_owned(),
        "{\"error\": \"overloaded\"}\n\n".to_owned(),
        "error: overloaded\n\n".to_owned(),
        REFUSAL.to_owned(),
        REFUSAL.to_owned() + &events(4, 6),
        "data: overloaded\n\n".to_owned(),
        "event: error\ndata: overloaded\n\n".to_owned(),
        "id: four\ndata: x\n\n".to_owned(),
        "id\ndata: x\n\n".to_owned(),
        "id: 4\nid: 5\ndata: x\n\n".to_owned(),
        "id: 4\ndata: x\nHTTP/1.1 503 x\n\n".to_owned(),
        event(3),
        event(9),
        events(1, 6),
        "the engine failed".to_owned(),
        "id: 4\nda".to_owned(),
    ];
    for body in bodies {
        answers.push(UNFRAMED.to_owned() + &body);
        answers.push(framed(
            "200 OK",
            "content-type: text/event-stream\r\n",
            &body,
        ));
    }
    answers
}

/// Starts a stream whose first engine breaks off after event 3, the second answers with `answer`, and
/// a third sends the rest. Returns what the caller receives.
fn resume_with(answer: &str, attempts_max: u64) -> Message {
    let (attempts, answer) = (Arc::new(AtomicUsize::new(0)), answer.to_owned());
    let engines = ["i-1", "i-2", "i-3"].map(|id| {
        let (attempts, answer) = (attempts.clone(), answer.clone());
        Engine::start(id, move |request| {
            match attempts.fetch_add(1, Ordering::Relaxed) {
                0 => Reaction::Events(3, End::HalfEvent),
                1 => Reaction::Raw(answer.clone()),
                _ => {
                    assert!(request.header("last-event-id").is_some());
                    Reaction::Events(6, End::Complete)
                }
            }
        })
    });
    let mut config = config(3);
    config["routes"][3]["max-attempts"] = json!(attempts_max);
    let domains = ["fd-a", "fd-b", "fd-c"];
    let engines: Vec<_> = engines.iter().zip(domains).collect();
    let engines: Vec<_> = engines
        .iter()
        .map(|(engine, domain)| (*engine, "model", *domain))
        .collect();
    let (_store, gateway) = start_gateway(config, &registrations(&engines));
    gateway.stream("s1")
}

/// Guards against the text or the head of an error in the middle of a stream, and against a stream
/// that ends as if it were complete, because the engine that should go on with it answered with an
/// error.
#[test]
fn an_error_of_the_next_engine_is_no_part_of_the_stream() {
    for answer in bad_answers() {
        let received = resume_with(&answer, 3);
        assert_eq!(received.text(), events(1, 6), "{answer}");
        assert!(received.header("broken").is_none(), "{answer}");
    }
}

/// Guards against the same where no further engine may be tried.
#[test]
fn a_stream_whose_last_attempt_fails_is_broken() {
    for answer in bad_answers() {
        // A refusal is no attempt, so another engine goes on.
        if answer == REFUSAL {
            continue;
        }
        let received = resume_with(&answer, 2);
        assert_eq!(received.text(), events(1, 3), "{answer}");
        assert!(received.header("broken").is_some(), "{answer}");
    }
}

/// Guards against a refusal after some events of the next engine that reaches the caller.
#[test]
fn a_head_after_events_is_no_part_of_the_stream() {
    let received = resume_with(&(UNFRAMED.to_owned() + &event(4) + REFUSAL), 3);
    assert_eq!(received.text(), events(1, 6));
    assert!(received.header("broken").is_none());
}

/// Guards against a sound event that is taken for an error.
#[test]
fn all_fields_of_events_are_forwarded() {
    let body = ": comment\n\nretry: 5\n\nx-bilberrypost-weight-versions: 2\nid: 4\nevent: token\n\
                data: {\"error\": 1}\n: comment\ndata\ndata: HTTP/1.1 503 x\n\nid:5\r\ndata: b\r\n\r\n\
                id: 6\ndata: c\n\n";
    for answer in [
        UNFRAMED.to_owned() + body,
        framed(
            "200 OK",
            "content-type: Text/Event-Stream; charset=utf-8\r\n",
            body,
        ),
    ] {
        let received = resume_with(&answer, 2);
        assert_eq!(received.text(), events(1, 3) + body);
        assert!(received.header("broken").is_none());
    }
}

/// Guards against a stream that never ends because its end was lost after its last event.
#[test]
fn a_stream_of_which_only_the_end_is_missing_is_complete() {
    let answer = framed("200 OK", "content-type: text/event-stream\r\n", "");
    let received = resume_with(&answer, 2);
    assert_eq!(received.text(), events(1, 3));
    assert!(received.header("broken").is_none());
}

/// Guards against the text of an error that is taken for output on the path of our own protocol.
#[test]
fn an_engine_stream_holds_frames_only() {
    let bodies = [
        "the engine failed\n\n",
        "data: overloaded\n\n",
        "data: {\"error\": 1}\n\n",
        REFUSAL,
        "HTTP/1.1 503 x\n\n",
        "",
        "data: [DONE]\n\n",
        "{}\n\n",
    ];
    for body in bodies {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
            let head = "HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\n\r\n";
            stream
                .write_all((head.to_owned() + body).as_bytes())
                .unwrap();
        });
        let request = Request {
            request_id: "r1".into(),
            attempt: 2,
            model: "m".into(),
            model_version: None,
            prompt: "p".into(),
            max_tokens: 5,
            seed: 1,
            priority: Rank::Routine,
            resume_tokens: vec![1, 2],
        };
        let result = block_on(async {
            engine::start(&address, &request)
                .await
                .unwrap()
                .next()
                .await
        });
        assert!(matches!(result, Err(engine::Error::Broken(_))), "{body}");
        server.join().unwrap();
    }
}
