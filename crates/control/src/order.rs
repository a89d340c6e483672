//! Reconciles engines with the directory: which weights they hold and which role they play.
//!
//! Level-triggered: every order follows from a fresh reading of the engine's state, so a lost order or answer
//! only means that the next reading shows the difference again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;
use jaystand_types::{Incarnation, Model, Moment, ServerName};

use crate::lease::Grant;

/// An order is decided on a reading no older than this.
const FRESH: Duration = Duration::from_secs(1);
/// Engines with an order in flight or loading are read this often: loading takes about a second.
const READ_BUSY: Duration = Duration::from_millis(250);
/// Other engines are read this often, at most.
const READ_IDLE: Duration = Duration::from_secs(2);
/// Readings a second over all idle engines, which bounds the cost at 1,200 engines.
const READS_PER_SECOND: u32 = 40;
const PERCENT: usize = 100;

jaystand_types::common! { value
    /// Bounds of all orders.
    pub struct Settings {
        /// Engines that load at once. Loading slows down for all when more do.
        pub max_loading: usize,
        /// Longest time from the check of the lease to the arrival of an order.
        pub max_delay: Duration,
    }

    /// What an engine does.
    pub enum Role {
        /// Serves requests.
        Serve,
        /// Computes prefixes for others.
        Prefill,
        /// Nothing.
        Idle,
    }

    /// What became of an order that was sent.
    pub enum Answer {
        /// The engine took it.
        Accepted,
        /// The engine refused it: old fencing number or other run.
        Refused,
        /// It was never sent.
        NotSent,
        /// No answer: it may or may not take effect.
        Lost,
    }
}

jaystand_types::common! { data
    /// What the directory wants of an engine.
    #[derive(Eq)]
    pub struct Wanted {
        /// The engine.
        pub name: ServerName,
        /// Model.
        pub model: Model,
        /// Adapter; empty for none.
        pub adapter: CompactString,
        /// Weights version.
        pub weights_version: CompactString,
        /// Role.
        pub role: Role,
        /// Whether it refuses orders with an old fencing number.
        pub fenced: bool,
    }

    /// Share of a model's engines that must go on serving.
    #[derive(Eq)]
    pub struct Share {
        /// Model.
        pub model: Model,
        /// Percentage.
        pub percent: u8,
    }

    /// What an engine says of itself.
    #[derive(Eq)]
    pub struct State {
        /// Its run.
        pub incarnation: Incarnation,
        /// Model; empty when nothing is loaded.
        pub model: Model,
        /// Adapter.
        pub adapter: CompactString,
        /// Weights version.
        pub weights_version: CompactString,
        /// Role.
        pub role: Role,
        /// Whether it is loading weights.
        pub loading: bool,
    }

    /// A change of an engine.
    #[derive(Eq)]
    pub enum Order {
        /// Load weights.
        Load {
            /// Model.
            model: Model,
            /// Adapter.
            adapter: CompactString,
            /// Weights version.
            weights_version: CompactString,
        },
        /// Change the role.
        Role(Role),
    }

    /// An order to one run of one engine.
    #[derive(Eq)]
    pub struct Command {
        /// The engine.
        pub server: ServerName,
        /// Fencing number of the lease.
        pub fence: u64,
        /// The run that the order is meant for.
        pub incarnation: Incarnation,
        /// The change.
        pub order: Order,
        /// It must have been sent by then.
        pub send_before: Moment,
    }

    /// What to do.
    #[derive(Eq)]
    pub enum Action {
        /// Read the engine's state.
        Read(ServerName),
        /// Send an order.
        Send(Command),
    }
}

/// The reconciler of the daemon that holds the lease.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: Settings,
    engines: BTreeMap<ServerName, Engine>,
    shares: BTreeMap<Model, u8>,
    fence: Option<u64>,
    blocked: BTreeSet<Model>,
}

#[derive(Clone, Debug)]
struct Engine {
    wanted: Wanted,
    reading: Reading,
    read_at: Option<Moment>,
    /// A reading or an order is under way.
    busy: bool,
    in_flight: Option<InFlight>,
}

#[derive(Clone, Debug)]
enum Reading {
    None,
    Unreachable,
    State(State),
}

#[derive(Clone, Debug)]
struct InFlight {
    order: Order,
    incarnation: Incarnation,
    sent: Moment,
}

impl Reconciler {
    /// A reconciler without engines.
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

    /// Takes the engines and shares of a configuration; keeps what is known of engines that stay.
    pub fn configure(&mut self, wanted: Vec<Wanted>, shares: Vec<Share>) {
        let mut former = std::mem::take(&mut self.engines);
        for wanted in wanted {
            let engine = match former.remove(&wanted.name) {
                Some(engine) => Engine { wanted, ..engine },
                None => Engine::new(wanted),
            };
            self.engines.insert(engine.wanted.name.clone(), engine);
        }
        self.shares = shares.into_iter().map(|s| (s.model, s.percent)).collect();
    }

    /// Takes the result of a reading; none when the engine did not answer.
    pub fn observe(&mut self, now: Moment, server: &str, state: Option<State>) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.busy = false;
        engine.read_at = Some(now);
        if let Some(order) = &engine.in_flight {
            let late = now.saturating_sub(order.sent) >= self.settings.max_delay;
            let settled = match &state {
                // An order is bound to the run that it was meant for.
                Some(state) if state.incarnation != order.incarnation => true,
                Some(state) => order.order.done(state) || (late && !state.loading),
                None => late,
            };
            if settled {
                engine.in_flight = None;
            }
        }
        engine.reading = state.map_or(Reading::Unreachable, Reading::State);
    }

    /// Takes the answer to an order.
    pub fn record_answer(&mut self, server: &str, answer: Answer) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.busy = false;
        // Whatever the answer, the next decision needs a new reading.
        engine.read_at = None;
        if matches!(answer, Answer::Refused | Answer::NotSent) {
            engine.in_flight = None;
        }
    }

    /// What to do now. Without a grant nothing is done.
    pub fn step(&mut self, now: Moment, grant: Option<Grant>) -> Vec<Action> {
        let Some(grant) = grant else {
            return Vec::new();
        };
        if self.fence.replace(grant.fence) != Some(grant.fence) {
            // What was known belongs to a former holder's time. Orders that may still arrive stay counted.
            for engine in self.engines.values_mut() {
                engine.reading = Reading::None;
                engine.read_at = None;
            }
        }
        let mut actions = self.orders(now, grant);
        actions.extend(self.readings(now));
        actions
    }

    /// Whether an order may still take effect.
    #[must_use]
    pub fn has_order_in_flight(&self) -> bool {
        self.engines
            .values()
            .any(|engine| engine.in_flight.is_some())
    }

    /// Models whose serving share forbids an order that is needed.
    #[must_use]
    pub fn blocked_models(&self) -> &BTreeSet<Model> {
        &self.blocked
    }

    fn orders(&mut self, now: Moment, grant: Grant) -> Vec<Action> {
        self.blocked.clear();
        let unread = |engine: &Engine| matches!(engine.reading, Reading::None);
        if now >= grant.until || self.engines.values().any(unread) {
            // Before every engine has been read once, nobody knows how many load or serve.
            return Vec::new();
        }
        let mut due: Vec<(bool, ServerName)> = self
            .engines
            .values()
            .filter(|engine| engine.may_get_order(now, grant))
            .filter(|engine| engine.needed().is_some())
            .map(|engine| (engine.serves().is_some(), engine.wanted.name.clone()))
            .collect();
        // Engines that serve nothing come first.
        due.sort_unstable();
        due.into_iter()
            .filter_map(|(_, name)| self.decide(now, grant, &name))
            .map(Action::Send)
            .collect()
    }

    fn decide(&mut self, now: Moment, grant: Grant, name: &str) -> Option<Command> {
        let engine = self.engines.get(name)?;
        let order = engine.needed()?;
        let loads = matches!(order, Order::Load { .. });
        if loads && self.loading() >= self.settings.max_loading {
            return None;
        }
        if let Some(model) = engine.serves()
            && self.serving(model) <= self.floor(model)
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
            sent: now,
        });
        Some(Command {
            server: engine.wanted.name.clone(),
            fence: grant.fence,
            incarnation,
            order,
            send_before: grant.until.min(now + self.settings.max_delay),
        })
    }

    fn readings(&mut self, now: Moment) -> Vec<Action> {
        let count = u32::try_from(self.engines.len()).unwrap_or(u32::MAX);
        let idle = READ_IDLE.max(Duration::from_secs(1) * count / READS_PER_SECOND);
        let mut actions = Vec::new();
        for engine in self.engines.values_mut().filter(|engine| !engine.busy) {
            let period = if engine.is_active() { READ_BUSY } else { idle };
            let due = engine.read_at.is_none_or(|read| now >= read + period);
            if due {
                engine.busy = true;
                actions.push(Action::Read(engine.wanted.name.clone()));
            }
        }
        actions
    }

    fn loading(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.loads())
            .count()
    }

    fn serving(&self, model: &str) -> usize {
        let serves = |engine: &&Engine| engine.serves().is_some_and(|served| served == model);
        self.engines.values().filter(serves).count()
    }

    /// Engines of a model that must go on serving.
    fn floor(&self, model: &str) -> usize {
        let wanted = |engine: &&Engine| engine.wanted.model == model;
        let count = self.engines.values().filter(wanted).count();
        let percent = self.shares.get(model).copied().unwrap_or(0);
        (count * usize::from(percent)).div_ceil(PERCENT)
    }
}

impl Engine {
    fn new(wanted: Wanted) -> Self {
        Self {
            wanted,
            reading: Reading::None,
            read_at: None,
            busy: false,
            in_flight: None,
        }
    }

    fn may_get_order(&self, now: Moment, grant: Grant) -> bool {
        let fresh = self
            .read_at
            .is_some_and(|read| now.saturating_sub(read) <= FRESH);
        let fenced = self.wanted.fenced || now >= grant.unfenced_from;
        fresh && fenced && !self.busy && self.in_flight.is_none()
    }

    /// The next order that brings the engine closer to what is wanted.
    fn needed(&self) -> Option<Order> {
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
        } else if !load.done(state) {
            Some(load)
        } else {
            (state.role != self.wanted.role).then_some(Order::Role(self.wanted.role))
        }
    }

    /// The model that it serves now.
    fn serves(&self) -> Option<&Model> {
        match &self.reading {
            Reading::State(state) => {
                let serves = state.role == Role::Serve && !state.model.is_empty() && !state.loading;
                let ordered = self.in_flight.as_ref().map(|in_flight| &in_flight.order);
                let stays = matches!(ordered, None | Some(Order::Role(Role::Serve)));
                (serves && stays).then_some(&state.model)
            }
            Reading::None | Reading::Unreachable => None,
        }
    }

    fn loads(&self) -> bool {
        let ordered = self.in_flight.as_ref().map(|in_flight| &in_flight.order);
        matches!(ordered, Some(Order::Load { .. }))
            || matches!(&self.reading, Reading::State(state) if state.loading)
    }

    fn is_active(&self) -> bool {
        self.loads() || self.in_flight.is_some() || self.needed().is_some()
    }
}

impl Order {
    /// Whether the state is the one that the order asks for.
    fn done(&self, state: &State) -> bool {
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
