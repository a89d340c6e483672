//! The generated faults of a run.

use std::{collections::BTreeSet, time::Duration};

use jaystand_soak::plan::{self, RECOVERY_TIME, Shape, WARM_UP};

const SHAPE: Shape = Shape {
    gateways: 3,
    servers: 6,
};
const LENGTH: Duration = Duration::from_secs(60);

/// Guards against a failure that cannot be reproduced because its seed gives other faults.
#[test]
fn a_seed_gives_the_same_faults() {
    let first = plan::generate(7, SHAPE, LENGTH);
    assert_eq!(first, plan::generate(7, SHAPE, LENGTH));
    assert_ne!(first, plan::generate(8, SHAPE, LENGTH));
}

/// Guards against faults that never overlap, kinds that are never drawn, and faults that last into the time in which
/// the system must recover.
#[test]
fn faults_overlap_and_leave_time_to_recover() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..50 {
        let events = plan::generate(seed, SHAPE, LENGTH);
        for pair in events.windows(2) {
            overlaps += usize::from(pair[1].start < pair[0].start + pair[0].duration);
        }
        for event in events {
            assert!(event.start >= WARM_UP);
            assert!(event.start + event.duration <= LENGTH.saturating_sub(RECOVERY_TIME));
            let name = format!("{:?}", event.fault);
            kinds.insert(name.split('(').next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(kinds.len(), 17, "{kinds:?}");
    assert!(overlaps > 100, "{overlaps}");
}
