//! Time from the return of the store to the list that shows it.

mod support;

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use bilberrypost::clock::Manual;
use bilberrypost::gateway::watch::{LIST_INTERVAL, retry_interval};
use bilberrypost::gateway::{Gateway, peers};
use bilberrypost::peer::report::{BYTES_MAX, Report};
use bilberrypost::route::load::EngineHash;
use bilberrypost::route::registry::LAPSE_GRACE;
use bilberrypost::supervisor::Signal;
use support::TEST_TIMEOUT;
use support::directory::{Played, until, with_watches};
use support::platform::empty_report;

/// Time after the end of a cut from which an engine that left must not be used any more.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Guards against an engine that left, and that a host uses until long after a cut of its own: the
/// list of engines that was sent just before the end of the cut gets no answer, and its whole timeout
/// passed before the next one.
#[test]
fn a_list_without_an_answer_delays_no_other() {
    let store = Played::new(3, &["a", "b"]);
    with_watches(&store, async |gateway| {
        store.set_down(true);
        until("a failed call", || !gateway.reaches_store()).await;
        store.lose_lists(1);
        store.set(0, 3, &["a"]);
        store.set_down(false);
        until("the lost list", || store.lists_to_lose() == 0).await;
        until("the next list", || gateway.registry.borrow().lapsing() == 1).await;
    });
}

/// Guards against an engine that left during a cut of its host and that is still used once the host
/// must be up to date. The return of the store is noticed within the interval of calls, and lapsed
/// entries stay in use from then on.
#[test]
fn lapsed_entries_end_before_a_host_must_be_up_to_date() {
    let fail_fast = retry_interval(u32::MAX, true);
    for noticed in [fail_fast, LIST_INTERVAL] {
        let longest = noticed + LAPSE_GRACE;
        assert!(
            longest + Duration::from_millis(300) < STABLE_TIME,
            "{noticed:?}"
        );
    }
}

/// A host at `socket` that tells others which engines the store removed.
struct Peer {
    socket: UdpSocket,
}

impl Peer {
    fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self { socket }
    }

    fn report(removals: &[&str]) -> Report {
        Report {
            is_question: true,
            removals: removals.iter().map(|id| EngineHash::of(id)).collect(),
            ..empty_report("fd-a")
        }
    }

    fn tell(&self, to: SocketAddr, removals: &[&str]) {
        let datagram = Self::report(removals).encode().unwrap();
        self.socket.send_to(&datagram, to).unwrap();
    }

    /// Waits for a report of another host and returns the removals in it.
    fn hear(&self) -> Vec<EngineHash> {
        let mut buffer = [0; BYTES_MAX];
        let length = self.socket.recv(&mut buffer).unwrap();
        Report::decode(&buffer[..length]).unwrap().removals
    }
}

/// Runs the exchange of reports beside the watches of a gateway until `test` ends.
fn with_peers(store: &Played, test: impl AsyncFnOnce(&Rc<Gateway<Manual>>, SocketAddr)) {
    with_watches(store, async |gateway| {
        let socket = compio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let stop = Signal::default();
        let exchange = peers::run(
            gateway.clone(),
            store.clone(),
            socket,
            address,
            Vec::new(),
            stop,
        );
        let exchange = compio::runtime::spawn(exchange);
        test(gateway, address).await;
        drop(exchange);
    });
}

/// Guards against an engine that left while this host alone was cut off, and that stays in use until
/// the time for entries that lapsed in an outage is over. If the cut lies within one watch, it is noticed
/// so late that this time ends after the host must be up to date. The clock stands still here, so only
/// the report of another host can end the lapse.
#[test]
fn a_host_that_was_cut_off_learns_of_removals_from_others() {
    let store = Played::new(3, &["a", "b"]);
    let peer = Peer::start();
    with_peers(&store, async |gateway, address| {
        store.set_down(true);
        until("a failed call", || !gateway.reaches_store()).await;
        store.set(0, 3, &["a"]);
        store.set_down(false);
        until("the lapse", || gateway.registry.borrow().lapsing() == 1).await;
        peer.tell(address, &["b"]);
        until("its end", || gateway.registry.borrow().by_id("b").is_none()).await;
        assert!(gateway.registry.borrow().by_id("a").is_some());
    });
}

/// Guards against a host that keeps to itself which engines the store removed.
#[test]
fn a_host_reports_the_removals_that_the_store_told() {
    let store = Played::new(3, &["a", "b"]);
    let peer = Peer::start();
    with_peers(&store, async |gateway, address| {
        store.remove("b");
        until("the removal", || gateway.registry.borrow().len() == 1).await;
        peer.tell(address, &[]);
        let heard = compio::runtime::spawn_blocking(move || peer.hear()).await;
        assert_eq!(heard.unwrap(), [EngineHash::of("b")]);
    });
}
