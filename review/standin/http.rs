//! Minimal HTTP/1.1 messages over plain sockets.

use std::io::{self, BufRead, Write};

/// A request or the head and body of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

/// Reads the first line and the headers.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Message> {
    let mut message = Message {
        first_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(message);
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let size = read_line(reader)?;
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a whole message.
pub fn read_message<R: BufRead>(reader: &mut R) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes a response with a length.
pub fn write_response<W: Write>(
    writer: &mut W,
    status: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    writer.write_all(text.as_bytes())
}
