//! Settings of the process, read from one TOML file that is checked as a whole.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use compact_str::CompactString;
use jaystand_dispatch::{budget, weights};
use jaystand_types::{DataCentre, HostName};
use log::LevelFilter;
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;

/// Log lines that the process may write per second. A line costs about 10 microseconds of processor time.
const DEFAULT_LOG_LINES_PER_S: u32 = 150;
/// Memory of the smallest hosts, in MB.
const DEFAULT_MEMORY_MB: u32 = 88;
/// Link of the smallest hosts, in Mbit/s.
const DEFAULT_LINK_MBPS: f64 = 10.0;
/// Buffered bodies may take a host's memory divided by this. The process itself takes 5 to 13 MB, and connections take
/// as much again as the bodies on them.
const BUFFER_MEMORY_DIVISOR: usize = 4;
/// Answers of the store and of other hosts may take a host's memory divided by this. A page of a list has up to 1 MB.
const INNER_BUFFER_MEMORY_DIVISOR: usize = 8;
/// Callers' connections may take a host's memory divided by this, at `CONNECTION_BYTES` each.
const CONNECTION_MEMORY_DIVISOR: usize = 3;
/// Memory of a caller's connection without bodies: the HTTP library's read and write buffers of 8 KB each, and the
/// tasks and timers.
const CONNECTION_BYTES: usize = 20 << 10;
/// Descriptors that are reserved for files; sockets share the others.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for listeners, the store, other hosts and the connections to the readiness, metrics and copy listeners.
const INNER_DESCRIPTORS: usize = 160;
/// Percentage of the remaining descriptors that callers' connections may take. A forwarded request takes another one
/// for its server, and connections to servers outlive the requests that opened them.
const CALLER_DESCRIPTORS_PERCENT: usize = 45;
/// Connections that callers may open in any case.
const MIN_CALLER_CONNECTIONS: usize = 64;
/// Limit on descriptors where the system sets none.
const MAX_DESCRIPTORS: u64 = 1 << 20;
/// Requests must begin on the new weights this long before the bound, because hosts may learn late of a new version.
/// The wait in the server is added to this.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(600);
/// Answers on older weights lose credit this long after a version is named; the time that the news takes to reach a
/// host is already subtracted.
const WEIGHTS_PREFERRED_AFTER: Duration = Duration::from_millis(1_300);

/// Why the settings cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read settings file `{path}`")]
    #[diagnostic(help("pass --settings FILE or set JAYSTAND_SETTINGS"))]
    Read {
        /// The file.
        path: String,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The file is not TOML of the expected shape.
    #[error("settings file `{path}` is not valid")]
    Parse {
        /// The file.
        path: String,
        /// Where and why.
        #[source]
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[error("settings file `{path}`: `{field}` is {value}, but must be {wanted}")]
    Range {
        /// The file.
        path: String,
        /// The field.
        field: &'static str,
        /// The value that it holds.
        value: String,
        /// The values that it may hold.
        wanted: &'static str,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    host: HostName,
    data_centre: DataCentre,
    peer_port: u16,
    #[serde(default)]
    bootstrap: bool,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    listen: Listen,
    store: StoreDocument,
    bounds: BoundsDocument,
    #[serde(default)]
    limits: LimitsDocument,
    #[serde(default)]
    placement: PlacementDocument,
    #[serde(default)]
    log: LogDocument,
}

/// Addresses on which the process listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    /// For callers' requests.
    pub(crate) front: SocketAddr,
    /// For readiness checks: whether the host accepts new connections.
    pub(crate) ready: SocketAddr,
    /// For metrics as text.
    pub(crate) metrics: Option<SocketAddr>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreDocument {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BoundsDocument {
    #[serde(default = "default_grace")]
    grace_s: f64,
    #[serde(default = "default_lease")]
    lease_ms: f64,
    #[serde(default = "default_weights")]
    weights_ms: f64,
    #[serde(default = "default_ratio")]
    retry_ratio: f64,
    #[serde(default = "default_slack")]
    retry_slack: f64,
    #[serde(default = "default_window")]
    retry_window_s: f64,
    #[serde(default)]
    strict_revoke: bool,
    #[serde(default = "default_revoke")]
    revoke_ms: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsDocument {
    memory_mb: Option<u32>,
    descriptors: Option<u32>,
    connections: Option<u32>,
    link_mbps: Option<f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlacementDocument {
    even_load_hosts: Option<u32>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LogDocument {
    level: Option<LevelFilter>,
    lines_per_s: Option<u32>,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) host: HostName,
    pub(crate) data_centre: DataCentre,
    /// Port of the traffic between hosts, which is the same on all hosts.
    pub(crate) peer_port: u16,
    /// Whether the whole fleet starts for the first time, so that no callers are waiting yet.
    pub(crate) bootstrap: bool,
    /// Hosts that get reports even if they are not known to be live, to learn of the other hosts.
    pub(crate) seeds: Vec<IpAddr>,
    pub(crate) listen: Listen,
    /// Fleet size from which on placement estimates what other hosts have sent since their reports, to even out the
    /// servers' load. `None`: never.
    pub(crate) even_load_hosts: Option<usize>,
    pub(crate) store: SocketAddr,
    /// Time from the request to stop until the process is killed.
    pub(crate) grace: Duration,
    pub(crate) lease: Duration,
    pub(crate) weights: weights::Settings,
    pub(crate) budget: budget::Settings,
    /// Time after which a revoked key must not be accepted, whether the store can be reached or not. `None` sets no
    /// bound while the store cannot be reached.
    pub(crate) revocation: Option<Duration>,
    /// The host's link, in Mbit/s.
    pub(crate) link_mbps: u32,
    /// Memory for bodies of callers and servers, in bytes.
    pub(crate) buffer_bytes: usize,
    /// Memory for answers of the store and of other hosts, in bytes.
    pub(crate) inner_buffer_bytes: usize,
    /// Callers' connections that may be open at once.
    pub(crate) caller_connections: usize,
    pub(crate) log_level: LevelFilter,
    pub(crate) log_lines: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails when the file cannot be read or holds a value that cannot be used.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: name.clone(),
            source,
        })?;
        Self::parse(&name, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Fails when it holds a value that cannot be used.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let document: Document = toml::from_str(text).map_err(|source| Error::Parse {
            path: path.to_owned(),
            source,
        })?;
        let bounds = &document.bounds;
        let positive_duration = |field, value: f64, unit: f64| {
            Duration::try_from_secs_f64(value * unit)
                .ok()
                .filter(|time| !time.is_zero())
                .ok_or_else(|| Error::Range {
                    path: path.to_owned(),
                    field,
                    value: value.to_string(),
                    wanted: "above 0",
                })
        };
        let non_negative = |field, value: f64| {
            if value.is_finite() && value >= 0.0 {
                Ok(value)
            } else {
                Err(Error::Range {
                    path: path.to_owned(),
                    field,
                    value: value.to_string(),
                    wanted: "0 or above",
                })
            }
        };
        let memory_mb = document.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        if memory_mb == 0 {
            return Err(Error::Range {
                path: path.to_owned(),
                field: "limits.memory_mb",
                value: memory_mb.to_string(),
                wanted: "above 0",
            });
        }
        for (field, value) in [
            ("limits.descriptors", document.limits.descriptors),
            ("limits.connections", document.limits.connections),
        ] {
            if value == Some(0) {
                return Err(Error::Range {
                    path: path.to_owned(),
                    field,
                    value: "0".to_owned(),
                    wanted: "above 0",
                });
            }
        }
        let memory_bytes = usize::try_from(memory_mb)
            .unwrap_or(usize::MAX)
            .saturating_mul(1 << 20);
        let weights_bound = positive_duration("bounds.weights_ms", bounds.weights_ms, 1e-3)?;
        Ok(Self {
            grace: positive_duration("bounds.grace_s", bounds.grace_s, 1.0)?,
            lease: positive_duration("bounds.lease_ms", bounds.lease_ms, 1e-3)?,
            weights: weights::Settings {
                preferred_after: WEIGHTS_PREFERRED_AFTER.min(weights_bound / 2),
                required_after: weights_bound.saturating_sub(WEIGHTS_MARGIN),
            },
            budget: budget::Settings {
                ratio: non_negative("bounds.retry_ratio", bounds.retry_ratio)?,
                slack: non_negative("bounds.retry_slack", bounds.retry_slack)?,
                window: positive_duration("bounds.retry_window_s", bounds.retry_window_s, 1.0)?,
            },
            revocation: bounds
                .strict_revoke
                .then(|| positive_duration("bounds.revoke_ms", bounds.revoke_ms, 1e-3))
                .transpose()?,
            seeds: document.seeds.iter().map(SocketAddr::ip).collect(),
            bootstrap: document.bootstrap,
            even_load_hosts: document
                .placement
                .even_load_hosts
                .map(|hosts| usize::try_from(hosts).unwrap_or(usize::MAX)),
            host: document.host,
            data_centre: document.data_centre,
            peer_port: document.peer_port,
            listen: document.listen,
            store: document.store.address,
            link_mbps: link_mbps(document.limits.link_mbps.unwrap_or(DEFAULT_LINK_MBPS)),
            buffer_bytes: memory_bytes / BUFFER_MEMORY_DIVISOR,
            inner_buffer_bytes: memory_bytes / INNER_BUFFER_MEMORY_DIVISOR,
            caller_connections: caller_connections(&document.limits, memory_bytes),
            log_level: document.log.level.unwrap_or(LevelFilter::Info),
            log_lines: document.log.lines_per_s.unwrap_or(DEFAULT_LOG_LINES_PER_S),
        })
    }

    /// Returns the name of one run of the process, which identifies the holder of the lease on weight orders.
    pub(crate) fn run_name(&self, incarnation: u64) -> CompactString {
        compact_str::format_compact!("{}#{incarnation:016x}", self.host)
    }
}

/// Returns how many connections callers may open, so that neither the memory nor the descriptors are used up.
fn caller_connections(limits: &LimitsDocument, memory_bytes: usize) -> usize {
    let to_usize = |number: u32| usize::try_from(number).unwrap_or(usize::MAX);
    if let Some(connections) = limits.connections {
        return to_usize(connections);
    }
    let allowed = || {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS);
        usize::try_from(allowed).unwrap_or(usize::MAX)
    };
    let descriptors = limits.descriptors.map_or_else(allowed, to_usize);
    let free = descriptors.saturating_sub(FILE_DESCRIPTORS + INNER_DESCRIPTORS);
    let by_descriptors = free * CALLER_DESCRIPTORS_PERCENT / 100;
    let by_memory = memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CALLER_CONNECTIONS)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and links are whole figures"
)]
fn link_mbps(stated: f64) -> u32 {
    stated as u32
}

// The defaults are the figures of the users' sheets, for deployments that state none.

fn default_grace() -> f64 {
    8.0
}

fn default_lease() -> f64 {
    3_000.0
}

fn default_weights() -> f64 {
    6_000.0
}

fn default_ratio() -> f64 {
    0.2
}

fn default_slack() -> f64 {
    52.0
}

fn default_window() -> f64 {
    10.0
}

fn default_revoke() -> f64 {
    5_000.0
}
