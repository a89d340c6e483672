//! Notices of servers, and their precedence over the directory and other hosts' reports.

mod support;

use jaystand_dispatch::{
    ServerKey,
    directory::Directory,
    notice::{MAX_PAUSE, Notice, Pause},
    weights::{self, Age, Settings, Versions},
};
use jaystand_types::{Model, Moment};
use support::{desk, directory, engine, ms};

fn leaving() -> Notice {
    Notice {
        leaving: true,
        ..Notice::default()
    }
}

fn pause(length: u64) -> Notice {
    Notice {
        pause: Pause::For(ms(length)),
        ..Notice::default()
    }
}

/// A directory with one server.
fn directory_with_server() -> (Directory, ServerKey) {
    let mut directory = directory();
    directory.upsert(desk(1));
    (directory, desk(1).key())
}

fn takes_work(directory: &Directory, key: ServerKey) -> bool {
    directory.get(key).expect("known").takes_work()
}

/// Guards against requests to a server that leaves because its entry still states "ready", also when the entry returns
/// after it was removed: a host that is cut off from the store gets such entries from another host's copy.
#[test]
fn no_entry_overrides_the_notice_that_a_server_leaves() {
    let (mut directory, key) = directory_with_server();
    assert!(directory.observe_notice(ms(10), key, leaving()).leaves);
    assert!(
        !directory.observe_notice(ms(11), key, leaving()).leaves,
        "known"
    );
    assert!(!takes_work(&directory, key));
    directory.upsert(desk(1));
    assert!(!takes_work(&directory, key));
    directory.remove(ms(20), &desk(1).name);
    directory.upsert(desk(1));
    assert!(!takes_work(&directory, key));
    let mut next = desk(1);
    next.started_ms += 1;
    let next_key = next.key();
    directory.upsert(next);
    assert!(takes_work(&directory, next_key));
}

/// Guards against requests to a server that leaves when a host that has just started learns this from another host
/// before it has the server's entry.
#[test]
fn a_server_can_be_marked_as_leaving_before_its_entry_is_known() {
    let mut directory = directory();
    let key = desk(1).key();
    assert!(directory.mark_leaving(key));
    assert!(!directory.mark_leaving(key));
    directory.upsert(desk(1));
    assert!(!takes_work(&directory, key));
}

/// Guards against a pause that is cut short by a shorter one when many answers arrive at once.
#[test]
fn the_longest_of_many_pauses_applies() {
    let (mut directory, key) = directory_with_server();
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

/// Guards against a pause that is lost when the server's entry is removed: entries lapse after three missed heartbeats
/// and return while the pause still lasts.
#[test]
fn a_pause_outlives_the_entry() {
    let (mut directory, key) = directory_with_server();
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

/// Guards against invalid pauses that keep a server idle forever, overflow, or fill the log.
#[test]
fn invalid_pauses_are_bounded_and_reported_once() {
    let (mut directory, key) = directory_with_server();
    let invalid = Notice {
        pause: Pause::For(std::time::Duration::MAX),
        ..Notice::default()
    };
    assert!(directory.observe_notice(ms(5), key, invalid).invalid);
    assert!(!directory.observe_notice(ms(6), key, invalid).invalid);
    let until = directory.get(key).expect("known").paused_until(ms(7));
    assert_eq!(until, Some(ms(6) + MAX_PAUSE));
    let (mut directory, key) = directory_with_server();
    let unreadable = Notice {
        pause: Pause::Unreadable,
        ..Notice::default()
    };
    assert!(directory.observe_notice(ms(5), key, unreadable).invalid);
    assert!(!directory.observe_notice(ms(6), key, unreadable).invalid);
    let server = directory.get(key).expect("known");
    assert_eq!(server.paused_until(ms(7)), None);
}

/// Guards against weight orders, and the status requests before them, to a server that asked this host for a pause.
#[test]
fn a_server_in_a_pause_gets_no_order() {
    let mut directory = directory();
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
