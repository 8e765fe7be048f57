//! Engines that end in the middle of the head of their response.

mod support;

use support::platform::{
    End, Engine, Gateway, Message, Reaction, UNFRAMED, config, events, ok, registrations,
    start_gateway, stream_headers,
};

/// Heads of responses with a length, with chunks, and with neither.
fn heads() -> [String; 3] {
    let common = "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: ID\r\n\
                  x-bilberrypost-response-seal: s\r\n";
    [
        format!("{common}content-length: 4\r\n\r\n"),
        format!("{common}transfer-encoding: chunked\r\n\r\n"),
        UNFRAMED.to_owned(),
    ]
}

/// Returns each head without its end, cut after each byte.
fn cut_heads() -> Vec<String> {
    let cut = |head: String| (0..head.len()).map(move |end| head[..end].to_owned());
    heads().into_iter().flat_map(cut).collect()
}

/// Returns bodies that are shorter than the heads before them announce, with these heads.
fn cut_bodies() -> Vec<String> {
    let [with_length, chunked, _] = heads();
    let lengths = ["", "d", "don"].map(|body| with_length.clone() + body);
    let chunks = [
        "",
        "4",
        "4\r\n",
        "4\r\ndo",
        "4\r\ndone\r\n",
        "4\r\ndone\r\n0\r\n",
    ];
    let chunks = chunks.map(|body| chunked.clone() + body);
    lengths.into_iter().chain(chunks).collect()
}

fn is_whole(answer: &Message) -> bool {
    answer.header("broken").is_none()
}

fn start(engine: &Engine, service: &str) -> (support::platform::Store, Gateway) {
    let mut config = config(3);
    for route in config["routes"].as_array_mut().unwrap() {
        route["max-attempts"] = serde_json::json!(2);
    }
    start_gateway(config, &registrations(&[(engine, service, "fd-a")]))
}

/// Guards against a response with status 200 and an empty or short body that looks whole, because its
/// engine ended in the middle of the head or the body.
#[test]
fn a_cut_response_is_no_success() {
    let engine = Engine::start("i-1", |_| ok());
    let (_store, gateway) = start(&engine, "app");
    let answers: Vec<_> = cut_heads().into_iter().chain(cut_bodies()).collect();
    for (number, answer) in answers.iter().enumerate() {
        for (kind, reaction) in [
            ("closed", Reaction::Raw(answer.clone())),
            ("reset", Reaction::Reset(answer.clone())),
        ] {
            engine.set_script(move |_| reaction.clone());
            for path in ["/once/x", "/any/x"] {
                let id = format!("{kind}-{number}-{}", &path[1..2]);
                let response = gateway.call("POST", path, &id, "b");
                let status = response.status();
                assert!(
                    matches!(status, 502 | 503),
                    "{path} {kind} {status} {answer:?}"
                );
                assert!(is_whole(&response), "{path} {kind} {answer:?}");
            }
        }
        engine.set_script(|_| ok());
        let id = format!("sound-{number}");
        let response = gateway.call("POST", "/once/x", &id, "b");
        assert_eq!(
            (response.status(), response.text()),
            (200, "done".into()),
            "{answer:?}"
        );
    }
    assert!(engine.request_count() > 3 * answers.len());
}

/// Guards against a stream that looks complete although the head of its response, or of the one that was
/// to go on with it, was cut.
#[test]
fn a_cut_head_ends_no_stream() {
    for (number, answer) in cut_heads().into_iter().step_by(5).enumerate() {
        for is_begun in [false, true] {
            let cut = answer.clone();
            let engine = Engine::start("i-1", move |request| {
                match request.header("last-event-id") {
                    None if is_begun => Reaction::Events(3, End::HalfEvent),
                    _ => Reaction::Raw(cut.clone()),
                }
            });
            let (_store, gateway) = start(&engine, "model");
            let id = format!("s{number}");
            let headers = stream_headers(&id).replace("20000", "3000");
            let response = gateway
                .send("POST", "/stream/x", &headers, "p")
                .expect("a response");
            match is_begun {
                true => {
                    assert_eq!(response.text(), events(1, 3), "{answer:?}");
                    assert!(!is_whole(&response), "{answer:?}");
                }
                false => assert!(response.status() >= 500, "{answer:?}"),
            }
        }
    }
}
