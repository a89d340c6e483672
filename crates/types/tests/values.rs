//! Names that users type, redaction of keys, and request ids.

use jaystand_types::{Outcome, RepeatRule, Secret, Urgency, parse_request_id, render_request_id};
use proptest::prelude::*;

/// Guards against values whose printed names users cannot type.
#[test]
fn names_round_trip() {
    for urgency in Urgency::ALL {
        assert_eq!(urgency.as_str().parse(), Ok(*urgency));
    }
    for rule in RepeatRule::ALL {
        assert_eq!(rule.as_str().parse(), Ok(*rule));
    }
    for outcome in Outcome::ALL {
        assert_eq!(outcome.as_str().parse(), Ok(*outcome));
    }
}

/// Guards against an error message that does not tell the accepted names.
#[test]
fn an_unknown_name_lists_the_accepted_ones() {
    let error = "asap".parse::<Urgency>().expect_err("not an urgency");
    assert_eq!(
        error.to_string(),
        "unknown urgency `asap`; use one of: urgent, normal, background"
    );
}

/// Guards against keys in logs, and against an unset key that matches an empty one.
#[test]
fn a_secret_never_prints_its_key() {
    let secret = Secret::from("hunter2");
    assert!(!format!("{secret:?} {secret}").contains("hunter2"));
    assert!(secret.matches("hunter2"));
    assert!(!secret.matches("hunter3"));
    assert!(!Secret::default().matches(""), "an unset key admits nobody");
}

proptest! {
    /// Guards against formatted request ids that cannot be parsed.
    #[test]
    fn request_ids_round_trip(id: u64) {
        prop_assert_eq!(parse_request_id(&render_request_id(id)), Some(id));
    }

    /// Guards against other texts that are accepted as request ids, such as signs or short numbers.
    #[test]
    fn only_sixteen_hex_digits_parse(text in "[0-9a-fg+ ]{0,20}") {
        let well_formed = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        prop_assert_eq!(parse_request_id(&text).is_some(), well_formed);
    }
}
