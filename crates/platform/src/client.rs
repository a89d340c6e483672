//! The calls of the object API.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{IF_MATCH, IF_NONE_MATCH},
};
use jaystand_types::Version;
use parking_lot::Mutex;
use prometheus::{IntCounterVec, Opts, Registry};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{
    Backoff, Changes, Error, Expected, Host, Listing, MAX_VALUE_BYTES, Object, Revision, Settings,
    bucket::Bucket,
    object::HostList,
    transport::{Answer, Transport},
};

/// Largest accepted answer to a list, a watch or a host list: room for several escaped values of the maximum size.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Longest accepted kind or object name, so that a faulty caller cannot send an unbounded request line.
const MAX_NAME_BYTES: usize = 200;

/// Share of the budget that the reads of a yielding client leave to other calls. In one run each, a share of a half
/// recorded 735 of 2,000 orders under an overload and a quarter 696; near the budget, a half refused 312 of 1,200 orders
/// and a quarter 249.
const YIELDED_SHARE: f64 = 0.25;

/// Client of the object API. Clones share the connections and the budget.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
    yields: bool,
}

struct Shared {
    settings: Settings,
    started: Instant,
    bucket: Mutex<Bucket>,
    calls: Transport,
    // Watches have their own connection pool, so that a silent watch does not retire the connections of other calls.
    watches: Transport,
    counts: IntCounterVec,
}

/// A request that can be sent repeatedly.
struct Call<'a> {
    name: &'static str,
    method: Method,
    path: &'a str,
    expected: Option<Expected>,
    body: Bytes,
}

impl Client {
    /// Returns a client that connects on its first call.
    ///
    /// # Errors
    /// [`Error::Malformed`] when `metrics` already has this client's counter.
    pub fn new(settings: Settings, metrics: &Registry) -> Result<Self, Error> {
        let options = Opts::new("jaystand_platform_calls_total", "Calls to the platform.");
        let counts = IntCounterVec::new(options, &["call", "result"])
            .and_then(|counts| metrics.register(Box::new(counts.clone())).map(|()| counts))
            .map_err(|error| {
                log::error!("platform metrics could not be registered: {error}");
                Error::Malformed
            })?;
        let transport = || Transport::new(settings.address, settings.connect_timeout);
        let shared = Shared {
            started: Instant::now(),
            bucket: Mutex::new(Bucket::new(settings.budget_per_s)),
            calls: transport(),
            watches: transport(),
            counts,
            settings,
        };
        Ok(Self {
            shared: Arc::new(shared),
            yields: false,
        })
    }

    /// Returns a clone whose reads leave a quarter of the budget to its writes and to the other calls of the process.
    /// It is for work that reads before it writes and may be refused: without a share for the writes, an overload would
    /// spend the whole budget on reads that no write can follow.
    #[must_use]
    pub fn yielding(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            yields: true,
        }
    }

    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    /// Fails with any class but `Conflict` and `TooLarge`, after the retries.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let path = object_path(kind, name)?;
        self.read("get", &path, MAX_VALUE_BYTES, |answer| {
            if answer.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            check_status(&answer)?;
            let version = answer.version.ok_or(Error::Malformed)?;
            let value = answer.body;
            Ok(Some(Object { version, value }))
        })
        .await
    }

    /// Writes an object if it is as `expected`, and returns its new version. Sends the request once.
    ///
    /// # Errors
    /// Fails with any class. After [`Error::Lost`] the write may have taken effect, or may still do so.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Expected,
        value: Bytes,
    ) -> Result<Version, Error> {
        let path = object_path(kind, name)?;
        if value.len() > MAX_VALUE_BYTES {
            return self.count("put", Err(Error::TooLarge));
        }
        let call = Call {
            name: "put",
            method: Method::PUT,
            path: &path,
            expected: Some(expected),
            body: value,
        };
        self.write(&call, |answer| {
            let version = answer.version.ok_or(Error::Lost)?;
            let newer = match expected {
                Expected::Absent => true,
                Expected::Version(old) => version > old,
            };
            newer.then_some(version).ok_or(Error::Lost)
        })
        .await
    }

    /// Deletes an object if it is at version `expected`. Sends the request once.
    ///
    /// # Errors
    /// Fails with any class; with `Conflict` also when the object does not exist.
    pub async fn delete(&self, kind: &str, name: &str, expected: Version) -> Result<(), Error> {
        let path = object_path(kind, name)?;
        let call = Call {
            name: "delete",
            method: Method::DELETE,
            path: &path,
            expected: Some(Expected::Version(expected)),
            body: Bytes::new(),
        };
        self.write(&call, |_| Ok(())).await
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    /// Fails with any class but `Conflict` and `TooLarge`, after the retries.
    pub async fn list(&self, kind: &str) -> Result<Listing, Error> {
        let path = kind_path(kind)?;
        self.read("list", &path, MAX_LIST_BYTES, |answer| parse_json(&answer))
            .await
    }

    /// Reads the platform's host list.
    ///
    /// # Errors
    /// Fails with any class but `Conflict` and `TooLarge`, after the retries.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.read("hosts", "/v1/hosts", MAX_LIST_BYTES, |answer| {
            parse_json::<HostList>(&answer).map(|list| list.hosts)
        })
        .await
    }

    /// Makes one long poll for changes of a kind after a revision; revision 0 asks for every object.
    ///
    /// A poll without an answer within the watch timeout and its margin is abandoned together with its connection, and
    /// sent again on a new one.
    ///
    /// # Errors
    /// Fails with any class but `Conflict` and `TooLarge`, after the retries.
    pub async fn watch(&self, kind: &str, after: Revision) -> Result<Changes, Error> {
        let seconds = self.shared.settings.watch_timeout.as_secs().max(1);
        let path = format!("{}?watch={after}&timeout_s={seconds}", kind_path(kind)?);
        self.read("watch", &path, MAX_LIST_BYTES, |answer| parse_json(&answer))
            .await
    }

    async fn read<T>(
        &self,
        name: &'static str,
        path: &str,
        max_answer_bytes: usize,
        parse: impl Fn(Answer) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let call = Call {
            name,
            method: Method::GET,
            path,
            expected: None,
            body: Bytes::new(),
        };
        let mut backoff = Backoff::new(self.shared.settings.first_backoff);
        let mut attempts_left = self.shared.settings.read_attempts.max(1);
        loop {
            attempts_left -= 1;
            let result = self.send(&call, max_answer_bytes).await.and_then(&parse);
            match self.count(name, result) {
                Err(error) if attempts_left > 0 && error.is_transient() => {
                    tokio::time::sleep(backoff.delay(error.retry_after())).await;
                }
                result => return result,
            }
        }
    }

    async fn write<T>(
        &self,
        call: &Call<'_>,
        parse: impl Fn(&Answer) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let result = self
            .send(call, MAX_VALUE_BYTES)
            .await
            .map_err(|error| match error {
                // An unreadable answer does not say whether the write took effect.
                Error::Malformed => Error::Lost,
                error => error,
            });
        let result = result.and_then(|answer| {
            if answer.status == StatusCode::NOT_FOUND {
                return Err(Error::Conflict);
            }
            check_status(&answer)?;
            parse(&answer)
        });
        self.count(call.name, result)
    }

    /// Sends a call once; fails with [`Error::Budget`] if the budget is used up.
    async fn send(&self, call: &Call<'_>, max_answer_bytes: usize) -> Result<Answer, Error> {
        let shared = &self.shared;
        let yields = self.yields && call.method == Method::GET;
        let share = if yields { YIELDED_SHARE } else { 0.0 };
        if !shared
            .bucket
            .lock()
            .try_take(shared.started.elapsed(), share)
        {
            return Err(Error::Budget);
        }
        let settings = &shared.settings;
        let (transport, answer_timeout) = if call.name == "watch" {
            (
                &shared.watches,
                settings.watch_timeout + settings.watch_margin,
            )
        } else {
            (&shared.calls, settings.call_timeout)
        };
        let mut request = Request::builder()
            .method(&call.method)
            .uri(transport.uri(call.path));
        request = match call.expected {
            Some(Expected::Absent) => request.header(IF_NONE_MATCH, "*"),
            Some(Expected::Version(version)) => request.header(IF_MATCH, format!("\"{version}\"")),
            None => request,
        };
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|_| Error::Malformed)?;
        transport
            .send(request, answer_timeout, max_answer_bytes)
            .await
    }

    fn count<T>(&self, call: &str, result: Result<T, Error>) -> Result<T, Error> {
        let label = result
            .as_ref()
            .map_or_else(|error| error.as_str(), |_| "ok");
        self.shared.counts.with_label_values(&[call, label]).inc();
        result
    }
}

/// Maps a status other than success to its error class. Statuses that do not prove that the request had no effect, such
/// as server errors other than 503, map to [`Error::Lost`].
fn check_status(answer: &Answer) -> Result<(), Error> {
    Err(match answer.status {
        status if status.is_success() => return Ok(()),
        StatusCode::PRECONDITION_FAILED => Error::Conflict,
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Error::Denied,
        StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Error::Unavailable {
            retry_after: answer.retry_after,
        },
        status if status.is_client_error() => Error::Malformed,
        _ => Error::Lost,
    })
}

fn parse_json<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    check_status(answer)?;
    serde_json::from_slice(&answer.body).map_err(|_| Error::Malformed)
}

fn kind_path(kind: &str) -> Result<String, Error> {
    Ok(format!("/v1/objects/{}", check_name(kind)?))
}

fn object_path(kind: &str, name: &str) -> Result<String, Error> {
    Ok(format!("{}/{}", kind_path(kind)?, check_name(name)?))
}

/// Refuses names that are empty, too long, made of dots only, or that would need escaping in a path. This system uses
/// no such names.
fn check_name(name: &str) -> Result<&str, Error> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let only_dots = name.bytes().all(|byte| byte == b'.');
    let valid = !only_dots && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_plain);
    valid.then_some(name).ok_or(Error::Malformed)
}
