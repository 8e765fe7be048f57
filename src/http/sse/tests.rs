use super::*;

/// Guards against losing or merging events whose bytes are split between two chunks.
#[test]
fn parses_events_split_at_any_byte() {
    let text = format!(
        "{}: comment\n\n{}",
        encode("", "7", "a\nb"),
        encode("error", "", "c")
    );
    for split in 0..text.len() {
        let mut parser = Parser::default();
        let mut events = Vec::new();
        for chunk in [&text.as_bytes()[..split], &text.as_bytes()[split..]] {
            parser.push(chunk).unwrap();
            events.extend(std::iter::from_fn(|| parser.next()));
        }
        assert_eq!(events.len(), 2, "split at {split}");
        assert_eq!(
            (events[0].id.as_str(), events[0].data.as_str()),
            ("7", "a\nb")
        );
        assert_eq!(
            (events[1].name.as_str(), events[1].data.as_str()),
            ("error", "c")
        );
    }
}
