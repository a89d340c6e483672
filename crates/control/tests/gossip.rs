//! Membership and gossip of a simulated region, in rounds of one second.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jaystand_control::{
    digest::{Config, Gossip, HotPrefix, MAX_DIGEST_BYTES},
    load,
    mark::{Cause, LIST_SETTLE_TIME, Mark, Marks, RETURN_CONFIRM_TIME},
    member::{Entry, Members, Reachability, State, Target},
};
use jaystand_types::{Incarnation, Moment};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVERS: u32 = 300;
/// HTTP/2, gRPC and TCP around a message; the `control` bench measures it.
const FRAMING: usize = 100;

fn s(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

/// Hosts from this index on are in another region.
const FAR: usize = 100;

fn entry(index: usize, centres: usize, incarnation: Incarnation) -> Entry {
    Entry {
        name: format!("host-{index:03}").into(),
        data_centre: format!("dc-{}", index % centres).into(),
        region: if index < FAR { "south" } else { "north" }.into(),
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(1_000 + index).unwrap())),
        incarnation,
        sequence: 1,
        state: State::Live,
    }
}

struct World {
    now: Moment,
    rng: Pcg64Mcg,
    centres: usize,
    nodes: BTreeMap<usize, Gossip>,
    /// The data centre that is cut off from the others.
    cut: Option<usize>,
    bytes: usize,
}

impl World {
    fn new(count: usize, centres: usize) -> Self {
        let mut world = Self {
            now: s(0),
            rng: Pcg64Mcg::seed_from_u64(5),
            centres,
            nodes: BTreeMap::new(),
            cut: None,
            bytes: 0,
        };
        for index in 0..count {
            world.start(index);
        }
        world
    }

    /// Starts or restarts a daemon that only knows the first host of each data centre.
    fn start(&mut self, index: usize) {
        let seeds = (0..self.centres).map(|seed| entry(seed, self.centres, 0).address);
        let own = entry(index, self.centres, self.rng.random());
        let mut gossip = Gossip::new(Members::new(own, seeds.collect()));
        gossip.configure(
            Config {
                version: 1,
                hash: 1,
            },
            SERVERS as usize,
        );
        self.nodes.insert(index, gossip);
    }

    fn exchange(&mut self, from: usize, target: &Target) -> bool {
        let to = usize::from(target.address.port()) - 1_000;
        let centre = |index| Some(index % self.centres);
        let cut = self.cut.is_some() && (centre(from) == self.cut) != (centre(to) == self.cut);
        let now = self.now;
        if cut || !self.nodes.contains_key(&to) {
            if let Some(name) = &target.name {
                self.nodes
                    .get_mut(&from)
                    .unwrap()
                    .members
                    .record_failure(now, name);
            }
            return false;
        }
        let name = |index: usize| format!("host-{index:03}");
        let request = self
            .nodes
            .get_mut(&from)
            .unwrap()
            .build_digest(now, target.name.as_deref());
        self.bytes += request.encoded_len() + FRAMING;
        assert!(
            request.encoded_len() <= MAX_DIGEST_BYTES + 70,
            "{}",
            request.encoded_len()
        );
        let receiver = self.nodes.get_mut(&to).unwrap();
        let heard = receiver.receive(now, request).unwrap();
        let reply = receiver.build_digest(now, Some(&name(from)));
        self.bytes += reply.encoded_len() + FRAMING;
        let sender = self.nodes.get_mut(&from).unwrap();
        let answered = sender.receive(now, reply).unwrap();
        if answered.fetch_table || target.name.is_none() {
            let receiver = &self.nodes[&to].members;
            let table: Vec<Entry> = receiver.all().cloned().collect();
            let marks = receiver.marks().changed_since(0, s(0));
            let marks: Vec<Mark> = marks.into_iter().map(|(_, m)| m.clone()).collect();
            // A host entry deflates to about 30 bytes.
            self.bytes += FRAMING + 30 * table.len();
            let sender = self.nodes.get_mut(&from).unwrap();
            sender.receive_table(now, table, marks);
        }
        if heard.urgent {
            self.tell(to);
        }
        if answered.urgent {
            self.tell(from);
        }
        true
    }

    fn tell(&mut self, from: usize) {
        let targets = self.nodes[&from].members.urgent_targets(&mut self.rng);
        for target in targets {
            self.exchange(from, &target);
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += s(1);
            let order: Vec<usize> = self.nodes.keys().copied().collect();
            for from in order {
                let node = self.nodes.get_mut(&from).unwrap();
                node.tick(self.now);
                for target in node.members.round_targets(&mut self.rng) {
                    self.exchange(from, &target);
                }
            }
        }
    }

    fn live(&self, index: usize) -> usize {
        let live = |entry: &&Entry| entry.state == State::Live;
        self.nodes[&index].members.all().filter(live).count()
    }

    fn assert_one_view(&self) {
        let first = &self.nodes.values().next().unwrap().members;
        for node in self.nodes.values() {
            let members = &node.members;
            assert_eq!(
                members.summary(),
                first.summary(),
                "{}",
                members.own_entry().name
            );
            assert_eq!(members.watchers("dc-1"), first.watchers("dc-1"));
            assert_eq!(members.reporter("engine-7"), first.reporter("engine-7"));
            assert_eq!(members.watchers("dc-1").len(), 2);
        }
    }
}

/// Guards against daemons that do not find each other after all restart at once.
#[test]
fn a_herd_restart_converges() {
    let mut world = World::new(72, 3);
    world.run(40);
    assert_eq!(world.live(0), 72);
    for index in 0..72 {
        world.start(index);
    }
    world.run(40);
    assert_eq!(world.live(71), 72);
    world.assert_one_view();
}

/// Guards against a data centre that stops electing while cut off, loses restarted hosts, or never rejoins.
#[test]
fn a_data_centre_cut_off_for_hours_elects_restarts_and_rejoins() {
    let mut world = World::new(24, 3);
    world.run(30);
    world.cut = Some(1);
    world.run(20);
    assert_eq!((world.live(1), world.live(0)), (8, 16));
    assert_eq!(
        world.nodes[&1].members.reachability("dc-0"),
        Reachability::Unreachable
    );
    assert_eq!(
        world.nodes[&1].members.reporter("engine-7").map(str::len),
        Some(8)
    );
    // Restarts inside, all of the data centre within a few minutes, one of them replaced by a leaving one.
    for index in [1, 4, 7, 10, 13, 16, 19, 22] {
        world.start(index);
        world.run(30);
    }
    world.nodes.get_mut(&4).unwrap().members.leave();
    world.run(2 * 3_600);
    assert_eq!(world.live(1), 7);
    assert_eq!(world.nodes[&1].members.watchers("dc-1").len(), 2);
    world.cut = None;
    world.run(40);
    assert_eq!((world.live(1), world.live(0)), (23, 23));
    world.assert_one_view();
}

/// Guards against stopped daemons that stay in the view, and against live ones that are removed.
#[test]
fn a_crashed_daemon_is_removed_and_a_falsely_suspected_one_stays() {
    let mut world = World::new(12, 2);
    world.run(20);
    world.nodes.remove(&3);
    for _ in 0..2 {
        let now = world.now;
        world
            .nodes
            .get_mut(&0)
            .unwrap()
            .members
            .record_failure(now, "host-005");
    }
    world.run(12);
    assert_eq!(world.live(0), 11);
    world.assert_one_view();
}

/// Guards against a drained server that still gets work after 3 s, and control traffic above 5 KB/s.
#[test]
fn a_drain_reaches_72_daemons_in_time_and_traffic_stays_in_bounds() {
    let mut world = World::new(72, 3);
    world.run(60);
    world.bytes = 0;
    for _ in 0..30 {
        for server in 0..SERVERS {
            // The worst case: the load of every server changes each second.
            let reporter = usize::try_from(server).unwrap() % 72;
            let (load, now) = (world.rng.random_range(0..200), world.now);
            let node = world.nodes.get_mut(&reporter).unwrap();
            node.report_load(now, server, load, Duration::from_millis(100));
            node.set_hot_prefixes(vec![
                HotPrefix {
                    head: server.into(),
                    heat: 9
                };
                4
            ]);
        }
        world.run(1);
    }
    let per_daemon = 2 * world.bytes / 72 / 30;
    println!("{per_daemon} bytes/s sent and received by each daemon");
    assert!(per_daemon <= 5_000, "{per_daemon} bytes/s");
    let now = world.now;
    let known = (0..SERVERS).filter(|server| {
        let load = world.nodes[&9].loads.get(now, *server);
        load.is_some_and(|(_, age)| age < s(10))
    });
    assert!(known.count() > 270, "loads do not spread");
    let hot = (SERVERS - 72..SERVERS).filter(|head| world.nodes[&9].heat(now, (*head).into()) > 0);
    assert!(hot.count() > 40, "hot prefix heads do not spread");
    world
        .nodes
        .get_mut(&5)
        .unwrap()
        .members
        .marks_mut()
        .set_drained(now, "engine-3", true);
    world.tell(5);
    world.run(2);
    assert!(
        world
            .nodes
            .values()
            .all(|node| node.members.marks().is_leaving("engine-3"))
    );
}

/// Guards against regions that never meet, elect each other's hosts or miss each other's drains.
#[test]
fn regions_exchange_marks_and_elect_on_their_own() {
    let mut world = World::new(8, 2);
    for index in FAR..FAR + 8 {
        world.start(index);
    }
    world.run(40);
    assert_eq!((world.live(0), world.live(FAR)), (16, 16));
    let reporter = |index: usize| {
        world.nodes[&index]
            .members
            .reporter("engine-7")
            .map(str::to_owned)
    };
    assert_ne!(reporter(0), reporter(FAR));
    assert_eq!(reporter(FAR), reporter(FAR + 3));
    let now = world.now;
    world
        .nodes
        .get_mut(&FAR)
        .unwrap()
        .members
        .marks_mut()
        .set_drained(now, "engine-7", true);
    world.tell(FAR);
    world.run(2);
    assert!(
        world
            .nodes
            .values()
            .all(|node| node.members.marks().is_leaving("engine-7"))
    );
}

/// Guards against an older `live` that beats a newer `leaving`, in every order of arrival.
#[test]
fn order_of_entries() {
    let base = entry(1, 2, 7);
    let with = |sequence, state| Entry {
        sequence,
        state,
        ..base.clone()
    };
    let table = [
        (
            with(3, State::Leaving),
            with(2, State::Live),
            State::Leaving,
        ),
        (
            with(3, State::Live),
            with(2, State::Leaving),
            State::Leaving,
        ),
        (with(2, State::Suspect), with(3, State::Live), State::Live),
        (
            with(2, State::Suspect),
            with(2, State::Live),
            State::Suspect,
        ),
        (
            with(2, State::Leaving),
            with(3, State::Live),
            State::Leaving,
        ),
        (
            with(2, State::Leaving),
            Entry {
                incarnation: 8,
                ..with(3, State::Live)
            },
            State::Live,
        ),
        (
            with(4, State::Leaving),
            Entry {
                incarnation: 8,
                ..with(3, State::Live)
            },
            State::Leaving,
        ),
    ];
    for (left, right, expected) in table {
        for (first, second) in [(&left, &right), (&right, &left)] {
            let mut members = Members::new(entry(0, 2, 1), Vec::new());
            members.merge(s(0), first.clone());
            members.merge(s(1), second.clone());
            let state = members.get("host-001").unwrap().state;
            assert_eq!(state, expected, "{first:?} then {second:?}");
        }
    }
}

/// Guards against marks cleared by a lagging list, a late answer of a former run or an old gossip message.
#[test]
fn any_sign_of_leaving_suffices_until_newer_evidence() {
    let mut marks = Marks::default();
    assert!(marks.observe_listing(s(0), "e", true));
    assert!(!marks.observe_listing(s(1), "e", false), "the list lags");
    assert!(!marks.observe_listing(s(1) + LIST_SETTLE_TIME / 2, "e", true));
    assert!(
        !marks.observe_listing(s(1) + LIST_SETTLE_TIME, "e", false),
        "a sighting in between starts again"
    );
    assert!(marks.observe_listing(s(1) + LIST_SETTLE_TIME * 2, "e", false));
    assert!(!marks.is_leaving("e"));
    assert!(!marks.observe_engine(s(50), "e", 1, false));
    assert!(marks.observe_engine(s(50), "e", 2, true));
    assert!(
        !marks.observe_engine(s(60), "e", 1, false),
        "a late answer of the former run"
    );
    assert!(
        !marks.observe_engine(s(60), "e", 3, false),
        "once is not enough"
    );
    assert!(marks.is_leaving("e"));
    assert!(marks.observe_engine(s(60) + RETURN_CONFIRM_TIME, "e", 3, false));
    assert!(
        !marks.observe_engine(s(70), "e", 2, true),
        "a late answer of the former run"
    );
    let old = Mark {
        subject: "e".into(),
        cause: Cause::Engine(2),
        stamp: 1,
        leaving: true,
    };
    assert!(!marks.merge(s(70), old.clone()));
    assert!(!marks.is_leaving("e"));
    assert!(marks.merge(
        s(70),
        Mark {
            cause: Cause::Operator,
            ..old
        }
    ));
    assert!(marks.is_leaving("e") && marks.is_drained("e"));
    assert_eq!(marks.leaving_subjects().count(), 1);
}

/// Guards against a coding of loads that reorders servers.
#[test]
fn load_levels_are_monotonic_and_close() {
    for requests in 0..20_000 {
        let (level, next) = (
            load::encode_level(requests),
            load::encode_level(requests + 1),
        );
        assert!(level <= next);
        assert!(
            load::decode_level(level).abs_diff(requests) * 20 <= requests,
            "{requests}"
        );
    }
}
