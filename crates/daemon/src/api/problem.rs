//! Errors of the admin API. Each message names the cause and a remedy.

use std::fmt::Display;

use hyper::{Method, StatusCode, header::HeaderValue};
use jaystand_control::config::Refusal;
use jaystand_kernel::MissingService;
use jaystand_sheet::{ChangeReport, Document, FaultReport, Faults};
use miette::Diagnostic;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::{admin::Answer, watch::ReadError};

/// An error response.
#[derive(Debug)]
pub(super) struct Problem {
    status: StatusCode,
    code: &'static str,
    message: String,
    param: Option<&'static str>,
    /// Methods that the path accepts.
    allow: Option<&'static str>,
    /// Fields beside `error`.
    extra_fields: Map<String, Value>,
}

impl Problem {
    pub(super) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            param: None,
            allow: None,
            extra_fields: Map::new(),
        }
    }

    /// Adds a field beside `error`.
    fn with_field(mut self, name: &str, value: impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.extra_fields.insert(name.to_owned(), value);
        self
    }

    /// Sets the name of the call's parameter that is at fault.
    pub(super) fn param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    pub(super) fn answer(self) -> Answer {
        let class = if self.status.is_server_error() {
            "server_error"
        } else {
            "invalid_request_error"
        };
        let mut body = self.extra_fields;
        let error = json!({
            "message": self.message,
            "type": class,
            "code": self.code,
            "param": self.param,
        });
        body.insert("error".to_owned(), error);
        let mut answer = super::reply(self.status, &body);
        if let Some(methods) = self.allow {
            super::insert_allow(&mut answer, methods);
        }
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let one_second = HeaderValue::from_static("1");
            answer.headers_mut().insert("retry-after", one_second);
        }
        answer
    }

    pub(super) fn no_admin_key() -> Self {
        let message = "the admin API is off, because this daemon has no admin key; set `[admin] key` in its \
                       settings and restart it";
        Self::new(StatusCode::FORBIDDEN, "no_admin_key", message)
    }

    pub(super) fn wrong_key() -> Self {
        let message = "the admin key is missing or wrong; send `Authorization: Bearer <admin key>`";
        Self::new(StatusCode::UNAUTHORIZED, "invalid_admin_key", message).param("authorization")
    }

    pub(super) fn unknown_path(path: &str) -> Self {
        let message = format!("there is nothing at {path}; see the admin API in the user guide");
        Self::new(StatusCode::NOT_FOUND, "unknown_path", message)
    }

    pub(super) fn wrong_method(path: &str, method: &Method, allowed: &'static str) -> Self {
        let message = format!("{path} takes {allowed}, not {method}");
        let status = StatusCode::METHOD_NOT_ALLOWED;
        Self {
            allow: Some(allowed),
            ..Self::new(status, "method_not_allowed", message)
        }
    }

    pub(super) fn too_large(limit: usize) -> Self {
        let message = format!("the body exceeds {limit} bytes; send a smaller sheet or directory");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    }

    pub(super) fn incomplete(reason: &str) -> Self {
        let message = format!("the body is incomplete ({reason}); send the request again");
        Self::new(StatusCode::BAD_REQUEST, "body_incomplete", message)
    }

    pub(super) fn bad_body(error: &serde_json::Error) -> Self {
        let message = format!("the body is not valid: {error}; correct it at that place");
        Self::new(StatusCode::BAD_REQUEST, "invalid_body", message)
    }

    pub(super) fn bad_level(level: &str) -> Self {
        let message =
            format!("`{level}` is not a level; use off, error, warn, info, debug or trace");
        Self::new(StatusCode::BAD_REQUEST, "invalid_level", message).param("level")
    }

    pub(super) fn bad_request_id(id: &str) -> Self {
        let message = format!("`{id}` is not a request id; use the 16 hex digits of x-request-id");
        Self::new(StatusCode::BAD_REQUEST, "invalid_request_id", message).param("id")
    }

    pub(super) fn unknown_request(id: &str) -> Self {
        let message = format!(
            "request {id} is not known here; ask the host that answered it, which remembers recent requests only"
        );
        Self::new(StatusCode::NOT_FOUND, "request_not_found", message).param("id")
    }

    pub(super) fn unknown_server(name: &str) -> Self {
        let message = format!("there is no backend server `{name}`; GET /v1/servers lists them");
        Self::new(StatusCode::NOT_FOUND, "unknown_server", message).param("name")
    }

    pub(super) fn no_configuration() -> Self {
        let message =
            "no configuration is in force yet; apply a first sheet, or wait for the platform";
        Self::new(StatusCode::NOT_FOUND, "no_configuration", message)
    }

    pub(super) fn no_platform() -> Self {
        let message = "this daemon has no platform to keep configurations; set `[platform] address`, or call a \
                       host that has one";
        Self::new(StatusCode::NOT_IMPLEMENTED, "no_platform", message)
    }

    pub(super) fn if_match_missing() -> Self {
        let message = "name the version that this configuration replaces: `If-Match: \"<version>\"`, or \"0\" for \
                       the first one; GET /v1/config shows it";
        let status = StatusCode::PRECONDITION_REQUIRED;
        Self::new(status, "if_match_missing", message).param("if-match")
    }

    pub(super) fn if_match_invalid() -> Self {
        let message = "If-Match is not a version; write it as `If-Match: \"<version>\"`";
        Self::new(StatusCode::BAD_REQUEST, "if_match_invalid", message).param("if-match")
    }

    pub(super) fn unknown_version(version: &str) -> Self {
        let message = format!(
            "there is no configuration {version} in the history; GET /v1/config/history lists them"
        );
        Self::new(StatusCode::NOT_FOUND, "unknown_version", message).param("version")
    }

    pub(super) fn faults(faults: &Faults) -> Self {
        let message = format!("{faults}; correct every fault listed and send it again");
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        Self::new(status, "faults", message).with_field("faults", FaultReport::from_faults(faults))
    }

    /// Returns the error for a change whose parent another operator has replaced. `theirs` are the changes of that
    /// operator, `yours` those of this call.
    pub(super) fn conflict(
        parent: u64,
        in_force: Option<&Document>,
        theirs: &[ChangeReport],
        yours: &[ChangeReport],
    ) -> Self {
        let version = in_force.map_or(0, |document| document.version);
        let message = format!(
            "version {version} is in force, not {parent}: another operator was first; repeat the change on top of \
             version {version}"
        );
        Self::new(StatusCode::CONFLICT, "conflict", message)
            .with_field("version", version)
            .with_field("author", in_force.map(|document| &document.author))
            .with_field("theirs", theirs)
            .with_field("yours", yours)
    }

    pub(super) fn outcome_unknown() -> Self {
        let message = "the platform's answer was lost, so the configuration may be in force or may yet be; read GET \
                       /v1/config before repeating the change";
        Self::new(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message)
    }
}

/// Returns the message of an error, followed by its remedy.
fn with_help(error: &(impl Diagnostic + Display)) -> String {
    match error.help() {
        Some(help) => format!("{error}; {help}"),
        None => error.to_string(),
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, code) = match refusal {
            Refusal::Unreachable => (StatusCode::SERVICE_UNAVAILABLE, "platform_unreachable"),
            Refusal::Version { .. } => (StatusCode::CONFLICT, "version_not_above_parent"),
            Refusal::Corrupt(_) => (StatusCode::BAD_GATEWAY, "configuration_corrupt"),
        };
        Self::new(status, code, with_help(&refusal))
    }
}

impl From<ReadError> for Problem {
    fn from(error: ReadError) -> Self {
        match &error {
            ReadError::Platform(error) => (*error).into(),
            ReadError::Corrupt(corrupt) => {
                let status = StatusCode::BAD_GATEWAY;
                Self::new(status, "configuration_corrupt", with_help(corrupt))
            }
        }
    }
}

impl From<jaystand_platform::Error> for Problem {
    fn from(error: jaystand_platform::Error) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self::new(status, "platform_unreachable", with_help(&error))
    }
}

impl From<MissingService> for Problem {
    fn from(missing: MissingService) -> Self {
        log::debug!("a call of the admin API came before the daemon had started: {missing}");
        let message = "the daemon is still starting; repeat the call in a second";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "starting", message)
    }
}

impl From<crate::reply::Problem> for Problem {
    fn from(problem: crate::reply::Problem) -> Self {
        Self {
            param: problem.param,
            ..Self::new(problem.status, problem.code, problem.message)
        }
    }
}
