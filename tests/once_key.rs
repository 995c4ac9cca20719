//! Tests the text form of idempotency keys, the row keys of claims, and delegated keys.

use aspenspring::call::key::{CALLER_KEY_MAX_BYTES, claim_row_key};
use aspenspring::call::{Key, KeyTextError, NodeId, ParsedKey};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(51))]

    #[test]
    fn text_of_a_minted_key_reads_back(owner: u64, minted_unix_ms: u64, nonce: u64) {
        let key = Key { owner: NodeId(owner), minted_unix_ms, nonce };
        let text = key.to_string();
        prop_assert_eq!(ParsedKey::parse(&text), Ok(ParsedKey::Minted(key)));
        prop_assert_eq!(text.len(), 36);
    }

    #[test]
    fn text_is_never_read_as_two_kinds(text in "(as1\\.)?[ -~]{0,40}") {
        match ParsedKey::parse(&text) {
            Ok(ParsedKey::Minted(key)) => prop_assert_eq!(key.to_string(), text),
            Ok(ParsedKey::CallerSupplied(caller_key)) => {
                prop_assert_eq!(caller_key, text.as_str());
                prop_assert!(!text.starts_with("as1."));
            }
            Err(error) => prop_assert!(matches!(
                error,
                KeyTextError::Malformed | KeyTextError::Empty | KeyTextError::NotVisibleAscii
            )),
        }
    }

    #[test]
    fn claim_row_keys_are_distinct_and_valid_in_the_table(
        service in "[a-z-]{1,12}", foreign in "[!-~]{1,255}", cut in 1usize..12,
    ) {
        let row = claim_row_key(&service, &foreign);
        prop_assert!(row.bytes().all(|b| b.is_ascii_alphanumeric() || b":._-".contains(&b)));
        prop_assert_eq!(&row, &claim_row_key(&service, &foreign));
        let cut = cut.min(service.len());
        let shifted = format!("{}{foreign}", &service[cut..]);
        prop_assert_ne!(row, claim_row_key(&service[..cut - 1], &shifted));
    }
}

#[test]
fn invalid_texts_give_distinct_errors() {
    let long = "k".repeat(CALLER_KEY_MAX_BYTES + 1);
    let cases = [
        ("", KeyTextError::Empty),
        (long.as_str(), KeyTextError::TooLong),
        ("two words", KeyTextError::NotVisibleAscii),
        ("schlüssel", KeyTextError::NotVisibleAscii),
        ("as1.", KeyTextError::Malformed),
        ("as1.AAAA", KeyTextError::Malformed),
        ("as1.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", KeyTextError::Malformed),
        ("as1.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", KeyTextError::Malformed),
    ];
    for (text, error) in cases {
        assert_eq!(ParsedKey::parse(text), Err(error), "{text}");
    }
}

#[test]
fn delegated_key_depends_only_on_key_and_successor() {
    let key = Key { owner: NodeId(1), minted_unix_ms: 2, nonce: 3 };
    let delegated = key.delegated_to(NodeId(9));
    assert_eq!(delegated, key.delegated_to(NodeId(9)));
    assert_eq!(delegated.owner, NodeId(9));
    assert_eq!(delegated.minted_unix_ms, key.minted_unix_ms);
    let other = Key { nonce: 4, ..key };
    assert_ne!(delegated.nonce, other.delegated_to(NodeId(9)).nonce);
    assert_ne!(delegated.nonce, key.delegated_to(NodeId(8)).nonce);
}
