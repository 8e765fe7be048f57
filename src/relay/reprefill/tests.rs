use super::*;

/// Guards against a prompt that is prefilled once more without being counted, or counted as another
/// cause, when an engine is lost before or after its first event.
#[test]
fn attempts_after_a_loss_are_counted_by_cause() {
    use Outcome::{Answered, MayHaveRun, NotRun};
    type Attempts<'a> = &'a [(bool, Outcome)];
    let cases: [(bool, bool, Attempts<'_>, Option<Cause>); 6] = [
        (false, true, &[(false, Answered)], Some(Cause::BeforeOutput)),
        (true, false, &[(false, Answered)], Some(Cause::NoReplica)),
        (true, true, &[(true, Answered)], None),
        (
            true,
            true,
            &[(true, NotRun), (false, Answered)],
            Some(Cause::ReplicaRefused),
        ),
        (
            true,
            true,
            &[(true, MayHaveRun), (false, Answered)],
            Some(Cause::ReplicaLost),
        ),
        (
            true,
            false,
            &[(false, NotRun), (false, Answered)],
            Some(Cause::NoReplica),
        ),
    ];
    for (has_output, has_replica, attempts, expected) in cases {
        let mut tracker = Tracker::default();
        assert_eq!(tracker.record_attempt(false, Answered), None);
        tracker.record_broken(has_output, has_replica);
        let counted: Vec<_> = attempts
            .iter()
            .filter_map(|(is_resumed, outcome)| tracker.record_attempt(*is_resumed, *outcome))
            .collect();
        assert_eq!(counted, Vec::from_iter(expected), "{attempts:?}");
    }
}
