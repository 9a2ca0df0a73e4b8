//! Client of the operators' API: one control process after another is called until one of them gives an answer that
//! counts. It blocks, as a command has nothing else to do.

mod exchange;

use super::output::sanitized;
use crate::request::path;
use exchange::{call, HttpResponse, TransportError};
use snafu::Snafu;
use std::net::SocketAddr;

/// How often a redirect is followed.
const MAX_REDIRECTS: usize = 2;

/// Why a call came to nothing.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    /// The system received the call and rejected it; another attempt would end the same.
    #[snafu(display("refused by {address}: {status} {reason}"))]
    Rejected { address: SocketAddr, status: u16, reason: String },
    /// No control process could be reached, or none that was could do it now; the same call may be made again.
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
    NotNow { status: u16, reason: String },
}

/// What a response means for the call. [`outcome`] alone decides it.
enum Outcome {
    Done,
    /// The call is to be made at the response's location.
    Redirected,
    /// Another control process may do it.
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

/// Whether an evacuation starts or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evacuation {
    Start,
    End,
}

/// The newest configuration, as JSON.
pub(super) fn get_configuration(addresses: &[SocketAddr]) -> Result<Vec<u8>, Error> {
    call_any(addresses, "GET", path::GET_CONFIGURATION, b"")
}

/// Sends a change of the configuration.
pub(super) fn patch_configuration(addresses: &[SocketAddr], request: &[u8]) -> Result<Vec<u8>, Error> {
    call_any(addresses, "POST", path::PATCH_CONFIGURATION, request)
}

/// The view of the membership, as JSON.
pub(super) fn get_members(addresses: &[SocketAddr]) -> Result<Vec<u8>, Error> {
    call_any(addresses, "GET", path::MEMBERS, b"")
}

/// Starts or ends the evacuation of a zone, whose name must be fit for a path.
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

/// Makes a call at the first of these control processes that has an answer to it, and gives the response's body. All of
/// the API's calls are idempotent, so one whose response got lost is simply made at the next.
///
/// # Errors
///
/// [`Error::Rejected`] where one rejected it, [`Error::Unavailable`] where none could do it.
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

/// The final response to a call that starts at one control process, and the address that gave it.
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
                return NotNowSnafu { status, reason: reason(&response) }.fail();
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

/// Where a `Location` leads: `http://ADDRESS:PORT/path`, or a path at the same address.
fn redirect_target(address: SocketAddr, location: &str) -> Option<(SocketAddr, String)> {
    let is_safe = |path: &str| path.bytes().all(|byte| byte.is_ascii_graphic());
    if location.starts_with('/') && !location.starts_with("//") {
        return is_safe(location).then(|| (address, location.to_owned()));
    }
    let rest = location.strip_prefix("http://")?;
    let (host, path) = rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash));
    Some((host.parse().ok()?, is_safe(path).then(|| path.to_owned())?))
}

/// What a control process said to a call that it did not do.
fn reason(response: &HttpResponse) -> String {
    sanitized(&response.body)
}
