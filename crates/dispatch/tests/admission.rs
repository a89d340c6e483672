//! Refusals and the time to come back.

mod support;

use jaystand_dispatch::admission::{self, Reason};
use support::ms;

/// Guards against streams that are taken long after the request to stop and cut when the process ends
/// (cairn-quito mix, seed 7838606580: a 10 s stream taken 4.2 s after SIGTERM was cut at 7.9 s).
#[test]
fn a_stopping_process_refuses_what_it_cannot_finish() {
    let refused =
        |since, patience| admission::refused_while_stopping(ms(since), ms(patience), ms(8_000));
    assert!(refused(4_200, 10_000));
    // Short requests still end in time, and early ones are served whatever they take.
    assert!(!refused(4_200, 1_000));
    assert!(!refused(2_500, 10_000));
    assert!(refused(6_700, 1_000));
}

/// Guards against times to come back that callers would not follow: up to a third of what they have left.
#[test]
fn the_time_to_come_back_is_one_that_callers_follow() {
    for reason in [
        Reason::NoServer,
        Reason::Overload,
        Reason::Stopping,
        Reason::Attempts,
    ] {
        let pause = admission::retry_after(reason, Some(ms(5_000)), ms(900));
        assert!(pause <= ms(300) && pause >= ms(50), "{reason:?}: {pause:?}");
    }
}

/// Guards against requests that wait in a server although their first token would come after their deadline.
#[test]
fn what_comes_too_late_is_refused() {
    assert!(admission::misses_deadline(ms(2_600), ms(2_500)));
    assert!(!admission::misses_deadline(ms(2_400), ms(2_500)));
}
