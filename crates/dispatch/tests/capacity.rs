//! Learned limits of servers, and placement among servers of which some are full.

mod support;

use jaystand_dispatch::{
    ServerKey,
    capacity::{Bounds, Limit},
    config::Engine,
    directory::Directory,
    health::Outcome,
    holdings::Holdings,
    load::{Load, Peers},
    placement::{Query, Unplaced, View},
    prompt::{Prompt, Salt},
    reach::Reach,
    weights::{Settings, Versions},
};
use jaystand_types::Moment;
use support::{desk, directory, engine, ms, prompt};

const SLOTS: u32 = 128;
const MEMORY: u64 = 296_579;

fn bounds() -> Bounds {
    Bounds::engine(&Engine {
        slots: SLOTS,
        memory_tokens: MEMORY,
        models: Vec::new(),
    })
}

fn active(active: u32) -> Load {
    Load {
        active,
        ..Load::default()
    }
}

/// Guards against requests that wait at normal load: a server that has refused nothing takes at least its slots, its
/// memory and a single prompt of any length.
#[test]
fn a_server_within_its_configured_capacity_has_room() {
    let limit = Limit::default();
    for load in [
        active(SLOTS),
        Load {
            memory_tokens: MEMORY,
            ..active(20)
        },
        Load {
            prefill_us: 800_000,
            ..active(60)
        },
        Load {
            prefill_us: 6_000_000,
            ..active(3)
        },
    ] {
        assert!(
            limit.has_room(ms(1), bounds().fill(&load, 1.0), 0.0),
            "{load:?} fills the server"
        );
    }
    let unknown = Bounds::plain(0);
    assert!(limit.has_room(ms(1), unknown.fill(&active(500), 1.0), 0.0));
}

/// Guards against work beyond the capacity being sent: each bound counts by itself, and a slow server has less.
#[test]
fn a_server_is_full_by_any_of_its_bounds() {
    let limit = Limit::default();
    let full = |load: Load, slowdown| !limit.has_room(ms(1), bounds().fill(&load, slowdown), 0.0);
    assert!(full(active(SLOTS * 2), 1.0));
    let memory = Load {
        memory_tokens: MEMORY * 2,
        ..active(20)
    };
    assert!(full(memory, 1.0));
    let backlog = Load {
        prefill_us: 900_000,
        ..active(20)
    };
    assert!(!full(backlog, 1.0));
    assert!(full(backlog, 2.0));
}

/// Guards against a burst of refusals that closes a server for long: only one decrease follows from it, and the limit
/// stays between its bounds.
#[test]
fn refusals_decrease_the_limit_once_per_reaction_time() {
    let mut limit = Limit::default();
    for at in 0..50 {
        limit.record_refusal(ms(1_000 + at), 7);
    }
    let first = limit.factor(ms(1_050));
    assert!((0.75..0.85).contains(&first), "{first}");
    for at in 1..100 {
        limit.record_refusal(ms(1_000 + at * 600), 7);
    }
    let now = ms(1_000 + 99 * 600);
    let lowest = limit.factor(now);
    let half_of_the_slots = f64::from(SLOTS) / 2.0 / f64::from(bounds().active());
    assert!(lowest >= half_of_the_slots - 1e-9, "{lowest}");
    // It gets a request again soon after its last refusal, however many came before.
    assert!(!limit.has_room(now, 0.0, 0.0));
    assert!(limit.has_room(now + ms(400), 0.0, 0.0));
}

/// Guards against a limit that stays low after an overload, with or without requests that show it.
#[test]
fn a_limit_recovers() {
    let mut limit = Limit::default();
    for at in 0..20 {
        limit.record_refusal(ms(at * 600), 7);
    }
    let low = limit.factor(ms(12_000));
    assert!(low < 0.6);
    let mut idle = limit;
    assert!(idle.factor(ms(27_000)) >= 1.0);
    idle.record_response(ms(27_000), ms(80), ms(60), 0.1);
    assert!(idle.factor(ms(27_000)) <= 1.0, "no evidence for more");
    for at in 0..60 {
        limit.record_response(ms(12_000 + at * 10), ms(80), ms(60), low);
    }
    assert!(limit.factor(ms(12_600)) >= low + 0.1);
}

/// Guards against the limit falling when a server is only somewhat slow, and staying when first events come far later
/// than expected.
#[test]
fn only_far_later_first_events_decrease_the_limit() {
    let mut limit = Limit::default();
    limit.record_response(ms(1_000), ms(700), ms(100), 0.5);
    limit.record_response(ms(1_010), ms(2_500), ms(1_000), 0.5);
    assert!(limit.factor(ms(1_020)) >= 1.0);
    limit.record_response(ms(1_030), ms(2_500), ms(300), 0.5);
    assert!(limit.factor(ms(1_040)) < 0.9);
}

/// Guards against a limit that ends at its start value although the server takes more, and against one without end.
#[test]
fn good_responses_at_the_limit_raise_it_up_to_twice_the_slots() {
    let mut limit = Limit::default();
    for at in 0..1_000 {
        limit.record_response(ms(at), ms(80), ms(60), 1.3);
    }
    let requests = limit.factor(ms(1_000)) * f64::from(bounds().active());
    assert!(
        (requests - f64::from(SLOTS) * 2.0).abs() < 1.0,
        "{requests}"
    );
}

/// One host and its servers.
struct Host {
    directory: Directory,
    peers: Peers<u8>,
    versions: Versions,
}

impl Host {
    /// Creates a host with 9 engines of 24 slots and 3 plain servers of 6 slots.
    fn new() -> Self {
        let mut directory = directory();
        for number in 0..9 {
            directory.upsert(engine(number, 1));
        }
        for number in 0..3 {
            directory.upsert(desk(number));
        }
        let versions = Versions::new(Settings {
            preferred_after: ms(1_300),
            required_after: ms(5_400),
        });
        Self {
            directory,
            peers: Peers::default(),
            versions,
        }
    }

    fn keys(&self, service: &str) -> Vec<ServerKey> {
        let servers = self.directory.iter();
        servers
            .filter(|server| server.entry.service == service)
            .map(|server| server.key)
            .collect()
    }

    /// Returns the placement with the capacity check, and the one without it.
    fn place(
        &self,
        now: Moment,
        call: u64,
        prompt: Option<&Prompt>,
    ) -> (Result<ServerKey, Unplaced>, Option<ServerKey>) {
        let engine = Engine {
            slots: 24,
            memory_tokens: 206_138,
            models: vec!["reef".into()],
        };
        let (holdings, reach, salt) = (Holdings::default(), Reach::default(), Salt::default());
        let view = View {
            directory: &self.directory,
            peers: &self.peers,
            versions: &self.versions,
            holdings: &holdings,
            stores: &[],
            reach: &reach,
            estimate: None,
            data_centre: &"a".into(),
        };
        let query = Query {
            call,
            service: &if prompt.is_some() { "lm" } else { "desk" }.into(),
            engine: prompt.map(|_| &engine),
            prompt: prompt.map(|prompt| (prompt, &salt)),
            avoid: &[],
        };
        let checked = view.choose_with_room(now, &query, 0.0);
        let unchecked = view.choose(now, &query);
        (
            checked.map(|choice| choice.server),
            unchecked.map(|choice| choice.server),
        )
    }
}

/// Guards against another placement at normal load: with any load below the slots, own or reported, the capacity check
/// changes nothing.
#[test]
fn placement_is_the_same_while_no_server_is_full() {
    let mut host = Host::new();
    let keys = host.keys("lm");
    for call in 0..200 {
        let prompt = prompt(&format!("d-{}", call % 40), 4_800, 900);
        let (checked, unchecked) = host.place(ms(call), call, Some(&prompt));
        assert_eq!(checked.ok(), unchecked);
        let server = unchecked.expect("a server");
        let own = host.directory.get_mut(server).expect("known");
        own.load.active = (own.load.active + 1).min(12);
        let reported = keys.iter().map(|key| (*key, active(12)));
        host.peers.record_report(ms(call), 1, reported);
        let (checked, unchecked) = host.place(ms(call), call, None);
        assert_eq!(checked.ok(), unchecked);
    }
}

/// Guards against requests that are sent to full servers: they go to the next best one, and wait when all are full by
/// own and reported load together.
#[test]
fn full_servers_are_skipped_and_then_the_request_waits() {
    let mut host = Host::new();
    let prompt = prompt("d-1", 4_800, 900);
    let mut seen = Vec::new();
    for _ in 0..9 {
        let (checked, _) = host.place(ms(1), 1, Some(&prompt));
        let server = checked.expect("one of the nine has room");
        assert!(!seen.contains(&server), "a full server was chosen again");
        seen.push(server);
        host.directory.get_mut(server).expect("known").load = active(16);
        let full = seen.iter().map(|key| (*key, active(20)));
        host.peers.record_report(ms(1), 1, full);
    }
    let (checked, unchecked) = host.place(ms(1), 1, Some(&prompt));
    assert_eq!(checked, Err(Unplaced::Full));
    assert!(unchecked.is_some());
    // Without reports, for example when the host is cut off from the others, only its own requests count.
    host.peers.expire(ms(5_000), 2);
    assert!(host.place(ms(5_000), 1, Some(&prompt)).0.is_ok());
}

/// Guards against requests that try one full plain server after another: a server that has just refused is not asked
/// again for a moment. Servers that cannot be reached are not full.
#[test]
fn plain_servers_that_refused_are_full_for_a_moment() {
    let mut host = Host::new();
    for key in host.keys("desk") {
        let server = host.directory.get_mut(key).expect("known");
        server.health.observe(ms(1_000), Outcome::Busy);
        server.capacity.record_refusal(ms(1_000), key);
    }
    assert_eq!(host.place(ms(1_010), 1, None).0, Err(Unplaced::Full));
    assert!(host.place(ms(1_110), 1, None).0.is_ok());
    for key in host.keys("desk") {
        let server = host.directory.get_mut(key).expect("known");
        server.health.observe(ms(2_000), Outcome::Unreachable);
    }
    assert!(host.place(ms(2_010), 1, None).0.is_ok());
}

/// Guards against reported loads, which are older than a plain request lasts, closing a plain service.
#[test]
fn reported_load_does_not_fill_plain_servers() {
    let mut host = Host::new();
    let keys = host.keys("desk");
    let reported = keys.iter().map(|key| (*key, active(60)));
    host.peers.record_report(ms(1), 1, reported);
    assert!(host.place(ms(1), 1, None).0.is_ok());
}

/// Guards against a service without servers looking full.
#[test]
fn a_service_without_servers_is_not_full() {
    let mut host = Host::new();
    for number in 0..3 {
        host.directory.remove(ms(1), &desk(number).name);
    }
    assert_eq!(host.place(ms(1), 1, None).0, Err(Unplaced::NoServer));
}

/// Guards against one full server that changes the placement of requests which it would not have got: the order and the
/// drawn candidates of the others must stay, or their cached parts are computed again.
#[test]
fn a_full_server_changes_only_the_placement_of_its_own_requests() {
    let mut keys = Host::new().keys("lm");
    keys.sort_unstable();
    let (mut same, mut all) = (0, 0);
    for full in keys.iter().copied() {
        let mut host = Host::new();
        for (prefill_ms, key) in (0..).step_by(150).zip(&keys) {
            host.directory.get_mut(*key).expect("known").load = Load {
                prefill_us: prefill_ms * 1_000,
                ..active(3)
            };
        }
        host.directory.get_mut(full).expect("known").load = active(48);
        for call in 0..400 {
            let prompt = prompt(&format!("d-{}", call % 40), 4_800, 900);
            let (checked, unchecked) = host.place(ms(call), call, Some(&prompt));
            assert_ne!(checked, Ok(full));
            if unchecked != Some(full) {
                all += 1;
                same += u32::from(checked.ok() == unchecked);
            }
        }
    }
    assert!(same * 10 >= all * 9, "{same} of {all}");
}
