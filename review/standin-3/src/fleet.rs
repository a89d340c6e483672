//! Gateways as separate processes, the record of a run, and the entries of servers.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, store::Store};

pub const KEY: &str = "ctnfzs989anu6wsjnban";
pub const TENANT: &str = "sese880";
pub const OTHER_KEY: &str = "fqasnmgkcuyj8pjbvk9m";
pub const OTHER_TENANT: &str = "nuka114";
const GATEWAY: &str = "target/release/jaystand-gateway";

/// The record of a run: one line for each fact, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:>6} ms  {}", self.ms(), text.as_ref());
    }
}

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Returns a request id, of which no two are alike.
pub fn request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Returns a loopback address on which the ports of a gateway are free. The number tells the machine.
pub fn free_address(machine: u8) -> IpAddr {
    let process = std::process::id().to_le_bytes();
    for attempt in 0..200_u8 {
        let address = Ipv4Addr::new(127, 101 + attempt % 100, process[0] ^ attempt, machine);
        let is_free = |port: u16| TcpListener::bind((address, port)).is_ok();
        if [FRONT, READY, PEER, METRICS].into_iter().all(is_free) {
            return address.into();
        }
    }
    panic!("no free loopback address");
}

const FRONT: u16 = 8_782;
const READY: u16 = 8_789;
const PEER: u16 = 7_340;
const METRICS: u16 = 9_464;

/// A gateway process, which is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Starts the gateways of a fleet with the settings of the deploy file, and waits until all are ready.
    pub fn start_fleet(
        record: &Record,
        store: &Store,
        zones: &[&str],
        weights_ms: u32,
    ) -> io::Result<Vec<Self>> {
        let addresses: Vec<IpAddr> = (1..).take(zones.len()).map(free_address).collect();
        let seeds: Vec<String> = addresses
            .iter()
            .take(3)
            .map(|a| format!("\"{a}:8783\""))
            .collect();
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Vec::new();
        for (index, (zone, address)) in zones.iter().zip(&addresses).enumerate() {
            let name = format!("front-{zone}-{}", index + 1);
            let settings = folder.join(format!("{name}.toml"));
            fs::write(
                &settings,
                format!(
                    "host = \"{name}\"\ndata_centre = \"{zone}\"\npeer_port = {PEER}\nbootstrap = true\n\
                     seeds = [{}]\n\n[listen]\nfront = \"{address}:{FRONT}\"\nready = \"{address}:{READY}\"\n\
                     metrics = \"{address}:{METRICS}\"\n\n[limits]\nmemory_mb = 110\ndescriptors = 4100\n\
                     link_mbps = 1000.0\n\n[store]\naddress = \"{}\"\n\n[bounds]\ngrace_s = 8\nlease_ms = 3000\n\
                     weights_ms = {weights_ms}\nretry_ratio = 0.2\nretry_slack = 52\nretry_window_s = 10\n\
                     strict_revoke = false\nrevoke_ms = 5000\n\n[placement]\neven_load_hosts = 24\n",
                    seeds.join(","),
                    store.address
                ),
            )?;
            let mut gateway = Self {
                name,
                front: SocketAddr::new(*address, FRONT),
                ready: SocketAddr::new(*address, READY),
                settings,
                child: None,
            };
            gateway.spawn(record)?;
            fleet.push(gateway);
        }
        let until = Instant::now() + Duration::from_secs(10);
        while !fleet.iter().all(Self::is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("a gateway does not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("all gateways are ready");
        Ok(fleet)
    }

    /// Starts the process again, whose settings no longer tell that the whole system starts for the first time.
    pub fn respawn(&mut self, record: &Record) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(
            &self.settings,
            text.replace("bootstrap = true", "bootstrap = false"),
        )?;
        self.spawn(record)
    }

    /// Starts the process.
    fn spawn(&mut self, record: &Record) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(GATEWAY)
            .env("JAYSTAND_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.line(format!("{} is killed", self.name));
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        http::exchange(self.ready, request, Duration::from_secs(1)).status == 200
    }

    /// Returns the largest resident memory of the process so far.
    pub fn peak_memory_kb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let keeps_logs = std::env::var("KEEP_LOGS").is_ok();
        if let Some(folder) = self.settings.parent().filter(|_| !keeps_logs) {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

/// What a server writes of itself into the store.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u128,
    /// Weights version of the model `m0`, for engines.
    pub version: Option<u64>,
}

impl Entry {
    pub fn write(&self, store: &Store, heartbeat: u64) {
        let models = self.version.map_or_else(String::new, |version| {
            format!("\"stage\":\"unified\",\"models\":[{{\"name\":\"m0\",\"version\":{version},\"adapters\":[]}}],")
        });
        let spec = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\
             \"coldLeftMs\":0,{models}\"born\":{},\"seq\":{heartbeat}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.put("servers", &self.name, &spec);
    }
}

/// Returns the head of a request of the first tenant.
pub fn head(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    more: &str,
) -> String {
    head_of(method, host, path, id, deadline_ms, more, KEY)
}

/// Returns the head of a request with a key.
pub fn head_of(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    more: &str,
    key: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {key}\r\n{more}\r\n"
    )
}

/// The operator's configuration: a route to a plain service for safe and one for unsafe requests, and one for streams to
/// engines. It has two tenants, of which the first one may be dedicated.
pub fn configuration(version: u32, dedicated: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"record-lookup\",\"host\":\"voka93.example\",\"pathPrefix\":\"/filo73/\",\"kind\":\"safe\",\
         \"timeoutMs\":15000,\"sloMs\":150,\"priority\":2,\"service\":\"libro\",\"maxAttempts\":2,\"public\":false,\
         \"sticky\":false,\"resumable\":false}},\
         {{\"name\":\"permit-filing\",\"host\":\"jepu9.example\",\"pathPrefix\":\"/fiti832/\",\"kind\":\"unsafe\",\
         \"timeoutMs\":15000,\"sloMs\":150,\"priority\":2,\"service\":\"libro\",\"maxAttempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}},\
         {{\"name\":\"permit-check\",\"host\":\"hulo84.example\",\"pathPrefix\":\"/xapu221/\",\"kind\":\"stream\",\
         \"timeoutMs\":2500,\"sloMs\":400,\"priority\":0,\"service\":\"oraculo\",\"maxAttempts\":2,\"public\":false,\
         \"sticky\":true,\"resumable\":true,\"gapAimMs\":400}}],\
         \"services\":[{{\"name\":\"oraculo\",\"healthPath\":\"/healthz\",\"maxConns\":200,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":24,\"kvCapacity\":206138,\"kvTokenBytes\":131072,\"linkMbps\":1100000.0,\
         \"moves\":true,\"backups\":true,\"stride\":9,\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"m0\"}}]}}}},\
         {{\"name\":\"libro\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"dedicated\":{dedicated}}},\
         {{\"name\":\"{OTHER_TENANT}\",\"apiKeys\":[\"{OTHER_KEY}\"],\"priority\":1,\"dedicated\":false}}]}}"
    )
}
