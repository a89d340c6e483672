//! The two reference deployments, and the stand-ins, directory, routing sheet and daemon settings with which one runs
//! on loopback.

use std::{fmt::Write as _, io, net::SocketAddr, num::NonZeroU32, path::Path, time::Duration};

use compact_str::{CompactString, format_compact};
use jaystand_control::config::{Encoded, MAX_VALUE_BYTES, Object};
use jaystand_sheet::{Directory, Document, Fencing, Model, Server, ServerKind, Team};
use jaystand_types::{RepeatRule, Urgency};

use crate::{
    engine, ledger,
    platform::{self, Host},
};

/// Shared key of the daemons of a test deployment.
pub const PEER_KEY: &str = "peer-key-of-the-test-deployment";
/// Admin key of the daemons of a test deployment.
pub const ADMIN_KEY: &str = "admin-key-of-the-test-deployment";

const TEAM_NAMES: [&str; 8] = [
    "north", "harbour", "schools", "clinics", "marae", "south", "east", "west",
];
/// A few teams dominate: each of the first three has twice the weight of the next.
const TEAM_WEIGHTS: [u32; 8] = [8, 4, 2, 1, 1, 1, 1, 1];

/// A request kind of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Name, as in the routing sheet.
    pub name: &'static str,
    /// Whether it goes to the plain service instead of the model.
    pub service: bool,
    /// Urgency class.
    pub urgency: Urgency,
    /// Repeat rule: whether it may run more than once.
    pub repeat: RepeatRule,
    /// Target for the time to first token.
    pub first_token: Duration,
    /// Deadline of the whole answer.
    pub deadline: Duration,
    /// Expected answer length in tokens.
    pub tokens: u32,
}

/// Description of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Data centres.
    pub data_centres: [&'static str; 4],
    /// Model that its engines serve.
    pub model: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Name of the plain service, whose requests must run once.
    pub service: &'static str,
    /// Number of servers of that service.
    pub services: usize,
    /// Time to load weights while no more than `loading` engines load.
    pub load_time: Duration,
    /// Number of engines that can load at full speed at the same time.
    pub loading: usize,
    /// Request kinds: two urgent short ones, a normal one, a long background one, and one that runs once.
    pub kinds: [Kind; 5],
}

/// The running stand-ins of a deployment.
pub struct Fleet {
    /// The deployment that it was started from.
    pub deployment: Deployment,
    /// Engines, in directory order.
    pub engines: Vec<engine::Handle>,
    /// Servers of the plain service; they follow the engines in the directory.
    pub ledgers: Vec<ledger::Handle>,
    /// The platform.
    pub platform: platform::Handle,
}

/// Name, data centre and addresses of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Host name.
    pub name: String,
    /// Data centre.
    pub data_centre: &'static str,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Address of the listener for peers.
    pub peers: SocketAddr,
}

impl Deployment {
    /// Returns the deployment of Tanekaha Aquarium Builders Trust.
    #[must_use]
    pub fn tanekaha() -> Self {
        Self {
            name: "tanekaha",
            data_centres: ["akl-1", "akl-2", "akl-3", "akl-4"],
            model: "reef",
            engines: 20,
            service: "supplies",
            services: 4,
            load_time: Duration::from_secs(1),
            loading: 3,
            kinds: kinds([
                "leak-triage",
                "job-lookup",
                "tank-advice",
                "design-review",
                "order",
            ]),
        }
    }

    /// Returns the deployment of Registro Cumbre Cairn Hermanos.
    #[must_use]
    pub fn cumbre() -> Self {
        Self {
            name: "cumbre",
            data_centres: ["mza-1", "mza-2", "mza-3", "mza-4"],
            model: "cairn",
            engines: 10,
            service: "ledger",
            services: 4,
            load_time: Duration::from_millis(333),
            loading: 2,
            kinds: kinds([
                "permit-check",
                "ranger-summary",
                "clerk-question",
                "marker-history",
                "filing",
            ]),
        }
    }

    /// Returns the deployment with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "tanekaha" => Some(Self::tanekaha()),
            "cumbre" => Some(Self::cumbre()),
            _ => None,
        }
    }

    /// Returns the name of a team.
    #[must_use]
    pub fn team(index: usize) -> &'static str {
        TEAM_NAMES[index % TEAM_NAMES.len()]
    }

    /// Returns the API key of a team.
    #[must_use]
    pub fn team_key(index: usize) -> String {
        format!("key-of-{}", Self::team(index))
    }

    /// Returns the weights of the teams in the load.
    #[must_use]
    pub fn team_weights() -> [u32; 8] {
        TEAM_WEIGHTS
    }

    /// Starts the stand-ins on loopback. `tune` changes the settings of an engine by its index.
    ///
    /// # Errors
    /// Fails when an address cannot be bound.
    pub fn start(
        self,
        seed: u64,
        tune: impl Fn(usize, &mut engine::Settings),
    ) -> io::Result<Fleet> {
        let store = engine::WeightStore::new(self.loading);
        let start_engine = |index: usize| {
            let mut settings = engine::Settings {
                model: CompactString::const_new(self.model),
                seed: seed.wrapping_mul(1000).wrapping_add(index as u64),
                load_time: self.load_time,
                weight_store: store.clone(),
                // Half of the engines ignore fencing tokens.
                fencing: index.is_multiple_of(2),
                ..engine::Settings::default()
            };
            tune(index, &mut settings);
            engine::start(settings)
        };
        let engines = (0..self.engines)
            .map(start_engine)
            .collect::<io::Result<_>>()?;
        let ledgers = (0..self.services).map(|_| ledger::start(ledger::Settings::default()));
        let ledgers = ledgers.collect::<io::Result<_>>()?;
        let platform = platform::start(platform::Settings {
            seed,
            ..platform::Settings::default()
        })?;
        Ok(Fleet {
            deployment: self,
            engines,
            ledgers,
            platform,
        })
    }
}

impl Fleet {
    /// Returns the first configuration.
    #[must_use]
    pub fn document(&self) -> Document {
        Document {
            version: 1,
            parent: 0,
            sheet: self.sheet(),
            directory: self.directory(),
            author: "standin".to_owned(),
            note: "first configuration".to_owned(),
        }
    }

    /// Stores the first configuration and the host list on the platform.
    pub fn publish(&self, entries: &[Entry]) {
        let encoded = Encoded::new(&self.document(), MAX_VALUE_BYTES);
        let platform = self.platform.standin();
        for (name, part) in encoded.parts {
            let object = Object::Part(name);
            platform.set_object(object.kind(), &object.name(), part);
        }
        let current = Object::Current;
        platform.set_object(current.kind(), &current.name(), encoded.value);
        self.publish_hosts(entries);
    }

    /// Publishes a new host list: the daemons in `entries` and all backend servers.
    pub fn publish_hosts(&self, entries: &[Entry]) {
        let daemon = |entry: &Entry| Host {
            name: entry.name.clone(),
            address: entry.peers.to_string(),
            data_centre: entry.data_centre.to_owned(),
            state: "live".to_owned(),
            role: "daemon".to_owned(),
        };
        let backend = |server: &Server| Host {
            name: server.name.to_string(),
            address: server.address.to_string(),
            data_centre: server.data_centre.to_string(),
            state: "live".to_owned(),
            role: "backend".to_owned(),
        };
        let directory = self.directory();
        let hosts = entries.iter().map(daemon);
        let hosts = hosts.chain(directory.servers.iter().map(backend));
        self.platform.standin().set_hosts(hosts.collect());
    }

    /// Chooses free addresses for `count` daemons, spread over the data centres.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub fn entries(&self, count: usize) -> io::Result<Vec<Entry>> {
        // All ports stay bound until the last one is chosen, so that none is chosen twice.
        let mut listeners = Vec::new();
        let mut free_address = || -> io::Result<SocketAddr> {
            let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
            let address = listener.local_addr()?;
            listeners.push(listener);
            Ok(address)
        };
        let entry = |index: usize| {
            Ok(Entry {
                name: format!("entry-{}", index + 1),
                data_centre: self.deployment.data_centres[index % 4],
                callers: free_address()?,
                admin: free_address()?,
                peers: free_address()?,
            })
        };
        (0..count).map(entry).collect()
    }

    /// Returns the settings of one daemon as TOML. `bootstrap` is the file with the first configuration, for daemons
    /// that get none from the platform.
    #[must_use]
    pub fn settings(
        &self,
        entries: &[Entry],
        index: usize,
        policy: &str,
        bootstrap: &Path,
    ) -> String {
        let daemon = &entries[index];
        let seeds: Vec<String> = entries
            .iter()
            .filter(|entry| *entry != daemon)
            .map(|entry| format!("{:?}", entry.peers.to_string()))
            .collect();
        format!(
            "bootstrap = {:?}\n\n\
             [host]\nname = {:?}\ndata_centre = {:?}\ndeployment = {:?}\nregion = \"one\"\n\n\
             [listen]\ncallers = \"{}\"\nadmin = \"{}\"\npeers = \"{}\"\n\n\
             [platform]\naddress = \"{}\"\n\n\
             [peers]\nseeds = [{}]\nkey = {PEER_KEY:?}\n\n\
             [admin]\nkey = {ADMIN_KEY:?}\n\n\
             [policy]\nname = {policy:?}\n\n\
             [orders]\nmax_loading = {}\n\n\
             [shutdown]\nlame_duck = \"300ms\"\ndrain = \"30s\"\n\n\
             [log]\nlevel = \"warn\"\n",
            bootstrap.to_string_lossy(),
            daemon.name,
            daemon.data_centre,
            self.deployment.name,
            daemon.callers,
            daemon.admin,
            daemon.peers,
            self.platform.address(),
            seeds.join(", "),
            self.deployment.loading,
        )
    }

    /// Returns the name of an engine in the directory.
    #[must_use]
    pub fn engine_name(index: usize) -> CompactString {
        format_compact!("engine-{:02}", index + 1)
    }

    fn directory(&self) -> Directory {
        let deployment = &self.deployment;
        let data_centre =
            |index: usize| CompactString::const_new(deployment.data_centres[index % 4]);
        let engines = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| Server {
                name: Self::engine_name(index),
                address: engine.address(),
                data_centre: data_centre(index),
                kind: ServerKind::Engine,
                model: CompactString::const_new(deployment.model),
                weights_version: CompactString::const_new("v1"),
                fencing: if index.is_multiple_of(2) {
                    Fencing::Checked
                } else {
                    Fencing::Ignored
                },
                slots: non_zero(engine.standin().slots()),
            });
        let ledgers = self
            .ledgers
            .iter()
            .enumerate()
            .map(|(index, ledger)| Server {
                name: format_compact!("{}-{}", deployment.service, index + 1),
                address: ledger.address(),
                data_centre: data_centre(index),
                kind: ServerKind::Service,
                model: CompactString::const_new(deployment.service),
                weights_version: CompactString::default(),
                fencing: Fencing::Ignored,
                slots: non_zero(64),
            });
        let teams = TEAM_NAMES.iter().enumerate().map(|(index, name)| Team {
            name: CompactString::const_new(name),
            key_hash: blake3::hash(Deployment::team_key(index).as_bytes())
                .to_hex()
                .as_str()
                .into(),
            weight: non_zero(TEAM_WEIGHTS[index] as usize),
        });
        Directory {
            teams: teams.collect(),
            servers: engines.chain(ledgers).collect(),
            models: vec![Model {
                name: CompactString::const_new(deployment.model),
                weights_version: CompactString::const_new("v1"),
                serving_share: 50,
            }],
        }
    }

    fn sheet(&self) -> String {
        let mut sheet = "team,request kind,model or service,urgency,repeat rule,backend servers,\
                         max in flight,requests per minute,first token ms,deadline s,expected tokens\r\n"
            .to_owned();
        for team in TEAM_NAMES {
            for kind in &self.deployment.kinds {
                let target = if kind.service {
                    self.deployment.service
                } else {
                    self.deployment.model
                };
                let _ = write!(
                    sheet,
                    "{team},{},{target},{},{},*,,,{},{},{}\r\n",
                    kind.name,
                    kind.urgency,
                    kind.repeat,
                    kind.first_token.as_millis(),
                    kind.deadline.as_secs(),
                    kind.tokens,
                );
            }
        }
        sheet
    }
}

fn non_zero(number: usize) -> NonZeroU32 {
    u32::try_from(number)
        .ok()
        .and_then(NonZeroU32::new)
        .unwrap_or(NonZeroU32::MIN)
}

fn kinds(names: [&'static str; 5]) -> [Kind; 5] {
    let [triage, lookup, chat, long, once] = names;
    let kind = |name, urgency, first_token, deadline, tokens| Kind {
        name,
        service: false,
        urgency,
        repeat: RepeatRule::Repeatable,
        first_token: Duration::from_millis(first_token),
        deadline: Duration::from_secs(deadline),
        tokens,
    };
    [
        kind(triage, Urgency::Urgent, 340, 2, 6),
        kind(lookup, Urgency::Urgent, 340, 2, 8),
        kind(chat, Urgency::Normal, 1000, 3, 14),
        kind(long, Urgency::Background, 10_000, 60, 300),
        Kind {
            service: true,
            repeat: RepeatRule::Once,
            ..kind(once, Urgency::Normal, 1000, 10, 1)
        },
    ]
}
