//! Simulated hosts that place requests on engines and report their loads to each other, in virtual time.

use jaystand_dispatch::{
    ServerKey, ServiceName,
    config::Engine,
    directory::Directory,
    holdings::Holdings,
    load::{Load, Peers},
    placement::{Choice, Query, Store, View},
    prompt::{Prompt, Salt},
    reach::Reach,
    weights::{Settings, Versions},
};
use jaystand_types::{DataCentre, Moment};

use super::{engine, ms};

/// The state of one host.
#[derive(Default)]
pub struct Host {
    pub directory: Directory,
    pub peers: Peers<usize>,
    pub holdings: Holdings,
}

impl Host {
    /// Creates a host that knows this number of engines.
    pub fn new(engines: u16) -> Self {
        let mut host = Self::default();
        for number in 0..engines {
            host.directory.upsert(engine(number, 1));
        }
        host
    }

    /// Subtracts a load from a server.
    pub fn subtract(&mut self, server: ServerKey, load: Load) {
        let server = self.directory.get_mut(server).expect("known");
        server.load.subtract(load);
    }

    /// Adds the load of a choice to its server.
    pub fn add(&mut self, choice: &Choice) {
        let server = self.directory.get_mut(choice.server).expect("known");
        server.load.add(choice.load);
    }
}

/// Sends a report of each host's loads to all other hosts.
pub fn exchange_reports(now: Moment, hosts: &mut [Host]) {
    let loads: Vec<Vec<(ServerKey, Load)>> = hosts
        .iter()
        .map(|host| host.directory.iter().map(|s| (s.key, s.load)).collect())
        .collect();
    for (number, host) in hosts.iter_mut().enumerate() {
        for (peer, loads) in loads.iter().enumerate().filter(|(peer, _)| *peer != number) {
            host.peers.record_report(now, peer, loads.iter().copied());
        }
    }
}

/// The setting of all hosts: one data centre, one service of engines, one weights version, no store of cached parts.
pub struct Site {
    pub salt: Salt,
    service: ServiceName,
    engine: Engine,
    versions: Versions,
    reach: Reach,
    home: DataCentre,
}

impl Site {
    /// Creates a site whose engines have these slots and this capacity.
    pub fn new(slots: u32, memory_tokens: u64) -> Self {
        Self {
            salt: Salt::default(),
            service: "lm".into(),
            engine: Engine {
                slots,
                memory_tokens,
                models: vec!["reef".into()],
            },
            versions: Versions::new(Settings {
                preferred_after: ms(1_300),
                required_after: ms(14_400),
            }),
            reach: Reach::default(),
            home: "a".into(),
        }
    }

    /// Places a request by the state of a host, with these holdings.
    pub fn place(
        &self,
        now: Moment,
        host: &Host,
        holdings: &Holdings,
        call: u64,
        prompt: &Prompt,
    ) -> Choice {
        let view = View {
            directory: &host.directory,
            peers: &host.peers,
            versions: &self.versions,
            holdings,
            stores: &[] as &[Store],
            reach: &self.reach,
            data_centre: &self.home,
        };
        let query = Query {
            call,
            service: &self.service,
            engine: Some(&self.engine),
            prompt: Some((prompt, &self.salt)),
            avoid: &[],
        };
        view.choose(now, &query).expect("a server")
    }
}
