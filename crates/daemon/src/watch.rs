//! The `watch` plug-in, which follows the configuration on the platform, and the functions that read a configuration
//! from the platform and put a new one in force.
//!
//! Only elected daemons watch the platform. The others read the configuration once, when they start, and receive
//! changes from their peers.

use std::time::Duration;

use jaystand_control::config::{
    Acceptance, Answer, Corrupt, Fault, Fetch, Input, MAX_VALUE_BYTES, Object, Progress, Step,
};
use jaystand_kernel::{
    Kernel,
    plugin::{Running, Stage, StartResult},
    register,
};
use jaystand_platform::{Backoff, Client, Error, Revision};
use jaystand_sheet::Document;
use jaystand_types::Version;
use miette::IntoDiagnostic as _;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

use crate::{
    config::{Offered, Store},
    peer::Peers,
    platform,
};

register!("watch", Stage::State, start);

/// Time over which daemons that start together spread their first reads. Three reads by each of 360 daemons then stay
/// below the 2,000 reads/s that the platform can serve.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Backoff before the first retry of a failed read or watch.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// How often a daemon that does not watch the platform checks whether it is elected.
const ELECTION_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the configuration on the platform and offers each document that it reads.
pub struct Watch<O, E> {
    client: Client,
    offer: O,
    elected: E,
    reads: IntCounterVec,
}

/// Why a configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum ReadError {
    /// The call to the platform failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Platform(#[from] Error),
    /// The stored object cannot be decoded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Corrupt(#[from] Corrupt),
}

impl<O: Fn(Document), E: Fn() -> bool> Watch<O, E> {
    /// Creates a watch that passes every document it reads to `offer`, which decides whether the document is newer.
    /// `elected` returns whether this daemon is one of those that watch the platform.
    ///
    /// # Errors
    /// Fails when `metrics` already has this plug-in's counters.
    pub fn new(
        client: Client,
        offer: O,
        elected: E,
        metrics: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let options = Opts::new(
            "jaystand_config_reads_total",
            "Reads of the configuration from the platform by result.",
        );
        let reads = IntCounterVec::new(options, &["result"])?;
        metrics.register(Box::new(reads.clone()))?;
        Ok(Self {
            client,
            offer,
            elected,
            reads,
        })
    }

    /// Follows the configuration until dropped.
    pub async fn run(self) {
        tokio::time::sleep(START_SPREAD.mul_f64(rand::random_range(0.0..1.0))).await;
        let mut backoff = Backoff::new(FIRST_BACKOFF);
        loop {
            if let Err(error) = self.follow(&mut backoff).await {
                log::warn!("the configuration cannot be followed, trying again: {error}");
                tokio::time::sleep(backoff.delay(error.retry_after())).await;
                continue;
            }
            while !(self.elected)() {
                tokio::time::sleep(ELECTION_INTERVAL).await;
            }
        }
    }

    /// Reads the configuration, then watches it while this daemon is elected.
    async fn follow(&self, backoff: &mut Backoff) -> Result<(), Error> {
        // The revision is fetched before the read, so that no change between read and watch is missed.
        let mut revision: Revision = self.client.list(Object::Current.kind()).await?.revision;
        self.refresh().await?;
        while (self.elected)() {
            let changes = self.client.watch(Object::Current.kind(), revision).await?;
            backoff.reset();
            let current = Object::Current.name();
            if changes.events.iter().any(|change| current == change.name) {
                self.refresh().await?;
            }
            revision = changes.revision;
        }
        Ok(())
    }

    /// Reads the configuration and offers it. An object that cannot be decoded is logged and counted, and the
    /// configuration in force stays.
    async fn refresh(&self) -> Result<(), Error> {
        let result = match read(&self.client, Object::Current).await {
            Ok(Some(document)) => {
                (self.offer)(document);
                "offered"
            }
            Ok(None) => "absent",
            Err(ReadError::Corrupt(corrupt)) => {
                log::error!("config/current is ignored: {corrupt}");
                "corrupt"
            }
            Err(ReadError::Platform(error)) => {
                self.reads.with_label_values(&["failed"]).inc();
                return Err(error);
            }
        };
        self.reads.with_label_values(&[result]).inc();
        Ok(())
    }
}

/// Reads a configuration with its parts. Returns `None` if the object does not exist.
///
/// # Errors
/// Fails if the platform does not answer or the object cannot be decoded.
pub async fn read(client: &Client, object: Object) -> Result<Option<Document>, ReadError> {
    let (mut fetch, mut progress) = Fetch::new(object);
    loop {
        progress = match progress {
            Progress::Read(object) => {
                let found = client.get(object.kind(), &object.name()).await?;
                fetch.handle_read(Ok(found.map(|object| (object.version, object.value))))
            }
            Progress::Done(found) => return Ok(found.map(|found| found.document)),
            Progress::Corrupt(corrupt) => return Err(corrupt.into()),
            // Unreachable here, because a failed read returns above.
            Progress::Unreachable => return Err(Error::Lost.into()),
        };
    }
}

/// Puts a document in force if its parent is in force. The caller has checked the whole document.
pub async fn accept(client: &Client, document: &Document) -> Answer {
    let mut accept = Acceptance::new(document, MAX_VALUE_BYTES);
    let mut input = Input::Start;
    loop {
        input = match accept.handle(input) {
            Step::Read(object) => {
                let found = client.get(object.kind(), &object.name()).await;
                let found = found.map(|found| found.map(|object| (object.version, object.value)));
                Input::Read(found.map_err(|_| Fault::Unavailable))
            }
            Step::Write {
                object,
                expected,
                value,
            } => {
                let written = client
                    .put(object.kind(), &object.name(), expected.into(), value)
                    .await;
                Input::Wrote(write_result(written))
            }
            Step::Done(answer) => return answer,
        };
    }
}

fn write_result(written: Result<Version, Error>) -> Result<Version, Fault> {
    written.map_err(|error| match error {
        Error::Conflict => Fault::Conflict,
        Error::Lost => Fault::Lost,
        // All other errors mean that the write did not take effect.
        _ => Fault::Unavailable,
    })
}

async fn start(kernel: Kernel) -> StartResult {
    let Some(client) = platform::client(&kernel)? else {
        return Ok(Running::detached());
    };
    let peers = kernel.require::<Peers>()?;
    let elected = move || peers.is_watcher();
    let store = kernel.require::<Store>()?;
    let forks = IntCounter::new(
        "jaystand_config_forks_total",
        "Documents with the version of the one in force and other content.",
    );
    let forks = forks.into_diagnostic()?;
    kernel
        .metrics()
        .register(Box::new(forks.clone()))
        .into_diagnostic()?;
    let offer = move |document| offer(&store, &forks, document);
    let watch = Watch::new(client.as_ref().clone(), offer, elected, kernel.metrics());
    let task = tokio::spawn(watch.into_diagnostic()?.run());
    Ok(Running::with_shutdown(async move { task.abort() }))
}

/// Offers a document to the store, and reports one that has the version of the configuration in force but differs.
fn offer(store: &Store, forks: &IntCounter, document: Document) {
    let forked = store.current().is_some_and(|active| {
        active.document.version == document.version && active.document != document
    });
    if forked {
        forks.inc();
        let version = document.version;
        log::error!("the platform's configuration {version} differs from the one in force");
    }
    if let Offered::Rejected(faults) = store.offer(document) {
        log::error!("config/current is ignored, because it has faults: {faults}");
    }
}
