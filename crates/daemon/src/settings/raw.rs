//! The settings as the TOML file has them. Every key has a default, so that all errors are found in one pass.

use std::time::Duration;

use jaystand_types::Secret;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Fault, Faults};

macro_rules! sections {
    ($($(#[$doc:meta])* $section:ident { $($(#[$field_doc:meta])* $(@$with:literal)? $field:ident: $type:ty = $default:expr;)+ })+) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, Serialize, Deserialize)]
            #[serde(default)]
            pub struct $section {
                $($(#[$field_doc])* $(#[serde(with = $with)])? pub $field: $type,)+
            }

            impl Default for $section {
                fn default() -> Self {
                    Self { $($field: $default),+ }
                }
            }

            impl $section {
                const KEYS: &'static [&'static str] = &[$(stringify!($field)),+];
            }
        )+
    };
}

sections! {
    /// The whole file.
    Settings {
        /// Configuration document used when neither peers nor the platform have one.
        bootstrap: String = String::new();
        /// Who this daemon is.
        host: Host = Host::default();
        /// Listening addresses.
        listen: Listen = Listen::default();
        /// The platform's object API.
        platform: Platform = Platform::default();
        /// Other daemons.
        peers: Peers = Peers::default();
        /// Administration.
        admin: Admin = Admin::default();
        /// Bounds on what callers may send.
        limits: Limits = Limits::default();
        /// Prefix chain.
        chain: Chain = Chain::default();
        /// Request policy.
        policy: Policy = Policy::default();
        /// Engine orders.
        orders: Orders = Orders::default();
        /// Shutdown.
        shutdown: Shutdown = Shutdown::default();
        /// Log.
        log: Log = Log::default();
        /// Traces.
        trace: Trace = Trace::default();
    }
    /// Who this daemon is.
    Host {
        /// Name of the host.
        name: String = "localhost".to_owned();
        /// Data centre.
        data_centre: String = "dc1".to_owned();
        /// Deployment.
        deployment: String = "default".to_owned();
        /// Region.
        region: String = "region1".to_owned();
    }
    /// Listening addresses.
    Listen {
        /// Callers.
        callers: String = "127.0.0.1:8080".to_owned();
        /// Health, metrics and administration.
        admin: String = "127.0.0.1:8081".to_owned();
        /// Other daemons.
        peers: String = "127.0.0.1:8082".to_owned();
    }
    /// The platform's object API; an empty address means none.
    Platform {
        /// Address.
        address: String = String::new();
        /// Calls a second that this daemon may make. An order takes about five. The platform bears about 2,000 reads and
        /// several hundred writes a second from all daemons together: a deployment of 360 daemons must set 5 or less.
        budget_per_s: f64 = 50.0;
    }
    /// Other daemons.
    Peers {
        /// Addresses to join through.
        seeds: Vec<String> = Vec::new();
        /// Shared key.
        key: Secret = Secret::default();
        /// File that holds the shared key.
        key_file: String = String::new();
    }
    /// Administration.
    Admin {
        /// Key of the admin API.
        key: Secret = Secret::default();
    }
    /// Bounds on what callers may send.
    Limits {
        /// Largest body.
        body_bytes: usize = 8 * 1024 * 1024;
        /// Time for the head of a request, and for a connection to stay idle.
        @"humantime_serde" header_timeout: Duration = Duration::from_secs(10);
        /// Time for the body of a request.
        @"humantime_serde" body_timeout: Duration = Duration::from_secs(30);
        /// Requests in the daemon at once.
        queue: usize = 10_000;
    }
    /// Prefix chain.
    Chain {
        /// Size of the pieces that long messages are cut into.
        piece_bytes: usize = 16_000;
    }
    /// Request policy.
    Policy {
        /// Name of the policy.
        name: String = "jaystand".to_owned();
    }
    /// Engine orders.
    Orders {
        /// Engines that load weights at once; more slow each other down.
        max_loading: usize = 2;
    }
    /// Shutdown.
    Shutdown {
        /// How long the daemon accepts after it has reported not ready.
        @"humantime_serde" lame_duck: Duration = Duration::from_secs(5);
        /// How long running requests may take to finish.
        @"humantime_serde" drain: Duration = Duration::from_secs(300);
    }
    /// Log.
    Log {
        /// Level.
        level: String = "info".to_owned();
    }
    /// Traces; an empty endpoint means none.
    Trace {
        /// OTLP collector.
        endpoint: String = String::new();
        /// Share of requests traced.
        sample: f64 = 0.01;
    }
}

/// The defaults as TOML.
pub(super) fn defaults() -> String {
    // Strings, numbers and tables always serialise.
    toml::to_string_pretty(&Settings::default()).unwrap_or_default()
}

/// Parses the file. Unknown keys and values of the wrong type become faults; their keys keep the default so
/// that checking can go on.
pub(super) fn parse(text: &str, file: &str) -> Result<(Settings, Vec<Fault>), Faults> {
    let mut table: toml::Table = text.parse().map_err(|error| Faults {
        faults: vec![fault(
            file,
            "(file)",
            format!("is not TOML: {error}"),
            "correct the syntax",
        )],
    })?;
    let mut faults = Vec::new();
    let mut reader = Reader {
        file,
        faults: &mut faults,
    };
    let settings = Settings {
        host: reader.section(&mut table, "host", Host::KEYS),
        listen: reader.section(&mut table, "listen", Listen::KEYS),
        platform: reader.section(&mut table, "platform", Platform::KEYS),
        peers: reader.section(&mut table, "peers", Peers::KEYS),
        admin: reader.section(&mut table, "admin", Admin::KEYS),
        limits: reader.section(&mut table, "limits", Limits::KEYS),
        chain: reader.section(&mut table, "chain", Chain::KEYS),
        policy: reader.section(&mut table, "policy", Policy::KEYS),
        orders: reader.section(&mut table, "orders", Orders::KEYS),
        shutdown: reader.section(&mut table, "shutdown", Shutdown::KEYS),
        log: reader.section(&mut table, "log", Log::KEYS),
        trace: reader.section(&mut table, "trace", Trace::KEYS),
        bootstrap: reader.bootstrap(&mut table),
    };
    for key in table.keys() {
        reader.unknown(key, Settings::KEYS);
    }
    Ok((settings, faults))
}

struct Reader<'a> {
    file: &'a str,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn section<T: DeserializeOwned + Default>(
        &mut self,
        table: &mut toml::Table,
        name: &str,
        keys: &[&str],
    ) -> T {
        let Some(value) = table.remove(name) else {
            return T::default();
        };
        let toml::Value::Table(section) = value else {
            self.wrong(name, "is not a section", &format!("write [{name}]"));
            return T::default();
        };
        let mut valid = toml::Table::new();
        for (key, value) in section {
            let path = format!("{name}.{key}");
            if !keys.contains(&key.as_str()) {
                self.unknown(&path, keys);
                continue;
            }
            let alone = toml::Table::from_iter([(key.clone(), value.clone())]);
            match alone.try_into::<T>() {
                Ok(_) => {
                    valid.insert(key, value);
                }
                Err(error) => {
                    let problem = error.message().to_owned();
                    self.wrong(&path, &problem, "see --print-defaults for the form");
                }
            }
        }
        valid.try_into().unwrap_or_default()
    }

    fn bootstrap(&mut self, table: &mut toml::Table) -> String {
        match table.remove("bootstrap") {
            None => String::new(),
            Some(toml::Value::String(path)) => path,
            Some(_) => {
                self.wrong("bootstrap", "is not a string", "write the path of a file");
                String::new()
            }
        }
    }

    fn unknown(&mut self, path: &str, known: &[&str]) {
        let remedy = format!("remove it, or use one of: {}", known.join(", "));
        self.wrong(path, "is not a known key", &remedy);
    }

    fn wrong(&mut self, path: &str, problem: &str, remedy: &str) {
        self.faults
            .push(fault(self.file, path, problem.to_owned(), remedy));
    }
}

fn fault(file: &str, key: &str, problem: String, remedy: &str) -> Fault {
    Fault {
        file: file.to_owned(),
        key: key.to_owned(),
        problem,
        remedy: remedy.to_owned(),
    }
}
