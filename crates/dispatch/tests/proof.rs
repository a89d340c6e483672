//! Whether keys may be accepted, in virtual time.

mod support;

use std::time::Duration;

use jaystand_dispatch::proof::Proof;
use support::ms;

/// The bound of the users' sheets.
const BOUND: Duration = Duration::from_secs(5);

/// Guards against revoked keys that are accepted after the bound: on mpr-ricambi a data centre that was cut off for 9 s
/// ran requests 5.05 to 5.4 s after the acknowledgement. In the worst case the revocation is acknowledged right after
/// the last read.
#[test]
fn without_the_store_keys_are_refused_before_the_bound() {
    let mut proof = Proof::new(Some(BOUND));
    assert!(!proof.accepts_keys(ms(0), 3));
    proof.confirm(3, ms(1_000), 3);
    assert!(proof.accepts_keys(ms(1_000), 3));
    assert!(proof.accepts_keys(ms(5_500), 3));
    assert!(!proof.accepts_keys(ms(6_000), 3));
    assert!(!proof.accepts_keys(ms(14_000), 3));
}

/// Guards against a host that accepts keys by an old configuration although it knows of a newer one, which it cannot
/// use.
#[test]
fn a_proof_of_a_newer_version_does_not_cover_the_one_in_force() {
    let mut proof = Proof::new(Some(BOUND));
    proof.confirm(4, ms(1_000), 3);
    assert!(!proof.accepts_keys(ms(1_100), 3));
    assert!(proof.accepts_keys(ms(1_100), 4));
}

/// Guards against an old proof that arrives late and replaces a newer one.
#[test]
fn the_newest_proof_counts() {
    let mut proof = Proof::new(Some(BOUND));
    proof.confirm(4, ms(3_000), 3);
    proof.confirm(3, ms(1_000), 3);
    assert_eq!(proof.newest(), Some((4, ms(3_000))));
    assert!(proof.accepts_keys(ms(7_000), 4));
}

/// Guards against refused keys and needless reads of the store where no proof is needed.
#[test]
fn without_a_bound_no_proof_is_needed() {
    let proof = Proof::new(None);
    assert!(proof.accepts_keys(ms(100_000), 1));
    assert_eq!(proof.read_period(), None);
}

/// Guards against a host that refuses keys although the store answers: one lost read, its timeout, and the change to
/// another source must fit between two proofs.
#[test]
fn keys_are_accepted_after_one_lost_read() {
    let mut proof = Proof::new(Some(BOUND));
    let period = proof.read_period().expect("a bound");
    proof.confirm(3, ms(0), 3);
    let lost_read = Duration::from_millis(900);
    assert!(proof.accepts_keys(period + lost_read + period, 3));
}

/// Guards against a host that refuses keys although other hosts can reach the store, and against hosts that ask each
/// other while their own reads succeed.
#[test]
fn a_proof_is_overdue_after_a_lost_read() {
    let mut proof = Proof::new(Some(BOUND));
    let period = proof.read_period().expect("a bound");
    assert!(proof.is_overdue(ms(0)));
    proof.confirm(3, ms(0), 3);
    assert!(!proof.is_overdue(period + ms(100)));
    assert!(proof.is_overdue(period * 2));
    assert!(proof.accepts_keys(period * 2, 3));
}

/// Guards against keys that an older configuration proves, which the store has again after it came back from a copy.
#[test]
fn an_older_version_than_the_one_in_force_proves_nothing() {
    let mut proof = Proof::new(Some(BOUND));
    proof.confirm(4, ms(1_000), 4);
    proof.confirm(3, ms(4_000), 4);
    assert_eq!(proof.newest(), Some((4, ms(1_000))));
    assert!(!proof.accepts_keys(ms(6_000), 4));
    proof.confirm(4, ms(6_000), 4);
    assert!(proof.accepts_keys(ms(6_000), 4));
}
