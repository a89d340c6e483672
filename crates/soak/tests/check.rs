//! Each broken promise is reported, and no other.

use std::{net::SocketAddr, time::Duration};

use jaystand_adapter_standin::{
    answer::{EVENTS_PER_STREAM, answer_body, stream_event},
    call::Kind,
};
use jaystand_soak::check::{Checker, End, Ran, Sent};

fn sent(kind: Kind) -> Sent {
    Sent {
        kind,
        sent_at: Duration::ZERO,
        line: "POST /write/1".to_owned(),
        body: "b".to_owned(),
        team: "schools",
        gateway: gateway(),
    }
}

fn gateway() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn ran() -> Ran {
    Ran {
        line: "POST /write/1".to_owned(),
        body: "b".to_owned(),
        team: "schools".to_owned(),
        key: false,
        after: 0,
    }
}

fn answer(status: u16, body: String, complete: bool) -> End {
    End::Answer {
        status,
        sealed: status == 200,
        body,
        complete,
    }
}

fn events(numbers: impl Iterator<Item = u64>) -> String {
    numbers.map(|number| stream_event("r", number)).collect()
}

/// Records one request with its runs and its end, and returns the promises that it breaks.
fn broken_promises(kind: Kind, runs: &[Ran], end: End) -> Vec<&'static str> {
    let mut checker = Checker::default();
    checker.record_sent("r", sent(kind));
    for run in runs {
        checker.record_run("r", run.clone());
    }
    checker.record_end("r", end);
    checker
        .breaches()
        .iter()
        .map(|breach| breach.promise)
        .collect()
}

/// Guards against a checker that reports correct requests as broken promises.
#[test]
fn correct_requests_break_no_promise() {
    let whole = || answer(200, answer_body("r"), true);
    assert!(broken_promises(Kind::Order, &[ran()], whole()).is_empty());
    assert!(broken_promises(Kind::Read, &[ran(), ran()], whole()).is_empty());
    assert!(broken_promises(Kind::Order, &[], answer(503, String::new(), true)).is_empty());
    assert!(broken_promises(Kind::Order, &[ran()], answer(502, String::new(), true)).is_empty());
    let stream = events(1..=EVENTS_PER_STREAM);
    assert!(broken_promises(Kind::Stream, &[ran(), ran()], answer(200, stream, true)).is_empty());
    // A stream that breaks off without its announced end is no breach: the caller can tell.
    assert!(broken_promises(Kind::Stream, &[ran()], answer(200, events(1..4), false)).is_empty());
}

/// Guards against a checker that reports closed connections of a killed gateway as broken promises, or that accepts
/// them from a gateway that was not disturbed.
#[test]
fn only_a_disturbed_gateway_may_close_connections() {
    let mut checker = Checker::default();
    checker.record_sent("r", sent(Kind::Order));
    checker.record_end("r", End::Closed);
    let promises = |checker: &Checker| {
        checker
            .breaches()
            .iter()
            .map(|breach| breach.promise)
            .collect::<Vec<_>>()
    };
    assert_eq!(promises(&checker), ["a sound gateway answers"]);
    checker.record_disturbance(gateway(), Duration::from_secs(60), Duration::from_secs(61));
    assert_eq!(promises(&checker), ["a sound gateway answers"]);
    checker.record_disturbance(gateway(), Duration::from_secs(1), Duration::from_secs(2));
    assert!(promises(&checker).is_empty());
}

/// Guards against a check that never fails, which would hide the broken promise that it stands for.
#[test]
fn each_broken_promise_is_reported() {
    let whole = || answer(200, answer_body("r"), true);
    let cases = [
        (Kind::Order, vec![ran(), ran()], whole(), "orders run once"),
        (
            Kind::Order,
            vec![ran()],
            answer(503, String::new(), true),
            "a refusal has not run",
        ),
        (
            Kind::Read,
            vec![ran()],
            answer(200, answer_body("s"), true),
            "answers are whole and the caller's own",
        ),
        (
            Kind::Stream,
            vec![ran()],
            answer(200, events(1..4), true),
            "answers are whole and the caller's own",
        ),
        (
            Kind::Stream,
            vec![ran()],
            answer(200, events([1, 3].into_iter()), false),
            "answers are whole and the caller's own",
        ),
        (
            Kind::Stream,
            vec![ran()],
            answer(200, events([1, 1].into_iter()), false),
            "answers are whole and the caller's own",
        ),
        (
            Kind::Read,
            vec![Ran { key: true, ..ran() }],
            whole(),
            "keys are not passed on",
        ),
        (
            Kind::Read,
            vec![Ran {
                team: "other".to_owned(),
                ..ran()
            }],
            whole(),
            "requests reach servers unchanged",
        ),
        (
            Kind::Read,
            vec![Ran {
                body: "c".to_owned(),
                ..ran()
            }],
            whole(),
            "requests reach servers unchanged",
        ),
    ];
    for (kind, runs, end, promise) in cases {
        assert_eq!(broken_promises(kind, &runs, end), [promise]);
    }
    let unsigned = End::Answer {
        status: 200,
        sealed: false,
        body: answer_body("r"),
        complete: true,
    };
    assert_eq!(
        broken_promises(Kind::Read, &[ran()], unsigned),
        ["a success is a server's"]
    );
    let mut checker = Checker::default();
    checker.record_run("unknown", ran());
    checker.record_order("host-1", 4);
    checker.record_order("host-2", 4);
    let promises: Vec<_> = checker
        .breaches()
        .iter()
        .map(|breach| breach.promise)
        .collect();
    assert_eq!(
        promises,
        [
            "one holder for each fence",
            "only what a caller sent is run"
        ]
    );
}
