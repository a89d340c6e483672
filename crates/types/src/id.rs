//! Aliases for identifiers, so that signatures state which identifier they take.

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
/// Index of a backend server in the directory of one configuration.
pub type ServerId = u32;
/// Identifier of a request, formatted as 16 hexadecimal digits.
pub type RequestId = u64;
/// Version of an object or of the configuration; greater is newer.
pub type Version = u64;
/// Era of the platform's store. It rises by one each time the store comes back from an older copy.
pub type Era = u64;
/// Random identity of one run of a process; it differs between runs.
pub type Incarnation = u64;
/// Time since the start of the process, from a monotonic clock.
pub type Moment = Duration;

const REQUEST_ID_DIGITS: usize = 16;

/// Formats a request id as headers and logs contain it: 16 lower-case hexadecimal digits.
#[must_use]
pub fn render_request_id(id: RequestId) -> CompactString {
    compact_str::format_compact!("{id:016x}")
}

/// Parses a formatted request id. Returns `None` unless the text has exactly 16 hexadecimal digits.
#[must_use]
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let well_formed =
        text.len() == REQUEST_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    well_formed.then(|| RequestId::from_str_radix(text, 16).ok())?
}
