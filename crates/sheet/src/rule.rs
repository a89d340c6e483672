//! The checked form of a row of the routing sheet.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use compact_str::CompactString;
use jaystand_types::{KindName, RepeatRule, ServerId, TeamId, Urgency};

jaystand_types::common! { data
    /// The rule for the requests of one team and request kind.
    pub struct Rule {
        /// The team.
        pub team: TeamId,
        /// The request kind.
        pub kind: KindName,
        /// The model or plain service.
        pub target: Target,
        /// The urgency class.
        pub urgency: Urgency,
        /// Whether a request may run more than once.
        pub repeat: RepeatRule,
        /// The backend servers that may serve the requests.
        pub servers: Arc<[ServerId]>,
        /// The limits.
        pub limits: Limits,
    }

    /// The model or plain service to which the requests of a rule go.
    pub enum Target {
        /// A model, which engines serve.
        Model(CompactString),
        /// A plain service.
        Service(CompactString),
    }

    /// The limits of a rule, over the whole deployment.
    pub struct Limits {
        /// The greatest number of requests in flight. `None` means unlimited.
        pub max_in_flight: Option<NonZeroU32>,
        /// The greatest number of requests per minute. `None` means unlimited.
        pub requests_per_minute: Option<NonZeroU32>,
        /// The target for the time to first token.
        pub first_token: Duration,
        /// The time allowed for the complete answer.
        pub deadline: Duration,
        /// The expected length of an answer in tokens, which applies until answers of the kind give a better estimate.
        pub expected_tokens: u32,
    }
}
