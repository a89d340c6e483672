//! Header names of the caller interface and the engine protocol.

use http::HeaderName;

macro_rules! names {
    ($($(#[$doc:meta])* $constant:ident = $name:literal;)+) => {
        $($(#[$doc])* pub const $constant: HeaderName = HeaderName::from_static($name);)+
    };
}

names! {
    /// Identity of a request, 16 hexadecimal digits; backend servers echo it.
    REQUEST_ID = "x-request-id";
    /// Request kind of a caller's request.
    REQUEST_KIND = "x-request-kind";
    /// What became of a request.
    OUTCOME = "x-outcome";
    /// Prompt tokens that the engine found in its cache.
    CACHED_TOKENS = "x-cached-tokens";
    /// Backend server that gave the answer.
    SERVED_BY = "x-served-by";
    /// Data centre of that server.
    DATA_CENTRE = "x-data-centre";
    /// Key under which an unrepeatable request runs at most once.
    IDEMPOTENCY_KEY = "idempotency-key";
    /// Incarnation that the engine must have; absent when not known.
    EXPECT_INCARNATION = "x-expect-incarnation";
    /// Incarnation of the engine that answers.
    ENGINE_INCARNATION = "x-engine-incarnation";
    /// Weights version wanted, and served.
    WEIGHTS_VERSION = "x-weights-version";
    /// Separates the cache entries of teams, models, adapters and weights versions.
    CACHE_SALT = "x-cache-salt";
    /// Priority for the engine, 0 highest.
    PRIORITY = "x-priority";
    /// Time left until the request's deadline, in milliseconds.
    DEADLINE_MS = "x-deadline-ms";
    /// Last event that a resumed stream already has.
    LAST_EVENT_ID = "last-event-id";
    /// Offset of the first event that a continued stream needs.
    CONTINUE_FROM = "x-continue-from";
    /// Set to `1` when the engine is leaving.
    ENGINE_LEAVING = "x-engine-leaving";
    /// Set to `1` on a refusal that proves that nothing ran.
    NOT_STARTED = "x-not-started";
    /// W3C trace context.
    TRACEPARENT = "traceparent";
}
