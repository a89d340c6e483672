//! The `order` plug-in: sends orders to engines that differ from the directory, while this daemon holds the lease for
//! orders.
//!
//! One lease covers the engines of all models of a deployment, because the limit on engines that load at the same time
//! counts the engines of all models.

mod engine;
mod lease;

use std::{sync::Arc, time::Duration};

use jaystand_control::{
    lease::{Machine, Settings as LeaseSettings},
    order::{Action, Reconciler, Role, Settings as ReconcilerSettings, Share, Wanted},
};
use jaystand_kernel::{
    Kernel, Phase,
    plugin::{Running, Stage, StartResult},
    timer::Timer,
};
use jaystand_sheet::{Directory, Fencing, ServerKind};
use jaystand_types::Moment;
use miette::IntoDiagnostic;
use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use tokio::task::JoinSet;

use crate::{
    config::{Active, Store},
    peer::Peers,
    platform,
    settings::Settings,
};

/// Name of the lease.
const LEASE: &str = "engines";
/// Time between two steps of the reconciler. Short compared with a load of weights, which takes a third of a second.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// How long a stopping daemon waits for its last order to end and for the release of the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

jaystand_kernel::register!("order", Stage::Work, start);

/// State that the tasks of the plug-in share.
struct Orders {
    timer: Timer,
    lease_settings: LeaseSettings,
    machine: Mutex<Machine>,
    reconciler: Mutex<Reconciler>,
    /// The configuration that the reconciler works towards.
    active: Mutex<Option<Arc<Active>>>,
    counts: Counts,
}

/// Metrics of the plug-in.
struct Counts {
    orders: IntCounterVec,
    held: IntGauge,
    blocked: IntGauge,
}

impl Counts {
    fn new(metrics: &Registry) -> Result<Self, prometheus::Error> {
        let options = Opts::new("jaystand_orders_total", "Engine orders by result.");
        let counts = Self {
            orders: IntCounterVec::new(options, &["result"])?,
            held: IntGauge::new(
                "jaystand_order_lease_held",
                "Whether this daemon gives orders.",
            )?,
            blocked: IntGauge::new(
                "jaystand_order_blocked_models",
                "Models whose serving share forbids an order that is needed.",
            )?,
        };
        metrics.register(Box::new(counts.orders.clone()))?;
        metrics.register(Box::new(counts.held.clone()))?;
        metrics.register(Box::new(counts.blocked.clone()))?;
        Ok(counts)
    }
}

async fn start(kernel: Kernel) -> StartResult {
    let settings = kernel.require::<Settings>()?;
    let store = kernel.require::<Store>()?;
    let peers = kernel.require::<Peers>()?;
    // Without a platform there is no lease, and without a lease no order is sent.
    let Some(client) = platform::client(&kernel)? else {
        return Ok(Running::detached());
    };
    let lease = LeaseSettings::default();
    let reconciler_settings = ReconcilerSettings {
        max_loading: settings.orders.max_loading,
        max_delay: lease.max_delay,
    };
    let orders = Arc::new(Orders {
        timer: kernel.timer().clone(),
        lease_settings: lease,
        machine: Mutex::new(Machine::new(
            settings.host.name.clone(),
            rand::random(),
            lease,
        )),
        reconciler: Mutex::new(Reconciler::new(reconciler_settings)),
        active: Mutex::default(),
        counts: Counts::new(kernel.metrics()).into_diagnostic()?,
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_configuration(store, Arc::clone(&orders)));
    tasks.spawn(reconcile(Arc::clone(&orders)));
    tasks.spawn(lease::run(
        client,
        Arc::clone(&orders),
        lease_wanted(kernel, peers),
    ));
    Ok(Running::with_shutdown(async move {
        let released = async {
            while orders.machine.lock().grant(orders.timer.now()).is_some() {
                orders
                    .timer
                    .wake_at(orders.timer.now() + STEP_PERIOD)
                    .tick()
                    .await;
            }
        };
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
        tasks.shutdown().await;
    }))
}

/// Returns a function that returns whether this daemon should hold the lease.
fn lease_wanted(kernel: Kernel, peers: Arc<Peers>) -> impl Fn() -> bool {
    move || kernel.lifecycle().phase() < Phase::LameDuck && peers.is_lease_candidate(LEASE)
}

/// Passes each configuration that comes into force to the reconciler.
async fn follow_configuration(store: Arc<Store>, orders: Arc<Orders>) {
    let mut changes = store.subscribe();
    loop {
        let active = changes.borrow_and_update().clone();
        if let Some(active) = active {
            let (wanted, shares) = wanted_state(&active.document.directory);
            *orders.active.lock() = Some(active);
            orders.reconciler.lock().configure(wanted, shares);
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the state that the directory wants of each engine, and the serving share of each model.
fn wanted_state(directory: &Directory) -> (Vec<Wanted>, Vec<Share>) {
    let engines = directory
        .servers
        .iter()
        .filter(|server| server.kind == ServerKind::Engine);
    let wanted = engines.map(|server| Wanted {
        name: server.name.clone(),
        model: server.model.clone(),
        // The directory has neither adapters nor roles.
        adapter: "".into(),
        weights_version: server.weights_version.clone(),
        role: Role::Serve,
        fenced: server.fencing == Fencing::Checked,
    });
    let shares = directory.models.iter().map(|model| Share {
        model: model.name.clone(),
        percent: model.serving_share,
    });
    (wanted.collect(), shares.collect())
}

/// Steps the reconciler and starts the actions that it returns.
async fn reconcile(orders: Arc<Orders>) {
    let mut ticks = orders.timer.every(STEP_PERIOD);
    loop {
        let now = ticks.tick().await;
        let grant = orders.machine.lock().grant(now);
        let actions = {
            let mut reconciler = orders.reconciler.lock();
            let actions = reconciler.step(now, grant);
            let blocked = i64::try_from(reconciler.blocked_models().len()).unwrap_or(i64::MAX);
            orders.counts.blocked.set(blocked);
            actions
        };
        orders.counts.held.set(grant.is_some().into());
        for action in actions {
            tokio::spawn(execute(Arc::clone(&orders), action));
        }
    }
}

/// Reads the state of an engine or sends it an order, and passes the result to the reconciler.
async fn execute(orders: Arc<Orders>, action: Action) {
    match action {
        Action::Read(server) => {
            let state = match orders.address(&server) {
                Some(address) => engine::read(address).await,
                None => None,
            };
            let now = orders.timer.now();
            orders.reconciler.lock().observe(now, &server, state);
        }
        Action::Send(command) => {
            let answer = engine::send(&orders, &command).await;
            log::info!(
                "order to {}: {:?} (fence {}): {answer:?}",
                command.server,
                command.order,
                command.fence
            );
            let label = format!("{answer:?}").to_lowercase();
            orders.counts.orders.with_label_values(&[label]).inc();
            orders
                .reconciler
                .lock()
                .record_answer(&command.server, answer);
        }
    }
}

impl Orders {
    /// Returns the address of a server in the configuration in force.
    fn address(&self, server: &str) -> Option<std::net::SocketAddr> {
        let active = self.active.lock().clone()?;
        let mut servers = active.document.directory.servers.iter();
        let entry = servers.find(|entry| entry.name == server)?;
        Some(entry.address)
    }

    /// Returns whether an order with this fencing token may be sent now, if it must be sent before `send_before`.
    fn may_send(&self, fence: u64, send_before: Moment) -> bool {
        let now = self.timer.now();
        let grant = self.machine.lock().grant(now);
        now < send_before && grant.is_some_and(|grant| grant.fence == fence)
    }
}
