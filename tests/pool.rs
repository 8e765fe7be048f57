//! Pooled connections to a server that sends a second copy of a response.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use bilberrypost::http::client::post_json;
use bilberrypost::http::pool::Pool;

/// When the copy of the first response is sent.
#[derive(Clone, Copy, Debug)]
enum Copy {
    /// In the same write as the response.
    AtOnce,
    /// A part of its head in the same write, the rest later.
    InParts,
    /// While the connection is idle.
    Later,
}

const LATER: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(20);

fn response(text: &str) -> String {
    format!(
        "HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n{text}",
        text.len()
    )
}

/// Answers each request with its path; the response to `/first` is sent twice.
fn serve(stream: TcpStream, copy: Copy) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        let path = line.split(' ').nth(1).unwrap().to_owned();
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).unwrap();
            let header = header.to_lowercase();
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            if header.trim().is_empty() {
                break;
            }
        }
        std::io::Read::read_exact(&mut reader, &mut vec![0; length]).unwrap();
        let text = response(&path);
        let first = match (path.as_str(), copy) {
            ("/first", Copy::AtOnce) => text.repeat(2),
            ("/first", Copy::InParts) => text.clone() + &text[..10],
            _ => text.clone(),
        };
        if stream.write_all(first.as_bytes()).is_err() {
            return;
        }
        let late = match (path.as_str(), copy) {
            ("/first", Copy::InParts) => &text[10..],
            ("/first", Copy::Later) => &text[..],
            _ => continue,
        };
        std::thread::sleep(LATER / 2);
        let _ = stream.write_all(late.as_bytes());
    }
}

/// Guards against a second copy of a response that the next caller of the connection gets as its
/// own response.
#[test]
fn a_second_copy_is_not_taken_for_the_next_response() {
    for copy in [Copy::AtOnce, Copy::InParts, Copy::Later] {
        for pause in [Duration::ZERO, LATER] {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap().to_string();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    std::thread::spawn(move || serve(stream, copy));
                }
            });
            // With a copy that is under way during the next call, no client can tell which response
            // belongs to which request; that case is covered where responses carry an id.
            let is_ambiguous = !matches!(copy, Copy::AtOnce) && pause.is_zero();
            if is_ambiguous {
                continue;
            }
            compio::runtime::Runtime::new().unwrap().block_on(async {
                let pool = Pool::default();
                let first = post_json(&address, "/first", &1);
                let (_, body) = pool.call(&address, first, TIMEOUT).await.unwrap();
                assert_eq!(&body[..], b"/first");
                compio::time::sleep(pause).await;
                for path in ["/second", "/third"] {
                    let request = post_json(&address, path, &1);
                    // An error is reported to the caller; a wrong response is not noticed.
                    if let Ok((_, body)) = pool.call(&address, request, TIMEOUT).await {
                        assert_eq!(&body[..], path.as_bytes(), "{copy:?} after {pause:?}");
                    }
                }
            });
        }
    }
}

/// Guards against a response without end that fills the memory of the process that called.
#[test]
fn an_endless_response_ends_the_call() {
    const TIMEOUT: Duration = Duration::from_secs(60);
    for framing in ["", "transfer-encoding: chunked\r\n"] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let request = BufReader::new(stream.try_clone().unwrap());
            assert!(request.lines().any(|line| line.unwrap().is_empty()));
            let head = format!("HTTP/1.1 200 x\r\n{framing}\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            let chunk = format!("10000\r\n{}\r\n", "x".repeat(65_536));
            while stream.write_all(chunk.as_bytes()).is_ok() {}
        });
        let result = compio::runtime::Runtime::new().unwrap().block_on(async {
            let request = post_json(&address, "/first", &1);
            Pool::default().call(&address, request, TIMEOUT).await
        });
        let cause = result.unwrap_err().to_string();
        assert!(cause.contains("length limit exceeded"), "{cause}");
        server.join().unwrap();
    }
}
