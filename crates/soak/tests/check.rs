//! Each promise can be seen broken.

use std::{net::SocketAddr, time::Duration};

use jaystand_adapter_standin::{
    answer::{EVENTS_PER_STREAM, answer_body, stream_event},
    call::Kind,
};
use jaystand_soak::check::{End, Judge, Ran, Sent};

fn sent(kind: Kind) -> Sent {
    Sent {
        kind,
        at: Duration::ZERO,
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

/// Plays one request and names the promises that it breaks.
fn broken(kind: Kind, runs: &[Ran], end: End) -> Vec<&'static str> {
    let mut judge = Judge::default();
    judge.sent("r", sent(kind));
    for run in runs {
        judge.ran("r", run.clone());
    }
    judge.ended("r", end);
    judge
        .verdict()
        .iter()
        .map(|breach| breach.promise)
        .collect()
}

/// Guards against sound requests being called broken.
#[test]
fn sound_requests_break_nothing() {
    let whole = || answer(200, answer_body("r"), true);
    assert!(broken(Kind::Order, &[ran()], whole()).is_empty());
    assert!(broken(Kind::Read, &[ran(), ran()], whole()).is_empty());
    assert!(broken(Kind::Order, &[], answer(503, String::new(), true)).is_empty());
    assert!(broken(Kind::Order, &[ran()], answer(502, String::new(), true)).is_empty());
    let stream = events(1..=EVENTS_PER_STREAM);
    assert!(broken(Kind::Stream, &[ran(), ran()], answer(200, stream, true)).is_empty());
    // A stream that breaks off says so.
    assert!(broken(Kind::Stream, &[ran()], answer(200, events(1..4), false)).is_empty());
}

/// Guards against closed connections of a killed gateway being called broken, and those of a sound one passed over.
#[test]
fn only_a_gateway_that_was_hurt_may_close() {
    let mut judge = Judge::default();
    judge.sent("r", sent(Kind::Order));
    judge.ended("r", End::Closed);
    let promises = |judge: &Judge| {
        judge
            .verdict()
            .iter()
            .map(|breach| breach.promise)
            .collect::<Vec<_>>()
    };
    assert_eq!(promises(&judge), ["a sound gateway answers"]);
    judge.hurt(gateway(), Duration::from_secs(60), Duration::from_secs(61));
    assert_eq!(promises(&judge), ["a sound gateway answers"]);
    judge.hurt(gateway(), Duration::from_secs(1), Duration::from_secs(2));
    assert!(promises(&judge).is_empty());
}

/// Guards against checks that cannot fail.
#[test]
fn each_broken_promise_is_seen() {
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
        assert_eq!(broken(kind, &runs, end), [promise]);
    }
    let unsigned = End::Answer {
        status: 200,
        sealed: false,
        body: answer_body("r"),
        complete: true,
    };
    assert_eq!(
        broken(Kind::Read, &[ran()], unsigned),
        ["a success is a server's"]
    );
    let mut judge = Judge::default();
    judge.ran("unknown", ran());
    judge.ordered("host-1", 4);
    judge.ordered("host-2", 4);
    let promises: Vec<_> = judge
        .verdict()
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
