//! Changes of the fleet: configuration, leaving and returning servers, data centres, and comparison of peers.

use std::sync::Arc;

use hashbrown::HashMap;
use jaystand_types::{DataCentre, Moment, RequestId, ServerId};

use crate::{
    Action, Router, Strategy,
    backend::{Backend, Peers},
    candidates::Rank,
    flight::{Flight, Phase},
    health::State,
    server,
    timer::Due,
};

/// Part of a model's servers that may be ejected at once.
const EJECTED_PART: f64 = 0.3;

impl Router {
    /// Replaces the servers, keeping what is known of those whose names stay.
    pub(crate) fn adopt_servers(&mut self, now: Moment, specs: Vec<server::Spec>) {
        let old = std::mem::take(&mut self.backends);
        let mut kept: HashMap<_, _> = HashMap::with_capacity(old.len());
        for (index, backend) in old.into_iter().enumerate() {
            kept.insert(backend.spec.name.clone(), (index, backend));
        }
        let mut renamed: HashMap<ServerId, ServerId> = HashMap::with_capacity(specs.len());
        for (index, spec) in specs.into_iter().enumerate() {
            let mut backend = match kept.remove(&spec.name) {
                Some((old, mut backend)) => {
                    renamed.insert(server_id(old), server_id(index));
                    backend.respecify(spec, &self.settings);
                    backend
                }
                None => Backend::new(spec, &self.settings, self.daemons),
            };
            backend.queue.drain();
            backend.reachable = !self.cut_off.contains(&backend.spec.data_centre);
            self.backends.push(backend);
        }
        self.number_models();
        self.rank_all(now);
        self.queued = 0;
        self.waiting.clear();
        self.observations
            .remap(|server| renamed.get(&server).copied());
        self.remap_flights(now, &renamed);
        self.compare_peers(now);
    }

    /// Renames the servers of all requests; those that waited are placed again with the next event.
    fn remap_flights(&mut self, now: Moment, renamed: &HashMap<ServerId, ServerId>) {
        // The old lists are kept to the end of the loop, so that no address is used twice.
        let mut lists: HashMap<*const ServerId, [Arc<[ServerId]>; 2]> = HashMap::new();
        let mut waiting: Vec<(u64, RequestId)> = Vec::new();
        for (id, flight) in &mut self.flights {
            let key = flight.request.servers.as_ptr();
            let [_, list] = lists.entry(key).or_insert_with(|| {
                let old = Arc::clone(&flight.request.servers);
                let kept = old.iter().filter_map(|server| renamed.get(server).copied());
                let new = kept.collect();
                [old, new]
            });
            flight.request.servers = Arc::clone(list);
            remap_flight(flight, renamed);
            if let Phase::Queued(_) = flight.phase {
                flight.phase = Phase::Backoff;
                waiting.push((flight.sequence, *id));
            }
        }
        waiting.sort_unstable();
        for (_, id) in waiting {
            self.timers.push(now, Due::Retry(id));
        }
    }

    fn number_models(&mut self) {
        let mut numbers = HashMap::new();
        for backend in &mut self.backends {
            let next = numbers.len();
            backend.model = *numbers.entry(backend.spec.model.clone()).or_insert(next);
        }
    }

    /// A server leaves or takes work again.
    pub(crate) fn set_leaving(
        &mut self,
        now: Moment,
        server: ServerId,
        leaving: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backends.get_mut(server as usize) else {
            return;
        };
        backend.leaving = leaving;
        self.rank(now, server);
        if leaving {
            self.replace_queue(now, server, actions);
        } else {
            let backend = &mut self.backends[server as usize];
            backend.cooling = Moment::ZERO;
            backend.strikes = 0;
            self.pump(now, server, actions);
        }
    }

    /// A data centre is cut off or joined again.
    pub(crate) fn set_reachable(
        &mut self,
        now: Moment,
        data_centre: DataCentre,
        reachable: bool,
        actions: &mut Vec<Action>,
    ) {
        for backend in &mut self.backends {
            if backend.spec.data_centre == data_centre {
                backend.reachable = reachable;
            }
        }
        self.rank_all(now);
        self.cut_off.retain(|known| *known != data_centre);
        if !reachable {
            self.cut_off.push(data_centre);
        }
        for server in self.waiting.clone() {
            if !self.backends[server as usize].reachable {
                self.replace_queue(now, server, actions);
            }
        }
    }

    /// Ejects a server that is much slower than its peers, within the limit on ejected servers.
    pub(crate) fn eject_if_slow(&mut self, now: Moment, server: ServerId) {
        if self.settings.strategy != Strategy::Jaystand {
            return;
        }
        self.rank(now, server);
        let backend = &self.backends[server as usize];
        if !backend.health.should_eject(now, backend.peers.slowness) {
            return;
        }
        let model = backend.model;
        let peers = self.backends.iter().filter(|peer| peer.model == model);
        let (mut total, mut ejected) = (0_u32, 0_u32);
        for peer in peers {
            total += 1;
            ejected += u32::from(peer.health.state() != State::Open);
        }
        if f64::from(ejected + 1) <= f64::from(total) * EJECTED_PART {
            self.backends[server as usize].health.eject(now);
            self.rank(now, server);
        }
    }

    /// Brings a server's rank in step.
    pub(crate) fn rank(&mut self, now: Moment, server: ServerId) {
        self.ranks[server as usize] = Rank::new(now, &self.backends[server as usize]);
    }

    fn rank_all(&mut self, now: Moment) {
        self.ranks.clear();
        self.ranks
            .extend(self.backends.iter().map(|backend| Rank::new(now, backend)));
    }

    /// Updates what each server knows of its model's other servers, and lets ejected ones be probed.
    pub(crate) fn compare_peers(&mut self, now: Moment) {
        let models = self.backends.iter().map(|b| b.model + 1).max().unwrap_or(0);
        for model in 0..models {
            let members = || self.backends.iter().filter(|b| b.model == model);
            let peers = Peers {
                overhead: median(members().map(|b| b.latency.overhead())),
                prefill: median(members().map(|b| b.latency.prefill())),
                token: median(members().map(|b| b.latency.token())),
                slowness: median(members().map(|b| b.health.slowness(now))),
            };
            for backend in self.backends.iter_mut().filter(|b| b.model == model) {
                backend.peers = peers;
                backend.latency.drift(peers.overhead, peers.prefill);
                backend.health.advance(now);
            }
        }
        self.rank_all(now);
        let waits = |backend: &&Backend| matches!(backend.health.state(), State::Probation { .. });
        self.on_probation = self.backends.iter().filter(waits).count();
    }
}

fn remap_flight(flight: &mut Flight, renamed: &HashMap<ServerId, ServerId>) {
    for running in &mut flight.attempts {
        match renamed.get(&running.server) {
            Some(server) if !running.detached => running.server = *server,
            _ => running.detached = true,
        }
    }
    let kept = flight.avoid.iter().filter_map(|s| renamed.get(s).copied());
    flight.avoid = kept.collect();
    flight.next.resume_on = flight.next.resume_on.and_then(|s| renamed.get(&s).copied());
}

fn server_id(index: usize) -> ServerId {
    ServerId::try_from(index).unwrap_or(ServerId::MAX)
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return 0.0;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

#[cfg(test)]
mod tests;
