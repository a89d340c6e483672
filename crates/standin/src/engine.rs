//! A stand-in for an inference engine: continuous batching, a bounded prefix cache, resumable streams and orders.

mod batch;
mod cache;
mod faults;
mod load;
mod orders;
mod prompt;
mod protocol;
mod settings;
mod state;
mod stream;

use std::{io, sync::Arc};

use hyper::{Request, Response, body::Incoming};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::server::{self, Body, Standin, Switches};

pub use faults::{Faults, StreamFault};
pub use orders::WeightStore;
pub use prompt::{Message, Prompt, answer_text, token_text};
pub use settings::Settings;
pub use state::Record;

/// A running engine.
pub type Handle = server::Handle<Engine>;

/// The engine stand-in.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    faults: Mutex<faults::Active>,
    state: Mutex<state::State>,
    /// Wakes the batch loop when work arrives.
    work: Arc<Notify>,
    stop: CancellationToken,
}

/// Starts an engine.
///
/// # Errors
/// Fails when the address cannot be bound.
///
/// # Panics
/// Panics outside a tokio runtime.
pub fn start(settings: Settings) -> io::Result<Handle> {
    let address = settings.address;
    let engine = Arc::new(Engine {
        state: Mutex::new(state::State::new(&settings)),
        settings,
        faults: Mutex::default(),
        work: Arc::default(),
        stop: CancellationToken::new(),
    });
    let batch = batch::run(Arc::downgrade(&engine), Arc::clone(&engine.work));
    let stop = engine.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = batch => {}
            () = stop.cancelled() => {}
        }
    });
    server::Handle::start(address, engine)
}

impl Engine {
    /// Returns the incarnation of the current run.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.state.lock().incarnation
    }

    /// Returns how many requests can run at once.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.settings.slots
    }

    /// Returns the numbers of running and of waiting requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let state = self.state.lock();
        (state.running.len(), state.waiting.len())
    }

    /// Sets whether the engine announces that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.lock().leaving = leaving;
    }

    /// Returns the records so far and removes them.
    #[must_use]
    pub fn take_records(&self) -> Vec<Record> {
        self.state.lock().take_records()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Standin for Engine {
    type Faults = Faults;
    type Record = Record;

    async fn call(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        protocol::route(self, request).await
    }

    fn faults(&self) -> Faults {
        self.faults.lock().faults.clone()
    }

    fn set_faults(&self, faults: Faults) -> Switches {
        let frozen = faults.frozen;
        *self.faults.lock() = faults::Active::new(faults);
        Switches { frozen }
    }

    fn records(&self) -> Vec<Record> {
        self.state.lock().records()
    }

    fn reset(&self) {
        self.state.lock().crash();
    }
}
