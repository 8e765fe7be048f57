use super::*;

/// Guards against one average for all engines, and against limits outside of the bounds.
#[test]
fn silence_limit_follows_each_engine() {
    let engine = |number| Engine::from(slotmap::KeyData::from_ffi(number));
    let mut pace = Pace::default();
    for _ in 0..100 {
        pace.observe(engine(1), Duration::from_millis(1));
        pace.observe(engine(2), Duration::from_millis(50));
        pace.observe(engine(3), Duration::from_millis(1500));
    }
    assert_eq!(pace.silence_limit(engine(1)), SILENCE_MIN);
    assert_eq!(pace.silence_limit(engine(2)), Duration::from_millis(300));
    assert_eq!(pace.silence_limit(engine(3)), SILENCE_MAX);
    assert_eq!(pace.silence_limit(engine(4)), SILENCE_MAX);
}
