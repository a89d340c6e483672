//! Client of the platform's object store.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hashbrown::HashSet;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use jaystand_adapter::store::{self, Call, Changes, Next, Page, Verdict};
use jaystand_dispatch::{
    lease::{Record, Written},
    revision::Revision,
};
use jaystand_types::Era;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    buffer::Buffers,
    link::{self, Connection},
    metrics::Metrics,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// An answer usually takes 4 ms. A slow call must fail before a change of the configuration is due.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The connection breaks when the store does not acknowledge sent bytes for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the store holds a watch back for a change. A longer wait means fewer calls, each of which has a price.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(15);
/// A watch fails when its answer is overdue by this long.
const WATCH_MARGIN: Duration = Duration::from_millis(1_500);
/// Largest accepted answer. Lists have about 1 MB.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Largest number of pages of a list. A page has 500 objects, or fewer if they are large.
const MAX_PAGES: usize = 1_000;
/// Largest number of failed page calls in one list before the list starts anew.
const MAX_PAGE_FAILURES: u32 = 4;
/// Pause before a page is asked for again, multiplied by the number of failures.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The call was not carried out.
    #[error("the store refused the call or could not be reached")]
    Refused,
    /// The call may or may not have been carried out.
    #[error("no complete answer from the store")]
    Unknown,
    /// The store no longer has the history that a watch needs.
    #[error("the store no longer has the history that the watch needs")]
    HistoryGone,
    /// The store came back from an older copy, in another era than that of the revision or of the answer.
    #[error("the store has come back from an older copy")]
    OtherEra,
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(#[from] jaystand_adapter::Error),
}

/// The client. Each call uses an idle connection or opens one, so calls don't wait for the answer of a watch.
pub(crate) struct Store {
    address: SocketAddr,
    buffers: Buffers,
    idle: RefCell<Vec<Connection>>,
    /// The latest known era; 0 while the store has named none.
    era: watch::Sender<Era>,
}

/// The result of a list.
#[derive(Debug)]
pub(crate) struct Listed {
    /// Revision of the first page, from which changes are to be watched.
    pub(crate) revision: Revision,
    /// Whether all objects were read.
    pub(crate) complete: bool,
}

/// A complete answer of the store.
struct Answer {
    era: Era,
    status: StatusCode,
    body: Bytes,
}

impl Store {
    /// Creates a client that reads answers within these buffers.
    pub(crate) fn new(address: SocketAddr, buffers: Buffers) -> Self {
        Self {
            address,
            buffers,
            idle: RefCell::default(),
            era: watch::Sender::default(),
        }
    }

    /// Returns the latest known era.
    pub(crate) fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Records that the store is in an era, by an answer of its own or by the word of another host.
    pub(crate) fn learn_era(&self, era: Era, source: &str) {
        let former = self.era();
        if era > former {
            log::warn!(era, former, source; "the store names another era");
            self.era.send_replace(era);
        }
    }

    /// Waits until a later era than the given one is known.
    pub(crate) async fn wait_for_later_era(&self, known: Era) {
        let mut era = self.era.subscribe();
        if era.wait_for(|era| *era > known).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Asks the store for its era. Changes that a watch misses after the store came back are noticed no other way while
    /// no other call is made.
    pub(crate) async fn check_era(&self, metrics: &Metrics) -> Result<(), Error> {
        let call = Call::era();
        self.call_counted(metrics, "era", &call, CALL_TIMEOUT)
            .await
            .map(|_| ())
    }

    /// Lists the objects of a kind and passes on each page, so that a long list takes the memory of one page only.
    pub(crate) async fn list(
        &self,
        metrics: &Metrics,
        kind: &str,
        mut adopt: impl FnMut(&Page),
    ) -> Result<Listed, Error> {
        let mut page = self.page(metrics, kind, None).await?;
        let revision = page.revision;
        // The names after which pages were asked for.
        let mut asked = HashSet::new();
        let mut failures = 0;
        loop {
            adopt(&page);
            let after = match page.next {
                Next::End => {
                    let complete = true;
                    return Ok(Listed { revision, complete });
                }
                Next::After(name) if asked.len() < MAX_PAGES && asked.insert(name.clone()) => name,
                Next::After(_) | Next::Unknown => {
                    log::warn!(kind, pages = asked.len() + 1;
                        "the list does not advance; what follows is unknown");
                    let complete = false;
                    return Ok(Listed { revision, complete });
                }
            };
            page = self
                .page_after(metrics, kind, &after, &mut failures)
                .await?;
            if page.revision.era() != revision.era() {
                return Err(Error::OtherEra);
            }
        }
    }

    /// Reads the page after a name. Counts the failures of the whole list. After a failure, earlier pages are not asked for
    /// again, which would slow down a store that lacks bandwidth.
    async fn page_after(
        &self,
        metrics: &Metrics,
        kind: &str,
        after: &str,
        failures: &mut u32,
    ) -> Result<Page, Error> {
        loop {
            match self.page(metrics, kind, Some(after)).await {
                Err(error @ (Error::Refused | Error::Unknown)) if *failures < MAX_PAGE_FAILURES => {
                    *failures += 1;
                    log::info!(kind, failures = *failures; "a page of a list failed, asking for it again: {error}");
                    sleep(PAGE_RETRY_PAUSE * *failures).await;
                }
                result => return result,
            }
        }
    }

    /// Reads one page of the objects of a kind: the first one, or the one after a name.
    pub(crate) async fn page(
        &self,
        metrics: &Metrics,
        kind: &str,
        after: Option<&str>,
    ) -> Result<Page, Error> {
        let call = Call::list(kind, after);
        let answer = self
            .call_counted(metrics, "list", &call, CALL_TIMEOUT)
            .await?;
        check_status(answer.status)?;
        Ok(store::page(answer.era, &answer.body)?)
    }

    /// Waits for changes of a kind after a revision. Fails if the store came back from an older copy since the revision:
    /// the number may have been given out again, and the answer lacks the changes before it.
    pub(crate) async fn watch(
        &self,
        metrics: &Metrics,
        kind: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let call = Call::watch(kind, after, wait);
        let time_limit = wait + WATCH_MARGIN;
        let answer = tokio::select! {
            answer = self.call_counted(metrics, "watch", &call, time_limit) => answer?,
            () = self.wait_for_later_era(after.era()) => return Err(Error::OtherEra),
        };
        if answer.era != after.era() {
            return Err(Error::OtherEra);
        }
        check_status(answer.status)?;
        Ok(store::changes(answer.era, &answer.body)?)
    }

    /// Reads the lease on weight orders. Returns the era of the answer, and the lease if there is one.
    pub(crate) async fn read_lease(
        &self,
        metrics: &Metrics,
    ) -> Result<(Era, Option<(Revision, Record)>), Error> {
        let call = Call::read(store::LEASES_KIND, store::WEIGHTS_LEASE);
        let answer = self
            .call_counted(metrics, "read", &call, CALL_TIMEOUT)
            .await?;
        if Verdict::from(answer.status) == Verdict::Missing {
            return Ok((answer.era, None));
        }
        check_status(answer.status)?;
        let object = store::object(answer.era, &answer.body)?;
        let record = store::lease(&object.value)?;
        Ok((answer.era, Some((object.revision, record))))
    }

    /// Writes the lease on weight orders: replaces it if it still has the expected revision, or creates it if none is
    /// given.
    pub(crate) async fn write_lease(
        &self,
        metrics: &Metrics,
        record: &Record,
        expected: Option<Revision>,
    ) -> Written {
        let call = match expected {
            None => Call::create_lease(record),
            Some(revision) => Call::replace_lease(record, revision),
        };
        match self
            .call_counted(metrics, "write", &call, CALL_TIMEOUT)
            .await
        {
            Ok(answer) => match Verdict::from(answer.status) {
                Verdict::Done => match store::object(answer.era, &answer.body) {
                    Ok(object) => Written::Done(object.revision),
                    Err(error) => {
                        log::warn!("the store's answer to a write cannot be read: {error}");
                        Written::Unknown
                    }
                },
                Verdict::Conflict | Verdict::Missing => Written::Conflict,
                Verdict::Refused | Verdict::HistoryGone => Written::Refused,
                Verdict::Unknown => Written::Unknown,
            },
            Err(Error::Refused) => Written::Refused,
            Err(error) => {
                log::warn!("a write of the lease was not answered: {error}");
                Written::Unknown
            }
        }
    }

    /// Makes a call and counts it by its result.
    async fn call_counted(
        &self,
        metrics: &Metrics,
        name: &str,
        call: &Call,
        time_limit: Duration,
    ) -> Result<Answer, Error> {
        let result = self.call(call, time_limit).await;
        let label = match &result {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(Error::Refused) => "not_sent".to_owned(),
            Err(_) => "unknown".to_owned(),
        };
        metrics.store_calls.with_label_values(&[name, &label]).inc();
        result
    }

    /// Sends a call once and reads the whole answer. An answer of an earlier era than the latest known one is discarded:
    /// what it shows or acknowledges is lost.
    async fn call(&self, call: &Call, time_limit: Duration) -> Result<Answer, Error> {
        let mut connection = self.open().await?;
        let exchange = async {
            let answer = connection
                .exchange(self.build_request(call)?, &self.buffers, MAX_ANSWER_BYTES)
                .await;
            let answer = answer.map_err(|fault| match fault {
                link::Error::NotSent => Error::Refused,
                link::Error::Broken(_) | link::Error::Timeout => Error::Unknown,
            })?;
            let era = self.observe_era(call, answer.headers());
            let status = answer.status();
            let body = answer.into_body().ok_or(Error::Unknown)?;
            Ok(Answer { era, status, body })
        };
        let result = timeout(time_limit, exchange).await;
        match result {
            Ok(Ok(answer)) => {
                if connection.wait_reusable().await {
                    self.idle.borrow_mut().push(connection);
                }
                if answer.era < self.era() {
                    log::info!(call = call.path.as_str(), era = answer.era, known = self.era();
                        "the store's answer is of an earlier era and is discarded");
                    return Err(Error::OtherEra);
                }
                Ok(answer)
            }
            Ok(Err(error)) => {
                self.idle.borrow_mut().clear();
                Err(error)
            }
            Err(_) => {
                // When one connection is silent, the other open ones often are, too.
                self.idle.borrow_mut().clear();
                Err(Error::Unknown)
            }
        }
    }

    /// Returns the era of an answer. One that names none counts as of the latest known era.
    fn observe_era(&self, call: &Call, headers: &HeaderMap) -> Era {
        match store::era(headers) {
            Ok(Some(era)) => {
                self.learn_era(era, "store");
                era
            }
            Ok(None) => self.era(),
            Err(error) => {
                log::warn!(call = call.path.as_str(); "the store's era cannot be read: {error}");
                self.era()
            }
        }
    }

    async fn open(&self) -> Result<Connection, Error> {
        while let Some(connection) = self.pop_idle() {
            if connection.is_ready() {
                return Ok(connection);
            }
        }
        let opened = Connection::open(self.address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await;
        opened.map_err(|error| {
            log::debug!("cannot connect to the store: {error}");
            Error::Refused
        })
    }

    fn pop_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }

    fn build_request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Error> {
        let host = HeaderValue::try_from(self.address.to_string());
        let mut request = Request::builder()
            .method(&call.method)
            .uri(&call.path)
            .body(Full::new(call.body.clone()))
            .map_err(|error| {
                log::error!("cannot build a call to the store: {error}");
                Error::Refused
            })?;
        let headers = request.headers_mut();
        if let Ok(host) = host {
            headers.insert(header::HOST, host);
        }
        if !call.body.is_empty() {
            let json = HeaderValue::from_static("application/json");
            headers.insert(header::CONTENT_TYPE, json);
        }
        Ok(request)
    }
}

fn check_status(status: StatusCode) -> Result<(), Error> {
    match Verdict::from(status) {
        Verdict::Done => Ok(()),
        Verdict::HistoryGone => Err(Error::HistoryGone),
        Verdict::Unknown => Err(Error::Unknown),
        Verdict::Missing | Verdict::Conflict | Verdict::Refused => Err(Error::Refused),
    }
}
