use super::*;

const BODY_DIGEST: u64 = u64::MAX;

fn cursor(position: u32) -> Cursor {
    let mut hasher = TokenHasher::default();
    hasher.update(&[7, 8, 9][..position as usize]);
    Cursor {
        body_digest: BODY_DIGEST,
        version: "2-beta".into(),
        seed: u64::MAX,
        position,
        is_end: false,
        token_digest: hasher.digest(),
    }
}

/// Guards against cursors that are accepted although they were altered or belong to another
/// key, request or token sequence, and against valid ones that are refused.
#[test]
fn accepts_only_issued_cursors() {
    let signer = Signer::new(Secret::new("one"), None);
    let id = signer.sign(&cursor(2));
    assert!((100..=150).contains(&(id.len() + "id: \n".len())), "{id}");
    assert_eq!(signer.verify(&id, BODY_DIGEST, &[7, 8]), Ok(cursor(2)));
    let rotated = Signer::new(Secret::new("two"), Some(Secret::new("one")));
    assert_eq!(rotated.verify(&id, BODY_DIGEST, &[7, 8]), Ok(cursor(2)));
    let other_key = Signer::new(Secret::new("two"), None);
    assert_eq!(
        other_key.verify(&id, BODY_DIGEST, &[7, 8]),
        Err(Error::Invalid)
    );
    assert_eq!(
        signer.verify(&id, BODY_DIGEST - 1, &[7, 8]),
        Err(Error::WrongRequest)
    );
    for tokens in [&[7, 9][..], &[7], &[7, 8, 9], &[]] {
        assert_eq!(
            signer.verify(&id, BODY_DIGEST, tokens),
            Err(Error::WrongTokens)
        );
    }
}

/// Guards against an id that is still accepted after one character was changed.
#[test]
fn refuses_every_changed_character() {
    let signer = Signer::new(Secret::new("one"), None);
    let id = signer.sign(&cursor(2));
    for at in 0..id.len() {
        for other in ['0', '1', 'f', '-', 'x'] {
            let mut changed: Vec<char> = id.chars().collect();
            if changed[at] == other {
                continue;
            }
            changed[at] = other;
            let changed: String = changed.into_iter().collect();
            assert_eq!(
                signer.verify(&changed, BODY_DIGEST, &[7, 8]),
                Err(Error::Invalid)
            );
        }
    }
    assert_eq!(signer.verify("", BODY_DIGEST, &[]), Err(Error::Invalid));
}
