use super::*;
use crate::clock::System;
use crate::config::ini::File;
use crate::store::fake::{Fake, Fault};

fn settings(share: u32) -> SharedSettings {
    let text = format!("[partner a]\nshare = {share}\n");
    SharedSettings::from_files(&[File::parse("s.ini", &text).unwrap()]).unwrap()
}

fn publisher(store: &Fake, author: &str) -> Publisher<Fake, System> {
    Publisher::new(store.clone(), System, author, Duration::from_millis(300))
}

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

async fn in_force(store: &Fake) -> Record {
    revision::read_current(store)
        .await
        .unwrap()
        .unwrap()
        .1
        .latest
}

/// Guards against a publisher that fails or reports a wrong outcome when requests to the store
/// or their answers are lost.
#[test]
fn lost_requests_and_answers_are_resolved() {
    use Fault::{RequestLost, ResponseLost, Unavailable};
    let cases: &[&[Option<Fault>]] = &[
        &[None, None],
        &[Some(ResponseLost), None, Some(ResponseLost)],
        &[None, Some(RequestLost), Some(RequestLost)],
        &[None, Some(Unavailable), Some(ResponseLost)],
        &[
            Some(RequestLost),
            None,
            Some(RequestLost),
            Some(ResponseLost),
        ],
    ];
    for faults in cases {
        block_on(async {
            let store = Fake::default();
            store.script_faults(faults.iter().copied());
            let publisher = publisher(&store, "anna");
            let record = publisher.publish(&settings(50), None).await.unwrap();
            assert_eq!(record.revision, 1, "{faults:?}");
            assert_eq!(in_force(&store).await, record, "{faults:?}");
        });
    }
}

/// Guards against a publisher that overwrites a revision it has not read, or reports another
/// publisher's revision as its own.
#[test]
fn only_one_racing_publisher_succeeds() {
    block_on(async {
        let store = Fake::default();
        let (anna, bert) = (publisher(&store, "anna"), publisher(&store, "bert"));
        let base = bert.read_base(None).await.unwrap();
        anna.publish(&settings(50), None).await.unwrap();
        let result = bert.put_current(base, bert.next_record(&None, None)).await;
        let text = match result {
            Err(Error::Raced(text)) => text,
            other => panic!("{other:?}"),
        };
        assert!(text.contains("revision 1 by anna"), "{text}");
        assert!(text.contains("partners.a.share: added 50"), "{text}");
        assert_eq!(in_force(&store).await.author, "anna");
        let late = publisher(&store, "carl")
            .publish(&settings(60), Some(0))
            .await;
        assert!(matches!(late, Err(Error::Raced(_))), "{late:?}");
    });
}

/// Guards against a publisher that reports `Refused` when its write may have taken effect, or
/// `Unknown` when nothing was written.
#[test]
fn outage_is_reported_as_refused_or_unknown() {
    block_on(async {
        let store = Fake::default();
        store.set_down(true);
        let refused = publisher(&store, "anna").publish(&settings(50), None).await;
        assert!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
        store.set_down(false);
        let lost = std::iter::repeat_n(Some(Fault::RequestLost), 1000);
        store.script_faults(std::iter::once(None).chain(lost));
        let unknown = publisher(&store, "anna").publish(&settings(50), None).await;
        assert!(matches!(unknown, Err(Error::Unknown(_))), "{unknown:?}");
    });
}

/// Guards against an undo that lowers the revision number, and against chunks that are never
/// deleted, or are deleted while a revision in the history needs them.
#[test]
fn history_is_bounded_and_readable() {
    block_on(async {
        let store = Fake::default();
        let orphan = format!("{CHUNK_PREFIX}orphan/0");
        let put = store.put(&orphan, Bytes::from("x"), Condition::Any);
        put.await.unwrap();
        for share in 1..=40 {
            let publisher = publisher(&store, "anna");
            publisher.publish(&settings(share), None).await.unwrap();
        }
        let undone = publisher(&store, "anna").undo(20, None).await.unwrap();
        assert_eq!((undone.revision, undone.undo_of), (41, Some(20)));
        let (_, current) = revision::read_current(&store).await.unwrap().unwrap();
        assert_eq!(current.records().count(), REVISIONS_KEPT);
        for record in current.records() {
            let package = revision::read_package(&store, record).await.unwrap();
            package.settings().unwrap();
        }
        assert_eq!(
            store.list(CHUNK_PREFIX).await.unwrap().len(),
            REVISIONS_KEPT - 1
        );
        let gone = publisher(&store, "anna").undo(3, None).await;
        assert!(matches!(gone, Err(Error::Refused(_))), "{gone:?}");
        let lines = changes(&store, &current, 40, 41).await.unwrap();
        assert_eq!(lines[1], "partners.a.share: 40 -> 20");
    });
}

/// Guards against settings above the 1 MB limit of a store value that cannot be published, or
/// that are read back changed.
#[test]
fn large_settings_are_published_in_chunks() {
    block_on(async {
        let store = Fake::default();
        let mut large = settings(50);
        for number in 0..30_000 {
            let service = crate::config::split::Service {
                timeout: Duration::from_millis(number),
            };
            let name = format_compact!("service-with-a-long-name-{number}");
            large.services.insert(name, service);
        }
        let publisher = publisher(&store, "anna");
        let record = publisher.publish(&large, None).await.unwrap();
        assert!(record.chunks.len() > 1);
        let package = revision::read_package(&store, &record).await.unwrap();
        assert_eq!(package.settings().unwrap(), large);
    });
}

/// Guards against a published revision that hosts leave as old, because the store came back without
/// an earlier one with its number.
#[test]
fn numbers_of_lost_revisions_are_not_given_out_again() {
    block_on(async {
        let store = Fake::default();
        let publisher = publisher(&store, "anna");
        publisher.publish(&settings(50), None).await.unwrap();
        store.take_copy();
        let lost = publisher.publish(&settings(60), None).await.unwrap();
        store.restore_copy();
        let later = publisher.publish(&settings(70), None).await.unwrap();
        assert!(later.revision > lost.revision);
        let raced = publisher.publish(&settings(80), Some(1)).await;
        let Err(Error::Raced(changes)) = raced else {
            panic!("{raced:?}");
        };
        assert!(changes.contains("partners.a.share: 50 -> 70"), "{changes}");
    });
}
