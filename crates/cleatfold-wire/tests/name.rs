//! Tests of names against a simple model.

use cleatfold_wire::name::Name;
use std::hash::{BuildHasher, RandomState};

/// Names compare, hash and read back like their texts, including zero bytes and the inline length limit.
#[test]
fn names_compare_like_their_texts() {
    let parts = ["", "a", "b", "\0", "run-", "000412", "é", "0123456789", "zz"];
    let mut texts: Vec<String> = Vec::new();
    for x in parts {
        for y in parts {
            for z in parts {
                texts.push(format!("{x}{y}{z}"));
            }
        }
    }
    let hasher = RandomState::new();
    for a in &texts {
        let name = Name::new(a);
        assert_eq!(name.as_str(), a);
        for b in &texts {
            let other = Name::new(b);
            assert_eq!(name.cmp(&other), a.cmp(b), "{a:?} {b:?}");
            assert_eq!(name == other, a == b, "{a:?} {b:?}");
            if a == b {
                assert_eq!(hasher.hash_one(&name), hasher.hash_one(&other));
            }
        }
    }
    let text = "\"run-\\u0030\"";
    assert_eq!(serde_json::from_str::<Name>(text).unwrap(), Name::new("run-0"));
}
