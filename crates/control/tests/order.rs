//! Engine orders under a lease: bounds, crashes of engines, lost orders and former holders.

use std::{collections::BTreeMap, time::Duration};

use jaystand_control::{
    lease::{Fault, Grant, Input, Machine, Record, Settings as Lease, Step},
    order::{Action, Answer, Command, Order, Reconciler, Role, Settings, Share, State, Wanted},
};
use jaystand_types::{Moment, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MAX_DELAY: Duration = Duration::from_secs(5);
const LOADING_TIME: Duration = Duration::from_secs(1);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn reconciler(engines: usize, percent: u8, fenced: bool, max_loading: usize) -> Reconciler {
    let mut reconciler = Reconciler::new(Settings {
        max_loading,
        max_delay: MAX_DELAY,
    });
    let wanted = (0..engines).map(|index| Wanted {
        name: format!("e{index}").into(),
        model: "m".into(),
        adapter: "".into(),
        weights_version: "v2".into(),
        role: Role::Serve,
        fenced,
    });
    reconciler.configure(
        wanted.collect(),
        vec![Share {
            model: "m".into(),
            percent,
        }],
    );
    reconciler
}

fn grant(fence: u64, unfenced_from: Moment) -> Grant {
    Grant {
        fence,
        until: Duration::from_secs(1_000_000),
        unfenced_from,
    }
}

/// An engine that records the fencing tokens of orders, but accepts any.
#[derive(Clone)]
struct Engine {
    state: State,
    ready_at: Moment,
    fences: Vec<u64>,
}

impl Engine {
    fn new(weights: &str) -> Self {
        let state = State {
            incarnation: 1,
            model: if weights.is_empty() {
                "".into()
            } else {
                "m".into()
            },
            adapter: "".into(),
            weights_version: weights.into(),
            role: Role::Serve,
            loading: false,
        };
        Self {
            state,
            ready_at: ms(0),
            fences: Vec::new(),
        }
    }

    fn read(&mut self, now: Moment) -> State {
        self.state.loading = now < self.ready_at;
        self.state.clone()
    }

    fn execute(&mut self, now: Moment, command: &Command) -> Answer {
        if command.incarnation != self.state.incarnation {
            return Answer::Refused;
        }
        self.fences.push(command.fence);
        match &command.order {
            Order::Load {
                model,
                weights_version,
                ..
            } => {
                self.state.model.clone_from(model);
                self.state.weights_version.clone_from(weights_version);
                self.ready_at = now + LOADING_TIME;
            }
            Order::Role(role) => self.state.role = *role,
        }
        Answer::Accepted
    }
}

type Engines = BTreeMap<String, Engine>;

fn engines(weights: &[&str]) -> Engines {
    let named = |(index, weights): (usize, &&str)| (format!("e{index}"), Engine::new(weights));
    weights.iter().enumerate().map(named).collect()
}

/// Runs a reconciler for some time, and returns the greatest number of loading and the smallest number of serving
/// engines.
fn run(reconciler: &mut Reconciler, engines: &mut Engines, time: Duration) -> (usize, usize) {
    let (mut max_seen_loading, mut min_seen_serving) = (0, usize::MAX);
    for tick in 0..time.as_millis() / 50 {
        let now = ms(50 * u64::try_from(tick).unwrap());
        for action in reconciler.step(now, Some(grant(1, ms(0)))) {
            match action {
                Action::Read(server) => {
                    let state = engines
                        .get_mut(server.as_str())
                        .map(|engine| engine.read(now));
                    reconciler.observe(now, &server, state);
                }
                Action::Send(command) => {
                    let engine = engines.get_mut(command.server.as_str()).unwrap();
                    let answer = engine.execute(now, &command);
                    reconciler.record_answer(&command.server, answer);
                }
            }
        }
        let loading = engines
            .values()
            .filter(|engine| engine.ready_at > now)
            .count();
        let serving = |engine: &&Engine| engine.ready_at <= now && !engine.state.model.is_empty();
        max_seen_loading = max_seen_loading.max(loading);
        min_seen_serving = min_seen_serving.min(engines.values().filter(serving).count());
    }
    (max_seen_loading, min_seen_serving)
}

/// Guards against a rollout that loads too many engines at the same time, which slows all of them down, or that leaves
/// too few engines serving the model.
#[test]
fn a_rollout_respects_both_bounds() {
    for (count, max_loading, percent) in
        [(14, 3, 70), (7, 2, 70), (6, 3, 50), (3, 2, 60), (10, 3, 80)]
    {
        let mut engines = engines(&vec!["v1"; count]);
        let mut reconciler = reconciler(count, percent, true, max_loading);
        let (loading, serving) = run(&mut reconciler, &mut engines, ms(60_000));
        assert!(
            loading <= max_loading,
            "{count} engines: {loading} loaded at once"
        );
        assert!(
            serving * 100 >= count * usize::from(percent),
            "{count} engines: {serving} served"
        );
        assert!(
            engines
                .values()
                .all(|engine| engine.state.weights_version == "v2"),
            "{count}"
        );
        assert!(
            engines.values().all(|engine| engine.fences.len() == 1),
            "{count}: repeated orders"
        );
    }
}

/// Guards against a serving share that is ignored without a report when it forbids every order.
#[test]
fn a_share_that_forbids_every_order_is_reported() {
    let mut engines = engines(&["v1", "v1"]);
    let mut reconciler = reconciler(2, 100, true, 3);
    run(&mut reconciler, &mut engines, ms(5_000));
    assert!(reconciler.blocked_models().contains("m"));
    assert!(engines.values().all(|engine| engine.fences.is_empty()));
}

/// Guards against an engine that stays empty after a crash because serving engines are loaded first, or because an
/// order to its former run is still in flight.
#[test]
fn an_engine_that_returns_empty_is_loaded_before_serving_ones() {
    let engines = engines(&["", "v1", "v1", "v1"]);
    let mut reconciler = reconciler(4, 50, true, 1);
    let mut first = None;
    for tick in 0..4 {
        for action in reconciler.step(ms(tick * 10), Some(grant(1, ms(0)))) {
            match action {
                Action::Read(server) => {
                    let state = engines[server.as_str()].state.clone();
                    reconciler.observe(ms(tick * 10), &server, Some(state));
                }
                Action::Send(command) => first = first.or(Some(command)),
            }
        }
    }
    let command = first.expect("an order is due");
    assert_eq!(command.server, "e0");
    reconciler.record_answer("e0", Answer::Lost);
    let empty = State {
        incarnation: 2,
        ..engines["e0"].state.clone()
    };
    reconciler.observe(ms(100), "e0", Some(empty));
    let again = reconciler.step(ms(101), Some(grant(1, ms(0))));
    assert!(
        again
            .iter()
            .any(|action| matches!(action, Action::Send(command) if command.incarnation == 2)),
        "{again:?}"
    );
}

/// Guards against a second order to an engine while the first one, whose answer was lost, may still arrive.
#[test]
fn one_order_is_in_flight() {
    let mut reconciler = reconciler(1, 0, true, 1);
    let state = Engine::new("v1").state;
    let mut sent = Vec::new();
    for tick in 0..200 {
        let now = ms(tick * 50);
        for action in reconciler.step(now, Some(grant(1, ms(0)))) {
            match action {
                Action::Read(server) => reconciler.observe(now, &server, Some(state.clone())),
                Action::Send(command) => {
                    sent.push(now);
                    reconciler.record_answer(&command.server, Answer::Lost);
                }
            }
        }
    }
    assert!(sent.len() >= 2, "the order is repeated");
    assert!(
        sent.windows(2).all(|pair| pair[1] >= pair[0] + MAX_DELAY),
        "{sent:?}"
    );
}

/// Simulates three daemons with random pauses, outages, lost answers and delays. Returns whether the fencing tokens of
/// the orders never decreased at any engine, although the engines accept any. Unless `wait` is set, daemons send orders
/// as soon as they hold the lease.
fn fencing_numbers_grow(seed: u64, wait: bool) -> bool {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut object: Option<(Version, Record)> = None;
    let mut fleet = engines(&["v1", "v1", ""]);
    let settings = Lease::default();
    let mut daemons: Vec<(Machine, Reconciler, Moment, Moment)> = (0..3)
        .map(|index| {
            let mut machine = Machine::new(format!("d{index}").into(), index, settings);
            machine.set_wanted(true);
            (machine, reconciler(3, 0, false, 2), ms(0), ms(0))
        })
        .collect();
    let mut network: Vec<(Moment, usize, Command)> = Vec::new();
    for tick in 0..3_000 {
        let now = ms(tick * 100);
        for (_, daemon, command) in network.extract_if(.., |(at, _, _)| *at <= now) {
            let answer = fleet
                .get_mut(command.server.as_str())
                .unwrap()
                .execute(now, &command);
            let answer = if rng.random_bool(0.2) {
                Answer::Lost
            } else {
                answer
            };
            daemons[daemon].1.record_answer(&command.server, answer);
        }
        if rng.random_bool(0.02) {
            // Reverts the weights of an engine, so that new orders are needed throughout the run.
            let engine = fleet
                .get_mut(&format!("e{}", rng.random_range(0..3)))
                .unwrap();
            engine.state.weights_version = "v1".into();
        }
        for (index, (machine, reconciler, lease_due, paused_until)) in
            daemons.iter_mut().enumerate()
        {
            if *paused_until > now {
                continue;
            }
            if rng.random_bool(0.005) {
                *paused_until = now + ms(rng.random_range(1_000..40_000));
                continue;
            }
            let mut grant = machine.grant(now);
            if !wait {
                grant = grant.map(|grant| Grant {
                    unfenced_from: ms(0),
                    ..grant
                });
            }
            for action in reconciler.step(now, grant) {
                match action {
                    Action::Read(server) => {
                        let state = fleet.get_mut(server.as_str()).unwrap().read(now);
                        reconciler.observe(now, &server, rng.random_bool(0.95).then_some(state));
                    }
                    // Up to the time to live of a lease can pass between the check of the lease and the sending, in
                    // addition to the delay on the way.
                    Action::Send(command) => {
                        let delay = if rng.random_bool(0.3) {
                            rng.random_range(0..14_900)
                        } else {
                            0
                        };
                        network.push((now + ms(delay), index, command));
                    }
                }
            }
            if *lease_due <= now {
                *lease_due = now + advance_lease(machine, &mut object, now, &mut rng);
            }
        }
    }
    fleet.values().all(|engine| engine.fences.is_sorted())
}

/// Runs the state machine of a lease until it waits, and returns the duration of the wait.
fn advance_lease(
    machine: &mut Machine,
    object: &mut Option<(Version, Record)>,
    now: Moment,
    rng: &mut Pcg64Mcg,
) -> Duration {
    let mut step = machine.handle(now, Input::Elapsed, rng);
    loop {
        let fault = rng.random_bool(0.05);
        let input = match step {
            Step::Wait(time) => return time,
            Step::Read if fault => Input::Read(Err(Fault::Unavailable)),
            Step::Read => Input::Read(Ok(object.clone())),
            Step::Write { expected, .. }
                if object.as_ref().map(|(version, _)| *version) != expected =>
            {
                Input::Wrote(Err(Fault::Conflict))
            }
            Step::Write { expected, record } => {
                let version = expected.unwrap_or(0) + 1;
                *object = Some((version, record));
                Input::Wrote(if fault { Err(Fault::Lost) } else { Ok(version) })
            }
        };
        step = machine.handle(now, input, rng);
    }
}

/// Guards against an order of a former holder that arrives after an order of a newer one. The simulation must detect
/// this if daemons do not wait for the end of the former lease and the delay of its orders.
#[test]
fn engines_that_ignore_fencing_never_get_a_stale_order() {
    let broken: Vec<u64> = (0..300)
        .filter(|seed| !fencing_numbers_grow(*seed, true))
        .collect();
    assert!(broken.is_empty(), "seeds {broken:?}");
    let caught = (0..300)
        .filter(|seed| !fencing_numbers_grow(*seed, false))
        .count();
    assert!(caught > 0, "the check does not see the broken variant");
}
