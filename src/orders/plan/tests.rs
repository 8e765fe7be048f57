use super::*;
use crate::config::ini::File;

fn settings(version: &str) -> SharedSettings {
    let text = format!(
        "[partner a]\nshare = 1\n[model m]\nversion = {version}\nadapters = fog\n\
         min_serving_percent = 50\n[weight-store]\nloads_per_minute = 60\n"
    );
    SharedSettings::from_files(&[File::parse("s.ini", &text).unwrap()]).unwrap()
}

fn engine(name: &str, version: &str, adapters: &[&str], leaving: bool) -> Engine {
    let loaded = wire::Model {
        model: "m".into(),
        version: version.into(),
        adapters: adapters.iter().map(|name| (*name).into()).collect(),
    };
    Engine {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        model: "m".into(),
        status: Some(wire::Status {
            name: name.into(),
            failure_domain: "fd-a".into(),
            models: vec![loaded],
            role: "serve".into(),
            slots: 1,
            load: wire::Load::default(),
            leaving,
            next_seq: 0,
            events: Vec::new(),
        }),
    }
}

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

/// Guards against unneeded orders, orders to the wrong engine, and orders that leave too few
/// engines serving.
#[test]
fn the_next_order_is_needed_and_safe() {
    let up_to_date = || engine("a", "2", &["fog"], false);
    let unreachable = || Engine {
        status: None,
        ..engine("d", "1", &[], false)
    };
    let cases = [
        (vec![up_to_date(), up_to_date()], None),
        (vec![engine("b", "1", &["fog"], false)], Some("load 2")),
        (vec![engine("b", "2", &[], false)], Some("adapter fog")),
        (vec![up_to_date(), engine("b", "1", &[], true)], None),
        (vec![up_to_date(), unreachable()], None),
        // One of the two engines must serve, and only `b` does.
        (vec![engine("b", "1", &[], false), unreachable()], None),
        (
            vec![
                up_to_date(),
                up_to_date(),
                engine("b", "1", &[], false),
                unreachable(),
            ],
            Some("load 2"),
        ),
    ];
    for (engines, expected) in cases {
        let start = Instant::now();
        let mut plan = Plan::new(&settings("2"), BTreeSet::new(), start);
        assert_eq!(
            plan.next(&settings("2"), 7, &engines, start),
            None,
            "before the end of the load interval"
        );
        let next = plan.next(&settings("2"), 7, &engines, after(start, 1));
        let next = next.map(|next| match next.action {
            Action::Load { version, .. } => format!("load {version}"),
            Action::Adapter { adapter } => format!("adapter {adapter}"),
            Action::Role { role } => format!("role {role}"),
        });
        assert_eq!(next.as_deref(), expected, "{engines:?}");
    }
}

/// Guards against two engines of a model that load at the same time, also after a change of the
/// lease holder; against a rate of orders above the weight store's; and against ids that differ
/// between holders or are reused after an order had no effect.
#[test]
fn one_order_at_a_time_with_a_stable_id() {
    let settings = settings("2");
    let start = Instant::now();
    let mut engines = vec![
        engine("a", "1", &["fog"], false),
        engine("b", "1", &["fog"], false),
    ];
    let mut plan = Plan::new(&settings, BTreeSet::new(), start);
    let first = plan.next(&settings, 7, &engines, after(start, 1)).unwrap();
    let other =
        Plan::new(&settings, BTreeSet::new(), start).next(&settings, 7, &engines, after(start, 1));
    assert_eq!(Some(&first), other.as_ref());
    let mut successor = Plan::new(&settings, BTreeSet::from(["b".into()]), start);
    let next = successor
        .next(&settings, 7, &engines, after(start, 1))
        .unwrap();
    assert_eq!(next.engine, "b");
    plan.record_start(&settings, &first, after(start, 1));
    plan.record_outcome("a", false);
    assert_eq!(plan.next(&settings, 7, &engines, after(start, 1)), None);
    let again = plan.next(&settings, 7, &engines, after(start, 2)).unwrap();
    assert_eq!(first, again);
    plan.record_start(&settings, &again, after(start, 2));
    plan.record_outcome("a", true);
    assert_eq!(plan.next(&settings, 7, &engines, after(start, 50)), None);
    let repeated = plan.next(&settings, 7, &engines, after(start, 62)).unwrap();
    assert_eq!(repeated.engine, "a");
    assert_ne!(repeated.id, first.id);
    plan.record_start(&settings, &repeated, after(start, 62));
    engines[0] = engine("a", "2", &["fog"], false);
    let next = plan.next(&settings, 7, &engines, after(start, 63)).unwrap();
    assert_eq!(next.engine, "b");
    let next_revision = plan.next(&settings, 8, &engines, after(start, 63)).unwrap();
    assert_ne!(next.id, next_revision.id);
}
