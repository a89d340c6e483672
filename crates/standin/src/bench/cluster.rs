//! A deployment on loopback: stand-ins in this process, daemons as processes, and a load balancer in front of them.

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

const READY_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two polls of the daemons' readiness.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) struct Cluster {
    pub(crate) fleet: Fleet,
    pub(crate) entries: Vec<Entry>,
    pub(crate) balancer: Balancer,
    daemons: Vec<Mutex<Daemon>>,
    program: PathBuf,
    directory: PathBuf,
}

/// Sends calls to ready daemons, as the platform's load balancer does. Daemons are chosen in a scattered order: strict
/// turns would keep the daemons' own counters in step, so that six round-robin daemons choose the same server at once.
#[derive(Clone)]
pub(crate) struct Balancer {
    caller: Caller,
    callers: Arc<[SocketAddr]>,
    ready: Arc<[AtomicBool]>,
    next_turn: Arc<AtomicUsize>,
    poll: Arc<PollTask>,
}

struct PollTask(JoinHandle<()>);

impl Drop for PollTask {
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

    /// Waits until the balancer has seen that a daemon is ready.
    pub(crate) async fn wait_ready(&self, index: usize) -> io::Result<()> {
        let ready = async {
            while !self.balancer.ready[index].load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_ok() {
            return Ok(());
        }
        let log = self
            .directory
            .join(format!("{}.log", self.entries[index].name));
        let log = fs::read_to_string(log).unwrap_or_default();
        let message = format!(
            "{} is not ready after {READY_TIMEOUT:?}; its log:\n{log}",
            self.entries[index].name
        );
        Err(io::Error::other(message))
    }

    /// Stops a daemon as planned; returns the time it took, or `None` if it failed or did not exit in time.
    pub(crate) async fn stop(&self, index: usize) -> Option<Duration> {
        let began = tokio::time::Instant::now();
        let mut daemon = self.daemons[index].lock().await;
        daemon.terminate();
        daemon
            .wait_exit(STOP_TIMEOUT)
            .await
            .filter(|success| *success)?;
        Some(began.elapsed())
    }

    /// Kills a daemon, as a crash would.
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

    /// Kills all daemons and removes their files.
    pub(crate) async fn shut_down(self) {
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
        let poll = tokio::spawn(poll_readiness(caller.clone(), admins, Arc::clone(&ready)));
        Self {
            caller,
            callers: entries.iter().map(|entry| entry.callers).collect(),
            ready,
            next_turn: Arc::default(),
            poll: Arc::new(PollTask(poll)),
        }
    }

    pub(crate) fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Sends a call. Skips daemons that are not ready or refuse the connection, as load balancers do.
    pub(crate) async fn send(&self, call: &Call) -> Answer {
        let _ = &self.poll;
        let count = self.callers.len();
        let mut last = Answer::default();
        for _ in 0..8 * count {
            let index = scatter_turn(self.next_turn.fetch_add(1, Ordering::Relaxed)) % count;
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

/// Mixes a counter with `SplitMix64`'s finaliser: the same sequence in every run, without a counter's regularity.
fn scatter_turn(turn: usize) -> usize {
    let mut mixed = (turn as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    usize::try_from(mixed >> 33).unwrap_or(0)
}

async fn poll_readiness(caller: Caller, admins: Vec<SocketAddr>, ready: Arc<[AtomicBool]>) {
    loop {
        let states = admins.iter().map(|admin| caller.get(*admin, "/readyz", ""));
        let states = futures::future::join_all(states).await;
        for (flag, state) in ready.iter().zip(states) {
            let is_ready = state.is_some_and(|(status, _)| status.is_success());
            flag.store(is_ready, Ordering::Relaxed);
        }
        tokio::time::sleep(READINESS_POLL_INTERVAL).await;
    }
}
