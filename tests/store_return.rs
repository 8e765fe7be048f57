//! Time from the return of the store to the list that shows it.

mod support;

use std::time::Duration;

use bilberrypost::gateway::watch::{LIST_INTERVAL, retry_interval};
use bilberrypost::route::registry::LAPSE_GRACE;
use support::directory::{Played, until, with_watches};

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
