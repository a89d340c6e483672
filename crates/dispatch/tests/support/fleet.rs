//! Simulated hosts that place requests on engines and report their loads to each other, in virtual time.

use std::time::Duration;

use jaystand_dispatch::{
    ServerKey, ServiceName,
    config::Engine,
    directory::Directory,
    estimate::{Estimate, Sample},
    holdings::Holdings,
    load::{Load, Peers},
    placement::{Choice, Query, Store, View},
    prompt::{Prompt, Salt},
    reach::Reach,
    weights::{Settings, Versions},
};
use jaystand_types::{DataCentre, Moment};

use rand::{Rng, seq::IteratorRandom as _};

use super::{engine, ms};

/// Servers whose times a report names, as in the gateway.
const MAX_SPEEDS: usize = 32;

/// Measured and expected time of a host's requests at a server.
type Times = (Duration, Duration);

/// The state of one host.
#[derive(Clone, Default)]
pub struct Host {
    pub directory: Directory,
    pub peers: Peers<usize>,
    pub holdings: Holdings,
    pub estimate: Option<Estimate>,
}

impl Host {
    /// Creates a host that knows this number of engines.
    pub fn new(engines: u16) -> Self {
        let mut host = Self {
            directory: super::directory(),
            ..Self::default()
        };
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

    /// Adds the load of a request to its server.
    pub fn send(&mut self, server: ServerKey, load: Load) {
        let server = self.directory.get_mut(server).expect("known");
        server.load.add(load);
        if let Some(estimate) = &mut self.estimate {
            estimate.record_sent(&server.entry.service, load);
        }
    }

    /// Records the time to a first token.
    pub fn observe(&mut self, now: Moment, server: ServerKey, took: Duration, expected: Duration) {
        let server = self.directory.get_mut(server).expect("known");
        if let Some(estimate) = &mut self.estimate {
            let service = &server.entry.service;
            estimate.record_time(now, service, &mut server.speed, took, expected);
        }
        let base = expected.as_secs_f64() / server.health.slowdown(now);
        let ratio = took.as_secs_f64() / base.max(1e-3);
        server.health.observe_slowdown(ratio);
    }

    /// Returns the times of a report, which names some random servers.
    pub fn speeds(&self, now: Moment, random: &mut impl Rng) -> Vec<(ServerKey, Times)> {
        let servers = self.directory.iter();
        let times = servers.filter_map(|s| Some((s.key, s.speed.to_report(now)?)));
        // The directory iterates in an order of its own in each run.
        let mut times: Vec<_> = times.collect();
        times.sort_unstable();
        times.into_iter().sample(random, MAX_SPEEDS)
    }

    /// Applies the times of another host's report.
    pub fn merge(&mut self, now: Moment, speeds: &[(ServerKey, Times)]) {
        for (key, (took, expected)) in speeds {
            let server = self.directory.get_mut(*key).expect("known");
            server.speed.merge(now, *took, *expected);
        }
    }

    /// Does what is due at each report.
    pub fn tick(&mut self, now: Moment, hosts: usize) {
        self.peers.expire(now, hosts);
        if let Some(estimate) = &mut self.estimate {
            let servers = self.directory.iter();
            estimate.observe(
                now,
                servers.map(|server| Sample {
                    service: &server.entry.service,
                    own: server.load.active,
                    others: self.peers.total(server.key).active,
                }),
            );
        }
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
        self.place_avoiding(now, host, holdings, call, prompt, &[])
    }

    /// Places a request of the plain service `desk` by the state of a host.
    pub fn place_plain(&self, now: Moment, host: &Host, call: u64) -> Choice {
        let view = View {
            directory: &host.directory,
            peers: &host.peers,
            versions: &self.versions,
            holdings: &host.holdings,
            stores: &[] as &[Store],
            reach: &self.reach,
            data_centre: &self.home,
            estimate: host.estimate.as_ref(),
        };
        let query = Query {
            call,
            service: &"desk".into(),
            engine: None,
            prompt: None,
            avoid: &[],
        };
        view.choose(now, &query).expect("a server")
    }

    /// Does the same without some servers.
    pub fn place_avoiding(
        &self,
        now: Moment,
        host: &Host,
        holdings: &Holdings,
        call: u64,
        prompt: &Prompt,
        avoid: &[ServerKey],
    ) -> Choice {
        let view = View {
            directory: &host.directory,
            peers: &host.peers,
            versions: &self.versions,
            holdings,
            stores: &[] as &[Store],
            reach: &self.reach,
            data_centre: &self.home,
            estimate: host.estimate.as_ref(),
        };
        let query = Query {
            call,
            service: &self.service,
            engine: Some(&self.engine),
            prompt: Some((prompt, &self.salt)),
            avoid,
        };
        view.choose(now, &query).expect("a server")
    }
}
