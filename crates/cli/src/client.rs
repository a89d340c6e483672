//! HTTP client of a daemon's admin API.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, IF_MATCH},
};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use jaystand_sheet::{ChangeReport, Document, FaultReport};
use jaystand_types::{Secret, Version};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    arguments::Connection,
    error::{Class, Error},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than a daemon waits for the platform before it answers with an error.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Error code in the answer of a daemon that has no configuration yet.
const NO_CONFIGURATION: &str = "no_configuration";
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of one daemon's admin API.
pub(crate) struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: String,
    key: Secret,
}

/// Body of an error answer of the admin API.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    error: ErrorDetail,
    faults: Vec<FaultReport>,
    theirs: Vec<ChangeReport>,
    yours: Vec<ChangeReport>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorDetail {
    message: String,
    code: String,
}

impl Client {
    /// Creates a client that connects on its first call.
    pub(crate) fn new(connection: &Connection) -> Result<Self, Error> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            address: connection.address.clone(),
            key: read_key(connection)?,
        })
    }

    /// Returns the newest configuration, or `None` before the first one is applied.
    pub(crate) async fn config(&self) -> Result<Option<Document>, Error> {
        let (status, body) = self
            .send(Method::GET, "/v1/config", None, Bytes::new())
            .await?;
        let error_body: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        if error_body.error.code == NO_CONFIGURATION {
            return Ok(None);
        }
        decode(&check_status(status, &body)?).map(Some)
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Value, Error> {
        self.call(Method::GET, path, None, &Value::Null).await
    }

    pub(crate) async fn post(&self, path: &str, body: &impl Serialize) -> Result<Value, Error> {
        self.call(Method::POST, path, None, body).await
    }

    /// Sends a request with a JSON body. `parent`, the version to be replaced, goes into `If-Match`.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        parent: Option<Version>,
        body: &impl Serialize,
    ) -> Result<Value, Error> {
        let body = serde_json::to_vec(body).map_err(|error| {
            Error::usage(
                format!("the body cannot be written as JSON: {error}"),
                "report this as a bug of jaystand",
            )
        })?;
        let (status, body) = self.send(method, path, parent, body.into()).await?;
        decode(&check_status(status, &body)?)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        parent: Option<Version>,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key.expose()));
        if let Some(version) = parent {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        let request = request.body(Full::new(body)).map_err(|error| {
            Error::usage(
                format!("the call of {} cannot be written: {error}", self.address),
                "correct --address (HOST:PORT), the admin key or the name",
            )
        })?;
        let call = async {
            let answer = self.http.request(request).await.map_err(|error| {
                let cause = std::error::Error::source(&error).map(ToString::to_string);
                cause.unwrap_or_else(|| error.to_string())
            })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await;
            let body = body.map_err(|error| error.to_string())?;
            Ok::<_, String>((status, body.to_bytes()))
        };
        let result = tokio::time::timeout(CALL_TIMEOUT, call).await;
        let result = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        result.map_err(|cause| {
            Error::unreachable(
                format!("the daemon at {} cannot be reached: {cause}", self.address),
                "name the admin address of a running daemon with --address or JAYSTAND_ADDRESS",
            )
        })
    }
}

/// Returns the body of a successful answer, or the error that the answer describes.
fn check_status(status: StatusCode, body: &Bytes) -> Result<Bytes, Error> {
    if status.is_success() {
        return Ok(body.clone());
    }
    let error_body: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    let class = match status {
        StatusCode::CONFLICT => Class::Conflict,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => {
            Class::Unreachable
        }
        _ => Class::Refused,
    };
    let message = match error_body.error.message.as_str() {
        "" => format!("the answer was {status}; check that --address is an admin address"),
        message => message.to_owned(),
    };
    Err(Error::new(class, message)
        .with_faults(error_body.faults)
        .with_conflict(error_body.theirs, error_body.yours))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| {
        Error::refused(
            format!("the answer cannot be understood: {error}"),
            "check that --address is an admin address, and that daemon and tool are of one version",
        )
    })
}

/// Returns the admin key from the arguments or else from the key file.
fn read_key(connection: &Connection) -> Result<Secret, Error> {
    if let Some(key) = &connection.admin_key {
        return Ok(key.as_str().into());
    }
    let Some(path) = &connection.admin_key_file else {
        return Err(Error::usage(
            "there is no admin key",
            "set JAYSTAND_ADMIN_KEY or JAYSTAND_ADMIN_KEY_FILE, or use --admin-key-file",
        ));
    };
    let text = std::fs::read_to_string(path).map_err(|error| {
        Error::usage(
            format!("{}: cannot be read: {error}", path.display()),
            "name a readable file that holds the admin key",
        )
    })?;
    Ok(text.trim().into())
}
