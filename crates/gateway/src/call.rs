//! One request of a caller, from its head to its final answer.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Request, Response, StatusCode, header, request::Parts};
use http_body_util::Full;
use hyper::body::Incoming;
use jaystand_adapter::{
    request::{self, Additions},
    response::{self, Identity},
};
use jaystand_dispatch::{
    CallId, ServerKey, ServiceName,
    admission::{self, Reason},
    config::{Delivery, Route, Team},
    health::Outcome,
    limit,
    placement::{Choice, Query, Unplaced, View, cache_keys},
    prompt::{self, PartId, Prompt, Salt},
    quota::Charge,
};
use jaystand_types::Moment;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    account::{Connection, Shed},
    admit::{self, Admitted, local_reply},
    buffer::{self, Source},
    check, clock,
    hub::{Hub, RecentPart, whole_ms},
    link,
    meter::MeteredBody,
    pool::Pooled,
    quota, relay,
    reply::Reply,
    suspect::hash_name,
    ticket::{OpenRequest, Ticket},
};

/// Maximum number of times that a request is sent, including sends that were refused. More would only add load to full
/// servers.
const MAX_SENDS: u32 = 4;
/// Maximum number of attempts per request in which no server could be reached.
const MAX_UNREACHABLE: u32 = 3;
/// A request with less time left is not sent: the answer could not arrive in time.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// The timeout of a stream's first event is at most the time left divided by this, so that another server has time to
/// answer.
const STREAM_TIME_LEFT_DIVISOR: u32 = 2;
/// The timeout of a stream's first event is the objective plus the expected time multiplied by this. A second run costs
/// as much as the first, and most late servers are only busy.
const STREAM_EXPECTED_FACTOR: u32 = 3;
/// Timeout of an attempt of a plain request that may be repeated, if its route states no objective.
const DEFAULT_PLAIN_OBJECTIVE: Duration = Duration::from_millis(400);
/// Largest answer of a plain service: the same as the largest request body that the routing sheets allow.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// A caller's request with the state of its attempts.
pub(crate) struct Call {
    pub(crate) hub: Rc<Hub>,
    parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) id: CallId,
    pub(crate) route: Arc<Route>,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) service: ServiceName,
    salt: Salt,
    pub(crate) prompt: Option<Prompt>,
    /// Ids of the shared parts of the prompt, which are hashed once.
    pub(crate) shared_parts: SmallVec<[PartId; 4]>,
    /// Hash of what a caller who repeats the request sends again.
    pub(crate) fingerprint: u64,
    pub(crate) arrived: Moment,
    /// Uses the clock that also runs while the host is suspended, because the caller's clock does.
    deadline: Moment,
    /// Servers that further attempts avoid.
    pub(crate) tried: SmallVec<[ServerKey; 4]>,
    /// Name of the server of the latest attempt.
    pub(crate) server_name: CompactString,
    /// Times that the request was sent.
    sends: u32,
    /// Number of sends after which the server may have run the request.
    pub(crate) possible_runs: u32,
    /// Attempts in which no server could be reached.
    unreachable: u32,
    /// Expected time to the answer, or to the first event of a stream, at the chosen server.
    pub(crate) expected: Option<Duration>,
    /// Time from arrival to the answer, or to the first event of a stream.
    first_byte: Option<Duration>,
    /// Longest pause between two chunks of a stream.
    pub(crate) longest_pause: Duration,
    /// Chunks of a stream that have been received.
    pub(crate) chunks: u32,
    /// Id of the last event that was passed to the caller.
    pub(crate) last_event: Option<u64>,
    /// A server's error answer, which is returned if no further attempt succeeds.
    server_error: Option<(StatusCode, HeaderMap, Bytes)>,
    /// What was charged to the team's rate limit.
    charge: Option<Charge>,
    /// Whether the end of the request has been logged.
    end_logged: Cell<bool>,
    _open: OpenRequest,
}

/// Logged status of requests that ended without an answer.
const NO_ANSWER_STATUS: u16 = 499;

impl Drop for Call {
    fn drop(&mut self) {
        if !self.end_logged.get() {
            let reason = if self.hub.ended.get() {
                "the process ended before the answer"
            } else {
                "caller gone before the answer"
            };
            self.log_end(NO_ANSWER_STATUS, reason);
        }
        if let Some(charge) = self.charge.take().filter(|_| self.possible_runs == 0) {
            quota::give_back(&self.hub, self.team.as_deref(), charge);
        }
    }
}

/// A server's answer whose head was read and whose body is still to be read.
pub(crate) struct Answer {
    pub(crate) head: response::Head,
    pub(crate) headers: HeaderMap,
    pub(crate) body: MeteredBody,
    pub(crate) pooled: Pooled,
    pub(crate) ticket: Ticket,
    pub(crate) choice: Choice,
    pub(crate) sent: Moment,
    /// Whether the head tells where the body ends. Otherwise it ends when the connection is closed.
    pub(crate) framed: bool,
}

/// Why no server answered a request.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) reason: Reason,
}

/// A placement with the address and name of its server.
pub(crate) type Chosen = (Choice, std::net::SocketAddr, CompactString);

/// Serves a request. Returns its final answer, or a response whose body is the stream.
pub(crate) async fn serve(
    hub: Rc<Hub>,
    connection: Rc<Connection>,
    request: Request<Incoming>,
) -> Response<Reply> {
    let arrived = hub.now();
    let (parts, body) = request.into_parts();
    let (id, admitted) = admit::admit(&hub, arrived, &parts);
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(rejection) => return rejection.answer(&hub, id.as_deref()),
    };
    let mut call = Call::new(&hub, arrived, id.unwrap_or_default(), admitted, parts);
    call.record_offered();
    match call.read_body(body, &connection).await {
        Ok(body) => call.set_body(body),
        Err(answer) => return *answer,
    }
    connection.set_forwarded();
    drop(connection);
    match call.route.delivery {
        Delivery::Whole => call.serve_whole().await,
        Delivery::Events => relay::serve(call).await,
    }
}

impl Call {
    fn new(hub: &Rc<Hub>, arrived: Moment, id: CallId, admitted: Admitted, parts: Parts) -> Self {
        let prompt = request::prompt(&parts.headers);
        Self {
            hub: Rc::clone(hub),
            body: Bytes::new(),
            id,
            salt: Salt::new(admitted.team.as_deref()),
            shared_parts: prompt.iter().flat_map(Prompt::shared_ids).collect(),
            prompt,
            fingerprint: 0,
            deadline: clock::since_boot() + admitted.timeout,
            last_event: admitted.last_event,
            charge: admitted.charge,
            service: admitted.service,
            team: admitted.team,
            route: admitted.route,
            arrived,
            tried: SmallVec::new(),
            server_name: CompactString::default(),
            sends: 0,
            possible_runs: 0,
            unreachable: 0,
            expected: None,
            first_byte: None,
            longest_pause: Duration::ZERO,
            chunks: 0,
            server_error: None,
            parts,
            end_logged: Cell::new(false),
            _open: OpenRequest::new(hub),
        }
    }
}

impl Call {
    /// Returns the name of the server of the latest attempt.
    pub(crate) fn server_name(&self) -> &str {
        &self.server_name
    }

    /// Records that the stream continues at its former server, because no other server resumed it.
    pub(crate) fn stay_at_server(&mut self, server: CompactString) {
        log::info!(request = self.id.as_str(), server = server.as_str(); "the stream stays at its server");
        self.server_name = server;
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(clock::since_boot())
    }

    fn set_body(&mut self, body: Bytes) {
        let target = self.parts.uri.path_and_query();
        self.fingerprint = prompt::hash_all(&[
            self.route.name.as_bytes(),
            target.map_or("", |target| target.as_str()).as_bytes(),
            self.team.as_ref().map_or("", |team| &team.name).as_bytes(),
            &body,
        ]);
        self.body = body;
    }

    /// Reads the request's body. Fails with the answer to the caller if that is not possible.
    async fn read_body(
        &mut self,
        body: Incoming,
        connection: &Connection,
    ) -> Result<Bytes, Box<Response<Reply>>> {
        let hub = Rc::clone(&self.hub);
        let source = Source {
            account: &hub.accounts.callers,
            connection,
        };
        let read = hub.buffers.collect(body, hub.body_limit(), Some(source));
        let answer = match timeout(self.time_left(), read).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(buffer::Error::TooLong(_))) => {
                self.reject(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
            }
            Ok(Err(buffer::Error::Shed(Shed::BodyStalled))) => {
                self.reject(StatusCode::REQUEST_TIMEOUT, "body stalled")
            }
            Ok(Err(buffer::Error::Full | buffer::Error::Shed(_))) => self.give_up(&Failure {
                reason: Reason::Memory,
            }),
            Ok(Err(buffer::Error::Broken(_))) => {
                self.reject(StatusCode::BAD_REQUEST, "body broke off")
            }
            Err(_) => self.give_up(&Failure {
                reason: Reason::Deadline,
            }),
        };
        Err(Box::new(answer))
    }

    /// Serves a request whose answer is passed on as a whole.
    async fn serve_whole(mut self) -> Response<Reply> {
        loop {
            let answer = match self.send_until_answered().await {
                Ok(answer) => answer,
                Err(failure) => return self.give_up(&failure),
            };
            if let Some(response) = self.finish_whole(answer).await {
                return response;
            }
        }
    }

    /// Reads an answer to its end and returns the response to the caller. Returns `None` if the answer broke off or
    /// another attempt should be made.
    pub(crate) async fn finish_whole(&mut self, answer: Answer) -> Option<Response<Reply>> {
        let Answer {
            head,
            headers,
            body,
            pooled,
            ticket,
            sent,
            choice,
            framed: _,
        } = answer;
        let server = pooled.server;
        let hub = Rc::clone(&self.hub);
        let read = hub.buffers.collect(body, MAX_ANSWER_BYTES, None);
        let body = match timeout(self.time_left(), read).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.record_outcome(server, Outcome::Broken);
                if matches!(error, buffer::Error::Broken(_)) {
                    self.record_crash(server);
                }
                log::info!(request = self.id.as_str(), server = self.server_name.as_str(),
                    fingerprint = hash_name(self.fingerprint); "answer broke off: {error}");
                return None;
            }
            Err(_) => {
                self.record_outcome(server, Outcome::Silent);
                return None;
            }
        };
        drop(ticket);
        let took = self.hub.now().saturating_sub(sent);
        if !head.closes {
            let idle = head.idle_timeout;
            tokio::task::spawn_local(async move { hub.return_connection(pooled, idle).await });
        }
        let (status, headers, body) = self.without_false_statement(head.status, headers, body);
        if head.status.is_server_error() {
            self.record_outcome(server, Outcome::Error);
            if self.may_repeat() {
                self.server_error = Some((status, headers, body));
                return None;
            }
        } else {
            self.record_outcome(server, Outcome::Good);
            self.record_slowdown(server, took, choice.expected);
            self.record_complete();
        }
        self.record_first_byte();
        self.log_end(status, "answered");
        Some(build_response(status, headers, Reply::Whole(Some(body))))
    }

    /// Returns what the caller gets for an answer of a server that may have run the request. Callers take some statuses as
    /// the statement that it has not run, which only a server that says so can make.
    fn without_false_statement(
        &self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> (StatusCode, HeaderMap, Bytes) {
        if !response::states_not_run(status) {
            return (status, headers, body);
        }
        log::warn!(request = self.id.as_str(), server = self.server_name.as_str(),
            status = status.as_u16(); "the server does not say whether it has run the request");
        let reason = Bytes::from_static(b"the server may have run the request");
        let answer = response::local_reply(StatusCode::BAD_GATEWAY, Some(&self.id), None, reason);
        let (parts, body) = answer.into_parts();
        (parts.status, parts.headers, body)
    }

    /// Sends the request to one server after another until one gives an answer that can be used.
    pub(crate) async fn send_until_answered(&mut self) -> Result<Answer, Failure> {
        loop {
            if self.time_left() < MIN_TIME_LEFT {
                return Err(Failure {
                    reason: Reason::Deadline,
                });
            }
            let exhausted = self.sends >= MAX_SENDS || self.unreachable >= MAX_UNREACHABLE;
            if exhausted || (self.possible_runs > 0 && !self.may_repeat()) {
                return Err(Failure {
                    reason: Reason::Attempts,
                });
            }
            if let Some(reason) = self.suspect_reason() {
                return Err(Failure { reason });
            }
            let (choice, address, name) = self.choose_with_room().await?;
            self.server_name = name;
            let ticket = Ticket::new(&self.hub, choice.server, choice.load);
            let time_left = self.time_left();
            let pooled = match self
                .hub
                .pool
                .acquire(choice.server, address, time_left)
                .await
            {
                Ok(pooled) => pooled,
                Err(error) => {
                    self.record_failure(choice.server, Outcome::Unreachable);
                    self.unreachable += 1;
                    log::info!(request = self.id.as_str(), server = self.server_name.as_str();
                        "cannot connect: {error}");
                    continue;
                }
            };
            if !self.hub.accepts_call(choice.server, self.purpose()) {
                // Another request has used the permit while this one connected.
                self.hub.return_connection(pooled, None).await;
                continue;
            }
            if let Some(reason) = self.suspect_reason() {
                self.hub.return_connection(pooled, None).await;
                return Err(Failure { reason });
            }
            if self.sends > 0 && !self.take_retry() {
                return Err(Failure {
                    reason: Reason::Attempts,
                });
            }
            if let Some(answer) = self.send(pooled, ticket, choice).await {
                return Ok(answer);
            }
        }
    }

    /// Sends the request once. Returns `None` if no usable answer came; the state of the request then decides whether
    /// it is sent again.
    async fn send(&mut self, mut pooled: Pooled, ticket: Ticket, choice: Choice) -> Option<Answer> {
        let server = choice.server;
        let Some(request) = self.request_for_server(&choice) else {
            self.tried.push(server);
            self.unreachable += 1;
            self.hub.return_connection(pooled, None).await;
            return None;
        };
        let origin = if pooled.reused { "reused" } else { "new" };
        let connections = &self.hub.metrics.connections;
        connections
            .with_label_values(&[self.service.as_str(), origin])
            .inc();
        self.hub.take_call(server, self.purpose());
        self.record_trial();
        self.record_sent();
        self.sends += 1;
        let sent = self.hub.now();
        self.record_holdings(sent, &choice);
        // The server may run the request, unless its answer says that it did not.
        self.possible_runs += 1;
        let response = match timeout(self.attempt_timeout(), pooled.connection.send(request)).await
        {
            Ok(Ok(response)) => response,
            Ok(Err(link::Error::NotSent)) => {
                // The server had closed the connection, so nothing reached it.
                self.possible_runs -= 1;
                self.sends -= 1;
                self.unreachable += 1;
                self.hub.pool.close_idle(server);
                self.hub.state.borrow_mut().directory.give_back_call(server);
                return None;
            }
            Ok(Err(error)) => {
                self.record_failure(server, Outcome::Broken);
                self.record_crash(server);
                log::info!(request = self.id.as_str(), server = self.server_name.as_str(), origin,
                    parts = self.part_ids(), fingerprint = hash_name(self.fingerprint);
                    "connection broke before the answer: {error}");
                return None;
            }
            Err(_) => {
                self.record_failure(server, Outcome::Silent);
                self.hub.pool.close_idle(server);
                log::info!(request = self.id.as_str(), server = self.server_name.as_str(),
                    waited_ms = whole_ms(self.hub.now().saturating_sub(sent)); "no answer in time");
                return None;
            }
        };
        self.record_contact(server);
        let (parts, body) = response.into_parts();
        let head = response::decode(&parts, &self.id);
        let origin = match head.identity {
            Identity::Matching => limit::Origin::Request,
            Identity::Missing => limit::Origin::Unnamed,
            Identity::Other => limit::Origin::EarlierRequest,
        };
        // Also done for a late answer to an earlier request: its head describes the server as well.
        self.hub.observe_response_head(
            server,
            &self.server_name,
            parts.status,
            &parts.headers,
            origin,
        );
        // Another server may have taken the address of one that has ended.
        let is_own = head.server.as_ref().is_none_or(|s| *s == self.server_name);
        if head.identity == Identity::Matching && !head.not_run && is_own {
            let mut state = self.hub.state.borrow_mut();
            state.suspicions.record_alive(server, sent);
        }
        match self.check_answer(server, &head, pooled.reused) {
            check::Verdict::Forward => {}
            check::Verdict::Discard => return None,
            check::Verdict::Drain => {
                self.record_refusal(server, head.status);
                self.record_version_refusal(&choice, &head);
                self.drain(pooled, &head, body);
                return None;
            }
        }
        if let (Some(prompt), Some(version)) = (&self.prompt, head.version) {
            let model = prompt.model.clone();
            self.hub.learn_version(server, &model, version, "answer");
        }
        Some(Answer {
            framed: parts.headers.contains_key(header::CONTENT_LENGTH)
                || parts.headers.contains_key(header::TRANSFER_ENCODING),
            headers: response::forward(&parts.headers),
            head,
            body,
            pooled,
            ticket,
            choice,
            sent,
        })
    }

    /// Records a failed attempt. The request is not sent to this server again.
    pub(crate) fn record_failure(&mut self, server: ServerKey, outcome: Outcome) {
        self.tried.push(server);
        self.record_outcome(server, outcome);
    }

    /// Records that the server, and the store that it saves to, will hold the parts of the prompt.
    fn record_holdings(&self, now: Moment, choice: &Choice) {
        let Some(prompt) = &self.prompt else {
            return;
        };
        let keys = cache_keys(prompt, &self.salt, choice.version);
        let mut state = self.hub.state.borrow_mut();
        let shared = prompt.shared().len();
        let holders = std::iter::once(choice.server).chain(choice.save_to.map(|store| store.key));
        for server in holders {
            for (index, (key, part)) in keys.iter().zip(&prompt.parts).enumerate() {
                let known = state.holdings.tokens(now, *key, server) > 0;
                state.holdings.record_sent(now, *key, server, part.tokens);
                if index < shared && !known {
                    state.recent_parts.push_back(RecentPart {
                        since: now,
                        part: *key,
                        server,
                        tokens: part.tokens,
                    });
                }
            }
        }
    }

    /// Chooses a server for the next attempt. Fails if none is available, or if the deadline would be missed. With
    /// `reserve` servers without capacity are excluded; fails with `NoRoom` if all are.
    pub(crate) fn choose_server(&mut self, reserve: Option<f64>) -> Result<Chosen, Failure> {
        let now = self.hub.now();
        let state = self.hub.state.borrow();
        let config = state.config.as_ref();
        let service = config.and_then(|config| config.service(&self.service));
        let settings = self.hub.settings.borrow();
        let engine = service.and_then(|service| service.engine.as_ref());
        let view = View {
            directory: &state.directory,
            peers: &state.peers,
            versions: &state.versions,
            holdings: &state.holdings,
            stores: &state.part_stores,
            reach: &state.reach,
            data_centre: &settings.data_centre,
            estimate: state.placement_estimate(),
        };
        let query = Query {
            call: prompt::hash(self.id.as_bytes()),
            service: &self.service,
            engine,
            prompt: self
                .prompt
                .as_ref()
                .filter(|_| engine.is_some())
                .map(|prompt| (prompt, &self.salt)),
            avoid: &self.tried,
        };
        let choice = match reserve {
            Some(reserve) => view.choose_with_room(now, &query, reserve),
            None => view.choose(now, &query).ok_or(Unplaced::NoServer),
        };
        if choice == Err(Unplaced::Full) {
            let reason = Reason::NoRoom(Duration::ZERO);
            return Err(Failure { reason });
        }
        let Ok(choice) = choice else {
            let reason = view.closed_reason(now, &query);
            let reason = reason.unwrap_or(if self.tried.is_empty() {
                Reason::NoServer
            } else {
                Reason::Attempts
            });
            return Err(Failure { reason });
        };
        self.expected = Some(choice.expected);
        let time_left = self.time_left();
        if self.possible_runs == 0 && admission::misses_deadline(choice.expected, time_left) {
            return Err(Failure {
                reason: Reason::Overload,
            });
        }
        let server = state.directory.get(choice.server);
        let server = server.ok_or(Failure {
            reason: Reason::NoServer,
        })?;
        Ok((choice, server.entry.address, server.entry.name.clone()))
    }

    /// Builds the request to the chosen server.
    fn request_for_server(&self, choice: &Choice) -> Option<Request<Full<Bytes>>> {
        let engine = self.prompt.is_some();
        let salt = self.salt.text(choice.version);
        let additions = Additions {
            server: &self.server_name,
            time_left: self.time_left(),
            team: self.team.as_ref().map(|team| team.name.as_str()),
            salt: engine.then_some(salt.as_str()),
            rank: engine.then(|| self.rank()),
            version: choice.version,
            fetch_from: choice.fetch_from,
            save_to: choice.save_to.map(|store| store.address),
            last_event: self.last_event,
        };
        let headers = match request::forward(&self.parts.headers, &additions) {
            Ok(headers) => headers,
            Err(error) => {
                log::error!(request = self.id.as_str(); "cannot build a request: {error}");
                return None;
            }
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = request::target(&self.parts.uri);
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Returns the rank of the team, or else of the route.
    pub(crate) fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        team.unwrap_or(self.route.rank)
    }

    /// Returns whether the request was sent to a server before.
    pub(crate) fn was_sent(&self) -> bool {
        self.sends > 0
    }

    /// Returns the purpose of the next send.
    pub(crate) fn purpose(&self) -> limit::Call {
        if self.sends == 0 {
            limit::Call::Request
        } else if self.chunks > 0 {
            limit::Call::Resume
        } else {
            limit::Call::Retry
        }
    }

    /// Returns whether the request may run once more, at another server.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.repeatable() && self.possible_runs < self.route.attempts
    }

    /// Returns whether the request may be moved from the server that runs it to another one. Without retry budget,
    /// leaving the server would only lose its work.
    pub(crate) fn may_switch_server(&self) -> bool {
        let (now, hosts) = (self.hub.now(), self.hub.share_count());
        let mut state = self.hub.state.borrow_mut();
        self.may_repeat() && state.budget.allows_retry(now, &self.service, hosts)
    }

    /// Takes one retry from the budget. Returns whether there was one.
    fn take_retry(&self) -> bool {
        let (now, hosts) = (self.hub.now(), self.hub.share_count());
        let mut state = self.hub.state.borrow_mut();
        let allowed = state.budget.take_retry(now, &self.service, hosts);
        let metrics = &self.hub.metrics;
        let result = if allowed { "allowed" } else { "refused" };
        metrics
            .retries
            .with_label_values(&[self.service.as_str(), result])
            .inc();
        metrics
            .budget_hosts
            .set(i64::try_from(hosts).unwrap_or(i64::MAX));
        if !allowed {
            log::warn!(request = self.id.as_str(), service = self.service.as_str(), hosts,
                uptime_ms = whole_ms(now);
                "the retry budget is used up");
        }
        allowed
    }

    /// Returns the timeout for the head of the next answer, or for the first event of a stream.
    pub(crate) fn attempt_timeout(&self) -> Duration {
        let time_left = self.time_left();
        if !self.may_switch_server() {
            return time_left;
        }
        let objective = self.route.objective.unwrap_or(DEFAULT_PLAIN_OBJECTIVE);
        match self.route.delivery {
            Delivery::Whole => time_left.min(objective),
            Delivery::Events => {
                let expected = self.expected.unwrap_or_default() * STREAM_EXPECTED_FACTOR;
                (objective + expected).min(time_left / STREAM_TIME_LEFT_DIVISOR)
            }
        }
    }

    /// Records the time from arrival to the answer, or to the first event of a stream.
    pub(crate) fn record_first_byte(&mut self) {
        let took = self.hub.now().saturating_sub(self.arrived);
        self.first_byte = Some(took);
        let latency = &self.hub.metrics.latency;
        latency
            .with_label_values(&[self.route.name.as_str()])
            .observe(took.as_secs_f64());
    }

    /// Returns the final answer of a request for which no attempt succeeded.
    pub(crate) fn give_up(&mut self, failure: &Failure) -> Response<Reply> {
        if let Some((status, headers, body)) = self.server_error.take() {
            self.log_end(status, "answered with an earlier error");
            return build_response(status, headers, Reply::Whole(Some(body)));
        }
        let reason = failure.reason;
        let (status, retry_after) = match (self.possible_runs > 0, reason) {
            (true, Reason::Deadline) => (StatusCode::GATEWAY_TIMEOUT, None),
            (true, _) => (StatusCode::BAD_GATEWAY, None),
            (false, _) => {
                let retry_after = self.retry_after(reason);
                (StatusCode::SERVICE_UNAVAILABLE, Some(retry_after))
            }
        };
        self.log_end(status, reason.as_str());
        local_reply(status, Some(&self.id), retry_after, reason.as_str())
    }

    /// Answers a request whose body could not be accepted.
    fn reject(&self, status: StatusCode, reason: &'static str) -> Response<Reply> {
        self.log_end(status, reason);
        local_reply(status, Some(&self.id), None, reason)
    }

    /// Logs and counts the end of the request.
    pub(crate) fn log_end(&self, status: impl Into<u16>, reason: &str) {
        self.end_logged.set(true);
        let status = status.into();
        let now = self.hub.now();
        let state = self.hub.state.borrow();
        let config = state.config.as_ref().map_or(0, |config| config.version());
        let level = if status >= 500 {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        log::log!(level,
            request = self.id.as_str(),
            kind = self.route.name.as_str(),
            service = self.service.as_str(),
            team = self.team.as_ref().map_or("", |team| team.name.as_str()),
            status,
            reason,
            server = self.server_name.as_str(),
            sends = self.sends,
            may_have_run = self.possible_runs > 0,
            expected_ms = self.expected.map_or(0, whole_ms),
            objective_ms = self.route.objective.map_or(0, whole_ms),
            first_ms = self.first_byte.map_or(0, whole_ms),
            most_pause_ms = self.route.pause.map_or(0, whole_ms),
            pause_ms = whole_ms(self.longest_pause),
            pieces = self.chunks,
            fingerprint = hash_name(self.fingerprint),
            prompt = self.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens),
            total_ms = whole_ms(now.saturating_sub(self.arrived)),
            left_ms = whole_ms(self.time_left()),
            config;
            "request ended");
        let requests = &self.hub.metrics.requests;
        requests
            .with_label_values(&[
                self.route.name.as_str(),
                status.to_string().as_str(),
                reason,
            ])
            .inc();
    }
}

/// Builds the response to the caller.
pub(crate) fn build_response(
    status: StatusCode,
    headers: HeaderMap,
    body: Reply,
) -> Response<Reply> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
