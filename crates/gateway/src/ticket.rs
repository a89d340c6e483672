//! What a request counts as while it is open, taken back however it ends.

use std::rc::Rc;

use jaystand_dispatch::{ServerKey, load::Load};

use crate::hub::Hub;

/// Counts a request as open until its final answer.
pub(crate) struct Open(Rc<Hub>);

/// The load of one sending, taken off when it ends.
pub(crate) struct Ticket {
    hub: Rc<Hub>,
    server: ServerKey,
    load: Load,
}

impl Open {
    pub(crate) fn new(hub: &Rc<Hub>) -> Self {
        hub.open_requests.set(hub.open_requests.get() + 1);
        Self(Rc::clone(hub))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

impl Ticket {
    pub(crate) fn new(hub: &Rc<Hub>, server: ServerKey, load: Load) -> Self {
        if let Some(server) = hub.state.borrow_mut().directory.get_mut(server) {
            server.load.add(load);
        }
        Self {
            hub: Rc::clone(hub),
            server,
            load,
        }
    }

    /// The first token has come: the prompt is computed.
    pub(crate) fn computed(&mut self) {
        let prefill = Load {
            prefill_us: std::mem::take(&mut self.load.prefill_us),
            ..Load::default()
        };
        if let Some(server) = self.hub.state.borrow_mut().directory.get_mut(self.server) {
            server.load.subtract(prefill);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(server) = self.hub.state.borrow_mut().directory.get_mut(self.server) {
            server.load.subtract(self.load);
        }
    }
}
