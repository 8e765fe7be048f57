//! The membership table of one router, with time moved by hand.

use std::time::Duration;

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::member::table::{Action, State, Table, Update};
use bilberrypost::member::view::{Liveness, Peer};

fn peer(number: usize) -> Peer {
    Peer {
        name: format!("host-{number}").into(),
        address: format!("127.0.0.1:{}", 9000 + number).into(),
        failure_domain: "fd-a".into(),
        region: "default".into(),
    }
}

/// Returns the table of host 0, which knows hosts 1 and 2 as live.
fn table(clock: &Manual) -> Table<Manual> {
    let mut table = Table::new(clock.clone(), peer(0), 1, 1);
    table.set_listed(&[(peer(1), false), (peer(2), false)]);
    table
}

fn set_state(table: &mut Table<Manual>, number: usize, state: State) {
    table.apply_all([Update {
        peer: peer(number),
        incarnation: 1,
        refutation: 0,
        state,
    }]);
}

/// Guards against a router that takes no duties after a pause because a peer that shut down before
/// it is never probed.
#[test]
fn a_left_router_does_not_keep_a_paused_one_inactive() {
    let clock = Manual::default();
    let mut table = table(&clock);
    set_state(&mut table, 1, State::Left);
    table.tick();
    clock.advance(Duration::from_secs(10));
    table.tick();
    assert!(!table.is_active(), "host 2 is still to be probed");
    table.record_probe("host-2", true, false);
    assert!(table.is_active());
}

/// Guards against a router that counts as dead long after it is back, although its outcome is
/// awaited.
#[test]
fn a_dead_router_is_probed_on_request() {
    let clock = Manual::default();
    let mut table = table(&clock);
    set_state(&mut table, 1, State::Suspect);
    let silent = Liveness::Silent(Some(clock.now()));
    clock.advance(Duration::from_secs(1));
    set_state(&mut table, 1, State::Dead);
    assert_eq!(table.not_live().get("host-1"), Some(&silent));
    table.request_probe("host-1");
    assert!(table.tick().contains(&Action::Probe(peer(1))));
    table.record_probe("host-1", true, false);
    assert_eq!(table.state("host-1"), Some(State::Live));
    assert!(table.not_live().is_empty());
}
