use super::*;

/// Guards against a prompt that is never refused, that is refused forever, or against a table
/// that grows without bound.
#[test]
fn counts_by_prompt_and_expires() {
    let mut deaths = Deaths::default();
    let now = Instant::now();
    for _ in 0..2 {
        deaths.record(1, now);
    }
    assert!(deaths.is_suspect(1, now) && !deaths.is_killer(1, now));
    deaths.record(1, now);
    assert!(deaths.is_killer(1, now) && !deaths.is_killer(2, now));
    assert!(!deaths.is_killer(1, now + COUNT_LIFETIME));
    deaths.clear(1);
    assert!(!deaths.is_killer(1, now));
    for prompt_digest in 0..2 * PROMPTS_MAX as u64 {
        deaths.record(prompt_digest, now + Duration::from_millis(prompt_digest));
    }
    assert_eq!(deaths.0.len(), PROMPTS_MAX);
}
