//! One checked row of the routing sheet.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use compact_str::CompactString;
use jaystand_types::{KindName, RepeatRule, ServerId, TeamId, Urgency};

jaystand_types::common! { data
    /// A rule: how requests of one team and kind are treated.
    pub struct Rule {
        /// The team.
        pub team: TeamId,
        /// The request kind.
        pub kind: KindName,
        /// The model or plain service.
        pub target: Target,
        /// Urgency class.
        pub urgency: Urgency,
        /// Whether requests may run more than once.
        pub repeat: RepeatRule,
        /// Allowed backend servers.
        pub servers: Arc<[ServerId]>,
        /// Bounds.
        pub limits: Limits,
    }

    /// Where requests of a rule go.
    pub enum Target {
        /// Engines that serve the model.
        Model(CompactString),
        /// Servers of the plain service.
        Service(CompactString),
    }

    /// Bounds of a rule, for the whole deployment.
    pub struct Limits {
        /// Requests in flight at once; none means unlimited.
        pub max_in_flight: Option<NonZeroU32>,
        /// Requests a minute; none means unlimited.
        pub requests_per_minute: Option<NonZeroU32>,
        /// Wanted time to first token.
        pub first_token: Duration,
        /// Time for the whole answer.
        pub deadline: Duration,
        /// Expected answer length in tokens, until answers of the kind show a better figure.
        pub expected_tokens: u32,
    }
}
