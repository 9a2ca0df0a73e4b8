//! Hosts as they are compared: in lower case and without a port.

use smallvec::SmallVec;

/// A host in lower case and without a port; most need no allocation.
pub type NormalizedHost = SmallVec<[u8; 64]>;

/// The key of a route's host, or of the host that a request names.
pub fn normalize_host(host: &[u8]) -> NormalizedHost {
    let colon = host.iter().rposition(|byte| *byte == b':');
    // In "[::1]" the last colon begins no port.
    let port_start = colon.filter(|at| host[at + 1..].iter().all(u8::is_ascii_digit));
    host[..port_start.unwrap_or(host.len())].iter().map(u8::to_ascii_lowercase).collect()
}
