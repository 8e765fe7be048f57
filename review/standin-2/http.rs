//! A small HTTP/1.1 server and client for the stand-ins. One thread serves one connection.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Head and body of a message.
pub struct Message {
    /// First line.
    pub first: String,
    /// Headers by lower-case name; the last one of a name counts.
    pub headers: BTreeMap<String, String>,
    /// Whole body; empty for answers that are read as a stream.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of an answer, 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read beyond the last message.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    /// Opens a connection.
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?))
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        self.rest.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        };
        let head: Vec<u8> = self.rest.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some(Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        })
    }

    /// Reads a message with its body.
    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            while let Some(chunk) = self.read_chunk() {
                if chunk.is_empty() {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.read_bytes(length)?;
        }
        Some(message)
    }

    fn read_bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill().ok()? == 0 {
                return None;
            }
        }
        Some(self.rest.drain(..length).collect())
    }

    /// Reads a chunk, an empty one at the end of the body; `None` if the connection breaks off.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let end = loop {
            if let Some(at) = self.rest.windows(2).position(|part| part == b"\r\n") {
                break at;
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        };
        let line: Vec<u8> = self.rest.drain(..end + 2).collect();
        let size = String::from_utf8_lossy(&line[..end]).into_owned();
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        let mut chunk = self.read_bytes(size + 2)?;
        chunk.truncate(size);
        Some(chunk)
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves connections in threads of their own, as long as the process lives.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}

/// Returns an answer with a body of a known length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
