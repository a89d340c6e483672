//! What a server says of itself in the head of any answer: that it leaves, or that it wants no requests for a while.
//!
//! Such statements reach only the host that asked, and sooner than the directory does. They bind this host whatever the
//! directory or another host's copy of it says, until another incarnation stands in the server's place.

use std::{collections::VecDeque, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;

use crate::ServerKey;

/// A server that asks for a longer pause is asked again after this time: no sheet has a pause of a minute, and a
/// mistaken value must not keep a server idle for the rest of the day.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Incarnations without an entry whose statements are remembered. Each takes some 50 bytes; the largest deployments replace
/// some hundred.
const REMEMBERED: usize = 4_096;

jaystand_types::common! { value
    /// What an answer says of its server.
    #[derive(Default)]
    pub struct Notice {
        /// Whether it takes no new work.
        pub leaving: bool,
        /// How long it wants no requests from this host.
        pub pause: Pause,
    }
}

jaystand_types::common! { value
    /// A wish for a pause.
    #[derive(Default)]
    pub enum Pause {
        /// None.
        #[default]
        None,
        /// For so long.
        For(Duration),
        /// For a time that cannot be read.
        Unreadable,
    }
}

jaystand_types::common! { value
    /// What a notice changed.
    #[derive(Default)]
    pub struct Effect {
        /// The server leaves, which was not known.
        pub leaves: bool,
        /// It gets no requests for so long; stated once for all answers that ask for the same pause.
        pub paused: Option<Duration>,
        /// Its wish cannot be read or is longer than any pause may be, for the first time.
        pub invalid: bool,
    }
}

/// What an incarnation has stated of itself so far, in answers and in its entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    leaving: bool,
    paused_until: Option<Moment>,
    /// Whether it asked for a pause that cannot be kept to.
    asked_invalid: bool,
}

impl Availability {
    /// Whether it takes no new work.
    pub(crate) fn leaves(&self) -> bool {
        self.leaving
    }

    /// Until when it wants no requests from this host, if it does not now.
    pub(crate) fn paused_until(&self, now: Moment) -> Option<Moment> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Takes in that it leaves. Returns whether that is news.
    pub(crate) fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Takes in what an answer says.
    pub(crate) fn observe(&mut self, now: Moment, notice: Notice) -> Effect {
        let leaves = notice.leaving && self.mark_leaving();
        let (paused, invalid) = match notice.pause {
            Pause::None => (None, false),
            Pause::For(pause) => (self.extend_pause(now, pause), pause > MAX_PAUSE),
            Pause::Unreadable => (None, true),
        };
        Effect {
            leaves,
            paused,
            invalid: invalid && !std::mem::replace(&mut self.asked_invalid, true),
        }
    }

    /// Begins a pause, or extends it: a shorter one never ends a longer one. Returns the length of one that begins.
    fn extend_pause(&mut self, now: Moment, pause: Duration) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let begins = self.paused_until(now).is_none() && !pause.is_zero();
        self.paused_until = self.paused_until.max(Some(now + pause));
        begins.then_some(pause)
    }

    fn is_restricted(&self) -> bool {
        self.leaving || self.paused_until.is_some()
    }
}

/// What is known of incarnations without an entry: it may lapse and return, and a late copy may bring it back.
#[derive(Clone, Debug, Default)]
pub(crate) struct Archive {
    known: HashMap<ServerKey, Availability>,
    /// The incarnations, the newest last.
    order: VecDeque<ServerKey>,
}

impl Archive {
    /// Keeps what an incarnation has stated, in place of the oldest one if there are too many.
    pub(crate) fn keep(&mut self, server: ServerKey, availability: Availability) {
        if !availability.is_restricted() || self.known.insert(server, availability).is_some() {
            return;
        }
        self.order.push_back(server);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Takes out what an incarnation has stated; nothing by default.
    pub(crate) fn take(&mut self, server: ServerKey) -> Availability {
        let Some(availability) = self.known.remove(&server) else {
            return Availability::default();
        };
        self.order.retain(|other| *other != server);
        availability
    }
}
