//! The phases of a daemon's life, and the readiness gates that plug-ins open.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

jaystand_types::common! { value
    /// A phase of the daemon's life. Later phases compare as greater.
    pub enum Phase {
        /// Plug-ins are starting.
        Starting,
        /// All plug-ins have started.
        Serving,
        /// The daemon reports that it is not ready, but accepts requests until the load balancer has noticed.
        LameDuck,
        /// The daemon finishes the requests that it has. Connections close after their current exchange.
        Draining,
        /// All plug-ins have stopped.
        Stopped,
    }
}

/// The phase and the readiness gates. Clones share them.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Arc<watch::Sender<Phase>>,
    gates: Arc<Mutex<Vec<GateState>>>,
}

/// A readiness condition of one plug-in. The daemon is not ready while a gate is closed.
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
    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Advances to `phase`. Does nothing if the current phase is `phase` or a later one.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    /// Waits until the phase is `phase` or a later one.
    pub async fn wait_for(&self, phase: Phase) {
        let mut watcher = self.phase.subscribe();
        // The wait fails only when the sender is dropped, and `self` holds it.
        let _ = watcher.wait_for(|current| *current >= phase).await;
    }

    /// Adds a readiness gate, which is closed until its plug-in opens it. `name` says what the daemon waits for.
    #[must_use]
    pub fn add_gate(&self, name: &'static str) -> Gate {
        let mut gates = self.gates.lock();
        gates.push(GateState { name, open: false });
        Gate {
            gates: Arc::clone(&self.gates),
            index: gates.len() - 1,
        }
    }

    /// Returns the reasons why the daemon is not ready. The list is empty when it is ready.
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
