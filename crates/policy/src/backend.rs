//! The state of one backend server as this daemon sees it: in-flight counts, window, speed, health, load and queue.

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

/// Share of a window that long requests may occupy.
const MAX_LONG_WINDOW_SHARE: f64 = 0.5;
/// Share of a server's slots that may be in use when a long request is admitted, the request included.
const MAX_LONG_OCCUPANCY: f64 = 0.5;
/// Share of a window that normal requests leave to urgent ones. Background requests leave twice as much.
const RESERVED_SHARE: f64 = 0.125;
/// Smaller windows reserve nothing. Urgent requests may exceed them by one instead.
const MIN_RESERVING_WINDOW: f64 = 4.0;
/// Prefill time that may be pending on an engine when it gets a request that is not urgent, that request included. An
/// engine without pending prefill gets any request. Engines compute prompts one after another, so a pending prompt
/// delays the next urgent one.
const MAX_PREFILL_AHEAD_SECONDS: f64 = 0.02;
/// The same for urgent requests. Beyond it they wait in the router rather than in the engine, because their prefix may
/// be cached once the prompt ahead is computed, or another server may become free.
const MAX_URGENT_PREFILL_AHEAD_SECONDS: f64 = 0.1;
/// Averaging time of this daemon's own in-flight count, which is subtracted from reports. Reports lag by up to 5 s.
const OWN_LOAD_HORIZON_SECONDS: f64 = 2.5;
/// Time constant with which the reported load of other daemons decays.
const REPORT_HORIZON_SECONDS: f64 = 10.0;
/// Half-life of an idle prefix in an engine's cache, assumed before the first sample.
const INITIAL_RETENTION_SECONDS: f64 = 30.0;
const MIN_RETENTION_SECONDS: f64 = 1.0;
const MAX_RETENTION_SECONDS: f64 = 600.0;

/// The properties that decide whether a window admits a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionProfile {
    /// Urgency class, 0 the most urgent.
    pub(crate) class: usize,
    pub(crate) is_long: bool,
    /// Whether urgent requests have arrived recently, so that the window reserves room for them.
    pub(crate) reserve_urgent: bool,
}

/// Medians over all servers of a model, in seconds except for the slowness.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerMedians {
    pub(crate) overhead: f64,
    pub(crate) prefill: f64,
    /// Seconds between tokens.
    pub(crate) token: f64,
    pub(crate) slowness: f64,
}

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    pub(crate) spec: server::Spec,
    /// Hash of the name, for rendezvous hashing.
    pub(crate) name_hash: u64,
    /// Whether the server is in this daemon's data centre.
    pub(crate) is_local: bool,
    /// Number of the model; servers of one model share it.
    pub(crate) model_index: usize,
    incarnation: Incarnation,
    /// Changes whenever the server's cache becomes invalid.
    pub(crate) epoch: u32,
    pub(crate) leaving: bool,
    pub(crate) reachable: bool,
    /// No request is sent before this moment, after the server refused one or could not be connected to.
    pub(crate) paused_until: Moment,
    /// Consecutive attempts that could not be sent.
    pub(crate) connect_failures: u32,
    pub(crate) in_flight: u32,
    pub(crate) long_in_flight: u32,
    /// Attempts in flight without a first token.
    pub(crate) awaiting_first_token: u32,
    /// Prompt tokens of this daemon's requests that the server still has to compute.
    pub(crate) pending_tokens: f64,
    /// Attempts in flight whose first token is late.
    pub(crate) late_attempts: u32,
    pub(crate) window: Window,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) peers: PeerMedians,
    pub(crate) queue: Queue,
    /// Moving average of this daemon's attempts in flight.
    own_load: f64,
    own_load_at: Moment,
    /// Requests of other daemons in the last report.
    others_load: f64,
    others_load_at: Moment,
    /// Estimated half-life of an idle prefix in the cache, in seconds.
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

    /// Applies a new specification of the same server.
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

    /// Records the incarnation of an answer. A new one means that the cache was lost.
    pub(crate) fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation || incarnation == 0 {
            return;
        }
        if self.incarnation != 0 {
            self.epoch += 1;
        }
        self.incarnation = incarnation;
    }

    /// Returns whether the server may get new requests at all.
    pub(crate) fn eligible(&self) -> bool {
        !self.leaving && self.reachable
    }

    /// Returns whether a request that has to compute `missed_tokens` may be sent now.
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

    /// Returns how many requests of this profile the window has room for.
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

    /// Returns whether a long request may be sent. The load of other daemons counts too, because a long request
    /// outlasts the lag of reports.
    fn admits_long(&self, now: Moment) -> bool {
        let slots = f64::from(self.spec.slots.max(1));
        let own = f64::from(self.long_in_flight);
        let all = f64::from(self.in_flight) + self.others_in_flight(now);
        let max_long = (self.window.size() * MAX_LONG_WINDOW_SHARE).max(1.0);
        own + 1.0 <= max_long && all + 1.0 <= (slots * MAX_LONG_OCCUPANCY).max(1.0)
    }

    /// Returns the estimated number of other daemons' requests in flight, from reports.
    pub(crate) fn others_in_flight(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.others_load_at).as_secs_f64();
        self.others_load * (-age / REPORT_HORIZON_SECONDS).exp()
    }

    /// Returns the load relative to the slots, this daemon's waiting requests included.
    pub(crate) fn occupancy(&self, now: Moment) -> f64 {
        let requests = f64::from(self.in_flight)
            + self.others_in_flight(now)
            + numeric::from_count(self.queue.len());
        requests / f64::from(self.spec.slots.max(1))
    }

    /// Records a load report. Subtracts this daemon's own load, averaged over about the time since the report was made.
    pub(crate) fn observe_report(&mut self, now: Moment, report: load::Report) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let made_at = now.saturating_sub(report.age);
        if made_at < self.others_load_at {
            return;
        }
        self.others_load = (total - self.own_load_average(now)).max(0.0);
        self.others_load_at = made_at;
    }

    /// Adds an attempt to the in-flight counts.
    pub(crate) fn add_attempt(&mut self, now: Moment, is_long: bool) {
        self.update_own_load(now);
        self.in_flight += 1;
        self.long_in_flight += u32::from(is_long);
    }

    /// Removes an attempt from the in-flight counts.
    pub(crate) fn remove_attempt(&mut self, now: Moment, is_long: bool) {
        self.update_own_load(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.long_in_flight = self.long_in_flight.saturating_sub(u32::from(is_long));
        if self.in_flight == 0 {
            self.pending_tokens = 0.0;
        }
    }

    /// Returns the expected seconds until a request of this profile may be sent.
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
        let queue_wait = turns * service / width;
        let prefill = self.queue.missed_tokens_ahead(class) * self.latency.prefill_per_token();
        pause + contention.max(queue_wait).max(prefill)
    }

    /// Returns the likelihood that a prefix observed this long ago is still cached.
    pub(crate) fn retention_probability(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.retention).exp2()
    }

    /// Updates the estimated retention from a prefix of this age that was or was not still cached.
    pub(crate) fn observe_retention(&mut self, age: Duration, still_cached: bool) {
        let age = age.as_secs_f64();
        let learned = if still_cached {
            self.retention.max(1.5 * age)
        } else {
            0.7 * self.retention + 0.3 * age.min(self.retention) * 0.7
        };
        self.retention = learned.clamp(MIN_RETENTION_SECONDS, MAX_RETENTION_SECONDS);
    }

    /// Returns the ratio of a first-token time to the expected one: that of this server or of its peers, whichever is
    /// longer.
    pub(crate) fn slowness_sample(&self, tokens: f64, seconds: f64) -> f64 {
        let own = self.latency.first_token(tokens);
        let peers = self.peers.overhead + tokens * self.peers.prefill;
        let expected = own.max(peers).max(MIN_EXPECTED_SECONDS);
        seconds / expected
    }

    /// Returns the expected seconds to first token. The estimates of a slow server grow with its slowness, so those of
    /// its peers bound them.
    pub(crate) fn expected_first_token(&self, tokens: f64) -> f64 {
        let peers = self.peers.overhead + tokens * self.peers.prefill;
        self.latency.first_token(tokens).min(MAX_PEER_RATIO * peers)
    }

    fn own_load_average(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.own_load_at).as_secs_f64();
        let weight = (-age / OWN_LOAD_HORIZON_SECONDS).exp();
        self.own_load * weight + f64::from(self.in_flight) * (1.0 - weight)
    }

    fn update_own_load(&mut self, now: Moment) {
        self.own_load = self.own_load_average(now);
        self.own_load_at = now;
    }
}

/// Upper bound of a server's expected first-token time, relative to that of its peers.
const MAX_PEER_RATIO: f64 = 2.0;
/// Lower bound of an expected first-token time. Ratios to shorter times are noise.
pub(crate) const MIN_EXPECTED_SECONDS: f64 = 0.01;

/// Returns the attempts in flight up to which a window admits requests of this profile.
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
