//! The decisions of claim ranges beside a store that comes back from an older copy, with time moved
//! by hand and a store in memory.

mod support;

use std::time::Duration;

use bilberrypost::claim::log::{Log, Owner};
use bilberrypost::claim::range::{Answer, CLAIM_WRITE_INTERVAL, Range};
use bilberrypost::claim::record::{ACCEPTED_KEY_LEAD_MAX, Claim, Key, Outcome, Report};
use bilberrypost::clock::{Clock, Manual};
use bilberrypost::store::fake::{Fake, Fault};
use bilberrypost::util::unix_ms;
use support::poll::poll_ready;

type TestRange = Range<Fake, Manual, u64>;

/// The owners of one range, their store and the clock that they share.
#[derive(Default)]
struct Fixture {
    clock: Manual,
    store: Fake,
}

impl Fixture {
    fn owner(&self, name: &str) -> TestRange {
        let owner = Owner {
            name: name.into(),
            incarnation: 1,
        };
        let log = Log::new(self.store.for_other_host(), 0, owner);
        Range::new(self.clock.clone(), log)
    }

    fn owner_in_charge(&self, name: &str) -> TestRange {
        let mut range = self.owner(name);
        poll_ready(range.take_over()).unwrap();
        range
    }

    /// Returns a key issued now; the same one until the clock moves.
    fn key(&self) -> Key {
        let issued = u128::from(unix_ms(self.clock.wall()));
        Key::parse(&format!("{:032x}", (issued << 80) | (7 << 76) | (2 << 62))).unwrap()
    }

    /// Sends a claim and returns its answer, if there is one after a write.
    fn ask(&self, range: &mut TestRange, key: Key, nonce: u64) -> Option<Answer> {
        let claim = Claim {
            key,
            body: [1; 16],
            caller: 1,
            nonce,
            claimant: "claimant".into(),
            limit_ms: 60_000,
        };
        range.claim(claim, nonce, self.clock.now() + Duration::from_millis(500));
        self.answer(range, nonce)
    }

    fn report_not_run(&self, range: &mut TestRange, key: Key, nonce: u64) -> Option<Answer> {
        let outcome = Outcome::NotRun;
        let report = Report {
            key,
            nonce,
            outcome,
        };
        range.report(report, nonce);
        self.answer(range, nonce)
    }

    fn answer(&self, range: &mut TestRange, nonce: u64) -> Option<Answer> {
        let mut answers = range.take_answers();
        self.clock.advance(CLAIM_WRITE_INTERVAL);
        let _ = poll_ready(range.flush());
        answers.extend(range.take_answers());
        let mut matching = answers.into_iter().filter(|(waiter, _)| *waiter == nonce);
        matching.next().map(|(_, answer)| answer)
    }
}

const UNKNOWN: Option<Answer> = Some(Answer::Recorded(Outcome::Unknown));

/// Guards against a call that runs twice because its claim was lost with the store's later history.
#[test]
fn a_claim_lost_with_the_copy_is_not_granted_again() {
    let fixture = Fixture::default();
    let mut former = fixture.owner_in_charge("former");
    fixture.store.take_copy();
    let key = fixture.key();
    assert_eq!(fixture.ask(&mut former, key, 1), Some(Answer::Granted));
    fixture.store.restore_copy();
    let mut owner = fixture.owner_in_charge("owner");
    assert_eq!(fixture.ask(&mut owner, key, 2), UNKNOWN);
    let mut later = fixture.owner_in_charge("later");
    assert_eq!(fixture.ask(&mut later, key, 3), UNKNOWN);
}

/// Guards against a call that runs twice because the whole log of its range was lost.
#[test]
fn a_claim_lost_with_the_whole_log_is_not_granted_again() {
    let fixture = Fixture::default();
    fixture.store.take_copy();
    let mut former = fixture.owner_in_charge("former");
    let key = fixture.key();
    assert_eq!(fixture.ask(&mut former, key, 1), Some(Answer::Granted));
    fixture.store.restore_copy();
    let mut owner = fixture.owner_in_charge("owner");
    assert_eq!(fixture.ask(&mut owner, key, 2), UNKNOWN);
}

/// Guards against a call that runs twice because the copy shows its key as free, and the claim that
/// took it since is lost.
#[test]
fn a_key_that_was_free_in_the_copy_is_not_granted_again() {
    let fixture = Fixture::default();
    let mut former = fixture.owner_in_charge("former");
    let key = fixture.key();
    assert_eq!(fixture.ask(&mut former, key, 1), Some(Answer::Granted));
    let noted = fixture.report_not_run(&mut former, key, 1);
    assert_eq!(noted, Some(Answer::Noted));
    fixture.store.take_copy();
    assert_eq!(fixture.ask(&mut former, key, 2), Some(Answer::Granted));
    fixture.store.restore_copy();
    let mut owner = fixture.owner_in_charge("owner");
    assert_eq!(fixture.ask(&mut owner, key, 3), UNKNOWN);
}

/// Guards against a call that runs twice because the copy shows an earlier claim as granted that
/// was given up since in favour of another one.
#[test]
fn a_claim_of_the_copy_that_was_given_up_since_is_not_granted() {
    let fixture = Fixture::default();
    let mut former = fixture.owner_in_charge("former");
    let key = fixture.key();
    assert_eq!(fixture.ask(&mut former, key, 1), Some(Answer::Granted));
    fixture.store.take_copy();
    let noted = fixture.report_not_run(&mut former, key, 1);
    assert_eq!(noted, Some(Answer::Noted));
    assert_eq!(fixture.ask(&mut former, key, 2), Some(Answer::Granted));
    fixture.store.restore_copy();
    let mut owner = fixture.owner_in_charge("owner");
    assert_eq!(fixture.ask(&mut owner, key, 1), UNKNOWN);
}

/// Guards against a former owner whose write is executed because the store gives out its version
/// again.
#[test]
fn a_former_owner_grants_nothing_in_the_restored_store() {
    let fixture = Fixture::default();
    let mut former = fixture.owner_in_charge("former");
    fixture.store.take_copy();
    let mut owner = fixture.owner_in_charge("owner");
    let key = fixture.key();
    assert_eq!(fixture.ask(&mut owner, key, 1), Some(Answer::Granted));
    fixture.store.restore_copy();
    let answer = fixture.ask(&mut former, key, 2);
    assert_ne!(answer, Some(Answer::Granted));
}

/// Guards against a write of the earlier history that arrives later and is executed because its
/// condition holds again.
#[test]
fn a_delayed_write_of_the_earlier_history_is_not_executed() {
    let fixture = Fixture::default();
    let mut former = fixture.owner_in_charge("former");
    fixture.store.take_copy();
    let key = fixture.key();
    fixture.store.script_faults([Some(Fault::Delayed)]);
    assert_eq!(fixture.ask(&mut former, key, 1), None);
    fixture.store.restore_copy();
    fixture.store.deliver_delayed_write();
    let owner = fixture.owner_in_charge("owner");
    assert_eq!(owner.key_count(), 0);
}

/// Guards against an owner that stops for good because its next write waits for a version that the
/// store no longer has.
#[test]
fn an_owner_continues_in_the_restored_store() {
    let fixture = Fixture::default();
    let mut owner = fixture.owner_in_charge("owner");
    fixture.store.take_copy();
    for nonce in 1..=3 {
        let answer = fixture.ask(&mut owner, fixture.key(), nonce);
        assert_eq!(answer, Some(Answer::Granted));
    }
    fixture.store.restore_copy();
    let answer = fixture.ask(&mut owner, fixture.key(), 4);
    assert_eq!(answer, Some(Answer::Moved));
    poll_ready(owner.take_over()).unwrap();
    fixture
        .clock
        .advance(ACCEPTED_KEY_LEAD_MAX + CLAIM_WRITE_INTERVAL);
    let answer = fixture.ask(&mut owner, fixture.key(), 5);
    assert_eq!(answer, Some(Answer::Granted));
}

/// Guards against keys that are refused for good after a return: those issued later than any that
/// can be lost are granted, also by later owners.
#[test]
fn keys_issued_after_the_return_are_granted() {
    let fixture = Fixture::default();
    fixture.store.take_copy();
    fixture.owner_in_charge("former");
    fixture.store.restore_copy();
    let mut owner = fixture.owner_in_charge("owner");
    fixture
        .clock
        .advance(ACCEPTED_KEY_LEAD_MAX + CLAIM_WRITE_INTERVAL);
    let key = fixture.key();
    assert_eq!(fixture.ask(&mut owner, key, 1), Some(Answer::Granted));
    let mut later = fixture.owner_in_charge("later");
    assert_eq!(fixture.ask(&mut later, key, 2), None);
    let key = fixture.key();
    assert_eq!(fixture.ask(&mut later, key, 3), Some(Answer::Granted));
}
