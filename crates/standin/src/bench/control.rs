//! `control`: measures what the control plane costs a daemon, over numbers of daemons, backend servers, teams and sheet
//! changes, and how soon an accepted sheet is in force on all daemons.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    fmt::Write as _,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Args;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use jaystand_control::config::{Encoded, MAX_VALUE_BYTES, Object};
use jaystand_sheet::{Directory, Document, Fencing, Model, Server, ServerKind, Team};
use jaystand_standin::{
    caller::Caller,
    platform::{self, Call, Host},
};
use serde::Serialize;
use serde_json::json;
use tokio::{net::TcpListener, task::JoinSet, time::sleep};

use super::{
    process::{Daemon, daemon_program},
    target,
};

/// Shape from which each point varies one figure.
pub(crate) const BASE_SHAPE: Shape = Shape {
    daemons: 4,
    servers: 300,
    teams: 32,
    changes_per_s: 0.0,
};
/// 72 daemons are a region at the target size.
const DAEMON_COUNTS: [usize; 5] = [2, 4, 8, 16, 72];
const SERVER_COUNTS: [usize; 4] = [10, 100, 300, 1_200];
const TEAM_COUNTS: [usize; 3] = [8, 80, 320];
/// The target is 1,100 changes a day, 0.013 a second.
const CHANGES_PER_S: [f64; 3] = [0.1, 0.5, 1.0];
/// Rules of each team; 320 teams have 3,200 rules at the target size.
const RULES_PER_TEAM: usize = 10;
const DATA_CENTRES: usize = 3;
/// Time for the members to discover each other and to gossip the first loads.
const WARM_UP: Duration = Duration::from_secs(8);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const PEER_KEY: &str = "peer-key-of-the-control-bench";

/// Measures the cost of control.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Seconds that each point is measured for.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Sheet changes whose spread is timed at each number of daemons.
    #[arg(long, default_value_t = 5)]
    spreads: u32,
    /// File for the figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Shape {
    pub(crate) daemons: usize,
    pub(crate) servers: usize,
    pub(crate) teams: usize,
    pub(crate) changes_per_s: f64,
}

/// Figures of one point. Figures of a daemon are means over all daemons; memory is the maximum.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    pub(crate) shape: Shape,
    pub(crate) sent_per_s: f64,
    pub(crate) received_per_s: f64,
    pub(crate) core_percent: f64,
    pub(crate) resident_mib: f64,
    pub(crate) platform_calls_per_s: f64,
    /// Seconds until each timed change was in force on all daemons.
    pub(crate) in_force_s: Vec<f64>,
}

/// Sums of the counters of all daemons, and the platform calls.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    sent: f64,
    received: f64,
    processor: Duration,
    calls: u64,
}

struct Deployment {
    shape: Shape,
    platform: platform::Handle,
    daemons: Vec<Daemon>,
    admins: Vec<SocketAddr>,
    document: Document,
    caller: Caller,
    folder: PathBuf,
    _engines: JoinSet<()>,
}

/// Measures all points and prints the table and the comparison with the bounds.
pub(crate) async fn run(options: Options) -> io::Result<bool> {
    let mut points = Vec::new();
    println!(
        "{:>7} {:>7} {:>5} {:>9} | {:>9} {:>9} {:>7} {:>7} {:>9} | {:>8} {:>8}",
        "daemons",
        "servers",
        "teams",
        "changes/s",
        "sent B/s",
        "recv B/s",
        "core %",
        "MiB",
        "platf./s",
        "median s",
        "most s",
    );
    for shape in shapes() {
        let point = measure(shape, &options).await?;
        print_point(&point);
        points.push(point);
    }
    let summary = target::summary(&points);
    println!("\n{summary}");
    if let Some(path) = &options.json {
        let report = json!({"points": points, "at_target": summary});
        fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(summary.within_bounds())
}

fn shapes() -> Vec<Shape> {
    let daemons = DAEMON_COUNTS.map(|daemons| Shape {
        daemons,
        ..BASE_SHAPE
    });
    let servers = SERVER_COUNTS.map(|servers| Shape {
        servers,
        ..BASE_SHAPE
    });
    let teams = TEAM_COUNTS.map(|teams| Shape {
        teams,
        ..BASE_SHAPE
    });
    let changes = CHANGES_PER_S.map(|changes_per_s| Shape {
        changes_per_s,
        ..BASE_SHAPE
    });
    [&daemons[..], &servers, &teams, &changes].concat()
}

async fn measure(shape: Shape, options: &Options) -> io::Result<Point> {
    let mut deployment = Deployment::start(shape).await?;
    let mut in_force_s = Vec::new();
    for _ in 0..options.spreads {
        in_force_s.push(deployment.measure_time_in_force().await?.as_secs_f64());
    }
    sleep(WARM_UP).await;
    let before = deployment.counters().await?;
    let began = Instant::now();
    let period = if shape.changes_per_s > 0.0 {
        Duration::from_secs_f64(1.0 / shape.changes_per_s)
    } else {
        Duration::MAX
    };
    let length = Duration::from_secs(options.seconds);
    while let Some(left) = length.checked_sub(began.elapsed()) {
        sleep(left.min(period)).await;
        if period < left {
            deployment.publish_next_version();
        }
    }
    let after = deployment.counters().await?;
    let seconds = began.elapsed().as_secs_f64();
    let daemon_seconds = seconds * count_as_f64(shape.daemons);
    let resident = deployment
        .daemons
        .iter()
        .map(|daemon| daemon.memory().peak_kib)
        .max();
    let point = Point {
        shape,
        sent_per_s: (after.sent - before.sent) / daemon_seconds,
        received_per_s: (after.received - before.received) / daemon_seconds,
        core_percent: (after.processor.saturating_sub(before.processor)).as_secs_f64()
            / daemon_seconds
            * 100.0,
        resident_mib: count_as_f64(resident.unwrap_or(0)) / 1024.0,
        platform_calls_per_s: count_as_f64(after.calls - before.calls) / seconds,
        in_force_s,
    };
    deployment.shut_down().await;
    Ok(point)
}

impl Deployment {
    async fn start(shape: Shape) -> io::Result<Self> {
        let program = daemon_program()?;
        let platform = platform::start(platform::Settings::default())?;
        let mut engines = JoinSet::new();
        let mut addresses = Vec::new();
        for index in 0..shape.servers {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            addresses.push(listener.local_addr()?);
            engines.spawn(serve_engine_reports(listener, index));
        }
        let document = document(shape, &addresses);
        let folder = std::env::temp_dir().join(format!(
            "jaystand-control-{}-{}",
            std::process::id(),
            platform.address().port()
        ));
        fs::create_dir_all(&folder)?;
        let ports = free_ports(3 * shape.daemons)?;
        let mut deployment = Self {
            shape,
            daemons: Vec::new(),
            admins: ports.chunks(3).map(|ports| ports[1]).collect(),
            document,
            caller: Caller::default(),
            folder,
            _engines: engines,
            platform,
        };
        deployment.publish();
        deployment.publish_hosts(&ports, &addresses);
        for index in 0..shape.daemons {
            let settings = deployment.settings(&ports, index);
            let file = deployment.folder.join(format!("{index}.toml"));
            fs::write(&file, settings)?;
            let log = deployment.folder.join(format!("{index}.log"));
            deployment
                .daemons
                .push(Daemon::start(&program, &file, &log)?);
        }
        deployment
            .wait_in_force(deployment.document.version, READY_TIMEOUT)
            .await?;
        Ok(deployment)
    }

    fn settings(&self, ports: &[SocketAddr], index: usize) -> String {
        let peers: Vec<String> = ports
            .chunks(3)
            .map(|daemon_ports| format!("{:?}", daemon_ports[2].to_string()))
            .collect();
        let seeds = peers
            .iter()
            .take(DATA_CENTRES)
            .cloned()
            .collect::<Vec<_>>()
            .join(", ");
        let [callers, admin, peer] = [0, 1, 2].map(|port| ports[3 * index + port]);
        format!(
            "[host]\nname = \"host-{index:03}\"\ndata_centre = \"dc-{}\"\ndeployment = \"control\"\n\
             region = \"one\"\n\n[listen]\ncallers = \"{callers}\"\nadmin = \"{admin}\"\npeers = \"{peer}\"\n\n\
             [platform]\naddress = \"{}\"\n\n[peers]\nseeds = [{seeds}]\nkey = {PEER_KEY:?}\n\n\
             [log]\nlevel = \"warn\"\n",
            index % DATA_CENTRES,
            self.platform.address(),
        )
    }

    fn publish_hosts(&self, ports: &[SocketAddr], engines: &[SocketAddr]) {
        let host = |name: String, address: &SocketAddr, index: usize, role: &str| Host {
            name,
            address: address.to_string(),
            data_centre: format!("dc-{}", index % DATA_CENTRES),
            state: "live".to_owned(),
            role: role.to_owned(),
        };
        let daemons = ports.chunks(3).enumerate();
        let daemons = daemons
            .map(|(i, daemon_ports)| host(format!("host-{i:03}"), &daemon_ports[2], i, "daemon"));
        let engines = engines.iter().enumerate();
        let engines =
            engines.map(|(i, address)| host(format!("engine-{i:04}"), address, i, "backend"));
        self.platform
            .standin()
            .set_hosts(daemons.chain(engines).collect());
    }

    fn publish(&self) {
        let encoded = Encoded::new(&self.document, MAX_VALUE_BYTES);
        let platform = self.platform.standin();
        for (name, part) in encoded.parts {
            let object = Object::Part(name);
            platform.set_object(object.kind(), &object.name(), part);
        }
        let current = Object::Current;
        platform.set_object(current.kind(), &current.name(), encoded.value);
    }

    /// Publishes the next version of the sheet on the platform, as an accepted change of an operator does.
    fn publish_next_version(&mut self) {
        self.document.parent = self.document.version;
        self.document.version += 1;
        self.document.note = format!("change {}", self.document.version);
        self.publish();
    }

    /// Publishes the next version and returns the time until it is in force on all daemons.
    async fn measure_time_in_force(&mut self) -> io::Result<Duration> {
        let began = Instant::now();
        self.publish_next_version();
        self.wait_in_force(self.document.version, IN_FORCE_TIMEOUT)
            .await?;
        Ok(began.elapsed())
    }

    /// Waits until a version is in force on all daemons.
    async fn wait_in_force(&self, version: u64, timeout: Duration) -> io::Result<()> {
        let began = Instant::now();
        for admin in &self.admins {
            loop {
                let text = self.metrics(*admin).await;
                if metric_value(&text, "jaystand_config_version ") >= count_as_f64(version) {
                    break;
                }
                if began.elapsed() > timeout {
                    let message =
                        format!("version {version} is not in force on {admin} after {timeout:?}");
                    return Err(io::Error::other(message));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn counters(&self) -> io::Result<Counters> {
        let mut counters = Counters {
            calls: self.platform_calls(),
            ..Counters::default()
        };
        for (admin, daemon) in self.admins.iter().zip(&self.daemons) {
            let text = self.metrics(*admin).await;
            counters.sent +=
                metric_value(&text, "jaystand_control_bytes_total{direction=\"sent\"} ");
            counters.received += metric_value(
                &text,
                "jaystand_control_bytes_total{direction=\"received\"} ",
            );
            counters.processor += daemon.processor_time();
        }
        if counters.sent == 0.0 && self.shape.daemons > 1 {
            return Err(io::Error::other(
                "the daemons have not sent a byte to each other",
            ));
        }
        Ok(counters)
    }

    fn platform_calls(&self) -> u64 {
        let calls: BTreeMap<Call, u64> = self.platform.standin().calls();
        calls.values().sum()
    }

    async fn metrics(&self, admin: SocketAddr) -> String {
        let answer = self.caller.get(admin, "/metrics", "").await;
        answer.map(|(_, text)| text).unwrap_or_default()
    }

    async fn shut_down(mut self) {
        for daemon in &mut self.daemons {
            daemon.kill().await;
        }
        remove_folder(&self.folder);
    }
}

fn remove_folder(folder: &Path) {
    // Files that remain in the temporary directory do no harm.
    let _ = fs::remove_dir_all(folder);
}

/// Returns addresses with ports that were just free; all stay bound until the last one is chosen.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: io::Result<Vec<_>> = (0..count)
        .map(|_| std::net::TcpListener::bind(("127.0.0.1", 0)))
        .collect();
    listeners?
        .iter()
        .map(std::net::TcpListener::local_addr)
        .collect()
}

/// Converts a count to a float; saturates at `u32::MAX`, which no count here comes near.
pub(crate) fn count_as_f64(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}

fn metric_value(metrics: &str, line: &str) -> f64 {
    let found = metrics
        .lines()
        .find_map(|metric_line| metric_line.strip_prefix(line));
    found
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0)
}

/// Serves an engine that only reports its state and a load that changes every second.
async fn serve_engine_reports(listener: TcpListener, index: usize) {
    let mut connections = JoinSet::new();
    let began = Instant::now();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let answer = move |request: Request<Incoming>| {
            let second = usize::try_from(began.elapsed().as_secs()).unwrap_or(0);
            let body = if request.uri().path() == "/v1/state" {
                json!({"incarnation": index + 1, "model": "m0", "adapter": "", "weights_version": "v1",
                       "role": "serve", "loading": false, "fence": 0})
            } else {
                // Multiplication by primes spreads the loads over 0 to 47.
                let load = (index * 31 + second * 17) % 48;
                json!({"incarnation": index + 1, "weights_version": "v1", "running": load.min(16),
                       "waiting": load.saturating_sub(16), "slots": 16, "leaving": false, "age_ms": 100,
                       "role": "serve"})
            };
            std::future::ready(Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(
                body.to_string(),
            )))))
        };
        connections.spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(answer));
            // A daemon that ends cuts its connections.
            let _ = connection.await;
        });
    }
}

pub(crate) fn document(shape: Shape, addresses: &[SocketAddr]) -> Document {
    let teams = (0..shape.teams).map(|team| Team {
        name: format!("team-{team:03}").into(),
        key_hash: blake3::hash(format!("key-{team}").as_bytes())
            .to_hex()
            .as_str()
            .into(),
        weight: std::num::NonZeroU32::MIN,
    });
    let servers = addresses.iter().enumerate().map(|(index, address)| Server {
        name: format!("engine-{index:04}").into(),
        address: *address,
        data_centre: format!("dc-{}", index % DATA_CENTRES).into(),
        kind: ServerKind::Engine,
        model: "m0".into(),
        weights_version: "v1".into(),
        fencing: Fencing::Checked,
        slots: std::num::NonZeroU32::MIN.saturating_add(15),
    });
    let mut sheet =
        "team,request kind,model or service,urgency,repeat rule,backend servers,max in flight,\
         requests per minute,first token ms,deadline s,expected tokens\n"
            .to_owned();
    for team in 0..shape.teams {
        for rule in 0..RULES_PER_TEAM {
            // Writing to a string cannot fail.
            let _ = writeln!(
                sheet,
                "team-{team:03},kind-{rule},m0,normal,repeatable,*,16,600,500,60,200"
            );
        }
    }
    Document {
        version: 1,
        sheet,
        directory: Directory {
            teams: teams.collect(),
            servers: servers.collect(),
            models: vec![Model {
                name: "m0".into(),
                weights_version: "v1".into(),
                serving_share: 50,
            }],
        },
        ..Document::default()
    }
}

fn print_point(point: &Point) {
    let mut times = point.in_force_s.clone();
    times.sort_by(f64::total_cmp);
    println!(
        "{:>7} {:>7} {:>5} {:>9.2} | {:>9.0} {:>9.0} {:>7.2} {:>7.1} {:>9.2} | {:>8.3} {:>8.3}",
        point.shape.daemons,
        point.shape.servers,
        point.shape.teams,
        point.shape.changes_per_s,
        point.sent_per_s,
        point.received_per_s,
        point.core_percent,
        point.resident_mib,
        point.platform_calls_per_s,
        times.get(times.len() / 2).copied().unwrap_or(0.0),
        times.last().copied().unwrap_or(0.0),
    );
}
