//! Choice of backend servers, with time moved by hand.

use std::time::Duration;

use bilberrypost::clock::Manual;
use bilberrypost::route::servers::{End, Servers};
use bilberrypost::wire::{Kind, Lifecycle, Member};

/// Time after the failure of a server in which other servers are preferred.
const FAILED_PENALTY: Duration = Duration::from_secs(2);

fn member(name: &str, domain: &str) -> Member {
    Member {
        name: name.into(),
        kind: Kind::Backend,
        address: name.into(),
        peer_address: None,
        failure_domain: domain.into(),
        region: "r".into(),
        state: Lifecycle::Live,
        service: "booking".into(),
    }
}

/// Guards against choosing a busy server, one in another failure domain, or one that is leaving or
/// failed recently while there is a better one.
#[test]
fn chooses_idle_servers_in_the_own_failure_domain() {
    let clock = Manual::default();
    let mut servers = Servers::new(clock.clone(), "fd-a".into());
    let list = [member("far", "fd-b"), member("near", "fd-a")];
    servers.set_members(&list);
    let (near, address) = servers.begin_attempt("booking", &[]).unwrap();
    assert_eq!(address, "near");
    let (far, address) = servers.begin_attempt("booking", &[]).unwrap();
    assert_eq!(address, "far");
    servers.end_attempt(near, End::Failed);
    assert_eq!(servers.begin_attempt("booking", &[]).unwrap().1, "far");
    clock.advance(FAILED_PENALTY);
    assert_eq!(servers.begin_attempt("booking", &[]).unwrap().1, "near");
    servers.end_attempt(far, End::Leaving);
    servers.set_members(&list);
    for _ in 0..5 {
        assert_eq!(servers.begin_attempt("booking", &[near]).unwrap().1, "near");
    }
    assert!(servers.begin_attempt("other", &[]).is_none());
    let mut leaving = list;
    leaving[0].state = Lifecycle::Leaving;
    leaving[1].state = Lifecycle::Leaving;
    servers.set_members(&leaving);
    assert!(servers.begin_attempt("booking", &[]).is_none());
    leaving[0].state = Lifecycle::Live;
    servers.set_members(&leaving);
    assert_eq!(servers.begin_attempt("booking", &[]).unwrap().1, "far");
}

/// Guards against calls to a server before the time is over for which it wants none, and against a
/// `Retry-After` that ends before a server accepts calls.
#[test]
fn a_server_that_wants_no_calls_gets_none_for_that_time() {
    let clock = Manual::default();
    let mut servers = Servers::new(clock.clone(), "fd-a".into());
    let list = [member("far", "fd-b"), member("near", "fd-a")];
    servers.set_members(&list);
    let (near, _) = servers.begin_attempt("booking", &[]).unwrap();
    servers.end_attempt(near, End::Held(Duration::from_secs(5)));
    servers.set_members(&list);
    let (far, address) = servers.begin_attempt("booking", &[]).unwrap();
    assert_eq!(address, "far");
    assert_eq!(servers.held_for("booking"), Duration::ZERO);
    servers.end_attempt(far, End::Held(Duration::MAX));
    assert_eq!(servers.held_for("booking"), Duration::from_secs(5));
    assert!(servers.begin_attempt("booking", &[]).is_none());
    clock.advance(Duration::from_secs(5));
    assert_eq!(servers.begin_attempt("booking", &[]).unwrap().1, "near");
    servers.end_attempt(near, End::Leaving);
    assert!(servers.begin_attempt("booking", &[]).is_none());
    clock.advance(Duration::from_secs(3600));
    assert_eq!(servers.begin_attempt("booking", &[]).unwrap().1, "far");
}

/// Guards against retries that multiply the load of servers that all fail.
#[test]
fn retries_are_bounded() {
    let mut servers = Servers::new(Manual::default(), "fd-a".into());
    let retries = (0..1000).filter(|_| {
        servers.record_call("booking");
        servers.take_retry("booking")
    });
    let retries = retries.count();
    assert!((100..=120).contains(&retries), "{retries}");
}
