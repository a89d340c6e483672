//! Finds the route and team of a request, or rejects it.

use std::{rc::Rc, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Response, StatusCode, header, request::Parts};
use jaystand_adapter::{
    request::{self, Head},
    response,
};
use jaystand_dispatch::{
    CallId, ServiceName,
    admission::{self, Reason},
    config::{Route, Team},
    quota::Charge,
};
use jaystand_types::Moment;

use crate::{hub::Hub, quota, reply::Reply};

/// Timeout of a request whose head and route state none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Metric label of the kind of requests that match no route.
const UNKNOWN_KIND: &str = "unknown";

/// A request that may be served.
pub(crate) struct Admitted {
    pub(crate) route: Arc<Route>,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) service: ServiceName,
    /// Time allowed until the deadline.
    pub(crate) timeout: Duration,
    /// Id of the last event that the caller has already received, if it resumes a stream.
    pub(crate) last_event: Option<u64>,
    /// What was charged to the team's rate limit.
    pub(crate) charge: Option<Charge>,
}

/// The answer to a request that is not admitted.
pub(crate) struct Rejection {
    status: StatusCode,
    retry_after: Option<Duration>,
    reason: &'static str,
    closes_connection: bool,
    /// Whether the rejection has no log line of its own.
    is_tallied: bool,
}

impl Rejection {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
            closes_connection: false,
            is_tallied: false,
        }
    }

    fn unavailable(reason: Reason, timeout: Duration) -> Self {
        Self {
            retry_after: Some(admission::retry_after(reason, None, timeout)),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason.as_str())
        }
    }

    fn over_team_limit(wait: Duration, timeout: Duration) -> Self {
        let reason = Reason::TeamLimit(wait);
        Self {
            retry_after: Some(admission::retry_after(reason, None, timeout)),
            is_tallied: true,
            ..Self::new(StatusCode::TOO_MANY_REQUESTS, reason.as_str())
        }
    }

    /// Logs and counts the rejection, and returns the answer to the caller.
    pub(crate) fn answer(&self, hub: &Hub, id: Option<&str>) -> Response<Reply> {
        let state = hub.state.borrow();
        let config = state.config.as_ref().map_or(0, |config| config.version());
        drop(state);
        if !self.is_tallied {
            log::info!(request = id.unwrap_or_default(), status = self.status.as_u16(), config,
                reason = self.reason; "request rejected");
        }
        let labels = [UNKNOWN_KIND, self.status.as_str(), self.reason];
        hub.metrics.requests.with_label_values(&labels).inc();
        let mut answer = local_reply(self.status, id, self.retry_after, self.reason);
        if self.closes_connection {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }
}

/// Finds the route and team of a request. Also returns its id, unless its head is malformed.
pub(crate) fn admit(
    hub: &Rc<Hub>,
    arrived: Moment,
    parts: &Parts,
) -> (Option<CallId>, Result<Admitted, Rejection>) {
    match request::decode(parts) {
        Ok(head) => {
            let admitted = admit_head(hub, arrived, &head, &parts.headers);
            (Some(head.id), admitted)
        }
        Err(error) => {
            log::info!("malformed head: {error}");
            let rejection = Rejection::new(StatusCode::BAD_REQUEST, "malformed head");
            (None, Err(rejection))
        }
    }
}

fn admit_head(
    hub: &Hub,
    arrived: Moment,
    head: &Head<'_>,
    headers: &HeaderMap,
) -> Result<Admitted, Rejection> {
    if head.ambiguous {
        // The bytes that follow on the connection may belong to this request.
        return Err(Rejection {
            closes_connection: true,
            ..Rejection::new(StatusCode::BAD_REQUEST, "ambiguous head")
        });
    }
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let unavailable = |reason| Rejection::unavailable(reason, timeout);
    let config = hub.state.borrow().config.clone();
    let config = config.ok_or_else(|| unavailable(Reason::NoConfiguration))?;
    // A newer configuration may contain the route or key, unless this one is known to be the newest.
    let not_found = |status, reason| {
        if hub.config_is_confirmed() {
            Rejection::new(status, reason)
        } else {
            unavailable(Reason::Unconfirmed)
        }
    };
    let route = config
        .route(head.host, head.path)
        .ok_or_else(|| not_found(StatusCode::NOT_FOUND, "no route"))?;
    let team = head.key.and_then(|key| config.team(key));
    if config.needs_key() && team.is_none() && !route.public {
        return Err(not_found(StatusCode::UNAUTHORIZED, "unknown key"));
    }
    if config.needs_key() && !route.public && !hub.accepts_keys() {
        return Err(unavailable(Reason::Unproven));
    }
    let service = route
        .target(&head.id)
        .ok_or_else(|| unavailable(Reason::NoServer))?;
    let timeout = route.timeout.map_or(timeout, |max| max.min(timeout));
    if let Some(stopped) = hub.stop_requested_at.get() {
        let since_stop = arrived.saturating_sub(stopped);
        let grace = hub.settings.borrow().grace;
        if admission::refused_while_stopping(since_stop, timeout, grace) {
            return Err(unavailable(Reason::Stopping));
        }
    }
    let charge = quota::admit(hub, team.map(Arc::as_ref), headers)
        .map_err(|refusal| Rejection::over_team_limit(refusal.wait, timeout))?;
    hub.state
        .borrow_mut()
        .budget
        .record_request(arrived, service);
    Ok(Admitted {
        route: Arc::clone(route),
        team: team.cloned(),
        service: service.clone(),
        timeout,
        last_event: head.last_event,
        charge,
    })
}

/// Builds an answer that the gateway gives itself.
pub(crate) fn local_reply(
    status: StatusCode,
    id: Option<&str>,
    retry_after: Option<Duration>,
    reason: &'static str,
) -> Response<Reply> {
    response::local_reply(status, id, retry_after, Reply::from(reason))
}
