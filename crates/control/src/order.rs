//! Reconciles engines with the directory: which weights they hold and which role they have.
//!
//! The reconciler is level-triggered. Every order follows from a recent reading of the engine's state, so after a lost
//! order or answer the next reading shows the difference again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;
use jaystand_types::{Incarnation, Model, Moment, ServerName};

use crate::lease::Grant;

/// Greatest age of a reading on which an order is based.
const MAX_READING_AGE: Duration = Duration::from_secs(1);
/// Interval between readings of an engine that is loading, or has an order in flight or due. Loading takes about a
/// second.
const ACTIVE_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between readings of any other engine.
const MIN_IDLE_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Greatest number of readings of idle engines a second, which bounds the cost at 1,200 engines.
const MAX_IDLE_READS_PER_SECOND: u32 = 40;
const PERCENT: usize = 100;

jaystand_types::common! { value
    /// Bounds that apply to all orders.
    pub struct Settings {
        /// Greatest number of engines that load at the same time. Loading slows down for all if more do.
        pub max_loading: usize,
        /// Longest time from the check of the lease to the arrival of an order.
        pub max_delay: Duration,
    }

    /// The role of an engine.
    pub enum Role {
        /// The engine serves requests.
        Serve,
        /// The engine computes prefixes for other engines.
        Prefill,
        /// The engine does nothing.
        Idle,
    }

    /// The result of sending an order. The `Debug` output is logged and labels a metric.
    pub enum Answer {
        /// The engine accepted the order.
        Accepted,
        /// The engine refused the order, because of an old fencing token or because it was meant for another run.
        Refused,
        /// The order was never sent.
        NotSent,
        /// No answer arrived. The order may or may not take effect.
        Lost,
    }
}

jaystand_types::common! { data
    /// The desired state of an engine according to the directory.
    #[derive(Eq)]
    pub struct Wanted {
        /// Name of the engine.
        pub name: ServerName,
        /// Model to load.
        pub model: Model,
        /// Adapter to load; empty for none.
        pub adapter: CompactString,
        /// Weights version to load.
        pub weights_version: CompactString,
        /// Role to have.
        pub role: Role,
        /// Whether the engine refuses orders with an old fencing token.
        pub fenced: bool,
    }

    /// The share of a model's engines that must keep serving.
    #[derive(Eq)]
    pub struct Share {
        /// The model.
        pub model: Model,
        /// The share in percent.
        pub percent: u8,
    }

    /// The state that an engine reports.
    #[derive(Eq)]
    pub struct State {
        /// Run of the engine.
        pub incarnation: Incarnation,
        /// Loaded model; empty if nothing is loaded.
        pub model: Model,
        /// Loaded adapter; empty for none.
        pub adapter: CompactString,
        /// Loaded weights version.
        pub weights_version: CompactString,
        /// Current role.
        pub role: Role,
        /// Whether the engine is loading weights.
        pub loading: bool,
    }

    /// A change that an engine is told to make. The `Debug` output is logged.
    #[derive(Eq)]
    pub enum Order {
        /// Load weights.
        Load {
            /// Model to load.
            model: Model,
            /// Adapter to load; empty for none.
            adapter: CompactString,
            /// Weights version to load.
            weights_version: CompactString,
        },
        /// Change the role.
        Role(Role),
    }

    /// An order to one run of one engine.
    #[derive(Eq)]
    pub struct Command {
        /// Name of the engine.
        pub server: ServerName,
        /// Fencing token of the lease.
        pub fence: u64,
        /// The run that the order is meant for.
        pub incarnation: Incarnation,
        /// The change to make.
        pub order: Order,
        /// Time by which the order must have been sent.
        pub send_before: Moment,
    }

    /// What the caller has to do next.
    #[derive(Eq)]
    pub enum Action {
        /// Read the engine's state.
        Read(ServerName),
        /// Send an order.
        Send(Command),
    }
}

/// Decides which orders the daemon that holds the lease sends to engines.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: Settings,
    engines: BTreeMap<ServerName, Engine>,
    shares: BTreeMap<Model, u8>,
    /// Fencing token of the last grant.
    fence: Option<u64>,
    blocked: BTreeSet<Model>,
}

#[derive(Clone, Debug)]
struct Engine {
    wanted: Wanted,
    reading: Reading,
    read_at: Option<Moment>,
    /// Whether a reading or the sending of an order is under way.
    busy: bool,
    /// The last order, as long as it may still take effect.
    in_flight: Option<InFlight>,
}

#[derive(Clone, Debug)]
enum Reading {
    /// The engine has not been read yet under the present lease.
    Unread,
    Unreachable,
    State(State),
}

#[derive(Clone, Debug)]
struct InFlight {
    order: Order,
    incarnation: Incarnation,
    sent_at: Moment,
}

impl Reconciler {
    /// Creates a reconciler without engines.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            shares: BTreeMap::new(),
            fence: None,
            blocked: BTreeSet::new(),
        }
    }

    /// Sets the engines and shares of a configuration. The known state of engines that remain is kept.
    pub fn configure(&mut self, wanted: Vec<Wanted>, shares: Vec<Share>) {
        let mut former = std::mem::take(&mut self.engines);
        for wanted in wanted {
            let engine = match former.remove(&wanted.name) {
                Some(engine) => Engine { wanted, ..engine },
                None => Engine::new(wanted),
            };
            self.engines.insert(engine.wanted.name.clone(), engine);
        }
        self.shares = shares
            .into_iter()
            .map(|share| (share.model, share.percent))
            .collect();
    }

    /// Records the result of a reading; `None` if the engine did not answer.
    pub fn observe(&mut self, now: Moment, server: &str, state: Option<State>) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.busy = false;
        engine.read_at = Some(now);
        if let Some(in_flight) = &engine.in_flight {
            let overdue = now.saturating_sub(in_flight.sent_at) >= self.settings.max_delay;
            let settled = match &state {
                // An order only takes effect on the run that it was meant for.
                Some(state) if state.incarnation != in_flight.incarnation => true,
                Some(state) => {
                    in_flight.order.is_fulfilled_by(state) || (overdue && !state.loading)
                }
                None => overdue,
            };
            if settled {
                engine.in_flight = None;
            }
        }
        engine.reading = state.map_or(Reading::Unreachable, Reading::State);
    }

    /// Records the answer to an order.
    pub fn record_answer(&mut self, server: &str, answer: Answer) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.busy = false;
        // After any answer the next decision needs a new reading.
        engine.read_at = None;
        if matches!(answer, Answer::Refused | Answer::NotSent) {
            engine.in_flight = None;
        }
    }

    /// Returns what to do now. Without a grant this is nothing.
    pub fn step(&mut self, now: Moment, grant: Option<Grant>) -> Vec<Action> {
        let Some(grant) = grant else {
            return Vec::new();
        };
        if self.fence.replace(grant.fence) != Some(grant.fence) {
            // The readings may predate orders of other holders. Orders that may still arrive remain in flight.
            for engine in self.engines.values_mut() {
                engine.reading = Reading::Unread;
                engine.read_at = None;
            }
        }
        let mut actions = self.due_orders(now, grant);
        actions.extend(self.due_readings(now));
        actions
    }

    /// Returns whether any order may still take effect.
    #[must_use]
    pub fn has_order_in_flight(&self) -> bool {
        self.engines
            .values()
            .any(|engine| engine.in_flight.is_some())
    }

    /// Returns the models whose serving share forbids an order that is needed.
    #[must_use]
    pub fn blocked_models(&self) -> &BTreeSet<Model> {
        &self.blocked
    }

    fn due_orders(&mut self, now: Moment, grant: Grant) -> Vec<Action> {
        self.blocked.clear();
        let is_unread = |engine: &Engine| matches!(engine.reading, Reading::Unread);
        if now >= grant.until || self.engines.values().any(is_unread) {
            // Until every engine has been read once, it is unknown how many are loading or serving.
            return Vec::new();
        }
        let mut due: Vec<(bool, ServerName)> = self
            .engines
            .values()
            .filter(|engine| engine.may_get_order(now, grant))
            .filter(|engine| engine.needed_order().is_some())
            .map(|engine| (engine.served_model().is_some(), engine.wanted.name.clone()))
            .collect();
        // Puts engines that serve nothing first.
        due.sort_unstable();
        due.into_iter()
            .filter_map(|(_, name)| self.issue_order(now, grant, &name))
            .map(Action::Send)
            .collect()
    }

    /// Returns the order that an engine needs, if the bounds allow it, and records it as in flight.
    fn issue_order(&mut self, now: Moment, grant: Grant, name: &str) -> Option<Command> {
        let engine = self.engines.get(name)?;
        let order = engine.needed_order()?;
        let is_load = matches!(order, Order::Load { .. });
        if is_load && self.loading_count() >= self.settings.max_loading {
            return None;
        }
        if let Some(model) = engine.served_model()
            && self.serving_count(model) <= self.min_serving(model)
        {
            self.blocked.insert(model.clone());
            return None;
        }
        let engine = self.engines.get_mut(name)?;
        let Reading::State(state) = &engine.reading else {
            return None;
        };
        let incarnation = state.incarnation;
        engine.busy = true;
        engine.in_flight = Some(InFlight {
            order: order.clone(),
            incarnation,
            sent_at: now,
        });
        Some(Command {
            server: engine.wanted.name.clone(),
            fence: grant.fence,
            incarnation,
            order,
            send_before: grant.until.min(now + self.settings.max_delay),
        })
    }

    fn due_readings(&mut self, now: Moment) -> Vec<Action> {
        let count = u32::try_from(self.engines.len()).unwrap_or(u32::MAX);
        let idle_interval =
            MIN_IDLE_READ_INTERVAL.max(Duration::from_secs(1) * count / MAX_IDLE_READS_PER_SECOND);
        let mut actions = Vec::new();
        for engine in self.engines.values_mut().filter(|engine| !engine.busy) {
            let interval = if engine.is_active() {
                ACTIVE_READ_INTERVAL
            } else {
                idle_interval
            };
            let is_due = engine
                .read_at
                .is_none_or(|read_at| now >= read_at + interval);
            if is_due {
                engine.busy = true;
                actions.push(Action::Read(engine.wanted.name.clone()));
            }
        }
        actions
    }

    fn loading_count(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.is_loading())
            .count()
    }

    fn serving_count(&self, model: &str) -> usize {
        let serves = |engine: &&Engine| engine.served_model().is_some_and(|served| served == model);
        self.engines.values().filter(serves).count()
    }

    /// Returns how many engines of a model must keep serving.
    fn min_serving(&self, model: &str) -> usize {
        let is_assigned = |engine: &&Engine| engine.wanted.model == model;
        let count = self.engines.values().filter(is_assigned).count();
        let percent = self.shares.get(model).copied().unwrap_or(0);
        (count * usize::from(percent)).div_ceil(PERCENT)
    }
}

impl Engine {
    fn new(wanted: Wanted) -> Self {
        Self {
            wanted,
            reading: Reading::Unread,
            read_at: None,
            busy: false,
            in_flight: None,
        }
    }

    fn may_get_order(&self, now: Moment, grant: Grant) -> bool {
        let is_fresh = self
            .read_at
            .is_some_and(|read_at| now.saturating_sub(read_at) <= MAX_READING_AGE);
        let is_safe = self.wanted.fenced || now >= grant.unfenced_from;
        is_fresh && is_safe && !self.busy && self.in_flight.is_none()
    }

    /// Returns the next order that brings the engine closer to its desired state.
    fn needed_order(&self) -> Option<Order> {
        let Reading::State(state) = &self.reading else {
            return None;
        };
        let load = Order::Load {
            model: self.wanted.model.clone(),
            adapter: self.wanted.adapter.clone(),
            weights_version: self.wanted.weights_version.clone(),
        };
        if state.loading {
            None
        } else if !load.is_fulfilled_by(state) {
            Some(load)
        } else {
            (state.role != self.wanted.role).then_some(Order::Role(self.wanted.role))
        }
    }

    /// Returns the model that the engine serves and, after an order in flight, will go on serving.
    fn served_model(&self) -> Option<&Model> {
        match &self.reading {
            Reading::State(state) => {
                let serves = state.role == Role::Serve && !state.model.is_empty() && !state.loading;
                let ordered = self.in_flight.as_ref().map(|in_flight| &in_flight.order);
                let keeps_serving = matches!(ordered, None | Some(Order::Role(Role::Serve)));
                (serves && keeps_serving).then_some(&state.model)
            }
            Reading::Unread | Reading::Unreachable => None,
        }
    }

    /// Returns whether the engine loads weights or may be about to.
    fn is_loading(&self) -> bool {
        let ordered = self.in_flight.as_ref().map(|in_flight| &in_flight.order);
        matches!(ordered, Some(Order::Load { .. }))
            || matches!(&self.reading, Reading::State(state) if state.loading)
    }

    fn is_active(&self) -> bool {
        self.is_loading() || self.in_flight.is_some() || self.needed_order().is_some()
    }
}

impl Order {
    /// Returns whether the state is the one that the order asks for.
    fn is_fulfilled_by(&self, state: &State) -> bool {
        match self {
            Self::Load {
                model,
                adapter,
                weights_version,
            } => {
                !state.loading
                    && (&state.model, &state.adapter, &state.weights_version)
                        == (model, adapter, weights_version)
            }
            Self::Role(role) => state.role == *role,
        }
    }
}
