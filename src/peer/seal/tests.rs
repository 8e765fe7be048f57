use super::*;
use crate::config::host::Secret;
use crate::route::evidence::Evidence;
use crate::sched::demand::Counts;

const NOW_MS: u64 = 1_000_000;

fn keys(key: &str, previous_key: Option<&str>) -> Option<Keys> {
    Some(Keys::new(Secret::new(key), previous_key.map(Secret::new)))
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7200))
}

fn report(number: u64, is_question: bool) -> Report {
    Report {
        number,
        process: 1,
        domain: "fd-a".into(),
        revision: 3,
        is_leaving: false,
        is_question,
        hosts: BTreeMap::new(),
        usages: Vec::new(),
        retries: Vec::new(),
        counts: Counts::default(),
        sightings: Vec::new(),
        rollouts: None,
        losses: Vec::new(),
        removals: Vec::new(),
        evidence: Evidence::default(),
        streams: Vec::new(),
        summaries: Vec::new(),
    }
}

fn sealed(keys: &Option<Keys>, report: &Report) -> Vec<u8> {
    let mut bytes = report.encode().unwrap();
    if let Some(keys) = keys {
        seal(keys, address(1), &mut bytes);
    }
    bytes
}

/// Guards against a datagram that no host of the fleet sent and that is used, as it has no seal, that
/// of another key, of another sender, or of other bytes.
#[test]
fn forged_datagrams_are_refused() {
    let own = keys("one", None);
    let datagram = sealed(&own, &report(NOW_MS, false));
    let refused = |from, bytes: &[u8]| {
        let result = Verifier::new(own.clone()).open(address(from), bytes, NOW_MS);
        assert_eq!(result, Err(Error::Forged), "{from} {bytes:?}");
    };
    for length in 0..datagram.len() {
        refused(1, &datagram[..length]);
    }
    for index in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[index] ^= 1;
        refused(1, &changed);
    }
    refused(2, &datagram);
    refused(1, &sealed(&None, &report(NOW_MS, false)));
    refused(
        1,
        &sealed(&keys("two", Some("one")), &report(NOW_MS, false)),
    );
    let opened = Verifier::new(own.clone()).open(address(1), &datagram, NOW_MS);
    assert_eq!(opened, Ok(report(NOW_MS, false)));
}

/// Guards against a recorded datagram that is used again, and against a sound one that is refused:
/// numbers may stay ahead of a clock that was set back, and a question repeats a report's number.
#[test]
fn replayed_datagrams_are_refused() {
    let own = keys("one", None);
    let mut verifier = Verifier::new(own.clone());
    let mut open = |number, is_question, now_ms| {
        let datagram = sealed(&own, &report(number, is_question));
        verifier.open(address(1), &datagram, now_ms).is_ok()
    };
    assert!(!open(NOW_MS - MAX_DIFFERENCE_MS - 1, false, NOW_MS));
    assert!(open(NOW_MS, false, NOW_MS));
    assert!(!open(NOW_MS, false, NOW_MS), "the last report again");
    assert!(open(NOW_MS, true, NOW_MS));
    assert!(!open(NOW_MS, true, NOW_MS), "the last question again");
    assert!(!open(NOW_MS - 1, true, NOW_MS), "an older question");
    assert!(open(NOW_MS + 1, false, NOW_MS - 2 * MAX_DIFFERENCE_MS));
}

/// Guards against hosts that refuse each other's reports while a key is rotated, or while some have none.
#[test]
fn hosts_in_a_rotation_hear_each_other() {
    let steps = [
        (keys("one", None), keys("one", Some("two"))),
        (keys("one", Some("two")), keys("two", Some("one"))),
        (keys("two", Some("one")), keys("two", None)),
    ];
    for (before, after) in steps {
        for (sender, receiver) in [(&before, &after), (&after, &before)] {
            let datagram = sealed(sender, &report(NOW_MS, false));
            let opened = Verifier::new(receiver.clone()).open(address(1), &datagram, NOW_MS);
            assert_eq!(opened, Ok(report(NOW_MS, false)));
        }
    }
    let datagram = sealed(&keys("one", None), &report(NOW_MS, false));
    let opened = Verifier::new(None).open(address(1), &datagram, NOW_MS);
    assert_eq!(opened, Ok(report(NOW_MS, false)));
}
