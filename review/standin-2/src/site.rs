//! A small deployment on loopback addresses: the store, servers and gateways.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::Engine,
    http::{Message, Wire, answer},
    record::Record,
    store::Store,
};

const STORE_PORT: u16 = 8_784;
const SERVER_PORT: u16 = 8_080;
const FRONT_PORT: u16 = 8_782;
const READY_PORT: u16 = 8_789;
const PEER_PORT: u16 = 7_340;
const METRICS_PORT: u16 = 9_464;
/// The zones of the six machines of `cairn-quito.toml`.
const ZONES: [&str; 6] = ["pichincha", "cotopaxi", "imbabura", "chimborazo", "pichincha", "cotopaxi"];

/// What a server does with a request. Returns false to close the connection.
pub type Behaviour = dyn Fn(&mut Wire, &Message) -> bool + Send + Sync;

/// The figures of `cairn-quito.toml`, of which a case may change some.
pub struct Figures {
    pub memory_mb: u32,
    pub grace_s: u32,
    /// Routes as JSON, separated by commas.
    pub routes: String,
    /// Teams as JSON, separated by commas.
    pub tenants: String,
    /// Names of the models of the service `oraculo`.
    pub models: &'static [&'static str],
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub folder: PathBuf,
    figures: Figures,
    prefix: [u8; 2],
    /// The gateways by number.
    pub gateways: Vec<Gateway>,
}

pub struct Gateway {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Site {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
        }
        if std::env::var_os("KEEP").is_none() { let _ = fs::remove_dir_all(&self.folder); }
    }
}

pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"sloMs\":600,\"priority\":1,\"service\":\"{service}\",\"public\":false{more}}}"
    )
}

pub fn tenant(name: &str, key: &str, dedicated: bool) -> String {
    format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"dedicated\":{dedicated}}}")
}

impl Site {
    pub fn start(record: &Record, figures: Figures) -> io::Result<Self> {
        // Free loopback addresses, so that the ports can be those of the pages' example.
        let process = std::process::id().to_le_bytes();
        let mut prefix = [64 + process[0] / 2, process[1] ^ process[0]];
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = loop {
            match Store::start(Self::address_in(prefix, 1, STORE_PORT)) {
                Ok(store) => break store,
                Err(_) if prefix[1] < 250 => prefix[1] += 1,
                Err(error) => return Err(error),
            }
        };
        let site = Self {
            record: record.clone(),
            store,
            folder,
            figures,
            prefix,
            gateways: Vec::new(),
        };
        site.configure(7, "", "");
        Ok(site)
    }

    /// Writes a version of the configuration with further routes and services, each after a comma.
    pub fn configure(&self, version: u64, routes: &str, services: &str) {
        let figures = &self.figures;
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}{routes}],\"services\":[\
             {{\"name\":\"oraculo\",\"healthPath\":\"/healthz\",\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":24,\"kvCapacity\":206138,\"kvTokenBytes\":131072,\"linkMbps\":1100000.0,\
             \"moves\":true,\"backups\":true,\"stride\":9,\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
             \"handle_s\":5.0,\"models\":[{}]}}}},\
             {{\"name\":\"libro\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}}{services}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
            figures.routes,
            figures.models.iter().map(|name| format!("{{\"name\":\"{name}\"}}")).collect::<Vec<_>>().join(","),
            figures.tenants
        );
        self.store.put("config", "main", &config);
    }

    fn address_in(prefix: [u8; 2], host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, prefix[0], prefix[1], host)), port)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        Self::address_in(self.prefix, host, port)
    }

    /// Registers a server that the case itself starts. Returns its address.
    pub fn register(&self, number: u8, service: &str) -> SocketAddr {
        let address = self.address(100 + number, SERVER_PORT);
        self.store.put("servers", &server_name(service, number), &entry(service, address, number, ""));
        address
    }

    /// Starts a server and registers it. Calls about the server itself are answered; the behaviour gets the others.
    pub fn server(
        &self,
        number: u8,
        service: &str,
        behaviour: impl Fn(&mut Wire, &Message) -> bool + Send + Sync + 'static,
    ) -> io::Result<()> {
        self.server_with(number, service, "", behaviour)
    }

    /// The same, with further fields in the entry, after a comma.
    pub fn server_with(
        &self,
        number: u8,
        service: &str,
        more: &str,
        behaviour: impl Fn(&mut Wire, &Message) -> bool + Send + Sync + 'static,
    ) -> io::Result<()> {
        self.server_without_entry(number, service, behaviour)?;
        let address = self.address(100 + number, SERVER_PORT);
        let name = server_name(service, number);
        self.store.put("servers", &name, &entry(service, address, number, more));
        Ok(())
    }

    fn server_without_entry(
        &self,
        number: u8,
        service: &str,
        behaviour: impl Fn(&mut Wire, &Message) -> bool + Send + Sync + 'static,
    ) -> io::Result<()> {
        let address = self.address(100 + number, SERVER_PORT);
        let listener = TcpListener::bind(address)?;
        let name = server_name(service, number);
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let own_name = name.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behaviour, name) = (Arc::clone(&behaviour), own_name.clone());
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(request)) = wire.read() {
                        if !request.complete || !serve(&mut wire, &request, &name, &behaviour) {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Starts an engine and registers it. It calls `began` when a request begins to run.
    pub fn engine(
        &self,
        number: u8,
        began: impl Fn(&Message, &[(String, u64)]) + Send + Sync + 'static,
    ) -> io::Result<()> {
        let address = self.address(100 + number, SERVER_PORT);
        let engine = Engine::new(self.record.clone(), self.store.clone(), number, address, self.figures.models);
        engine.register();
        self.server_without_entry(number, "oraculo", move |wire, request| engine.answer(wire, request, &began))
    }

    /// Starts gateways and waits until they are ready and know each other.
    pub fn start_gateways(&mut self, count: usize) -> io::Result<()> {
        let first = self.gateways.len();
        for _ in 0..count {
            self.start_gateway()?;
        }
        for number in first..first + count {
            self.await_ready(number)?;
        }
        thread::sleep(Duration::from_millis(2_500));
        self.record.line(format!("gateways {first} to {} are ready", first + count - 1));
        Ok(())
    }

    fn start_gateway(&mut self) -> io::Result<()> {
        let number = self.gateways.len();
        let host = 200 + u8::try_from(number).unwrap_or(0);
        let ip = self.address(host, 0).ip();
        let seeds: Vec<String> = (200..203).map(|host| format!("\"{}\"", self.address(host, 8_783))).collect();
        let (seeds, zone) = (seeds.join(","), ZONES[number % ZONES.len()]);
        let Figures { memory_mb, grace_s, .. } = self.figures;
        let store = self.address(1, STORE_PORT);
        let settings = format!(
            "host = \"front-{zone}-{number}\"\ndata_centre = \"{zone}\"\npeer_port = {PEER_PORT}\n\
             bootstrap = true\nseeds = [{seeds}]\n\n[listen]\nfront = \"{ip}:{FRONT_PORT}\"\n\
             ready = \"{ip}:{READY_PORT}\"\nmetrics = \"{ip}:{METRICS_PORT}\"\n\n[limits]\nmemory_mb = {memory_mb}\n\
             descriptors = 4100\nlink_mbps = 1000.0\n\n[store]\naddress = \"{store}\"\n\n[bounds]\n\
             grace_s = {grace_s}\nlease_ms = 3000\nweights_ms = 6000\nretry_ratio = 0.2\nretry_slack = 52\n\
             retry_window_s = 10\nstrict_revoke = false\nrevoke_ms = 5000\n\n[placement]\neven_load_hosts = 24\n"
        );
        let path = self.folder.join(format!("boot-{number}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("gateway-{number}.log")))?;
        let child = Command::new("target/release/jaystand-gateway")
            .env_clear()
            .env("JAYSTAND_SETTINGS", &path)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let gateway = Gateway {
            child,
            front: SocketAddr::new(ip, FRONT_PORT),
            ready: SocketAddr::new(ip, READY_PORT),
        };
        self.gateways.push(gateway);
        Ok(())
    }

    fn await_ready(&self, number: usize) -> io::Result<()> {
        let ready = self.gateways[number].ready;
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if ask(ready, "GET /v1/readyz HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n")
                .is_ok_and(|answer| answer.status() == 200)
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the gateway does not become ready"))
    }

    /// Sends a signal to a gateway.
    pub fn signal(&self, number: usize, name: &str) -> io::Result<()> {
        let id = self.gateways[number].child.id().to_string();
        self.record.line(format!("SIG{name} to gateway {number}"));
        let status = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }

    /// Copies the first lines of a gateway's log that have one of the words into the record.
    pub fn record_log(&self, number: usize, words: &[&str], most: usize) {
        let path = self.folder.join(format!("gateway-{number}.log"));
        let text = fs::read_to_string(path).unwrap_or_default();
        let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        for line in lines.take(most) {
            self.record.line(format!("log of gateway {number}: {line}"));
        }
    }
}

pub fn server_name(service: &str, number: u8) -> String {
    format!("i-{service}-{number}")
}

/// The fields of an engine's entry, with its models at version 1.
pub fn entry_models(models: &[&str]) -> String {
    let models = models.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
    format!(",\"stage\":\"unified\",\"models\":[{}]", models.collect::<Vec<_>>().join(","))
}

/// The entry of a server. `more` has further fields, after a comma.
pub fn entry(service: &str, address: SocketAddr, number: u8, more: &str) -> String {
    let zone = ZONES[usize::from(number) % ZONES.len()];
    let slots = if service == "oraculo" { 24 } else { 6 };
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1790000000000,\"seq\":4{more}}}"
    )
}

fn serve(wire: &mut Wire, request: &Message, name: &str, behaviour: &Arc<Behaviour>) -> bool {
    let instance = format!("x-instance-id: {name}\r\n");
    let expected = request.header("x-expect-instance");
    if expected.is_some_and(|expected| expected != name) {
        return wire.send(&answer("421 Misdirected Request", &instance, b"")).is_ok();
    }
    let path = request.path();
    if path.starts_with("/v1/kv-events") {
        thread::sleep(Duration::from_millis(900));
        let none = b"{\"bootEpoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";
        return wire.send(&answer("200 OK", &instance, none)).is_ok();
    }
    behaviour(wire, request)
}

/// Sends one request on a new connection and reads the answer.
pub fn ask(address: SocketAddr, request: &str) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut wire = Wire::new(stream);
    wire.send(request.as_bytes())?;
    wire.read()?.ok_or_else(|| io::Error::other("closed without an answer"))
}
