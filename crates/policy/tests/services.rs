//! Tests of plain services that take long to answer.

use std::{sync::Arc, time::Duration};

use jaystand_policy::{Action, Chain, Event, Fleet, Request, router, server};
use jaystand_types::{RepeatRule, Urgency};

// Guards against a timeout that ignores the deadline: a service that took more than about a second timed out although
// its deadline was far away.
#[test]
fn a_plain_service_has_half_of_the_time_left_for_its_answer() {
    let mut router = router::Router::new(router::Settings::default(), 1);
    let spec = server::Spec {
        id: 0,
        name: "supplies-1".into(),
        data_centre: "dc1".into(),
        model: "supplies".into(),
        weights_version: String::new(),
        service: true,
        slots: 4,
    };
    let fleet = Fleet {
        servers: vec![spec],
        ..Fleet::default()
    };
    router.configure(Duration::ZERO, fleet);
    let request = Request {
        id: 1,
        team: "schools".into(),
        kind: "lookup".into(),
        urgency: Urgency::Urgent,
        repeat: RepeatRule::Repeatable,
        chain: Chain::default(),
        prompt_tokens: 0,
        expected_tokens: 1,
        deadline: Duration::from_secs(20),
        first_token_target: Duration::from_millis(300),
        servers: Arc::from([0]),
    };
    let mut actions = Vec::new();
    router.handle(Duration::ZERO, Event::Submit(request), &mut actions);
    let [
        Action::Dispatch {
            first_token_timeout,
            ..
        },
    ] = actions[..]
    else {
        panic!("expected one dispatch, got {actions:?}");
    };
    assert_eq!(first_token_timeout, Duration::from_secs(10));
}
