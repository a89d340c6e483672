//! The faults of a run.

use std::{collections::BTreeSet, time::Duration};

use jaystand_soak::plan::{self, CALM_END, Shape, WARM_UP};

const SHAPE: Shape = Shape {
    gateways: 3,
    servers: 6,
};
const LENGTH: Duration = Duration::from_secs(60);

/// Guards against a seed that cannot be played again.
#[test]
fn a_seed_gives_the_same_faults() {
    let first = plan::draw(7, SHAPE, LENGTH);
    assert_eq!(first, plan::draw(7, SHAPE, LENGTH));
    assert_ne!(first, plan::draw(8, SHAPE, LENGTH));
}

/// Guards against faults that never overlap, kinds that are never drawn, and faults in the calm end.
#[test]
fn faults_overlap_and_leave_a_calm_end() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..50 {
        let events = plan::draw(seed, SHAPE, LENGTH);
        for pair in events.windows(2) {
            overlaps += usize::from(pair[1].at < pair[0].at + pair[0].lasts);
        }
        for event in events {
            assert!(event.at >= WARM_UP);
            assert!(event.at + event.lasts <= LENGTH.saturating_sub(CALM_END));
            let name = format!("{:?}", event.fault);
            kinds.insert(name.split('(').next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(kinds.len(), 14, "{kinds:?}");
    assert!(overlaps > 100, "{overlaps}");
}
