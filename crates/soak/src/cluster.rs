//! The running programs: gateways and servers as processes, the store, and the proxies between them.

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
    caller::Crowd,
    check::{Judge, Ran},
    plan::{Fault, Mode, Shape},
    proxy::Proxy,
};

const FRONT_PORT: u16 = 8_700;
const READY_PORT: u16 = 8_701;
const PEER_PORT: u16 = 8_702;
const STORE_PORT: u16 = 9_200;
const SERVER_PORT: u16 = 9_100;
/// Time that a gateway has for a planned stop.
const GRACE: Duration = Duration::from_secs(4);
/// A gateway that still runs this long after its grace breaks a promise.
const GRACE_MARGIN: Duration = Duration::from_secs(1);
/// Pause before a process that ended is started again.
const RESTART: Duration = Duration::from_millis(300);
/// The entry of a killed server lapses after this time: three heartbeats.
const LAPSE: Duration = Duration::from_secs(3);
/// A server that announced its leaving serves for this long.
const LEAVES: Duration = Duration::from_millis(2_500);
/// How often gateways are asked whether they are ready.
const READY_PERIOD: Duration = Duration::from_millis(300);
/// Questions without a good answer before a gateway gets no new connections.
const READY_MISSES: u32 = 2;
/// Time allowed for a probe.
const PROBE: Duration = Duration::from_secs(3);
/// Memory that a gateway may use, of the smallest host in the users' large deployments.
const GATEWAY_MEMORY_KB: u64 = 88 << 10;

/// How a soak is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This program, which serves as a gateway and as a server, too.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// What there is.
    pub shape: Shape,
}

/// The running programs.
pub struct Cluster {
    setup: Setup,
    base: [u8; 2],
    store: Store,
    store_links: Vec<Proxy>,
    server_links: Vec<Proxy>,
    gateways: Vec<tokio::sync::Mutex<Option<Child>>>,
    servers: Vec<tokio::sync::Mutex<Option<Running>>>,
    /// What was seen.
    pub judge: Arc<Mutex<Judge>>,
    /// The callers.
    pub crowd: Arc<Crowd>,
    incarnations: AtomicUsize,
    version: AtomicU64,
    config: AtomicU64,
}

struct Running {
    child: Child,
    name: String,
    entry: Arc<Mutex<Entry>>,
}

impl Cluster {
    /// Starts everything.
    ///
    /// # Errors
    /// Fails when a process cannot be started or an address is in use.
    pub async fn start(setup: Setup, started: Instant) -> io::Result<Arc<Self>> {
        let process = std::process::id().to_le_bytes();
        let base = [64 + process[0] / 2, process[1] ^ process[0]];
        let at = |number: usize, port| address(base, number, port);
        let store = Store::start(at(1, STORE_PORT)).await;
        let (mut store_links, mut server_links) = (Vec::new(), Vec::new());
        for gateway in 0..setup.shape.gateways {
            store_links.push(Proxy::start(at(2 + gateway, STORE_PORT), store.address).await?);
        }
        for server in 0..setup.shape.servers {
            let target = at(100 + server, SERVER_PORT);
            server_links.push(Proxy::start(at(150 + server, SERVER_PORT), target).await?);
        }
        let judge = Arc::new(Mutex::new(Judge::default()));
        let crowd = Arc::new(Crowd::new(Arc::clone(&judge), started, "key-1"));
        let nothing = |count: usize| (0..count).map(|_| tokio::sync::Mutex::new(None)).collect();
        let cluster = Arc::new(Self {
            base,
            store,
            store_links,
            server_links,
            gateways: nothing(setup.shape.gateways),
            servers: (0..setup.shape.servers)
                .map(|_| tokio::sync::Mutex::new(None))
                .collect(),
            setup,
            judge,
            crowd,
            incarnations: AtomicUsize::new(0),
            version: AtomicU64::new(1),
            config: AtomicU64::new(1),
        });
        cluster.write_config("key-1");
        cluster.name_weights();
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

    /// Ends all processes that were started.
    pub async fn stop(&self) {
        for gateway in &self.gateways {
            end(gateway.lock().await.take()).await;
        }
        for server in &self.servers {
            end(server.lock().await.take().map(|running| running.child)).await;
        }
    }

    /// Plays one fault to its end.
    ///
    /// # Errors
    /// Fails when a process cannot be started again.
    pub async fn play(self: &Arc<Self>, fault: Fault, lasts: Duration) -> io::Result<()> {
        match fault {
            Fault::Stop(index) => return self.stop_gateway(index).await,
            Fault::KillGateway(index) => {
                let mut slot = self.gateways[index].lock().await;
                let _hurt = Hurt::new(self, index);
                end(slot.take()).await;
                sleep(RESTART).await;
                *slot = Some(self.start_gateway(index)?);
            }
            Fault::PauseGateway(index) => {
                let slot = self.gateways[index].lock().await;
                let _hurt = Hurt::new(self, index);
                pause(slot.as_ref(), lasts).await;
            }
            Fault::KillServer(index) => {
                let mut slot = self.servers[index].lock().await;
                if let Some(running) = slot.take() {
                    self.lapse_later(running.name.clone());
                    end(Some(running.child)).await;
                }
                sleep(RESTART).await;
                *slot = Some(self.start_server(index)?);
            }
            Fault::PauseServer(index) => {
                let slot = self.servers[index].lock().await;
                pause(slot.as_ref().map(|running| &running.child), lasts).await;
            }
            Fault::Babble(index) => {
                let slot = self.servers[index].lock().await;
                if let Some(running) = slot.as_ref() {
                    // A process that has just started does not handle the signal yet and would end by it.
                    sleep(HANDLES_SIGNALS).await;
                    signal(&running.child, Signal::USR1);
                }
            }
            Fault::Leave(index) => {
                let mut slot = self.servers[index].lock().await;
                if let Some(running) = slot.take() {
                    running.entry.lock().expect("not poisoned").leaving = true;
                    self.write_entry(&running.name, &running.entry);
                    sleep(LEAVES).await;
                    self.store.remove(SERVERS_KIND, &running.name);
                    end(Some(running.child)).await;
                }
                *slot = Some(self.start_server(index)?);
            }
            Fault::ServerLink(index, mode) => hurt(&self.server_links[index], mode, lasts).await,
            Fault::StoreLink(index, mode) => hurt(&self.store_links[index], mode, lasts).await,
            Fault::StoreDown => {
                self.store.set_down(true);
                sleep(lasts).await;
                self.store.set_down(false);
            }
            Fault::StoreLosesAnswers => {
                self.store.set_answers_lost(true);
                sleep(lasts).await;
                self.store.set_answers_lost(false);
            }
            Fault::StoreForgets => {
                self.store.set_watches_silent(true);
                sleep(Duration::from_secs(1)).await;
                self.store.discard_history();
                self.store.set_watches_silent(false);
                self.store.cut_watches();
            }
            Fault::Weights => self.name_weights(),
            Fault::Keys => {
                let key = format!("key-{}", self.config.load(Ordering::SeqCst) + 1);
                // Callers get the new key a second before the old one goes.
                let former = self.crowd.key.lock().expect("not poisoned").clone();
                self.write_config(&format!("{former}\",\"{key}"));
                sleep(Duration::from_secs(1)).await;
                self.crowd
                    .key
                    .lock()
                    .expect("not poisoned")
                    .clone_from(&key);
                self.write_config(&key);
            }
        }
        Ok(())
    }

    /// Checks what must hold when nothing has been hurt for a while.
    pub async fn check_calm(&self) {
        let key = self.crowd.key.lock().expect("not poisoned").clone();
        let version = self.version.load(Ordering::SeqCst);
        for index in 0..self.gateways.len() {
            if self.readiness(index).await != Some(200) {
                self.breach("gateways are ready again", format!("gateway {index}"));
            }
            for (key, wanted) in [(key.as_str(), 200), ("key-0", 401)] {
                let status = self.probe(index, key).await;
                if status != Some(wanted) {
                    let seen = format!("gateway {index}: {status:?} for {key}, {wanted} expected");
                    self.breach("the newest keys are in force again", seen);
                }
            }
            let slot = self.gateways[index].lock().await;
            let memory = slot.as_ref().and_then(Child::id).and_then(memory_kb);
            if memory.is_none_or(|memory| memory > GATEWAY_MEMORY_KB) {
                self.breach(
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
                self.breach("engines get the newest weights", seen);
            }
        }
    }

    fn breach(&self, promise: &'static str, seen: String) {
        self.judge
            .lock()
            .expect("not poisoned")
            .breach(promise, seen);
    }

    async fn stop_gateway(&self, index: usize) -> io::Result<()> {
        let mut slot = self.gateways[index].lock().await;
        let _hurt = Hurt::new(self, index);
        if let Some(mut child) = slot.take() {
            signal(&child, Signal::TERM);
            if timeout(GRACE + GRACE_MARGIN, child.wait()).await.is_err() {
                self.breach("a stop ends in time", format!("gateway {index}"));
            }
            end(Some(child)).await;
        }
        sleep(RESTART).await;
        *slot = Some(self.start_gateway(index)?);
        Ok(())
    }

    fn start_gateway(&self, index: usize) -> io::Result<Child> {
        let host = self.gateway(index, FRONT_PORT);
        let seeds: Vec<String> = (0..self.gateways.len())
            .map(|other| format!("\"{}\"", self.gateway(other, PEER_PORT)))
            .collect();
        let text = format!(
            "host = \"gateway-{index}\"\ndata_centre = \"a\"\npeer_port = {PEER_PORT}\n\
             seeds = [{}]\n[listen]\nfront = \"{host}\"\nready = \"{}\"\n\
             [store]\naddress = \"{}\"\n[bounds]\ngrace_s = {}\nweights_ms = 6000.0\n",
            seeds.join(","),
            self.gateway(index, READY_PORT),
            address(self.base, 2 + index, STORE_PORT),
            GRACE.as_secs_f64(),
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
        let number = self.incarnations.fetch_add(1, Ordering::SeqCst);
        let name = format!("i-{number}");
        // Every other server is an engine; a new engine has the newest weights.
        let service = if index.is_multiple_of(2) {
            "lm"
        } else {
            "plain"
        };
        let version = self.version.load(Ordering::SeqCst);
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
            .ok_or_else(|| io::Error::other("no output"))?;
        let entry = Arc::new(Mutex::new(Entry {
            service,
            address: address(self.base, 150 + index, SERVER_PORT),
            born: since_epoch().as_millis(),
            leaving: false,
            version,
        }));
        tokio::spawn(Arc::clone(self).listen(name.clone(), Arc::clone(&entry), output));
        Ok(Running { child, name, entry })
    }

    /// Takes in what a server says until it ends, and writes its entry as it would itself.
    async fn listen(self: Arc<Self>, name: String, entry: Arc<Mutex<Entry>>, output: ChildStdout) {
        let mut lines = BufReader::new(output).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let line = match serde_json::from_str(&line) {
                Ok(line) => line,
                Err(error) => {
                    self.breach("servers speak", format!("{name}: {line}: {error}"));
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
                    self.judge.lock().expect("not poisoned").ran(&id, ran);
                }
                Line::Ordered { holder, fence } => {
                    self.judge
                        .lock()
                        .expect("not poisoned")
                        .ordered(&holder, fence);
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

    fn lapse_later(self: &Arc<Self>, name: String) {
        let cluster = Arc::clone(self);
        tokio::spawn(async move {
            sleep(LAPSE).await;
            cluster.store.remove(SERVERS_KIND, &name);
        });
    }

    fn write_config(&self, keys: &str) {
        let version = self.config.fetch_add(1, Ordering::SeqCst) + 1;
        let text = objects::config(version, &format!("\"{keys}\""));
        self.store.put(CONFIG_OBJECT.0, CONFIG_OBJECT.1, &text);
    }

    fn name_weights(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        self.store
            .put(WEIGHTS_KIND, MODEL, &objects::weights(version));
    }

    /// Keeps the list of gateways that take new connections, as the platform does.
    async fn watch_readiness(self: Arc<Self>) {
        let mut misses = vec![READY_MISSES; self.gateways.len()];
        loop {
            for (index, misses) in misses.iter_mut().enumerate() {
                let ready = self.readiness(index).await == Some(200);
                *misses = if ready { 0 } else { *misses + 1 };
            }
            let open = (0..misses.len()).filter(|index| misses[*index] < READY_MISSES);
            let open = open.map(|index| self.gateway(index, FRONT_PORT)).collect();
            *self.crowd.open.lock().expect("not poisoned") = open;
            sleep(READY_PERIOD).await;
        }
    }

    async fn readiness(&self, index: usize) -> Option<u16> {
        let address = self.gateway(index, READY_PORT);
        status(address, call::READINESS_REQUEST, READY_PERIOD).await
    }

    async fn probe(&self, index: usize, key: &str) -> Option<u16> {
        let id = format!("probe-{index}-{key}");
        let call = Call {
            id: &id,
            kind: Kind::Read,
            line: "GET /read/probe",
            body: "",
            key,
            timeout: PROBE,
        };
        let sent = crate::check::Sent {
            kind: call.kind,
            at: Duration::MAX,
            line: call.line.to_owned(),
            body: String::new(),
            team: call::TEAM,
            gateway: self.gateway(index, FRONT_PORT),
        };
        self.judge.lock().expect("not poisoned").sent(&id, sent);
        let text = call.text();
        let address = self.gateway(index, FRONT_PORT);
        status(address, &text, PROBE).await
    }

    fn gateway(&self, index: usize, port: u16) -> SocketAddr {
        address(self.base, 10 + index, port)
    }
}

/// Notes when a gateway was stopped, paused or killed; it then may close connections.
struct Hurt<'a> {
    cluster: &'a Cluster,
    index: usize,
    since: Duration,
}

impl<'a> Hurt<'a> {
    fn new(cluster: &'a Cluster, index: usize) -> Self {
        let since = cluster.crowd.started.elapsed();
        Self {
            cluster,
            index,
            since,
        }
    }
}

impl Drop for Hurt<'_> {
    fn drop(&mut self) {
        let gateway = self.cluster.gateway(self.index, FRONT_PORT);
        let until = self.cluster.crowd.started.elapsed();
        let mut judge = self.cluster.judge.lock().expect("not poisoned");
        judge.hurt(gateway, self.since, until);
    }
}

async fn status(address: SocketAddr, text: &str, within: Duration) -> Option<u16> {
    let asked = timeout(within, async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes())
            .await
            .ok()?;
        exchange::read(&mut stream).await
    });
    asked.await.ok().flatten().map(|answer| answer.status)
}

/// A loopback address of this run.
fn address(base: [u8; 2], number: usize, port: u16) -> SocketAddr {
    let number = u8::try_from(number).expect("few processes");
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, base[0], base[1], number)),
        port,
    )
}

async fn hurt(link: &Proxy, mode: Mode, lasts: Duration) {
    link.set(mode);
    sleep(lasts).await;
    link.set(Mode::Pass);
}

async fn pause(child: Option<&Child>, lasts: Duration) {
    let Some(child) = child else {
        return;
    };
    signal(child, Signal::STOP);
    sleep(lasts).await;
    signal(child, Signal::CONT);
}

/// A server handles signals this long after its start.
const HANDLES_SIGNALS: Duration = Duration::from_millis(500);

/// Signals a process that this program started; one that has ended has no identity any more.
fn signal(child: &Child, signal: Signal) {
    let id = child
        .id()
        .and_then(|id| i32::try_from(id).ok())
        .and_then(Pid::from_raw);
    if let Some(Err(error)) = id.map(|id| kill_process(id, signal)) {
        eprintln!("cannot signal a process: {error}");
    }
}

async fn end(child: Option<Child>) {
    let Some(mut child) = child else {
        return;
    };
    if let Err(error) = child.kill().await {
        eprintln!("cannot end a process: {error}");
    }
}

/// Memory that a process uses.
fn memory_kb(id: u32) -> Option<u64> {
    let text =
        std::fs::read_to_string(Path::new("/proc").join(id.to_string()).join("status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
