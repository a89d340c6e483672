//! Even load on reports that are a little old.
//!
//! A host knows its own requests exactly and those of other hosts from reports that are some hundred milliseconds old.
//! If all hosts chose the server with the lowest score by these reports, all would choose the same one until the next
//! reports. Choices are therefore random: a host estimates how many requests the others have sent since their reports,
//! and chooses with probabilities that would fill the servers with the lowest scores to one common level if all hosts
//! chose so (Dahlin, "Interpreting stale load information", 2000). With fresh reports, or scores that differ by more
//! than these requests cost, the lowest score is chosen.
//!
//! The cost of requests depends on the speed of a server, which is learned from the times of its first events and
//! answers.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_types::Moment;
use smallvec::SmallVec;

use crate::{ServiceName, load::Load, report};

/// Time constant of the averages: load shifts within seconds, and a small host sends some requests a second.
const TIME_CONSTANT_S: f64 = 4.0;
/// Weight, in requests, of the presumed residence time.
const PRESUMED_WEIGHT: f64 = 2.0;
/// Presumed time from the send to the end of a request.
const PRESUMED_RESIDENCE_S: f64 = 0.5;
/// Lower bound on the measured time of a request, against division by zero.
const MIN_RESIDENCE_S: f64 = 1e-3;
/// Time after which measured times count half. Some servers slow down for seconds when they are nearly full.
const SPEED_HALF_LIFE_S: f64 = 8.0;
/// The same for times that other hosts report. They are many, and show the load of a moment as well as the speed: with
/// 8 s and their whole weight, all hosts avoided the same servers in turns.
const SHARED_HALF_LIFE_S: f64 = 30.0;
/// Weight of a reported time. A host gets 25 to 40 whole reports a second, and each repeats the times of some seconds.
const SHARED_WEIGHT: f64 = 0.05;
/// Times are reported if at least this much was expected: about two requests.
const MIN_REPORTED: Duration = Duration::from_millis(100);
/// Upper bound on the weight of one report, so that a wrong one does not outweigh all others. It is reached by a host that
/// sends ten requests of 100 ms a second to one server.
const MAX_MERGED: Duration = Duration::from_secs(10);
/// Weight, in seconds of measured time, of the presumption that a server has the mean speed.
const PRESUMED_S: f64 = 0.5;
/// Bounds on a measured time as a multiple of the expected one, so that an outlier does not hide a server.
const TIME_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Lower bound on the cost of a request, against division by zero.
const MIN_COST_MS: f64 = 0.1;

/// What this host knows of the requests of all services, its own and those of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    services: HashMap<ServiceName, Traffic>,
    observed: Moment,
}

/// Decaying sums over the requests of a service.
#[derive(Clone, Debug, Default)]
struct Traffic {
    /// Requests that this host sent.
    sends: f64,
    /// Prefill time of their prompts, in seconds.
    prefill_s: f64,
    /// Integral over time of this host's requests in flight.
    active_s: f64,
    /// This host's requests in flight at all servers.
    own: f64,
    /// Requests of all other hosts at all servers, by the latest reports.
    others: f64,
    /// Requests of all hosts at the busiest server, by the latest reports.
    busiest: f64,
    servers: f64,
    /// How long first events and answers took at all servers, against the expectation before any learning.
    times: Times,
}

/// The speed of one server: how long first events and answers took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Of this host's requests.
    own: Times,
    /// Of other hosts' requests, by their reports.
    shared: Times,
    /// Time of the last observation.
    observed: Moment,
    /// Time of the last report.
    merged: Moment,
}

/// Decaying sums of measured and expected times. Their ratio weighs long requests more than short ones, whose times
/// mostly consist of waits that were not foreseen.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    took_s: f64,
    expected_s: f64,
}

impl Times {
    fn add(&mut self, other: Times) {
        self.took_s += other.took_s;
        self.expected_s += other.expected_s;
    }

    fn scale(&mut self, factor: f64) {
        self.took_s *= factor;
        self.expected_s *= factor;
    }

    fn decayed(mut self, age: Duration, half_life_s: f64) -> Self {
        self.scale(0.5_f64.powf(age.as_secs_f64() / half_life_s));
        self
    }

    /// Returns the measured time over the expected one, drawn to 1 as long as little was measured.
    fn ratio(self) -> f64 {
        (self.took_s + PRESUMED_S) / (self.expected_s + PRESUMED_S)
    }
}

impl Speed {
    /// Returns how many times longer the server takes than a server of mean speed.
    #[must_use]
    pub fn slowness(&self, now: Moment) -> f64 {
        let mut times = self.own(now);
        times.add(self.shared(now));
        times.ratio()
    }

    /// Returns the measured and the expected time of this host's requests, for the report to other hosts. Returns `None`
    /// if there is too little to report.
    #[must_use]
    pub fn to_report(&self, now: Moment) -> Option<(Duration, Duration)> {
        let own = self.own(now);
        let took = Duration::try_from_secs_f64(own.took_s).ok()?;
        let expected = Duration::try_from_secs_f64(own.expected_s).ok()?;
        (expected >= MIN_REPORTED).then_some((took, expected))
    }

    /// Records the measured and the expected time of another host's requests.
    pub fn merge(&mut self, now: Moment, took: Duration, expected: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let expected_s = expected.min(MAX_MERGED).as_secs_f64();
        let took_s = expected_s * ratio.clamp(TIME_BOUNDS.0, TIME_BOUNDS.1);
        let mut times = Times { took_s, expected_s };
        times.scale(SHARED_WEIGHT);
        self.shared = self.shared(now);
        self.shared.add(times);
        self.merged = now;
    }

    fn observe(&mut self, now: Moment, times: Times) {
        self.own = self.own(now);
        self.own.add(times);
        self.observed = now;
    }

    /// Returns the times of this host's requests with their present weight.
    fn own(&self, now: Moment) -> Times {
        self.own
            .decayed(now.saturating_sub(self.observed), SPEED_HALF_LIFE_S)
    }

    /// Returns the times of other hosts' requests with their present weight.
    fn shared(&self, now: Moment) -> Times {
        self.shared
            .decayed(now.saturating_sub(self.merged), SHARED_HALF_LIFE_S)
    }
}

jaystand_types::common! { value
    /// The load of one server of a service, by this host's requests and by reports.
    pub struct Sample<'a> {
        /// The service.
        pub service: &'a ServiceName,
        /// This host's requests in flight.
        pub own: u32,
        /// Those that other hosts report.
        pub others: u32,
    }
}

/// How the load of a service is spread over its servers.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Requests in flight at a server by own sends and reports, on average.
    pub mean: f64,
    /// The same at the busiest server.
    pub busiest: f64,
    /// Requests that other hosts are expected to have sent to a server since their reports, on average.
    pub unreported: f64,
}

/// What is expected of a service's servers at the time of a choice.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Requests that other hosts have sent to a server since their reports, on average.
    arrivals: f64,
    /// Prefill time of a request in milliseconds, on average.
    request_ms: f64,
    /// Share of the reported requests that are still in flight.
    kept: f64,
    /// Reported requests in flight at a server, on average.
    mean: f64,
    /// How many times longer the service takes than expected before any learning.
    slowness: f64,
}

impl Estimate {
    /// Records a request that this host sends.
    pub fn record_sent(&mut self, service: &ServiceName, load: Load) {
        let traffic = match self.services.get_mut(service) {
            Some(traffic) => traffic,
            None => self.services.entry(service.clone()).or_default(),
        };
        traffic.sends += 1.0;
        traffic.prefill_s += seconds(load.prefill_us);
    }

    /// Records the present load of all servers. To be called at the interval of the reports.
    pub fn observe<'a>(&mut self, now: Moment, samples: impl Iterator<Item = Sample<'a>>) {
        let elapsed = now.saturating_sub(self.observed).as_secs_f64();
        self.observed = now;
        let kept = (-elapsed / TIME_CONSTANT_S).exp();
        for traffic in self.services.values_mut() {
            traffic.sends *= kept;
            traffic.prefill_s *= kept;
            traffic.active_s *= kept;
            traffic.times.scale(kept);
            traffic.others = 0.0;
            traffic.own = 0.0;
            traffic.busiest = 0.0;
            traffic.servers = 0.0;
        }
        for sample in samples {
            let traffic = match self.services.get_mut(sample.service) {
                Some(traffic) => traffic,
                None => self.services.entry(sample.service.clone()).or_default(),
            };
            traffic.active_s += f64::from(sample.own) * elapsed;
            traffic.own += f64::from(sample.own);
            traffic.others += f64::from(sample.others);
            let load = f64::from(sample.own) + f64::from(sample.others);
            traffic.busiest = traffic.busiest.max(load);
            traffic.servers += 1.0;
        }
        self.services.retain(|_, traffic| traffic.servers > 0.0);
    }

    /// Returns how the load of each service is spread, with reports that are this old on average.
    pub fn summaries(&self, age: Duration) -> impl Iterator<Item = (&ServiceName, Summary)> {
        self.services.iter().map(move |(service, traffic)| {
            let summary = Summary {
                mean: (traffic.own + traffic.others) / traffic.servers.max(1.0),
                busiest: traffic.busiest,
                unreported: self.outlook(service, age).arrivals,
            };
            (service, summary)
        })
    }

    /// Returns how many times longer first events and answers of a service take than expected before any learning.
    #[must_use]
    pub fn slowness(&self, service: &ServiceName) -> f64 {
        let traffic = self.services.get(service);
        traffic.map_or(1.0, |traffic| traffic.times.ratio())
    }

    /// Records how long a first event or an answer of a server took. `expected` is what placement expected, with all that
    /// was learned.
    pub fn record_time(
        &mut self,
        now: Moment,
        service: &ServiceName,
        speed: &mut Speed,
        took: Duration,
        expected: Duration,
    ) {
        let expected_s = expected.as_secs_f64() / speed.slowness(now);
        let took_s = took.as_secs_f64();
        let took_s = took_s.clamp(expected_s * TIME_BOUNDS.0, expected_s * TIME_BOUNDS.1);
        speed.observe(now, Times { took_s, expected_s });
        let slowness = self.slowness(service);
        if let Some(traffic) = self.services.get_mut(service) {
            let expected_s = expected_s / slowness;
            traffic.times.add(Times { took_s, expected_s });
        }
    }

    /// Returns what is expected of a service's servers when reports are this old on average.
    #[must_use]
    pub fn outlook(&self, service: &ServiceName, age: Duration) -> Outlook {
        let unknown = Traffic::default();
        let traffic = self.services.get(service).unwrap_or(&unknown);
        // Reports are older on average than at the moment at which all have just arrived.
        let age = age.max(report::PERIOD / 2).as_secs_f64();
        let residence = (traffic.active_s + PRESUMED_WEIGHT * PRESUMED_RESIDENCE_S)
            / (traffic.sends + PRESUMED_WEIGHT);
        let ended = age / residence.max(MIN_RESIDENCE_S);
        let request_s = traffic.prefill_s / traffic.sends.max(1.0);
        let servers = traffic.servers.max(1.0);
        Outlook {
            slowness: traffic.times.ratio(),
            // As many requests begin as end.
            arrivals: traffic.others * ended / servers,
            request_ms: request_s * 1_000.0,
            kept: 1.0 / (1.0 + ended),
            mean: traffic.others / servers,
        }
    }
}

impl Outlook {
    /// Returns how many requests of other hosts are expected to be in flight at a server now: those that were reported,
    /// drawn towards the mean of all servers by the share of them that has ended since.
    #[must_use]
    pub fn in_flight(&self, reported: u32) -> f64 {
        self.mean + (f64::from(reported) - self.mean) * self.kept
    }

    /// Returns how many times longer a server takes than expected before any learning.
    #[must_use]
    pub fn slowness(&self, now: Moment, speed: &Speed) -> f64 {
        self.slowness * speed.slowness(now)
    }

    /// Returns the prefill time of a request in milliseconds, on average.
    #[must_use]
    pub fn request_ms(&self) -> f64 {
        self.request_ms
    }

    /// Chooses a candidate. Each has a score in milliseconds, and a cost: by how much one more request raises its score.
    /// `draw` is uniformly distributed.
    ///
    /// The requests that others send to the candidates meanwhile would raise the lowest scores to a common level. Each
    /// candidate is chosen in proportion to its number of requests below that level, so that the choices of all hosts
    /// together reach it.
    #[must_use]
    pub fn pick(&self, candidates: &[(f64, f64)], draw: u64) -> Option<usize> {
        let mut order: SmallVec<[usize; 16]> = (0..candidates.len()).collect();
        order.sort_unstable_by(|a, b| candidates[*a].0.total_cmp(&candidates[*b].0));
        let first = *order.first()?;
        let arrivals = self.arrivals * to_f64(candidates.len() as u64);
        let mut level = candidates[first].0;
        // The sum of 1/cost and of score/cost over the candidates below the level.
        let (mut width, mut area) = (0.0, 0.0);
        for index in order {
            let (score, cost) = candidates[index];
            if width > 0.0 && score * width - area >= arrivals {
                break;
            }
            width += 1.0 / cost.max(MIN_COST_MS);
            area += score / cost.max(MIN_COST_MS);
            level = (arrivals + area) / width;
        }
        let room = |(score, cost): &(f64, f64)| (level - score).max(0.0) / cost.max(MIN_COST_MS);
        let all: f64 = candidates.iter().map(room).sum();
        let mut rest = to_f64(draw >> 11) / to_f64(1 << 53) * all;
        if all <= 0.0 {
            return Some(first);
        }
        for (index, candidate) in candidates.iter().enumerate() {
            rest -= room(candidate);
            if rest < 0.0 {
                return Some(index);
            }
        }
        Some(first)
    }
}

fn seconds(us: u64) -> f64 {
    to_f64(us) / 1e6
}

#[allow(
    clippy::cast_precision_loss,
    reason = "times and counts stay far below 2^52"
)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
