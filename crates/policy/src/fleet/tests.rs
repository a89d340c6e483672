use std::time::Duration;

use jaystand_types::{Moment, ServerId};

use crate::{Fleet, Router, health::State, router::Settings, server};

fn router(servers: ServerId) -> Router {
    let spec = |id| server::Spec {
        id,
        name: format!("s{id}").into(),
        data_centre: "dc".into(),
        model: "m".into(),
        weights_version: "v1".into(),
        service: false,
        slots: 8,
    };
    let fleet = Fleet {
        servers: (0..servers).map(spec).collect(),
        ..Fleet::default()
    };
    let mut router = Router::new(Settings::default(), 1);
    router.configure(Moment::ZERO, fleet);
    router
}

fn slow_down(router: &mut Router, now: Moment, servers: std::ops::Range<ServerId>) {
    for server in servers {
        for _ in 0..3 {
            router.backends[server as usize].health.observe(now, 8.0);
            router.eject_if_slow(now, server);
        }
    }
}

fn ejected(router: &Router) -> usize {
    let ejected = |state| matches!(state, State::Ejected { .. });
    router
        .backends
        .iter()
        .filter(|b| ejected(b.health.state()))
        .count()
}

/// Guards against the ejection of most servers when many are slow at once.
#[test]
fn at_most_three_in_ten_are_ejected() {
    let mut router = router(10);
    slow_down(&mut router, Duration::from_secs(1), 0..8);
    assert_eq!(ejected(&router), 3);
}

/// Guards against an ejection where a model has only a few servers.
#[test]
fn none_of_three_is_ejected() {
    let mut router = router(3);
    slow_down(&mut router, Duration::from_secs(1), 0..3);
    assert_eq!(ejected(&router), 0);
}

/// Guards against a server that stays ejected after it has recovered.
#[test]
fn a_fast_probe_brings_a_server_back() {
    let mut router = router(10);
    slow_down(&mut router, Duration::from_secs(1), 0..1);
    let later = Duration::from_millis(2_500);
    router.compare_peers(later);
    assert_eq!(router.on_probation, 1);
    router.backends[0].health.observe(later, 1.0);
    assert_eq!(router.backends[0].health.state(), State::Healthy);
}
