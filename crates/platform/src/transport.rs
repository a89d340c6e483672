//! HTTP exchanges over a pool of connections that can be retired as a whole.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{ETAG, HeaderName, RETRY_AFTER},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use jaystand_types::Version;
use parking_lot::Mutex;

use crate::Error;

/// Idle connections are closed after this time, before a load balancer on the way is likely to drop them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

type Pool = Client<HttpConnector, Full<Bytes>>;

/// An answer with its whole body.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) version: Option<Version>,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) body: Bytes,
}

/// Sends requests to one address over a replaceable connection pool.
pub(crate) struct Transport {
    address: SocketAddr,
    connect_timeout: Duration,
    pool: Mutex<Generation>,
}

/// A connection pool with its number, which tells a call whether the pool that it used was already replaced.
#[derive(Clone)]
struct Generation {
    number: u64,
    pool: Pool,
}

impl Transport {
    pub(crate) fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            pool: Mutex::new(Generation {
                number: 0,
                pool: new_pool(connect_timeout),
            }),
        }
    }

    pub(crate) fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends `request` and reads the whole answer, of at most `max_answer_bytes` in its body. The time allowed is
    /// the connect timeout plus `answer_timeout`.
    ///
    /// The connector's own timeout ends a slow connect first, so running out of time here means that the request may
    /// have been sent. The pool is then retired, because connections opened along with a silent one are often silent,
    /// too.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        answer_timeout: Duration,
        max_answer_bytes: usize,
    ) -> Result<Answer, Error> {
        let Generation { number, pool } = self.pool.lock().clone();
        let exchange = exchange(&pool, request, max_answer_bytes);
        let Ok(result) =
            tokio::time::timeout(self.connect_timeout + answer_timeout, exchange).await
        else {
            self.retire(number);
            return Err(Error::Lost);
        };
        result
    }

    /// Replaces the pool unless another call has already done so.
    fn retire(&self, number: u64) {
        let mut current = self.pool.lock();
        if current.number == number {
            *current = Generation {
                number: number + 1,
                pool: new_pool(self.connect_timeout),
            };
        }
    }
}

fn new_pool(connect_timeout: Duration) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

async fn exchange(
    pool: &Pool,
    request: Request<Full<Bytes>>,
    max_answer_bytes: usize,
) -> Result<Answer, Error> {
    let response = pool.request(request).await.map_err(|error| {
        if error.is_connect() {
            Error::Unavailable { retry_after: None }
        } else {
            Error::Lost
        }
    })?;
    read_answer(response, max_answer_bytes).await
}

async fn read_answer(
    response: Response<Incoming>,
    max_answer_bytes: usize,
) -> Result<Answer, Error> {
    let status = response.status();
    let version = header(&response, &ETAG).and_then(parse_entity_tag);
    let retry_after = header(&response, &RETRY_AFTER)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_secs);
    let body = Limited::new(response.into_body(), max_answer_bytes)
        .collect()
        .await
        .map_err(|error| {
            if error.is::<LengthLimitError>() {
                Error::Malformed
            } else {
                Error::Lost
            }
        })?
        .to_bytes();
    Ok(Answer {
        status,
        version,
        retry_after,
        body,
    })
}

fn header<'a>(response: &'a Response<Incoming>, name: &HeaderName) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Parses an entity tag of the form `"<version>"`. Weak tags are refused, because they do not identify the exact bytes.
fn parse_entity_tag(text: &str) -> Option<Version> {
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits
        .bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| digits.parse().ok())?
}
