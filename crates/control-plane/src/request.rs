//! Requests to a control process: decoded from HTTP here, and executed by the state machine.

use kitepass_config::{ConfigurationSnapshot, Item};
use kitepass_coordination::consensus::Proposal;
use kitepass_coordination::membership::ReplicaSet;

/// The reason given to a client, with or without a redirect, by a process without quorum contact. Such a process cannot
/// know the current state.
pub(crate) const NO_QUORUM_REASON: &str = "out of contact with the core";

/// The reason given to a client whose change is not proposed, because the client has disconnected or has probably turned
/// to another process.
pub(crate) const ABANDONED_REASON: &str = "the caller has left, or waited too long";

/// Paths of the operators' API and the directory API. Clients rely on them.
pub(crate) mod path {
    /// The directory API: which gateways a client should use.
    pub(crate) const ROUTE_LOOKUP: &str = "/v1/route-lookup";
    pub(crate) const GET_CONFIGURATION: &str = "/v1/Timetable.Get";
    pub(crate) const PATCH_CONFIGURATION: &str = "/v1/Timetable.Patch";
    pub(crate) const MEMBERS: &str = "/v1/members";
    /// Prefix of `VERB/ZONE`, with one of the two verbs below.
    pub(crate) const EVACUATE_PREFIX: &str = "/v1/Evacuate.";
    pub(crate) const EVACUATE_START: &str = "Start";
    pub(crate) const EVACUATE_END: &str = "End";
}

/// A request that the state machine executes, from an operator or from the control plane itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Reads the complete newest configuration.
    Get,
    /// Changes the configuration: applies all of these items or none.
    Patch(Vec<Item>),
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// The zone's name.
        zone: String,
        /// True if the zone's backends should receive no more requests, false if they should be used again.
        evacuated: bool,
    },
    /// Completes a proposal that at least one replica has accepted.
    ResolveProposal(Proposal),
    /// Reads the state held by a majority, as a new coordinator does before it acts.
    ReadMajority,
    /// First step of a membership change: proposes the incoming replica set.
    ProposeReplicaSet(ReplicaSet),
    /// Second step: reads everything committed before from a majority, so that the incoming replica set holds it.
    PrepareActivation(ReplicaSet),
    /// Third step: makes the incoming replica set the current one.
    ActivateReplicaSet(ReplicaSet),
}

impl Request {
    /// Returns the size in bytes of the items that the request itself contains.
    pub fn item_bytes(&self) -> usize {
        match self {
            Request::Patch(items) => items.iter().map(Item::max_wire_bytes).sum(),
            Request::ResolveProposal(proposal) => proposal.bytes(),
            _ => 0,
        }
    }

    /// Returns whether the request is an operator's and has a lasting effect.
    pub fn is_change(&self) -> bool {
        matches!(self, Request::Patch(_) | Request::Evacuate { .. })
    }

    /// Returns the request's name for log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Request::Get => "get",
            Request::Patch(_) => "patch",
            Request::Evacuate { evacuated: true, .. } => "evacuate-start",
            Request::Evacuate { evacuated: false, .. } => "evacuate-end",
            Request::ResolveProposal(_) => "resolve-proposal",
            Request::ReadMajority => "read-majority",
            Request::ProposeReplicaSet(_) => "propose-replica-set",
            Request::PrepareActivation(_) => "prepare-activation",
            Request::ActivateReplicaSet(_) => "activate-replica-set",
        }
    }
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The request succeeded and returns no data.
    Done,
    /// The requested configuration.
    Configuration(ConfigurationSnapshot),
    /// The whole request was rejected as invalid, for this reason.
    Invalid(String),
    /// A version of one of the items already exists with different content, so no part of the request ever takes
    /// effect.
    Conflict(String),
    /// The control process at this address reports quorum contact and may be able to execute the request.
    Redirect(String),
    /// This process cannot execute the request, for this reason; another control process may be able to.
    Unavailable(&'static str),
}

/// The parameters of a directory look-up. Those that the client omits are empty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LookupQuery {
    /// The host of the requests that the client will send.
    pub host: String,
    /// The client's region.
    pub region: String,
    /// The client's zone.
    pub zone: String,
}

/// An API call as decoded from its request line.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiCall {
    /// A call that needs no body.
    Request(Request),
    /// A configuration change, which is contained in the body.
    Patch,
    /// A query for the gateways that a client should use.
    Lookup(LookupQuery),
    /// A query for the members as this process sees them.
    Members,
    /// The path does not exist.
    Unknown,
    /// The path exists, but not for this method.
    WrongMethod,
}

impl ApiCall {
    /// Decodes the method and target of a request line.
    pub fn decode(method: &[u8], target: &[u8]) -> ApiCall {
        let target = String::from_utf8_lossy(target);
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let (expected_method, call) = match path {
            path::ROUTE_LOOKUP => ("GET", ApiCall::decode_lookup(query)),
            path::GET_CONFIGURATION => ("GET", ApiCall::Request(Request::Get)),
            path::PATCH_CONFIGURATION => ("POST", ApiCall::Patch),
            path::MEMBERS => ("GET", ApiCall::Members),
            _ => match ApiCall::decode_evacuation(path) {
                Some(call) => ("POST", call),
                None => return ApiCall::Unknown,
            },
        };
        if method == expected_method.as_bytes() {
            call
        } else {
            ApiCall::WrongMethod
        }
    }

    fn decode_lookup(query: &str) -> ApiCall {
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        ApiCall::Lookup(LookupQuery {
            host: parameter("name"),
            region: parameter("province"),
            zone: parameter("district"),
        })
    }

    fn decode_evacuation(path: &str) -> Option<ApiCall> {
        let (verb, zone) = path.strip_prefix(path::EVACUATE_PREFIX)?.split_once('/')?;
        let evacuated = match verb {
            path::EVACUATE_START => true,
            path::EVACUATE_END => false,
            _ => return None,
        };
        let is_valid_zone = !zone.is_empty() && !zone.contains('/');
        is_valid_zone.then(|| ApiCall::Request(Request::Evacuate { zone: zone.to_owned(), evacuated }))
    }
}

/// Returns the `Location` of the same target at another address, if the target is safe in a header.
///
/// Invariant: only visible ASCII is copied. The client chooses the target, which becomes part of the response head,
/// where a line break would inject headers.
pub fn redirect_location(address: &str, port: u16, target: &[u8]) -> Option<String> {
    let is_valid_target = target.starts_with(b"/") && target.iter().all(u8::is_ascii_graphic);
    is_valid_target.then(|| format!("http://{address}:{port}{}", String::from_utf8_lossy(target)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case(b"/v1/Timetable.Patch", Some("http://10.0.0.4:8080/v1/Timetable.Patch"))]
    #[case(b"/v1/members?a=b&c=%20", Some("http://10.0.0.4:8080/v1/members?a=b&c=%20"))]
    #[case(b"/v1/a b", None)]
    #[case(b"/v1/a\r\nX: y", None)]
    #[case(b"http://elsewhere/v1/members", None)]
    fn a_redirect_keeps_path_and_query(#[case] target: &[u8], #[case] location: Option<&str>) {
        assert_eq!(redirect_location("10.0.0.4", 8080, target).as_deref(), location);
    }

    #[rstest]
    #[case("GET", "/v1/Timetable.Get", ApiCall::Request(Request::Get))]
    #[case("POST", "/v1/Timetable.Patch", ApiCall::Patch)]
    #[case("GET", "/v1/Timetable.Patch", ApiCall::WrongMethod)]
    #[case("GET", "/v1/route-lookup?name=a&province=p&district=d", ApiCall::Lookup(LookupQuery { host: "a".into(), region: "p".into(), zone: "d".into() }))]
    #[case("POST", "/v1/Evacuate.Start/z-1", ApiCall::Request(Request::Evacuate { zone: "z-1".into(), evacuated: true }))]
    #[case("POST", "/v1/Evacuate.End/z-1", ApiCall::Request(Request::Evacuate { zone: "z-1".into(), evacuated: false }))]
    #[case("POST", "/v1/Evacuate.Pause/z-1", ApiCall::Unknown)]
    #[case("POST", "/v1/Evacuate.Start/", ApiCall::Unknown)]
    fn calls_are_decoded(#[case] method: &str, #[case] target: &str, #[case] call: ApiCall) {
        assert_eq!(ApiCall::decode(method.as_bytes(), target.as_bytes()), call);
    }
}
