//! Normalizes host names for comparison.

use smallvec::SmallVec;

/// A host name in lower case and without a port. Most fit inline, without an allocation.
pub type NormalizedHost = SmallVec<[u8; 64]>;

/// Converts a host name, from a route or from a request, to lower case and removes its port.
pub fn normalize_host(host: &[u8]) -> NormalizedHost {
    let colon = host.iter().rposition(|byte| *byte == b':');
    // The last colon in "[::1]" is part of the address and does not start a port.
    let port_start = colon.filter(|at| host[at + 1..].iter().all(u8::is_ascii_digit));
    host[..port_start.unwrap_or(host.len())].iter().map(u8::to_ascii_lowercase).collect()
}
