//! `micro`: measures the cost of one request decision (time, allocations and memory) over numbers of servers, prefix
//! levels, teams and requests in flight.

use std::{
    collections::VecDeque,
    fmt,
    num::NonZeroU32,
    sync::Arc,
    time::{Duration, Instant},
};

use jaystand_policy::{
    Action, Chain, Event, Fleet, Request, Router, Salt, router::Settings, server, team,
};
use jaystand_types::{Moment, RepeatRule, RequestId, ServerId, Urgency};

/// Decisions measured for each row.
const DECISIONS: usize = 20_000;
/// Decisions before the measured ones, so that observations, heat and buffers reach their steady size.
const WARM_UP: usize = 10_000;
const CONVERSATIONS: u64 = 4_000;
/// System prompts that the conversations share; a tenth of the requests go to the first.
const SYSTEM_PROMPTS: u64 = 40;
const SLOTS: u32 = 64;
const PIECE_BYTES: usize = 4_096;
const PIECE_TOKENS: u32 = 250;
/// Time between two requests to one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);

/// Counters of the program's global allocator.
#[derive(Clone, Copy)]
pub struct Meter {
    /// Allocations since the start, reallocations included.
    pub allocations: fn() -> u64,
    /// Bytes allocated and not yet freed.
    pub live_bytes: fn() -> u64,
}

/// The size that a row was measured at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Servers that the request may use.
    pub servers: u32,
    /// Levels of the prefix chain.
    pub levels: u8,
    /// Teams with a share and a limit each.
    pub teams: u32,
    /// Requests in flight.
    pub in_flight: usize,
}

/// One row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// Figure that the row varies.
    pub axis: &'static str,
    /// The size.
    pub size: Size,
    /// Median time of a decision.
    pub median: Duration,
    /// 99th percentile of the time of a decision.
    pub p99: Duration,
    /// Mean allocations of a decision, without those that build the request.
    pub allocations: f64,
    /// 99th percentile of the times of all ticks, to show those with the periodic work, which runs ten times a second.
    pub tick: Duration,
    /// Memory of the router, in bytes.
    pub memory: u64,
}

/// The measured rows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The rows, grouped by axis.
    pub rows: Vec<Row>,
}

/// Size from which each row varies one figure.
const BASE_SIZE: Size = Size {
    servers: 300,
    levels: 16,
    teams: 80,
    in_flight: 200,
};

/// Size at which the median time of a decision must be below [`MAX_MEDIAN`].
const TARGET_SIZE: Size = Size {
    servers: 300,
    levels: 64,
    teams: 320,
    in_flight: 200,
};

/// Bound on the median time of a decision at the target size.
pub const MAX_MEDIAN: Duration = Duration::from_micros(10);

/// Measures all rows; takes some seconds in release mode.
#[must_use]
pub fn run(meter: Meter) -> Table {
    let mut table = Table::default();
    let mut add = |axis, size| table.rows.push(measure(meter, axis, size));
    for servers in [10, 50, 300, 1_200] {
        add(
            "servers",
            Size {
                servers,
                ..BASE_SIZE
            },
        );
    }
    for levels in [1, 16, 64] {
        add(
            "levels",
            Size {
                levels,
                ..BASE_SIZE
            },
        );
    }
    for teams in [8, 80, 320] {
        add("teams", Size { teams, ..BASE_SIZE });
    }
    for in_flight in [0, 200, 2_000, 8_000] {
        add(
            "in flight",
            Size {
                in_flight,
                ..BASE_SIZE
            },
        );
    }
    add("target", TARGET_SIZE);
    table
}

impl Table {
    /// Returns whether the median decision at the target size is below the bound.
    #[must_use]
    pub fn within_bound(&self) -> bool {
        let mut target = self.rows.iter().filter(|row| row.axis == "target");
        target.all(|row| row.median < MAX_MEDIAN)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:10} {:>8} {:>7} {:>6} {:>10} {:>11} {:>9} {:>12} {:>9} {:>11}",
            "axis",
            "servers",
            "levels",
            "teams",
            "in flight",
            "median ns",
            "p99 ns",
            "allocations",
            "tick us",
            "memory KiB"
        )?;
        for row in &self.rows {
            let size = row.size;
            writeln!(
                f,
                "{:10} {:>8} {:>7} {:>6} {:>10} {:>11} {:>9} {:>12.2} {:>9.1} {:>11}",
                row.axis,
                size.servers,
                size.levels,
                size.teams,
                size.in_flight,
                row.median.as_nanos(),
                row.p99.as_nanos(),
                row.allocations,
                row.tick.as_secs_f64() * 1e6,
                row.memory / 1_024
            )?;
        }
        Ok(())
    }
}

/// A router with simulated callers and servers that answer at once.
struct Load {
    size: Size,
    router: Router,
    now: Moment,
    last_id: RequestId,
    servers: Arc<[ServerId]>,
    /// Dispatched attempts without a first token yet.
    sent: VecDeque<(RequestId, u32)>,
    running: VecDeque<(RequestId, u32)>,
    chains: Vec<Chain>,
    actions: Vec<Action>,
}

fn measure(meter: Meter, axis: &'static str, size: Size) -> Row {
    let chains = (0..CONVERSATIONS)
        .map(|number| chain(number, size))
        .collect();
    let before = (meter.live_bytes)();
    let mut load = Load::new(size, chains);
    let mut times = Vec::with_capacity(DECISIONS);
    let mut ticks = Vec::new();
    for _ in 0..WARM_UP {
        load.submit(meter);
        load.advance();
    }
    let mut allocations = 0;
    for _ in 0..DECISIONS {
        let (time, allocated) = load.submit(meter);
        times.push(time);
        allocations += allocated;
        ticks.extend(load.advance());
    }
    let result_bytes = (times.capacity() + ticks.capacity()) * size_of::<Duration>();
    let memory = (meter.live_bytes)() - before - result_bytes as u64;
    times.sort_unstable();
    ticks.sort_unstable();
    Row {
        axis,
        size,
        median: times[DECISIONS / 2],
        p99: times[DECISIONS * 99 / 100],
        allocations: mean(allocations, DECISIONS),
        tick: ticks
            .get(ticks.len() * 99 / 100)
            .copied()
            .unwrap_or_default(),
        memory,
    }
}

#[allow(clippy::cast_precision_loss, reason = "small counts")]
fn mean(sum: u64, count: usize) -> f64 {
    sum as f64 / count as f64
}

impl Load {
    fn new(size: Size, chains: Vec<Chain>) -> Self {
        let mut router = Router::new(Settings::default(), 1);
        router.configure(Moment::ZERO, fleet(size));
        Self {
            size,
            router,
            now: Moment::ZERO,
            last_id: 0,
            servers: (0..size.servers).collect(),
            sent: VecDeque::new(),
            running: VecDeque::new(),
            chains,
            actions: Vec::new(),
        }
    }

    /// Submits one request; returns the time and the allocations of the decision.
    fn submit(&mut self, meter: Meter) -> (Duration, u64) {
        self.last_id += 1;
        let request = self.build_request();
        self.actions.clear();
        let allocated = (meter.allocations)();
        let start = Instant::now();
        self.router
            .handle(self.now, Event::Submit(request), &mut self.actions);
        let time = start.elapsed();
        let allocated = (meter.allocations)() - allocated;
        for action in &self.actions {
            if let Action::Dispatch {
                request, attempt, ..
            } = *action
            {
                self.sent.push_back((request, attempt));
            }
        }
        (time, allocated)
    }

    /// Advances the clock and ends the oldest requests; returns the time of the periodic work if it was due.
    fn advance(&mut self) -> Option<Duration> {
        self.now += REQUEST_INTERVAL;
        let due = self.router.next_wake().is_some_and(|wake| wake <= self.now);
        let tick = due.then(|| {
            let start = Instant::now();
            self.handle(Event::Tick);
            start.elapsed()
        });
        while let Some((request, attempt)) = self.sent.pop_front() {
            let prompt = u32::from(self.size.levels) * PIECE_TOKENS;
            let cached_tokens = prompt.saturating_sub(PIECE_TOKENS);
            let incarnation = 1;
            self.handle(Event::Accepted {
                request,
                attempt,
                cached_tokens,
                incarnation,
            });
            self.handle(Event::FirstToken { request, attempt });
            self.running.push_back((request, attempt));
        }
        while self.running.len() > self.size.in_flight {
            let Some((request, attempt)) = self.running.pop_front() else {
                break;
            };
            self.handle(Event::Finished {
                request,
                attempt,
                tokens: 50,
            });
        }
        tick
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.router.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            if let Action::Dispatch {
                request, attempt, ..
            } = *action
            {
                self.sent.push_back((request, attempt));
            }
        }
    }

    fn build_request(&self) -> Request {
        let draw = self.last_id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let index = usize::try_from(draw % CONVERSATIONS).unwrap_or(0);
        let team = draw % u64::from(self.size.teams);
        Request {
            id: self.last_id,
            team: format!("team-{team}").into(),
            kind: "chat".into(),
            urgency: Urgency::ALL[index % 3],
            repeat: RepeatRule::Repeatable,
            chain: self.chains[index].clone(),
            prompt_tokens: u32::from(self.size.levels) * PIECE_TOKENS,
            expected_tokens: 50,
            deadline: self.now + Duration::from_secs(60),
            first_token_target: Duration::from_millis(340),
            servers: Arc::clone(&self.servers),
        }
    }
}

/// Returns the chain of a conversation; its first quarter, at least one level, is one of the shared system prompts.
fn chain(number: u64, size: Size) -> Chain {
    let prompt = if number.is_multiple_of(10) {
        0
    } else {
        number % SYSTEM_PROMPTS
    };
    let shared = usize::from(size.levels).div_ceil(4);
    let text = |level: usize| {
        let owner = if level < shared {
            prompt
        } else {
            number + SYSTEM_PROMPTS
        };
        let mut piece = vec![0; PIECE_BYTES];
        piece[..8].copy_from_slice(&owner.to_le_bytes());
        piece
    };
    let pieces: Vec<Vec<u8>> = (0..usize::from(size.levels)).map(text).collect();
    let salt = Salt::new("team", "model", "", "v1");
    Chain::new(salt, PIECE_BYTES, pieces.iter().map(Vec::as_slice))
}

fn fleet(size: Size) -> Fleet {
    let spec = |id: ServerId| server::Spec {
        id,
        name: format!("server-{id}").into(),
        data_centre: format!("dc-{}", id % 12).into(),
        model: "model".into(),
        weights_version: "v1".into(),
        service: false,
        slots: SLOTS,
    };
    let names = || (0..size.teams).map(|team| format!("team-{team}"));
    let share = |name: String| team::Share {
        team: name.into(),
        weight: NonZeroU32::MIN,
    };
    let limit = |name: String| team::Limit {
        team: name.into(),
        kind: "chat".into(),
        max_in_flight: None,
        requests_per_minute: None,
    };
    Fleet {
        servers: (0..size.servers).map(spec).collect(),
        shares: names().map(share).collect(),
        limits: names().map(limit).collect(),
    }
}
