//! A deployment on loopback: stand-ins in this process, daemons as processes, a balancer before them.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use jaystand_standin::{
    caller::{Answer, Call, Caller, Cut},
    engine,
    fleet::{Deployment, Entry, Fleet},
};
use tokio::{sync::Mutex, task::JoinHandle};

use super::process::{Daemon, Memory, daemon_program};

const READY_LIMIT: Duration = Duration::from_secs(10);
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// The balancer sees a daemon's readiness this late at most.
const BALANCER_PERIOD: Duration = Duration::from_millis(50);

pub(crate) struct Cluster {
    pub(crate) fleet: Fleet,
    pub(crate) entries: Vec<Entry>,
    pub(crate) balancer: Balancer,
    daemons: Vec<Mutex<Daemon>>,
    program: PathBuf,
    directory: PathBuf,
}

/// Sends calls to ready daemons, as the platform's balancer does. The order is scattered: calls in strict turn would
/// keep the daemons' own counters in step, so that six round-robin daemons choose the same server at once.
#[derive(Clone)]
pub(crate) struct Balancer {
    caller: Caller,
    callers: Arc<[SocketAddr]>,
    ready: Arc<[AtomicBool]>,
    next: Arc<AtomicUsize>,
    poll: Arc<Poll>,
}

struct Poll(JoinHandle<()>);

impl Drop for Poll {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Cluster {
    /// Starts stand-ins and daemons and waits until all daemons are ready.
    pub(crate) async fn start(
        deployment: Deployment,
        daemons: usize,
        policy: &str,
        seed: u64,
        tune: impl Fn(usize, &mut engine::Settings),
    ) -> io::Result<Self> {
        let program = daemon_program()?;
        let fleet = deployment.start(seed, tune)?;
        let entries = fleet.entries(daemons)?;
        fleet.publish(&entries);
        let directory = std::env::temp_dir().join(format!(
            "jaystand-bench-{}-{}",
            std::process::id(),
            fleet.platform.address().port()
        ));
        fs::create_dir_all(&directory)?;
        let bootstrap = directory.join("bootstrap.json");
        fs::write(&bootstrap, serde_json::to_vec(&fleet.document())?)?;
        let mut running = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let settings = directory.join(format!("{}.toml", entry.name));
            fs::write(
                &settings,
                fleet.settings(&entries, index, policy, &bootstrap),
            )?;
            let log = directory.join(format!("{}.log", entry.name));
            running.push(Mutex::new(Daemon::start(&program, &settings, &log)?));
        }
        let cluster = Self {
            balancer: Balancer::new(&entries),
            fleet,
            entries,
            daemons: running,
            program,
            directory,
        };
        for index in 0..daemons {
            cluster.wait_ready(index).await?;
        }
        Ok(cluster)
    }

    /// Waits until a daemon and the balancer agree that it is ready.
    pub(crate) async fn wait_ready(&self, index: usize) -> io::Result<()> {
        let ready = async {
            while !self.balancer.ready[index].load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(READY_LIMIT, ready).await.is_ok() {
            return Ok(());
        }
        let log = self
            .directory
            .join(format!("{}.log", self.entries[index].name));
        let log = fs::read_to_string(log).unwrap_or_default();
        let message = format!(
            "{} is not ready after {READY_LIMIT:?}; its log:\n{log}",
            self.entries[index].name
        );
        Err(io::Error::other(message))
    }

    /// Stops a daemon as planned; the time it took, or none if it had to be abandoned or failed.
    pub(crate) async fn stop(&self, index: usize) -> Option<Duration> {
        let began = tokio::time::Instant::now();
        let mut daemon = self.daemons[index].lock().await;
        daemon.terminate();
        daemon.ended(STOP_LIMIT).await.filter(|success| *success)?;
        Some(began.elapsed())
    }

    /// Kills a daemon, as a crash does.
    pub(crate) async fn kill(&self, index: usize) {
        self.daemons[index].lock().await.kill().await;
    }

    /// Starts a stopped daemon again.
    pub(crate) async fn restart(&self, index: usize) -> io::Result<()> {
        let name = &self.entries[index].name;
        let settings = self.directory.join(format!("{name}.toml"));
        let log = self.directory.join(format!("{name}.log"));
        *self.daemons[index].lock().await = Daemon::start(&self.program, &settings, &log)?;
        Ok(())
    }

    pub(crate) async fn memory(&self, index: usize) -> Memory {
        self.daemons[index].lock().await.memory()
    }

    pub(crate) async fn processor_time(&self, index: usize) -> Duration {
        self.daemons[index].lock().await.processor_time()
    }

    /// Ends all daemons.
    pub(crate) async fn end(self) {
        for daemon in &self.daemons {
            daemon.lock().await.kill().await;
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Balancer {
    fn new(entries: &[Entry]) -> Self {
        let caller = Caller::default();
        let ready: Arc<[AtomicBool]> = entries.iter().map(|_| AtomicBool::new(false)).collect();
        let admins: Vec<SocketAddr> = entries.iter().map(|entry| entry.admin).collect();
        let poll = tokio::spawn(poll(caller.clone(), admins, Arc::clone(&ready)));
        Self {
            caller,
            callers: entries.iter().map(|entry| entry.callers).collect(),
            ready,
            next: Arc::default(),
            poll: Arc::new(Poll(poll)),
        }
    }

    pub(crate) fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Sends a call. A daemon that cannot be connected to is passed over, as balancers do.
    pub(crate) async fn send(&self, call: &Call) -> Answer {
        let _ = &self.poll;
        let count = self.callers.len();
        let mut last = Answer::default();
        for _ in 0..8 * count {
            let index = scatter(self.next.fetch_add(1, Ordering::Relaxed)) % count;
            if !self.ready[index].load(Ordering::Relaxed) {
                continue;
            }
            last = self.caller.send(self.callers[index], call).await;
            if last.cut != Some(Cut::Connect) {
                return last;
            }
        }
        last.cut = Some(Cut::Connect);
        last
    }
}

/// `SplitMix64`'s finaliser: the same sequence in every run, without the regularity of a counter.
fn scatter(turn: usize) -> usize {
    let mut mixed = (turn as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    usize::try_from(mixed >> 33).unwrap_or(0)
}

async fn poll(caller: Caller, admins: Vec<SocketAddr>, ready: Arc<[AtomicBool]>) {
    loop {
        let states = admins.iter().map(|admin| caller.get(*admin, "/readyz", ""));
        let states = futures::future::join_all(states).await;
        for (flag, state) in ready.iter().zip(states) {
            let live = state.is_some_and(|(status, _)| status.is_success());
            flag.store(live, Ordering::Relaxed);
        }
        tokio::time::sleep(BALANCER_PERIOD).await;
    }
}
