//! Claims on one shard: the verdicts for repeats, and the space that records and results take.

use std::time::Duration;

use bytes::Bytes;
use jaystand_control::claim::{
    Action, BodyHash, Corrupt, Fault, Group, Key, MAX_REPLY_BYTES, MAX_SHARD_BYTES, Outcome,
    RETENTION, Reason, Reply, Seconds, Shard, Verdict,
};
use proptest::prelude::*;

/// A shard object whose reads and writes always succeed, and the group of the daemon that uses it.
#[derive(Default)]
struct Store {
    group: Group,
    version: u64,
    value: Bytes,
    writes: usize,
    nonce: u64,
}

impl Store {
    /// Runs the group until it needs no more I/O, and returns its verdicts.
    fn run(&mut self, now: Seconds) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        loop {
            match self.group.next_action(Duration::ZERO, now, &mut verdicts) {
                Action::Read => {
                    let found = (self.version > 0)
                        .then(|| (self.version, Shard::decode(self.value.clone()).unwrap()));
                    self.group
                        .handle_read(Duration::ZERO, now, Ok(found), &mut verdicts);
                }
                Action::Write { shard, .. } => {
                    self.value = shard.encode();
                    assert!(self.value.len() <= MAX_SHARD_BYTES);
                    self.version += 1;
                    self.writes += 1;
                    self.group
                        .handle_write(Duration::ZERO, now, Ok(self.version), &mut verdicts);
                }
                Action::Sleep(_) | Action::Idle => break,
            }
        }
        verdicts.into_iter().map(|(_, verdict)| verdict).collect()
    }

    /// Claims a key and returns the ticket and verdict of the attempt.
    fn claim(&mut self, now: Seconds, key: &str, body: &[u8]) -> (u64, Verdict) {
        self.nonce += 1;
        let ticket = self
            .group
            .acquire(Key::new("team", key), BodyHash::new(body), self.nonce);
        (ticket, self.run(now).remove(0))
    }

    /// Claims a key and, if the request is dispatched, records its reply.
    fn run_request(&mut self, now: Seconds, key: &str, reply: Reply) -> Verdict {
        let (ticket, verdict) = self.claim(now, key, b"body");
        if verdict == Verdict::Dispatch {
            self.group.finish(now, ticket, Outcome::Replied(reply));
            self.run(now);
        }
        verdict
    }
}

fn reply(size: usize) -> Reply {
    Reply {
        status: 201,
        content_type: "application/json".into(),
        body: vec![b'x'; size].into(),
    }
}

/// Guards against a repeat that is dispatched again or gets the answer of another request, and against a key that can
/// be claimed again after the retention time.
#[test]
fn repeats_get_the_first_answer_until_it_expires() {
    let mut store = Store::default();
    assert_eq!(store.run_request(0, "a", reply(3)), Verdict::Dispatch);
    assert_eq!(
        store.run_request(0, "large", reply(MAX_REPLY_BYTES + 1)),
        Verdict::Dispatch
    );
    let (open, verdict) = store.claim(5, "open", b"body");
    assert_eq!(verdict, Verdict::Dispatch);
    let late = RETENTION - 1;
    assert_eq!(store.claim(late, "a", b"body").1, Verdict::Answer(reply(3)));
    assert_eq!(store.claim(late, "a", b"other").1, Verdict::KeyReused);
    assert_eq!(
        store.claim(late, "large", b"body").1,
        Verdict::Unknown(Reason::NotKept)
    );
    assert_eq!(
        store.claim(late, "open", b"body").1,
        Verdict::Unknown(Reason::InProgress)
    );
    assert_eq!(
        store.claim(RETENTION, "a", b"body").1,
        Verdict::Unknown(Reason::Expired)
    );
    assert_eq!(store.claim(RETENTION, "new", b"body").1, Verdict::Dispatch);
    assert_eq!(
        store.claim(900 * RETENTION, "a", b"body").1,
        Verdict::Unknown(Reason::Expired)
    );
    store.group.finish(RETENTION, open, Outcome::NotSent);
    store.run(RETENTION);
    assert_eq!(store.claim(RETENTION, "open", b"body").1, Verdict::Dispatch);
    assert_ne!(Key::new("ab", "c"), Key::new("a", "bc"));
}

/// Guards against a write for each attempt instead of one for all, and against two dispatches when two attempts on one
/// key are waiting for the same write.
#[test]
fn attempts_of_one_shard_share_a_write() {
    let mut store = Store::default();
    for (nonce, key) in ["a", "b", "a", "c"].into_iter().enumerate() {
        store
            .group
            .acquire(Key::new("team", key), BodyHash::new(b""), nonce as u64);
    }
    let verdicts = store.run(0);
    assert_eq!(
        verdicts
            .iter()
            .filter(|verdict| **verdict == Verdict::Dispatch)
            .count(),
        3
    );
    assert!(verdicts.contains(&Verdict::Unknown(Reason::InProgress)));
    assert_eq!(store.writes, 1);
}

/// Guards against reporting that no earlier request ran although the key was not looked up. A caller that trusts the
/// report would repeat, under a new key, an order that did run.
#[test]
fn only_a_full_shard_excludes_an_earlier_run() {
    assert!(Reason::Full.excludes_earlier_run());
    for reason in [
        Reason::Unreachable,
        Reason::Contended,
        Reason::Corrupt,
        Reason::Deadline,
        Reason::ShuttingDown,
        Reason::InProgress,
        Reason::Expired,
        Reason::NotKept,
    ] {
        assert!(!reason.excludes_earlier_run(), "{reason}");
    }
}

/// Guards against a shard that, after many claims with large replies, exceeds the platform's limit, drops tombstones,
/// or has no space for the result of a dispatched request.
#[test]
fn a_full_shard_refuses_claims_and_keeps_results() {
    let mut store = Store::default();
    let full = Verdict::NotRun(Reason::Full);
    let accepted = (0..100).take_while(|number| {
        store.run_request(0, &number.to_string(), reply(MAX_REPLY_BYTES)) != full
    });
    assert!((55..=63).contains(&accepted.count()));
    assert_eq!(
        store.claim(1, "0", b"body").1,
        Verdict::Answer(reply(MAX_REPLY_BYTES))
    );
    assert_eq!(store.run_request(RETENTION, "next", reply(1)), full);
    assert_eq!(
        store.claim(RETENTION, "0", b"body").1,
        Verdict::Unknown(Reason::Expired)
    );
}

/// Guards against claims that are granted, or left open, when the shard cannot be read or decoded.
#[test]
fn an_unreachable_or_corrupt_shard_grants_nothing() {
    for (fault, reason) in [
        (Fault::Unavailable, Reason::Unreachable),
        (Fault::Corrupt, Reason::Corrupt),
    ] {
        let mut store = Store::default();
        let mut verdicts = Vec::new();
        store
            .group
            .acquire(Key::new("team", "a"), BodyHash::new(b""), 1);
        assert_eq!(
            store.group.next_action(Duration::ZERO, 0, &mut verdicts),
            Action::Read
        );
        store
            .group
            .handle_read(Duration::ZERO, 0, Err(fault), &mut verdicts);
        assert_eq!(
            verdicts.pop().map(|(_, verdict)| verdict),
            Some(Verdict::NotRun(reason))
        );
        assert!(store.group.is_settled());
    }
}

/// Guards against the verdict `not_run` for a repeat that cannot read the shard during an outage, while the same daemon
/// still runs the first request.
#[test]
fn a_repeat_of_a_running_request_is_unknown_during_an_outage() {
    let mut store = Store::default();
    assert_eq!(store.claim(0, "a", b"body").1, Verdict::Dispatch);
    let (key, body) = (Key::new("team", "a"), BodyHash::new(b"body"));
    let mut verdicts = Vec::new();
    store.group.acquire(key, body, 7);
    assert_eq!(
        store.group.next_action(Duration::ZERO, 0, &mut verdicts),
        Action::Read
    );
    store
        .group
        .handle_read(Duration::ZERO, 0, Err(Fault::Unavailable), &mut verdicts);
    let in_progress = Verdict::Unknown(Reason::InProgress);
    assert_eq!(
        verdicts.pop().map(|(_, verdict)| verdict),
        Some(in_progress.clone())
    );
    let late = store.group.acquire(key, body, 8);
    assert_eq!(
        store.group.abandon(0, late, Reason::Deadline),
        Some(in_progress)
    );
}

proptest! {
    /// Guards against a shard that changes when it is encoded and decoded, and against decoding a shard with a flipped
    /// bit.
    #[test]
    fn damaged_shards_are_refused(
        keys in prop::collection::vec("[a-z]{1,4}", 1..20),
        at: prop::sample::Index,
        bit in 0..8,
    ) {
        let mut store = Store::default();
        for (index, key) in keys.iter().enumerate() {
            store.run_request(index as u64 * RETENTION / 9, key, reply(index));
        }
        let shard = Shard::decode(store.value.clone()).unwrap();
        prop_assert_eq!(shard.encode(), store.value.clone());
        let mut damaged = store.value.to_vec();
        damaged[at.index(store.value.len())] ^= 1_u8 << bit;
        prop_assert!(Shard::decode(damaged.into()).is_err());
        prop_assert_eq!(Shard::decode(Bytes::from_static(&[8, 2])), Err(Corrupt::Format(2)));
    }
}
