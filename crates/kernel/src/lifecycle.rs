//! Phases of a daemon's life and the readiness gates that plug-ins open.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

jaystand_types::common! { value
    /// The phase of the daemon's life.
    pub enum Phase {
        /// Plug-ins are starting.
        Starting,
        /// Serving.
        Serving,
        /// Not ready, but still accepting while the balancer notices.
        LameDuck,
        /// Finishes what it has; connections close after their current exchange.
        Draining,
        /// Everything has stopped.
        Stopped,
    }
}

/// Shared view of the phase and the readiness gates.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Arc<watch::Sender<Phase>>,
    gates: Arc<Mutex<Vec<GateState>>>,
}

/// A readiness condition owned by one plug-in.
#[derive(Clone, Debug)]
pub struct Gate {
    gates: Arc<Mutex<Vec<GateState>>>,
    index: usize,
}

#[derive(Clone, Debug)]
struct GateState {
    name: &'static str,
    open: bool,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let (phase, _) = watch::channel(Phase::Starting);
        Self {
            phase: Arc::new(phase),
            gates: Arc::default(),
        }
    }
}

impl Lifecycle {
    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves on to `phase`; phases never go back.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let forward = phase > *current;
            if forward {
                *current = phase;
            }
            forward
        });
    }

    /// Waits until the phase is `phase` or a later one.
    pub async fn wait_for(&self, phase: Phase) {
        let mut watcher = self.phase.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = watcher.wait_for(|current| *current >= phase).await;
    }

    /// Adds a closed readiness gate.
    #[must_use]
    pub fn add_gate(&self, name: &'static str) -> Gate {
        let mut gates = self.gates.lock();
        gates.push(GateState { name, open: false });
        Gate {
            gates: Arc::clone(&self.gates),
            index: gates.len() - 1,
        }
    }

    /// The reasons why the daemon is not ready; empty when it is.
    #[must_use]
    pub fn not_ready_reasons(&self) -> Vec<String> {
        let mut reasons: Vec<String> = self
            .gates
            .lock()
            .iter()
            .filter(|gate| !gate.open)
            .map(|gate| format!("waiting for {}", gate.name))
            .collect();
        match self.phase() {
            Phase::Serving => {}
            Phase::Starting => reasons.push("starting".to_owned()),
            Phase::LameDuck | Phase::Draining | Phase::Stopped => {
                reasons.push("shutting down".to_owned());
            }
        }
        reasons
    }
}

impl Gate {
    /// Opens or closes the gate.
    pub fn set_open(&self, open: bool) {
        self.gates.lock()[self.index].open = open;
    }
}
