//! Simulation in virtual time of orders that are sent twice through different daemons, while daemons are killed and
//! answers of the platform are lost.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use jaystand_control::claim::{BodyHash, Fault, Reply, Shard};
use jaystand_daemon::claim::{Claims, Store, Verdict};
use jaystand_kernel::timer::Timer;
use jaystand_standin::ledger;
use jaystand_types::Version;
use parking_lot::Mutex;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use tokio::task::JoinSet;

const ORDERS: usize = 300;
const DAEMONS: usize = 3;
const SEEDS: u64 = 4;

/// A platform that loses one answer in five, before or after the write takes effect, and refuses one call in twenty.
/// Writes take effect up to 50 ms after they were sent, even if the sender no longer exists.
#[derive(Clone)]
struct Platform(Arc<Mutex<State>>);

struct State {
    shards: HashMap<u8, (Version, Shard)>,
    random: Pcg64,
}

impl Platform {
    /// Returns true once in `one_in` calls on average.
    fn chance(&self, one_in: u32) -> bool {
        self.0.lock().random.random_ratio(1, one_in)
    }

    fn random_delay(&self, max_ms: u64) -> Duration {
        Duration::from_millis(self.0.lock().random.random_range(0..=max_ms))
    }

    fn update(&self, shard: u8, expected: Option<Version>, value: Shard) -> Result<Version, Fault> {
        let mut state = self.0.lock();
        let current = state.shards.get(&shard).map(|(version, _)| *version);
        if current != expected {
            return Err(Fault::Conflict);
        }
        let version = current.unwrap_or(0) + 1;
        state.shards.insert(shard, (version, value));
        Ok(version)
    }
}

impl Store for Platform {
    async fn read(&self, shard: u8) -> Result<Option<(Version, Shard)>, Fault> {
        tokio::time::sleep(self.random_delay(5)).await;
        if self.chance(20) {
            return Err(Fault::Unavailable);
        }
        Ok(self.0.lock().shards.get(&shard).cloned())
    }

    async fn write(
        &self,
        shard: u8,
        expected: Option<Version>,
        value: Shard,
    ) -> Result<Version, Fault> {
        if self.chance(20) {
            return Err(Fault::Unavailable);
        }
        if self.chance(10) {
            return Err(Fault::Lost);
        }
        let platform = self.clone();
        let effect = tokio::spawn(async move {
            tokio::time::sleep(platform.random_delay(50)).await;
            platform.update(shard, expected, value)
        });
        let call_timeout = self.random_delay(60).max(Duration::from_millis(20));
        match tokio::time::timeout(call_timeout, effect).await {
            Ok(Ok(result)) if !self.chance(10) => result,
            _ => Err(Fault::Lost),
        }
    }
}

/// The outcome that a caller was told. There is none if its daemon was killed, which breaks the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallerOutcome {
    Done(Bytes),
    NotRun,
    Unknown,
}

/// Outcomes by order and sending, which is 0 or 1.
type Outcomes = Arc<Mutex<BTreeMap<(usize, usize), CallerOutcome>>>;

struct Daemon {
    claims: Arc<Claims>,
    timer: Timer,
    calls: JoinSet<()>,
}

impl Daemon {
    fn start(platform: &Platform) -> Self {
        let timer = Timer::new();
        let claims = Claims::start(platform, timer.clone(), &prometheus::Registry::new());
        Self {
            claims: Arc::new(claims.unwrap()),
            timer,
            calls: JoinSet::new(),
        }
    }

    fn call(&mut self, ledger: &ledger::Handle, outcomes: &Outcomes, order: usize, sending: usize) {
        let (claims, timer) = (Arc::clone(&self.claims), self.timer.clone());
        let (ledger, outcomes) = (ledger.clone(), Arc::clone(outcomes));
        self.calls.spawn(async move {
            let outcome = run_order(&claims, &timer, &ledger, order, sending).await;
            outcomes.lock().insert((order, sending), outcome);
        });
    }
}

fn key(order: usize) -> String {
    format!("order-{order}")
}

/// Runs one sending of an order as the entry of a daemon does.
async fn run_order(
    claims: &Claims,
    timer: &Timer,
    ledger: &ledger::Handle,
    order: usize,
    sending: usize,
) -> CallerOutcome {
    let body = BodyHash::new(key(order).as_bytes());
    let deadline = timer.now() + Duration::from_millis(700);
    let ticket = match claims.acquire("team", &key(order), body, deadline).await {
        Verdict::Dispatch(ticket) => ticket,
        Verdict::Answer(reply) => return CallerOutcome::Done(reply.body),
        Verdict::NotRun { reason, .. } if reason.excludes_earlier_run() => {
            return CallerOutcome::NotRun;
        }
        Verdict::NotRun { .. } | Verdict::Unknown { .. } => return CallerOutcome::Unknown,
        Verdict::KeyReused => panic!("every repeat has the same body"),
    };
    match send(ledger, order, sending).await {
        Some((StatusCode::OK, body)) => {
            let reply = Reply {
                status: 200,
                content_type: "application/json".into(),
                body: body.clone(),
            };
            claims.finish(ticket, reply);
            CallerOutcome::Done(body)
        }
        Some(_) => {
            claims.release(ticket);
            CallerOutcome::NotRun
        }
        None => CallerOutcome::Unknown,
    }
}

/// Sends the order to the ledger over a connection of its own.
async fn send(
    ledger: &ledger::Handle,
    order: usize,
    sending: usize,
) -> Option<(StatusCode, Bytes)> {
    let stream = TokioIo::new(ledger.connect());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await.ok()?;
    let connection = tokio::spawn(connection);
    let request = Request::post("/services/order")
        .header("host", "ledger")
        .header("x-request-id", request_id(order, sending))
        .header("idempotency-key", key(order))
        .body(Full::new(Bytes::from(key(order))))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    connection.abort();
    Some((status, body))
}

fn request_id(order: usize, sending: usize) -> String {
    format!("{:016x}", 2 * order + sending)
}

/// Runs all orders with one seed. Returns the outcomes that callers were told, and the ledger.
async fn simulate(seed: u64) -> (Outcomes, ledger::Handle) {
    let mut random = Pcg64::seed_from_u64(seed);
    let platform = Platform(Arc::new(Mutex::new(State {
        shards: HashMap::new(),
        random: Pcg64::seed_from_u64(seed + 1),
    })));
    let ledger = ledger::start(ledger::Settings::default()).unwrap();
    let outcomes = Outcomes::default();
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::start(&platform)).collect();
    // The two sendings of an order are up to 500 ms apart, in either sequence.
    let mut sendings: Vec<(u64, usize, usize)> = (0..ORDERS)
        .flat_map(|order| [(order, 0), (order, 1)])
        .map(|(order, sending)| {
            (
                10 * order as u64 + random.random_range(0..=500),
                order,
                sending,
            )
        })
        .collect();
    sendings.sort_unstable();
    let started = tokio::time::Instant::now();
    for (at_ms, order, sending) in sendings {
        tokio::time::sleep_until(started + Duration::from_millis(at_ms)).await;
        if random.random_ratio(1, 40) {
            let index = random.random_range(0..DAEMONS);
            daemons[index] = Daemon::start(&platform);
        }
        ledger.set_faults(ledger::Faults {
            refuse: random.random_ratio(1, 20),
            drop_after_execution: random.random_ratio(1, 20),
            ..ledger::Faults::default()
        });
        let daemon = (order + sending) % DAEMONS;
        daemons[daemon].call(&ledger, &outcomes, order, sending);
    }
    for daemon in &mut daemons {
        while daemon.calls.join_next().await.is_some() {}
        daemon.claims.drain().await;
    }
    (outcomes, ledger)
}

/// Guards against an order that runs twice, a caller that is told `not_run` although the order ran, and a repeat that
/// gets another answer than the first, when two daemons race for a claim or a daemon dies between claim and result.
#[tokio::test(start_paused = true)]
async fn orders_sent_twice_run_at_most_once() {
    for seed in 0..SEEDS {
        let (outcomes, ledger) = simulate(seed).await;
        let executions = ledger.standin().executions();
        assert!(
            executions.values().all(|count| *count == 1),
            "seed {seed}: executed twice"
        );
        let outcomes = outcomes.lock();
        for record in ledger.records().iter().filter(|record| record.executed) {
            let number = usize::from_str_radix(&record.request, 16).unwrap();
            let outcome = outcomes.get(&(number / 2, number % 2));
            assert_ne!(
                outcome,
                Some(&CallerOutcome::NotRun),
                "seed {seed}: {record:?} ran"
            );
        }
        let records = ledger.records();
        for ((order, sending), _) in outcomes
            .iter()
            .filter(|(_, outcome)| **outcome == CallerOutcome::NotRun)
        {
            // A sending that the ledger itself refused had the claim and released it, so the other one may run later.
            let (key, request) = (key(*order), request_id(*order, *sending));
            let first = records
                .iter()
                .find(|record| record.request == request || (record.executed && record.key == key));
            assert!(
                !executions.contains_key(&key)
                    || first.is_some_and(|record| record.request == request && !record.executed),
                "seed {seed}: sending {sending} of {key} was told not_run, but the order ran"
            );
        }
        let mut counts = BTreeMap::new();
        for ((order, sending), outcome) in outcomes.iter() {
            let label = match outcome {
                CallerOutcome::Done(_) => "done",
                CallerOutcome::NotRun => "not_run",
                CallerOutcome::Unknown => "unknown",
            };
            *counts.entry(label).or_insert(0) += 1;
            let executed = executions.contains_key(&key(*order));
            assert!(
                executed || !matches!(outcome, CallerOutcome::Done(_)),
                "seed {seed}: {order} is done"
            );
            let other = outcomes.get(&(*order, 1 - sending));
            if let (CallerOutcome::Done(answer), Some(CallerOutcome::Done(other))) =
                (outcome, other)
            {
                assert_eq!(answer, other, "seed {seed}: order {order}");
            }
        }
        println!(
            "seed {seed}: {} of {ORDERS} orders executed, callers told {counts:?}",
            executions.len()
        );
        assert!(
            executions.len() > ORDERS / 2,
            "seed {seed}: too few orders ran to test anything"
        );
    }
}
