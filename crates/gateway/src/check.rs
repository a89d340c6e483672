//! Checks that an answer comes from the server that was asked and belongs to the request, before any of it is passed on.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use jaystand_adapter::response::{self, Identity};
use jaystand_dispatch::{ServerKey, health::Outcome};
use tokio::time::timeout;

use crate::{call::Call, meter::MeteredBody, pool::Pooled};

/// Largest body of a refusal that is read to its end so that the connection can be reused.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Timeout for reading the body of a refusal. The body arrives together with its head.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// What to do with an answer whose head was read.
pub(crate) enum Verdict {
    /// Pass it to the caller.
    Forward,
    /// Discard it and close its connection.
    Discard,
    /// Read it to its end, then try another server.
    Drain,
}

impl Call {
    /// Checks that an answer comes from the server and belongs to this request, and records the outcome if not.
    pub(crate) fn check_answer(
        &mut self,
        server: ServerKey,
        head: &response::Head,
        reused: bool,
    ) -> Verdict {
        if !response::is_final(head.status) {
            self.record_failure(server, Outcome::Broken);
            self.hub.pool.close_idle(server);
            log::warn!(request = self.id.as_str(), server = self.server_name.as_str(),
                status = head.status.as_u16(); "the answer has an invalid status; connection closed");
            return Verdict::Discard;
        }
        if head.identity == Identity::Other {
            self.record_failure(server, Outcome::Broken);
            self.hub.pool.close_idle(server);
            log::warn!(request = self.id.as_str(), server = self.server_name.as_str();
                "the answer belongs to another request; connection closed");
            return Verdict::Discard;
        }
        if head.not_run && head.identity == Identity::Missing && reused {
            // It may be a late copy of a refusal of an earlier request, while the server runs this one.
            self.record_failure(server, Outcome::Broken);
            self.hub.pool.close_idle(server);
            log::warn!(request = self.id.as_str(), server = self.server_name.as_str();
                "a refusal without an identity on a reused connection proves nothing; connection closed");
            return Verdict::Discard;
        }
        if head.not_run {
            self.possible_runs -= 1;
            let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
            let other = head.server.as_ref().filter(|s| **s != self.server_name);
            if let Some(other) = other.filter(|_| misdirected) {
                self.hub.mark_replaced(server, other);
            }
            // A 421 of the intended server means that its weights have changed. Any other 421 means that the server is
            // no longer at its address.
            let outcome = if misdirected && head.server.as_ref() != Some(&self.server_name) {
                Outcome::Unreachable
            } else {
                Outcome::Busy
            };
            self.record_failure(server, outcome);
            log::info!(request = self.id.as_str(), server = self.server_name.as_str(),
                status = head.status.as_u16(), answered_by = head.server.as_deref().unwrap_or_default();
                "the server refused the request");
            return Verdict::Drain;
        }
        if head.transfer_coded {
            self.record_failure(server, Outcome::Broken);
            log::warn!(request = self.id.as_str(), server = self.server_name.as_str();
                "the answer has an unknown transfer coding; connection closed");
            return Verdict::Discard;
        }
        let genuine = head.sealed && head.identity == Identity::Matching && !head.encoded;
        if head.status.is_success() && !genuine {
            self.record_failure(server, Outcome::Broken);
            log::warn!(request = self.id.as_str(), server = self.server_name.as_str(),
                sealed = head.sealed, encoded = head.encoded;
                "the answer lacks a signature or the request id, or its body is encoded; connection closed");
            return Verdict::Discard;
        }
        self.tried.push(server);
        Verdict::Forward
    }

    /// Reads a refusal to its end in a task, so that the connection can be reused.
    pub(crate) fn drain(&self, pooled: Pooled, head: &response::Head, body: MeteredBody) {
        if head.closes {
            return;
        }
        let (hub, idle) = (Rc::clone(&self.hub), head.idle_timeout);
        tokio::task::spawn_local(async move {
            // If the body is larger or slower, the connection is closed instead.
            let read = hub.buffers.collect(body, MAX_REFUSAL_BYTES, None);
            if matches!(timeout(REFUSAL_TIMEOUT, read).await, Ok(Ok(_))) {
                hub.return_connection(pooled, idle).await;
            }
        });
    }
}
