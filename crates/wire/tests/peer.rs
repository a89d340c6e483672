//! Tests of the messages between daemons: valid messages survive encoding and decoding, all others are refused.

use jaystand_control::{
    digest::{Config, Digest, HotPrefix},
    load::Load,
    mark::{Cause, Mark},
    member::{Entry, State},
};
use jaystand_wire::peer::{Malformed, Table, raw};
use proptest::prelude::*;
use prost::Message;

fn entry(address: &str) -> Entry {
    Entry {
        name: "host-1".into(),
        data_centre: "north".into(),
        region: "south-pacific".into(),
        address: address.parse().unwrap(),
        incarnation: 0x0123_4567_89ab_cdef,
        sequence: 300,
        state: State::Suspect,
    }
}

fn digest() -> Digest {
    let mark = |cause, leaving| Mark {
        subject: "engine-1".into(),
        cause,
        stamp: 3,
        leaving,
    };
    let load = |server| Load {
        server,
        level: 200,
        age_steps: 1,
    };
    Digest {
        sender: entry("10.0.0.1:7000"),
        round: 1 << 20,
        config: Config {
            version: 1_100,
            hash: 5,
        },
        summary: 9,
        members: vec![entry("[fd00::1]:7000"), entry("10.0.0.2:7000")],
        marks: vec![
            mark(Cause::Engine(9), true),
            mark(Cause::List, false),
            mark(Cause::Operator, true),
        ],
        loads: [0, 1, 200, 299].map(load).to_vec(),
        hot_prefixes: vec![
            HotPrefix { head: 1, heat: 250 },
            HotPrefix { head: 2, heat: 0 },
        ],
    }
}

/// Guards against fields that are lost in encoding or decoding, and against a computed size of a digest that differs
/// from its encoded size.
#[test]
fn a_digest_survives_and_has_the_computed_size() {
    let digest = digest();
    let raw = raw::Digest::from(digest.clone());
    assert_eq!(raw.encoded_len(), digest.encoded_len());
    let decoded = raw::Digest::decode(raw.encode_to_vec().as_slice()).unwrap();
    assert_eq!(Digest::try_from(decoded), Ok(digest.clone()));
    let table = Table {
        members: digest.members,
        marks: digest.marks,
    };
    assert_eq!(Table::try_from(raw::Table::from(table.clone())), Ok(table));
}

/// Guards against malformed messages that reach the member table.
#[test]
fn malformed_digests_are_refused() {
    let valid = raw::Digest::from(digest());
    let cases: [fn(&mut raw::Digest); 11] = [
        |raw| raw.sender = None,
        |raw| raw.sender.as_mut().unwrap().name.clear(),
        |raw| raw.sender.as_mut().unwrap().name = "a b".into(),
        |raw| raw.sender.as_mut().unwrap().address.truncate(5),
        |raw| raw.members[0].state = 9,
        |raw| raw.members = vec![raw.members[0].clone(); 33],
        |raw| raw.marks[0].cause = 0,
        |raw| raw.loads.as_mut().unwrap().ages.truncate(2),
        |raw| raw.loads.as_mut().unwrap().gaps[1] = 0,
        |raw| raw.loads.as_mut().unwrap().gaps[2] = u32::MAX,
        |raw| raw.hot[0].heat = 256,
    ];
    for (index, corrupt) in cases.into_iter().enumerate() {
        let mut raw = valid.clone();
        corrupt(&mut raw);
        assert!(
            matches!(Digest::try_from(raw), Err(Malformed(_))),
            "case {index}"
        );
    }
}

proptest! {
    /// Guards against a peer that makes the daemon panic with random bytes.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = raw::Digest::decode(bytes.as_slice()).map(Digest::try_from);
        let _ = raw::Table::decode(bytes.as_slice()).map(Table::try_from);
    }
}
