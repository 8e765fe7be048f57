//! Explanation of a request from the logs of several hosts.

use bilberrypost::report::explain::{Line, explain};

/// Guards against a wrong order of the events of hosts whose clocks differ.
#[test]
fn clock_offsets_are_estimated_from_shared_events() {
    let a = "time_ms=1000 event=revision version=7\n\
             time_ms=1100 event=admitted request=r1 route=x\n\
             time_ms=1110 event=placed request=r1 engine=i-1 replica=none\n\
             time_ms=1200 event=attempt_failed request=r1 engine=i-1 fault=engine-lost\n\
             time_ms=1210 event=refused request=r1 reason=no-engine status=503 work=not-run";
    // The clock of host b is 5 s ahead.
    let b = "time_ms=6001 event=revision version=7\n\
             time_ms=6151 event=engine_lost engine=i-1 after_ms=130\n\
             time_ms=6152 event=engine_lost engine=i-9 after_ms=130";
    let lines: Vec<_> = [("a", a), ("b", b)]
        .iter()
        .flat_map(|(file, text)| text.lines().filter_map(|line| Line::parse(file, line)))
        .collect();
    let explanation = explain("r1", &lines).unwrap();
    let events: Vec<_> = explanation
        .lines
        .iter()
        .map(|(_, line)| (line.host.as_str(), line.value("event")))
        .collect();
    let expected = [
        ("a", "revision"),
        ("a", "admitted"),
        ("a", "placed"),
        ("b", "engine_lost"),
        ("a", "attempt_failed"),
        ("a", "refused"),
    ];
    assert_eq!(events, expected);
    let cause = "refused for no-engine with status 503, work not-run; \
                 attempts failed before: engine-lost";
    assert_eq!(explanation.cause, cause);
    assert!(explain("r2", &lines).is_none());
}
