//! Splits JSON text into the texts of its elements, without parsing them.
//!
//! A parser refuses a whole document for a part that it cannot hold, such as one that is nested too
//! deeply, a number out of range or text that is not UTF-8. This module reads brackets and quotes
//! only, so that each element can be parsed by itself. It counts levels and does not recurse.

/// Returns the elements of an array; `None` if `text` is not an array whose brackets and quotes are
/// closed.
pub(super) fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    split(text, b'[', b']')
}

/// Returns the value of a member of an object, the last one if there are several; `None` if there is
/// no such member, or `text` is not an object whose brackets and quotes are closed.
pub(super) fn member<'a>(text: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let members = split(text, b'{', b'}')?;
    members.into_iter().rev().find_map(|member| {
        let (key, value) = split_member(member)?;
        let key: String = serde_json::from_slice(key).ok()?;
        (key == name).then_some(value)
    })
}

fn split_member(member: &[u8]) -> Option<(&[u8], &[u8])> {
    let mut scanner = Scanner::default();
    let is_colon = |byte: &u8| scanner.is_outermost(*byte) && *byte == b':';
    let colon = member.iter().position(is_colon)?;
    Some((&member[..colon], &member[colon + 1..]))
}

/// Splits the text between an opening and a closing bracket at its outermost commas.
fn split(text: &[u8], open: u8, close: u8) -> Option<Vec<&[u8]>> {
    let text = text.trim_ascii();
    let inner = text.strip_prefix(&[open])?.strip_suffix(&[close])?;
    if inner.trim_ascii().is_empty() {
        return Some(Vec::new());
    }
    let mut scanner = Scanner::default();
    let mut elements = Vec::new();
    let mut start = 0;
    for (at, byte) in inner.iter().enumerate() {
        if scanner.is_outermost(*byte) && *byte == b',' {
            elements.push(&inner[start..at]);
            start = at + 1;
        }
        if scanner.is_unbalanced {
            return None;
        }
    }
    elements.push(&inner[start..]);
    scanner.is_closed().then_some(elements)
}

/// Tracks brackets and quotes while JSON text is read byte by byte.
#[derive(Debug, Default)]
struct Scanner {
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    // Whether a bracket was closed that had not been opened.
    is_unbalanced: bool,
}

impl Scanner {
    /// Reads a byte; returns whether it is outside of all strings and brackets.
    fn is_outermost(&mut self, byte: u8) -> bool {
        if self.is_in_string {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = true,
                b'"' => self.is_in_string = false,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'[' | b'{' => self.depth += 1,
            b']' | b'}' if self.depth == 0 => self.is_unbalanced = true,
            b']' | b'}' => self.depth -= 1,
            _ => return self.depth == 0,
        }
        false
    }

    fn is_closed(&self) -> bool {
        self.depth == 0 && !self.is_in_string && !self.is_unbalanced
    }
}
