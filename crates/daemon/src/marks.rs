//! The `marks` plug-in: tells the router which backend servers are leaving. On the daemons that watch the platform,
//! it also reads the host list and keeps the operators' marks in a platform object, so that they outlive a restart
//! of all daemons at once.

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

/// Time between two looks at the view; a leaving server must get no new work after 3 s.
const PERIOD: Duration = Duration::from_millis(500);
/// Time between two readings of host list and marks. A server that the list calls leaving must get no new work
/// after 3 s; 24 watchers at the target size make 24 reads a second.
const PLATFORM_PERIOD: Duration = Duration::from_secs(2);
/// Kind and name of the object that holds the operators' marks.
const OBJECT: (&str, &str) = ("mark", "drained");

jaystand_kernel::register!("marks", Stage::Work, start);

async fn start(kernel: Kernel) -> StartResult {
    let peers = kernel.require::<Peers>()?;
    let hub = kernel.require::<Hub>()?;
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(follow(kernel.clone(), hub, Arc::clone(&peers)));
    // Without a platform there is no host list.
    if let Some(client) = platform::client(&kernel)? {
        tasks.spawn(follow_platform(kernel, client, peers));
    }
    Ok(Running::with_shutdown(
        async move { tasks.shutdown().await },
    ))
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
    // A mark that was passed on to the router is not a sign from the server, or an undrained server would stay marked.
    if backend.has_unreported_leaving() {
        match backend.incarnation() {
            Some(run) => peers.observe_engine(name, run, true),
            // Nobody could tell when a run without an identity has ended, so it stays known here only.
            None => return,
        }
        backend.set_unreported_leaving(false);
    }
    hub.set_leaving(backend, peers.is_leaving(name));
}

async fn follow_platform(kernel: Kernel, client: Arc<Client>, peers: Arc<Peers>) {
    let mut ticks = kernel.timer().every(PLATFORM_PERIOD);
    loop {
        if peers.is_watcher() {
            match client.hosts().await {
                Ok(hosts) => peers.observe_hosts(&hosts),
                Err(error) => log::debug!("the host list could not be read: {error}"),
            }
            if let Err(error) = sync_operator_marks(&client, &peers).await {
                log::debug!("the operators' marks could not be kept: {error}");
            }
        }
        ticks.tick().await;
    }
}

/// An operator's mark as the platform keeps it.
#[derive(Debug, Serialize, Deserialize)]
struct Drained {
    server: CompactString,
    stamp: u64,
    leaving: bool,
}

/// Takes the operators' marks from the platform, and stores them when this daemon knows newer ones.
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
    // After a conflict or a lost answer the next round reads what has become of it.
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
