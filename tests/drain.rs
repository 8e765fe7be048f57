//! Which requests a leaving host passes on, without sockets.

use std::time::{Duration, Instant};

use bilberrypost::gateway::drain::{AnswerTimes, Drain};

const LAG: Duration = Duration::from_millis(2300);
const LIMIT: Duration = Duration::from_millis(7500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that arrive late in a drain, are passed on and are then cut, and against
/// refusals of requests that end in time.
#[test]
fn late_requests_begin_only_if_they_end_in_time() {
    let began_at = Instant::now();
    let drain = Drain::new(began_at, LAG, LIMIT);
    // Time since the request to stop, expected time and time until the deadline in ms.
    let cases = [
        (0, 150, 20_000, true),
        (2299, 5000, 20_000, true),
        (2299, 6000, 20_000, false),
        (2300, 5000, 20_000, false),
        (2300, 5000, 5000, true),
        (2300, 1700, 20_000, true),
        (2300, 1800, 20_000, false),
        (6400, 1500, 1000, true),
        (6400, 1500, 1200, false),
        (6400, 5, 20_000, true),
        (7500, 0, 20_000, false),
    ];
    for (after, expected, deadline, may_begin) in cases {
        let now = began_at + ms(after);
        let result = drain.may_begin(now, ms(expected), now + ms(deadline));
        assert_eq!(result, may_begin, "{after} {expected} {deadline}");
    }
    assert_eq!(drain.retry_after(began_at + ms(300)), ms(2000));
    assert_eq!(drain.retry_after(began_at + ms(6000)), ms(0));
}

/// Guards against a slow service that counts as fast because its last request was, or as slow for
/// good because one request was.
#[test]
fn the_slowest_recent_request_counts() {
    let began_at = Instant::now();
    let mut times = AnswerTimes::default();
    assert_eq!(times.slowest("app", began_at), None);
    times.record(&"app".into(), ms(1500), began_at);
    times.record(&"app".into(), ms(5), began_at + ms(100));
    times.record(&"other".into(), ms(9), began_at + ms(100));
    assert_eq!(times.slowest("app", began_at + ms(9000)), Some(ms(1500)));
    times.record(&"app".into(), ms(7), began_at + ms(11_000));
    assert_eq!(times.slowest("app", began_at + ms(12_000)), Some(ms(1500)));
    assert_eq!(times.slowest("other", began_at + ms(12_000)), Some(ms(9)));
    times.record(&"app".into(), ms(8), began_at + ms(22_000));
    assert_eq!(times.slowest("app", began_at + ms(22_000)), Some(ms(8)));
    assert_eq!(times.slowest("app", began_at + ms(60_000)), None);
}
