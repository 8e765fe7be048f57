use super::*;
use crate::clock::Manual;

fn line() -> Line {
    Line {
        partner: "a".into(),
        rank: Rank::Urgent,
        indicator: Indicator::FirstToken,
    }
}

/// Guards against counting events that are older than the window.
#[test]
fn old_events_leave_the_windows() {
    let clock = Manual::default();
    let mut report = Report::new(clock.clone());
    report.record(line(), 100, 10);
    let burn = report.burns()[0].short;
    assert_eq!((burn.events, burn.bad), (100, 10));
    assert!((burn.burn - 2.0).abs() < 1e-9, "{}", burn.burn);
    clock.advance(SHORT_WINDOW + BUCKET_LENGTH);
    report.record(line(), 100, 0);
    assert_eq!(report.burns()[0].short.bad, 0);
    assert_eq!(report.burns()[0].long.bad, 10);
    clock.advance(LONG_WINDOW + BUCKET_LENGTH);
    report.record(line(), 1, 0);
    assert_eq!(report.burns()[0].long.events, 1);
}

/// Guards against averaging the burn rates of hosts, which ignores how many events each had.
#[test]
fn merged_reports_add_up_events() {
    let burn = |events, bad| Burn {
        line: line(),
        short: Window::new(events, bad),
        long: Window::new(events, bad),
    };
    let merged = merge([vec![burn(900, 0)], vec![burn(100, 50)]]);
    assert_eq!(merged.len(), 1);
    assert!((merged[0].long.burn - 1.0).abs() < 1e-9);
}
