//! Entries of services that the configuration does not name, and servers that share an address.

mod support;

use jaystand_dispatch::{
    ServerKey,
    directory::{Change, Directory, Entry},
    weights::{self, Age, Settings, Versions},
};
use support::{address, directory, engine, ms};

/// An entry of a service that the configuration of these tests does not name. It started after all other servers.
fn foreign(number: u16, address_of: &Entry) -> Entry {
    Entry {
        name: format!("inventory-{number}").into(),
        service: "inventory".into(),
        started_ms: address_of.started_ms + 5_000,
        address: address_of.address,
        ..engine(number, 1)
    }
}

/// A server that started at the address of another one after it.
fn successor(former: &Entry) -> Entry {
    Entry {
        name: "successor".into(),
        started_ms: former.started_ms + 5_000,
        ..former.clone()
    }
}

fn takes_work(directory: &Directory, key: ServerKey) -> bool {
    directory.get(key).expect("known").takes_work()
}

/// Guards against entries of another writer that take live servers out of use because they name their addresses.
#[test]
fn an_entry_of_an_unknown_service_does_not_displace_a_server() {
    let server = engine(1, 1);
    let other = foreign(1, &server);
    for order in [[&server, &other], [&other, &server]] {
        let mut directory = directory();
        for entry in order {
            directory.upsert(entry.clone());
        }
        assert!(takes_work(&directory, server.key()));
        assert!(!takes_work(&directory, other.key()));
        assert_eq!((directory.len(), directory.unused()), (1, 1));
        assert!(directory.iter().all(|s| s.key == server.key()));
    }
}

/// Guards against servers that are never used because they registered before the configuration that names their service,
/// and against servers that stay in use after another configuration no longer names it.
#[test]
fn a_configuration_puts_the_servers_of_its_services_in_use() {
    let mut directory = directory();
    let former = engine(1, 1);
    let later = foreign(1, &former);
    directory.upsert(former.clone());
    assert_eq!(directory.upsert(later.clone()), Change::Unused);
    let services = ["lm", "inventory"];
    assert_eq!(directory.set_services(services.map(Into::into)), (1, 0));
    assert!(takes_work(&directory, later.key()));
    assert!(
        !takes_work(&directory, former.key()),
        "a server of another service has its address"
    );
    assert_eq!(directory.set_services(["lm".into()]), (0, 1));
    assert!(!takes_work(&directory, later.key()));
    assert!(takes_work(&directory, former.key()));
    assert_eq!(directory.len(), 1);
}

/// Guards against a host without a configuration that uses whatever the store lists.
#[test]
fn no_server_is_in_use_without_a_configuration() {
    let mut directory = Directory::default();
    assert_eq!(directory.upsert(engine(1, 1)), Change::Unused);
    assert!(directory.is_empty() && directory.iter().next().is_none());
    assert_eq!(directory.set_services(["lm".into()]), (1, 0));
    assert!(takes_work(&directory, engine(1, 1).key()));
}

/// Guards against a server that stays out of use after the entry with its address was removed or rewritten.
#[test]
fn a_server_is_used_again_when_no_other_has_its_address() {
    let server = engine(1, 1);
    let later = successor(&server);
    let moved = Entry {
        address: address(99),
        ..later.clone()
    };
    let retired = Entry {
        service: "inventory".into(),
        ..later.clone()
    };
    let changes: [&dyn Fn(&mut Directory); 3] = [
        &|directory| {
            directory.remove(ms(0), &later.name);
        },
        &|directory| {
            directory.upsert(moved.clone());
        },
        &|directory| {
            directory.upsert(retired.clone());
        },
    ];
    for change in changes {
        let mut directory = directory();
        directory.upsert(server.clone());
        directory.upsert(later.clone());
        assert!(!takes_work(&directory, server.key()));
        change(&mut directory);
        assert!(takes_work(&directory, server.key()));
    }
}

/// Guards against an entry that displaces a live server for good, although the live one answers at its address.
#[test]
fn an_answer_shows_which_server_has_an_address() {
    let mut directory = directory();
    let server = engine(1, 1);
    let later = successor(&server);
    directory.upsert(server.clone());
    directory.upsert(later.clone());
    assert!(directory.mark_replaced(ms(0), later.key(), &server.name));
    // The mark stays as long as the entry of the one that answered.
    directory.expire(ms(60_000));
    assert!(takes_work(&directory, server.key()));
    assert!(!takes_work(&directory, later.key()));
    directory.remove(ms(60_000), &server.name);
    directory.expire(ms(60_000));
    assert!(takes_work(&directory, later.key()));
}

/// Guards against a server that is never used again because of one answer, whose sender is unknown, at its address.
#[test]
fn the_mark_by_an_unknown_occupant_ends() {
    let mut directory = directory();
    let key = engine(1, 1).key();
    directory.upsert(engine(1, 1));
    directory.mark_replaced(ms(1_000), key, "unknown");
    directory.expire(ms(4_900));
    assert!(!takes_work(&directory, key));
    directory.expire(ms(5_000));
    assert!(takes_work(&directory, key));
}

/// Guards against an entry of a gone incarnation, back with an older copy of the store, that displaces a live server.
#[test]
fn a_doubted_entry_displaces_no_server() {
    let mut directory = directory();
    let server = engine(1, 1);
    let gone = successor(&server);
    directory.upsert(gone.clone());
    directory.remove(ms(0), &gone.name);
    directory.upsert(server.clone());
    directory.store_restored(ms(1_000));
    assert_eq!(directory.upsert(gone.clone()), Change::Doubted);
    assert!(takes_work(&directory, server.key()));
    // Its entry is still there when all live servers have written theirs again.
    directory.expire(ms(4_000));
    assert!(takes_work(&directory, gone.key()));
    assert!(!takes_work(&directory, server.key()));
}

/// Guards against entries of an unknown service that use up the updates under way, so that no server gets new weights.
#[test]
fn entries_of_an_unknown_service_get_no_weights() {
    let mut directory = directory();
    for number in 0..9 {
        directory.upsert(engine(number, 3));
    }
    for number in 20..30 {
        let mut other = foreign(number, &engine(number, 1));
        other.weights = engine(number, 1).weights;
        directory.upsert(other);
    }
    let settings = Settings {
        preferred_after: ms(1_300),
        required_after: ms(5_400),
    };
    let mut versions = Versions::new(settings);
    versions.record_named(ms(0), &"reef".into(), 3, Age::Known(ms(0)));
    assert!(!weights::pending(&directory, &versions));
    versions.record_named(ms(0), &"reef".into(), 4, Age::Known(ms(0)));
    let due = weights::next_updates(ms(1), &directory, &versions, &[], |_| 0);
    assert_eq!(due.len(), 2);
    let of_service = |key| directory.get(key).expect("known").entry.service == "lm";
    assert!(due.iter().all(|update| of_service(update.server)));
}
