//! What clients request of a control process, as values: decoded from their HTTP requests, executed by the state machine.

use kitepass_config::{ConfigurationSnapshot, Item};
use kitepass_coordination::consensus::Proposal;
use kitepass_coordination::membership::ReplicaSet;

/// What a client is told, along with another address or none, by a process that cannot know what is current.
pub(crate) const NO_QUORUM_REASON: &str = "out of contact with the core";

/// The paths of the operators' and directory APIs, which are their clients' contract.
pub(crate) mod path {
    /// The directory: which gateways a client is to use.
    pub(crate) const ROUTE_LOOKUP: &str = "/v1/route-lookup";
    pub(crate) const GET_CONFIGURATION: &str = "/v1/Timetable.Get";
    pub(crate) const PATCH_CONFIGURATION: &str = "/v1/Timetable.Patch";
    pub(crate) const MEMBERS: &str = "/v1/members";
    /// A verb and a zone follow: `VERB/ZONE`.
    pub(crate) const EVACUATE_PREFIX: &str = "/v1/Evacuate.";
    pub(crate) const EVACUATE_START: &str = "Start";
    pub(crate) const EVACUATE_END: &str = "End";
}

/// What the state machine executes: an operator's request, or one of the control plane's own.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// The newest configuration in full.
    Get,
    /// A change of the configuration: these items, all of them or none.
    Patch(Vec<Item>),
    /// Whether the backends of a zone are used.
    Evacuate {
        /// The zone's name.
        zone: String,
        /// True: nothing more is sent to them. False: they are used again.
        evacuated: bool,
    },
    /// Completes a proposal that some replica has accepted.
    ResolveProposal(Proposal),
    /// Reads what a majority holds: a new coordinator does so before it acts.
    ReadMajority,
    /// First step of a membership change: the incoming replica set is proposed.
    ProposeReplicaSet(ReplicaSet),
    /// Second step: all that was committed before is read from a majority, so that the incoming set holds it.
    PrepareActivation(ReplicaSet),
    /// Third step: the incoming replica set becomes the current one.
    ActivateReplicaSet(ReplicaSet),
}

impl Request {
    /// Bytes of items that have to be moved for it, its own alone.
    pub fn item_bytes(&self) -> usize {
        match self {
            Request::Patch(items) => items.iter().map(Item::max_wire_bytes).sum(),
            Request::ResolveProposal(proposal) => proposal.bytes(),
            _ => 0,
        }
    }

    /// The request's name in log lines.
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

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Done; there is nothing to tell.
    Done,
    /// The configuration that was requested.
    Configuration(ConfigurationSnapshot),
    /// No part of it was accepted, and why.
    Invalid(String),
    /// The version of one of its items is taken by another content: no part of it ever takes effect.
    Conflict(String),
    /// The control process at this address says that it is in contact with a quorum: it may do it.
    Redirect(String),
    /// Another control process may do it, and why this one cannot.
    Unavailable(&'static str),
}

/// A client of the directory, as its look-up tells. What it does not tell is an empty text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LookupQuery {
    /// The host that it is to send requests for.
    pub host: String,
    /// The client's region.
    pub region: String,
    /// The client's zone.
    pub zone: String,
}

/// A call of an API as its request line tells it, before anything is executed.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiCall {
    /// One that is complete without its body.
    Request(Request),
    /// A change of the configuration, which stands in the body.
    Patch,
    /// Which gateways a client is to use.
    Lookup(LookupQuery),
    /// The view of the membership.
    Members,
    /// A path that is none of an API's.
    Unknown,
    /// A known path, with a method that is not its own.
    WrongMethod,
}

impl ApiCall {
    /// Decodes a request line's method and target.
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
        let is_zone = !zone.is_empty() && !zone.contains('/');
        is_zone.then(|| ApiCall::Request(Request::Evacuate { zone: zone.to_owned(), evacuated }))
    }
}

/// The location of the same request at another address, if its target can stand in a header.
///
/// Invariant: only visible ASCII is passed on. Whatever a client wrote in the target goes back to it as part of the
/// response's head, and a line end there would add headers of its own.
pub fn redirect_location(address: &str, port: u16, target: &[u8]) -> Option<String> {
    let is_safe = target.starts_with(b"/") && target.iter().all(u8::is_ascii_graphic);
    is_safe.then(|| format!("http://{address}:{port}{}", String::from_utf8_lossy(target)))
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
