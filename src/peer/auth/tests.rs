use super::*;
use crate::clock::Manual;

fn authenticator(clock: &Manual, key: &str, previous_key: Option<&str>) -> Authenticator<Manual> {
    Authenticator::new(
        clock.clone(),
        Secret::new(key),
        previous_key.map(Secret::new),
    )
}

/// Guards against accepting a message that has a wrong key or no header, was modified, is too
/// old, or was received before.
#[test]
fn rejects_invalid_messages() {
    let clock = Manual::default();
    let first = authenticator(&clock, "one", None);
    let rotated = authenticator(&clock, "two", Some("one"));
    let mut headers = HeaderMap::new();
    first.sign(&mut headers, b"body");
    let other = authenticator(&clock, "three", None);
    assert_eq!(other.verify(&headers, b"body"), Err(Error::Forged));
    assert_eq!(first.verify(&headers, b"other"), Err(Error::Forged));
    assert_eq!(
        first.verify(&HeaderMap::new(), b"body"),
        Err(Error::Missing)
    );
    assert_eq!(rotated.verify(&headers, b"body"), Ok(()));
    assert_eq!(rotated.verify(&headers, b"body"), Err(Error::Replayed));
    clock.advance(MAX_TIME_DIFFERENCE + Duration::from_secs(1));
    assert_eq!(first.verify(&headers, b"body"), Err(Error::Expired));
}
