//! Weights updates under way, as hosts report them to each other: each is one of one model on one server.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_dispatch::{ServerKey, weights::Update};
use jaystand_types::{Model, Moment, Version};

use crate::{
    hub::{Hub, State},
    message::{ModelUpdates, Report, UpdateEntry},
};

/// Ended updates are reported to peers for this long.
const ENDED_STATUS_LIFETIME: Duration = Duration::from_secs(3);

/// State of an update, as it is reported to peers.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    pub(crate) version: Version,
    pub(crate) done: bool,
    pub(crate) since: Moment,
}

/// Marks a model on a server as updating, or as no longer updating, and reports it to peers at once.
pub(crate) fn announce(hub: &Hub, update: &Update, done: bool) {
    let now = hub.now();
    let mut state = hub.state.borrow_mut();
    if let Some(server) = state.directory.get_mut(update.server) {
        server.set_updating(now, &update.model, !done);
    }
    let status = Status {
        version: update.version,
        done,
        since: now,
    };
    let subject = (update.server, update.model.clone());
    state.updates.insert(subject, status);
    hub.report_now.notify_one();
}

/// Drops the status of an update that has failed, so that it is not reported as done.
pub(crate) fn forget(hub: &Hub, update: &Update) {
    let subject = (update.server, update.model.clone());
    hub.state.borrow_mut().updates.remove(&subject);
}

/// Renews the marks of the updates that this host runs.
pub(crate) fn refresh_marks(hub: &Hub) {
    let now = hub.now();
    let state = &mut *hub.state.borrow_mut();
    let running = state.updates.iter().filter(|(_, status)| !status.done);
    for ((server, model), _) in running {
        if let Some(server) = state.directory.get_mut(*server) {
            server.set_updating(now, model, true);
        }
    }
}

/// Drops the statuses of updates that ended some time ago.
pub(crate) fn expire(hub: &Hub) {
    let now = hub.now();
    let mut state = hub.state.borrow_mut();
    state.updates.retain(|_, status| {
        !status.done || now.saturating_sub(status.since) < ENDED_STATUS_LIFETIME
    });
}

/// Returns the entries for some of this host's updates: of servers with one model, and of those with several.
///
/// Hosts of former builds read the first kind only, and take each as an update of the server's first model.
pub(crate) fn compose(
    state: &State,
    is_chosen: impl Fn(&Status) -> bool,
) -> (Vec<UpdateEntry>, Vec<ModelUpdates>) {
    let mut single = Vec::new();
    let mut by_model: HashMap<&Model, Vec<UpdateEntry>> = HashMap::new();
    for ((server, model), status) in state.updates.iter().filter(|(_, s)| is_chosen(s)) {
        let entry = UpdateEntry {
            server: *server,
            version: status.version,
            done: status.done,
        };
        match only_model(state, *server) {
            Some(only) if only == model => single.push(entry),
            _ => by_model.entry(model).or_default().push(entry),
        }
    }
    let several = by_model.into_iter().map(|(model, updates)| ModelUpdates {
        model: model.to_string(),
        updates,
    });
    (single, several.collect())
}

/// Applies the updates that another host reports.
pub(crate) fn apply(hub: &Hub, now: Moment, report: &Report) {
    for update in &report.updates {
        // Former builds do not name the model.
        let model = only_model(&hub.state.borrow(), update.server).cloned();
        if let Some(model) = model {
            apply_entry(hub, now, &model, update);
        }
    }
    for group in &report.model_updates {
        let model = Model::from(group.model.as_str());
        for update in &group.updates {
            apply_entry(hub, now, &model, update);
        }
    }
}

fn apply_entry(hub: &Hub, now: Moment, model: &Model, update: &UpdateEntry) {
    if update.done {
        hub.learn_version(update.server, model, update.version, "peer");
        return;
    }
    let mut state = hub.state.borrow_mut();
    if let Some(server) = state.directory.get_mut(update.server)
        && server
            .entry
            .version(model)
            .is_some_and(|known| known < update.version)
    {
        server.set_updating(now, model, true);
    }
}

/// Returns the model of a server that serves just one.
fn only_model(state: &State, server: ServerKey) -> Option<&Model> {
    match state.directory.get(server)?.entry.weights.as_slice() {
        [(model, _)] => Some(model),
        _ => None,
    }
}
