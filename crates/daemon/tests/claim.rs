//! Tests of the claim workers on an in-memory store, in virtual time.

use std::{collections::HashMap, future::pending, sync::Arc, time::Duration};

use jaystand_control::claim::{BodyHash, Fault, Key, Reason, Reply, Shard};
use jaystand_daemon::claim::{Claims, Store, Verdict};
use jaystand_kernel::timer::Timer;
use jaystand_types::{Moment, Version};
use parking_lot::Mutex;

/// How the store answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    #[default]
    Working,
    Outage,
    /// No call is ever answered.
    Silent,
}

/// An in-memory store of claim shards that daemons share.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Objects>>);

#[derive(Default)]
struct Objects {
    shards: HashMap<u8, (Version, Shard)>,
    mode: Mode,
    writes: usize,
}

impl Memory {
    fn set_mode(&self, mode: Mode) {
        self.0.lock().mode = mode;
    }

    /// Takes as long as a call to the platform, and fails as the mode says.
    async fn simulate_call(&self) -> Result<(), Fault> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mode = self.0.lock().mode;
        match mode {
            Mode::Working => Ok(()),
            Mode::Outage => Err(Fault::Unavailable),
            Mode::Silent => pending().await,
        }
    }
}

impl Store for Memory {
    async fn read(&self, shard: u8) -> Result<Option<(Version, Shard)>, Fault> {
        self.simulate_call().await?;
        Ok(self.0.lock().shards.get(&shard).cloned())
    }

    async fn write(
        &self,
        shard: u8,
        expected: Option<Version>,
        value: Shard,
    ) -> Result<Version, Fault> {
        self.simulate_call().await?;
        let mut objects = self.0.lock();
        let current = objects.shards.get(&shard).map(|(version, _)| *version);
        if current != expected {
            return Err(Fault::Conflict);
        }
        let version = current.unwrap_or(0) + 1;
        objects.shards.insert(shard, (version, value));
        objects.writes += 1;
        Ok(version)
    }
}

struct Daemon {
    claims: Arc<Claims>,
    timer: Timer,
}

impl Daemon {
    fn start(memory: &Memory) -> Self {
        let timer = Timer::new();
        let registry = prometheus::Registry::new();
        let claims = Claims::start(memory, timer.clone(), &registry).unwrap();
        Self {
            claims: Arc::new(claims),
            timer,
        }
    }

    fn deadline_in(&self, seconds: u64) -> Moment {
        self.timer.now() + Duration::from_secs(seconds)
    }

    async fn acquire(&self, key: &str) -> Verdict {
        let deadline = self.deadline_in(10);
        self.claims
            .acquire("team", key, BodyHash::new(b"body"), deadline)
            .await
    }
}

fn reply() -> Reply {
    Reply {
        status: 200,
        content_type: "application/json".into(),
        body: "{}".into(),
    }
}

fn reason(verdict: &Verdict) -> Option<Reason> {
    match verdict {
        Verdict::NotRun { reason, .. } | Verdict::Unknown { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Guards against two daemons that both dispatch a request with the same key, and against a repeat that does not get
/// the first answer.
#[tokio::test(start_paused = true)]
async fn one_of_two_daemons_dispatches() {
    let memory = Memory::default();
    let daemons = [Daemon::start(&memory), Daemon::start(&memory)];
    let verdicts = tokio::join!(daemons[0].acquire("k"), daemons[1].acquire("k"));
    let (ticket, other) = match verdicts {
        (Verdict::Dispatch(ticket), other) | (other, Verdict::Dispatch(ticket)) => (ticket, other),
        verdicts => panic!("no daemon dispatches: {verdicts:?}"),
    };
    assert_eq!(reason(&other), Some(Reason::InProgress));
    daemons[0].claims.finish(ticket, reply());
    daemons[0].claims.drain().await;
    daemons[1].claims.drain().await;
    let repeat = Daemon::start(&memory);
    assert!(matches!(repeat.acquire("k").await, Verdict::Answer(answer) if answer == reply()));
    let reused = repeat
        .claims
        .acquire("team", "k", BodyHash::new(b"other"), repeat.deadline_in(1));
    assert!(matches!(reused.await, Verdict::KeyReused));
    assert!(matches!(
        repeat
            .claims
            .acquire("other", "k", BodyHash::new(b""), repeat.deadline_in(1))
            .await,
        Verdict::Dispatch(_)
    ));
}

/// Guards against a platform write for each claim on a busy shard, instead of one for all claims that arrive together.
#[tokio::test(start_paused = true)]
async fn concurrent_claims_of_a_shard_share_one_write() {
    let memory = Memory::default();
    let daemon = Daemon::start(&memory);
    let names = (0..).map(|number| number.to_string());
    let keys: Vec<String> = names
        .filter(|key| Key::new("team", key).shard() == 0)
        .take(20)
        .collect();
    let verdicts = futures::future::join_all(keys.iter().map(|key| daemon.acquire(key))).await;
    assert_eq!(memory.0.lock().writes, 1);
    for verdict in verdicts {
        let Verdict::Dispatch(ticket) = verdict else {
            panic!("{verdict:?}")
        };
        daemon.claims.finish(ticket, reply());
    }
    daemon.claims.drain().await;
    assert_eq!(memory.0.lock().writes, 2);
}

/// Guards against results and releases that are lost in an outage of the platform, and against a shutdown that does not
/// wait until they are stored.
#[tokio::test(start_paused = true)]
async fn results_survive_an_outage() {
    let memory = Memory::default();
    let daemon = Daemon::start(&memory);
    let (Verdict::Dispatch(done), Verdict::Dispatch(unsent), Verdict::Dispatch(dropped)) = tokio::join!(
        daemon.acquire("done"),
        daemon.acquire("unsent"),
        daemon.acquire("dropped")
    ) else {
        panic!("every key is new");
    };
    memory.set_mode(Mode::Outage);
    let refused = daemon.acquire("new").await;
    assert_eq!(reason(&refused), Some(Reason::Unreachable));
    assert!(matches!(refused, Verdict::NotRun { retry_after, .. } if !retry_after.is_zero()));
    daemon.claims.finish(done, reply());
    daemon.claims.release(unsent);
    drop(dropped);
    let drain = daemon.claims.drain();
    let restored = async {
        tokio::time::sleep(Duration::from_secs(30)).await;
        memory.set_mode(Mode::Working);
    };
    tokio::join!(drain, restored);
    assert_eq!(
        reason(&daemon.acquire("late").await),
        Some(Reason::ShuttingDown)
    );
    let repeat = Daemon::start(&memory);
    assert!(matches!(repeat.acquire("done").await, Verdict::Answer(_)));
    assert!(matches!(
        repeat.acquire("unsent").await,
        Verdict::Dispatch(_)
    ));
    assert_eq!(
        reason(&repeat.acquire("dropped").await),
        Some(Reason::InProgress)
    );
}

/// Guards against a caller that waits past its deadline for a silent platform, and against a claim that stays after its
/// caller went away before the verdict.
#[tokio::test(start_paused = true)]
async fn expired_and_abandoned_attempts_leave_no_claim() {
    let memory = Memory::default();
    let daemon = Daemon::start(&memory);
    let vanished = tokio::time::timeout(Duration::from_millis(5), daemon.acquire("vanished"));
    assert!(vanished.await.is_err());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(matches!(
        daemon.acquire("vanished").await,
        Verdict::Dispatch(_)
    ));
    memory.set_mode(Mode::Silent);
    let deadline = daemon.deadline_in(3);
    let late = daemon
        .claims
        .acquire("team", "late", BodyHash::new(b""), deadline)
        .await;
    assert_eq!(reason(&late), Some(Reason::Deadline));
    assert!(daemon.timer.now() < deadline + Duration::from_millis(10));
}
