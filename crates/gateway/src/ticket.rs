//! Counters of open requests and of server load that are taken back on drop, however the request ends.

use std::rc::Rc;

use jaystand_dispatch::{ServerKey, load::Load};

use crate::hub::Hub;

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequest(Rc<Hub>);

/// The load that one attempt adds to its server until it is dropped.
pub(crate) struct Ticket {
    hub: Rc<Hub>,
    server: ServerKey,
    load: Load,
}

impl OpenRequest {
    pub(crate) fn new(hub: &Rc<Hub>) -> Self {
        hub.open_requests.set(hub.open_requests.get() + 1);
        Self(Rc::clone(hub))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

impl Ticket {
    pub(crate) fn new(hub: &Rc<Hub>, server: ServerKey, load: Load) -> Self {
        let state = &mut *hub.state.borrow_mut();
        if let Some(server) = state.directory.get_mut(server) {
            server.load.add(load);
            if let Some(estimate) = &mut state.estimate {
                estimate.record_sent(&server.entry.service, load);
            }
        }
        Self {
            hub: Rc::clone(hub),
            server,
            load,
        }
    }

    /// Takes the prefill load off, because the first token has arrived.
    pub(crate) fn finish_prefill(&mut self) {
        let prefill = Load {
            prefill_us: std::mem::take(&mut self.load.prefill_us),
            ..Load::default()
        };
        if prefill.is_idle() {
            return;
        }
        if let Some(server) = self.hub.state.borrow_mut().directory.get_mut(self.server) {
            server.load.subtract(prefill);
        }
        self.hub.waiting.wake();
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(server) = self.hub.state.borrow_mut().directory.get_mut(self.server) {
            server.load.subtract(self.load);
        }
        self.hub.waiting.wake();
    }
}
