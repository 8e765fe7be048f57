//! Faults that a prompt asks for.
//!
//! `[fault die@5]` ends the process after 5 tokens. The kinds are `die`, `stall` (no more tokens),
//! `silent` (tokens are produced but not sent), `foreign` (frames of another request) and `late` (the
//! first frame waits for as many milliseconds). `die@5/1` limits the fault to attempt 1.

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    Die(u32),
    Stall(u32),
    Silent(u32),
    Foreign(u32),
    Late(u32),
}

/// Reads the faults that a prompt asks for in an attempt.
pub(super) fn faults(prompt: &str, attempt: u32) -> Vec<Fault> {
    let mut found = Vec::new();
    for part in prompt.split("[fault ").skip(1) {
        let Some((text, _)) = part.split_once(']') else {
            continue;
        };
        let (text, only) = text.split_once('/').unwrap_or((text, ""));
        if !only.is_empty() && only.parse() != Ok(attempt) {
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
mod tests {
    use super::*;

    /// Guards against faults that hit attempts they were not meant for.
    #[test]
    fn faults_of_an_attempt() {
        let prompt = "a [fault die@5/1] b [fault late@20]";
        assert_eq!(faults(prompt, 1), [Fault::Die(5), Fault::Late(20)]);
        assert_eq!(faults(prompt, 2), [Fault::Late(20)]);
    }
}
