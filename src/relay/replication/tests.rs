use super::*;

const LIFETIME: Duration = Duration::from_secs(4);

/// Guards against a stream that runs on without a replica, against a copy that expires while its
/// stream runs, and against a call to the engine with each event.
#[test]
fn a_run_is_copied_when_it_has_no_replica_and_before_its_copy_expires() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut schedule = Schedule::default();
    assert!(!schedule.is_due(true, LIFETIME, at(0)));
    assert!(schedule.is_due(false, LIFETIME, at(0)));
    schedule.record_no_room(at(0));
    assert!(!schedule.is_due(false, LIFETIME, at(100)));
    assert!(schedule.is_due(false, LIFETIME, at(500)));
    schedule.begin(at(500));
    assert!(!schedule.is_due(false, LIFETIME, at(2000)));
    schedule.end(false, at(2000));
    assert!(!schedule.is_due(false, LIFETIME, at(2300)));
    assert!(schedule.is_due(false, LIFETIME, at(2400)));
    schedule.begin(at(2400));
    schedule.end(true, at(2500));
    assert!(!schedule.is_due(true, LIFETIME, at(4000)));
    assert!(schedule.is_due(true, LIFETIME, at(5000)));
    assert!(schedule.is_due(false, LIFETIME, at(2900)));
}
