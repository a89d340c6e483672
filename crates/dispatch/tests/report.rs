//! When hosts send news and reports, and how loads are estimated from them.

mod support;

use jaystand_dispatch::{
    load::{Load, Peers},
    report::{self, MAX_BRIEF_RECEIVERS, PERIOD, Schedule},
};
use rand::{SeedableRng as _, seq::SliceRandom as _};
use rand_pcg::Pcg64Mcg;
use support::ms;

/// Guards against reports that fill the link of the lease holder: in cairn-quito-grown trouble-2 plain answers took 250
/// to 640 ms there, and orders to healthy engines timed out. In a round of weights updates on 89 engines 17 begin, and
/// 17 end, within some milliseconds of each other, again and again.
#[test]
fn a_round_of_updates_sends_few_reports() {
    let mut schedule = Schedule::default();
    let mut sent = 0;
    let mut free_at = ms(0);
    for change in 0..200 {
        let now = ms(change * 5);
        // Changes that occur before the scheduled time are part of the same news.
        if now >= free_at {
            free_at = schedule.schedule_news(now, 60);
            sent += 1;
        }
    }
    assert!(sent <= 22, "{sent} reports in a second");
}

/// Guards against requests to a server that begins to load weights: the first news must be sent without delay.
#[test]
fn the_first_news_are_sent_at_once() {
    let mut schedule = Schedule::default();
    assert_eq!(schedule.schedule_news(ms(700), 60), ms(700));
    assert_eq!(schedule.schedule_news(ms(710), 60), ms(750));
    assert_eq!(schedule.schedule_news(ms(2_000), 60), ms(2_000));
}

/// Guards against news that repeat old updates, and against updates that are in no news.
#[test]
fn updates_are_news_for_a_limited_time() {
    assert!(report::is_news(ms(1_000), ms(1_000)));
    assert!(report::is_news(ms(1_100), ms(1_000)));
    assert!(!report::is_news(ms(1_500), ms(1_000)));
}

/// Guards against loads that are too old for placement: within half a second a host gets reports of a large share of
/// 300 hosts, and within a second of most of them.
#[test]
fn loads_of_a_large_fleet_are_known_within_a_second() {
    assert!(report::reporting_share(300, ms(500)) > 0.4);
    assert!(report::reporting_share(300, ms(1_000)) > 0.65);
}

/// Guards against loads that are estimated too low in a fleet where only some hosts report to each other: 300 hosts
/// have one request each on a server, and in each round 64 of them report to this host.
#[test]
fn loads_are_scaled_up_from_the_hosts_that_report() {
    const HOSTS: u32 = 300;
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut peers = Peers::default();
    let load = Load {
        active: 1,
        prefill_us: 1_000,
        memory_tokens: 500,
    };
    for round in 0..20 {
        let now = PERIOD * round;
        let mut hosts: Vec<u32> = (0..HOSTS).collect();
        hosts.shuffle(&mut random);
        for host in &hosts[..MAX_BRIEF_RECEIVERS] {
            peers.record_report(now, *host, [(7, load)]);
        }
        peers.expire(now, 300);
        if round >= 5 {
            let total = peers.total(7);
            assert!((240..=360).contains(&total.active), "{total:?}");
            assert!((240_000..=360_000).contains(&total.prefill_us), "{total:?}");
        }
    }
}

/// Guards against scaled loads in a fleet whose hosts all report to each other, when some of them have just stopped.
#[test]
fn loads_of_a_small_fleet_are_not_scaled() {
    assert!((report::reporting_share(61, ms(1_500)) - 1.0).abs() < f64::EPSILON);
    assert!(report::reporting_share(300, ms(1_500)) < 0.9);
}
