//! Refusals, and the time after which callers should retry.

mod support;

use jaystand_dispatch::admission::{self, Reason};
use support::ms;

/// Guards against streams that are accepted long after the process was asked to stop, and cut when it ends (cairn-quito
/// mix, seed 7838606580: a 10 s stream accepted 4.2 s after SIGTERM was cut at 7.9 s).
#[test]
fn a_stopping_process_refuses_what_it_cannot_finish() {
    let refused =
        |since, timeout| admission::refused_while_stopping(ms(since), ms(timeout), ms(8_000));
    assert!(refused(4_200, 10_000));
    // Short requests still end in time, and soon after the request to stop all requests are accepted.
    assert!(!refused(4_200, 1_000));
    assert!(!refused(2_500, 10_000));
    assert!(refused(6_700, 1_000));
}

/// Guards against retry times that callers ignore: they follow one of up to a third of the time to their deadline.
#[test]
fn callers_follow_the_retry_time() {
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

/// Guards against requests that wait at a server although their first token would come after their deadline.
#[test]
fn a_request_that_would_miss_its_deadline_is_refused() {
    assert!(admission::misses_deadline(ms(2_600), ms(2_500)));
    assert!(!admission::misses_deadline(ms(2_400), ms(2_500)));
}
