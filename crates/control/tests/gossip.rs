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
/// Bytes of HTTP/2, gRPC and TCP framing around a message; the `control` bench measures them.
const FRAMING_BYTES: usize = 100;

fn s(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

/// Index of the first host of the second region.
const SECOND_REGION: usize = 100;

fn entry(index: usize, data_centres: usize, incarnation: Incarnation) -> Entry {
    Entry {
        name: format!("host-{index:03}").into(),
        data_centre: format!("dc-{}", index % data_centres).into(),
        region: if index < SECOND_REGION {
            "south"
        } else {
            "north"
        }
        .into(),
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(1_000 + index).unwrap())),
        incarnation,
        sequence: 1,
        state: State::Live,
    }
}

/// The simulated daemons, and the network between them.
struct World {
    now: Moment,
    rng: Pcg64Mcg,
    data_centres: usize,
    daemons: BTreeMap<usize, Gossip>,
    /// The data centre that is cut off from the others.
    cut_off: Option<usize>,
    bytes_sent: usize,
}

impl World {
    fn new(count: usize, data_centres: usize) -> Self {
        let mut world = Self {
            now: s(0),
            rng: Pcg64Mcg::seed_from_u64(5),
            data_centres,
            daemons: BTreeMap::new(),
            cut_off: None,
            bytes_sent: 0,
        };
        for index in 0..count {
            world.start(index);
        }
        world
    }

    /// Starts or restarts a daemon that only knows the first host of each data centre.
    fn start(&mut self, index: usize) {
        let seeds = (0..self.data_centres).map(|seed| entry(seed, self.data_centres, 0).address);
        let own = entry(index, self.data_centres, self.rng.random());
        let mut gossip = Gossip::new(Members::new(own, seeds.collect()));
        gossip.configure(
            Config {
                version: 1,
                hash: 1,
            },
            SERVERS as usize,
        );
        self.daemons.insert(index, gossip);
    }

    /// Exchanges digests, and the table if asked for. Returns whether the target answered.
    fn exchange(&mut self, from: usize, target: &Target) -> bool {
        let to = usize::from(target.address.port()) - 1_000;
        let data_centre = |index| Some(index % self.data_centres);
        let unreachable = self.cut_off.is_some()
            && (data_centre(from) == self.cut_off) != (data_centre(to) == self.cut_off);
        let now = self.now;
        if unreachable || !self.daemons.contains_key(&to) {
            if let Some(name) = &target.name {
                self.daemons
                    .get_mut(&from)
                    .unwrap()
                    .members
                    .record_failure(now, name);
            }
            return false;
        }
        let name = |index: usize| format!("host-{index:03}");
        let request = self
            .daemons
            .get_mut(&from)
            .unwrap()
            .build_digest(now, target.name.as_deref());
        self.bytes_sent += request.encoded_len() + FRAMING_BYTES;
        assert!(
            request.encoded_len() <= MAX_DIGEST_BYTES + 70,
            "{}",
            request.encoded_len()
        );
        let receiver = self.daemons.get_mut(&to).unwrap();
        let received_by_target = receiver.receive(now, request).unwrap();
        let reply = receiver.build_digest(now, Some(&name(from)));
        self.bytes_sent += reply.encoded_len() + FRAMING_BYTES;
        let sender = self.daemons.get_mut(&from).unwrap();
        let received_by_sender = sender.receive(now, reply).unwrap();
        if received_by_sender.fetch_table || target.name.is_none() {
            let receiver = &self.daemons[&to].members;
            let table: Vec<Entry> = receiver.all().cloned().collect();
            let marks = receiver.marks().changed_since(0, s(0));
            let marks: Vec<Mark> = marks.into_iter().map(|(_, mark)| mark.clone()).collect();
            // An entry deflates to about 30 bytes.
            self.bytes_sent += FRAMING_BYTES + 30 * table.len();
            let sender = self.daemons.get_mut(&from).unwrap();
            sender.receive_table(now, table, marks);
        }
        if received_by_target.urgent {
            self.exchange_urgently(to);
        }
        if received_by_sender.urgent {
            self.exchange_urgently(from);
        }
        true
    }

    /// Exchanges with the peers that learn of an urgent change at once.
    fn exchange_urgently(&mut self, from: usize) {
        let targets = self.daemons[&from].members.urgent_targets(&mut self.rng);
        for target in targets {
            self.exchange(from, &target);
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += s(1);
            let order: Vec<usize> = self.daemons.keys().copied().collect();
            for from in order {
                let daemon = self.daemons.get_mut(&from).unwrap();
                daemon.tick(self.now);
                for target in daemon.members.round_targets(&mut self.rng) {
                    self.exchange(from, &target);
                }
            }
        }
    }

    /// Returns the number of live daemons that a daemon knows, including itself.
    fn live_count(&self, index: usize) -> usize {
        let live = |entry: &&Entry| entry.state == State::Live;
        self.daemons[&index].members.all().filter(live).count()
    }

    fn assert_equal_views(&self) {
        let first = &self.daemons.values().next().unwrap().members;
        for daemon in self.daemons.values() {
            let members = &daemon.members;
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

/// Guards against daemons that do not find each other after all of them restarted at the same time.
#[test]
fn a_restart_of_all_daemons_converges() {
    let mut world = World::new(72, 3);
    world.run(40);
    assert_eq!(world.live_count(0), 72);
    for index in 0..72 {
        world.start(index);
    }
    world.run(40);
    assert_eq!(world.live_count(71), 72);
    world.assert_equal_views();
}

/// Guards against a data centre that, while cut off from the others for hours, elects no hosts or loses restarted ones,
/// and against one that does not rejoin afterwards.
#[test]
fn a_data_centre_cut_off_for_hours_elects_restarts_and_rejoins() {
    let mut world = World::new(24, 3);
    world.run(30);
    world.cut_off = Some(1);
    world.run(20);
    assert_eq!((world.live_count(1), world.live_count(0)), (8, 16));
    assert_eq!(
        world.daemons[&1].members.reachability("dc-0"),
        Reachability::Unreachable
    );
    assert_eq!(
        world.daemons[&1].members.reporter("engine-7").map(str::len),
        Some(8)
    );
    // All daemons of the data centre restart within a few minutes, and one of them then leaves.
    for index in [1, 4, 7, 10, 13, 16, 19, 22] {
        world.start(index);
        world.run(30);
    }
    world.daemons.get_mut(&4).unwrap().members.leave();
    world.run(2 * 3_600);
    assert_eq!(world.live_count(1), 7);
    assert_eq!(world.daemons[&1].members.watchers("dc-1").len(), 2);
    world.cut_off = None;
    world.run(40);
    assert_eq!((world.live_count(1), world.live_count(0)), (23, 23));
    world.assert_equal_views();
}

/// Guards against crashed daemons that stay in the view, and against the removal of a live daemon that another one
/// suspects wrongly.
#[test]
fn a_crashed_daemon_is_removed_and_a_falsely_suspected_one_stays() {
    let mut world = World::new(12, 2);
    world.run(20);
    world.daemons.remove(&3);
    for _ in 0..2 {
        let now = world.now;
        world
            .daemons
            .get_mut(&0)
            .unwrap()
            .members
            .record_failure(now, "host-005");
    }
    world.run(12);
    assert_eq!(world.live_count(0), 11);
    world.assert_equal_views();
}

/// Guards against a drain that does not reach every daemon within 3 s, after which the server must get no work, and
/// against control traffic above 5 KB/s when all loads change every second.
#[test]
fn a_drain_reaches_72_daemons_in_time_and_traffic_stays_in_bounds() {
    let mut world = World::new(72, 3);
    world.run(60);
    world.bytes_sent = 0;
    for _ in 0..30 {
        for server in 0..SERVERS {
            // The load of every server changes each second, which is the worst case.
            let reporter = usize::try_from(server).unwrap() % 72;
            let (load, now) = (world.rng.random_range(0..200), world.now);
            let daemon = world.daemons.get_mut(&reporter).unwrap();
            daemon.report_load(now, server, load, Duration::from_millis(100));
            daemon.set_hot_prefixes(vec![
                HotPrefix {
                    head: server.into(),
                    heat: 9
                };
                4
            ]);
        }
        world.run(1);
    }
    let per_daemon = 2 * world.bytes_sent / 72 / 30;
    println!("{per_daemon} bytes/s sent and received by each daemon");
    assert!(per_daemon <= 5_000, "{per_daemon} bytes/s");
    let now = world.now;
    let known_loads = (0..SERVERS).filter(|server| {
        let load = world.daemons[&9].loads.get(now, *server);
        load.is_some_and(|(_, age)| age < s(10))
    });
    assert!(known_loads.count() > 270, "loads do not spread");
    let known_prefixes =
        (SERVERS - 72..SERVERS).filter(|head| world.daemons[&9].heat(now, (*head).into()) > 0);
    assert!(
        known_prefixes.count() > 40,
        "hot prefix heads do not spread"
    );
    world
        .daemons
        .get_mut(&5)
        .unwrap()
        .members
        .marks_mut()
        .set_drained(now, "engine-3", true);
    world.exchange_urgently(5);
    world.run(2);
    assert!(
        world
            .daemons
            .values()
            .all(|daemon| daemon.members.marks().is_leaving("engine-3"))
    );
}

/// Guards against regions that do not find each other, elect hosts of the other region or miss its drains.
#[test]
fn regions_exchange_marks_and_elect_on_their_own() {
    let mut world = World::new(8, 2);
    for index in SECOND_REGION..SECOND_REGION + 8 {
        world.start(index);
    }
    world.run(40);
    assert_eq!(
        (world.live_count(0), world.live_count(SECOND_REGION)),
        (16, 16)
    );
    let reporter = |index: usize| {
        world.daemons[&index]
            .members
            .reporter("engine-7")
            .map(str::to_owned)
    };
    assert_ne!(reporter(0), reporter(SECOND_REGION));
    assert_eq!(reporter(SECOND_REGION), reporter(SECOND_REGION + 3));
    let now = world.now;
    world
        .daemons
        .get_mut(&SECOND_REGION)
        .unwrap()
        .members
        .marks_mut()
        .set_drained(now, "engine-7", true);
    world.exchange_urgently(SECOND_REGION);
    world.run(2);
    assert!(
        world
            .daemons
            .values()
            .all(|daemon| daemon.members.marks().is_leaving("engine-7"))
    );
}

/// Guards against an older entry that replaces a newer one, such as `live` a `leaving` of the same run, in either order
/// of arrival.
#[test]
fn the_newer_entry_wins_in_any_order() {
    let base = entry(1, 2, 7);
    let with = |sequence, state| Entry {
        sequence,
        state,
        ..base.clone()
    };
    let cases = [
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
    for (left, right, expected) in cases {
        for (first, second) in [(&left, &right), (&right, &left)] {
            let mut members = Members::new(entry(0, 2, 1), Vec::new());
            members.merge(s(0), first.clone());
            members.merge(s(1), second.clone());
            let state = members.get("host-001").unwrap().state;
            assert_eq!(state, expected, "{first:?} then {second:?}");
        }
    }
}

/// Guards against a mark that is cleared by the lagging host list, a late answer of a former run or an old gossip
/// message.
#[test]
fn any_sign_of_leaving_suffices_until_newer_evidence() {
    let mut marks = Marks::default();
    assert!(marks.observe_listing(s(0), "e", true));
    assert!(!marks.observe_listing(s(1), "e", false), "the list lags");
    assert!(!marks.observe_listing(s(1) + LIST_SETTLE_TIME / 2, "e", true));
    assert!(
        !marks.observe_listing(s(1) + LIST_SETTLE_TIME, "e", false),
        "`leaving` in between restarts the time"
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

/// Guards against an encoding of loads that reverses the order of two loads or is off by more than 5 %.
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
