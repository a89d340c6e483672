//! Notices that a server puts into the head of any answer: that it leaves, or that it asks for a pause without
//! requests, or that it limits them.
//!
//! Leaving takes precedence over a pause, and a pause over a limit: a server that leaves gets nothing, one in a pause
//! nothing until its end, and the limit applies to what remains.
//!
//! A notice reaches only the host that sent the request, and does so sooner than the directory. It takes precedence
//! over the directory and over other hosts' copies of it, until a new incarnation of the server starts.

use std::{collections::VecDeque, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;

use crate::{
    ServerKey,
    limit::{Call, Fleet, Limit, Quota, Rate, Statement},
};

/// Longer pauses are cut to this length. No sheet has a pause of a minute, and a wrong value must not keep a server
/// idle for the rest of the day.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Maximum number of incarnations in the archive. Each takes some 50 bytes; the largest deployments replace some
/// hundred servers.
const MAX_ARCHIVED: usize = 4_096;

jaystand_types::common! { value
    /// The notice in an answer.
    #[derive(Default)]
    pub struct Notice {
        /// Whether the server accepts no new requests.
        pub leaving: bool,
        /// The pause that the server asks this host for.
        pub pause: Pause,
        /// The limit that the server names for requests of all hosts together.
        pub limit: Limit,
    }
}

jaystand_types::common! { value
    /// A requested pause.
    #[derive(Default)]
    pub enum Pause {
        /// The answer requests none.
        #[default]
        None,
        /// A pause of this length.
        For(Duration),
        /// A pause whose length cannot be parsed.
        Unreadable,
    }
}

jaystand_types::common! { value
    /// What a notice changed.
    #[derive(Default)]
    pub struct Effect {
        /// Whether the notice is the first to say that the server leaves.
        pub leaves: bool,
        /// Length of the pause that begins. Notices that extend a pause return none.
        pub paused: Option<Duration>,
        /// Whether the requested pause is unreadable or too long, for the first time at this incarnation.
        pub invalid: bool,
        /// How the limit changed.
        pub limit: Option<LimitChange>,
    }
}

jaystand_types::common! { value
    /// A change of a server's limit.
    pub enum LimitChange {
        /// The server names another limit than before.
        Named(Rate),
        /// The server names no limit any more.
        Ended,
        /// The server names an invalid limit, for the first time at this incarnation. It changes nothing.
        Invalid,
    }
}

/// What an answer stated of the limit.
#[derive(Clone, Copy, Debug)]
struct Stated {
    /// Time of the answer that last named the limit, or of the first one that no longer did.
    at: Moment,
    /// The limit; `None` if the server names none any more.
    rate: Option<Rate>,
}

/// Whether an incarnation accepts requests, by its notices and its entry so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    leaving: bool,
    paused_until: Option<Moment>,
    /// Whether it has requested an invalid pause.
    requested_invalid: bool,
    quota: Option<Quota>,
    /// What the answers of the server, to this host or to others, last stated of its limit.
    stated: Option<Stated>,
    /// Whether it has named an invalid limit.
    named_invalid: bool,
}

impl Availability {
    /// Returns whether the server accepts no new requests.
    pub(crate) fn leaves(&self) -> bool {
        self.leaving
    }

    /// Returns the end of the pause that the server asked this host for, if the pause still lasts.
    pub(crate) fn paused_until(&self, now: Moment) -> Option<Moment> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns the limit that the server names for requests of all hosts together.
    pub(crate) fn limit(&self) -> Option<Rate> {
        let named = self.quota.as_ref().filter(|quota| !quota.is_eased());
        named.map(Quota::rate)
    }

    /// Returns whether this host has a share of the limit.
    pub(crate) fn has_limit_share(&self) -> bool {
        self.quota.as_ref().is_some_and(Quota::has_share)
    }

    /// Returns whether pause and limit allow a call.
    pub(crate) fn allows(&self, now: Moment, call: Call) -> bool {
        let limited = self.quota.as_ref();
        self.paused_until(now).is_none() && limited.is_none_or(|quota| quota.allows(now, call))
    }

    /// Uses a permit for a call, if the server limits requests.
    pub(crate) fn take(&mut self, now: Moment, call: Call) {
        if let Some(quota) = &mut self.quota {
            quota.take(now, call);
        }
    }

    /// Returns the permit of a caller's request that was not sent after all.
    pub(crate) fn give_back(&mut self) {
        if let Some(quota) = &mut self.quota {
            quota.give_back();
        }
    }

    /// Returns when the pause ends and the limit allows a caller's request; `None` if both allow one now.
    pub(crate) fn closed_until(&self, now: Moment) -> Option<Moment> {
        if self.allows(now, Call::Request) {
            return None;
        }
        let pause = self.paused_until(now).unwrap_or(now);
        let quota = self.quota.as_ref();
        let limit = quota.map_or(now, |quota| now + quota.next_permit(now));
        Some(pause.max(limit))
    }

    /// Returns the age of the newest answer that stated the limit or its end, and what it stated. A limit that has ended
    /// by silence is not stated.
    pub(crate) fn statement(&self, now: Moment) -> Option<Statement> {
        let stated = self.stated?;
        if stated.rate.is_some() && self.limit().is_none() {
            return None;
        }
        Some(Statement {
            rate: stated.rate,
            age: now.saturating_sub(stated.at),
        })
    }

    /// Records what another host knows of the limit, if it is newer. Returns what it changed.
    pub(crate) fn learn_limit(
        &mut self,
        now: Moment,
        server: ServerKey,
        statement: Statement,
        fleet: &Fleet,
    ) -> Option<LimitChange> {
        let at = now.saturating_sub(statement.age);
        if self.stated.is_some_and(|known| known.at >= at) {
            return None;
        }
        if let Some(rate) = statement.rate {
            return self.set_limit(now, at, server, rate, fleet);
        }
        self.end_limit(now, at)
    }

    /// Takes over the limit of a former incarnation, unless an answer of this one has stated its own.
    pub(crate) fn inherit_limit(&mut self, former: &Self) {
        if self.stated.is_none() {
            self.quota = former.quota;
            self.stated = former.stated;
        }
    }

    /// Divides the limit among the hosts of a fleet, and drops it when it has been raised for long enough.
    pub(crate) fn share_limit(&mut self, now: Moment, server: ServerKey, fleet: &Fleet) {
        self.quota.take_if(|quota| quota.is_over(now));
        if let Some(quota) = &mut self.quota {
            quota.divide(now, server, fleet);
        }
    }

    /// Ends a limit that no host has heard for too long. Returns whether it ended. Other hosts are not told: silence is no
    /// statement of the server, and they may have heard the limit since.
    pub(crate) fn expire_limit(&mut self, now: Moment) -> bool {
        // Nobody hears the limit during a pause.
        let heard = self.stated.map(|stated| stated.at).max(self.paused_until);
        let (Some(quota), Some(heard)) = (&mut self.quota, heard) else {
            return false;
        };
        if quota.is_eased() || now <= heard + quota.lifetime() {
            return false;
        }
        quota.ease(now);
        true
    }

    /// Records that the server leaves. Returns whether that was not known.
    pub(crate) fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records the notice in an answer.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        server: ServerKey,
        notice: Notice,
        fleet: &Fleet,
    ) -> Effect {
        let leaves = notice.leaving && self.mark_leaving();
        let (paused, invalid) = match notice.pause {
            Pause::None => (None, false),
            Pause::For(pause) => (self.extend_pause(now, pause), pause > MAX_PAUSE),
            Pause::Unreadable => (None, true),
        };
        Effect {
            leaves,
            paused,
            invalid: invalid && !std::mem::replace(&mut self.requested_invalid, true),
            limit: self.observe_limit(now, server, notice.limit, fleet),
        }
    }

    /// Records the limit in an answer. Returns what it changed.
    fn observe_limit(
        &mut self,
        now: Moment,
        server: ServerKey,
        limit: Limit,
        fleet: &Fleet,
    ) -> Option<LimitChange> {
        match limit {
            Limit::Unstated => None,
            Limit::None => self.end_limit(now, now),
            Limit::PerSecond(rate) => self.set_limit(now, now, server, rate, fleet),
            Limit::Invalid => {
                (!std::mem::replace(&mut self.named_invalid, true)).then_some(LimitChange::Invalid)
            }
        }
    }

    fn set_limit(
        &mut self,
        now: Moment,
        stated: Moment,
        server: ServerKey,
        rate: Rate,
        fleet: &Fleet,
    ) -> Option<LimitChange> {
        self.stated = Some(Stated {
            at: stated,
            rate: Some(rate),
        });
        match &mut self.quota {
            Some(quota) if quota.rate() == rate && !quota.is_eased() => return None,
            Some(quota) => quota.name(now, server, rate, fleet),
            None => self.quota = Some(Quota::new(now, server, rate, fleet)),
        }
        Some(LimitChange::Named(rate))
    }

    fn end_limit(&mut self, now: Moment, at: Moment) -> Option<LimitChange> {
        let quota = self.quota.as_mut()?;
        quota.ease(now);
        let former = self.stated.replace(Stated { at, rate: None });
        let was_named = former.is_some_and(|stated| stated.rate.is_some());
        was_named.then_some(LimitChange::Ended)
    }

    /// Begins a pause or extends the current one, which a shorter one never ends earlier. Returns the length of a pause
    /// that begins.
    fn extend_pause(&mut self, now: Moment, pause: Duration) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let begins = self.paused_until(now).is_none() && !pause.is_zero();
        self.paused_until = self.paused_until.max(Some(now + pause));
        begins.then_some(pause)
    }

    /// Returns whether there is anything worth archiving.
    fn is_restricted(&self) -> bool {
        self.leaving || self.paused_until.is_some() || self.stated.is_some()
    }
}

/// The availability of incarnations without an entry. An entry may lapse and return, and a late copy from another host
/// may restore it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Archive {
    known: HashMap<ServerKey, Availability>,
    /// The incarnations, the last one added at the end.
    order: VecDeque<ServerKey>,
}

impl Archive {
    /// Adds the availability of an incarnation. Removes the oldest one if there are too many.
    pub(crate) fn keep(&mut self, server: ServerKey, availability: Availability) {
        if !availability.is_restricted() || self.known.insert(server, availability).is_some() {
            return;
        }
        self.order.push_back(server);
        if self.order.len() > MAX_ARCHIVED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Removes and returns the availability of an incarnation, or the default one if none is archived.
    pub(crate) fn take(&mut self, server: ServerKey) -> Availability {
        let Some(availability) = self.known.remove(&server) else {
            return Availability::default();
        };
        self.order.retain(|other| *other != server);
        availability
    }
}
