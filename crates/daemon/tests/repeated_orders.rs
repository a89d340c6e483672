//! Orders sent twice through different daemons, with daemons killed and platform answers lost, in virtual time.

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

/// A platform that loses one answer in five, before or after the effect, and refuses one call in twenty. Writes
/// take effect up to 50 ms after they were sent, even when the sender no longer exists.
#[derive(Clone)]
struct Platform(Arc<Mutex<State>>);

struct State {
    shards: HashMap<u8, (Version, Shard)>,
    random: Pcg64,
}

impl Platform {
    fn chance(&self, one_in: u32) -> bool {
        self.0.lock().random.random_ratio(1, one_in)
    }

    fn delay(&self, most_ms: u64) -> Duration {
        Duration::from_millis(self.0.lock().random.random_range(0..=most_ms))
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
        tokio::time::sleep(self.delay(5)).await;
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
            tokio::time::sleep(platform.delay(50)).await;
            platform.update(shard, expected, value)
        });
        let patience = self.delay(60).max(Duration::from_millis(20));
        match tokio::time::timeout(patience, effect).await {
            Ok(Ok(result)) if !self.chance(10) => result,
            _ => Err(Fault::Lost),
        }
    }
}

/// What a caller was told; nothing when the connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Told {
    Done(Bytes),
    NotRun,
    Unknown,
}

type Answers = Arc<Mutex<BTreeMap<(usize, usize), Told>>>;

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

    fn call(&mut self, ledger: &ledger::Handle, answers: &Answers, order: usize, sent: usize) {
        let (claims, timer) = (Arc::clone(&self.claims), self.timer.clone());
        let (ledger, answers) = (ledger.clone(), Arc::clone(answers));
        self.calls.spawn(async move {
            let told = run(&claims, &timer, &ledger, order, sent).await;
            answers.lock().insert((order, sent), told);
        });
    }
}

fn key(order: usize) -> String {
    format!("order-{order}")
}

/// What the entry does with an order.
async fn run(
    claims: &Claims,
    timer: &Timer,
    ledger: &ledger::Handle,
    order: usize,
    sent: usize,
) -> Told {
    let body = BodyHash::new(key(order).as_bytes());
    let deadline = timer.now() + Duration::from_millis(700);
    let ticket = match claims.acquire("team", &key(order), body, deadline).await {
        Verdict::Dispatch(ticket) => ticket,
        Verdict::Answer(reply) => return Told::Done(reply.body),
        Verdict::NotRun { reason, .. } if reason.excludes_earlier_run() => return Told::NotRun,
        Verdict::NotRun { .. } | Verdict::Unknown { .. } => return Told::Unknown,
        Verdict::KeyReused => panic!("every repeat has the same body"),
    };
    match send(ledger, order, sent).await {
        Some((StatusCode::OK, body)) => {
            let reply = Reply {
                status: 200,
                content_type: "application/json".into(),
                body: body.clone(),
            };
            claims.finish(ticket, reply);
            Told::Done(body)
        }
        Some(_) => {
            claims.release(ticket);
            Told::NotRun
        }
        None => Told::Unknown,
    }
}

/// Sends the order to the ledger over a connection of its own.
async fn send(ledger: &ledger::Handle, order: usize, sent: usize) -> Option<(StatusCode, Bytes)> {
    let stream = TokioIo::new(ledger.connect());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await.ok()?;
    let connection = tokio::spawn(connection);
    let request = Request::post("/services/order")
        .header("host", "ledger")
        .header("x-request-id", request_id(order, sent))
        .header("idempotency-key", key(order))
        .body(Full::new(Bytes::from(key(order))))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    connection.abort();
    Some((status, body))
}

fn request_id(order: usize, sent: usize) -> String {
    format!("{:016x}", 2 * order + sent)
}

async fn simulate(seed: u64) -> (Answers, ledger::Handle) {
    let mut random = Pcg64::seed_from_u64(seed);
    let platform = Platform(Arc::new(Mutex::new(State {
        shards: HashMap::new(),
        random: Pcg64::seed_from_u64(seed + 1),
    })));
    let ledger = ledger::start(ledger::Settings::default()).unwrap();
    let answers = Answers::default();
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::start(&platform)).collect();
    // The second sending of an order follows the first at any distance, or none.
    let mut sendings: Vec<(u64, usize, usize)> = (0..ORDERS)
        .flat_map(|order| [(order, 0), (order, 1)])
        .map(|(order, sent)| {
            (
                10 * order as u64 + random.random_range(0..=500),
                order,
                sent,
            )
        })
        .collect();
    sendings.sort_unstable();
    let began = tokio::time::Instant::now();
    for (at_ms, order, sent) in sendings {
        tokio::time::sleep_until(began + Duration::from_millis(at_ms)).await;
        if random.random_ratio(1, 40) {
            let killed = random.random_range(0..DAEMONS);
            daemons[killed] = Daemon::start(&platform);
        }
        ledger.set_faults(ledger::Faults {
            refuse: random.random_ratio(1, 20),
            drop_after_execution: random.random_ratio(1, 20),
            ..ledger::Faults::default()
        });
        let daemon = (order + sent) % DAEMONS;
        daemons[daemon].call(&ledger, &answers, order, sent);
    }
    for daemon in &mut daemons {
        while daemon.calls.join_next().await.is_some() {}
        daemon.claims.drain().await;
    }
    (answers, ledger)
}

/// Guards against an order that runs twice, a false `not_run`, and a repeat that gets another answer than the first.
#[tokio::test(start_paused = true)]
async fn orders_sent_twice_run_at_most_once() {
    for seed in 0..SEEDS {
        let (answers, ledger) = simulate(seed).await;
        let executions = ledger.standin().executions();
        assert!(
            executions.values().all(|count| *count == 1),
            "seed {seed}: executed twice"
        );
        let answers = answers.lock();
        for record in ledger.records().iter().filter(|record| record.executed) {
            let number = usize::from_str_radix(&record.request, 16).unwrap();
            let told = answers.get(&(number / 2, number % 2));
            assert_ne!(told, Some(&Told::NotRun), "seed {seed}: {record:?} ran");
        }
        let records = ledger.records();
        for ((order, sent), _) in answers.iter().filter(|(_, told)| **told == Told::NotRun) {
            // A sending that the ledger itself refused held the claim and gave it back, so the other may run later.
            let (key, request) = (key(*order), request_id(*order, *sent));
            let first = records
                .iter()
                .find(|record| record.request == request || (record.executed && record.key == key));
            assert!(
                !executions.contains_key(&key)
                    || first.is_some_and(|record| record.request == request && !record.executed),
                "seed {seed}: sending {sent} of {key} was told not_run, but the order ran"
            );
        }
        let mut counts = BTreeMap::new();
        for ((order, sent), told) in answers.iter() {
            let what = match told {
                Told::Done(_) => "done",
                Told::NotRun => "not_run",
                Told::Unknown => "unknown",
            };
            *counts.entry(what).or_insert(0) += 1;
            let executed = executions.contains_key(&key(*order));
            assert!(
                executed || !matches!(told, Told::Done(_)),
                "seed {seed}: {order} is done"
            );
            let other = answers.get(&(*order, 1 - sent));
            if let (Told::Done(one), Some(Told::Done(other))) = (told, other) {
                assert_eq!(one, other, "seed {seed}: order {order}");
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
