//! What servers say of themselves, against what the directory and other hosts say of them.

mod support;

use jaystand_dispatch::{
    ServerKey,
    directory::Directory,
    notice::{MAX_PAUSE, Notice, Pause},
    weights::{self, Age, Settings, Versions},
};
use jaystand_types::{Model, Moment};
use support::{desk, engine, ms};

fn leaving() -> Notice {
    Notice {
        leaving: true,
        pause: Pause::None,
    }
}

fn pause(length: u64) -> Notice {
    Notice {
        leaving: false,
        pause: Pause::For(ms(length)),
    }
}

fn known() -> (Directory, ServerKey) {
    let mut directory = Directory::default();
    directory.upsert(desk(1));
    (directory, desk(1).key())
}

fn takes(directory: &Directory, key: ServerKey) -> bool {
    directory.get(key).expect("known").takes_work()
}

/// Guards against a store that says "ready" after the server has said that it leaves, also after the entry had been
/// gone: a host that is cut off from the store gets such entries from another host's copy.
#[test]
fn no_entry_undoes_the_word_of_a_server_that_leaves() {
    let (mut directory, key) = known();
    assert!(directory.observe_notice(ms(10), key, leaving()).leaves);
    assert!(
        !directory.observe_notice(ms(11), key, leaving()).leaves,
        "known"
    );
    assert!(!takes(&directory, key));
    directory.upsert(desk(1));
    assert!(!takes(&directory, key));
    directory.remove(ms(20), &desk(1).name);
    directory.upsert(desk(1));
    assert!(!takes(&directory, key));
    let mut next = desk(1);
    next.started_ms += 1;
    let next_key = next.key();
    directory.upsert(next);
    assert!(takes(&directory, next_key));
}

/// Guards against a host that has just started and hears of a departure before it has the server's entry.
#[test]
fn a_departure_is_known_before_the_entry() {
    let mut directory = Directory::default();
    let key = desk(1).key();
    assert!(directory.mark_leaving(key));
    assert!(!directory.mark_leaving(key));
    directory.upsert(desk(1));
    assert!(!takes(&directory, key));
}

/// Guards against many answers at once, of which an earlier one ends the pause of a later one.
#[test]
fn the_longest_of_many_pauses_holds() {
    let (mut directory, key) = known();
    let first = directory.observe_notice(ms(0), key, pause(900));
    assert_eq!(first.paused, Some(ms(900)));
    for at in 1..20 {
        let length = 800 - at * 40;
        assert_eq!(
            directory.observe_notice(ms(at), key, pause(length)).paused,
            None
        );
    }
    directory.observe_notice(ms(30), key, pause(1_000));
    let until = |now| directory.get(key).expect("known").paused_until(now);
    assert_eq!(until(ms(31)), Some(ms(1_030)));
    assert_eq!(until(ms(1_030)), None);
}

/// Guards against a pause that ends with its server's entry: entries lapse after three heartbeats of silence and come back,
/// while the server still wants nothing from this host.
#[test]
fn a_pause_outlives_the_entry() {
    let (mut directory, key) = known();
    directory.observe_notice(ms(0), key, pause(5_000));
    directory.remove(ms(100), &desk(1).name);
    directory.upsert(desk(1));
    let until = |directory: &Directory| directory.get(key).expect("known").paused_until(ms(200));
    assert_eq!(until(&directory), Some(ms(5_000)));
    directory.store_returned(ms(300));
    directory.remove(ms(400), &desk(1).name);
    directory.expire(ms(9_000));
    assert!(directory.get(key).is_none());
    directory.upsert(desk(1));
    assert_eq!(until(&directory), Some(ms(5_000)));
}

/// Guards against values that keep a server idle for good, overflow, or fill the log.
#[test]
fn absurd_pauses_are_bounded_and_stated_once() {
    let (mut directory, key) = known();
    let absurd = Notice {
        leaving: false,
        pause: Pause::For(std::time::Duration::MAX),
    };
    assert!(directory.observe_notice(ms(5), key, absurd).invalid);
    assert!(!directory.observe_notice(ms(6), key, absurd).invalid);
    let until = directory.get(key).expect("known").paused_until(ms(7));
    assert_eq!(until, Some(ms(6) + MAX_PAUSE));
    let (mut directory, key) = known();
    let unreadable = Notice {
        leaving: false,
        pause: Pause::Unreadable,
    };
    assert!(directory.observe_notice(ms(5), key, unreadable).invalid);
    assert!(!directory.observe_notice(ms(6), key, unreadable).invalid);
    let server = directory.get(key).expect("known");
    assert_eq!(server.paused_until(ms(7)), None);
}

/// Guards against weight orders, and the reports before them, to a server that wants nothing from this host.
#[test]
fn a_server_that_pauses_gets_no_order() {
    let mut directory = Directory::default();
    directory.upsert(engine(1, 1));
    let key = engine(1, 1).key();
    let mut versions = Versions::new(Settings {
        preferred_after: ms(1_300),
        required_after: ms(5_400),
    });
    versions.record_named(Moment::ZERO, &Model::from("reef"), 2, Age::Known(ms(0)));
    directory.observe_notice(ms(10), key, pause(500));
    let due = |now| weights::next_updates(now, &directory, &versions, &[], |_| 0).len();
    assert_eq!(due(ms(400)), 0);
    assert_eq!(due(ms(510)), 1);
}
