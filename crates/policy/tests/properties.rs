//! Properties of the prefix chain, and of the router under random events.

use std::{collections::BTreeMap, num::NonZeroU32, sync::Arc, time::Duration};

use jaystand_policy::{
    Action, Chain, Event, Failure, Fleet, Refusal, Request, Router, Salt,
    router::{Settings, Source, Strategy as Policy},
    server, team,
};
use jaystand_types::{Moment, Outcome, RepeatRule, RequestId, Urgency};
use proptest::prelude::*;

const SERVERS: u32 = 6;
const SLOTS: u32 = 3;

fn spec(id: u32) -> server::Spec {
    server::Spec {
        id,
        name: format!("s{id}").into(),
        data_centre: format!("dc{}", id % 3).into(),
        model: "m".into(),
        weights_version: "v1".into(),
        service: false,
        slots: SLOTS,
    }
}

/// Returns a fleet whose ids belong to other servers for another `shift`.
fn fleet(shift: u32) -> Fleet {
    let mut servers: Vec<_> = (0..SERVERS)
        .map(|id| spec((id + shift) % (SERVERS + 2)))
        .collect();
    for (id, server) in (0..).zip(&mut servers) {
        server.id = id;
    }
    Fleet {
        servers,
        shares: Vec::new(),
        limits: vec![team::Limit {
            team: "t0".into(),
            kind: "k".into(),
            max_in_flight: NonZeroU32::new(4),
            requests_per_minute: None,
        }],
    }
}

fn settings(policy: Policy) -> Settings {
    Settings {
        strategy: policy,
        data_centre: "dc0".into(),
        max_queued: 20,
        ..Settings::default()
    }
}

fn request(id: RequestId, now: Moment, pick: u8) -> Request {
    let salt = Salt::new("t", "m", "", "v1");
    let texts: Vec<Vec<u8>> = (0..=pick % 5).map(|level| vec![pick % 7, level]).collect();
    let urgency = Urgency::ALL[usize::from(pick) % 3];
    Request {
        id,
        team: format!("t{}", pick % 4).into(),
        kind: "k".into(),
        urgency,
        repeat: RepeatRule::ALL[usize::from(pick / 3) % 3],
        chain: Chain::new(salt, 64, texts.iter().map(Vec::as_slice)),
        prompt_tokens: u32::from(pick) * 10,
        expected_tokens: if pick > 250 { 4_000 } else { 40 },
        deadline: now + Duration::from_millis(500 + u64::from(pick) * 50),
        first_token_target: Duration::from_secs(1),
        servers: Arc::from((0..SERVERS).collect::<Vec<_>>()),
    }
}

/// What the daemon and the servers know about one request.
#[derive(Default)]
struct RequestRecord {
    /// Whether the request may run at most once.
    runs_once: bool,
    /// How often the request has ended.
    ends: u32,
    /// Numbers of the running attempts.
    live: Vec<u32>,
    /// Number of ended attempts that may have run.
    may_have_run: u32,
}

struct World {
    router: Router,
    now: Moment,
    next_id: RequestId,
    records: BTreeMap<RequestId, RequestRecord>,
}

impl World {
    fn new(policy: Policy, seed: u64) -> Self {
        let mut router = Router::new(settings(policy), seed);
        router.configure(Moment::ZERO, fleet(0));
        Self {
            router,
            now: Moment::ZERO,
            next_id: 1,
            records: BTreeMap::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(&action);
        }
    }

    fn check_action(&mut self, action: &Action) {
        match *action {
            Action::Dispatch {
                request, attempt, ..
            } => {
                let record = self.records.get_mut(&request).expect("known request");
                assert_eq!(record.ends, 0, "an ended request is sent again");
                assert!(
                    !record.live.contains(&attempt),
                    "an attempt number is used twice"
                );
                if record.runs_once {
                    assert!(
                        record.live.is_empty() && record.may_have_run == 0,
                        "may run twice"
                    );
                }
                record.live.push(attempt);
            }
            Action::CancelAttempt {
                request, attempt, ..
            } => {
                let record = self.records.get_mut(&request).expect("known request");
                let live = record.live.len();
                record.live.retain(|known| *known != attempt);
                record.may_have_run += u32::from(record.live.len() < live);
            }
            Action::Refuse {
                request, outcome, ..
            } => {
                let record = self.records.get_mut(&request).expect("known request");
                record.ends += 1;
                if outcome == Outcome::NotRun {
                    let proven = record.may_have_run == 0 && record.live.is_empty();
                    assert!(proven, "not_run after an attempt that may have run");
                }
            }
        }
    }

    /// Takes one random step: a new request, a cancellation, an event of a running attempt, or a change of the fleet.
    fn random_step(&mut self, kind: u8, pick: u8) {
        self.now += Duration::from_millis(u64::from(pick % 40));
        match kind {
            0..90 => self.submit(pick),
            90..100 => self.change_fleet(pick),
            100..110 => self.cancel(pick),
            _ => self.advance_attempt(kind, pick),
        }
    }

    fn submit(&mut self, pick: u8) {
        let id = self.next_id;
        self.next_id += 1;
        let request = request(id, self.now, pick);
        let runs_once = request.repeat != RepeatRule::Repeatable;
        self.records.insert(
            id,
            RequestRecord {
                runs_once,
                ..RequestRecord::default()
            },
        );
        self.handle(Event::Submit(request));
    }

    fn cancel(&mut self, pick: u8) {
        let open = self.records.iter().filter(|(_, record)| record.ends == 0);
        let Some(request) = open.map(|(id, _)| *id).nth(usize::from(pick % 8)) else {
            return;
        };
        self.records.get_mut(&request).expect("known request").ends += 1;
        self.handle(Event::Cancel { request });
    }

    fn change_fleet(&mut self, pick: u8) {
        let server = u32::from(pick) % SERVERS;
        match pick % 5 {
            0 => self.router.configure(self.now, fleet(u32::from(pick) % 3)),
            1 => self.handle(Event::Leaving { server }),
            2 => self.handle(Event::Returned { server }),
            3 => self.handle(Event::Reachable {
                data_centre: format!("dc{}", server % 3).into(),
                reachable: pick.is_multiple_of(2),
            }),
            _ => self.handle(Event::Daemons {
                live: u32::from(pick % 5),
            }),
        }
    }

    fn advance_attempt(&mut self, kind: u8, pick: u8) {
        let live = self
            .records
            .iter()
            .flat_map(|(id, record)| record.live.iter().map(|n| (*id, *n)));
        let live: Vec<_> = live.collect();
        let Some(&(request, attempt)) = live.get(usize::from(pick) % live.len().max(1)) else {
            return;
        };
        let event = match kind % 8 {
            0 => Event::FirstToken { request, attempt },
            1 => Event::Progress {
                request,
                attempt,
                tokens: 5,
            },
            2 | 3 => Event::Finished {
                request,
                attempt,
                tokens: 5,
            },
            4 => Event::Accepted {
                request,
                attempt,
                cached_tokens: 5,
                incarnation: 1,
            },
            5 => self.failed_event(
                request,
                attempt,
                [Failure::NotSent, Failure::Mismatch][usize::from(pick % 2)],
            ),
            6 => self.failed_event(request, attempt, Failure::Refused { retry_after: None }),
            _ => {
                let kinds = [Failure::Silent, Failure::Broken, Failure::ServerError];
                self.failed_event(request, attempt, kinds[usize::from(pick % 3)])
            }
        };
        if let Event::Finished { .. } = event {
            let record = self.records.get_mut(&request).expect("known request");
            record.ends += 1;
            record.live.retain(|known| *known != attempt);
            record.may_have_run += 1;
        }
        self.handle(event);
    }

    fn failed_event(&mut self, request: RequestId, attempt: u32, failure: Failure) -> Event {
        let record = self.records.get_mut(&request).expect("known request");
        record.live.retain(|known| *known != attempt);
        record.may_have_run += u32::from(!failure.proves_not_run());
        Event::Failed {
            request,
            attempt,
            failure,
        }
    }

    /// Advances time until the router has nothing left to do.
    fn settle(&mut self) {
        while let Some(wake) = self.router.next_wake() {
            assert!(
                self.now < Duration::from_secs(600),
                "requests outlive their deadlines"
            );
            self.now = self.now.max(wake);
            self.handle(Event::Tick);
        }
    }
}

fn policies() -> impl Strategy<Value = Policy> {
    prop_oneof![
        5 => Just(Policy::Jaystand),
        1 => Just(Policy::HashOnly),
        1 => Just(Policy::LeastLoaded),
        1 => Just(Policy::RoundRobin),
    ]
}

/// Guards against each daemon granting the limit of the whole deployment.
#[test]
fn limits_are_divided_by_the_live_daemons() {
    let mut router = Router::new(settings(Policy::Jaystand), 1);
    router.configure(Moment::ZERO, fleet(0));
    let mut actions = Vec::new();
    router.handle(Moment::ZERO, Event::Daemons { live: 2 }, &mut actions);
    for id in 0..3 {
        // Pick 0 is of team t0, whose limit is four requests in flight.
        router.handle(
            Moment::ZERO,
            Event::Submit(request(id, Moment::ZERO, 0)),
            &mut actions,
        );
    }
    let refused = Action::Refuse {
        request: 2,
        reason: Refusal::TeamLimit,
        retry_after: Duration::from_secs(2),
        outcome: Outcome::NotRun,
    };
    assert_eq!(actions.last(), Some(&refused));
    assert_eq!(router.requests(), 2);
}

/// Guards against placement by observations of a cache that the engine lost in a crash.
#[test]
fn a_new_incarnation_voids_observations() {
    let mut router = Router::new(settings(Policy::Jaystand), 1);
    router.configure(Moment::ZERO, fleet(0));
    let submitted = |id| Request {
        servers: Arc::from([0]),
        ..request(id, Moment::ZERO, 3)
    };
    let mut from_observation = Vec::new();
    for (id, incarnation) in [(0, 1), (1, 2)] {
        let attempt = 1;
        let cached_tokens = 0;
        let accepted = Event::Accepted {
            request: id,
            attempt,
            cached_tokens,
            incarnation,
        };
        router.handle(Moment::ZERO, Event::Submit(submitted(id)), &mut Vec::new());
        router.handle(Moment::ZERO, accepted, &mut Vec::new());
        if id == 0 {
            router.handle(
                Moment::ZERO,
                Event::FirstToken {
                    request: id,
                    attempt,
                },
                &mut Vec::new(),
            );
        }
        from_observation
            .push(router.explain(Moment::ZERO, &submitted(9))[0].source == Source::Holder);
    }
    assert_eq!(from_observation, [true, false]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against missing or repeated answers, wrong `not_run`, run-once requests that may run twice, and leaked
    /// slots.
    #[test]
    fn every_request_ends_once(policy in policies(), seed: u64, steps in prop::collection::vec(any::<(u8, u8)>(), 1..400)) {
        let mut world = World::new(policy, seed);
        for (kind, pick) in steps {
            world.random_step(kind, pick);
        }
        world.settle();
        for (id, record) in &world.records {
            prop_assert_eq!(record.ends, 1, "request {}", id);
        }
        prop_assert_eq!(world.router.requests(), 0);
        for server in 0..SERVERS {
            prop_assert_eq!(world.router.in_flight(server), 0);
        }
    }

    /// Guards against a team that crowds out others. Under contention, service must follow the weights.
    #[test]
    fn service_follows_weights(weights in prop::array::uniform3(1_u32..5)) {
        let mut fleet = fleet(0);
        fleet.shares = (1..4).map(|team| team::Share {
            team: format!("t{team}").into(),
            weight: NonZeroU32::new(weights[team - 1]).expect("positive"),
        }).collect();
        let settings = Settings { max_queued: 100, ..settings(Policy::Jaystand) };
        let mut router = Router::new(settings, 1);
        router.configure(Moment::ZERO, fleet);
        let mut actions = Vec::new();
        for id in 0..20 {
            for team in 1..4_u8 {
                let mut request = request(id * 4 + u64::from(team), Moment::ZERO, 0);
                request.team = format!("t{team}").into();
                request.servers = Arc::from([0]);
                request.deadline = Duration::from_secs(10_000);
                router.handle(Moment::ZERO, Event::Submit(request), &mut actions);
            }
        }
        let mut served = [0_u32; 3];
        for turn in 0..30 {
            let Some(Action::Dispatch { request, attempt, .. }) = actions.get(turn).cloned() else {
                break;
            };
            served[usize::try_from(request % 4).expect("small") - 1] += 1;
            router.handle(Moment::ZERO, Event::Finished { request, attempt, tokens: 40 }, &mut actions);
        }
        let total: u32 = weights.iter().sum();
        for (weight, served) in weights.iter().zip(served) {
            let due = 30.0 * f64::from(*weight) / f64::from(total);
            let due = due.min(20.0);
            prop_assert!((f64::from(served) - due).abs() <= 4.0, "{weights:?}: {served} of {due}");
        }
    }

    /// Guards against a shared cache entry of different teams, models, adapters or weights versions.
    #[test]
    fn identities_share_no_level(
        one in prop::array::uniform4("[ab]{0,2}"),
        other in prop::array::uniform4("[ab]{0,2}"),
        segments in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..6),
    ) {
        let chain = |id: &[String; 4]| {
            let salt = Salt::new(&id[0], &id[1], &id[2], &id[3]);
            Chain::new(salt, 16, segments.iter().map(Vec::as_slice))
        };
        let (a, b) = (chain(&one), chain(&other));
        let shared = a.levels().iter().any(|x| b.levels().iter().any(|y| x.hash == y.hash));
        prop_assert_eq!(shared, one == other);
    }
}
