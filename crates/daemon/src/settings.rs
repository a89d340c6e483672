//! The settings of a daemon. The TOML file is checked as a whole, and all errors are reported together.

mod raw;

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use jaystand_types::{DataCentre, HostName, Secret};

pub use raw::Settings as Raw;

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of the daemon.
    pub host: Host,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's object API; none if the daemon runs without a platform.
    pub platform: Option<Platform>,
    /// Other daemons.
    pub peers: Peers,
    /// Administration.
    pub admin: Admin,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Prefix chain.
    pub chain: Chain,
    /// Request policy.
    pub policy: Policy,
    /// Engine orders.
    pub orders: Orders,
    /// Shutdown.
    pub shutdown: Shutdown,
    /// Level of the log.
    pub log_level: log::LevelFilter,
    /// Export of traces; none if they are not exported.
    pub trace: Option<Trace>,
    /// File with the configuration document to use if neither the peers nor the platform have one.
    pub bootstrap: Option<PathBuf>,
}

/// Identity of a daemon.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Data centre that the host is in.
    pub data_centre: DataCentre,
    /// Deployment that the daemon belongs to.
    pub deployment: String,
    /// Region of the data centre.
    pub region: String,
}

/// Listening addresses.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For health, metrics and administration.
    pub admin: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// The platform's object API.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Address of the API.
    pub address: SocketAddr,
    /// Calls a second that this daemon may make.
    pub budget_per_s: f64,
}

/// Other daemons.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Addresses of daemons through which this one joins the deployment.
    pub seeds: Vec<SocketAddr>,
    /// Key that all daemons of the deployment share.
    pub key: Secret,
}

/// Administration.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Key of the admin API. If it is empty, every call is refused.
    pub key: Secret,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Time for the head of a request to arrive, and for a connection to stay idle.
    pub header_timeout: Duration,
    /// Time for the body of a request to arrive.
    pub body_timeout: Duration,
    /// Largest number of requests in the daemon at once, queued or running.
    pub queue: usize,
}

/// Prefix chain.
#[derive(Clone, Copy, Debug)]
pub struct Chain {
    /// Size of the pieces into which long messages are split.
    pub piece_bytes: usize,
}

/// Request policy.
#[derive(Clone, Debug)]
pub struct Policy {
    /// The router's own policy, or a baseline to compare it with.
    pub name: PolicyName,
}

jaystand_types::common! { value
    /// The request policies.
    pub enum PolicyName {
        /// The router's own policy.
        Jaystand,
        /// Baseline: rendezvous hashing only.
        HashOnly,
        /// Baseline: the least loaded server.
        LeastLoaded,
        /// Baseline: each server in turn.
        RoundRobin,
    }
}

/// Engine orders.
#[derive(Clone, Copy, Debug)]
pub struct Orders {
    /// Largest number of engines that load weights at once.
    pub max_loading: usize,
}

/// Shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// How long the daemon accepts requests after it has reported not ready. Covers the time that a load balancer takes
    /// to notice.
    pub lame_duck: Duration,
    /// How long running requests may take to finish.
    pub drain: Duration,
}

/// Trace export.
#[derive(Clone, Debug)]
pub struct Trace {
    /// OTLP collector, as `http://host:port`.
    pub endpoint: String,
    /// Share of requests to trace, from 0 to 1. Requests that arrive with a sampled trace are always traced.
    pub sample: f64,
}

/// One error in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("{file}: `{key}`: {problem}")]
#[diagnostic(help("{remedy}"))]
pub struct Fault {
    /// Name of the settings file.
    pub file: String,
    /// The key, as `section.key`.
    pub key: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

/// Every error in the settings.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the settings have {} error(s)", .faults.len())]
pub struct Faults {
    /// The errors.
    #[related]
    pub faults: Vec<Fault>,
}

impl Settings {
    /// Parses and checks settings. Errors name `file`.
    ///
    /// # Errors
    /// Returns every error found.
    pub fn parse(text: &str, file: &str) -> Result<Self, Faults> {
        let (raw, unknown) = raw::parse(text, file)?;
        let mut checker = Checker::new(file);
        checker.faults.extend(unknown);
        let settings = checker.check_settings(raw);
        checker.finish(settings)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns every error found, or a single error if the file cannot be read.
    pub fn read(path: &std::path::Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, &file),
            Err(error) => Err(Faults {
                faults: vec![Fault {
                    file,
                    key: "(file)".to_owned(),
                    problem: format!("cannot be read: {error}"),
                    remedy: "name a readable file with --settings".to_owned(),
                }],
            }),
        }
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Faults;

    fn try_from(raw: Raw) -> Result<Self, Faults> {
        let mut checker = Checker::new("settings");
        let settings = checker.check_settings(raw);
        checker.finish(settings)
    }
}

/// Returns the default settings as TOML, for `--print-defaults`.
#[must_use]
pub fn defaults() -> String {
    raw::defaults()
}

/// Converts raw settings to checked ones and collects the errors of all values. The settings are discarded if there is
/// one.
struct Checker {
    file: String,
    faults: Vec<Fault>,
}

impl Checker {
    fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            faults: Vec::new(),
        }
    }

    fn finish(self, settings: Settings) -> Result<Settings, Faults> {
        if self.faults.is_empty() {
            return Ok(settings);
        }
        Err(Faults {
            faults: self.faults,
        })
    }

    fn record_fault(&mut self, key: &str, problem: impl Into<String>, remedy: &str) {
        self.faults.push(Fault {
            file: self.file.clone(),
            key: key.to_owned(),
            problem: problem.into(),
            remedy: remedy.to_owned(),
        });
    }

    fn check_settings(&mut self, raw: Raw) -> Settings {
        Settings {
            host: Host {
                name: self.check_name("host.name", &raw.host.name).into(),
                data_centre: self
                    .check_name("host.data_centre", &raw.host.data_centre)
                    .into(),
                deployment: self.check_name("host.deployment", &raw.host.deployment),
                region: self.check_name("host.region", &raw.host.region),
            },
            listen: Listen {
                callers: self.parse_address("listen.callers", &raw.listen.callers),
                admin: self.parse_address("listen.admin", &raw.listen.admin),
                peers: self.parse_address("listen.peers", &raw.listen.peers),
            },
            platform: self.check_platform(&raw.platform),
            peers: self.check_peers(raw.peers),
            admin: Admin { key: raw.admin.key },
            limits: self.check_limits(&raw.limits),
            chain: Chain {
                piece_bytes: self.check_positive("chain.piece_bytes", raw.chain.piece_bytes),
            },
            policy: Policy {
                name: self.parse_policy(&raw.policy.name),
            },
            orders: Orders {
                max_loading: self.check_positive("orders.max_loading", raw.orders.max_loading),
            },
            shutdown: Shutdown {
                lame_duck: raw.shutdown.lame_duck,
                drain: raw.shutdown.drain,
            },
            log_level: self.parse_log_level(&raw.log.level),
            trace: self.check_trace(raw.trace),
            bootstrap: (!raw.bootstrap.is_empty()).then(|| raw.bootstrap.into()),
        }
    }

    fn check_name(&mut self, key: &str, text: &str) -> String {
        let valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        if !valid {
            self.record_fault(
                key,
                format!("`{text}` is not a name"),
                "write one or more printable ASCII characters without blanks",
            );
        }
        text.to_owned()
    }

    fn parse_address(&mut self, key: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.record_fault(
                key,
                format!("`{text}` is not an address"),
                "write an IP address and a port, such as 127.0.0.1:8080",
            );
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn check_positive(&mut self, key: &str, value: usize) -> usize {
        if value == 0 {
            self.record_fault(key, "0 is too small", "write a whole number from 1");
        }
        value
    }

    fn check_duration(&mut self, key: &str, value: Duration) -> Duration {
        if value.is_zero() {
            self.record_fault(key, "0 is too short", "write a time such as 10s or 500ms");
        }
        value
    }

    fn check_platform(&mut self, raw: &raw::Platform) -> Option<Platform> {
        if raw.address.is_empty() {
            return None;
        }
        if !(raw.budget_per_s.is_finite() && raw.budget_per_s > 0.0) {
            self.record_fault(
                "platform.budget_per_s",
                format!("{} is not a rate", raw.budget_per_s),
                "write a number above 0",
            );
        }
        Some(Platform {
            address: self.parse_address("platform.address", &raw.address),
            budget_per_s: raw.budget_per_s,
        })
    }

    fn check_peers(&mut self, raw: raw::Peers) -> Peers {
        let seeds = raw.seeds.iter();
        let seeds = seeds
            .map(|seed| self.parse_address("peers.seeds", seed))
            .collect();
        let key = match (raw.key.is_empty(), raw.key_file.is_empty()) {
            (false, false) => {
                self.record_fault(
                    "peers.key_file",
                    "both `key` and `key_file` are set",
                    "keep one of them",
                );
                raw.key
            }
            (true, false) => self.read_key_file("peers.key_file", &raw.key_file).into(),
            _ => raw.key,
        };
        Peers { seeds, key }
    }

    fn read_key_file(&mut self, key: &str, path: &str) -> String {
        match std::fs::read_to_string(path) {
            Ok(text) => text.trim().to_owned(),
            Err(error) => {
                self.record_fault(
                    key,
                    format!("`{path}` cannot be read: {error}"),
                    "name a readable file that holds the key",
                );
                String::new()
            }
        }
    }

    fn check_limits(&mut self, raw: &raw::Limits) -> Limits {
        Limits {
            body_bytes: self.check_positive("limits.body_bytes", raw.body_bytes),
            header_timeout: self.check_duration("limits.header_timeout", raw.header_timeout),
            body_timeout: self.check_duration("limits.body_timeout", raw.body_timeout),
            queue: self.check_positive("limits.queue", raw.queue),
        }
    }

    fn parse_policy(&mut self, name: &str) -> PolicyName {
        match name {
            "jaystand" => PolicyName::Jaystand,
            "hash-only" => PolicyName::HashOnly,
            "least-loaded" => PolicyName::LeastLoaded,
            "round-robin" => PolicyName::RoundRobin,
            _ => {
                self.record_fault(
                    "policy.name",
                    format!("`{name}` is not a policy"),
                    "use jaystand, hash-only, least-loaded or round-robin",
                );
                PolicyName::Jaystand
            }
        }
    }

    fn parse_log_level(&mut self, level: &str) -> log::LevelFilter {
        level.parse().unwrap_or_else(|_| {
            self.record_fault(
                "log.level",
                format!("`{level}` is not a level"),
                "use off, error, warn, info, debug or trace",
            );
            log::LevelFilter::Info
        })
    }

    fn check_trace(&mut self, raw: raw::Trace) -> Option<Trace> {
        if raw.endpoint.is_empty() {
            return None;
        }
        if !(0.0..=1.0).contains(&raw.sample) {
            self.record_fault(
                "trace.sample",
                format!("{} is not a share", raw.sample),
                "write a number from 0 to 1",
            );
        }
        Some(Trace {
            endpoint: raw.endpoint,
            sample: raw.sample,
        })
    }
}
