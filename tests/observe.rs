//! Log lines about the process itself: late timers and revisions sent to followers.

use std::time::Duration;

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::gateway::delivery::Delivery;
use bilberrypost::gateway::lateness::Lateness;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a log that fills while the process is short of processor time.
#[test]
fn late_timers_are_logged_once_a_second_with_the_longest_delay() {
    let clock = Manual::default();
    let mut lateness = Lateness::default();
    assert_eq!(lateness.record(ms(5), clock.now()), None);
    assert_eq!(lateness.record(ms(40), clock.now()), Some(ms(40)));
    for delay in [60, 90, 70] {
        clock.advance(ms(300));
        assert_eq!(lateness.record(ms(delay), clock.now()), None);
    }
    clock.advance(ms(300));
    assert_eq!(lateness.record(ms(0), clock.now()), Some(ms(90)));
    clock.advance(ms(1500));
    assert_eq!(lateness.record(ms(0), clock.now()), None);
}

/// Guards against a line for each follower, and against a revision that is never reported.
#[test]
fn a_revision_is_reported_once_after_its_last_send() {
    let clock = Manual::default();
    let mut delivery = Delivery::default();
    let first_at = clock.now();
    for is_sent in [true, true, false] {
        assert_eq!(delivery.record(7, is_sent, 100, clock.now()), None);
        clock.advance(ms(200));
    }
    assert_eq!(delivery.take_delivered(clock.now()), None);
    clock.advance(ms(1000));
    let summary = delivery.take_delivered(clock.now()).unwrap();
    assert_eq!(
        (summary.version, summary.followers, summary.referred),
        (7, 2, 1)
    );
    assert_eq!(summary.bytes, 300);
    assert_eq!(summary.first_at, first_at);
    assert_eq!(summary.last_at, first_at + ms(400));
    assert_eq!(delivery.take_delivered(clock.now()), None);
    assert_eq!(delivery.record(8, true, 1, clock.now()), None);
    let ended = delivery.record(9, true, 1, clock.now()).unwrap();
    assert_eq!(ended.version, 8);
}
