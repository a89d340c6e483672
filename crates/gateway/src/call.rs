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
    placement::{Choice, Query, View, cache_keys},
    prompt::{self, Prompt, Salt},
};
use jaystand_types::Moment;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    admit::{self, Admitted, own},
    buffer, clock,
    hub::{Hub, RecentPart, whole_ms},
    link,
    meter::MeteredBody,
    pool::Pooled,
    relay,
    reply::Reply,
    ticket::{Open, Ticket},
};

/// Sendings of one request, refused ones included; more would only add load to full servers.
const MOST_SENDS: u32 = 4;
/// Servers to which no connection could be opened before a request is given up.
const MOST_UNREACHABLE: u32 = 3;
/// A request with less time left is not sent any more; the answer could not come in time.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// A stream is not tried elsewhere later than after this part of the time left, so that enough is left.
const STREAM_PATIENCE_PART: u32 = 2;
/// A stream is tried elsewhere when its first event comes later than the objective and this many times what was
/// expected: a second run costs as much as the first, and most late servers are only busy.
const STREAM_PATIENCE: u32 = 3;
/// A plain request that may be repeated is tried elsewhere after its objective, or after this time without one.
const PLAIN_PATIENCE: Duration = Duration::from_millis(400);
/// Largest answer of a plain service: as much as the sheets let a caller send.
const MOST_ANSWER: usize = 4 << 20;
/// Largest body of a refusal that is read so that its connection can be used again.
const MOST_REFUSAL: usize = 64 << 10;
/// Time allowed for that; the body comes with its head.
const REFUSAL_READ: Duration = Duration::from_millis(500);

/// A request with what has happened to it.
pub(crate) struct Call {
    pub(crate) hub: Rc<Hub>,
    parts: Parts,
    body: Bytes,
    pub(crate) id: CallId,
    pub(crate) route: Arc<Route>,
    team: Option<Arc<Team>>,
    service: ServiceName,
    salt: Salt,
    prompt: Option<Prompt>,
    arrived: Moment,
    /// By the clock that counts suspensions: the caller's goes on meanwhile.
    deadline: Moment,
    tried: SmallVec<[ServerKey; 4]>,
    server: CompactString,
    sends: u32,
    /// Sendings after which the request may have run.
    runs: u32,
    unreachable: u32,
    expected: Option<Duration>,
    first: Option<Duration>,
    /// Longest pause between two pieces of a stream.
    pub(crate) longest_pause: Duration,
    pub(crate) pieces: u32,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// An error that a server answered, for the case that no further attempt succeeds.
    spare: Option<(StatusCode, HeaderMap, Bytes)>,
    ended: Cell<bool>,
    _open: Open,
}

/// Status under which requests are logged that ended without an answer.
const NO_ANSWER: u16 = 499;

impl Drop for Call {
    fn drop(&mut self) {
        if !self.ended.get() {
            let reason = if self.hub.ended.get() {
                "the process ended before the answer"
            } else {
                "caller gone before the answer"
            };
            self.log_end(NO_ANSWER, reason);
        }
    }
}

/// A server's answer, as far as its head.
pub(crate) struct Answer {
    pub(crate) head: response::Head,
    pub(crate) headers: HeaderMap,
    pub(crate) body: MeteredBody,
    pub(crate) pooled: Pooled,
    pub(crate) ticket: Ticket,
    pub(crate) choice: Choice,
    pub(crate) sent: Moment,
    /// Whether its length is known without the end of the connection.
    pub(crate) framed: bool,
}

/// What to do with an answer.
enum Use {
    /// Pass it on.
    Pass,
    /// Drop it together with its connection.
    Drop,
    /// Read it to its end and go on.
    Drain,
}

/// Why a request gets no answer of a server.
#[derive(Debug)]
pub(crate) struct Stop {
    reason: Reason,
}

/// Takes a request and gives its final answer, or the beginning of its stream.
pub(crate) async fn serve(hub: Rc<Hub>, request: Request<Incoming>) -> Response<Reply> {
    let arrived = hub.now();
    let (parts, body) = request.into_parts();
    let (id, admitted) = admit::admit(&hub, arrived, &parts);
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(rejection) => return rejection.answer(&hub, id.as_deref()),
    };
    let mut call = Call::new(&hub, arrived, id.unwrap_or_default(), admitted, parts);
    match call.read_body(body).await {
        Ok(body) => call.body = body,
        Err(answer) => return *answer,
    }
    match call.route.delivery {
        Delivery::Whole => call.serve_whole().await,
        Delivery::Events => relay::serve(call).await,
    }
}

impl Call {
    fn new(hub: &Rc<Hub>, arrived: Moment, id: CallId, admitted: Admitted, parts: Parts) -> Self {
        Self {
            hub: Rc::clone(hub),
            body: Bytes::new(),
            id,
            salt: Salt::new(admitted.team.as_deref()),
            prompt: request::prompt(&parts.headers),
            deadline: clock::since_boot() + admitted.patience,
            last_event: admitted.last_event,
            service: admitted.service,
            team: admitted.team,
            route: admitted.route,
            arrived,
            tried: SmallVec::new(),
            server: CompactString::default(),
            sends: 0,
            runs: 0,
            unreachable: 0,
            expected: None,
            first: None,
            longest_pause: Duration::ZERO,
            pieces: 0,
            spare: None,
            parts,
            ended: Cell::new(false),
            _open: Open::new(hub),
        }
    }
}

impl Call {
    /// The server that was chosen last.
    pub(crate) fn server_name(&self) -> &str {
        &self.server
    }

    /// A former server goes on with the stream, since no other one does.
    pub(crate) fn stays_at(&mut self, server: CompactString) {
        log::info!(request = self.id.as_str(), server = server.as_str(); "the stream stays at its server");
        self.server = server;
    }

    /// Time until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_sub(clock::since_boot())
    }

    async fn read_body(&mut self, body: Incoming) -> Result<Bytes, Box<Response<Reply>>> {
        let hub = Rc::clone(&self.hub);
        let read = hub.buffers.collect(body, hub.body_limit());
        let answer = match timeout(self.left(), read).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(buffer::Error::TooLong(_))) => {
                self.reject(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
            }
            Ok(Err(buffer::Error::Full)) => self.give_up(&Stop {
                reason: Reason::Memory,
            }),
            Ok(Err(buffer::Error::Broken(_))) => {
                self.reject(StatusCode::BAD_REQUEST, "body broke off")
            }
            Err(_) => self.give_up(&Stop {
                reason: Reason::Deadline,
            }),
        };
        Err(Box::new(answer))
    }

    async fn serve_whole(mut self) -> Response<Reply> {
        loop {
            let answer = match self.attempt().await {
                Ok(answer) => answer,
                Err(stop) => return self.give_up(&stop),
            };
            if let Some(response) = self.finish_whole(answer).await {
                return response;
            }
        }
    }

    /// Reads a whole answer. None when it broke off or another attempt is worth it.
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
        let read = hub.buffers.collect(body, MOST_ANSWER);
        let body = match timeout(self.left(), read).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.note(server, Outcome::Broken);
                log::info!(request = self.id.as_str(), server = self.server.as_str();
                    "answer broke off: {error}");
                return None;
            }
            Err(_) => {
                self.note(server, Outcome::Silent);
                return None;
            }
        };
        drop(ticket);
        let took = self.hub.now().saturating_sub(sent);
        if !head.closes {
            let idle = head.idle_timeout;
            tokio::task::spawn_local(async move { hub.return_connection(pooled, idle).await });
        }
        if head.status.is_server_error() {
            self.note(server, Outcome::Error);
            if self.may_repeat() {
                self.spare = Some((head.status, headers, body));
                return None;
            }
        } else {
            self.note(server, Outcome::Good);
            self.note_pace(server, took, choice.expected);
        }
        self.note_first();
        self.log_end(head.status, "answered");
        Some(answered(head.status, headers, Reply::Whole(Some(body))))
    }

    /// Sends the request to one server after another until one answers.
    pub(crate) async fn attempt(&mut self) -> Result<Answer, Stop> {
        loop {
            if self.left() < LEAST_LEFT {
                return Err(Stop {
                    reason: Reason::Deadline,
                });
            }
            let exhausted = self.sends >= MOST_SENDS || self.unreachable >= MOST_UNREACHABLE;
            if exhausted || (self.runs > 0 && !self.may_repeat()) {
                return Err(Stop {
                    reason: Reason::Attempts,
                });
            }
            let (choice, address, name) = self.choose()?;
            self.server = name;
            let ticket = Ticket::new(&self.hub, choice.server, choice.load);
            let within = self.left();
            let pooled = match self.hub.pool.acquire(choice.server, address, within).await {
                Ok(pooled) => pooled,
                Err(error) => {
                    self.fail(choice.server, Outcome::Unreachable);
                    self.unreachable += 1;
                    log::info!(request = self.id.as_str(), server = self.server.as_str();
                        "cannot connect: {error}");
                    continue;
                }
            };
            if self.sends > 0 && !self.spend_repeat() {
                return Err(Stop {
                    reason: Reason::Attempts,
                });
            }
            if let Some(answer) = self.send(pooled, ticket, choice).await {
                return Ok(answer);
            }
        }
    }

    /// Sends the request once. None when the answer is no use; the request's state then tells why.
    async fn send(&mut self, mut pooled: Pooled, ticket: Ticket, choice: Choice) -> Option<Answer> {
        let server = choice.server;
        let request = self.request_for_server(&choice)?;
        let origin = if pooled.reused { "reused" } else { "new" };
        let connections = &self.hub.metrics.connections;
        connections
            .with_label_values(&[self.service.as_str(), origin])
            .inc();
        self.sends += 1;
        let sent = self.hub.now();
        self.note_holdings(sent, &choice);
        // Until an answer says otherwise, the server may run the request.
        self.runs += 1;
        let response = match timeout(self.patience(), pooled.connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(link::Error::NotSent)) => {
                // The connection had been closed; nothing reached the server.
                self.runs -= 1;
                self.sends -= 1;
                self.unreachable += 1;
                self.hub.pool.close_idle(server);
                return None;
            }
            Ok(Err(error)) => {
                self.fail(server, Outcome::Broken);
                log::info!(request = self.id.as_str(), server = self.server.as_str(), origin;
                    "connection broke before the answer: {error}");
                return None;
            }
            Err(_) => {
                self.fail(server, Outcome::Silent);
                self.hub.pool.close_idle(server);
                log::info!(request = self.id.as_str(), server = self.server.as_str(),
                    waited_ms = whole_ms(self.hub.now().saturating_sub(sent)); "no answer in time");
                return None;
            }
        };
        self.note_alive(server);
        let (parts, body) = response.into_parts();
        let head = response::decode(&parts, &self.id);
        // A late copy of an answer to an earlier request tells of the server, too.
        self.hub
            .observe_response_head(server, &self.server, parts.status, &parts.headers);
        match self.judge(server, &head, pooled.reused) {
            Use::Pass => {}
            Use::Drop => return None,
            Use::Drain => {
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

    /// Whether an answer is the server's own to this request.
    fn judge(&mut self, server: ServerKey, head: &response::Head, reused: bool) -> Use {
        if head.identity == Identity::Other {
            self.fail(server, Outcome::Broken);
            self.hub.pool.close_idle(server);
            log::warn!(request = self.id.as_str(), server = self.server.as_str();
                "the answer belongs to another request; connection closed");
            return Use::Drop;
        }
        if head.not_run && head.identity == Identity::Missing && reused {
            // It may be a late copy of what the server said of an earlier request, while it runs this one.
            self.fail(server, Outcome::Broken);
            self.hub.pool.close_idle(server);
            log::warn!(request = self.id.as_str(), server = self.server.as_str();
                "a refusal without an identity on a reused connection proves nothing; connection closed");
            return Use::Drop;
        }
        if head.not_run {
            self.runs -= 1;
            let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
            if misdirected && head.server.as_ref().is_some_and(|s| *s != self.server) {
                self.hub.mark_replaced(server, "answer");
            }
            // The right server that is misdirected has changed its weights.
            let outcome = if misdirected && head.server.as_ref() != Some(&self.server) {
                Outcome::Unreachable
            } else {
                Outcome::Busy
            };
            self.fail(server, outcome);
            log::info!(request = self.id.as_str(), server = self.server.as_str(),
                status = head.status.as_u16(), answered_by = head.server.as_deref().unwrap_or_default();
                "the server refused the request");
            return Use::Drain;
        }
        let genuine = head.sealed && head.identity == Identity::Matching && !head.encoded;
        if head.status.is_success() && !genuine {
            self.fail(server, Outcome::Broken);
            log::warn!(request = self.id.as_str(), server = self.server.as_str(),
                sealed = head.sealed, encoded = head.encoded; "the answer is not a server's");
            return Use::Drop;
        }
        self.tried.push(server);
        Use::Pass
    }

    /// Reads a refusal to its end, so that the connection can be used again.
    fn drain(&self, pooled: Pooled, head: &response::Head, body: MeteredBody) {
        if head.closes {
            return;
        }
        let (hub, idle) = (Rc::clone(&self.hub), head.idle_timeout);
        tokio::task::spawn_local(async move {
            // Whoever sends more, or slower, is not worth a connection.
            let read = hub.buffers.collect(body, MOST_REFUSAL);
            if matches!(timeout(REFUSAL_READ, read).await, Ok(Ok(_))) {
                hub.return_connection(pooled, idle).await;
            }
        });
    }

    /// Notes that a server did not answer the request; it is not tried again.
    fn fail(&mut self, server: ServerKey, outcome: Outcome) {
        self.tried.push(server);
        self.note(server, outcome);
    }

    /// The server will keep the parts of the prompt.
    fn note_holdings(&self, now: Moment, choice: &Choice) {
        let Some(prompt) = &self.prompt else {
            return;
        };
        let keys = cache_keys(prompt, &self.salt, choice.version);
        let mut state = self.hub.state.borrow_mut();
        let shared = prompt.shared().len();
        let keepers = std::iter::once(choice.server).chain(choice.save_to.map(|store| store.key));
        for server in keepers {
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

    fn choose(&mut self) -> Result<(Choice, std::net::SocketAddr, CompactString), Stop> {
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
        let Some(choice) = view.choose(now, &query) else {
            if let Some(until) = view.all_paused_until(now, &query) {
                return Err(Stop {
                    reason: Reason::Paused(until.saturating_sub(now)),
                });
            }
            let reason = if self.tried.is_empty() {
                Reason::NoServer
            } else {
                Reason::Attempts
            };
            return Err(Stop { reason });
        };
        self.expected = Some(choice.expected);
        let left = self.left();
        if self.runs == 0 && admission::misses_deadline(choice.expected, left) {
            return Err(Stop {
                reason: Reason::Overload,
            });
        }
        let server = state.directory.get(choice.server);
        let server = server.ok_or(Stop {
            reason: Reason::NoServer,
        })?;
        Ok((choice, server.entry.address, server.entry.name.clone()))
    }

    fn request_for_server(&self, choice: &Choice) -> Option<Request<Full<Bytes>>> {
        let engine = self.prompt.is_some();
        let salt = self.salt.text(choice.version);
        let additions = Additions {
            server: &self.server,
            time_left: self.left(),
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

    fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        team.unwrap_or(self.route.rank)
    }

    /// Whether the request may run on one more server.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.repeatable() && self.runs < self.route.attempts
    }

    /// Whether the request may be taken from the server that runs it and sent to another one. Without the budget
    /// for that, leaving the server would only lose its work.
    pub(crate) fn may_leave(&self) -> bool {
        let (now, hosts) = (self.hub.now(), self.hub.host_count());
        let mut state = self.hub.state.borrow_mut();
        self.may_repeat() && state.budget.allows_retry(now, &self.service, hosts)
    }

    fn spend_repeat(&self) -> bool {
        let (now, hosts) = (self.hub.now(), self.hub.host_count());
        let mut state = self.hub.state.borrow_mut();
        let allowed = state.budget.take_retry(now, &self.service, hosts);
        if !allowed {
            log::warn!(request = self.id.as_str(), service = self.service.as_str(), hosts;
                "the retry budget is used up");
        }
        allowed
    }

    /// Time allowed until the head of the next answer, or the first event.
    pub(crate) fn patience(&self) -> Duration {
        let left = self.left();
        if !self.may_leave() {
            return left;
        }
        let objective = self.route.objective.unwrap_or(PLAIN_PATIENCE);
        match self.route.delivery {
            Delivery::Whole => left.min(objective),
            Delivery::Events => {
                let expected = self.expected.unwrap_or_default() * STREAM_PATIENCE;
                (objective + expected).min(left / STREAM_PATIENCE_PART)
            }
        }
    }

    pub(crate) fn note(&self, server: ServerKey, outcome: Outcome) {
        let name = match outcome {
            Outcome::Good => "good",
            Outcome::Error => "error",
            Outcome::Busy => "refused",
            Outcome::Broken => "broken",
            Outcome::Silent => "silent",
            Outcome::Unreachable => "unreachable",
        };
        let attempts = &self.hub.metrics.attempts;
        attempts
            .with_label_values(&[self.service.as_str(), name])
            .inc();
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        if let Some(server) = state.directory.get_mut(server) {
            server.health.observe(now, outcome);
        }
    }

    /// The server has answered something.
    fn note_alive(&self, server: ServerKey) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        let data_centre = state
            .directory
            .get(server)
            .map(|s| s.entry.data_centre.clone());
        if let Some(data_centre) = data_centre {
            state.reach.record_contact(now, &data_centre);
        }
    }

    pub(crate) fn note_pace(&self, server: ServerKey, took: Duration, expected: Duration) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        if let Some(server) = state.directory.get_mut(server) {
            let pace = server.health.slowdown(now);
            let base = expected.as_secs_f64() / pace;
            server
                .health
                .observe_slowdown(took.as_secs_f64() / base.max(1e-3));
        }
    }

    /// The answer or its first event is there.
    pub(crate) fn note_first(&mut self) {
        let took = self.hub.now().saturating_sub(self.arrived);
        self.first = Some(took);
        let latency = &self.hub.metrics.latency;
        latency
            .with_label_values(&[self.route.name.as_str()])
            .observe(took.as_secs_f64());
    }

    /// The final answer of a request that no server answered.
    pub(crate) fn give_up(&mut self, stop: &Stop) -> Response<Reply> {
        if let Some((status, headers, body)) = self.spare.take() {
            self.log_end(status, "answered with an earlier error");
            return answered(status, headers, Reply::Whole(Some(body)));
        }
        let reason = stop.reason;
        let (status, pause) = match (self.runs > 0, reason) {
            (true, Reason::Deadline) => (StatusCode::GATEWAY_TIMEOUT, None),
            (true, _) => (StatusCode::BAD_GATEWAY, None),
            (false, _) => {
                let pause = admission::retry_after(reason, self.expected, self.left());
                (StatusCode::SERVICE_UNAVAILABLE, Some(pause))
            }
        };
        self.log_end(status, reason.as_str());
        own(status, Some(&self.id), pause, reason.as_str())
    }

    fn reject(&self, status: StatusCode, reason: &'static str) -> Response<Reply> {
        self.log_end(status, reason);
        own(status, Some(&self.id), None, reason)
    }

    pub(crate) fn log_end(&self, status: impl Into<u16>, reason: &str) {
        self.ended.set(true);
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
            server = self.server.as_str(),
            sends = self.sends,
            may_have_run = self.runs > 0,
            expected_ms = self.expected.map_or(0, whole_ms),
            objective_ms = self.route.objective.map_or(0, whole_ms),
            first_ms = self.first.map_or(0, whole_ms),
            most_pause_ms = self.route.pause.map_or(0, whole_ms),
            pause_ms = whole_ms(self.longest_pause),
            pieces = self.pieces,
            prompt = self.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens),
            total_ms = whole_ms(now.saturating_sub(self.arrived)),
            left_ms = whole_ms(self.left()),
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

pub(crate) fn answered(status: StatusCode, headers: HeaderMap, body: Reply) -> Response<Reply> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
