//! When hosts tell each other what.

mod support;

use jaystand_dispatch::{
    load::{Load, Peers},
    report::{self, MAX_BRIEF_RECEIVERS, PERIOD, Schedule},
};
use rand::{SeedableRng as _, seq::SliceRandom as _};
use rand_pcg::Pcg64Mcg;
use support::ms;

/// The load of a round of weight updates on 89 engines: 17 begin, and 17 end, within some milliseconds of each other,
/// again and again. Guards against the holder's link being full of reports: in cairn-quito-grown trouble-2 plain
/// answers took 250 to 640 ms there, and orders to healthy engines timed out.
#[test]
fn a_round_of_updates_sends_few_reports() {
    let mut schedule = Schedule::default();
    let mut sent = 0;
    let mut free_at = ms(0);
    for change in 0..200 {
        let now = ms(change * 5);
        // Changes that come while news wait go out with them.
        if now >= free_at {
            free_at = schedule.schedule_news(now, 60);
            sent += 1;
        }
    }
    assert!(sent <= 22, "{sent} reports in a second");
}

/// Guards against requests to a server that begins to load: the first news must not wait.
#[test]
fn the_first_news_go_out_at_once() {
    let mut schedule = Schedule::default();
    assert_eq!(schedule.schedule_news(ms(700), 60), ms(700));
    assert_eq!(schedule.schedule_news(ms(710), 60), ms(750));
    assert_eq!(schedule.schedule_news(ms(2_000), 60), ms(2_000));
}

/// Guards against news that state updates of long ago, and against updates that no news states.
#[test]
fn updates_are_news_for_several_reports() {
    assert!(report::is_news(ms(1_000), ms(1_000)));
    assert!(report::is_news(ms(1_100), ms(1_000)));
    assert!(!report::is_news(ms(1_500), ms(1_000)));
}

/// Guards against news of load that are too old to place by: half of a second after its report goes out, a host is
/// known to most of 300 others.
#[test]
fn a_load_is_known_to_most_hosts_within_half_a_second() {
    assert!(report::reporting_share(300, ms(500)) > 0.4);
    assert!(report::reporting_share(300, ms(1_000)) > 0.65);
}

/// Guards against loads that are taken for too small in a fleet where only some hosts are heard: 300 hosts with one
/// request each on a server, of which each round 64 report to this host.
#[test]
fn the_hosts_that_are_heard_stand_for_all() {
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

/// Guards against scaled loads in a fleet whose hosts all hear each other, some of which have just gone.
#[test]
fn in_a_small_fleet_each_host_counts_for_itself() {
    assert!((report::reporting_share(61, ms(1_500)) - 1.0).abs() < f64::EPSILON);
    assert!(report::reporting_share(300, ms(1_500)) < 0.9);
}
