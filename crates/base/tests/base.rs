//! Tests of the shared types.

use base::backoff::Backoff;
use base::ids::RequestId;
use base::secret::{Secret, digests_match, key_digest_hex};
use rand::{SeedableRng, rngs::StdRng};
use test_case::test_case;

#[test]
fn request_id_survives_its_text_form() {
    let id = RequestId::random(&mut StdRng::seed_from_u64(1));
    assert_eq!(id.to_string().parse::<RequestId>(), Ok(id));
}

#[test_case(""; "empty")]
#[test_case("+0000000000000000000000000000000"; "sign")]
#[test_case("0123"; "short")]
fn malformed_request_id_is_refused(text: &str) {
    assert!(text.parse::<RequestId>().is_err());
}

#[test]
fn secret_is_redacted_and_compared_by_content() {
    let secret = Secret::new("key-1");
    assert!(secret.matches("key-1"));
    assert!(!secret.matches("key-2"));
    assert!(!format!("{secret:?}").contains("key-1"));
    assert!(digests_match(&key_digest_hex("a"), &key_digest_hex("a")));
}

#[test]
fn backoff_stays_under_its_cap() {
    let backoff = Backoff {
        base_ms: 10,
        cap_ms: 500,
    };
    let mut rng = StdRng::seed_from_u64(2);
    for attempt in 0..64 {
        assert!(backoff.delay_ms(attempt, &mut rng) <= 500);
    }
}
