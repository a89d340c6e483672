//! Generates the faults of a run and their times from a seed.
//!
//! Faults come in series of one kind, and the series overlap, since most known failures need two of them at once.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Faults begin after this time, so that they hit a system with filled caches and open connections.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// Time without faults at the end of a run, in which the system must recover and serve as before.
pub const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Approximate mean time between the starts of two series, and between the starts of two faults of a series.
const MEAN_SERIES_GAP_MS: u64 = 1_500;
/// Maximum number of faults in a series.
const MAX_SERIES_FAULTS: u32 = 4;
/// Mean time between two limits. Each lasts for fifteen seconds.
const MEAN_LIMIT_GAP_MS: u64 = 5_000;
/// A limit that starts this long before the last fault ends has ended before the recovered system is checked.
const LATEST_LIMIT_MS: u64 = 12_000;
/// Number of the random sequence of the limits, which leaves the other faults of a seed as they are.
const LIMIT_SEQUENCE: u64 = 1 << 63;
/// Mean time between two series of refusals. Each lasts for six seconds.
const MEAN_REFUSAL_GAP_MS: u64 = 10_000;
/// A series of refusals that starts this long before the last fault ends is over by then.
const LATEST_REFUSAL_MS: u64 = 6_000;
/// Number of the random sequence of the refusals.
const REFUSAL_SEQUENCE: u64 = 1 << 62;
/// Mean time between two copies from which the store comes back.
const MEAN_RESTORE_GAP_MS: u64 = 12_000;
/// The store comes back from a copy that is taken this long before the last fault ends, before that end.
const LATEST_RESTORE_MS: u64 = 7_000;
/// Number of the random sequence of the copies.
const RESTORE_SEQUENCE: u64 = 1 << 61;
/// Longest duration of a fault.
const MAX_FAULT_MS: u64 = 5_000;

jaystand_types::common! { value
    /// What a loopback proxy does to the bytes of its connections.
    pub enum Mode {
        /// Passes them on.
        Pass,
        /// Passes them on late.
        Delay,
        /// Resets all connections, open and new ones.
        Reset,
        /// Keeps connections open and passes nothing on.
        Silent,
        /// Passes on only what the caller sends.
        OneWay,
    }
}

jaystand_types::common! { value
    /// One fault, with the index of its gateway or server. The `Debug` output is written to the report.
    pub enum Fault {
        /// A gateway is asked to stop, and is started again after it has stopped.
        Stop(usize),
        /// A gateway is killed and started again.
        KillGateway(usize),
        /// A gateway is paused.
        PauseGateway(usize),
        /// A server is killed, and another one starts at its address.
        KillServer(usize),
        /// A server is paused.
        PauseServer(usize),
        /// A server announces that it is leaving and ends, and another one starts at its address.
        Leave(usize),
        /// The connections to a server are in a mode other than [`Mode::Pass`].
        ServerLink(usize, Mode),
        /// The connections of a gateway to the store are in a mode other than [`Mode::Pass`].
        StoreLink(usize, Mode),
        /// The store refuses every call.
        StoreDown,
        /// The store executes writes and loses the answers.
        StoreLosesAnswers,
        /// Watches receive nothing for a while, and then the history is dropped.
        StoreForgets,
        /// The store comes back from a copy that is as old as the fault is long.
        Restore,
        /// A server sends copies of answers, fragments of events, and bytes without end.
        Babble(usize),
        /// A server names a limit for requests for some seconds.
        Limit(usize),
        /// All servers refuse most requests for some seconds.
        Refuse,
        /// A new weights version is published.
        Weights,
        /// A new configuration replaces the key of the callers.
        Keys,
    }
}

jaystand_types::common! { value
    /// A fault with its time.
    pub struct Event {
        /// Start of the fault, since the start of the run.
        pub start: Duration,
        /// Duration of the fault; ignored by faults that are over at once or set their own time.
        pub duration: Duration,
        /// The fault.
        pub fault: Fault,
    }
}

/// Numbers of the processes that faults can hit.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of backend servers.
    pub servers: usize,
}

/// Generates the faults of a run, in order of their start. The same arguments give the same faults.
#[must_use]
pub fn generate(seed: u64, shape: Shape, length: Duration) -> Vec<Event> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let latest_end = to_millis(length.saturating_sub(RECOVERY_TIME));
    let mut events = Vec::new();
    let mut series_start = to_millis(WARM_UP);
    while series_start < latest_end {
        let kind = random.random_range(0..FAULT_KINDS);
        let mut start = series_start;
        for _ in 0..random.random_range(1..=MAX_SERIES_FAULTS) {
            let duration = random.random_range(200..=MAX_FAULT_MS);
            let event = Event {
                start: Duration::from_millis(start),
                duration: Duration::from_millis(duration),
                fault: draw_fault(kind, shape, &mut random),
            };
            if start + duration <= latest_end {
                events.push(event);
            }
            start += random.random_range(100..=2 * MEAN_SERIES_GAP_MS);
        }
        series_start += random.random_range(100..=2 * MEAN_SERIES_GAP_MS);
    }
    let limits = Sequence {
        number: LIMIT_SEQUENCE,
        mean_gap_ms: MEAN_LIMIT_GAP_MS,
        latest_ms: LATEST_LIMIT_MS,
    };
    let refusals = Sequence {
        number: REFUSAL_SEQUENCE,
        mean_gap_ms: MEAN_REFUSAL_GAP_MS,
        latest_ms: LATEST_REFUSAL_MS,
    };
    let restores = Sequence {
        number: RESTORE_SEQUENCE,
        mean_gap_ms: MEAN_RESTORE_GAP_MS,
        latest_ms: LATEST_RESTORE_MS,
    };
    events.extend(limits.generate(seed, latest_end, |random| {
        let server = random.random_range(0..shape.servers);
        (Fault::Limit(server), Duration::ZERO)
    }));
    events.extend(refusals.generate(seed, latest_end, |_| (Fault::Refuse, Duration::ZERO)));
    events.extend(restores.generate(seed, latest_end, |random| {
        let age = random.random_range(200..=MAX_FAULT_MS);
        (Fault::Restore, Duration::from_millis(age))
    }));
    events.sort_by_key(|event| event.start);
    events
}

/// Faults of one kind that come beside the series, from a random sequence of their own.
struct Sequence {
    number: u64,
    mean_gap_ms: u64,
    /// No fault starts later than this before the last one ends.
    latest_ms: u64,
}

impl Sequence {
    fn generate(
        &self,
        seed: u64,
        latest_end: u64,
        draw: impl Fn(&mut Pcg64Mcg) -> (Fault, Duration),
    ) -> Vec<Event> {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ self.number);
        let mut start = to_millis(WARM_UP) + random.random_range(0..self.mean_gap_ms / 2);
        let mut events = Vec::new();
        while start + self.latest_ms <= latest_end {
            let (fault, duration) = draw(&mut random);
            events.push(Event {
                start: Duration::from_millis(start),
                duration,
                fault,
            });
            start += random.random_range(100..=2 * self.mean_gap_ms);
        }
        events
    }
}

/// Number of fault kinds that `draw_fault` can draw.
const FAULT_KINDS: u32 = 14;

fn draw_fault(kind: u32, shape: Shape, random: &mut Pcg64Mcg) -> Fault {
    let gateway = random.random_range(0..shape.gateways);
    let server = random.random_range(0..shape.servers);
    let modes = [Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay];
    let mode = modes[random.random_range(0..modes.len())];
    match kind {
        0 => Fault::Stop(gateway),
        1 => Fault::KillGateway(gateway),
        2 => Fault::PauseGateway(gateway),
        3 => Fault::KillServer(server),
        4 => Fault::PauseServer(server),
        5 => Fault::Leave(server),
        6 => Fault::ServerLink(server, mode),
        7 => Fault::StoreLink(gateway, mode),
        8 => Fault::StoreDown,
        9 => Fault::StoreLosesAnswers,
        10 => Fault::StoreForgets,
        11 => Fault::Weights,
        12 => Fault::Babble(server),
        _ => Fault::Keys,
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
