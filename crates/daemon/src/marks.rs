//! The `marks` plug-in: tells the router which backend servers are leaving, and reads the platform's host list
//! on the daemons that watch it.

use std::{sync::Arc, time::Duration};

use jaystand_kernel::{
    Kernel,
    plugin::{Running, Stage, Started},
};
use jaystand_platform::Client;

use crate::{backend::Backend, hub::Hub, peer::Peers, platform};

/// Time between two looks at the view; a leaving server must get no new work after 3 s.
const PERIOD: Duration = Duration::from_millis(500);
/// Time between two readings of the host list: 24 watchers at the target size make 5 reads a second.
const HOSTS_PERIOD: Duration = Duration::from_secs(5);

jaystand_kernel::register!("marks", Stage::Work, start);

async fn start(kernel: Kernel) -> Started {
    let peers = kernel.require::<Peers>()?;
    let hub = kernel.require::<Hub>()?;
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(follow(kernel.clone(), hub, Arc::clone(&peers)));
    // Without a platform there is no host list.
    if let Some(client) = platform::client(&kernel)? {
        tasks.spawn(read_hosts(kernel, client, peers));
    }
    Ok(Running::until(async move { tasks.shutdown().await }))
}

/// Passes marks on to the router, and what the router's own connections have seen to the other daemons.
async fn follow(kernel: Kernel, hub: Arc<Hub>, peers: Arc<Peers>) {
    let mut view = peers.subscribe();
    let mut ticks = kernel.timer().every(PERIOD);
    loop {
        let configured = hub.configured();
        for backend in configured.iter().flat_map(|it| it.backends.iter()) {
            pass_on(&hub, &peers, backend);
        }
        tokio::select! {
            _ = ticks.tick() => {}
            changed = view.changed() => if changed.is_err() { return },
        }
    }
}

fn pass_on(hub: &Hub, peers: &Peers, backend: &Arc<Backend>) {
    let name = &backend.server.name;
    if backend.is_leaving() && !peers.is_leaving(name) {
        match backend.incarnation() {
            Some(run) => peers.saw_engine(name, run, true),
            // Nobody could tell when a run without an identity has ended, so it stays known here only.
            None => return,
        }
    }
    hub.set_leaving(backend, peers.is_leaving(name));
}

async fn read_hosts(kernel: Kernel, client: Arc<Client>, peers: Arc<Peers>) {
    let mut ticks = kernel.timer().every(HOSTS_PERIOD);
    loop {
        ticks.tick().await;
        if !peers.is_watcher() {
            continue;
        }
        match client.hosts().await {
            Ok(hosts) => peers.saw_hosts(&hosts),
            Err(error) => log::debug!("the host list could not be read: {error}"),
        }
    }
}
