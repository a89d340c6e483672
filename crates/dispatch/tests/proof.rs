//! Whether keys may be accepted, in virtual time.

mod support;

use std::time::Duration;

use jaystand_dispatch::proof::Proof;
use support::ms;

/// The bound of the users' sheets.
const BOUND: Duration = Duration::from_secs(5);

/// Guards against keys that are accepted later than the bound after they were taken away: on mpr-ricambi a data centre
/// that was cut off for 9 s ran requests 5.05 to 5.4 s after the acknowledgement. The revocation is acknowledged
/// right after the last read, which is the latest moment that this host cannot see.
#[test]
fn without_the_store_keys_are_refused_before_the_bound() {
    let mut proof = Proof::new(Some(BOUND));
    assert!(!proof.accepts_keys(ms(0), 3));
    proof.confirm(3, ms(1_000));
    assert!(proof.accepts_keys(ms(1_000), 3));
    assert!(proof.accepts_keys(ms(5_500), 3));
    assert!(!proof.accepts_keys(ms(6_000), 3));
    assert!(!proof.accepts_keys(ms(14_000), 3));
}

/// Guards against a host that knows of a newer configuration, cannot use it, and goes on with the former one.
#[test]
fn a_proof_of_a_newer_version_is_no_proof_of_the_one_in_force() {
    let mut proof = Proof::new(Some(BOUND));
    proof.confirm(4, ms(1_000));
    assert!(!proof.accepts_keys(ms(1_100), 3));
    assert!(proof.accepts_keys(ms(1_100), 4));
}

/// Guards against a late copy of an old proof that replaces a newer one.
#[test]
fn the_newest_proof_counts() {
    let mut proof = Proof::new(Some(BOUND));
    proof.confirm(4, ms(3_000));
    proof.confirm(3, ms(1_000));
    assert_eq!(proof.newest(), Some((4, ms(3_000))));
    assert!(proof.accepts_keys(ms(7_000), 4));
}

/// Guards against refusals where keys need no proof, and against reads of the store that serve nobody.
#[test]
fn without_a_bound_no_proof_is_needed() {
    let proof = Proof::new(None);
    assert!(proof.accepts_keys(ms(100_000), 1));
    assert_eq!(proof.read_period(), None);
}

/// Guards against a host that refuses keys although the store answers: one read that is lost, with the time that it
/// is waited for, and the change to another source must fit between two proofs.
#[test]
fn a_lost_read_does_not_refuse_anybody() {
    let mut proof = Proof::new(Some(BOUND));
    let period = proof.read_period().expect("a bound");
    proof.confirm(3, ms(0));
    let lost_read = Duration::from_millis(900);
    assert!(proof.accepts_keys(period + lost_read + period, 3));
}

/// Guards against a host that refuses keys although other hosts are in touch with the store, and against hosts that ask
/// each other while their own reads succeed.
#[test]
fn other_hosts_are_asked_once_a_read_is_overdue() {
    let mut proof = Proof::new(Some(BOUND));
    let period = proof.read_period().expect("a bound");
    assert!(proof.is_overdue(ms(0)));
    proof.confirm(3, ms(0));
    assert!(!proof.is_overdue(period + ms(100)));
    assert!(proof.is_overdue(period * 2));
    assert!(proof.accepts_keys(period * 2, 3));
}
