//! The decisions of one claim range, with time moved by hand and a store in memory.

use std::future::Future;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bilberrypost::claim::log::{Log, Owner};
use bilberrypost::claim::range::{Answer, CLAIM_WRITE_INTERVAL, Range};
use bilberrypost::claim::record::{Claim, Key, Outcome, Report, Response};
use bilberrypost::clock::{Clock, Manual};
use bilberrypost::store::fake::Fake;
use bilberrypost::util::unix_ms;

/// Time for which a claim of these tests may wait for an answer.
const ANSWER_WAIT: Duration = Duration::from_millis(500);

type TestRange = Range<Fake, Manual, u64>;

/// Polls a future that must be ready at once.
fn poll_ready<T>(future: impl Future<Output = T>) -> T {
    let mut future = std::pin::pin!(future);
    let mut context = Context::from_waker(Waker::noop());
    match future.as_mut().poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("the store did not answer at once"),
    }
}

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
            limit_ms: 1000,
        }
    }

    fn clock_start(&self) -> std::time::SystemTime {
        Manual::default().wall()
    }

    /// Sends a claim to an owner, which may write; returns the answer if there is one.
    fn ask(&self, range: &mut TestRange, claim: Claim) -> Option<Answer> {
        let nonce = claim.nonce;
        range.claim(claim, nonce, self.clock.now() + ANSWER_WAIT);
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
    poll_ready(former.take_over(|_| true)).unwrap();
    poll_ready(owner.take_over(|_| true)).unwrap();
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
    poll_ready(former.take_over(|_| true)).unwrap();
    let claim = fixture.claim("claimant", 1);
    assert_eq!(
        fixture.ask(&mut former, claim.clone()),
        Some(Answer::Granted)
    );
    poll_ready(owner.take_over(|_| true)).unwrap();
    assert_eq!(fixture.report(&mut owner, &claim), Some(Answer::Noted));
    fixture.clock.advance(Duration::from_secs(60));
    let repeat = fixture.ask(&mut former, fixture.claim("other", 2));
    assert_eq!(repeat, Some(Answer::Moved));
    let repeat = fixture.ask(&mut owner, fixture.claim("other", 3));
    assert_eq!(repeat, Some(Answer::Recorded(answered())));
}
