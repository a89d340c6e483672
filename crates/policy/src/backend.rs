//! One backend server as this daemon knows it: in-flight counts, window, speed, health, load and queue.

use std::time::Duration;

use jaystand_types::{Incarnation, Moment};

use crate::{
    Settings, Strategy, figure,
    health::{Health, State},
    latency::Latency,
    load,
    queue::{CLASSES, Queue},
    server,
    window::Window,
};

/// Part of a window that long work may hold.
const LONG_PART: f64 = 0.5;
/// Part of a server's slots up to which long work may join.
const LONG_FILL: f64 = 0.5;
/// Part of a window that normal work leaves to urgent work; background work leaves twice as much.
const RESERVED_PART: f64 = 0.125;
/// Windows smaller than this reserve nothing: urgent work may exceed them by one instead.
const RESERVING_WINDOW: f64 = 4.0;
/// Seconds of prefill that an engine may have before it with the next prompt of other than urgent work, unless
/// that is the only one: an engine computes prompts one after another, and what it has taken delays the next
/// urgent one.
const PREFILL_AHEAD: f64 = 0.02;
/// The same for urgent work. It waits in the router rather than in the engine, since it may find its prefix
/// cached when the prompt ahead is computed, or another server free.
const URGENT_PREFILL_AHEAD: f64 = 0.1;
/// Reports lag by up to 5 s; the own count that they include is taken over a like time.
const OWN_HORIZON: f64 = 2.5;
/// Reported load of others loses its meaning over this time.
const REPORT_HORIZON: f64 = 10.0;
/// How long engines are presumed to keep an idle prefix before anything is measured.
const INITIAL_RETENTION: f64 = 30.0;
const LEAST_RETENTION: f64 = 1.0;
const LONGEST_RETENTION: f64 = 600.0;

/// What decides whether a request may enter a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) class: usize,
    pub(crate) long: bool,
    /// Whether urgent requests came lately, so that room is kept for them.
    pub(crate) reserve: bool,
}

/// Speed of a server's model over all of its servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peers {
    pub(crate) overhead: f64,
    pub(crate) prefill: f64,
    /// Seconds between tokens.
    pub(crate) token: f64,
    pub(crate) slowness: f64,
}

/// The server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    pub(crate) spec: server::Spec,
    /// Hash of the name, for rendezvous hashing.
    pub(crate) key: u64,
    pub(crate) near: bool,
    pub(crate) model: usize,
    incarnation: Incarnation,
    /// Changes whenever the server's cache is void.
    pub(crate) epoch: u32,
    pub(crate) leaving: bool,
    pub(crate) reachable: bool,
    /// No new request before this moment, by the server's own wish.
    pub(crate) cooling: Moment,
    /// Attempts in a row that could not be sent.
    pub(crate) strikes: u32,
    pub(crate) in_flight: u32,
    pub(crate) long_in_flight: u32,
    /// Attempts without a first token yet.
    pub(crate) awaiting: u32,
    /// Prompt tokens that own requests still have to compute there.
    pub(crate) pending_tokens: f64,
    /// Attempts whose first token is late by now.
    pub(crate) overdue: u32,
    pub(crate) window: Window,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) peers: Peers,
    pub(crate) queue: Queue,
    own: f64,
    own_at: Moment,
    others: f64,
    others_at: Moment,
    retention: f64,
}

impl Backend {
    pub(crate) fn new(spec: server::Spec, settings: &Settings, daemons: u32) -> Self {
        let window = Window::new(spec.slots, daemons);
        let latency = Latency::new(settings);
        let peers = Peers {
            overhead: latency.overhead(),
            prefill: latency.prefill(),
            token: latency.token(),
            slowness: 1.0,
        };
        Self {
            key: name_key(&spec.name),
            near: spec.data_centre == settings.data_centre,
            model: 0,
            incarnation: 0,
            epoch: 0,
            leaving: false,
            reachable: true,
            cooling: Moment::ZERO,
            strikes: 0,
            in_flight: 0,
            long_in_flight: 0,
            awaiting: 0,
            pending_tokens: 0.0,
            overdue: 0,
            window,
            latency,
            health: Health::new(),
            peers,
            queue: Queue::default(),
            own: 0.0,
            own_at: Moment::ZERO,
            others: 0.0,
            others_at: Moment::ZERO,
            retention: INITIAL_RETENTION,
            spec,
        }
    }

    /// Adopts a new specification of the same server.
    pub(crate) fn respecify(&mut self, spec: server::Spec, settings: &Settings) {
        if spec.weights_version != self.spec.weights_version || spec.model != self.spec.model {
            self.epoch += 1;
        }
        if spec.model != self.spec.model {
            self.latency = Latency::new(settings);
        }
        self.window.resize(spec.slots);
        self.near = spec.data_centre == settings.data_centre;
        self.spec = spec;
    }

    /// Takes in the incarnation of an answer; a new one voids what the cache held.
    pub(crate) fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation || incarnation == 0 {
            return;
        }
        if self.incarnation != 0 {
            self.epoch += 1;
        }
        self.incarnation = incarnation;
    }

    /// Whether new work may go there at all.
    pub(crate) fn eligible(&self) -> bool {
        !self.leaving && self.reachable
    }

    /// Whether a request of this shape that has to compute `missed` prompt tokens may be sent now.
    pub(crate) fn admits(
        &self,
        now: Moment,
        shape: Shape,
        missed: f64,
        settings: &Settings,
    ) -> bool {
        if self.cooling > now {
            return false;
        }
        if settings.strategy != Strategy::Jaystand {
            return self.in_flight < self.spec.slots.max(1);
        }
        let prefill = (self.pending_tokens + missed) * self.latency.prefill();
        let most = if shape.class == 0 {
            URGENT_PREFILL_AHEAD
        } else {
            PREFILL_AHEAD
        };
        let joins = self.pending_tokens <= 0.0 || prefill <= most;
        joins && self.free_slots(now, shape, settings) > 0
    }

    /// Requests of this shape that the window has room for.
    fn free_slots(&self, now: Moment, shape: Shape, settings: &Settings) -> u32 {
        if settings.strategy != Strategy::Jaystand {
            return self.spec.slots.max(1).saturating_sub(self.in_flight);
        }
        if self.health.state() != State::Open {
            return 1_u32.saturating_sub(self.awaiting);
        }
        if shape.long && settings.separate_long && !self.admits_long(now) {
            return 0;
        }
        class_limit(self.window.size(), shape).saturating_sub(self.in_flight)
    }

    /// Whether long work may join. Others' load counts, too: long work outlasts the lag of their reports.
    fn admits_long(&self, now: Moment) -> bool {
        let slots = f64::from(self.spec.slots.max(1));
        let own = f64::from(self.long_in_flight);
        let all = f64::from(self.in_flight) + self.others(now);
        let part = (self.window.size() * LONG_PART).max(1.0);
        own + 1.0 <= part && all + 1.0 <= (slots * LONG_FILL).max(1.0)
    }

    /// Requests of other daemons in flight there, from reports.
    pub(crate) fn others(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.others_at).as_secs_f64();
        self.others * (-age / REPORT_HORIZON).exp()
    }

    /// Load as a part of the slots, what waits here included.
    pub(crate) fn occupancy(&self, now: Moment) -> f64 {
        let requests =
            f64::from(self.in_flight) + self.others(now) + figure::count(self.queue.len());
        requests / f64::from(self.spec.slots.max(1))
    }

    /// Takes a load report in. The own part is subtracted as it was about when the report was made.
    pub(crate) fn observe_report(&mut self, now: Moment, report: load::Report) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let taken = now.saturating_sub(report.age);
        if taken < self.others_at {
            return;
        }
        self.others = (total - self.own_average(now)).max(0.0);
        self.others_at = taken;
    }

    /// Counts an attempt in.
    pub(crate) fn enter(&mut self, now: Moment, long: bool) {
        self.settle_own(now);
        self.in_flight += 1;
        self.long_in_flight += u32::from(long);
    }

    /// Counts an attempt out.
    pub(crate) fn leave(&mut self, now: Moment, long: bool) {
        self.settle_own(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.long_in_flight = self.long_in_flight.saturating_sub(u32::from(long));
        if self.in_flight == 0 {
            self.pending_tokens = 0.0;
        }
    }

    /// Seconds until a request of this shape may be sent.
    pub(crate) fn wait(&self, now: Moment, shape: Shape, settings: &Settings) -> f64 {
        let cooling = self.cooling.saturating_sub(now).as_secs_f64();
        let service = self.latency.service();
        let slots = f64::from(self.spec.slots.max(1));
        let total = f64::from(self.in_flight) + self.others(now) + 1.0;
        let contention = (total - slots).max(0.0) * service / slots;
        let class = if settings.strategy == Strategy::Jaystand {
            shape.class
        } else {
            CLASSES - 1
        };
        let ahead = self.queue.ahead_of(class);
        let free = self.free_slots(now, shape, settings);
        let turns = f64::from((ahead + 1).saturating_sub(free));
        let width = if self.health.state() == State::Open {
            self.window.size()
        } else {
            1.0
        };
        let slots = turns * service / width;
        let prefill = self.queue.tokens_ahead_of(class) * self.latency.prefill();
        cooling + contention.max(slots).max(prefill)
    }

    /// Likelihood that a prefix seen there this long ago is still cached.
    pub(crate) fn retained(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.retention).exp2()
    }

    /// Learns from a prefix of that age that was, or was not, still cached.
    pub(crate) fn observe_retention(&mut self, age: Duration, held: bool) {
        let age = age.as_secs_f64();
        let learned = if held {
            self.retention.max(1.5 * age)
        } else {
            0.7 * self.retention + 0.3 * age.min(self.retention) * 0.7
        };
        self.retention = learned.clamp(LEAST_RETENTION, LONGEST_RETENTION);
    }

    /// Ratio of a first-token time to what the own load and the peers predict, whichever is nearer.
    pub(crate) fn slowness_sample(&self, tokens: f64, seconds: f64) -> f64 {
        let own = self.latency.first_token(tokens);
        let peers = self.peers.overhead + tokens * self.peers.prefill;
        let expected = own.max(peers).max(LEAST_EXPECTED);
        seconds / expected
    }

    /// Expected seconds to first token. A slow server's own figures grow with its slowness, so those of its peers
    /// bound them.
    pub(crate) fn expected_first_token(&self, tokens: f64) -> f64 {
        let peers = self.peers.overhead + tokens * self.peers.prefill;
        self.latency.first_token(tokens).min(PEERS_FACTOR * peers)
    }

    fn own_average(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.own_at).as_secs_f64();
        let kept = (-age / OWN_HORIZON).exp();
        self.own * kept + f64::from(self.in_flight) * (1.0 - kept)
    }

    fn settle_own(&mut self, now: Moment) {
        self.own = self.own_average(now);
        self.own_at = now;
    }
}

/// A server's expected times exceed those of its peers at most by this factor.
const PEERS_FACTOR: f64 = 2.0;
/// First-token times under this are noise when compared.
pub(crate) const LEAST_EXPECTED: f64 = 0.01;

fn class_limit(size: f64, shape: Shape) -> u32 {
    if size < RESERVING_WINDOW {
        let burst = u32::from(shape.class == 0);
        return figure::floor(size).max(1) + burst;
    }
    if !shape.reserve || shape.class == 0 {
        return figure::floor(size);
    }
    let steps = figure::count(shape.class);
    figure::floor(size - (size * RESERVED_PART).max(1.0) * steps).max(1)
}

fn name_key(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let (bytes, _) = hash.as_bytes().split_first_chunk::<8>().expect("32 bytes");
    u64::from_le_bytes(*bytes)
}
