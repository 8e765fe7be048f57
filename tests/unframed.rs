//! Responses of engines that have neither a length nor chunks and end with their connection.

mod support;

use std::cell::OnceCell;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};
use support::platform::{
    Engine, Gateway, Message, Reaction, UNFRAMED, config, event, events, exchange, registration,
    registrations, request, reset, start, start_gateway, stream_headers, two_engines, wait_for,
};

/// Sizes in bytes of response bodies around the size up to which the gateway buffers them.
const BODY_SIZES: [usize; 5] = [0, 5, 16 * 1024, 16 * 1024 + 1, 300_000];

/// Ends of a stream that break it off: inside an event, and at a reset inside or between events.
const BREAKS: [fn(String) -> Reaction; 3] = [
    |text| Reaction::Raw(text + "id: 9999\nda"),
    |text| Reaction::Reset(text + "id: 9999\nda"),
    Reaction::Reset,
];

/// Connection of a caller that stays open for several requests.
struct Caller(BufReader<TcpStream>);

impl Caller {
    fn connect(gateway: &Gateway) -> Self {
        let stream = TcpStream::connect(&gateway.process.address).unwrap();
        stream
            .set_read_timeout(Some(support::TEST_TIMEOUT))
            .unwrap();
        Self(BufReader::new(stream))
    }

    fn send(&mut self, path: &str, id: &str) {
        let text = request("POST", path, &stream_headers(id), "b");
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    fn call(&mut self, path: &str, id: &str) -> Message {
        self.send(path, id);
        Message::read(&mut self.0).unwrap()
    }

    /// Returns the bytes until the gateway closes the connection.
    fn rest(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        // The gateway may close with a reset.
        let _ = self.0.read_to_end(&mut rest);
        rest
    }
}

/// Returns a body of `size` bytes that differs between requests.
fn body_of(id: &str, size: usize) -> String {
    let text = format!("{id}, ");
    let mut body = text.repeat(size / text.len() + 1);
    body.truncate(size);
    body
}

fn is_broken(answer: &Message) -> bool {
    answer.header("broken").is_some()
}

/// Guards against a whole unframed response that is cut, looks broken off or is mixed with the next
/// one on the caller's connection.
#[test]
fn whole_responses_are_forwarded_whole() {
    for status in [200, 500] {
        let app = Engine::start("i-1", move |request| {
            let id = request.header("x-bilberrypost-attempt-id").unwrap();
            let size = id.rsplit('-').next().unwrap().parse().unwrap();
            let head = UNFRAMED.replace("200", &status.to_string());
            Reaction::Raw(head + &body_of(id, size))
        });
        let (_store, gateway) = start(&[(&app, "app", "fd-a")]);
        for path in ["/once/x", "/any/x"] {
            let mut caller = Caller::connect(&gateway);
            for size in BODY_SIZES {
                let id = format!("{}-{size}", &path[1..4]);
                let answer = caller.call(path, &id);
                assert_eq!(answer.status(), status, "{path} {size}");
                assert!(!is_broken(&answer), "{path} {size}");
                assert!(answer.text() == body_of(&id, size), "{path} {size}");
            }
            assert!(caller.0.buffer().is_empty());
        }
    }
}

/// Guards against an unframed response that is taken for whole although it was reset, and against an
/// idempotent request that fails although another engine could serve it.
#[test]
fn reset_responses_are_not_complete() {
    for part in ["", "a part"] {
        let [one, two] = two_engines(move |_| Reaction::Reset(UNFRAMED.to_owned() + part));
        let (_store, gateway) = start(&[(&one, "app", "fd-a"), (&two, "app", "fd-b")]);
        let runs = || one.request_count() + two.request_count();
        let mut caller = Caller::connect(&gateway);
        assert_eq!(caller.call("/once/x", "once").status(), 502, "{part:?}");
        assert_eq!(runs(), 1, "{part:?}");
        two.set_script(|_| Reaction::Raw(UNFRAMED.to_owned() + "whole"));
        for number in 0..6 {
            let answer = caller.call("/any/x", &format!("any{number}"));
            assert_eq!((answer.status(), answer.text().as_str()), (200, "whole"));
            assert!(!is_broken(&answer));
        }
        assert!(
            one.request_count() > 0,
            "the engine that resets got nothing"
        );
    }
}

/// An engine whose response a test sends step by step.
struct SteppedEngine(TcpListener);

impl SteppedEngine {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Self(listener)
    }

    fn registration(&self) -> Value {
        let address = self.0.local_addr().unwrap().to_string();
        registration(&address, "app", "fd-a")
    }

    /// Accepts a connection; skips those that only check whether the engine is alive.
    fn accept(&self) -> TcpStream {
        let accepted = OnceCell::new();
        wait_for("a connection with a request", || {
            let Ok((stream, _)) = self.0.accept() else {
                return false;
            };
            let timeout = Some(support::TEST_TIMEOUT);
            stream.set_read_timeout(timeout).unwrap();
            let has_request = stream.peek(&mut [0]).unwrap() > 0;
            has_request && accepted.set(stream).is_ok()
        });
        accepted.into_inner().unwrap()
    }

    /// Accepts a request and answers it with the head of an unframed response.
    fn answer(&self) -> TcpStream {
        let mut stream = self.accept();
        let request = Message::read(&mut BufReader::new(&stream)).unwrap();
        let id = request.header("x-bilberrypost-attempt-id").unwrap();
        let head = UNFRAMED.replace("ID", id);
        stream.write_all(head.as_bytes()).unwrap();
        stream
    }
}

/// Guards against a long unframed response that is held back until its end, and against one that was
/// reset and ends like a whole one or is followed by another response on the caller's connection.
#[test]
fn long_responses_are_forwarded_as_they_arrive() {
    let engine = SteppedEngine::start();
    let (_store, gateway) = start_gateway(config(3), &[("i-1", engine.registration())]);
    for (path, is_reset) in [("/once/x", false), ("/once/x", true), ("/any/x", true)] {
        let mut caller = Caller::connect(&gateway);
        caller.send(path, "r1");
        // The next request of the caller is sent before the response to this one has ended.
        caller.send(path, "r2");
        let mut stream = engine.answer();
        let first = "1".repeat(20_000);
        stream.write_all(first.as_bytes()).unwrap();
        let mut seen = Vec::new();
        while seen.iter().filter(|byte| **byte == b'1').count() < first.len() {
            let mut block = [0; 4096];
            let length = caller.0.read(&mut block).unwrap();
            assert!(length > 0, "the response ended before its engine ended it");
            seen.extend_from_slice(&block[..length]);
        }
        stream.write_all(b"2222").unwrap();
        if is_reset {
            reset(&stream);
        }
        drop(stream);
        if is_reset {
            seen.extend(caller.rest());
            let answer = Message::read(&mut seen.as_slice()).unwrap();
            assert_eq!(answer.status(), 200, "{path}");
            assert!(is_broken(&answer), "{path} was taken for a whole response");
            let heads = String::from_utf8_lossy(&seen).matches("HTTP/1.1").count();
            assert_eq!(heads, 1, "a response follows one that broke off");
            continue;
        }
        let mut stream = engine.answer();
        stream.write_all(b"3333").unwrap();
        drop(stream);
        let mut both = BufReader::new(seen.as_slice().chain(caller.0));
        let answer = Message::read(&mut both).unwrap();
        assert!(!is_broken(&answer));
        assert_eq!(answer.text(), first + "2222");
        let next = Message::read(&mut both).unwrap();
        assert_eq!((next.status(), next.text().as_str()), (200, "3333"));
        assert_eq!(next.header("x-bilberrypost-attempt-id"), Some("r2"));
    }
}

/// Returns a script of a stream of 6 events that breaks off after event 3, unless it is resumed.
fn breaks_after_3(
    end: fn(String) -> Reaction,
) -> impl Fn(&Message) -> Reaction + Clone + Send + 'static {
    move |request| match request.header("last-event-id") {
        None => end(UNFRAMED.to_owned() + &events(1, 3)),
        Some(last) => {
            assert_eq!(last, "3");
            Reaction::Raw(UNFRAMED.to_owned() + &events(4, 6))
        }
    }
}

/// Guards against an unframed stream that is taken for broken off, or for a whole one that is
/// followed by bytes of it, because it ends with its connection.
#[test]
fn whole_streams_are_complete() {
    let model = Engine::start("i-1", |_| {
        Reaction::Raw(UNFRAMED.to_owned() + &events(1, 40))
    });
    let (_store, gateway) = start(&[(&model, "model", "fd-a")]);
    let mut caller = Caller::connect(&gateway);
    for number in 1..=3 {
        let answer = caller.call("/stream/x", &format!("s{number}"));
        assert_eq!(answer.text(), events(1, 40));
        assert!(!is_broken(&answer));
        assert_eq!(model.request_count(), number);
    }
    assert!(caller.0.buffer().is_empty());
}

/// Guards against a missing, repeated or partial event after an unframed stream was broken off.
#[test]
fn broken_streams_resume_at_the_next_event() {
    for (number, end) in BREAKS.into_iter().enumerate() {
        let [one, two] = two_engines(breaks_after_3(end));
        let (_store, gateway) = start(&[(&one, "model", "fd-a"), (&two, "model", "fd-b")]);
        let mut caller = Caller::connect(&gateway);
        let answer = caller.call("/stream/x", "s1");
        assert_eq!(answer.text(), events(1, 6), "break {number}");
        assert!(!is_broken(&answer), "break {number}");
        assert_eq!((one.request_count(), two.request_count()), (1, 1));
    }
}

/// Guards against a stream that is taken for complete because its last bytes arrived in order. The
/// stream is cut at each byte of an event, with each way to frame a response.
#[test]
fn streams_cut_inside_an_event_are_broken() {
    let framings: [fn(String) -> String; 3] = [
        |text| UNFRAMED.to_owned() + &text,
        |text| {
            let length = format!("\r\ncontent-length: {}\r\n\r\n", text.len());
            UNFRAMED.replace("\r\n\r\n", &length) + &text
        },
        |text| {
            let chunked = "\r\ntransfer-encoding: chunked\r\n\r\n";
            let head = UNFRAMED.replace("\r\n\r\n", chunked);
            format!("{head}{:x}\r\n{text}\r\n0\r\n\r\n", text.len())
        },
    ];
    for (number, framed) in framings.into_iter().enumerate() {
        for cut in 1..event(4).len() {
            let script = move |request: &Message| match request.header("last-event-id") {
                None => Reaction::Raw(framed(events(1, 3) + &event(4)[..cut])),
                Some(_) => Reaction::Raw(framed(events(4, 6))),
            };
            let [one, two] = two_engines(script);
            let (_store, gateway) = start(&[(&one, "model", "fd-a"), (&two, "model", "fd-b")]);
            let answer = Caller::connect(&gateway).call("/stream/x", "s1");
            assert_eq!(answer.text(), events(1, 6), "framing {number} cut {cut}");
            assert!(!is_broken(&answer), "framing {number} cut {cut}");
            let runs = (one.request_count(), two.request_count());
            assert_eq!(runs, (1, 1), "framing {number} cut {cut}");
        }
    }
}

/// Guards against a broken stream that looks complete to the caller, or is followed by another
/// response, although it could be resumed nowhere or must not be.
#[test]
fn broken_streams_without_a_rest_stay_broken() {
    for (number, end) in BREAKS.into_iter().enumerate() {
        for may_resume in [true, false] {
            let only = Engine::start("i-1", move |request| {
                match request.header("last-event-id") {
                    None => end(UNFRAMED.to_owned() + &events(1, 3)),
                    Some(_) => Reaction::Close,
                }
            });
            let mut config = config(3);
            config["routes"][3]["stream-resume"] = json!(may_resume);
            let (_store, gateway) =
                start_gateway(config, &registrations(&[(&only, "model", "fd-a")]));
            let mut caller = Caller::connect(&gateway);
            caller.send("/stream/x", "s1");
            caller.send("/stream/x", "s2");
            let answer = Message::read(&mut caller.0).unwrap();
            assert_eq!(answer.text(), events(1, 3), "break {number}");
            assert!(is_broken(&answer), "break {number} looks complete");
            assert_eq!(caller.rest(), b"", "break {number}");
            if !may_resume {
                assert_eq!(only.request_count(), 1, "break {number}");
            }
        }
    }
}

/// Guards against a reset response that is taken for whole because the gateway was still sending the
/// request, so that the error of the reset went to the send and the next read saw the end.
#[test]
fn a_reset_while_the_request_is_sent_is_not_an_end() {
    // More than the buffers between the gateway and the engine hold.
    const REQUEST_BYTES: usize = 8_000_000;
    let engine = SteppedEngine::start();
    rustix::net::sockopt::set_socket_recv_buffer_size(&engine.0, 4096).unwrap();
    let mut config = config(3);
    config["limits"]["max-body-bytes"] = json!(REQUEST_BYTES);
    let (_store, gateway) = start_gateway(config, &[("i-1", engine.registration())]);
    for number in 0..5 {
        let id = format!("r{number}");
        let text = request(
            "POST",
            "/once/x",
            &stream_headers(&id),
            &"b".repeat(REQUEST_BYTES),
        );
        let address = gateway.process.address.clone();
        let caller = std::thread::spawn(move || exchange(&address, &text).unwrap());
        let mut stream = engine.accept();
        let mut reader = BufReader::with_capacity(64, &stream);
        assert!(reader.by_ref().lines().any(|line| line.unwrap().is_empty()));
        let answer = UNFRAMED.replace("ID", &id) + "a part";
        stream.write_all(answer.as_bytes()).unwrap();
        // The gateway has read the part, and waits for more of it and to send more.
        std::thread::sleep(Duration::from_millis(100));
        reset(&stream);
        drop(stream);
        let answer = caller.join().unwrap();
        assert_eq!((answer.status(), is_broken(&answer)), (502, false));
    }
}

/// Guards against events that never reach the caller although they arrived in order, because the
/// stream breaks off before they are sent.
#[test]
fn events_before_a_break_are_delivered() {
    let only = Engine::start("i-1", |_| {
        // Event 9 breaks the order, and arrives together with the others.
        Reaction::Raw(UNFRAMED.to_owned() + &events(1, 3) + &event(9))
    });
    let mut config = config(3);
    config["routes"][3]["stream-resume"] = json!(false);
    let (_store, gateway) = start_gateway(config, &registrations(&[(&only, "model", "fd-a")]));
    for number in 0..3 {
        let mut caller = Caller::connect(&gateway);
        let answer = caller.call("/stream/x", &format!("s{number}"));
        assert_eq!(answer.text(), events(1, 3));
        assert!(is_broken(&answer));
        assert_eq!(caller.rest(), b"");
    }
}

/// Guards against a truncated response that looks whole to a caller of HTTP/1.0, which is sent no
/// chunks and takes the end of the connection for the end of the response.
#[test]
fn truncated_responses_are_reset_for_old_callers() {
    let engine = SteppedEngine::start();
    let (_store, gateway) = start_gateway(config(3), &[("i-1", engine.registration())]);
    for is_reset in [false, true] {
        let mut caller = TcpStream::connect(&gateway.process.address).unwrap();
        caller
            .set_read_timeout(Some(support::TEST_TIMEOUT))
            .unwrap();
        let text = request("POST", "/once/x", &stream_headers("r1"), "b");
        let text = text.replace("HTTP/1.1", "HTTP/1.0");
        caller.write_all(text.as_bytes()).unwrap();
        let mut stream = engine.answer();
        stream.write_all(&[b'1'; 20_000]).unwrap();
        caller.read_exact(&mut [0; 20_000]).unwrap();
        if is_reset {
            reset(&stream);
        }
        drop(stream);
        let end = caller.read_to_end(&mut Vec::new());
        match is_reset {
            true => assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset),
            false => assert!(end.unwrap() > 0),
        }
    }
}
