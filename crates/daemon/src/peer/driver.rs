//! Rounds of gossip, and what their results call for: fetching copies and telling urgent changes at once.

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
const ROUND: Duration = Duration::from_secs(1);
/// Shortest time between two urgent tellings; bounds their traffic under a storm of marks.
const URGENT_GAP: Duration = Duration::from_millis(100);

/// Exchanges with random peers each second.
pub(super) async fn rounds(shared: Arc<Shared>) {
    // Daemons that started together spread their rounds over the second.
    let phase = ROUND.mul_f64(shared.rng.lock().random());
    let timer = shared.timer.clone();
    timer.wake_at(timer.now() + phase).tick().await;
    let mut ticks = timer.every(ROUND);
    loop {
        let now = ticks.tick().await;
        let targets = {
            let mut gossip = shared.gossip.lock();
            gossip.tick(now);
            gossip.members.round_targets(&mut *shared.rng.lock())
        };
        retire_channels(&shared);
        for target in targets {
            let shared = Arc::clone(&shared);
            // A slow peer must not delay the others, and its call ends by its deadline.
            tokio::spawn(async move { exchange(&shared, &target).await });
        }
        shared.announce();
    }
}

/// Tells urgent changes as they happen.
pub(super) async fn urgent(shared: Arc<Shared>) {
    loop {
        shared.urgent.notified().await;
        tell(&shared).await;
        let timer = &shared.timer;
        timer.wake_at(timer.now() + URGENT_GAP).tick().await;
    }
}

/// Exchanges with a few peers now.
pub(super) async fn tell(shared: &Arc<Shared>) {
    let targets = {
        let gossip = shared.gossip.lock();
        gossip.members.urgent_targets(&mut *shared.rng.lock())
    };
    join_all(targets.iter().map(|target| exchange(shared, target))).await;
}

/// Asks the seeds for members and configuration. Returns once one of them has answered.
pub(super) async fn join(shared: &Arc<Shared>, seeds: &[SocketAddr]) {
    let own = shared.gossip.lock().members.own_entry().address;
    let others = seeds.iter().copied().filter(|seed| *seed != own);
    let asked: Vec<_> = others
        .map(|seed| {
            Box::pin(async move {
                let fetched = fetch(shared, seed, true, true).await;
                fetched.then_some(()).ok_or(())
            })
        })
        .collect();
    if !asked.is_empty() {
        let _ = futures::future::select_ok(asked).await;
    }
}

/// Keeps the gossiped configuration version in step with the one in force.
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

/// Starts what a received digest calls for.
pub(super) fn act(shared: &Arc<Shared>, peer: SocketAddr, received: Received) {
    if received.urgent {
        shared.urgent.notify_one();
    }
    let document = received.fetch_config && !shared.fetching.swap(true, Ordering::Relaxed);
    if document || received.fetch_table {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            fetch(&shared, peer, document, received.fetch_table).await;
            if document {
                shared.fetching.store(false, Ordering::Relaxed);
            }
        });
    }
    shared.announce();
}

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
        shared.counts.drop("malformed");
        return;
    };
    let received = shared.gossip.lock().receive(now, reply);
    match received {
        Ok(mut received) => {
            // A seed that was not known as a member may know others that are not known either.
            received.fetch_table |= name.is_none();
            act(shared, target.address, received);
        }
        Err(_) => shared.counts.drop("stale"),
    }
}

/// Fetches copies from a peer; `true` when it answered.
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
        apply(shared, peer, &reply.document);
    }
    if !reply.table.is_empty() {
        match copy::read_table(&reply.table) {
            Ok(table) => {
                let now = shared.timer.now();
                shared
                    .gossip
                    .lock()
                    .receive_table(now, table.members, table.marks);
                shared.announce();
            }
            Err(error) => unusable(shared, peer, &error),
        }
    }
    true
}

fn apply(shared: &Shared, peer: SocketAddr, copy: &[u8]) {
    match copy::read_document(copy) {
        Ok(document) => {
            let version = document.version;
            if let Offered::Rejected(faults) = shared.store.offer(document) {
                log::error!("configuration {version} of peer {peer} was rejected: {faults}");
                shared.counts.drop("malformed");
            }
        }
        Err(error) => unusable(shared, peer, &error),
    }
}

fn unusable(shared: &Shared, peer: SocketAddr, error: &copy::Unusable) {
    log::warn!("a copy from peer {peer} was dropped: {error}");
    shared.counts.drop("malformed");
}

/// Closes connections to daemons that have gone.
fn retire_channels(shared: &Shared) {
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
