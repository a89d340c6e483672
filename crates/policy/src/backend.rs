//! One backend server as this daemon knows it: in-flight counts, window, speed, health, load and queue.

use std::time::Duration;

use jaystand_types::{Incarnation, Moment};

use crate::{
    Settings, Strategy,
    health::{Health, State},
    latency::Latency,
    load, numeric,
    queue::{CLASSES, Queue},
    server,
    window::Window,
};

/// Part of a window that long work may hold.
const MAX_LONG_WINDOW_SHARE: f64 = 0.5;
/// Part of a server's slots up to which long work may join.
const MAX_LONG_OCCUPANCY: f64 = 0.5;
/// Part of a window that normal work leaves to urgent work; background work leaves twice as much.
const RESERVED_SHARE: f64 = 0.125;
/// Windows smaller than this reserve nothing: urgent work may exceed them by one instead.
const MIN_RESERVING_WINDOW: f64 = 4.0;
/// Seconds of prefill that an engine may have before it with the next prompt of other than urgent work, unless
/// that is the only one: an engine computes prompts one after another, and what it has taken delays the next
/// urgent one.
const MAX_PREFILL_AHEAD_SECONDS: f64 = 0.02;
/// The same for urgent work. It waits in the router rather than in the engine, since it may find its prefix
/// cached when the prompt ahead is computed, or another server free.
const MAX_URGENT_PREFILL_AHEAD_SECONDS: f64 = 0.1;
/// Reports lag by up to 5 s; the own count that they include is taken over a like time.
const OWN_LOAD_HORIZON_SECONDS: f64 = 2.5;
/// Reported load of others loses its meaning over this time.
const REPORT_HORIZON_SECONDS: f64 = 10.0;
/// How long engines are presumed to keep an idle prefix before anything is measured.
const INITIAL_RETENTION_SECONDS: f64 = 30.0;
const MIN_RETENTION_SECONDS: f64 = 1.0;
const MAX_RETENTION_SECONDS: f64 = 600.0;

/// What decides whether a request may enter a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionProfile {
    pub(crate) class: usize,
    pub(crate) is_long: bool,
    /// Whether urgent requests came lately, so that room is kept for them.
    pub(crate) reserve_urgent: bool,
}

/// Speed of a server's model over all of its servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerMedians {
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
    pub(crate) name_hash: u64,
    pub(crate) is_local: bool,
    pub(crate) model_index: usize,
    incarnation: Incarnation,
    /// Changes whenever the server's cache is void.
    pub(crate) epoch: u32,
    pub(crate) leaving: bool,
    pub(crate) reachable: bool,
    /// No new request before this moment, by the server's own wish.
    pub(crate) paused_until: Moment,
    /// Attempts in a row that could not be sent.
    pub(crate) connect_failures: u32,
    pub(crate) in_flight: u32,
    pub(crate) long_in_flight: u32,
    /// Attempts without a first token yet.
    pub(crate) awaiting_first_token: u32,
    /// Prompt tokens that own requests still have to compute there.
    pub(crate) pending_tokens: f64,
    /// Attempts whose first token is late by now.
    pub(crate) late_attempts: u32,
    pub(crate) window: Window,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) peers: PeerMedians,
    pub(crate) queue: Queue,
    own_load: f64,
    own_load_at: Moment,
    others_load: f64,
    others_load_at: Moment,
    retention: f64,
}

impl Backend {
    pub(crate) fn new(spec: server::Spec, settings: &Settings, daemons: u32) -> Self {
        let window = Window::new(spec.slots, daemons);
        let latency = Latency::new(settings);
        let peers = PeerMedians {
            overhead: latency.overhead(),
            prefill: latency.prefill_per_token(),
            token: latency.token_interval(),
            slowness: 1.0,
        };
        Self {
            name_hash: hash_name(&spec.name),
            is_local: spec.data_centre == settings.data_centre,
            model_index: 0,
            incarnation: 0,
            epoch: 0,
            leaving: false,
            reachable: true,
            paused_until: Moment::ZERO,
            connect_failures: 0,
            in_flight: 0,
            long_in_flight: 0,
            awaiting_first_token: 0,
            pending_tokens: 0.0,
            late_attempts: 0,
            window,
            latency,
            health: Health::new(),
            peers,
            queue: Queue::default(),
            own_load: 0.0,
            own_load_at: Moment::ZERO,
            others_load: 0.0,
            others_load_at: Moment::ZERO,
            retention: INITIAL_RETENTION_SECONDS,
            spec,
        }
    }

    /// Adopts a new specification of the same server.
    pub(crate) fn update_spec(&mut self, spec: server::Spec, settings: &Settings) {
        if spec.weights_version != self.spec.weights_version || spec.model != self.spec.model {
            self.epoch += 1;
        }
        if spec.model != self.spec.model {
            self.latency = Latency::new(settings);
        }
        self.window.resize(spec.slots);
        self.is_local = spec.data_centre == settings.data_centre;
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
        profile: AdmissionProfile,
        missed_tokens: f64,
        settings: &Settings,
    ) -> bool {
        if self.paused_until > now {
            return false;
        }
        if settings.strategy != Strategy::Jaystand {
            return self.in_flight < self.spec.slots.max(1);
        }
        let prefill = (self.pending_tokens + missed_tokens) * self.latency.prefill_per_token();
        let max_prefill = if profile.class == 0 {
            MAX_URGENT_PREFILL_AHEAD_SECONDS
        } else {
            MAX_PREFILL_AHEAD_SECONDS
        };
        let fits_prefill = self.pending_tokens <= 0.0 || prefill <= max_prefill;
        fits_prefill && self.free_slots(now, profile, settings) > 0
    }

    /// Requests of this shape that the window has room for.
    fn free_slots(&self, now: Moment, profile: AdmissionProfile, settings: &Settings) -> u32 {
        if settings.strategy != Strategy::Jaystand {
            return self.spec.slots.max(1).saturating_sub(self.in_flight);
        }
        if self.health.state() != State::Healthy {
            return 1_u32.saturating_sub(self.awaiting_first_token);
        }
        if profile.is_long && settings.separate_long && !self.admits_long(now) {
            return 0;
        }
        window_limit(self.window.size(), profile).saturating_sub(self.in_flight)
    }

    /// Whether long work may join. Others' load counts, too: long work outlasts the lag of their reports.
    fn admits_long(&self, now: Moment) -> bool {
        let slots = f64::from(self.spec.slots.max(1));
        let own = f64::from(self.long_in_flight);
        let all = f64::from(self.in_flight) + self.others_in_flight(now);
        let part = (self.window.size() * MAX_LONG_WINDOW_SHARE).max(1.0);
        own + 1.0 <= part && all + 1.0 <= (slots * MAX_LONG_OCCUPANCY).max(1.0)
    }

    /// Requests of other daemons in flight there, from reports.
    pub(crate) fn others_in_flight(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.others_load_at).as_secs_f64();
        self.others_load * (-age / REPORT_HORIZON_SECONDS).exp()
    }

    /// Load as a part of the slots, what waits here included.
    pub(crate) fn occupancy(&self, now: Moment) -> f64 {
        let requests = f64::from(self.in_flight)
            + self.others_in_flight(now)
            + numeric::from_count(self.queue.len());
        requests / f64::from(self.spec.slots.max(1))
    }

    /// Takes a load report in. The own part is subtracted as it was about when the report was made.
    pub(crate) fn observe_report(&mut self, now: Moment, report: load::Report) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let taken = now.saturating_sub(report.age);
        if taken < self.others_load_at {
            return;
        }
        self.others_load = (total - self.own_load_average(now)).max(0.0);
        self.others_load_at = taken;
    }

    /// Counts an attempt in.
    pub(crate) fn add_attempt(&mut self, now: Moment, is_long: bool) {
        self.update_own_load(now);
        self.in_flight += 1;
        self.long_in_flight += u32::from(is_long);
    }

    /// Counts an attempt out.
    pub(crate) fn remove_attempt(&mut self, now: Moment, is_long: bool) {
        self.update_own_load(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.long_in_flight = self.long_in_flight.saturating_sub(u32::from(is_long));
        if self.in_flight == 0 {
            self.pending_tokens = 0.0;
        }
    }

    /// Seconds until a request of this shape may be sent.
    pub(crate) fn expected_wait(
        &self,
        now: Moment,
        profile: AdmissionProfile,
        settings: &Settings,
    ) -> f64 {
        let pause = self.paused_until.saturating_sub(now).as_secs_f64();
        let service = self.latency.service_time();
        let slots = f64::from(self.spec.slots.max(1));
        let total = f64::from(self.in_flight) + self.others_in_flight(now) + 1.0;
        let contention = (total - slots).max(0.0) * service / slots;
        let class = if settings.strategy == Strategy::Jaystand {
            profile.class
        } else {
            CLASSES - 1
        };
        let ahead = self.queue.count_ahead(class);
        let free = self.free_slots(now, profile, settings);
        let turns = f64::from((ahead + 1).saturating_sub(free));
        let width = if self.health.state() == State::Healthy {
            self.window.size()
        } else {
            1.0
        };
        let slots = turns * service / width;
        let prefill = self.queue.missed_tokens_ahead(class) * self.latency.prefill_per_token();
        pause + contention.max(slots).max(prefill)
    }

    /// Likelihood that a prefix seen there this long ago is still cached.
    pub(crate) fn retention_probability(&self, age: Duration) -> f64 {
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
        self.retention = learned.clamp(MIN_RETENTION_SECONDS, MAX_RETENTION_SECONDS);
    }

    /// Ratio of a first-token time to what the own load and the peers predict, whichever is nearer.
    pub(crate) fn slowness_sample(&self, tokens: f64, seconds: f64) -> f64 {
        let own = self.latency.first_token(tokens);
        let peers = self.peers.overhead + tokens * self.peers.prefill;
        let expected = own.max(peers).max(MIN_EXPECTED_SECONDS);
        seconds / expected
    }

    /// Expected seconds to first token. A slow server's own figures grow with its slowness, so those of its peers
    /// bound them.
    pub(crate) fn expected_first_token(&self, tokens: f64) -> f64 {
        let peers = self.peers.overhead + tokens * self.peers.prefill;
        self.latency.first_token(tokens).min(MAX_PEER_RATIO * peers)
    }

    fn own_load_average(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.own_load_at).as_secs_f64();
        let kept = (-age / OWN_LOAD_HORIZON_SECONDS).exp();
        self.own_load * kept + f64::from(self.in_flight) * (1.0 - kept)
    }

    fn update_own_load(&mut self, now: Moment) {
        self.own_load = self.own_load_average(now);
        self.own_load_at = now;
    }
}

/// A server's expected times exceed those of its peers at most by this factor.
const MAX_PEER_RATIO: f64 = 2.0;
/// First-token times under this are noise when compared.
pub(crate) const MIN_EXPECTED_SECONDS: f64 = 0.01;

fn window_limit(size: f64, profile: AdmissionProfile) -> u32 {
    if size < MIN_RESERVING_WINDOW {
        let burst = u32::from(profile.class == 0);
        return numeric::floor_to_count(size).max(1) + burst;
    }
    if !profile.reserve_urgent || profile.class == 0 {
        return numeric::floor_to_count(size);
    }
    let steps = numeric::from_count(profile.class);
    numeric::floor_to_count(size - (size * RESERVED_SHARE).max(1.0) * steps).max(1)
}

fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let (bytes, _) = hash.as_bytes().split_first_chunk::<8>().expect("32 bytes");
    u64::from_le_bytes(*bytes)
}
