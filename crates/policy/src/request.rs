//! A request as the decisions see it: identity, urgency, prefix and bounds, without its body.

use std::{sync::Arc, time::Duration};

use jaystand_types::{KindName, Moment, RepeatRule, RequestId, ServerId, TeamId, Urgency};

use crate::Chain;

/// One request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identity, unique over all daemons.
    pub id: RequestId,
    /// The team that sends it.
    pub team: TeamId,
    /// Its request kind.
    pub kind: KindName,
    /// Its urgency class.
    pub urgency: Urgency,
    /// Whether it may be sent more than once.
    pub repeat: RepeatRule,
    /// Prefix chain; empty for plain services.
    pub chain: Chain,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Expected answer length in tokens from the routing sheet, corrected by what answers of the kind show.
    pub expected_tokens: u32,
    /// When the whole answer must be there.
    pub deadline: Moment,
    /// Time from submission within which the first token is wanted.
    pub first_token_target: Duration,
    /// The backend servers that the routing sheet allows; shared by all requests of a rule.
    pub servers: Arc<[ServerId]>,
}
