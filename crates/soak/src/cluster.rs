//! The system under test: gateways and servers as processes of their own, and the store and the proxies between them
//! in this process.

use std::{
    fs::File,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use jaystand_adapter_standin::{
    call::{self, Call, Kind},
    exchange,
    objects::{self, CONFIG_OBJECT, Entry, MODEL, SERVERS_KIND, WEIGHTS_KIND},
    server::Line,
    store::Store,
};
use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    net::TcpStream,
    process::{Child, ChildStdout, Command},
    time::{sleep, timeout},
};

use crate::{
    caller::Callers,
    check::{Checker, LimitedCall, Ran},
    plan::{Fault, Mode, Shape},
    proxy::Proxy,
};

const FRONT_PORT: u16 = 8_700;
const READY_PORT: u16 = 8_701;
const PEER_PORT: u16 = 8_702;
const STORE_PORT: u16 = 9_200;
const SERVER_PORT: u16 = 9_100;
/// Time that a gateway has for a planned stop; written to its settings.
const STOP_GRACE: Duration = Duration::from_secs(4);
/// A gateway that still runs this long after [`STOP_GRACE`] breaks a promise.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// Delay before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for which the store is away before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(700);
/// Time after which the operator and the servers write again what the store has lost.
const REWRITE_TIME: Duration = Duration::from_millis(500);
/// Kinds of the objects that they write.
const WRITTEN_AGAIN: [&str; 3] = [CONFIG_OBJECT.0, SERVERS_KIND, WEIGHTS_KIND];
/// The store entry of a killed server is removed after this time: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_secs(3);
/// A server that announced its leaving still serves for this long.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);
/// How often gateways are asked whether they are ready.
const READY_PERIOD: Duration = Duration::from_millis(300);
/// Consecutive failed readiness checks after which a gateway gets no new requests.
const READY_MISSES: u32 = 2;
/// Time allowed for a probe request.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
/// Memory that a gateway may use; the smallest host of the users' large deployments sets it.
const MAX_GATEWAY_MEMORY_KB: u64 = 88 << 10;

/// Program, folder and size of a cluster.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Path of this program, which the gateways and the servers run, too.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Numbers of gateways and servers.
    pub shape: Shape,
}

/// Running gateways, servers, store, proxies and callers.
pub struct Cluster {
    setup: Setup,
    // Middle two bytes of the loopback addresses, so that runs at the same time rarely collide.
    base: [u8; 2],
    store: Store,
    store_links: Vec<Proxy>,
    server_links: Vec<Proxy>,
    gateways: Vec<tokio::sync::Mutex<Option<Child>>>,
    servers: Vec<tokio::sync::Mutex<Option<Running>>>,
    /// Receives what callers and servers see.
    pub checker: Arc<Mutex<Checker>>,
    /// The callers.
    pub callers: Arc<Callers>,
    next_incarnation: AtomicUsize,
    weights_version: AtomicU64,
    config_version: AtomicU64,
}

/// A running backend server with the entry that it has in the store.
struct Running {
    child: Child,
    name: String,
    entry: Arc<Mutex<Entry>>,
}

impl Cluster {
    /// Starts the store, the proxies and all processes, and then watches the readiness of the gateways.
    ///
    /// # Errors
    /// Fails when a process cannot be started or an address is in use.
    pub async fn start(setup: Setup, started: Instant) -> io::Result<Arc<Self>> {
        let process = std::process::id().to_le_bytes();
        let base = [64 + process[0] / 2, process[1] ^ process[0]];
        let address_of = |number: usize, port| address(base, number, port);
        let store = Store::start(address_of(1, STORE_PORT)).await;
        let (mut store_links, mut server_links) = (Vec::new(), Vec::new());
        for gateway in 0..setup.shape.gateways {
            store_links
                .push(Proxy::start(address_of(2 + gateway, STORE_PORT), store.address).await?);
        }
        for server in 0..setup.shape.servers {
            let target = address_of(100 + server, SERVER_PORT);
            server_links.push(Proxy::start(address_of(150 + server, SERVER_PORT), target).await?);
        }
        let checker = Arc::new(Mutex::new(Checker::default()));
        let callers = Arc::new(Callers::new(Arc::clone(&checker), started, "key-1"));
        let empty_slots =
            |count: usize| (0..count).map(|_| tokio::sync::Mutex::new(None)).collect();
        let cluster = Arc::new(Self {
            base,
            store,
            store_links,
            server_links,
            gateways: empty_slots(setup.shape.gateways),
            servers: (0..setup.shape.servers)
                .map(|_| tokio::sync::Mutex::new(None))
                .collect(),
            setup,
            checker,
            callers,
            next_incarnation: AtomicUsize::new(0),
            weights_version: AtomicU64::new(1),
            config_version: AtomicU64::new(1),
        });
        cluster.write_config("key-1");
        cluster.publish_weights();
        for index in 0..cluster.servers.len() {
            let running = cluster.start_server(index)?;
            *cluster.servers[index].lock().await = Some(running);
        }
        for index in 0..cluster.gateways.len() {
            let child = cluster.start_gateway(index)?;
            *cluster.gateways[index].lock().await = Some(child);
        }
        tokio::spawn(Arc::clone(&cluster).watch_readiness());
        Ok(cluster)
    }

    /// Kills all processes that were started.
    pub async fn stop(&self) {
        for gateway in &self.gateways {
            kill(gateway.lock().await.take()).await;
        }
        for server in &self.servers {
            kill(server.lock().await.take().map(|running| running.child)).await;
        }
    }

    /// Applies one fault and returns when it is over.
    ///
    /// # Errors
    /// Fails when a process cannot be started again.
    pub async fn apply(self: &Arc<Self>, fault: Fault, duration: Duration) -> io::Result<()> {
        match fault {
            Fault::Stop(index) => return self.stop_gateway(index).await,
            Fault::KillGateway(index) => {
                let mut slot = self.gateways[index].lock().await;
                let _disturbance = Disturbance::new(self, index);
                kill(slot.take()).await;
                sleep(RESTART_DELAY).await;
                *slot = Some(self.start_gateway(index)?);
            }
            Fault::PauseGateway(index) => {
                let slot = self.gateways[index].lock().await;
                let _disturbance = Disturbance::new(self, index);
                pause_process(slot.as_ref(), duration).await;
            }
            Fault::KillServer(index) => {
                let mut slot = self.servers[index].lock().await;
                if let Some(running) = slot.take() {
                    self.remove_entry_later(running.name.clone());
                    kill(Some(running.child)).await;
                }
                sleep(RESTART_DELAY).await;
                *slot = Some(self.start_server(index)?);
            }
            Fault::PauseServer(index) => {
                let slot = self.servers[index].lock().await;
                pause_process(slot.as_ref().map(|running| &running.child), duration).await;
            }
            Fault::Babble(index) => self.signal_server(index, Signal::USR1).await,
            Fault::Limit(index) => self.signal_server(index, Signal::USR2).await,
            Fault::Refuse => {
                let signals = (0..self.servers.len()).map(|index| {
                    let cluster = Arc::clone(self);
                    tokio::spawn(async move { cluster.signal_server(index, Signal::HUP).await })
                });
                for signal in signals.collect::<Vec<_>>() {
                    signal.await.map_err(io::Error::other)?;
                }
            }
            Fault::Leave(index) => {
                let mut slot = self.servers[index].lock().await;
                if let Some(running) = slot.take() {
                    running.entry.lock().expect("not poisoned").leaving = true;
                    self.write_entry(&running.name, &running.entry);
                    sleep(LEAVE_TIME).await;
                    self.store.remove(SERVERS_KIND, &running.name);
                    kill(Some(running.child)).await;
                }
                *slot = Some(self.start_server(index)?);
            }
            Fault::ServerLink(index, mode) => {
                disturb_link(&self.server_links[index], mode, duration).await;
            }
            Fault::StoreLink(index, mode) => {
                disturb_link(&self.store_links[index], mode, duration).await;
            }
            Fault::StoreDown => {
                self.store.set_down(true);
                sleep(duration).await;
                self.store.set_down(false);
            }
            Fault::StoreLosesAnswers => {
                self.store.set_answers_lost(true);
                sleep(duration).await;
                self.store.set_answers_lost(false);
            }
            Fault::StoreForgets => {
                self.store.set_watches_silent(true);
                sleep(Duration::from_secs(1)).await;
                self.store.discard_history();
                self.store.set_watches_silent(false);
                self.store.cut_watches();
            }
            Fault::Restore => {
                let copy = self.store.copy();
                sleep(duration).await;
                self.store.set_down(true);
                sleep(RESTORE_TIME).await;
                let lost = self.store.copy();
                self.store.restore(&copy);
                self.store.set_down(false);
                sleep(REWRITE_TIME).await;
                self.store.write_again(&WRITTEN_AGAIN, &lost, &copy);
            }
            Fault::Weights => self.publish_weights(),
            Fault::Keys => {
                let key = format!("key-{}", self.config_version.load(Ordering::SeqCst) + 1);
                // Both keys are valid for a second. Then callers switch to the new key, and the old one is removed.
                let former = self.callers.key.lock().expect("not poisoned").clone();
                self.write_config(&format!("{former}\",\"{key}"));
                sleep(Duration::from_secs(1)).await;
                self.callers
                    .key
                    .lock()
                    .expect("not poisoned")
                    .clone_from(&key);
                self.write_config(&key);
            }
        }
        Ok(())
    }

    /// Checks what must hold when no fault has been active for a while.
    pub async fn check_recovery(&self) {
        let key = self.callers.key.lock().expect("not poisoned").clone();
        let version = self.weights_version.load(Ordering::SeqCst);
        for index in 0..self.gateways.len() {
            if self.readiness(index).await != Some(200) {
                self.record_breach("gateways are ready again", format!("gateway {index}"));
            }
            for (key, wanted) in [(key.as_str(), 200), ("key-0", 401)] {
                let status = self.probe(index, key).await;
                if status != Some(wanted) {
                    let seen = format!("gateway {index}: {status:?} for {key}, {wanted} expected");
                    self.record_breach("the newest keys are in force again", seen);
                }
            }
            let slot = self.gateways[index].lock().await;
            let memory = slot.as_ref().and_then(Child::id).and_then(memory_kb);
            if memory.is_none_or(|memory| memory > MAX_GATEWAY_MEMORY_KB) {
                self.record_breach(
                    "memory stays bounded",
                    format!("gateway {index}: {memory:?} KB"),
                );
            }
        }
        for slot in &self.servers {
            let slot = slot.lock().await;
            let Some(running) = slot.as_ref() else {
                continue;
            };
            let entry = running.entry.lock().expect("not poisoned").clone();
            if entry.service == "lm" && entry.version < version {
                let seen = format!(
                    "{} serves {} instead of {version}",
                    running.name, entry.version
                );
                self.record_breach("engines get the newest weights", seen);
            }
        }
    }

    fn record_breach(&self, promise: &'static str, seen: String) {
        self.checker
            .lock()
            .expect("not poisoned")
            .record_breach(promise, seen);
    }

    /// Sends a signal to a server, if it runs.
    async fn signal_server(&self, index: usize, signal: Signal) {
        let slot = self.servers[index].lock().await;
        if let Some(running) = slot.as_ref() {
            // A process that has just started does not handle the signal yet and would be ended by it.
            sleep(SIGNAL_HANDLER_DELAY).await;
            send_signal(&running.child, signal);
        }
    }

    async fn stop_gateway(&self, index: usize) -> io::Result<()> {
        let mut slot = self.gateways[index].lock().await;
        let _disturbance = Disturbance::new(self, index);
        if let Some(mut child) = slot.take() {
            send_signal(&child, Signal::TERM);
            if timeout(STOP_GRACE + STOP_MARGIN, child.wait())
                .await
                .is_err()
            {
                self.record_breach("a stop ends in time", format!("gateway {index}"));
            }
            kill(Some(child)).await;
        }
        sleep(RESTART_DELAY).await;
        *slot = Some(self.start_gateway(index)?);
        Ok(())
    }

    fn start_gateway(&self, index: usize) -> io::Result<Child> {
        let host = self.gateway_address(index, FRONT_PORT);
        let seeds: Vec<String> = (0..self.gateways.len())
            .map(|other| format!("\"{}\"", self.gateway_address(other, PEER_PORT)))
            .collect();
        let text = format!(
            "host = \"gateway-{index}\"\ndata_centre = \"a\"\npeer_port = {PEER_PORT}\n\
             seeds = [{}]\n[listen]\nfront = \"{host}\"\nready = \"{}\"\n\
             [store]\naddress = \"{}\"\n[bounds]\ngrace_s = {}\nweights_ms = 6000.0\n",
            seeds.join(","),
            self.gateway_address(index, READY_PORT),
            address(self.base, 2 + index, STORE_PORT),
            STOP_GRACE.as_secs_f64(),
        );
        let path = self.setup.folder.join(format!("gateway-{index}.toml"));
        std::fs::write(&path, text)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.setup.folder.join(format!("gateway-{index}.log")))?;
        Command::new(&self.setup.program)
            .arg("gateway")
            .arg(&path)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
    }

    fn start_server(self: &Arc<Self>, index: usize) -> io::Result<Running> {
        let number = self.next_incarnation.fetch_add(1, Ordering::SeqCst);
        let name = format!("i-{number}");
        // Every other server is an engine; a new engine has the newest weights.
        let service = if index.is_multiple_of(2) {
            "lm"
        } else {
            "plain"
        };
        let version = self.weights_version.load(Ordering::SeqCst);
        let mut child = Command::new(&self.setup.program)
            .args(["server", "--name", &name, "--service", service])
            .args(["--version", &version.to_string()])
            .arg(address(self.base, 100 + index, SERVER_PORT).to_string())
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the server process has no standard output"))?;
        let entry = Arc::new(Mutex::new(Entry {
            service,
            address: address(self.base, 150 + index, SERVER_PORT),
            born: time_since_epoch().as_millis(),
            leaving: false,
            version,
        }));
        tokio::spawn(Arc::clone(self).read_server_output(name.clone(), Arc::clone(&entry), output));
        Ok(Running { child, name, entry })
    }

    /// Reads the output lines of a server until it ends, and writes its store entry for it.
    async fn read_server_output(
        self: Arc<Self>,
        name: String,
        entry: Arc<Mutex<Entry>>,
        output: ChildStdout,
    ) {
        let mut lines = BufReader::new(output).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let line = match serde_json::from_str(&line) {
                Ok(line) => line,
                Err(error) => {
                    self.record_breach("servers speak", format!("{name}: {line}: {error}"));
                    return;
                }
            };
            match line {
                Line::Ready => self.write_entry(&name, &entry),
                Line::Ran {
                    id,
                    line,
                    body,
                    team,
                    key,
                    after,
                } => {
                    let ran = Ran {
                        line,
                        body,
                        team,
                        key,
                        after,
                    };
                    let at = self.callers.started.elapsed();
                    let mut checker = self.checker.lock().expect("not poisoned");
                    checker.record_arrival(&id, at);
                    checker.record_run(&id, ran);
                }
                Line::Refused { id } => {
                    let at = self.callers.started.elapsed();
                    self.checker
                        .lock()
                        .expect("not poisoned")
                        .record_arrival(&id, at);
                }
                Line::Ordered { holder, fence } => {
                    self.checker
                        .lock()
                        .expect("not poisoned")
                        .record_order(&holder, fence);
                }
                Line::Limited {
                    limit,
                    per_second,
                    after_ms,
                    id,
                } => {
                    let call = LimitedCall {
                        per_second,
                        after: Duration::from_millis(after_ms),
                        received_at: self.callers.started.elapsed(),
                        id,
                    };
                    self.checker
                        .lock()
                        .expect("not poisoned")
                        .record_limited_call(&name, limit, call);
                }
                Line::Version(version) => {
                    entry.lock().expect("not poisoned").version = version;
                    self.write_entry(&name, &entry);
                }
            }
        }
    }

    fn write_entry(&self, name: &str, entry: &Mutex<Entry>) {
        let text = entry.lock().expect("not poisoned").text();
        self.store.put(SERVERS_KIND, name, &text);
    }

    fn remove_entry_later(self: &Arc<Self>, name: String) {
        let cluster = Arc::clone(self);
        tokio::spawn(async move {
            sleep(ENTRY_LIFETIME).await;
            cluster.store.remove(SERVERS_KIND, &name);
        });
    }

    fn write_config(&self, keys: &str) {
        let version = self.config_version.fetch_add(1, Ordering::SeqCst) + 1;
        let text = objects::config(version, &format!("\"{keys}\""));
        self.store.put(CONFIG_OBJECT.0, CONFIG_OBJECT.1, &text);
    }

    fn publish_weights(&self) {
        let version = self.weights_version.fetch_add(1, Ordering::SeqCst) + 1;
        self.store
            .put(WEIGHTS_KIND, MODEL, &objects::weights(version));
    }

    /// Keeps the list of gateways that get new requests up to date, as the platform does.
    async fn watch_readiness(self: Arc<Self>) {
        let mut misses = vec![READY_MISSES; self.gateways.len()];
        loop {
            for (index, misses) in misses.iter_mut().enumerate() {
                let is_ready = self.readiness(index).await == Some(200);
                *misses = if is_ready { 0 } else { *misses + 1 };
            }
            let ready = (0..misses.len()).filter(|index| misses[*index] < READY_MISSES);
            let ready = ready
                .map(|index| self.gateway_address(index, FRONT_PORT))
                .collect();
            *self.callers.ready_gateways.lock().expect("not poisoned") = ready;
            sleep(READY_PERIOD).await;
        }
    }

    async fn readiness(&self, index: usize) -> Option<u16> {
        let address = self.gateway_address(index, READY_PORT);
        request_status(address, call::READINESS_REQUEST, READY_PERIOD).await
    }

    async fn probe(&self, index: usize, key: &str) -> Option<u16> {
        let id = format!("probe-{index}-{key}");
        let call = Call {
            id: &id,
            kind: Kind::Read,
            line: "GET /read/probe",
            body: "",
            key,
            timeout: PROBE_TIMEOUT,
        };
        let sent = crate::check::Sent {
            kind: call.kind,
            sent_at: Duration::MAX,
            line: call.line.to_owned(),
            body: String::new(),
            team: call::TEAM,
            gateway: self.gateway_address(index, FRONT_PORT),
        };
        self.checker
            .lock()
            .expect("not poisoned")
            .record_sent(&id, sent);
        let text = call.text();
        let address = self.gateway_address(index, FRONT_PORT);
        request_status(address, &text, PROBE_TIMEOUT).await
    }

    fn gateway_address(&self, index: usize, port: u16) -> SocketAddr {
        address(self.base, 10 + index, port)
    }
}

/// Records on drop that a gateway was stopped, paused or killed since `since`; it may close connections then.
struct Disturbance<'a> {
    cluster: &'a Cluster,
    index: usize,
    since: Duration,
}

impl<'a> Disturbance<'a> {
    fn new(cluster: &'a Cluster, index: usize) -> Self {
        let since = cluster.callers.started.elapsed();
        Self {
            cluster,
            index,
            since,
        }
    }
}

impl Drop for Disturbance<'_> {
    fn drop(&mut self) {
        let gateway = self.cluster.gateway_address(self.index, FRONT_PORT);
        let until = self.cluster.callers.started.elapsed();
        let mut checker = self.cluster.checker.lock().expect("not poisoned");
        checker.record_disturbance(gateway, self.since, until);
    }
}

/// Sends a request on a new connection and returns the status of its answer; `None` without one within `time_limit`.
async fn request_status(address: SocketAddr, text: &str, time_limit: Duration) -> Option<u16> {
    let answer = timeout(time_limit, async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes())
            .await
            .ok()?;
        exchange::read(&mut stream).await
    });
    answer.await.ok().flatten().map(|answer| answer.status)
}

/// Returns a loopback address of this run. Numbers: 1 the store, from 2 the proxies of the gateways to the store, from
/// 10 the gateways, from 100 the servers, from 150 the proxies to the servers.
fn address(base: [u8; 2], number: usize, port: u16) -> SocketAddr {
    let number = u8::try_from(number).expect("few processes");
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, base[0], base[1], number)),
        port,
    )
}

/// Puts a proxy into a mode for a time.
async fn disturb_link(link: &Proxy, mode: Mode, duration: Duration) {
    link.set_mode(mode);
    sleep(duration).await;
    link.set_mode(Mode::Pass);
}

/// Stops a process for a time by signals.
async fn pause_process(child: Option<&Child>, duration: Duration) {
    let Some(child) = child else {
        return;
    };
    send_signal(child, Signal::STOP);
    sleep(duration).await;
    send_signal(child, Signal::CONT);
}

/// A server handles signals at the latest this long after its start.
const SIGNAL_HANDLER_DELAY: Duration = Duration::from_millis(500);

/// Sends a signal to a process that this program started; does nothing if it has ended, as it has no process id then.
fn send_signal(child: &Child, signal: Signal) {
    let id = child
        .id()
        .and_then(|id| i32::try_from(id).ok())
        .and_then(Pid::from_raw);
    if let Some(Err(error)) = id.map(|id| kill_process(id, signal)) {
        eprintln!("cannot signal a process: {error}");
    }
}

async fn kill(child: Option<Child>) {
    let Some(mut child) = child else {
        return;
    };
    if let Err(error) = child.kill().await {
        eprintln!("cannot end a process: {error}");
    }
}

/// Returns the resident memory of a process.
fn memory_kb(id: u32) -> Option<u64> {
    let text =
        std::fs::read_to_string(Path::new("/proc").join(id.to_string()).join("status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}

fn time_since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
