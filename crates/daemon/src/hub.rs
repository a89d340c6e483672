//! Connects requests to the router. Events reach the router under one lock; each action of the router is sent to the
//! task of its request as a command.

use std::{collections::HashMap, sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use jaystand_kernel::timer::Timer;
use jaystand_policy::{
    Action, AttemptNumber, Candidate, Event, Fleet, Refusal, Request, Router, load, server, team,
};
use jaystand_types::{Moment, Outcome, RequestId, ServerId};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use crate::{
    backend::{self, Backend},
    config::Active,
};

/// A command of the router to the task of a request.
#[derive(Debug)]
pub(crate) enum Command {
    Dispatch(Dispatch),
    CancelAttempt(AttemptNumber),
    Refuse {
        reason: Refusal,
        retry_after: Duration,
        outcome: Outcome,
    },
}

/// An attempt that the task of a request is to start.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) attempt: AttemptNumber,
    pub(crate) backend: Arc<Backend>,
    pub(crate) priority: u8,
    pub(crate) first_token_timeout: Duration,
    pub(crate) inter_token_timeout: Duration,
    pub(crate) resume: bool,
    pub(crate) fresh_connection: bool,
    pub(crate) hedge: bool,
}

/// A request that was submitted to the router. Dropping it before [`Handle::finish`] cancels the request.
#[derive(Debug)]
pub(crate) struct Handle {
    hub: Arc<Hub>,
    pub(crate) request: RequestId,
    pub(crate) commands: mpsc::UnboundedReceiver<Command>,
    finished: bool,
}

/// Why a request was not submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotSubmitted {
    /// The configuration has changed since the rule of the request was looked up.
    Stale,
    /// The number of requests queued and running is at the limit.
    Full,
}

/// The router and the command channels of its requests.
pub(crate) struct Hub {
    timer: Timer,
    /// Maximum number of requests queued and running.
    max_requests: usize,
    configured: ArcSwapOption<Configured>,
    inner: Mutex<Inner>,
    /// Wakes `run_ticks` when the router needs a tick before the planned one.
    earlier_wake: Notify,
}

/// A configuration and the backend servers of its directory.
#[derive(Debug)]
pub(crate) struct Configured {
    pub(crate) active: Arc<Active>,
    pub(crate) backends: backend::Table,
}

struct Inner {
    router: Router,
    requests: HashMap<RequestId, mpsc::UnboundedSender<Command>>,
    actions: Vec<Action>,
    configured: Option<Arc<Configured>>,
    /// When the next tick is planned.
    planned_wake: Option<Moment>,
}

impl std::fmt::Debug for Hub {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hub").finish_non_exhaustive()
    }
}

impl Hub {
    pub(crate) fn new(timer: Timer, router: Router, max_requests: usize) -> Self {
        Self {
            timer,
            max_requests,
            configured: ArcSwapOption::empty(),
            inner: Mutex::new(Inner {
                router,
                requests: HashMap::new(),
                actions: Vec::new(),
                configured: None,
                planned_wake: None,
            }),
            earlier_wake: Notify::new(),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.timer.now()
    }

    /// Returns the configuration that the router uses.
    pub(crate) fn configured(&self) -> Option<Arc<Configured>> {
        self.configured.load_full()
    }

    /// Returns the number of requests queued and running.
    pub(crate) fn in_flight(&self) -> usize {
        self.inner.lock().requests.len()
    }

    /// Puts a configuration in force. Unchanged backend servers keep their connections and state.
    pub(crate) fn configure(&self, active: Arc<Active>) {
        let mut inner = self.inner.lock();
        let previous = inner.configured.take();
        let previous = previous
            .as_ref()
            .map_or(&[][..], |previous| &previous.backends);
        let backends = backend::build_table(&active.document.directory, previous);
        inner.router.configure(self.timer.now(), fleet(&active));
        let configured = Arc::new(Configured { active, backends });
        inner.configured = Some(Arc::clone(&configured));
        self.configured.store(Some(configured));
    }

    /// Submits a request to the router. `configured` is the configuration in which its rule was looked up.
    pub(crate) fn submit(
        self: &Arc<Self>,
        configured: &Arc<Configured>,
        request: Request,
    ) -> Result<Handle, NotSubmitted> {
        let (sender, commands) = mpsc::unbounded_channel();
        let id = request.id;
        let mut inner = self.inner.lock();
        let current = inner.configured.as_ref();
        // A server id is a position in the directory of one configuration. In another configuration it may name
        // another server.
        if !current.is_some_and(|current| Arc::ptr_eq(current, configured)) {
            return Err(NotSubmitted::Stale);
        }
        if inner.requests.len() >= self.max_requests {
            return Err(NotSubmitted::Full);
        }
        inner.requests.insert(id, sender);
        self.handle(&mut inner, Event::Submit(request));
        drop(inner);
        Ok(Handle {
            hub: Arc::clone(self),
            request: id,
            commands,
            finished: false,
        })
    }

    /// Returns the candidates for a request without submitting it; `None` when the configuration has changed.
    pub(crate) fn explain(
        &self,
        configured: &Arc<Configured>,
        request: &Request,
    ) -> Option<Vec<Candidate>> {
        let inner = self.inner.lock();
        let current = inner.configured.as_ref()?;
        Arc::ptr_eq(current, configured).then(|| inner.router.explain(self.timer.now(), request))
    }

    /// Returns the number of this daemon's attempts in flight on a backend server.
    pub(crate) fn attempts_in_flight(&self, server: ServerId) -> u32 {
        self.inner.lock().router.in_flight(server)
    }

    /// Sends an event to the router.
    pub(crate) fn send_event(&self, event: Event) {
        self.handle(&mut self.inner.lock(), event);
    }

    /// Records whether a backend server is leaving, and tells the router if that changed.
    pub(crate) fn set_leaving(&self, backend: &Arc<Backend>, leaving: bool) {
        if !backend.set_leaving(leaving) {
            return;
        }
        let mut inner = self.inner.lock();
        if let Some(server) = inner.server_id(backend) {
            let event = if leaving {
                Event::Leaving { server }
            } else {
                Event::Returned { server }
            };
            self.handle(&mut inner, event);
        }
    }

    /// Sends a load report to the router.
    pub(crate) fn record_load(&self, backend: &Arc<Backend>, report: load::Report) {
        let mut inner = self.inner.lock();
        if let Some(server) = inner.server_id(backend) {
            self.handle(&mut inner, Event::Load { server, report });
        }
    }

    /// Lets the router handle an event, delivers its actions and plans the next tick.
    fn handle(&self, inner: &mut Inner, event: Event) {
        let mut actions = std::mem::take(&mut inner.actions);
        inner.router.handle(self.timer.now(), event, &mut actions);
        for action in actions.drain(..) {
            inner.deliver(action);
        }
        inner.actions = actions;
        let wake = inner.router.next_wake();
        let is_earlier = match (wake, inner.planned_wake) {
            (Some(wake), Some(planned)) => wake < planned,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_earlier {
            inner.planned_wake = wake;
            self.earlier_wake.notify_one();
        }
    }

    /// Sends the router a tick whenever it asks for one. Never returns.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        loop {
            let wake = {
                let mut inner = self.inner.lock();
                inner.planned_wake = inner.router.next_wake();
                inner.planned_wake
            };
            let Some(wake) = wake else {
                self.earlier_wake.notified().await;
                continue;
            };
            let mut due = self.timer.wake_at(wake);
            tokio::select! {
                _ = due.tick() => self.send_event(Event::Tick),
                () = self.earlier_wake.notified() => {}
            }
        }
    }
}

impl Inner {
    /// Returns the id of a backend server in the configuration in force; `None` when the configuration lacks it.
    fn server_id(&self, backend: &Arc<Backend>) -> Option<ServerId> {
        let backends = &self.configured.as_ref()?.backends;
        let position = backends.iter().position(|it| Arc::ptr_eq(it, backend))?;
        ServerId::try_from(position).ok()
    }

    #[allow(
        clippy::needless_pass_by_value,
        reason = "delivering an action consumes it"
    )]
    fn deliver(&mut self, action: Action) {
        let (request, command) = match action {
            Action::Dispatch {
                request,
                attempt,
                server,
                priority,
                first_token_timeout,
                inter_token_timeout,
                resume,
                fresh_connection,
                hedge,
            } => {
                let backends = self.configured.as_ref().map(|it| &it.backends);
                let Some(backend) = backends.and_then(|all| all.get(server as usize)) else {
                    log::error!("the router chose server {server}, which is not configured");
                    return;
                };
                let dispatch = Dispatch {
                    attempt,
                    backend: Arc::clone(backend),
                    priority,
                    first_token_timeout,
                    inter_token_timeout,
                    resume,
                    fresh_connection,
                    hedge,
                };
                (request, Command::Dispatch(dispatch))
            }
            Action::CancelAttempt {
                request, attempt, ..
            } => (request, Command::CancelAttempt(attempt)),
            Action::Refuse {
                request,
                reason,
                retry_after,
                outcome,
            } => (
                request,
                Command::Refuse {
                    reason,
                    retry_after,
                    outcome,
                },
            ),
        };
        if let Some(sender) = self.requests.get(&request) {
            // The receiver is closed when the request is ending; then no command is needed.
            let _ = sender.send(command);
        }
    }
}

impl Handle {
    /// Sends an event of this request to the router.
    pub(crate) fn send_event(&self, event: Event) {
        self.hub.send_event(event);
    }

    pub(crate) fn now(&self) -> Moment {
        self.hub.now()
    }

    /// Records that a backend server announced in an answer that it is leaving.
    pub(crate) fn record_leaving(&self, backend: &Arc<Backend>) {
        backend.set_unreported_leaving(true);
        self.hub.set_leaving(backend, true);
    }

    /// Marks the request as answered. The router has dropped it by then, so dropping the handle sends no cancel.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let mut inner = self.hub.inner.lock();
        inner.requests.remove(&self.request);
        if !self.finished {
            let request = self.request;
            self.hub.handle(&mut inner, Event::Cancel { request });
        }
    }
}

/// Returns the servers, team shares and limits of a configuration for the router.
fn fleet(active: &Active) -> Fleet {
    let directory = &active.document.directory;
    let servers = directory.servers.iter().zip(0..);
    let servers = servers.map(|(entry, id)| server::Spec {
        id,
        name: entry.name.clone(),
        data_centre: entry.data_centre.clone(),
        model: entry.model.clone(),
        weights_version: entry.weights_version.to_string(),
        service: entry.kind == jaystand_sheet::ServerKind::Service,
        slots: entry.slots.get(),
    });
    let shares = directory.teams.iter().map(|entry| team::Share {
        team: entry.name.clone(),
        weight: entry.weight,
    });
    let limits = active.sheet.rules.iter().map(|rule| team::Limit {
        team: rule.team.clone(),
        kind: rule.kind.clone(),
        max_in_flight: rule.limits.max_in_flight,
        requests_per_minute: rule.limits.requests_per_minute,
    });
    Fleet {
        servers: servers.collect(),
        shares: shares.collect(),
        limits: limits.collect(),
    }
}
