//! The requests of one service that wait at this host, because all servers that may run them are full.
//!
//! The next one is that of the most urgent rank, then of the team that has received least of the service's recent
//! capacity, then the one that must begin first. Retries come after first attempts, and requests that are late already
//! after those that can be answered in time: otherwise all would be late in a long overload. Ranks and teams that are served
//! much less often than all requests come before the others, so that none starves.
//!
//! A request waits only while it can still be served in time at the rate at which this host has sent requests recently.
//! Others are shed at once, the last ones of the order first.
//!
//! All hosts get a random share of each team's requests, so that they need not exchange messages about shares.

use std::{cmp::Ordering, time::Duration};

use hashbrown::HashMap;
use jaystand_types::{Moment, TeamId};
use smallvec::SmallVec;

use crate::{capacity::unit, prompt};

/// Time constant of the shares of ranks and teams. It spans the deadlines of most requests.
const SHARE_WINDOW: Duration = Duration::from_secs(4);
/// Time constant of the rate at which requests are sent. It covers several requests on hosts that send a few a second.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Lower bound on the rate per second: a host that has sent nothing for some time doesn't know that it couldn't.
const MIN_RATE: f64 = 2.0;
/// No request is refused by the rate before the shortage has lasted this long. Reports may be as old, so that a short
/// burst at a host with few requests looks like a shortage.
const EVIDENCE_TIME: Duration = Duration::from_millis(300);
/// Ranks and teams must be served at least a quarter as often as all requests. The share is estimated from some tens of
/// requests, hence the margin.
const MIN_SERVED_SHARE: f64 = 0.35;
/// Recent requests of a rank or team below which its share is unknown.
const MIN_OFFERED: f64 = 3.0;
/// A request waits for at most its time left divided by this, so that its answer, or the caller's retry after a refusal,
/// is in time.
const WAIT_DIVISOR: u32 = 2;
/// Requests leave the queue at most at the recent rate multiplied by this, after servers were found full. With reports
/// up to 300 ms old, all hosts see the same free capacity, and would fill it several times over.
const PACE_FACTOR: f64 = 1.2;
/// Increase of that factor per second while no server is found full, so that the queue drains when capacity suffices
/// again. A report period adds half.
const PACE_GROWTH_PER_S: f64 = 2.5;
/// Upper bound on the factor.
const MAX_PACE_FACTOR: f64 = 6.0;
/// Lower bound on that pace per second. A host that sends few requests does not overload a service.
const MIN_PACE: f64 = 10.0;
/// Share of a server's limit that is kept for each more urgent rank with recent requests. Hosts do not know which
/// requests wait at others; by this the most urgent ones of all hosts are sent first. A server still takes its slots of
/// any rank.
const RANK_RESERVE: f64 = 0.12;
/// Number of more urgent ranks that count.
const MAX_RESERVES: u32 = 2;
/// Requests that may leave at once.
const PACE_BURST: f64 = 4.0;
/// Factor on the rate of accepted requests at which a service that refuses gets requests.
const LIMIT_DECREASE: f64 = 0.6;
/// The limit does not fall below the rate of accepted requests multiplied by this. Without it, the limits of all hosts
/// fall below the capacity together when a burst begins.
const LIMIT_FLOOR: f64 = 0.5;
/// Increase of that limit per second, as a share of its value.
const LIMIT_GROWTH_PER_S: f64 = 0.05;
/// The same until a request is refused again. When a burst begins, the rate of accepted requests is that of the load
/// before, not the capacity.
const START_GROWTH_PER_S: f64 = 0.5;
/// Lower bound on that limit per second, so that a host with few requests is hardly delayed.
const MIN_LIMIT: f64 = 3.0;
/// Requests that may be sent at once under the limit.
const LIMIT_BURST: f64 = 2.0;
/// At most one decrease of the limit within this time. Requests that were sent before it are still refused after it.
const LIMIT_REACTION: Duration = Duration::from_millis(500);
/// The limit ends when no request has been refused for this long.
const LIMIT_END: Duration = Duration::from_secs(4);
/// Times after which refused callers should retry are spread over this at most.
const MAX_RETURN: Duration = Duration::from_secs(5);
/// A shortage ends when no request has waited for this long. Shorter breaks are part of one overload.
const SHORTAGE_END: Duration = Duration::from_secs(2);
/// Recent demand of a team below which it is forgotten.
const FORGOTTEN: f64 = 0.01;

/// Identity of a waiting request within its queue.
pub type Id = u64;

jaystand_types::common! { value
    /// Bounds on the requests that wait. Each holds its caller's connection and its body.
    pub struct Bounds {
        /// Number of requests.
        pub requests: usize,
        /// Bytes of their bodies.
        pub bytes: usize,
    }

    /// A request was refused because no server has capacity; the time after which its caller should retry.
    pub struct NoRoom(pub Duration);

    /// A change between sufficient and short capacity.
    pub enum Shortage {
        /// The first request waits.
        Began,
        /// No request has waited for some time.
        Ended {
            /// Time from the beginning to the last waiting request.
            lasted: Duration,
            /// Requests that waited.
            waited: u64,
            /// Requests that were refused.
            refused: u64,
        },
    }
}

jaystand_types::common! { data
    /// A request as the queue sees it.
    pub struct Request {
        /// Its rank; 0 is the most urgent.
        pub rank: u8,
        /// Its team; empty if it has none.
        pub team: TeamId,
        /// Whether a server has refused it before.
        pub retry: bool,
        /// Bytes of its body.
        pub bytes: usize,
        /// Its deadline.
        pub deadline: Moment,
        /// Time until which an answer, or its first event, is in time. Later ones still count, but less.
        pub objective: Moment,
        /// Expected time at an idle server.
        pub needs: Duration,
    }
}

/// A sum of which earlier parts count less.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    sum: f64,
    at: Moment,
}

impl Recent {
    fn add(&mut self, now: Moment, amount: f64, window: Duration) {
        self.sum = self.get(now, window) + amount;
        self.at = now;
    }

    fn get(&self, now: Moment, window: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / window.as_secs_f64()).exp()
    }
}

/// The recent requests of a rank, of a team, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    offered: Recent,
    served: Recent,
    /// Tokens, or requests of plain services, that were sent.
    work: Recent,
}

impl Demand {
    /// Returns the share of the recent requests that were sent, or `None` if there are too few.
    fn served_share(&self, now: Moment) -> Option<f64> {
        let offered = self.offered.get(now, SHARE_WINDOW);
        (offered >= MIN_OFFERED).then(|| self.served.get(now, SHARE_WINDOW) / offered)
    }
}

/// A limit on the requests that this host sends, after servers refused requests while all were full.
///
/// Limits on load do not suffice for plain services: a request takes 30 ms, so that the servers are full and idle again
/// within one report. The rate of accepted requests tells what share of the service this host has.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    per_second: f64,
    /// Whether a request was refused later than those that began the limit.
    is_confirmed: bool,
    decreased: Moment,
    refused: Moment,
    permits: f64,
    renewed: Moment,
}

impl RateLimit {
    /// Returns the number of requests that may be sent now.
    fn permits(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.renewed).as_secs_f64();
        (self.permits + elapsed * self.per_second).min(LIMIT_BURST)
    }

    fn renew(&mut self, now: Moment) {
        self.permits = self.permits(now);
        let elapsed = now.saturating_sub(self.renewed).as_secs_f64();
        let growth = if self.is_confirmed {
            LIMIT_GROWTH_PER_S
        } else {
            START_GROWTH_PER_S
        };
        self.per_second *= 1.0 + elapsed * growth;
        self.renewed = now;
    }
}

#[derive(Clone, Debug)]
struct Entry {
    id: Id,
    request: Request,
    joined: Moment,
    /// It must leave the queue before.
    latest_start: Moment,
}

impl Entry {
    fn new(now: Moment, id: Id, request: Request) -> Self {
        let left = request.deadline.saturating_sub(now);
        let latest_start = request
            .deadline
            .saturating_sub(request.needs)
            .min(now + left / WAIT_DIVISOR);
        Self {
            id,
            request,
            joined: now,
            latest_start,
        }
    }
}

/// Position of a request in the order; lower ones come first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Position {
    /// 0 if its rank or team is served much less often than all requests, or else 1.
    starved: u8,
    rank: u8,
    retry: bool,
    /// Whether it can no longer be answered in time.
    late: bool,
    work: f64,
    latest_start: Moment,
}

/// The waiting requests of one service.
#[derive(Clone, Debug)]
pub struct Queue {
    bounds: Bounds,
    entries: Vec<Entry>,
    next_id: Id,
    bytes: usize,
    all: Demand,
    ranks: HashMap<u8, Demand>,
    teams: HashMap<TeamId, Demand>,
    sent: Recent,
    /// Requests that may leave now by the pace, at `paced`.
    permits: f64,
    paced: Moment,
    /// When a waiting request last found all servers full.
    last_full: Moment,
    limit: Option<RateLimit>,
    /// When the caller that was refused last should retry.
    last_return: Moment,
    /// Beginning of the shortage, and the last time at which a request waited.
    shortage: Option<(Moment, Moment)>,
    /// Whether `update` has returned the beginning of the shortage.
    announced: bool,
    waited: u64,
    refused: u64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: Vec::new(),
            next_id: 0,
            bytes: 0,
            all: Demand::default(),
            ranks: HashMap::new(),
            teams: HashMap::new(),
            sent: Recent::default(),
            permits: PACE_BURST,
            paced: Moment::ZERO,
            last_full: Moment::ZERO,
            limit: None,
            last_return: Moment::ZERO,
            shortage: None,
            announced: false,
            waited: 0,
            refused: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request waits.
    #[must_use]
    pub fn contains(&self, id: Id) -> bool {
        self.entries.iter().any(|entry| entry.id == id)
    }

    /// Records that a request for the service arrived.
    pub fn record_offered(&mut self, now: Moment, rank: u8, team: &TeamId) {
        for demand in self.demands(rank, team) {
            demand.offered.add(now, 1.0, SHARE_WINDOW);
        }
    }

    /// Records that a request was sent to a server, whether it waited or not. `work` is its size in tokens, or 1.
    pub fn record_sent(&mut self, now: Moment, rank: u8, team: &TeamId, work: u32, retry: bool) {
        self.sent.add(now, 1.0, RATE_WINDOW);
        if let Some(limit) = &mut self.limit {
            limit.renew(now);
            limit.permits -= 1.0;
        }
        for demand in self.demands(rank, team) {
            demand.work.add(now, f64::from(work), SHARE_WINDOW);
            if !retry {
                demand.served.add(now, 1.0, SHARE_WINDOW);
            }
        }
    }

    /// Records that a server refused a request. `is_full` tells whether no other server has capacity.
    pub fn record_refused(&mut self, now: Moment, is_full: bool) {
        // Refused requests are no part of the rate that the service takes.
        self.sent.add(now, -1.0, RATE_WINDOW);
        let accepted = self.rate(now).max(MIN_LIMIT);
        match &mut self.limit {
            Some(limit) => {
                limit.renew(now);
                limit.refused = now;
                if now.saturating_sub(limit.decreased) >= LIMIT_REACTION {
                    limit.decreased = now;
                    limit.is_confirmed = true;
                    let floor = (accepted * LIMIT_FLOOR).max(MIN_LIMIT);
                    limit.per_second = (limit.per_second * LIMIT_DECREASE).max(floor);
                }
            }
            None if is_full => {
                self.limit = Some(RateLimit {
                    per_second: (accepted * LIMIT_DECREASE).max(MIN_LIMIT),
                    is_confirmed: false,
                    decreased: now,
                    refused: now,
                    permits: LIMIT_BURST,
                    renewed: now,
                });
            }
            None => {}
        }
    }

    /// Returns whether the limit on the rate permits a request.
    fn is_permitted(&self, now: Moment) -> bool {
        let active = |limit: &RateLimit| now.saturating_sub(limit.refused) < LIMIT_END;
        let limit = self.limit.as_ref().filter(|limit| active(limit));
        limit.is_none_or(|limit| limit.permits(now) >= 1.0)
    }

    /// Returns whether an arriving request may be sent without joining: it comes before all that wait.
    #[must_use]
    pub fn is_first(&self, now: Moment, request: &Request) -> bool {
        if !self.is_permitted(now) {
            return false;
        }
        if self.entries.is_empty() {
            return true;
        }
        let position = self.position(now, &Entry::new(now, self.next_id, request.clone()));
        let mut entries = self.entries.iter();
        entries.all(|entry| position < self.position(now, entry))
    }

    /// Adds a request. Also returns the request that must leave because the queue is full.
    ///
    /// # Errors
    /// Fails if the request would not be served in time.
    pub fn join(&mut self, now: Moment, request: Request) -> Result<(Id, Option<Id>), NoRoom> {
        let left = request.deadline.saturating_sub(now);
        let entry = Entry::new(now, self.next_id, request);
        let latest_start = entry.latest_start;
        let position = self.position(now, &entry);
        let ahead = self.entries.iter();
        let ahead = ahead
            .filter(|other| self.position(now, other) <= position)
            .count();
        self.observe_wait(now);
        if now + self.expected_wait(now, position.rank, position.late, ahead) > latest_start {
            return Err(self.refuse(now, left));
        }
        let is_full = self.entries.len() >= self.bounds.requests
            || self.bytes + entry.request.bytes > self.bounds.bytes;
        let last = if is_full {
            // A request of a later position leaves, if its place suffices.
            let last = self.last(now).filter(|(last, other)| {
                let bytes = self.bytes - other.request.bytes + entry.request.bytes;
                *last > position && bytes <= self.bounds.bytes
            });
            let last = last.map(|(_, other)| other.id);
            let Some(last) = last else {
                return Err(self.refuse(now, left));
            };
            self.leave(last);
            Some(last)
        } else {
            None
        };
        let id = entry.id;
        self.next_id += 1;
        self.bytes += entry.request.bytes;
        self.waited += 1;
        self.entries.push(entry);
        Ok((id, last))
    }

    /// Returns the requests that may be sent next, in order and at most `count`, if the pace permits one.
    pub fn first(&mut self, now: Moment, count: usize) -> SmallVec<[Id; 8]> {
        self.renew_permits(now);
        if self.permits < 1.0 || !self.is_permitted(now) {
            return SmallVec::new();
        }
        if count == 1 {
            // Finding the first one is cheaper than sorting.
            let first = self.positions(now).min_by(compare);
            return first.into_iter().map(|(_, id)| id).collect();
        }
        let order = self.order(now);
        order.into_iter().take(count).map(|(_, id)| id).collect()
    }

    /// Returns the share of a server's limit that a request of a rank and team must leave to more urgent ones.
    #[must_use]
    pub fn reserve(&self, now: Moment, rank: u8, team: &TeamId) -> f64 {
        if self.is_starved(now, rank, team) {
            return 0.0;
        }
        let ranks = self.ranks.iter();
        let urgent = ranks.filter(|(other, demand)| {
            **other < rank && demand.offered.get(now, SHARE_WINDOW) > FORGOTTEN
        });
        let count = u32::try_from(urgent.count()).unwrap_or(u32::MAX);
        f64::from(count.min(MAX_RESERVES)) * RANK_RESERVE
    }

    /// Records that a waiting request has found a server. Returns how long it waited.
    pub fn record_placed(&mut self, now: Moment, id: Id) -> Duration {
        self.renew_permits(now);
        self.permits -= 1.0;
        let joined = self.leave(id).unwrap_or(now);
        now.saturating_sub(joined)
    }

    /// Records that a waiting request has found all servers full.
    pub fn record_full(&mut self, now: Moment) {
        self.renew_permits(now);
        self.last_full = now;
    }

    /// Removes a request, for example because its caller has gone. Returns when it joined.
    pub fn leave(&mut self, id: Id) -> Option<Moment> {
        let index = self.entries.iter().position(|entry| entry.id == id)?;
        let entry = self.entries.swap_remove(index);
        self.bytes -= entry.request.bytes;
        Some(entry.joined)
    }

    /// Removes and returns the requests that would not be served in time by their position and the recent rate. The last
    /// ones of the order leave first, and their places do not count for the others.
    pub fn shed(&mut self, now: Moment) -> Vec<Id> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.observe_wait(now);
        let latest: HashMap<Id, Moment> = self
            .entries
            .iter()
            .map(|entry| (entry.id, entry.latest_start))
            .collect();
        let mut ahead = 0;
        let mut shed = Vec::new();
        for (position, id) in self.order(now) {
            let wait = self.expected_wait(now, position.rank, position.late, ahead);
            let starts = now + wait;
            // The first one is expected to leave next, whatever the rate.
            let starts = if ahead == 0 { now } else { starts };
            if starts > latest[&id] {
                shed.push(id);
            } else {
                ahead += 1;
            }
        }
        for id in &shed {
            self.leave(*id);
        }
        shed
    }

    /// Refuses a request that has `left` until its deadline. Returns when its caller should retry: the times of all
    /// refused callers are spread at the rate at which requests are sent, after those that wait now.
    pub fn refuse(&mut self, now: Moment, left: Duration) -> NoRoom {
        self.refused += 1;
        let interval = Duration::from_secs_f64(1.0 / self.rate(now));
        let drained = now + self.expected_wait(now, 0, false, self.entries.len());
        self.last_return = drained
            .max(self.last_return + interval)
            .min(now + MAX_RETURN);
        let wait = self.last_return.saturating_sub(now);
        let wait = wait.min(crate::admission::longest_retry_after(left));
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let jitter = unit(prompt::mix(self.refused, micros));
        NoRoom(wait.mul_f64(0.75 + 0.25 * jitter))
    }

    /// Forgets teams without recent requests, and returns a change of the shortage.
    pub fn update(&mut self, now: Moment) -> Option<Shortage> {
        self.teams
            .retain(|_, team| team.offered.get(now, SHARE_WINDOW) > FORGOTTEN);
        let is_over = |limit: &mut RateLimit| now.saturating_sub(limit.refused) >= LIMIT_END;
        self.limit.take_if(is_over);
        let (began, last) = self.shortage?;
        if !std::mem::replace(&mut self.announced, true) {
            return Some(Shortage::Began);
        }
        if now.saturating_sub(last) < SHORTAGE_END || !self.entries.is_empty() {
            return None;
        }
        self.shortage = None;
        self.announced = false;
        Some(Shortage::Ended {
            lasted: last.saturating_sub(began),
            waited: std::mem::take(&mut self.waited),
            refused: std::mem::take(&mut self.refused),
        })
    }

    /// Returns whether requests wait, have waited recently, or are limited in their rate.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.shortage.is_some() || self.limit.is_some()
    }

    /// Records that a request waits.
    fn observe_wait(&mut self, now: Moment) {
        let (_, last) = self.shortage.get_or_insert((now, now));
        *last = now;
    }

    /// Returns the requests that this host sends to the service in a second.
    fn rate(&self, now: Moment) -> f64 {
        let sent = self.sent.get(now, RATE_WINDOW);
        (sent / RATE_WINDOW.as_secs_f64()).max(MIN_RATE)
    }

    /// Returns the requests that this host sends in a second when those that come before a position, and may arrive at any
    /// time, go first. Ranks that would starve keep their share.
    fn rate_of(&self, now: Moment, rank: u8, late: bool) -> f64 {
        let offered =
            |demand: &Demand| demand.offered.get(now, SHARE_WINDOW) / SHARE_WINDOW.as_secs_f64();
        let ranks = self.ranks.iter();
        let urgent: f64 = ranks
            .filter(|(other, _)| **other < rank || (late && **other == rank))
            .map(|(_, demand)| offered(demand))
            .sum();
        let own = self.ranks.get(&rank).map_or(0.0, offered);
        let share = self.all.served_share(now).unwrap_or(1.0).min(1.0);
        let rate = self.rate(now);
        let least = if late { 0.0 } else { own * share };
        (rate - urgent)
            .max(least * MIN_SERVED_SHARE)
            .clamp(MIN_RATE, rate)
    }

    /// Returns the expected time until a request with so many ahead of it is sent.
    fn expected_wait(&self, now: Moment, rank: u8, late: bool, ahead: usize) -> Duration {
        let recent = |(began, _)| now.saturating_sub(began) < EVIDENCE_TIME;
        if self.shortage.is_none_or(recent) {
            return Duration::ZERO;
        }
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        Duration::from_secs_f64(ahead / self.rate_of(now, rank, late))
    }

    fn renew_permits(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.paced).as_secs_f64();
        let unhindered = now.saturating_sub(self.last_full).as_secs_f64();
        let factor = (PACE_FACTOR + unhindered * PACE_GROWTH_PER_S).min(MAX_PACE_FACTOR);
        let pace = (self.rate(now) * factor).max(MIN_PACE);
        self.permits = (self.permits + elapsed * pace).min(PACE_BURST);
        self.paced = now;
    }

    /// Returns the waiting requests in order.
    fn order(&self, now: Moment) -> Vec<(Position, Id)> {
        let mut order: Vec<(Position, Id)> = self.positions(now).collect();
        order.sort_by(compare);
        order
    }

    /// Returns the waiting requests with their positions, in no order.
    fn positions(&self, now: Moment) -> impl Iterator<Item = (Position, Id)> {
        let entries = self.entries.iter();
        entries.map(move |entry| (self.position(now, entry), entry.id))
    }

    /// Returns the last request of the order.
    fn last(&self, now: Moment) -> Option<(Position, &Entry)> {
        let entries = self.entries.iter();
        entries
            .map(|entry| (self.position(now, entry), entry))
            .reduce(|last, other| if other.0 > last.0 { other } else { last })
    }

    /// Returns whether a rank or a team is served much less often than all requests.
    fn is_starved(&self, now: Moment, rank: u8, team: &TeamId) -> bool {
        let all = self.all.served_share(now).unwrap_or(1.0);
        let mut demands = self
            .teams
            .get(team)
            .into_iter()
            .chain(self.ranks.get(&rank));
        demands.any(|demand| {
            let share = demand.served_share(now);
            share.is_some_and(|share| share < all * MIN_SERVED_SHARE)
        })
    }

    fn position(&self, now: Moment, entry: &Entry) -> Position {
        let Request {
            rank,
            team,
            retry,
            objective,
            needs,
            ..
        } = &entry.request;
        let work = self.teams.get(team).map(|team| team.work);
        Position {
            starved: u8::from(!self.is_starved(now, *rank, team)),
            rank: *rank,
            retry: *retry,
            late: now + *needs > *objective,
            work: work.map_or(0.0, |work| work.get(now, SHARE_WINDOW)),
            latest_start: entry.latest_start,
        }
    }

    fn demands(&mut self, rank: u8, team: &TeamId) -> [&mut Demand; 3] {
        let team = self.teams.entry_ref(team).or_default();
        [&mut self.all, self.ranks.entry(rank).or_default(), team]
    }
}

/// Compares two requests by their positions, and those of equal positions by the time at which they joined.
fn compare((a, a_id): &(Position, Id), (b, b_id): &(Position, Id)) -> Ordering {
    let positions = a.partial_cmp(b).unwrap_or(Ordering::Equal);
    positions.then(a_id.cmp(b_id))
}
