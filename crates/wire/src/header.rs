//! The header names of the interface for callers and of the engine protocol.

use http::HeaderName;

macro_rules! names {
    ($($(#[$doc:meta])* $constant:ident = $name:literal;)+) => {
        $($(#[$doc])* pub const $constant: HeaderName = HeaderName::from_static($name);)+
    };
}

names! {
    /// The id of a request, 16 hexadecimal digits. Backend servers echo it.
    REQUEST_ID = "x-request-id";
    /// The request kind of a caller's request.
    REQUEST_KIND = "x-request-kind";
    /// The outcome of a request.
    OUTCOME = "x-outcome";
    /// The number of prompt tokens that the engine found in its cache.
    CACHED_TOKENS = "x-cached-tokens";
    /// The backend server that gave the answer.
    SERVED_BY = "x-served-by";
    /// The data centre of that server.
    DATA_CENTRE = "x-data-centre";
    /// The key under which an unrepeatable request runs at most once.
    IDEMPOTENCY_KEY = "idempotency-key";
    /// The incarnation that the engine must have. Absent when not known.
    EXPECT_INCARNATION = "x-expect-incarnation";
    /// The incarnation of the engine that answers.
    ENGINE_INCARNATION = "x-engine-incarnation";
    /// The weights version that a request needs, and that an engine serves.
    WEIGHTS_VERSION = "x-weights-version";
    /// The salt that separates the cache entries of teams, models, adapters and weights versions.
    CACHE_SALT = "x-cache-salt";
    /// The priority for the engine; 0 is the highest.
    PRIORITY = "x-priority";
    /// The time left until the request's deadline, in milliseconds.
    DEADLINE_MS = "x-deadline-ms";
    /// The offset of the last event that the receiver of a resumed stream already has.
    LAST_EVENT_ID = "last-event-id";
    /// The offset of the first event that the receiver of a continued stream needs.
    CONTINUE_FROM = "x-continue-from";
    /// Set to `1` when the engine is leaving.
    ENGINE_LEAVING = "x-engine-leaving";
    /// Set to `1` on a refusal which proves that the request did not start.
    NOT_STARTED = "x-not-started";
    /// The W3C trace context.
    TRACEPARENT = "traceparent";
}
