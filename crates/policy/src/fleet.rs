//! Changes of the fleet: new configurations, leaving and returning servers, unreachable data centres, and the
//! comparison of peers.

use std::sync::Arc;

use hashbrown::HashMap;
use jaystand_types::{DataCentre, Moment, RequestId, ServerId};

use crate::{
    Action, Router, Strategy,
    active::{ActiveRequest, Phase},
    backend::{Backend, PeerMedians},
    candidates::ServerSummary,
    health::State,
    server,
    timer::Due,
};

/// Share of a model's servers that may be ejected or on probation at once.
const MAX_EJECTED_SHARE: f64 = 0.3;

impl Router {
    /// Replaces the servers. Those with the same name as before keep their state.
    pub(crate) fn adopt_servers(&mut self, now: Moment, specs: Vec<server::Spec>) {
        let old = std::mem::take(&mut self.backends);
        let mut kept: HashMap<_, _> = HashMap::with_capacity(old.len());
        for (index, backend) in old.into_iter().enumerate() {
            kept.insert(backend.spec.name.clone(), (index, backend));
        }
        let mut new_ids: HashMap<ServerId, ServerId> = HashMap::with_capacity(specs.len());
        for (index, spec) in specs.into_iter().enumerate() {
            let mut backend = match kept.remove(&spec.name) {
                Some((old, mut backend)) => {
                    new_ids.insert(server_id(old), server_id(index));
                    backend.update_spec(spec, &self.settings);
                    backend
                }
                None => Backend::new(spec, &self.settings, self.daemons),
            };
            backend.queue.drain();
            backend.reachable = !self.cut_off.contains(&backend.spec.data_centre);
            self.backends.push(backend);
        }
        self.number_models();
        self.update_all_summaries(now);
        self.queued = 0;
        self.queued_servers.clear();
        self.observations
            .remap(|server| new_ids.get(&server).copied());
        self.remap_active_requests(now, &new_ids);
        self.compare_peers(now);
    }

    /// Replaces the server ids in all active requests. Those that were queued are routed again with the next event.
    fn remap_active_requests(&mut self, now: Moment, new_ids: &HashMap<ServerId, ServerId>) {
        // Requests of one rule share a list, so lists are keyed by address. The old lists are kept until the loop ends,
        // so that no address is reused.
        let mut lists: HashMap<*const ServerId, [Arc<[ServerId]>; 2]> = HashMap::new();
        let mut waiting: Vec<(u64, RequestId)> = Vec::new();
        for (id, active) in &mut self.active_requests {
            let key = active.request.servers.as_ptr();
            let [_, list] = lists.entry(key).or_insert_with(|| {
                let old = Arc::clone(&active.request.servers);
                let kept = old.iter().filter_map(|server| new_ids.get(server).copied());
                let new = kept.collect();
                [old, new]
            });
            active.request.servers = Arc::clone(list);
            remap_active_request(active, new_ids);
            if let Phase::Queued(_) = active.phase {
                active.phase = Phase::Backoff;
                waiting.push((active.sequence, *id));
            }
        }
        waiting.sort_unstable();
        for (_, id) in waiting {
            self.timers.push(now, Due::Retry(id));
        }
    }

    /// Assigns the same number to all servers of a model.
    fn number_models(&mut self) {
        let mut numbers = HashMap::new();
        for backend in &mut self.backends {
            let next = numbers.len();
            backend.model_index = *numbers.entry(backend.spec.model.clone()).or_insert(next);
        }
    }

    /// Marks a server as leaving or as accepting work again.
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
        self.update_summary(now, server);
        if leaving {
            self.reroute_queue(now, server, actions);
        } else {
            let backend = &mut self.backends[server as usize];
            backend.paused_until = Moment::ZERO;
            backend.connect_failures = 0;
            self.dispatch_waiting(now, server, actions);
        }
    }

    /// Marks a data centre as reachable or not, and reroutes the queues of unreachable servers.
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
        self.update_all_summaries(now);
        self.cut_off.retain(|known| *known != data_centre);
        if !reachable {
            self.cut_off.push(data_centre);
        }
        for server in self.queued_servers.clone() {
            if !self.backends[server as usize].reachable {
                self.reroute_queue(now, server, actions);
            }
        }
    }

    /// Ejects a server that is much slower than its peers, within the limit on ejected servers.
    pub(crate) fn eject_if_slow(&mut self, now: Moment, server: ServerId) {
        if self.settings.strategy != Strategy::Jaystand {
            return;
        }
        self.update_summary(now, server);
        let backend = &self.backends[server as usize];
        if !backend.health.should_eject(now, backend.peers.slowness) {
            return;
        }
        let model = backend.model_index;
        let peers = self
            .backends
            .iter()
            .filter(|peer| peer.model_index == model);
        let (mut total, mut ejected) = (0_u32, 0_u32);
        for peer in peers {
            total += 1;
            ejected += u32::from(peer.health.state() != State::Healthy);
        }
        if f64::from(ejected + 1) <= f64::from(total) * MAX_EJECTED_SHARE {
            self.backends[server as usize].health.eject(now);
            self.update_summary(now, server);
        }
    }

    /// Updates the summary of a server after a change.
    pub(crate) fn update_summary(&mut self, now: Moment, server: ServerId) {
        self.summaries[server as usize] = ServerSummary::new(now, &self.backends[server as usize]);
    }

    fn update_all_summaries(&mut self, now: Moment) {
        self.summaries.clear();
        self.summaries.extend(
            self.backends
                .iter()
                .map(|backend| ServerSummary::new(now, backend)),
        );
    }

    /// Updates the medians of each model, and puts servers on probation whose ejection has ended.
    pub(crate) fn compare_peers(&mut self, now: Moment) {
        let models = self
            .backends
            .iter()
            .map(|b| b.model_index + 1)
            .max()
            .unwrap_or(0);
        for model in 0..models {
            let members = || self.backends.iter().filter(|b| b.model_index == model);
            let peers = PeerMedians {
                overhead: median(members().map(|b| b.latency.overhead())),
                prefill: median(members().map(|b| b.latency.prefill_per_token())),
                token: median(members().map(|b| b.latency.token_interval())),
                slowness: median(members().map(|b| b.health.slowness(now))),
            };
            for backend in self.backends.iter_mut().filter(|b| b.model_index == model) {
                backend.peers = peers;
                backend.latency.drift(peers.overhead, peers.prefill);
                backend.health.start_due_probation(now);
            }
        }
        self.update_all_summaries(now);
        let is_on_probation =
            |backend: &&Backend| matches!(backend.health.state(), State::Probation { .. });
        self.on_probation = self.backends.iter().filter(is_on_probation).count();
    }
}

fn remap_active_request(active: &mut ActiveRequest, new_ids: &HashMap<ServerId, ServerId>) {
    for running in &mut active.attempts {
        match new_ids.get(&running.server) {
            Some(server) if !running.detached => running.server = *server,
            _ => running.detached = true,
        }
    }
    let kept = active.avoid.iter().filter_map(|s| new_ids.get(s).copied());
    active.avoid = kept.collect();
    active.next_attempt.resume_on = active
        .next_attempt
        .resume_on
        .and_then(|s| new_ids.get(&s).copied());
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
