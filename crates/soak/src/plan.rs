//! Which faults strike when, drawn from a seed.
//!
//! Faults come in series of one kind, and the series overlap: most failures seen so far needed two of them.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Faults begin after this time, so that the caches and connections of a running system are there to be hurt.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// No fault lasts into this time before the end, in which the system must serve again.
pub const CALM_END: Duration = Duration::from_secs(10);
/// Mean time between the beginnings of two series.
const SERIES_GAP_MS: u64 = 1_500;
/// Faults of one series.
const MOST_IN_SERIES: u32 = 4;
/// Longest time for which a fault lasts.
const LONGEST_MS: u64 = 5_000;

jaystand_types::common! { value
    /// What a loopback proxy does to the bytes of its connections.
    pub enum Mode {
        /// Passes them on.
        Pass,
        /// Passes them on late.
        Delay,
        /// Resets all connections, and new ones, too.
        Reset,
        /// Keeps connections open and passes nothing on.
        Silent,
        /// Passes only what the caller sends.
        OneWay,
    }
}

jaystand_types::common! { value
    /// One fault.
    pub enum Fault {
        /// A gateway is asked to stop, and is started again when it has.
        Stop(usize),
        /// A gateway is killed and started again.
        KillGateway(usize),
        /// A gateway is paused.
        PauseGateway(usize),
        /// A server is killed; another one starts at its address.
        KillServer(usize),
        /// A server is paused.
        PauseServer(usize),
        /// A server announces that it leaves, ends, and another one starts.
        Leave(usize),
        /// The connections to a server.
        ServerLink(usize, Mode),
        /// The connections of a gateway to the store.
        StoreLink(usize, Mode),
        /// The store refuses every call.
        StoreDown,
        /// The store carries writes out and loses the answers.
        StoreLosesAnswers,
        /// Watches hear nothing for a while, and the history is dropped.
        StoreForgets,
        /// A server sends copies of answers, crumbs and bytes without end.
        Babble(usize),
        /// New weights are named.
        Weights,
        /// A new configuration takes a key away and gives another.
        Keys,
    }
}

jaystand_types::common! { value
    /// A fault with its time.
    pub struct Event {
        /// When it begins, from the start of the run.
        pub at: Duration,
        /// How long it lasts, where it lasts.
        pub lasts: Duration,
        /// What happens.
        pub fault: Fault,
    }
}

/// What can be hurt.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Gateways.
    pub gateways: usize,
    /// Backend servers.
    pub servers: usize,
}

/// Draws the faults of a run, in the order of their times.
#[must_use]
pub fn draw(seed: u64, shape: Shape, length: Duration) -> Vec<Event> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let last = whole_ms(length.saturating_sub(CALM_END));
    let mut events = Vec::new();
    let mut begins = whole_ms(WARM_UP);
    while begins < last {
        let kind = random.random_range(0..KINDS);
        let mut at = begins;
        for _ in 0..random.random_range(1..=MOST_IN_SERIES) {
            let lasts = random.random_range(200..=LONGEST_MS);
            let event = Event {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(lasts),
                fault: fault(kind, shape, &mut random),
            };
            if at + lasts <= last {
                events.push(event);
            }
            at += random.random_range(100..=2 * SERIES_GAP_MS);
        }
        begins += random.random_range(100..=2 * SERIES_GAP_MS);
    }
    events.sort_by_key(|event| event.at);
    events
}

/// Kinds of faults that `fault` knows.
const KINDS: u32 = 14;

fn fault(kind: u32, shape: Shape, random: &mut Pcg64Mcg) -> Fault {
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

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
