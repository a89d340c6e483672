//! Builds the message that an attempt sends, from the caller's request and the part of the answer already delivered.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use jaystand_policy::Salt;
use jaystand_wire::{
    chat,
    engine::{self, Position, RequestHead},
};

use super::{Driver, Job};
use crate::{exchange::Expected, hub::Dispatch};

impl Driver {
    /// Returns the position at which the attempt starts, resumes or continues the stream; `None` when it cannot.
    pub(super) fn stream_position(&self, dispatch: &Dispatch) -> Option<Position> {
        let next = self.assembly.next_offset();
        if next == 0 {
            return Some(Position::Start);
        }
        let source = self.source.backend.as_ref();
        let same_run = source.is_some_and(|source| Arc::ptr_eq(source, &dispatch.backend))
            && dispatch.backend.incarnation() == Some(self.source.incarnation);
        if dispatch.resume && same_run {
            return Some(Position::After(next - 1));
        }
        self.assembly.continuation()?;
        Some(Position::Continue(next))
    }

    /// Builds the message and the identity expected of its response. Returns `None` when the message cannot be built.
    pub(super) fn build_message(
        &self,
        dispatch: &Dispatch,
        position: Position,
    ) -> Option<(Request<Full<Bytes>>, Expected)> {
        let backend = &dispatch.backend;
        let request = self.handle.request;
        match &self.job {
            Job::Chat {
                team,
                model,
                original,
                body,
                headers,
            } => {
                let weights_version = backend.weights_version();
                let salt = Salt::new(team, model, "", &weights_version).render();
                let head = RequestHead {
                    request,
                    expect_incarnation: backend.incarnation(),
                    weights_version: &weights_version,
                    cache_salt: &salt,
                    priority: dispatch.priority,
                    deadline: self.time_left(),
                    position,
                };
                let body = match position {
                    Position::Continue(_) => {
                        let parsed = chat::Request::try_from(&original[..]).ok()?;
                        parsed.to_engine_body(self.assembly.continuation()).into()
                    }
                    _ => body.clone(),
                };
                let incarnation = match position {
                    Position::After(_) => Some(self.source.incarnation),
                    _ => None,
                };
                let mut message = Request::new(Full::new(body));
                *message.method_mut() = Method::POST;
                *message.uri_mut() = backend.uri(engine::CHAT_PATH);
                *message.headers_mut() = headers.clone();
                head.write_headers(message.headers_mut());
                let expected = Expected {
                    request,
                    incarnation,
                    weights_version,
                };
                Some((message, expected))
            }
            Job::Service {
                method,
                path,
                headers,
                body,
            } => {
                let mut message = Request::new(Full::new(body.clone()));
                *message.method_mut() = method.clone();
                *message.uri_mut() = backend.uri(path.path_and_query()?.as_str());
                *message.headers_mut() = headers.clone();
                let id = jaystand_types::render_request_id(request);
                let id = header::HeaderValue::from_str(&id).ok()?;
                let name = jaystand_wire::header::REQUEST_ID;
                message.headers_mut().insert(name, id);
                let expected = Expected {
                    request,
                    incarnation: None,
                    weights_version: "".into(),
                };
                Some((message, expected))
            }
        }
    }
}
