//! The state that a host keeps: the directory, holdings, the retry budget and health.

mod support;

use jaystand_dispatch::{
    budget::{Budget, Settings, Sharers},
    directory::{Change, Directory},
    health::{Health, Outcome},
    holdings::Holdings,
    prompt::{Salt, cache_key},
};
use support::{directory, engine, ms};

/// Guards against a restarted server that inherits the state of its earlier incarnation, and against late writes of
/// that incarnation.
#[test]
fn an_incarnation_replaces_the_previous_one() {
    let mut directory = directory();
    assert_eq!(directory.upsert(engine(1, 1)), Change::Added);
    let former = directory.iter().next().expect("known").key;
    let mut restarted = engine(1, 1);
    restarted.started_ms = 2_000;
    assert_eq!(directory.upsert(restarted), Change::Added);
    assert!(directory.get(former).is_none());
    assert_eq!(directory.upsert(engine(1, 9)), Change::Nothing);
    assert_eq!(directory.len(), 1);
}

/// Guards against an older entry that makes a leaving server usable again or resets its weights version.
#[test]
fn leaving_and_newer_weights_are_not_undone() {
    let mut directory = directory();
    directory.upsert(engine(1, 2));
    let mut leaving = engine(1, 2);
    leaving.leaving = true;
    assert_eq!(directory.upsert(leaving), Change::Leaving);
    assert_eq!(directory.upsert(engine(1, 1)), Change::Nothing);
    let server = directory.iter().next().expect("known");
    assert!(!server.takes_work());
    assert_eq!(server.entry.version("reef"), Some(2));
}

/// Guards against a wrong version that no better news corrects, and against the refusal of an earlier request that
/// replaces newer news.
#[test]
fn a_refusal_corrects_the_version_of_its_model_only() {
    let mut directory = directory();
    let mut entry = engine(1, 1);
    entry.weights.push(("atoll".into(), 1));
    let key = entry.key();
    directory.upsert(entry.clone());
    let version = |directory: &Directory, model: &str| {
        let server = directory.get(key).expect("known");
        server.entry.version(model)
    };
    assert!(directory.learn_version(key, "reef", 4));
    assert!(directory.learn_version(key, "atoll", 4));
    // An entry that was written before the news does not change it.
    directory.upsert(entry.clone());
    assert_eq!(version(&directory, "reef"), Some(4));
    assert_eq!(directory.refute_version(key, "reef", 1, None), None);
    assert_eq!(directory.refute_version(key, "reef", 4, None), Some(1));
    assert_eq!(version(&directory, "atoll"), Some(4));
    // The refusal may state the version.
    assert_eq!(directory.refute_version(key, "atoll", 4, Some(2)), Some(2));
    assert_eq!(directory.refute_version(key, "atoll", 2, Some(5)), Some(5));
    assert_eq!(directory.refute_version(key, "atoll", 5, Some(5)), None);
    // What the server's own entry has stated stays.
    entry.weights[0].1 = 3;
    assert_eq!(directory.upsert(entry), Change::Weights);
    assert_eq!(directory.refute_version(key, "reef", 3, Some(2)), None);
    assert_eq!(version(&directory, "reef"), Some(3));
}

/// Guards against requests to a server that crashed: its successor at the same address refuses them, each refusal costs
/// a retry of the budget, and the entry of the crashed server lapses only seconds later.
#[test]
fn a_server_replaces_the_previous_one_at_its_address() {
    let former = engine(1, 1);
    let mut successor = engine(2, 1);
    successor.address = former.address;
    successor.started_ms = former.started_ms + 5_000;
    let orders = [
        [former.clone(), successor.clone()],
        [successor.clone(), former.clone()],
    ];
    for order in orders {
        let mut directory = directory();
        for entry in order {
            directory.upsert(entry);
        }
        let takes = |key| directory.get(key).expect("known").takes_work();
        assert!(!takes(former.key()));
        assert!(takes(successor.key()));
    }
}

/// Guards against requests to a server that crashed when its successor has no entry yet, but has answered at its
/// address.
#[test]
fn a_replaced_server_gets_no_work_until_it_restarts() {
    let mut directory = directory();
    directory.upsert(engine(1, 1));
    let key = engine(1, 1).key();
    assert!(directory.mark_replaced(ms(0), key, "server-2"));
    assert!(
        !directory.mark_replaced(ms(0), key, "server-2"),
        "it is replaced once"
    );
    // A late write of the crashed server changes nothing.
    directory.upsert(engine(1, 2));
    assert!(!directory.get(key).expect("known").takes_work());
    let mut restarted = engine(1, 1);
    restarted.started_ms += 5_000;
    let key = restarted.key();
    directory.upsert(restarted);
    assert!(directory.get(key).expect("known").takes_work());
}

/// Guards against the removal of live servers whose entries lapsed during an outage of the store, and against servers
/// that stay forever although their entries do not return.
#[test]
fn lapsed_entries_may_return_after_an_outage() {
    let mut directory = directory();
    directory.upsert(engine(1, 1));
    directory.upsert(engine(2, 1));
    directory.store_returned(ms(10_000));
    assert_eq!(directory.remove(ms(10_100), "server-1"), Change::Missing);
    assert_eq!(directory.remove(ms(10_100), "server-2"), Change::Missing);
    directory.upsert(engine(1, 1));
    assert!(directory.expire(ms(11_900)).is_empty());
    assert_eq!(directory.expire(ms(12_000)), ["server-2"]);
    assert_eq!(directory.len(), 1);
    // Without an outage, the server is removed at once.
    assert_eq!(directory.remove(ms(20_000), "server-1"), Change::Removed);
}

/// Guards against a leaving server that is kept because its entry was removed after an outage.
#[test]
fn a_leaving_server_is_not_kept_after_an_outage() {
    let mut directory = directory();
    let mut leaving = engine(1, 1);
    leaving.leaving = true;
    directory.upsert(leaving);
    directory.store_returned(ms(10_000));
    assert_eq!(directory.remove(ms(10_100), "server-1"), Change::Removed);
}

/// Guards against cached parts that are shared between isolated teams or weights versions.
#[test]
fn cache_keys_differ_by_team_and_version() {
    let team = jaystand_dispatch::config::Team {
        name: "schools".into(),
        rank: None,
        isolated: true,
        limit: None,
    };
    let (shared, own) = (Salt::default(), Salt::new(Some(&team)));
    let texts = [
        shared.text(Some(1)),
        shared.text(Some(2)),
        own.text(Some(1)),
        own.text(None),
    ];
    let mut keys: Vec<u64> = texts.iter().map(|salt| cache_key(salt, "part")).collect();
    keys.sort_unstable();
    keys.dedup();
    assert_eq!(keys.len(), 4);
}

/// Guards against parts that count as cached although their server has reported their eviction, or although they were
/// sent long ago: on cairn-quito-grown an engine computes some 24,000 tokens a second and has room for 70,000 beside
/// its runs.
#[test]
fn holdings_follow_reports_and_expire_without_them() {
    let mut holdings = Holdings::default();
    holdings.record_sent(ms(0), 1, 7, 500);
    assert_eq!(holdings.tokens(ms(2_900), 1, 7), 500);
    assert_eq!(holdings.tokens(ms(5_000), 1, 7), 0);
    holdings.start_reports(8);
    holdings.record_sent(ms(0), 1, 8, 500);
    assert_eq!(holdings.tokens(ms(1_000), 1, 8), 500);
    assert_eq!(holdings.tokens(ms(2_000), 1, 8), 0, "no report of it came");
    holdings.record_report(1, 8, 480);
    assert_eq!(holdings.tokens(ms(60_000), 1, 8), 480);
    holdings.record_report(1, 8, 0);
    assert_eq!(holdings.tokens(ms(60_000), 1, 8), 0);
    holdings.record_report(1, 8, 480);
    holdings.forget(8);
    assert_eq!(holdings.holders(ms(60_000), 1).count(), 0);
}

const BUDGET: Settings = Settings {
    ratio: 0.2,
    slack: 52.0,
    window: std::time::Duration::from_secs(10),
};

/// Guards against hosts that together send more retries in any window than the deployment allows, while every request
/// fails.
#[test]
fn six_hosts_stay_within_the_shared_budget() {
    let service = "lm".into();
    let mut hosts: Vec<Budget> = (0..6).map(|_| Budget::new(BUDGET, ms(0))).collect();
    let mut retries = Vec::new();
    for now in (0..60_000).step_by(20) {
        // The load peaks between seconds 20 and 25.
        let is_peak = (20_000..25_000).contains(&now);
        for (number, budget) in hosts.iter_mut().enumerate() {
            if is_peak || (now / 20) % 6 == number as u64 {
                budget.record_request(ms(now), &service);
                if budget.take_retry(ms(now), &service, 6) {
                    retries.push(now);
                }
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        times
            .iter()
            .filter(|t| (from..from + 10_000).contains(*t))
            .count()
    };
    for from in (0..50_000).step_by(500) {
        // 50 requests a second, and 300 at the peak.
        let requests: u64 = (from..from + 10_000)
            .step_by(20)
            .map(|now| {
                if (20_000..25_000).contains(&now) {
                    6
                } else {
                    1
                }
            })
            .sum();
        let allowed = requests / 5 + 52;
        assert!(
            within(&retries, from) as u64 <= allowed,
            "window from {from}"
        );
    }
    assert!(retries.len() > 100, "the budget is of use");
}

/// Guards against hosts that each take the shares of those that they no longer hear: in a cut of four data centres, all
/// hosts go on to send retries to the servers that they reach.
#[test]
fn a_cut_between_hosts_does_not_enlarge_the_budget() {
    const HOSTS: u64 = 60;
    const DATA_CENTRES: u64 = 4;
    let service = "lm".into();
    let mut hosts: Vec<(Budget, Sharers<u64>)> = (0..HOSTS)
        .map(|_| (Budget::new(BUDGET, ms(0)), Sharers::default()))
        .collect();
    let mut retries = 0;
    // Second 10 to 20 is in the cut, which begins at second 2. Each host sends one request a second.
    for now in (0..20_000).step_by(200) {
        for (number, (budget, sharers)) in (0..HOSTS).zip(&mut hosts) {
            let is_heard =
                |other: &u64| now < 2_000 || other % DATA_CENTRES == number % DATA_CENTRES;
            for other in (0..HOSTS).filter(|other| *other != number).filter(is_heard) {
                sharers.record(ms(now), other);
            }
            if now % 1_000 == 0 {
                budget.record_request(ms(now), &service);
            }
            sharers.expire(ms(now));
            let share = sharers.count() + 1;
            let sent = now >= 10_000 && budget.take_retry(ms(now), &service, share);
            retries += u64::from(sent);
        }
    }
    let requests = HOSTS * 10;
    assert!(
        retries <= requests / 5 + 52,
        "{retries} retries in ten seconds"
    );
}

/// Guards against a host that may retry nothing because it had no requests before.
#[test]
fn a_quiet_host_has_its_share_of_the_slack() {
    let mut budget = Budget::new(BUDGET, ms(0));
    let service = "lm".into();
    let allowed = (0..100)
        .filter(|_| budget.take_retry(ms(5), &service, 6))
        .count();
    assert!((4..=8).contains(&allowed), "{allowed}");
}

/// Guards against a server that cannot be reached but is tried by each request, or that gets no request for too long.
#[test]
fn backoff_doubles_up_to_a_bound() {
    let mut health = Health::default();
    let mut now = ms(0);
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        health.observe(now, Outcome::Unreachable);
        let mut backoff = 0;
        while health.is_backing_off(now + ms(backoff)) {
            backoff += 100;
        }
        backoffs.push(backoff);
        now += ms(backoff);
    }
    assert_eq!(backoffs[..4], [400, 800, 1_600, 3_200]);
    assert!(backoffs.iter().all(|backoff| *backoff <= 4_000));
    health.observe(now, Outcome::Good);
    health.observe(now, Outcome::Broken);
    assert!(
        !health.is_backing_off(now),
        "one broken answer starts no backoff"
    );
}
