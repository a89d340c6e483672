//! Request limits: the rate at which a server in need accepts requests from all hosts together.
//!
//! Hosts cannot agree on each request in time, so the rate is divided among a few hosts, which all hosts compute alike
//! (rendezvous hashing). The others send nothing to the server. Dividing it among all hosts would not hold: in a large
//! fleet one request of each host exceeds the limit of several seconds.

use std::{fmt, time::Duration};

use jaystand_types::Moment;

use crate::{ServerKey, prompt};

/// Identity of a host, which is equal on all hosts.
pub type HostId = u64;

/// Fewest hosts among which a limit is divided, so that the loss of one host does not idle the server.
const MIN_SHARES: u32 = 2;
/// A share whose permits are not used saves up those of this time, but at least one.
const BURST: Duration = Duration::from_secs(1);
/// Lower limits count as this one: a server that gets no request cannot lift its limit.
const MIN_PER_SECOND: f64 = 0.1;
/// Permits for weight orders and the reports before them that a host saves up: one order and its report.
const ORDER_PERMITS: f64 = 2.0;
/// A limit is raised step by step when no host has heard it for this long, and for some times the average time between
/// two requests: otherwise nobody would learn its end if the hosts that have a share get no requests from callers.
const EXPIRY: Duration = Duration::from_secs(10);
const EXPIRY_REQUESTS: f64 = 3.0;
/// A limit that the server no longer names is not dropped but doubles this often. The server may name it again with its
/// next answer, and until then all hosts would send to it at once, as it is the least loaded.
const EASING_PERIOD: Duration = Duration::from_secs(1);
/// A limit that has doubled this often binds no host any more and is dropped.
const EASING_PERIODS: u32 = 6;

/// Thousandths of a request in a request.
const MILLIS: u32 = 1_000;

jaystand_types::common! { value
    /// A positive number of requests a second, in thousandths.
    pub struct Rate(u32);
}

jaystand_types::common! { value
    /// The limit that an answer names.
    #[derive(Default)]
    pub enum Limit {
        /// The answer is too old to tell.
        #[default]
        Unstated,
        /// The answer names no limit.
        None,
        /// Requests a second from all hosts together.
        PerSecond(Rate),
        /// A limit that cannot be parsed, or that no server can mean.
        Invalid,
    }
}

jaystand_types::common! { value
    /// What an answer belongs to.
    pub enum Origin {
        /// The caller's request that was sent.
        Request,
        /// No request that it names, such as a call of the host itself.
        Unnamed,
        /// An earlier request.
        EarlierRequest,
    }
}

impl Limit {
    /// Returns what the limit in an answer proves. Only answers to callers' requests are known to name every limit, and
    /// the limit in a late answer may have changed since.
    #[must_use]
    pub fn proven_by(self, origin: Origin) -> Self {
        match (origin, self) {
            (Origin::EarlierRequest, _) | (Origin::Unnamed, Self::None) => Self::Unstated,
            (Origin::Request | Origin::Unnamed, limit) => limit,
        }
    }
}

jaystand_types::common! { value
    /// The purpose of a call to a server. Each call counts towards the server's limit.
    pub enum Call {
        /// The first send of a caller's request.
        Request,
        /// A further send of a caller's request.
        Retry,
        /// A send that resumes a stream.
        Resume,
        /// A question for events of the prefix cache.
        CacheEvents,
        /// A question for the report that precedes an order.
        Report,
        /// A weight order.
        Order,
    }
}

jaystand_types::common! { value
    /// What a host knows of a server's limit, for other hosts.
    pub struct Statement {
        /// The limit; `None` if the server names none any more.
        pub rate: Option<Rate>,
        /// Time since the answer that said so.
        pub age: Duration,
    }
}

/// The hosts among which limits are divided.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// This host; `None` while it takes no share.
    local: Option<HostId>,
    others: Vec<HostId>,
}

/// A host's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    /// Position among the hosts that have a share, from 0 on.
    rank: u32,
    /// Number of hosts that have a share.
    shares: u32,
}

/// The limit of a server and the permits that this host has under it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quota {
    rate: Rate,
    /// Since when the limit is raised; `None` while the server names it.
    eased_since: Option<Moment>,
    share: Option<Share>,
    /// Permits for callers' requests at `updated`. Orders use them, too, and can make them negative.
    permits: f64,
    /// Permits for orders and reports at `updated`.
    order_permits: f64,
    updated: Moment,
}

impl Fleet {
    /// Creates a fleet of this host, unless it takes no share, and others.
    #[must_use]
    pub fn new(local: Option<HostId>, others: Vec<HostId>) -> Self {
        Self { local, others }
    }

    /// Returns this host's share of a server's limit in requests a second.
    fn share(&self, server: ServerKey, per_second: f64) -> Option<Share> {
        let local = self.local?;
        let order = |host: HostId| (prompt::mix(server, host), host);
        let before = self
            .others
            .iter()
            .filter(|host| order(**host) > order(local));
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let hosts = u32::try_from(self.others.len() + 1).unwrap_or(u32::MAX);
        let shares = shares(per_second).min(hosts);
        (rank < shares).then_some(Share { rank, shares })
    }
}

impl Quota {
    /// Creates the quota of a limit that has just been named. The shares get their first permits one after the other.
    pub(crate) fn new(now: Moment, server: ServerKey, rate: Rate, fleet: &Fleet) -> Self {
        let share = fleet.share(server, rate.divided());
        let permits = share.map_or(0.0, |share| {
            1.0 - f64::from(share.rank + 1) / f64::from(share.shares)
        });
        Self {
            rate,
            eased_since: None,
            share,
            permits,
            order_permits: ORDER_PERMITS,
            updated: now,
        }
    }

    /// Returns whether this host has a share of the limit.
    pub(crate) fn has_share(&self) -> bool {
        self.share.is_some()
    }

    /// Returns the limit.
    pub(crate) fn rate(&self) -> Rate {
        self.rate
    }

    /// Returns whether the server no longer names the limit.
    pub(crate) fn is_eased(&self) -> bool {
        self.eased_since.is_some()
    }

    /// Returns whether the limit has been raised so far that it can be dropped.
    pub(crate) fn is_over(&self, now: Moment) -> bool {
        let over = |since: Moment| now >= since + EASING_PERIOD * EASING_PERIODS;
        self.eased_since.is_some_and(over)
    }

    /// Begins to raise the limit, unless that has begun.
    pub(crate) fn ease(&mut self, now: Moment) {
        self.refill(now);
        self.eased_since.get_or_insert(now);
    }

    /// Puts a limit in force that the server names.
    pub(crate) fn name(&mut self, now: Moment, server: ServerKey, rate: Rate, fleet: &Fleet) {
        self.refill(now);
        self.rate = rate;
        self.eased_since = None;
        self.divide(now, server, fleet);
    }

    /// Divides the limit among the hosts of a fleet. Permits stay, and a host that gets a share begins without any.
    pub(crate) fn divide(&mut self, now: Moment, server: ServerKey, fleet: &Fleet) {
        self.refill(now);
        let had_share = self.share.is_some();
        self.share = fleet.share(server, self.per_second(now));
        if !had_share {
            self.permits = self.permits.min(0.0);
        }
    }

    /// Returns whether a call may be sent now.
    pub(crate) fn allows(&self, now: Moment, call: Call) -> bool {
        match call {
            Call::Request | Call::Retry | Call::Resume => self.permits(now) >= 1.0,
            // Callers' requests use the limit better.
            Call::CacheEvents => false,
            Call::Report | Call::Order => self.order_permits(now) >= 1.0,
        }
    }

    /// Uses a permit for a call that is sent now.
    pub(crate) fn take(&mut self, now: Moment, call: Call) {
        self.refill(now);
        // A host without a share has no permits to lose, and gets no debt for a later share.
        if self.share.is_some() {
            self.permits -= 1.0;
        }
        if matches!(call, Call::Report | Call::Order) {
            self.order_permits -= 1.0;
        }
    }

    /// Returns the permit of a call that was not sent after all.
    pub(crate) fn give_back(&mut self) {
        self.permits += 1.0;
    }

    /// Returns the time until some host is expected to have a permit for a caller's request.
    pub(crate) fn next_permit(&self, now: Moment) -> Duration {
        let local = self.share.map_or(f64::INFINITY, |share| {
            (1.0 - self.permits(now)).max(0.0) / self.share_per_second(now, share)
        });
        Duration::from_secs_f64(local.min(1.0 / self.per_second(now)))
    }

    /// Returns how long the limit lasts without being named again.
    pub(crate) fn lifetime(&self) -> Duration {
        EXPIRY + Duration::from_secs_f64(EXPIRY_REQUESTS / self.rate.divided())
    }

    fn refill(&mut self, now: Moment) {
        (self.permits, self.order_permits) = (self.permits(now), self.order_permits(now));
        self.updated = now;
    }

    fn permits(&self, now: Moment) -> f64 {
        let Some(share) = self.share else {
            return self.permits.min(0.0);
        };
        let per_second = self.share_per_second(now, share);
        let most = (per_second * BURST.as_secs_f64()).max(1.0);
        (self.permits + per_second * self.elapsed(now)).min(most)
    }

    /// Orders come from one host at a time, which may have no share. It may send as much as one share allows.
    fn order_permits(&self, now: Moment) -> f64 {
        let per_second = self.rate.divided() / f64::from(shares(self.rate.divided()));
        (self.order_permits + per_second * self.elapsed(now)).min(ORDER_PERMITS)
    }

    fn share_per_second(&self, now: Moment, share: Share) -> f64 {
        self.per_second(now) / f64::from(share.shares)
    }

    /// Returns the requests a second that hosts divide among them.
    fn per_second(&self, now: Moment) -> f64 {
        let periods = self.eased_since.map_or(0.0, |since| {
            now.saturating_sub(since).div_duration_f64(EASING_PERIOD)
        });
        self.rate.divided() * periods.min(f64::from(EASING_PERIODS)).exp2()
    }

    fn elapsed(&self, now: Moment) -> f64 {
        now.saturating_sub(self.updated).as_secs_f64()
    }
}

impl Rate {
    /// Returns the rate in requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / f64::from(MILLIS)
    }

    /// Returns the rate in thousandths of a request a second.
    #[must_use]
    pub fn millis(self) -> u32 {
        self.0
    }

    /// Returns the rate of thousandths of a request a second, unless it is 0.
    #[must_use]
    pub fn from_millis(millis: u32) -> Option<Self> {
        (millis > 0).then_some(Self(millis))
    }

    /// Returns the requests a second that hosts divide among them while the server names the limit.
    fn divided(self) -> f64 {
        self.per_second().max(MIN_PER_SECOND)
    }
}

/// Returns the number of shares of a limit in requests a second: one for each request, so that the requests that all
/// hosts have saved up are those of about a second.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rate is positive, and a cast saturates"
)]
fn shares(per_second: f64) -> u32 {
    (per_second.ceil() as u32).max(MIN_SHARES)
}

impl TryFrom<f64> for Rate {
    type Error = OutOfRange;

    /// Converts requests a second. Fractions below a thousandth are rounded up, and rates above the largest one are
    /// reduced to it.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is positive, and a cast saturates"
    )]
    fn try_from(per_second: f64) -> Result<Self, OutOfRange> {
        if per_second.is_finite() && per_second > 0.0 {
            Ok(Self((per_second * f64::from(MILLIS)).ceil() as u32))
        } else {
            Err(OutOfRange(per_second))
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// A number that is not a rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0} is no positive number of requests a second")]
pub struct OutOfRange(f64);

impl Call {
    /// All purposes.
    pub const ALL: [Self; 6] = [
        Self::Request,
        Self::Retry,
        Self::Resume,
        Self::CacheEvents,
        Self::Report,
        Self::Order,
    ];

    /// Returns the name of the purpose in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::CacheEvents => "cache_events",
            Self::Report => "report",
            Self::Order => "order",
        }
    }
}
