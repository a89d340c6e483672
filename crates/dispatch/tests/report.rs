//! When hosts tell each other what.

mod support;

use jaystand_dispatch::report::{self, Schedule};
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
            free_at = schedule.news(now);
            sent += 1;
        }
    }
    assert!(sent <= 22, "{sent} reports in a second");
}

/// Guards against requests to a server that begins to load: the first news must not wait.
#[test]
fn the_first_news_go_out_at_once() {
    let mut schedule = Schedule::default();
    assert_eq!(schedule.news(ms(700)), ms(700));
    assert_eq!(schedule.news(ms(710)), ms(750));
    assert_eq!(schedule.news(ms(2_000)), ms(2_000));
}

/// Guards against news that state updates of long ago, and against updates that no news states.
#[test]
fn updates_are_news_for_several_reports() {
    assert!(report::is_news(ms(1_000), ms(1_000)));
    assert!(report::is_news(ms(1_100), ms(1_000)));
    assert!(!report::is_news(ms(1_500), ms(1_000)));
}

/// Guards against hosts that never get a brief report.
#[test]
fn every_second_report_is_followed_by_brief_ones() {
    let mut schedule = Schedule::default();
    let brief = (0..10).filter(|_| schedule.regular()).count();
    assert_eq!(brief, 5);
}
