//! Revisions of a store that comes back from older copies.

use jaystand_dispatch::revision::Revision;
use proptest::prelude::*;

/// Guards against a host that counts as better informed because its revision of an earlier era is a greater number.
#[test]
fn a_later_era_supersedes_greater_numbers_of_earlier_ones() {
    let (lost, restored) = (Revision::new(1, 500), Revision::new(2, 480));
    assert!(restored.supersedes(lost));
    assert!(!lost.supersedes(restored));
    assert!(Revision::new(2, 481).supersedes(restored));
    assert!(!restored.supersedes(restored));
}

proptest! {
    /// Guards against two hosts that each count as better informed than the other, or than a third one in a circle.
    #[test]
    fn superseding_is_a_strict_order(
        a in (0_u64..4, 0_u64..6),
        b in (0_u64..4, 0_u64..6),
        c in (0_u64..4, 0_u64..6),
    ) {
        let [a, b, c] = [a, b, c].map(|(era, number)| Revision::new(era, number));
        prop_assert!(!(a.supersedes(b) && b.supersedes(a)));
        if a.supersedes(b) && b.supersedes(c) {
            prop_assert!(a.supersedes(c));
        }
        prop_assert_eq!(a == b, !a.supersedes(b) && !b.supersedes(a));
    }
}
