//! Runs the gossip rounds, sends urgent changes between rounds, and fetches copies that a digest shows to be missing.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::future::join_all;
use jaystand_control::{
    digest::{Config, Digest, Received, short_hash},
    member::{State, Target},
};
use jaystand_wire::peer::raw;
use rand::RngExt;

use super::{Shared, copy};
use crate::config::Offered;

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_secs(1);
/// Shortest time between two urgent exchanges. Limits their traffic when many marks change at once.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Exchanges digests with random peers in every round.
pub(super) async fn run_rounds(shared: Arc<Shared>) {
    // Daemons that start together spread their rounds over the period.
    let phase = ROUND_PERIOD.mul_f64(shared.rng.lock().random());
    let timer = shared.timer.clone();
    timer.wake_at(timer.now() + phase).tick().await;
    let mut ticks = timer.every(ROUND_PERIOD);
    loop {
        let now = ticks.tick().await;
        let targets = {
            let mut gossip = shared.gossip.lock();
            gossip.tick(now);
            gossip.members.round_targets(&mut *shared.rng.lock())
        };
        close_stale_channels(&shared);
        for target in targets {
            let shared = Arc::clone(&shared);
            // Spawned, because a slow peer must not delay the others. The deadline of the call ends the task.
            tokio::spawn(async move { exchange(&shared, &target).await });
        }
        shared.publish_revision();
    }
}

/// Sends urgent changes to peers as they happen.
pub(super) async fn send_urgent_changes(shared: Arc<Shared>) {
    loop {
        shared.urgent.notified().await;
        exchange_urgently(&shared).await;
        let timer = &shared.timer;
        timer
            .wake_at(timer.now() + MIN_URGENT_INTERVAL)
            .tick()
            .await;
    }
}

/// Exchanges digests with a few peers without waiting for the next round.
pub(super) async fn exchange_urgently(shared: &Arc<Shared>) {
    let targets = {
        let gossip = shared.gossip.lock();
        gossip.members.urgent_targets(&mut *shared.rng.lock())
    };
    join_all(targets.iter().map(|target| exchange(shared, target))).await;
}

/// Fetches members and configuration from all seeds, and returns once one of them has answered.
pub(super) async fn join(shared: &Arc<Shared>, seeds: &[SocketAddr]) {
    let own_address = shared.gossip.lock().members.own_entry().address;
    let others = seeds.iter().copied().filter(|seed| *seed != own_address);
    let fetches: Vec<_> = others
        .map(|seed| {
            Box::pin(async move {
                let fetched = fetch(shared, seed, true, true).await;
                fetched.then_some(()).ok_or(())
            })
        })
        .collect();
    if !fetches.is_empty() {
        let _ = futures::future::select_ok(fetches).await;
    }
}

/// Gossips the version of each configuration that comes into force.
pub(super) async fn follow_configuration(shared: Arc<Shared>) {
    let mut changes = shared.store.subscribe();
    loop {
        let active = changes.borrow_and_update().clone();
        if let Some(active) = active {
            let document = &active.document;
            let config = Config {
                version: document.version,
                hash: short_hash(document.hash().as_bytes()),
            };
            let servers = document.directory.servers.len();
            let version = i64::try_from(document.version).unwrap_or(i64::MAX);
            shared.counts.version.set(version);
            shared.gossip.lock().configure(config, servers);
            shared.urgent.notify_one();
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Starts the fetches and urgent exchanges that a received digest calls for.
pub(super) fn handle_received(shared: &Arc<Shared>, peer: SocketAddr, received: Received) {
    if received.urgent {
        shared.urgent.notify_one();
    }
    let fetch_document = received.fetch_config && !shared.fetching.swap(true, Ordering::Relaxed);
    if fetch_document || received.fetch_table {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            fetch(&shared, peer, fetch_document, received.fetch_table).await;
            if fetch_document {
                shared.fetching.store(false, Ordering::Relaxed);
            }
        });
    }
    shared.publish_revision();
}

/// Exchanges digests with one peer.
async fn exchange(shared: &Arc<Shared>, target: &Target) {
    let name = target.name.as_deref();
    let digest = shared.gossip.lock().build_digest(shared.timer.now(), name);
    let answer = shared
        .channels
        .exchange(target.address, digest.into())
        .await;
    let now = shared.timer.now();
    let reply = match answer {
        Ok(reply) => reply,
        Err(status) => {
            log::debug!("exchange with {} failed: {status}", target.address);
            if let Some(name) = name {
                shared.gossip.lock().members.record_failure(now, name);
            }
            return;
        }
    };
    let Ok(reply) = Digest::try_from(reply) else {
        shared.counts.record_dropped("malformed");
        return;
    };
    let received = shared.gossip.lock().receive(now, reply);
    match received {
        Ok(mut received) => {
            // A seed that was not yet a known member may know further unknown members.
            received.fetch_table |= name.is_none();
            handle_received(shared, target.address, received);
        }
        Err(_) => shared.counts.record_dropped("stale"),
    }
}

/// Fetches copies from a peer and applies them. Returns whether the peer answered.
async fn fetch(shared: &Arc<Shared>, peer: SocketAddr, document: bool, table: bool) -> bool {
    let request = raw::FetchRequest { document, table };
    let reply = match shared.channels.fetch(peer, request).await {
        Ok(reply) => reply,
        Err(status) => {
            log::debug!("fetching from {peer} failed: {status}");
            return false;
        }
    };
    if !reply.document.is_empty() {
        apply_document(shared, peer, &reply.document);
    }
    if !reply.table.is_empty() {
        match copy::decode_table(&reply.table) {
            Ok(table) => {
                let now = shared.timer.now();
                shared
                    .gossip
                    .lock()
                    .receive_table(now, table.members, table.marks);
                shared.publish_revision();
            }
            Err(error) => record_unusable(shared, peer, &error),
        }
    }
    true
}

fn apply_document(shared: &Shared, peer: SocketAddr, copy: &[u8]) {
    match copy::decode_document(copy) {
        Ok(document) => {
            let version = document.version;
            if let Offered::Rejected(faults) = shared.store.offer(document) {
                log::error!("configuration {version} of peer {peer} was rejected: {faults}");
                shared.counts.record_dropped("malformed");
            }
        }
        Err(error) => record_unusable(shared, peer, &error),
    }
}

fn record_unusable(shared: &Shared, peer: SocketAddr, error: &copy::Unusable) {
    log::warn!("a copy from peer {peer} was dropped: {error}");
    shared.counts.record_dropped("malformed");
}

/// Closes the connections to daemons that are gone.
fn close_stale_channels(shared: &Shared) {
    let gossip = shared.gossip.lock();
    let members: Vec<SocketAddr> = gossip
        .members
        .all()
        .filter(|entry| entry.state != State::Gone)
        .map(|entry| entry.address)
        .collect();
    drop(gossip);
    shared.channels.retain(|address| members.contains(address));
}
