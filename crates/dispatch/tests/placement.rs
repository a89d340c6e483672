//! Placement: prompts with shared parts go to the same servers, load spreads, and unusable servers are avoided.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use jaystand_dispatch::{
    ServerKey, ServiceName,
    config::Engine,
    directory::Directory,
    health::Outcome,
    holdings::Holdings,
    load::{Load, Peers},
    placement::{Choice, Query, Store, View, cache_keys},
    prompt::{Part, Prompt, Salt},
    reach::Reach,
    weights::{Age, Settings, Versions},
};
use jaystand_types::{DataCentre, Moment};
use support::{desk, directory, engine, ms, prompt};

/// The state of one host.
struct World {
    directory: Directory,
    peers: Peers<u8>,
    versions: Versions,
    holdings: Holdings,
    stores: Vec<Store>,
    reach: Reach,
    home: DataCentre,
    engine: Engine,
    salt: Salt,
}

impl World {
    fn new(engines: u16) -> Self {
        let mut directory = directory();
        for number in 0..engines {
            directory.upsert(engine(number, 1));
        }
        for number in 0..4 {
            directory.upsert(desk(number));
        }
        Self {
            directory,
            peers: Peers::default(),
            versions: Versions::new(Settings {
                preferred_after: ms(1_300),
                required_after: ms(5_400),
            }),
            holdings: Holdings::default(),
            stores: Vec::new(),
            reach: Reach::default(),
            home: "a".into(),
            engine: Engine {
                slots: 24,
                memory_tokens: 206_138,
                models: vec!["reef".into()],
            },
            salt: Salt::default(),
        }
    }

    fn view(&self) -> View<'_, u8> {
        View {
            directory: &self.directory,
            peers: &self.peers,
            versions: &self.versions,
            holdings: &self.holdings,
            stores: &self.stores,
            reach: &self.reach,
            data_centre: &self.home,
            estimate: None,
        }
    }

    fn place(&self, now: Moment, prompt: &Prompt, avoid: &[ServerKey]) -> Option<Choice> {
        let query = Query {
            // Requests at different times have different identities.
            call: jaystand_dispatch::prompt::mix(
                u64::try_from(now.as_micros()).expect("a short test"),
                7,
            ),
            service: &ServiceName::from("lm"),
            engine: Some(&self.engine),
            prompt: Some((prompt, &self.salt)),
            avoid,
        };
        self.view().choose(now, &query)
    }

    fn place_plain(&self, now: Moment, call: u64) -> Option<Choice> {
        let query = Query {
            call,
            service: &ServiceName::from("desk"),
            engine: None,
            prompt: None,
            avoid: &[],
        };
        self.view().choose(now, &query)
    }

    /// Places a request, adds its load to the server, and records that the prompt was sent there.
    fn send(&mut self, now: Moment, prompt: &Prompt) -> Choice {
        let choice = self.place(now, prompt, &[]).expect("a server");
        let keys = cache_keys(prompt, &self.salt, choice.version);
        for (key, part) in keys.iter().zip(&prompt.parts) {
            self.holdings
                .record_sent(now, *key, choice.server, part.tokens);
        }
        let server = self.directory.get_mut(choice.server).expect("known");
        server.load.add(choice.load);
        choice
    }
}

/// Guards against shared documents that are computed on many servers: all hosts must choose the same server without a
/// message.
#[test]
fn requests_about_one_document_go_to_one_server_on_all_hosts() {
    for document in 0..40 {
        let prompt = prompt(&format!("d-{document}"), 4_800, 900);
        let chosen: BTreeSet<_> = (0..6)
            .map(|_| {
                World::new(9)
                    .place(ms(1), &prompt, &[])
                    .expect("a server")
                    .server
            })
            .collect();
        assert_eq!(chosen.len(), 1);
    }
}

/// Guards against long headers that are computed on most engines. The load is that of cairn-quito-grown scale-1: 200
/// short prompts in a second, each about a document of its own, under one of three headers. No document returns before
/// its engine has evicted it, so that only the header is worth caching.
#[test]
fn short_prompts_are_placed_by_their_largest_shared_part() {
    let mut world = World::new(60);
    let mut engines: BTreeSet<(usize, ServerKey)> = BTreeSet::new();
    for number in 0..200 {
        let header = number % 3;
        let mut prompt = prompt(&format!("h-{header}"), 341, 1_800);
        let document = Part {
            name: format!("d-{number}").into(),
            tokens: 227,
        };
        prompt.parts.insert(1, document);
        prompt.input_tokens += 227;
        let now = ms(u64::try_from(number).expect("small") * 5);
        let choice = world.send(now, &prompt);
        // The prompt is computed before the next one with the same header arrives.
        let server = world.directory.get_mut(choice.server).expect("known");
        server.load.subtract(choice.load);
        engines.insert((header, choice.server));
    }
    assert!(engines.len() <= 3 * 6, "{} copies", engines.len());
}

/// Guards against a few servers that get all documents.
#[test]
fn documents_spread_over_the_servers() {
    let world = World::new(9);
    let mut counts: BTreeMap<ServerKey, usize> = BTreeMap::new();
    for document in 0..450 {
        let prompt = prompt(&format!("d-{document}"), 4_800, 900);
        let choice = world.place(ms(1), &prompt, &[]).expect("a server");
        *counts.entry(choice.server).or_default() += 1;
    }
    assert_eq!(counts.len(), 9);
    assert!(
        counts.values().all(|count| (25..=80).contains(count)),
        "{counts:?}"
    );
}

/// Guards against one server that gets all requests about a hot document, where callers would wait for 60 prompts, and
/// against a document that is computed again on each server: servers that did not compute it must fetch it. The load is
/// 60 requests before any first token.
#[test]
fn a_hot_document_spreads_and_is_fetched() {
    let mut world = World::new(9);
    let mut counts: BTreeMap<ServerKey, usize> = BTreeMap::new();
    let mut computed_again = 0;
    for number in 0..60 {
        let mut prompt = prompt("hot", 5_000, 1_500);
        prompt.parts[1].name = compact_str::format_compact!("own-{number}");
        let is_repeat = !counts.is_empty();
        let choice = world.send(ms(number), &prompt);
        let is_new_server = !counts.contains_key(&choice.server);
        if is_repeat && is_new_server && choice.fetch_from.is_none() {
            computed_again += 1;
        }
        *counts.entry(choice.server).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most <= 12, "{counts:?}");
    assert_eq!(computed_again, 0);
}

/// Guards against servers that get much more work than others, whose callers would wait. The load is the peak of a
/// heavy day: 120 long prompts and 240 short ones in one second on nine engines, which is about what they can compute.
#[test]
fn work_is_even_at_peak_load() {
    let mut world = World::new(9);
    for number in 0..360_u64 {
        let document = format!("d-{}", number * 7 % 65);
        let prompt = if number % 3 == 0 {
            prompt(&document, 5_000, 6_600)
        } else {
            prompt(&format!("s-{}", number % 200), 500, 1_800)
        };
        world.send(ms(number * 3), &prompt);
    }
    let engines = world
        .directory
        .iter()
        .filter(|s| !s.entry.weights.is_empty());
    let work: Vec<u64> = engines.map(|server| server.load.prefill_us).collect();
    let mean = work.iter().sum::<u64>() / 9;
    let most = work.iter().max().copied().unwrap_or_default();
    assert!(most < mean * 3 / 2, "mean {mean}, most {most}");
}

/// Guards against placement that ignores the load of other hosts.
#[test]
fn load_of_other_hosts_counts() {
    let mut world = World::new(9);
    let prompt = prompt("d", 4_800, 900);
    let home = world.place(ms(1), &prompt, &[]).expect("a server").server;
    let busy = Load {
        active: 20,
        prefill_us: 2_000_000,
        memory_tokens: 100_000,
    };
    world.peers.record_report(ms(1), 1, [(home, busy)]);
    assert_ne!(
        world.place(ms(1), &prompt, &[]).expect("a server").server,
        home
    );
    // The report of a host that no longer reports expires.
    world.peers.expire(ms(5_000), 2);
    assert_eq!(
        world
            .place(ms(5_000), &prompt, &[])
            .expect("a server")
            .server,
        home
    );
}

/// Guards against requests to servers that leave, are updated, cannot be reached, or have been tried before.
#[test]
fn unusable_servers_are_avoided() {
    let mut world = World::new(3);
    let prompt = prompt("d", 4_800, 900);
    let first = world.place(ms(1), &prompt, &[]).expect("a server").server;
    assert_ne!(
        world
            .place(ms(1), &prompt, &[first])
            .expect("another")
            .server,
        first
    );
    let server = world.directory.get_mut(first).expect("known");
    server.set_updating(ms(1), &"reef".into(), true);
    assert_ne!(
        world.place(ms(1), &prompt, &[]).expect("another").server,
        first
    );
    let server = world.directory.get_mut(first).expect("known");
    server.set_updating(ms(1), &"reef".into(), false);
    server.health.observe(ms(1), Outcome::Unreachable);
    assert_ne!(
        world.place(ms(2), &prompt, &[]).expect("another").server,
        first
    );
    let keys: Vec<_> = world.directory.iter().map(|server| server.key).collect();
    assert_eq!(world.place(ms(2), &prompt, &keys), None);
    for number in 0..3 {
        let mut leaving = engine(number, 1);
        leaving.leaving = true;
        world.directory.upsert(leaving);
    }
    assert_eq!(world.place(ms(2), &prompt, &[]), None);
}

/// Guards against requests that are refused because all servers are in backoff.
#[test]
fn servers_in_backoff_are_used_when_there_are_no_others() {
    let mut world = World::new(2);
    for server in world
        .directory
        .iter()
        .map(|server| server.key)
        .collect::<Vec<_>>()
    {
        let server = world.directory.get_mut(server).expect("known");
        server.health.observe(ms(1), Outcome::Unreachable);
    }
    assert!(world.place(ms(2), &prompt("d", 4_800, 900), &[]).is_some());
}

/// Guards against the loss of requests at each server of a cut-off data centre until the health of that server shows
/// the fault.
#[test]
fn a_data_centre_without_contact_is_avoided() {
    let mut world = World::new(0);
    for number in 0..6 {
        let mut entry = engine(number, 1);
        entry.data_centre = if number < 3 { "a" } else { "b" }.into();
        world.directory.upsert(entry);
    }
    world.reach.record_contact(ms(1_000), &"b".into());
    let used = |world: &World, now| {
        (0..60).any(|document| {
            let prompt = prompt(&format!("d-{document}"), 4_800, 900);
            let choice = world.place(ms(now), &prompt, &[]).expect("a server");
            let server = world.directory.get(choice.server).expect("known");
            server.entry.data_centre == "b"
        })
    };
    assert!(used(&world, 1_400));
    assert!(!used(&world, 1_600));
    world.reach.record_contact(ms(1_700), &"b".into());
    assert!(used(&world, 1_800));
}

/// Guards against requests that begin on weights that are too old by the time at which their wait at the server ends.
#[test]
fn weights_must_be_new_enough_when_a_request_begins() {
    let mut world = World::new(2);
    world.directory.upsert(engine(1, 2));
    world
        .versions
        .record_named(ms(1_000), &"reef".into(), 2, Age::Known(ms(0)));
    let version = |world: &World, now, document: &str| {
        let prompt = prompt(document, 4_800, 900);
        world
            .place(ms(now), &prompt, &[])
            .expect("a server")
            .version
    };
    let documents: Vec<String> = (0..30).map(|number| format!("d-{number}")).collect();
    let old = |now| {
        documents
            .iter()
            .filter(|d| version(&world, now, d) == Some(1))
            .count()
    };
    assert!(old(1_100) > 5, "both versions serve at first");
    assert!(old(2_400) < old(1_100), "new weights are preferred");
    assert_eq!(old(6_200), 0, "a request could wait beyond the bound");
}

fn store(number: u8) -> Store {
    Store::new(std::net::SocketAddr::from(([10, 9, 0, number], 80)))
}

/// Guards against shared parts that are computed again after an engine of a large fleet has evicted them, within
/// seconds: the first request saves the part to one of the stores, and later ones fetch it from there.
#[test]
fn an_evicted_part_is_fetched_from_the_store() {
    let mut world = World::new(60);
    world.stores = (1..=3).map(store).collect();
    let prompt = prompt("d", 4_800, 900);
    let first = world.place(ms(1), &prompt, &[]).expect("a server");
    let saved = first.save_to.expect("the first request has the part saved");
    world.holdings.add_store(saved.key);
    for (key, part) in cache_keys(&prompt, &world.salt, first.version)
        .iter()
        .zip(&prompt.parts)
    {
        world
            .holdings
            .record_sent(ms(1), *key, saved.key, part.tokens);
    }
    let later = world.place(ms(15_000), &prompt, &[]).expect("a server");
    assert_eq!(later.save_to, None);
    assert_eq!(later.fetch_from, Some(saved.address));
    assert!(later.expected < first.expected);
}

/// Guards against short parts that evict long ones from the store, where the request's own part is saved too.
#[test]
fn short_parts_are_not_saved() {
    let mut world = World::new(9);
    world.stores = vec![store(1)];
    let choice = world
        .place(ms(1), &prompt("d", 600, 1_800), &[])
        .expect("a server");
    assert_eq!(choice.save_to, None);
}

/// Guards against long prompts that evict documents from the store although only a small part of them is shared.
#[test]
fn a_prompt_with_a_long_part_of_its_own_is_not_saved() {
    let mut world = World::new(30);
    world.stores = vec![store(1)];
    let place = |own| world.place(ms(1), &prompt("a", 4_800, own), &[]);
    assert!(place(4_000).expect("a server").save_to.is_some());
    assert!(place(9_000).expect("a server").save_to.is_none());
}

/// Guards against a fetch that always misses: the shared part of a prompt with a long part of its own is never saved,
/// so it is fetched from the first server of its order, which other hosts use, and not from the store.
#[test]
fn a_part_that_is_never_saved_is_not_fetched_from_the_store() {
    let mut world = World::new(30);
    world.stores = vec![store(1)];
    let long = prompt("a", 4_800, 9_000);
    let home = world.place(ms(1), &long, &[]).expect("a server").server;
    let first = world.directory.get_mut(home).expect("known");
    let address = first.entry.address;
    first.load.add(Load {
        active: 60,
        prefill_us: 9_000_000,
        memory_tokens: 150_000,
    });
    let elsewhere = world.place(ms(1), &long, &[]).expect("a server");
    assert_ne!(elsewhere.server, home);
    assert_eq!(elsewhere.fetch_from, Some(address));
}

/// Guards against short prompts that are refused because long ones wait for memory. On tanekaha-tanks-grown scale-1 at
/// second 20, with a quarter of the engines gone, 1,165 of 1,640 requests were expected to begin after 3 s, while those
/// that were sent began after 1.2 s.
#[test]
fn a_short_prompt_does_not_wait_for_the_memory_of_long_ones() {
    let mut world = World::new(9);
    let (memory, prefill) = (2 * world.engine.memory_tokens, 600_000);
    for number in 0..9 {
        let key = engine(number, 1).key();
        let server = world.directory.get_mut(key).expect("known");
        server.load.add(Load {
            active: 20,
            prefill_us: prefill,
            memory_tokens: memory,
        });
    }
    let short = world.place(ms(1), &prompt("a", 568, 1_800), &[]);
    let short = short.expect("a server").expected;
    let long = world.place(ms(1), &prompt("b", 5_400, 6_600), &[]);
    let long = long.expect("a server").expected;
    assert!(short < ms(1_000), "{short:?}");
    assert!(long > short, "{long:?}");
}

/// Guards against the use of a store that cannot be reached: each fetch costs some hundred milliseconds.
#[test]
fn without_a_store_nothing_is_saved() {
    let world = World::new(9);
    let choice = world
        .place(ms(1), &prompt("d", 4_800, 900), &[])
        .expect("a server");
    assert_eq!(choice.save_to, None);
}

/// Guards against parts of one weights version that count as cached for another one.
#[test]
fn a_part_of_older_weights_does_not_count_as_cached() {
    let mut world = World::new(2);
    let prompt = prompt("d", 4_800, 900);
    let first = world.send(ms(1), &prompt);
    for number in 0..2 {
        world.directory.upsert(engine(number, 2));
    }
    let keys = cache_keys(&prompt, &world.salt, Some(2));
    assert_eq!(world.holdings.tokens(ms(2), keys[0], first.server), 0);
    let next = world.place(ms(2), &prompt, &[]).expect("a server");
    assert_eq!(next.version, Some(2));
    assert!(
        next.load.prefill_us >= first.load.prefill_us,
        "the part is computed anew"
    );
}

/// Guards against hosts that all choose the same idle server because they have the same outdated loads: choices at the
/// same time must spread.
#[test]
fn hosts_with_the_same_reports_do_not_choose_the_same_idle_server() {
    let mut world = World::new(60);
    let busy = Load {
        active: 20,
        prefill_us: 500_000,
        memory_tokens: 100_000,
    };
    let keys: Vec<_> = world.directory.iter().map(|server| server.key).collect();
    world
        .peers
        .record_report(ms(1), 1, keys[1..].iter().map(|key| (*key, busy)));
    let idle = keys[0];
    let chosen = (0..300).filter(|number| {
        let prompt = prompt(&format!("d-{number}"), 4_800, 900);
        world
            .place(ms(10 + number), &prompt, &[])
            .expect("a server")
            .server
            == idle
    });
    assert!(chosen.count() < 60);
}

/// Guards against requests that are refused because the few servers on new weights are not in the sample.
#[test]
fn the_only_server_on_required_weights_is_found() {
    let mut world = World::new(60);
    world.directory.upsert(engine(17, 2));
    world
        .versions
        .record_named(ms(0), &"reef".into(), 2, Age::Known(ms(0)));
    for number in 0..40 {
        let prompt = prompt(&format!("d-{number}"), 4_800, 900);
        let choice = world
            .place(ms(6_000 + number), &prompt, &[])
            .expect("a server");
        assert_eq!(choice.version, Some(2));
    }
}

/// Guards against a panic on a prompt without parts.
#[test]
fn a_prompt_without_parts_is_placed() {
    let world = World::new(3);
    let mut prompt = prompt("d", 0, 900);
    prompt.parts.clear();
    assert!(world.place(ms(1), &prompt, &[]).is_some());
}

/// Guards against plain requests that queue at one server while others are idle.
#[test]
fn plain_requests_spread_by_load() {
    let mut world = World::new(0);
    let mut counts: BTreeMap<ServerKey, usize> = BTreeMap::new();
    for call in 0..40 {
        let choice = world.place_plain(ms(call), call * 7_919).expect("a server");
        let server = world.directory.get_mut(choice.server).expect("known");
        server.load.add(choice.load);
        *counts.entry(choice.server).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Guards against a failing server that gets as many requests as the others, or that never gets one again.
#[test]
fn a_failing_server_gets_fewer_requests_until_it_recovers() {
    let mut world = World::new(0);
    let bad = world.place_plain(ms(1), 1).expect("a server").server;
    let observe = |world: &mut World, outcome| {
        let server = world.directory.get_mut(bad).expect("known");
        for _ in 0..12 {
            server.health.observe(ms(1), outcome);
        }
    };
    observe(&mut world, Outcome::Error);
    assert!(
        (0..50).all(|call| world.place_plain(ms(9_000), call).expect("a server").server != bad)
    );
    observe(&mut world, Outcome::Good);
    observe(&mut world, Outcome::Good);
    assert!(
        (0..50).any(|call| world.place_plain(ms(9_000), call).expect("a server").server == bad)
    );
}

/// Guards against an update of one model that closes the others of its server.
#[test]
fn an_update_closes_only_its_model() {
    let mut world = World::new(1);
    let prompt = prompt("d", 4_800, 900);
    let mut server = engine(0, 1);
    server.weights.push(("atoll".into(), 1));
    let key = server.key();
    world.directory.upsert(server);
    let mark = |world: &mut World, model: &str, updating| {
        let server = world.directory.get_mut(key).expect("known");
        server.set_updating(ms(1), &model.into(), updating);
    };
    mark(&mut world, "atoll", true);
    assert!(world.place(ms(2), &prompt, &[]).is_some());
    mark(&mut world, "reef", true);
    assert_eq!(world.place(ms(2), &prompt, &[]), None);
    // The end of one update is not that of the other.
    mark(&mut world, "atoll", false);
    assert_eq!(world.place(ms(2), &prompt, &[]), None);
    assert!(world.directory.learn_version(key, "reef", 2));
    assert!(world.place(ms(2), &prompt, &[]).is_some());
}
