use super::*;

/// Guards against delays after the loss of a third of the engines, against a large number of
/// resumes that all start at once, and against delays over the maximum.
#[test]
fn delays_only_resumes_over_the_limit() {
    let mut budget = Budget::default();
    let now = Instant::now();
    for _ in 0..300 {
        budget.record_start(now);
    }
    let delays: Vec<_> = (0..2000).map(|_| budget.record_resume(now)).collect();
    assert!(delays[..100].iter().all(Duration::is_zero));
    assert!(delays[400] > Duration::ZERO);
    assert_eq!(delays[1999], DELAY_MAX);
    for _ in 0..300 {
        budget.record_end();
    }
    assert_eq!(budget.record_resume(now + WINDOW + BUCKET), Duration::ZERO);
}
