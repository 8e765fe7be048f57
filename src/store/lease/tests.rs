use super::*;
use crate::clock::Manual;
use crate::store::fake::{Fake, Fault};

const TIMING: Timing = Timing {
    ttl: Duration::from_secs(5),
    clock_bound: Duration::from_secs(1),
};

fn lease(store: &Fake, clock: &Manual, host: &str) -> Lease<Fake, Manual> {
    Lease::new(
        store.for_other_host(),
        clock.clone(),
        "lease",
        host.into(),
        TIMING,
    )
}

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// Guards against two hosts that may act at the same time, and against a fencing number that does
/// not grow with the holder.
#[test]
fn a_paused_holder_may_not_act() {
    block_on(async {
        let (store, clock) = (Fake::default(), Manual::default());
        let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
        old.renew_or_acquire().await.unwrap();
        assert_eq!(old.fencing(), Some(1));
        new.renew_or_acquire().await.unwrap();
        for second in 1..=6 {
            assert_eq!(new.fencing(), None, "after {second} s");
            clock.advance(Duration::from_secs(1));
            assert_eq!(old.fencing().is_some(), second < 4, "after {second} s");
            new.renew_or_acquire().await.unwrap();
        }
        assert_eq!(new.fencing(), Some(2));
        old.renew_or_acquire().await.unwrap();
        assert!(!old.is_held());
        assert_eq!((old.fencing(), new.fencing()), (None, Some(2)));
    });
}

/// Guards against a candidate whose wait does not restart with each renewal, and against a note
/// that does not reach the next holder.
#[test]
fn a_renewed_lease_is_not_acquired_by_others() {
    block_on(async {
        let (store, clock) = (Fake::default(), Manual::default());
        let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
        for _ in 0..30 {
            old.renew_or_acquire().await.unwrap();
            new.renew_or_acquire().await.unwrap();
            assert_eq!((old.fencing(), new.fencing()), (Some(1), None));
            clock.advance(Duration::from_secs(1));
        }
        old.store_note("engine-7".into()).await.unwrap();
        old.release().await;
        new.renew_or_acquire().await.unwrap();
        assert_eq!((old.fencing(), new.fencing()), (None, Some(2)));
        assert_eq!(new.inherited_note(), "engine-7");
        old.store_note("engine-8".into()).await.unwrap_err();
    });
}

/// Guards against a lease that is extended by a write whose time is unknown because its response
/// was lost.
#[test]
fn lost_responses_do_not_extend_a_lease() {
    block_on(async {
        let (store, clock) = (Fake::default(), Manual::default());
        let lease = lease(&store, &clock, "h");
        store.script_faults([Some(Fault::ResponseLost)]);
        lease.renew_or_acquire().await.unwrap();
        assert!(lease.is_held());
        assert_eq!(lease.fencing(), None);
        lease.renew_or_acquire().await.unwrap();
        assert_eq!(lease.fencing(), Some(1));
        clock.advance(Duration::from_secs(3));
        store.script_faults([Some(Fault::ResponseLost), Some(Fault::RequestLost)]);
        lease.renew_or_acquire().await.unwrap();
        clock.advance(Duration::from_secs(1));
        assert_eq!(lease.fencing(), None);
        lease.renew_or_acquire().await.unwrap_err();
        assert_eq!(lease.fencing(), None);
        lease.renew_or_acquire().await.unwrap();
        assert_eq!(lease.fencing(), Some(1));
    });
}

/// Guards against a lease that does not expire during an outage of the store.
#[test]
fn a_lease_expires_during_an_outage() {
    block_on(async {
        let (store, clock) = (Fake::default(), Manual::default());
        let lease = lease(&store, &clock, "h");
        lease.renew_or_acquire().await.unwrap();
        store.set_down(true);
        clock.advance(Duration::from_secs(4));
        lease.renew_or_acquire().await.unwrap_err();
        assert_eq!(lease.fencing(), None);
        store.set_down(false);
        lease.renew_or_acquire().await.unwrap();
        assert_eq!(lease.fencing(), Some(1));
    });
}

/// Guards against a lease that nobody can acquire because candidates wait for a version that the
/// store no longer has.
#[test]
fn a_candidate_acquires_the_lease_of_an_older_copy() {
    block_on(async {
        let (store, clock) = (Fake::default(), Manual::default());
        let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
        old.renew_or_acquire().await.unwrap();
        store.take_copy();
        for _ in 0..3 {
            clock.advance(Duration::from_secs(2));
            old.renew_or_acquire().await.unwrap();
            new.renew_or_acquire().await.unwrap();
        }
        let lost = old.fencing().unwrap();
        store.restore_copy();
        new.renew_or_acquire().await.unwrap();
        clock.advance(Duration::from_secs(6));
        new.renew_or_acquire().await.unwrap();
        assert!(new.fencing().unwrap() > lost);
    });
}

/// Guards against a renewal that is executed in an older copy whose version it matches.
#[test]
fn a_holder_does_not_renew_in_an_older_copy() {
    block_on(async {
        let (store, clock) = (Fake::default(), Manual::default());
        let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
        old.renew_or_acquire().await.unwrap();
        store.take_copy();
        clock.advance(Duration::from_secs(1));
        new.renew_or_acquire().await.unwrap();
        clock.advance(Duration::from_secs(6));
        new.renew_or_acquire().await.unwrap();
        assert!(new.fencing().is_some());
        store.restore_copy();
        old.renew_or_acquire().await.unwrap();
        assert_eq!(old.fencing(), None);
    });
}

/// Guards against a holder that acts beside a new one because the store came back without the
/// record of its lease.
#[test]
fn a_holder_whose_record_was_lost_does_not_act_beside_another() {
    for has_record in [false, true] {
        block_on(async {
            let (store, clock) = (Fake::default(), Manual::default());
            let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
            let first = lease(&store, &clock, "first");
            if has_record {
                first.renew_or_acquire().await.unwrap();
                first.release().await;
            }
            store.take_copy();
            old.renew_or_acquire().await.unwrap();
            let lost = old.fencing().unwrap();
            store.restore_copy();
            for second in 0..6 {
                new.renew_or_acquire().await.unwrap();
                assert_eq!(new.fencing(), None, "after {second} s");
                assert_eq!(old.fencing().is_some(), second < 4, "after {second} s");
                clock.advance(Duration::from_secs(1));
            }
            new.renew_or_acquire().await.unwrap();
            assert!(new.fencing().unwrap() > lost);
            old.renew_or_acquire().await.unwrap();
            assert_eq!((old.fencing(), old.is_held()), (None, false));
        });
    }
}

/// Guards against a lost fencing number that is given out again, and against a host that goes on as
/// the holder because the copy has a record of its own.
#[test]
fn a_holder_does_not_go_on_by_its_record_in_an_older_copy() {
    block_on(async {
        let (store, clock) = (Fake::default(), Manual::default());
        let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
        old.renew_or_acquire().await.unwrap();
        store.take_copy();
        old.release().await;
        new.renew_or_acquire().await.unwrap();
        let lost = new.fencing().unwrap();
        store.restore_copy();
        for _ in 0..6 {
            old.renew_or_acquire().await.unwrap();
            assert_eq!(old.fencing(), None);
            clock.advance(Duration::from_secs(1));
        }
        old.renew_or_acquire().await.unwrap();
        assert!(old.fencing().unwrap() > lost);
    });
}
