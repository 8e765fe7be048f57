//! Faults that a prompt requests by markers such as `[fault KIND@VALUE/ATTEMPT]`.
//!
//! `VALUE` is the number of tokens of the attempt after which the fault starts; for `late` it is a
//! time in milliseconds. Without `@VALUE` it is 0. With `/ATTEMPT` the fault affects only that
//! attempt. `[fault die@5/1]` ends the process after 5 tokens of attempt 1.

/// A fault of one attempt, with its `VALUE`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// Ends the process.
    Die(u32),
    /// Produces no more tokens and keeps the stream open.
    Stall(u32),
    /// Produces tokens without sending them.
    Silent(u32),
    /// Sends frames with the id of another request.
    Foreign(u32),
    /// Sends nothing until the time in milliseconds has passed since the request arrived.
    Late(u32),
}

/// Parses the faults that a prompt requests for an attempt. Unknown kinds are ignored.
pub(super) fn parse(prompt: &str, attempt: u32) -> Vec<Fault> {
    let mut found = Vec::new();
    for rest in prompt.split("[fault ").skip(1) {
        let Some((text, _)) = rest.split_once(']') else {
            continue;
        };
        let (text, only_attempt) = text.split_once('/').unwrap_or((text, ""));
        if !only_attempt.is_empty() && only_attempt.parse() != Ok(attempt) {
            continue;
        }
        let (kind, value) = text.split_once('@').unwrap_or((text, "0"));
        let value = value.parse().unwrap_or(0);
        found.extend(match kind {
            "die" => Some(Fault::Die(value)),
            "stall" => Some(Fault::Stall(value)),
            "silent" => Some(Fault::Silent(value)),
            "foreign" => Some(Fault::Foreign(value)),
            "late" => Some(Fault::Late(value)),
            _ => None,
        });
    }
    found
}

#[cfg(test)]
mod tests;
