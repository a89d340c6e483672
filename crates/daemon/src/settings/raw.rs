//! The settings in the form of the TOML file. Every key has a default, so that one pass finds all errors.

use std::time::Duration;

use jaystand_types::Secret;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Fault, Faults};

/// Defines, for each section, a struct with defaults and the list of its keys. The field names are the keys.
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
    /// The whole settings file.
    Settings {
        /// File with the configuration document to use if neither the peers nor the platform have one.
        bootstrap: String = String::new();
        /// Identity of the daemon.
        host: Host = Host::default();
        /// Listening addresses.
        listen: Listen = Listen::default();
        /// The platform's object API.
        platform: Platform = Platform::default();
        /// Other daemons.
        peers: Peers = Peers::default();
        /// Administration.
        admin: Admin = Admin::default();
        /// Limits on the requests of callers.
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
    /// Identity of the daemon.
    Host {
        /// Name of the host.
        name: String = "localhost".to_owned();
        /// Data centre that the host is in.
        data_centre: String = "dc1".to_owned();
        /// Deployment that the daemon belongs to.
        deployment: String = "default".to_owned();
        /// Region of the data centre.
        region: String = "region1".to_owned();
    }
    /// Listening addresses.
    Listen {
        /// For callers.
        callers: String = "127.0.0.1:8080".to_owned();
        /// For health, metrics and administration.
        admin: String = "127.0.0.1:8081".to_owned();
        /// For other daemons.
        peers: String = "127.0.0.1:8082".to_owned();
    }
    /// The platform's object API. An empty address means that there is no platform.
    Platform {
        /// Address of the API.
        address: String = String::new();
        /// Calls a second that this daemon may make. An order takes about five. The platform can serve about 2,000
        /// reads and several hundred writes a second for all daemons together, so a deployment of 360 daemons must set
        /// 5 or less.
        budget_per_s: f64 = 50.0;
    }
    /// Other daemons.
    Peers {
        /// Addresses of daemons through which this one joins the deployment.
        seeds: Vec<String> = Vec::new();
        /// Key that all daemons of the deployment share.
        key: Secret = Secret::default();
        /// File that holds the shared key.
        key_file: String = String::new();
    }
    /// Administration.
    Admin {
        /// Key of the admin API.
        key: Secret = Secret::default();
    }
    /// Limits on the requests of callers.
    Limits {
        /// Largest body of a request.
        body_bytes: usize = 8 * 1024 * 1024;
        /// Time for the head of a request to arrive, and for a connection to stay idle.
        @"humantime_serde" header_timeout: Duration = Duration::from_secs(10);
        /// Time for the body of a request to arrive.
        @"humantime_serde" body_timeout: Duration = Duration::from_secs(30);
        /// Largest number of requests in the daemon at once, queued or running.
        queue: usize = 10_000;
    }
    /// Prefix chain.
    Chain {
        /// Size of the pieces into which long messages are split.
        piece_bytes: usize = 16_000;
    }
    /// Request policy.
    Policy {
        /// Name of the policy.
        name: String = "jaystand".to_owned();
    }
    /// Engine orders.
    Orders {
        /// Largest number of engines that load weights at once. More would slow each other down.
        max_loading: usize = 2;
    }
    /// Shutdown.
    Shutdown {
        /// How long the daemon accepts requests after it has reported not ready.
        @"humantime_serde" lame_duck: Duration = Duration::from_secs(5);
        /// How long running requests may take to finish.
        @"humantime_serde" drain: Duration = Duration::from_secs(300);
    }
    /// Log.
    Log {
        /// Least severe level that is logged.
        level: String = "info".to_owned();
    }
    /// Export of traces. An empty endpoint means that none are exported.
    Trace {
        /// OTLP collector, as `http://host:port`.
        endpoint: String = String::new();
        /// Share of requests to trace, from 0 to 1.
        sample: f64 = 0.01;
    }
}

/// Returns the default settings as TOML.
pub(super) fn defaults() -> String {
    // Cannot fail, because the settings hold only strings, numbers and tables.
    toml::to_string_pretty(&Settings::default()).unwrap_or_default()
}

/// Parses the file. Unknown keys and values of the wrong type become faults. A key with a faulty value keeps its
/// default, so that the check goes on.
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
        host: reader.read_section(&mut table, "host", Host::KEYS),
        listen: reader.read_section(&mut table, "listen", Listen::KEYS),
        platform: reader.read_section(&mut table, "platform", Platform::KEYS),
        peers: reader.read_section(&mut table, "peers", Peers::KEYS),
        admin: reader.read_section(&mut table, "admin", Admin::KEYS),
        limits: reader.read_section(&mut table, "limits", Limits::KEYS),
        chain: reader.read_section(&mut table, "chain", Chain::KEYS),
        policy: reader.read_section(&mut table, "policy", Policy::KEYS),
        orders: reader.read_section(&mut table, "orders", Orders::KEYS),
        shutdown: reader.read_section(&mut table, "shutdown", Shutdown::KEYS),
        log: reader.read_section(&mut table, "log", Log::KEYS),
        trace: reader.read_section(&mut table, "trace", Trace::KEYS),
        bootstrap: reader.read_bootstrap(&mut table),
    };
    for key in table.keys() {
        reader.record_unknown(key, Settings::KEYS);
    }
    Ok((settings, faults))
}

/// Reads sections from the parsed file and collects the faults.
struct Reader<'a> {
    file: &'a str,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn read_section<T: DeserializeOwned + Default>(
        &mut self,
        table: &mut toml::Table,
        name: &str,
        keys: &[&str],
    ) -> T {
        let Some(value) = table.remove(name) else {
            return T::default();
        };
        let toml::Value::Table(section) = value else {
            self.record_fault(name, "is not a section", &format!("write [{name}]"));
            return T::default();
        };
        let mut valid = toml::Table::new();
        for (key, value) in section {
            let path = format!("{name}.{key}");
            if !keys.contains(&key.as_str()) {
                self.record_unknown(&path, keys);
                continue;
            }
            let single = toml::Table::from_iter([(key.clone(), value.clone())]);
            match single.try_into::<T>() {
                Ok(_) => {
                    valid.insert(key, value);
                }
                Err(error) => {
                    let problem = error.message().to_owned();
                    self.record_fault(&path, &problem, "see --print-defaults for the form");
                }
            }
        }
        valid.try_into().unwrap_or_default()
    }

    fn read_bootstrap(&mut self, table: &mut toml::Table) -> String {
        match table.remove("bootstrap") {
            None => String::new(),
            Some(toml::Value::String(path)) => path,
            Some(_) => {
                self.record_fault("bootstrap", "is not a string", "write the path of a file");
                String::new()
            }
        }
    }

    fn record_unknown(&mut self, path: &str, known: &[&str]) {
        let remedy = format!("remove it, or use one of: {}", known.join(", "));
        self.record_fault(path, "is not a known key", &remedy);
    }

    fn record_fault(&mut self, path: &str, problem: &str, remedy: &str) {
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
