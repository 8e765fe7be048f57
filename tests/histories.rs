//! Random histories of claims: several owners, late and lost writes, outages and pauses.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bilberrypost::claim::log::{Error, Log, Owner};
use bilberrypost::claim::range::{Answer, Range};
use bilberrypost::claim::record::{Claim, Key, Outcome, Record, Report, Response};
use bilberrypost::clock::{Clock, Manual};
use bilberrypost::member::view::Liveness;
use bilberrypost::store::fake::{Fake, Fault};
use bilberrypost::util::unix_ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const OWNERS: usize = 3;
const HISTORIES: u64 = 500;
const RETURN_HISTORIES: u64 = 300;
const STEPS: usize = 1500;
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Message from a request to an owner.
enum Message {
    Claim(Claim, Instant),
    Outcome(Report),
}

/// Messages between the simulation and the task of one owner.
#[derive(Default)]
struct Mailbox {
    inbox: VecDeque<Message>,
    // Nonce of the request, whether the answer is to a reported outcome, and the answer.
    outbox: VecDeque<(u64, bool, Answer)>,
}

type SharedMailbox = Rc<RefCell<Mailbox>>;

async fn yield_once() {
    let mut waited = false;
    std::future::poll_fn(|_| match std::mem::replace(&mut waited, true) {
        true => Poll::Ready(()),
        false => Poll::Pending,
    })
    .await;
}

/// Runs an owner that always assumes that it should hold the range.
///
/// Owners of odd incarnations see all claimants as silent, the others see them as running.
async fn run_owner(store: Fake, clock: Manual, owner: Owner, mail: SharedMailbox) {
    let liveness = match owner.incarnation.is_multiple_of(2) {
        true => Liveness::Running,
        false => Liveness::Silent(None),
    };
    let log = Log::new(store, 0, owner).seal_bytes(700);
    let mut range: Range<Fake, Manual, (u64, bool)> = Range::new(clock.clone(), log);
    loop {
        if !range.is_held() {
            let _ = range.take_over().await;
        }
        let messages = std::mem::take(&mut mail.borrow_mut().inbox);
        for message in messages {
            match message {
                Message::Claim(claim, until) => {
                    let nonce = claim.nonce;
                    range.claim(claim, (nonce, false), until);
                }
                Message::Outcome(report) => {
                    let nonce = report.nonce;
                    range.report(report, (nonce, true));
                }
            }
        }
        range.update_claimants(|_| liveness);
        for ((nonce, is_outcome), answer) in range.take_answers() {
            mail.borrow_mut()
                .outbox
                .push_back((nonce, is_outcome, answer));
        }
        if range.next_write_in() == Some(Duration::ZERO) {
            let _ = range.flush().await;
        }
        for ((nonce, is_outcome), answer) in range.take_answers() {
            mail.borrow_mut()
                .outbox
                .push_back((nonce, is_outcome, answer));
        }
        range.remove_expired().await;
        yield_once().await;
    }
}

/// An owner's task; while it is paused, it is not polled.
struct Host {
    mail: SharedMailbox,
    task: Pin<Box<dyn Future<Output = ()>>>,
    // Step of the history at which the task is polled again.
    paused_until: usize,
    incarnation: u64,
}

/// A request of a claimant.
struct Request {
    claim: Claim,
    asked_at: Instant,
    // Whether the request still asks for the claim.
    is_open: bool,
    // Outcome that no owner has acknowledged yet.
    report: Option<Outcome>,
}

struct Simulation {
    // Whether the store comes back from older copies at times.
    has_returns: bool,
    rng: StdRng,
    clock: Manual,
    store: Fake,
    hosts: Vec<Host>,
    requests: BTreeMap<u64, Request>,
    // Number of executions by key.
    runs: BTreeMap<Key, u32>,
    granted: u32,
    recorded: u32,
}

fn start_host(store: &Fake, clock: &Manual, number: usize, incarnation: u64) -> Host {
    let mail = SharedMailbox::default();
    let owner = Owner {
        name: format!("host-{number}").into(),
        incarnation,
    };
    Host {
        task: Box::pin(run_owner(
            store.for_other_host(),
            clock.clone(),
            owner,
            mail.clone(),
        )),
        mail,
        paused_until: 0,
        incarnation,
    }
}

impl Simulation {
    fn new(seed: u64, has_returns: bool) -> Self {
        let (clock, store) = (Manual::default(), Fake::default());
        store.set_yielding(true);
        Self {
            has_returns,
            rng: StdRng::seed_from_u64(seed),
            hosts: (0..OWNERS)
                .map(|number| start_host(&store, &clock, number, 1))
                .collect(),
            clock,
            store,
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            granted: 0,
            recorded: 0,
        }
    }

    /// Returns true with probability `1 / one_in`.
    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    /// Returns one of a few keys, so that several requests use the same one.
    fn random_key(&mut self) -> Key {
        let issued = unix_ms(self.clock.wall()) / 400_000 * 400_000;
        let number = self.rng.random_range(0..4_u128);
        let uuid = (u128::from(issued) << 80) | (7 << 76) | (2 << 62) | number;
        Key::parse(&format!("{uuid:032x}")).unwrap()
    }

    fn add_request(&mut self) {
        let claim = Claim {
            key: self.random_key(),
            body: [u8::from(self.chance(20)); 16],
            caller: 1,
            nonce: self.rng.random(),
            claimant: "host-0".into(),
            limit_ms: 1000,
        };
        let request = Request {
            claim,
            asked_at: self.clock.now(),
            is_open: true,
            report: None,
        };
        self.requests.insert(request.claim.nonce, request);
    }

    fn send(&mut self, message: Message) {
        let number = self.rng.random_range(0..OWNERS);
        self.hosts[number]
            .mail
            .borrow_mut()
            .inbox
            .push_back(message);
    }

    /// Lets a random request send its claim, give up, or report its outcome.
    fn advance_request(&mut self) {
        let count = self.requests.len();
        if count == 0 {
            return;
        }
        let index = self.rng.random_range(0..count);
        let now = self.clock.now();
        let request = self.requests.values_mut().nth(index).unwrap();
        let nonce = request.claim.nonce;
        if request.is_open && now - request.asked_at >= CLAIM_TIMEOUT {
            request.is_open = false;
            request.report = Some(Outcome::NotRun);
        }
        if request.is_open {
            let message = Message::Claim(request.claim.clone(), now + CLAIM_TIMEOUT);
            self.send(message);
        } else if let Some(outcome) = request.report.clone() {
            let report = Report {
                key: request.claim.key,
                nonce,
                outcome,
            };
            self.send(Message::Outcome(report));
        }
    }

    /// Delivers the oldest answer of an owner, unless it gets lost, and checks it against the runs.
    fn deliver(&mut self, number: usize) {
        let answer = self.hosts[number].mail.borrow_mut().outbox.pop_front();
        let Some((nonce, is_outcome, answer)) = answer else {
            return;
        };
        // Some answers are lost.
        if self.chance(10) {
            return;
        }
        let outcome_draw = self.rng.random_range(0..6);
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&nonce) else {
            return;
        };
        if is_outcome {
            if answer == Answer::Noted {
                request.report = None;
            }
            return;
        }
        if !request.is_open || now - request.asked_at >= CLAIM_TIMEOUT {
            return;
        }
        match answer {
            Answer::Granted => {
                request.is_open = false;
                self.granted += 1;
                request.report = match outcome_draw {
                    // The backend server refused the call.
                    0 => Some(Outcome::NotRun),
                    // The claimant died before it reported an outcome; the call may have run.
                    1 => None,
                    2 => Some(Outcome::Unknown),
                    _ => Some(Outcome::Answered(Response {
                        status: 200,
                        content_type: "".into(),
                        body: Some("done".into()),
                    })),
                };
                if outcome_draw != 0 {
                    let runs = self.runs.entry(request.claim.key).or_default();
                    *runs += 1;
                    assert_eq!(*runs, 1, "{:?} ran twice", request.claim.key);
                }
            }
            Answer::Recorded(outcome) => {
                request.is_open = false;
                self.recorded += 1;
                if matches!(outcome, Outcome::Answered(_)) {
                    let runs = self.runs.get(&request.claim.key);
                    assert_eq!(runs, Some(&1), "an answer without a run");
                }
            }
            Answer::Running => request.asked_at = now,
            Answer::Conflict | Answer::Expired | Answer::Unavailable => request.is_open = false,
            Answer::Moved | Answer::Noted => {}
        }
    }

    fn inject_faults(&mut self, step: usize) {
        let faults = [
            Fault::ResponseLost,
            Fault::RequestLost,
            Fault::Delayed,
            Fault::Unavailable,
        ];
        let is_fault_free = self.store.write_calls() % 64 < 16;
        if self.chance(40) && !is_fault_free {
            let fault = faults[self.rng.random_range(0..faults.len())];
            self.store.script_faults([None, Some(fault)]);
        }
        if self.chance(40) {
            self.store.script_stale_reads([false, true]);
        }
        if self.chance(20) {
            self.store.deliver_delayed_write();
        }
        if self.chance(150) {
            self.store.set_down(true);
        }
        if self.chance(30) {
            self.store.set_down(false);
        }
        if self.has_returns {
            self.inject_returns();
        }
        let number = self.rng.random_range(0..OWNERS);
        if self.chance(40) {
            self.hosts[number].paused_until = step + self.rng.random_range(10..500);
        }
        if self.chance(200) {
            let incarnation = self.hosts[number].incarnation + 1;
            self.hosts[number] = start_host(&self.store, &self.clock, number, incarnation);
        }
        let elapsed = match self.rng.random_range(0..400) {
            0 => Duration::from_secs(300),
            1..=3 => Duration::from_secs(30),
            _ => Duration::from_millis(self.rng.random_range(0..40)),
        };
        self.clock.advance(elapsed);
    }

    fn inject_returns(&mut self) {
        if self.chance(60) {
            self.store.take_copy();
        }
        if self.chance(300) {
            self.store.restore_copy();
        }
    }

    fn poll(&mut self, number: usize) {
        let mut context = Context::from_waker(Waker::noop());
        let polled = self.hosts[number].task.as_mut().poll(&mut context);
        assert!(polled.is_pending());
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.inject_faults(step);
            if self.chance(8) {
                self.add_request();
            }
            self.advance_request();
            let number = self.rng.random_range(0..OWNERS);
            self.deliver(number);
            let number = self.rng.random_range(0..OWNERS);
            if self.hosts[number].paused_until <= step {
                self.poll(number);
            }
        }
    }

    /// Ends all faults and runs one owner until it grants a new key.
    fn recover(&mut self) {
        self.store.recover();
        self.store.deliver_delayed_write();
        self.requests.clear();
        if self.has_returns {
            // The owner notices the last return, after which it refuses keys for some time.
            self.grants_within(200);
        }
        self.clock.advance(Duration::from_secs(3600));
        self.requests.clear();
        let has_recovered = self.grants_within(3000);
        assert!(has_recovered, "no key was granted after the faults ended");
    }

    /// Runs one owner for at most this number of rounds; returns whether it granted a new key.
    fn grants_within(&mut self, rounds: usize) -> bool {
        let before = self.granted;
        for _ in 0..rounds {
            if self.granted > before {
                return true;
            }
            let now = self.clock.now();
            self.requests
                .retain(|_, request| request.is_open && now - request.asked_at < CLAIM_TIMEOUT);
            if self.requests.is_empty() {
                self.add_request();
            }
            let claim = self.requests.values().next().unwrap().claim.clone();
            let until = self.clock.now() + CLAIM_TIMEOUT;
            let message = Message::Claim(claim, until);
            self.hosts[0].mail.borrow_mut().inbox.push_back(message);
            self.clock.advance(Duration::from_millis(40));
            while !self.hosts[0].mail.borrow().outbox.is_empty() {
                self.deliver(0);
            }
            self.poll(0);
        }
        self.granted > before
    }
}

/// Guards against a key that is granted twice, a recorded answer without a run, and a log that no
/// owner can continue after the faults.
#[test]
fn no_key_runs_twice() {
    let (granted, recorded) = run_histories(HISTORIES, false);
    // The histories test something only if calls run and repeated calls get recorded answers.
    assert!(granted > 5 * HISTORIES as u32, "{granted} grants");
    assert!(recorded > HISTORIES as u32, "{recorded} recorded answers");
    println!("histories={HISTORIES} grants={granted} recorded={recorded}");
}

/// Guards against a key that is granted twice, and a log that no owner can continue, because the
/// store came back from an older copy.
#[test]
fn no_key_runs_twice_beside_returns_from_older_copies() {
    let (granted, recorded) = run_histories(RETURN_HISTORIES, true);
    // The histories test something only if calls run and repeated calls get recorded answers.
    assert!(granted > 2 * RETURN_HISTORIES as u32, "{granted} grants");
    assert!(
        recorded > RETURN_HISTORIES as u32,
        "{recorded} recorded answers"
    );
    println!("histories={RETURN_HISTORIES} grants={granted} recorded={recorded}");
}

/// Returns the number of granted claims and of recorded answers.
fn run_histories(histories: u64, has_returns: bool) -> (u32, u32) {
    let (mut granted, mut recorded) = (0, 0);
    for seed in 0..histories {
        let result = std::panic::catch_unwind(|| {
            let mut simulation = Simulation::new(seed, has_returns);
            simulation.run();
            simulation.recover();
            (simulation.granted, simulation.recorded)
        });
        let (grants, records) = result.unwrap_or_else(|_| panic!("failed with seed {seed}"));
        granted += grants;
        recorded += records;
    }
    (granted, recorded)
}

fn new_log(store: &Fake, name: &str) -> Log<Fake> {
    let owner = Owner {
        name: name.into(),
        incarnation: 1,
    };
    // One byte: each append seals its object.
    Log::new(store.clone(), 0, owner).seal_bytes(1)
}

/// Polls a future that must be ready at once.
fn poll_ready<T>(future: impl Future<Output = T>) -> T {
    let mut future = std::pin::pin!(future);
    let mut context = Context::from_waker(Waker::noop());
    match future.as_mut().poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("the store did not answer at once"),
    }
}

/// Returns an outcome record of a key that was issued at `issued_ms`.
fn outcome_record(issued_ms: u64) -> String {
    let uuid = (u128::from(issued_ms) << 80) | (7 << 76) | (2 << 62);
    let report = Report {
        key: Key::parse(&format!("{uuid:032x}")).unwrap(),
        nonce: 1,
        outcome: Outcome::Unknown,
    };
    let mut text = String::new();
    Record::Outcome(report).write_line(&mut text);
    text
}

const ISSUED_MS: u64 = 1_700_000_000_000;
const AFTER_RETENTION_MS: u64 = ISSUED_MS + 800_000;

/// Appends four records, each of which seals an object, and deletes the objects whose keys have
/// expired.
fn seal_and_expire(log: &mut Log<Fake>) {
    for _ in 0..4 {
        assert_eq!(
            poll_ready(log.append(&outcome_record(ISSUED_MS))),
            Ok(outcome_record(ISSUED_MS))
        );
    }
    while poll_ready(log.delete_expired(AFTER_RETENTION_MS)).unwrap() {}
}

/// Guards against an owner that continues after a long pause: the objects of later owners have
/// expired meanwhile, so it could create the next object of its outdated view again.
#[test]
fn long_paused_owner_cannot_continue() {
    let store = Fake::default();
    let (mut old, mut new) = (new_log(&store, "old"), new_log(&store, "new"));
    poll_ready(old.take_over(&Manual::default())).unwrap();
    poll_ready(old.append(&outcome_record(ISSUED_MS))).unwrap();
    poll_ready(new.take_over(&Manual::default())).unwrap();
    seal_and_expire(&mut new);
    assert_eq!(
        poll_ready(old.append(&outcome_record(ISSUED_MS))),
        Err(Error::Lost)
    );
    assert!(!old.is_held());
    assert!(poll_ready(new.append(&outcome_record(ISSUED_MS))).is_ok());
    assert!(
        poll_ready(old.take_over(&Manual::default())).is_ok(),
        "the range can be taken over afterwards"
    );
}

/// Guards against a first owner that creates the first object again after a long pause between
/// listing no objects and creating one.
#[test]
fn long_paused_first_owner_cannot_create_the_log_again() {
    let store = Fake::default();
    let (mut old, mut new) = (new_log(&store, "old"), new_log(&store, "new"));
    store.set_yielding(true);
    let mut context = Context::from_waker(Waker::noop());
    let clock = Manual::default();
    let mut opening = Box::pin(old.take_over(&clock));
    // The second poll lists the objects; the third one gets the result.
    for _ in 0..2 {
        assert!(opening.as_mut().poll(&mut context).is_pending());
    }
    store.set_yielding(false);
    poll_ready(new.take_over(&Manual::default())).unwrap();
    seal_and_expire(&mut new);
    let opened = match opening.as_mut().poll(&mut context) {
        Poll::Ready(opened) => opened,
        Poll::Pending => panic!("the store did not answer at once"),
    };
    assert!(opened.is_err(), "{opened:?}");
    drop(opening);
    assert!(poll_ready(new.append(&outcome_record(ISSUED_MS))).is_ok());
    assert_eq!(
        poll_ready(old.take_over(&Manual::default())).map(|records| records.len()),
        Ok(2)
    );
}
