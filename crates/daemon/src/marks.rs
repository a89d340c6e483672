//! The `marks` plug-in: tells the router which backend servers are leaving. On daemons that watch the platform, it also
//! reads the host list and stores the operators' marks in a platform object, so that the marks survive a restart of all
//! daemons at once.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use jaystand_control::mark::{Cause, Mark};
use jaystand_kernel::{
    Kernel,
    plugin::{Running, Stage, StartResult},
};
use jaystand_platform::{Client, Error};
use serde::{Deserialize, Serialize};

use crate::{backend::Backend, hub::Hub, peer::Peers, platform};

/// Time between two updates of the router. A leaving server must get no new work after 3 s.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);
/// Time between two reads of the host list and of the stored marks. A server that the list calls leaving must get no
/// new work after 3 s. At the target size, 24 watchers make 24 reads a second.
const PLATFORM_PERIOD: Duration = Duration::from_secs(2);
/// Kind and name of the object that holds the operators' marks.
const OBJECT: (&str, &str) = ("mark", "drained");

jaystand_kernel::register!("marks", Stage::Work, start);

async fn start(kernel: Kernel) -> StartResult {
    let peers = kernel.require::<Peers>()?;
    let hub = kernel.require::<Hub>()?;
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(update_router(kernel.clone(), hub, Arc::clone(&peers)));
    // Without a platform there is neither a host list nor an object for the marks.
    if let Some(client) = platform::client(&kernel)? {
        tasks.spawn(sync_with_platform(kernel, client, peers));
    }
    Ok(Running::with_shutdown(
        async move { tasks.shutdown().await },
    ))
}

/// Passes marks to the router, and shares with the other daemons which servers announced on this daemon's connections
/// that they leave.
async fn update_router(kernel: Kernel, hub: Arc<Hub>, peers: Arc<Peers>) {
    let mut view = peers.subscribe();
    let mut ticks = kernel.timer().every(UPDATE_PERIOD);
    loop {
        let configured = hub.configured();
        for backend in configured
            .iter()
            .flat_map(|configured| configured.backends.iter())
        {
            update_backend(&hub, &peers, backend);
        }
        tokio::select! {
            _ = ticks.tick() => {}
            changed = view.changed() => if changed.is_err() { return },
        }
    }
}

fn update_backend(hub: &Hub, peers: &Peers, backend: &Arc<Backend>) {
    let name = &backend.server.name;
    // Only an announcement by the server itself is shared. If marks that the router already has were shared as well, an
    // undrained server would stay marked.
    if backend.has_unreported_leaving() {
        match backend.incarnation() {
            Some(run) => peers.observe_engine(name, run, true),
            // No daemon could tell when a run without an incarnation has ended, so the announcement is not shared.
            None => return,
        }
        backend.set_unreported_leaving(false);
    }
    hub.set_leaving(backend, peers.is_leaving(name));
}

/// Reads the host list and synchronises the operators' marks in rounds, while this daemon is a watcher.
async fn sync_with_platform(kernel: Kernel, client: Arc<Client>, peers: Arc<Peers>) {
    let mut ticks = kernel.timer().every(PLATFORM_PERIOD);
    loop {
        if peers.is_watcher() {
            match client.hosts().await {
                Ok(hosts) => peers.observe_hosts(&hosts),
                Err(error) => log::debug!("the host list could not be read: {error}"),
            }
            if let Err(error) = sync_operator_marks(&client, &peers).await {
                log::debug!("the operators' marks could not be synchronised: {error}");
            }
        }
        ticks.tick().await;
    }
}

/// An operator's mark as it is stored on the platform.
#[derive(Debug, Serialize, Deserialize)]
struct Drained {
    server: CompactString,
    stamp: u64,
    leaving: bool,
}

/// Merges the operators' marks from the platform, and writes them back if this daemon knows newer ones.
pub(crate) async fn sync_operator_marks(client: &Client, peers: &Peers) -> Result<(), Error> {
    let (kind, name) = OBJECT;
    let found = client.get(kind, name).await?;
    let stored: Vec<Drained> = match &found {
        Some(object) => serde_json::from_slice(&object.value).map_err(|_| Error::Malformed)?,
        None => Vec::new(),
    };
    let stored: Vec<Mark> = stored.into_iter().map(Mark::from).collect();
    peers.merge_marks(stored.clone());
    let known = peers.operator_marks();
    if known == stored {
        return Ok(());
    }
    let value: Vec<Drained> = known.into_iter().map(Drained::from).collect();
    let value = serde_json::to_vec(&value).map_err(|_| Error::Malformed)?;
    let expected = found.map(|object| object.version);
    // After a conflict or a lost answer, the next round reads the object again.
    client
        .put(kind, name, expected.into(), value.into())
        .await?;
    Ok(())
}

impl From<Drained> for Mark {
    fn from(drained: Drained) -> Self {
        Self {
            subject: drained.server,
            cause: Cause::Operator,
            stamp: drained.stamp,
            leaving: drained.leaving,
        }
    }
}

impl From<Mark> for Drained {
    fn from(mark: Mark) -> Self {
        Self {
            server: mark.subject,
            stamp: mark.stamp,
            leaving: mark.leaving,
        }
    }
}
