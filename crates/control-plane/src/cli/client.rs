//! Client of the operators' API. Control processes are called in turn until one gives a final response. Calls block,
//! because a command has nothing else to do.

mod exchange;

use super::output::sanitized;
use crate::request::path;
use exchange::{call, HttpResponse, TransportError};
use snafu::Snafu;
use std::net::SocketAddr;

/// Maximum number of redirects followed after calling a control process.
const MAX_REDIRECTS: usize = 2;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    /// A control process rejected the call; a retry would be rejected too.
    #[snafu(display("refused by {address}: {status} {reason}"))]
    Rejected { address: SocketAddr, status: u16, reason: String },
    /// No control process could be reached, or none could execute the call now. The call may be retried.
    #[snafu(display("nobody could do it; tried {}", attempts.join("; ")))]
    Unavailable { attempts: Vec<String> },
}

/// Why one attempt failed.
#[derive(Debug, Snafu)]
enum AttemptError {
    #[snafu(transparent)]
    Transport { source: TransportError },
    #[snafu(display("sent on more than {MAX_REDIRECTS} times"))]
    TooManyRedirects,
    #[snafu(display("sent on to what is no http address"))]
    InvalidLocation,
    #[snafu(display("{status} {reason}"))]
    ServerUnavailable { status: u16, reason: String },
}

/// What the status of a response means for the call, as decided by [`outcome`].
enum Outcome {
    Done,
    /// The call must be repeated at the response's `Location`.
    Redirected,
    /// Another control process may be able to execute the call.
    Unavailable,
    Rejected,
}

fn outcome(status: u16) -> Outcome {
    match status {
        200..=299 => Outcome::Done,
        307 => Outcome::Redirected,
        408 | 429 | 500..=599 => Outcome::Unavailable,
        _ => Outcome::Rejected,
    }
}

/// Whether to start or end an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evacuation {
    Start,
    End,
}

/// Returns the newest configuration as JSON.
pub(super) fn get_configuration(addresses: &[SocketAddr]) -> Result<Vec<u8>, Error> {
    call_any(addresses, "GET", path::GET_CONFIGURATION, b"")
}

/// Submits a configuration change.
pub(super) fn patch_configuration(addresses: &[SocketAddr], request: &[u8]) -> Result<Vec<u8>, Error> {
    call_any(addresses, "POST", path::PATCH_CONFIGURATION, request)
}

/// Returns the members as one control process sees them, as JSON.
pub(super) fn get_members(addresses: &[SocketAddr]) -> Result<Vec<u8>, Error> {
    call_any(addresses, "GET", path::MEMBERS, b"")
}

/// Starts or ends the evacuation of a zone. The zone's name must be valid in a URL path.
pub(super) fn evacuate(
    addresses: &[SocketAddr],
    evacuation: Evacuation,
    zone: &str,
) -> Result<Vec<u8>, Error> {
    let verb = match evacuation {
        Evacuation::Start => path::EVACUATE_START,
        Evacuation::End => path::EVACUATE_END,
    };
    call_any(addresses, "POST", &format!("{}{verb}/{zone}", path::EVACUATE_PREFIX), b"")
}

/// Calls the control processes in turn until one gives a final response, and returns the response's body. All calls of
/// the API are idempotent, so a call whose response was lost can be repeated at the next process.
///
/// # Errors
///
/// [`Error::Rejected`] if a control process rejected the call, [`Error::Unavailable`] if none could execute it.
fn call_any(addresses: &[SocketAddr], method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    let mut attempts = Vec::new();
    for address in addresses {
        match call_following_redirects(*address, method, path, body) {
            Ok((_, HttpResponse { status: 200..=299, body, .. })) => return Ok(body),
            Ok((address, response)) => {
                let reason = reason(&response);
                return RejectedSnafu { address, status: response.status, reason }.fail();
            }
            Err(error) => attempts.push(format!("{address}: {error}")),
        }
    }
    UnavailableSnafu { attempts }.fail()
}

/// Makes a call at `address` and follows redirects. Returns the final response and the address that sent it.
fn call_following_redirects(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<(SocketAddr, HttpResponse), AttemptError> {
    let (mut address, mut path) = (address, path.to_owned());
    for _ in 0..=MAX_REDIRECTS {
        let response = call(address, method, &path, body)?;
        match outcome(response.status) {
            Outcome::Done | Outcome::Rejected => return Ok((address, response)),
            Outcome::Unavailable => {
                let status = response.status;
                return ServerUnavailableSnafu { status, reason: reason(&response) }.fail();
            }
            Outcome::Redirected => {
                let location = response.location.as_deref();
                (address, path) = location
                    .and_then(|location| redirect_target(address, location))
                    .ok_or(AttemptError::InvalidLocation)?;
            }
        }
    }
    TooManyRedirectsSnafu.fail()
}

/// Resolves a `Location`, which is `http://ADDRESS:PORT/path` or a path at the same address.
fn redirect_target(address: SocketAddr, location: &str) -> Option<(SocketAddr, String)> {
    let is_visible_ascii = |path: &str| path.bytes().all(|byte| byte.is_ascii_graphic());
    if location.starts_with('/') && !location.starts_with("//") {
        return is_visible_ascii(location).then(|| (address, location.to_owned()));
    }
    let rest = location.strip_prefix("http://")?;
    let (host, path) = rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash));
    Some((host.parse().ok()?, is_visible_ascii(path).then(|| path.to_owned())?))
}

/// Returns the reason that a response gives for not executing the call.
fn reason(response: &HttpResponse) -> String {
    sanitized(&response.body)
}
