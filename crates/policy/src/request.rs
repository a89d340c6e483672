//! The data of a request that decisions use: identity, urgency, prefix and time limits, without the body.

use std::{sync::Arc, time::Duration};

use jaystand_types::{KindName, Moment, RepeatRule, RequestId, ServerId, TeamId, Urgency};

use crate::Chain;

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identity, unique across all daemons.
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
    /// Expected answer length in tokens from the routing sheet, which the router corrects by past answers of the kind.
    /// 0 if there is none.
    pub expected_tokens: u32,
    /// When the whole answer must have arrived.
    pub deadline: Moment,
    /// Time from submission within which the first token is wanted.
    pub first_token_target: Duration,
    /// The backend servers that the routing sheet allows. All requests of a rule share the list.
    pub servers: Arc<[ServerId]>,
}
