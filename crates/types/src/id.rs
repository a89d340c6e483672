//! Identifier aliases, so that signatures say which identifier they take.

use std::time::Duration;

use compact_str::CompactString;

/// Name of a team, which owns requests and API keys.
pub type TeamId = CompactString;
/// Name of a request kind, as written in the routing sheet.
pub type KindName = CompactString;
/// Name of a backend server, as written in the directory.
pub type ServerName = CompactString;
/// Name of a host that runs the daemon.
pub type HostName = CompactString;
/// Name of a data centre.
pub type DataCentre = CompactString;
/// Name of a model.
pub type Model = CompactString;
/// Dense index of a backend server in one configuration's directory.
pub type ServerId = u32;
/// Identifier of a request, rendered as 16 hexadecimal digits.
pub type RequestId = u64;
/// Version of an object or of the configuration; greater is newer.
pub type Version = u64;
/// Random identity of one run of a process. Two runs of a process differ.
pub type Incarnation = u64;
/// Time since the start of the process, from a monotonic clock.
pub type Moment = Duration;

const REQUEST_ID_DIGITS: usize = 16;

/// Renders a request id the way headers and logs carry it.
#[must_use]
pub fn render_request_id(id: RequestId) -> CompactString {
    compact_str::format_compact!("{id:016x}")
}

/// Parses the rendered form; `None` unless the text is exactly 16 hexadecimal digits.
#[must_use]
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let well_formed =
        text.len() == REQUEST_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    well_formed.then(|| RequestId::from_str_radix(text, 16).ok())?
}
