use super::*;

/// Guards against a fault that affects another attempt than the one in its marker.
#[test]
fn faults_are_limited_to_their_attempt() {
    let prompt = "a [fault die@5/1] b [fault late@20]";
    assert_eq!(parse(prompt, 1), [Fault::Die(5), Fault::Late(20)]);
    assert_eq!(parse(prompt, 2), [Fault::Late(20)]);
}
