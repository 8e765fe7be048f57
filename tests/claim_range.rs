//! The decisions of one claim range, with time moved by hand and a store in memory.

mod support;

use std::time::Duration;

use bilberrypost::claim::log::{Log, Owner};
use bilberrypost::claim::range::{Answer, CLAIM_WRITE_INTERVAL, Range};
use bilberrypost::claim::record::{CLAIM_TIMEOUT, Claim, Key, Outcome, Report, Response};
use bilberrypost::clock::{Clock, Manual};
use bilberrypost::member::view::Liveness;
use bilberrypost::store::fake::Fake;
use bilberrypost::util::unix_ms;
use support::poll::poll_ready;

/// Time for which a claim of these tests may wait for an answer.
const ANSWER_WAIT: Duration = Duration::from_millis(500);

type TestRange = Range<Fake, Manual, u64>;

/// The owners of one range and the clock that they share.
struct Fixture {
    clock: Manual,
    store: Fake,
}

impl Fixture {
    fn new() -> Self {
        Self {
            clock: Manual::default(),
            store: Fake::default(),
        }
    }

    fn owner(&self, name: &str) -> TestRange {
        let owner = Owner {
            name: name.into(),
            incarnation: 1,
        };
        Range::new(self.clock.clone(), Log::new(self.store.clone(), 0, owner))
    }

    /// Returns a claim of the same key in each call.
    fn claim(&self, claimant: &str, nonce: u64) -> Claim {
        let uuid = (u128::from(unix_ms(self.clock_start())) << 80) | (7 << 76) | (2 << 62);
        Claim {
            key: Key::parse(&format!("{uuid:032x}")).unwrap(),
            body: [1; 16],
            caller: 1,
            nonce,
            claimant: claimant.into(),
            limit_ms: 60_000,
        }
    }

    fn clock_start(&self) -> std::time::SystemTime {
        Manual::default().wall()
    }

    /// Sends a claim to an owner that sees all claimants as running; returns the answer if there is
    /// one after a write.
    fn ask(&self, range: &mut TestRange, claim: Claim) -> Option<Answer> {
        self.ask_seeing(range, claim, Liveness::Running)
    }

    /// Like [`Fixture::ask`], with the liveness of earlier claimants as the owner sees it.
    fn ask_seeing(
        &self,
        range: &mut TestRange,
        claim: Claim,
        liveness: Liveness,
    ) -> Option<Answer> {
        let nonce = claim.nonce;
        range.claim(claim, nonce, self.clock.now() + ANSWER_WAIT);
        range.update_claimants(|_| liveness);
        self.answer(range, nonce)
    }

    /// Returns an owner that has taken over a range with a granted claim without an outcome, and
    /// this claim.
    fn owner_after_takeover(&self) -> (TestRange, Claim) {
        let (mut former, mut owner) = (self.owner("former"), self.owner("owner"));
        poll_ready(former.take_over()).unwrap();
        let claim = self.claim("claimant", 1);
        assert_eq!(self.ask(&mut former, claim.clone()), Some(Answer::Granted));
        poll_ready(owner.take_over()).unwrap();
        (owner, claim)
    }

    fn answer(&self, range: &mut TestRange, nonce: u64) -> Option<Answer> {
        let mut answers = range.take_answers();
        self.clock.advance(CLAIM_WRITE_INTERVAL);
        let _ = poll_ready(range.flush());
        answers.extend(range.take_answers());
        let mut matching = answers.into_iter().filter(|(waiter, _)| *waiter == nonce);
        matching.next().map(|(_, answer)| answer)
    }

    fn report(&self, range: &mut TestRange, claim: &Claim) -> Option<Answer> {
        let report = Report {
            key: claim.key,
            nonce: claim.nonce,
            outcome: answered(),
        };
        range.report(report, claim.nonce);
        self.answer(range, claim.nonce)
    }
}

fn answered() -> Outcome {
    Outcome::Answered(Response {
        status: 200,
        content_type: "".into(),
        body: Some("done".into()),
    })
}

/// Guards against an outcome that is lost because a former owner, which does not know yet that the
/// range was taken over, confirms it without having written it.
#[test]
fn a_former_owner_does_not_confirm_outcomes() {
    let fixture = Fixture::new();
    let (mut former, mut owner) = (fixture.owner("former"), fixture.owner("owner"));
    poll_ready(former.take_over()).unwrap();
    poll_ready(owner.take_over()).unwrap();
    let claim = fixture.claim("claimant", 1);
    assert_eq!(
        fixture.ask(&mut owner, claim.clone()),
        Some(Answer::Granted)
    );
    assert_eq!(fixture.report(&mut former, &claim), Some(Answer::Moved));
    assert_eq!(fixture.report(&mut owner, &claim), Some(Answer::Noted));
    let repeat = fixture.ask(&mut owner, fixture.claim("other", 2));
    assert_eq!(repeat, Some(Answer::Recorded(answered())));
}

/// Guards against a former owner that gives up an outcome that the present owner has in the log.
#[test]
fn a_former_owner_does_not_give_up_outcomes() {
    let fixture = Fixture::new();
    let (mut former, mut owner) = (fixture.owner("former"), fixture.owner("owner"));
    poll_ready(former.take_over()).unwrap();
    let claim = fixture.claim("claimant", 1);
    assert_eq!(
        fixture.ask(&mut former, claim.clone()),
        Some(Answer::Granted)
    );
    poll_ready(owner.take_over()).unwrap();
    assert_eq!(fixture.report(&mut owner, &claim), Some(Answer::Noted));
    fixture
        .clock
        .advance(Duration::from_millis(2 * claim.limit_ms));
    let repeat = fixture.ask(&mut former, fixture.claim("other", 2));
    assert_eq!(repeat, Some(Answer::Moved));
    let repeat = fixture.ask(&mut owner, fixture.claim("other", 3));
    assert_eq!(repeat, Some(Answer::Recorded(answered())));
}

/// Guards against an outcome that is set to unknown because the claimant counts as dead for a
/// moment, although it then reports the outcome.
#[test]
fn an_outcome_is_awaited_from_a_claimant_that_seems_dead() {
    let fixture = Fixture::new();
    let (mut owner, claim) = fixture.owner_after_takeover();
    let long_silent = Liveness::Silent(Some(fixture.clock.now()));
    fixture.clock.advance(2 * CLAIM_TIMEOUT);
    let repeat = fixture.ask_seeing(&mut owner, fixture.claim("other", 2), long_silent);
    assert_eq!(repeat, None);
    assert_eq!(fixture.report(&mut owner, &claim), Some(Answer::Noted));
    let repeat = fixture.ask_seeing(&mut owner, fixture.claim("other", 3), long_silent);
    assert_eq!(repeat, Some(Answer::Recorded(answered())));
}

/// Guards against repeats that wait for the outcome of a dead claimant until the timeout of the
/// call, against an outcome that is given up while a paused claimant may still use its grant, and
/// against two short silences that count as one long one.
#[test]
fn the_outcome_of_a_silent_claimant_is_given_up_after_the_claim_timeout() {
    let fixture = Fixture::new();
    let (mut owner, claim) = fixture.owner_after_takeover();
    let mut ask = |claim, liveness| {
        let repeat = fixture.ask_seeing(&mut owner, claim, liveness);
        fixture
            .clock
            .advance(CLAIM_TIMEOUT - 2 * CLAIM_WRITE_INTERVAL);
        repeat
    };
    let repeat = |nonce| fixture.claim("other", nonce);
    let silent = Liveness::Silent(None);
    assert_eq!(ask(repeat(2), silent), None);
    assert_eq!(ask(repeat(3), Liveness::Running), None);
    assert_eq!(ask(repeat(4), silent), None);
    assert_eq!(ask(claim, silent), Some(Answer::Granted));
    assert_eq!(ask(repeat(5), silent), None);
    assert_eq!(ask(repeat(6), silent), None);
    let unknown = Some(Answer::Recorded(Outcome::Unknown));
    assert_eq!(ask(repeat(7), silent), unknown);
}

/// Guards against repeats that wait for the outcome of a claimant that has shut down.
#[test]
fn the_outcome_of_an_ended_claimant_is_given_up_at_once() {
    let fixture = Fixture::new();
    let (mut owner, _) = fixture.owner_after_takeover();
    let repeat = fixture.ask_seeing(&mut owner, fixture.claim("other", 2), Liveness::Ended);
    assert_eq!(repeat, Some(Answer::Recorded(Outcome::Unknown)));
}

/// Guards against an outcome that is given up while its claimant runs within its timeout, and
/// against one that is awaited for ever.
#[test]
fn the_outcome_of_a_running_claimant_is_awaited_until_its_timeout() {
    let fixture = Fixture::new();
    let (mut owner, claim) = fixture.owner_after_takeover();
    fixture
        .clock
        .advance(Duration::from_millis(claim.limit_ms + 4000));
    assert_eq!(fixture.ask(&mut owner, fixture.claim("other", 2)), None);
    fixture.clock.advance(Duration::from_secs(1));
    let repeat = fixture.ask(&mut owner, fixture.claim("other", 3));
    assert_eq!(repeat, Some(Answer::Recorded(Outcome::Unknown)));
}

/// Guards against a probe of the claimant at each repeat of a call whose outcome is known.
#[test]
fn a_claimant_is_not_looked_up_once_its_outcome_is_known() {
    let fixture = Fixture::new();
    let (mut owner, claim) = fixture.owner_after_takeover();
    assert_eq!(fixture.report(&mut owner, &claim), Some(Answer::Noted));
    owner.claim(fixture.claim("other", 2), 2, fixture.clock.now());
    owner.update_claimants(|name| panic!("{name} was looked up"));
    let repeat = fixture.answer(&mut owner, 2);
    assert_eq!(repeat, Some(Answer::Recorded(answered())));
}

/// Guards against a call that runs twice because a new owner takes an earlier claim of its key for
/// the present one: the earlier claimant had given up before its claim arrived.
#[test]
fn a_claim_granted_after_a_late_one_outlives_a_takeover() {
    let fixture = Fixture::new();
    let (mut former, mut owner) = (fixture.owner("former"), fixture.owner("owner"));
    poll_ready(former.take_over()).unwrap();
    let (late, granted) = (fixture.claim("late", 1), fixture.claim("claimant", 2));
    let given_up = Report {
        key: late.key,
        nonce: late.nonce,
        outcome: Outcome::NotRun,
    };
    former.report(given_up.clone(), 1);
    fixture.ask(&mut former, late);
    assert_eq!(fixture.ask(&mut former, granted), Some(Answer::Granted));
    poll_ready(owner.take_over()).unwrap();
    owner.report(given_up, 1);
    fixture.answer(&mut owner, 1);
    let repeat = fixture.ask(&mut owner, fixture.claim("other", 3));
    assert_ne!(repeat, Some(Answer::Granted));
}
