//! What callers ask of a control process, as values; decoded from their calls, run by the core.

use kitepass_config::Item;
use kitepass_coordination::consensus::Proposal;
use kitepass_coordination::membership::ReplicaSet;

#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// The newest configuration in full.
    Get,
    Patch(Vec<Item>),
    Evacuate {
        zone: String,
        on: bool,
    },
    /// The core's own: a call that somebody accepted is brought to its end.
    Settle(Proposal),
    /// The one that does the duty reads what a majority holds.
    Survey,
    /// A cast is brought in, all that was decided before is read, and it is put in force.
    Next(ReplicaSet),
    Fill(ReplicaSet),
    Now(ReplicaSet),
}

impl Request {
    /// Bytes that are to be moved for it, its own alone.
    pub fn bytes(&self) -> usize {
        match self {
            Request::Patch(items) => items.iter().map(Item::wire_bytes).sum(),
            Request::Settle(call) => call.bytes(),
            _ => 0,
        }
    }

    pub fn name(&self) -> &'static str {
        match self {
            Request::Get => "get",
            Request::Patch(_) => "patch",
            Request::Evacuate { on: true, .. } => "evacuate-start",
            Request::Evacuate { on: false, .. } => "evacuate-end",
            Request::Settle(_) => "settle",
            Request::Survey => "survey",
            Request::Next(_) => "cast-next",
            Request::Fill(_) => "cast-fill",
            Request::Now(_) => "cast-now",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Done,
    Body(Vec<u8>),
    /// Nothing of it was taken, and why.
    Invalid(String),
    /// Another content has taken the version of one of its items: no part of it ever takes effect.
    Conflict(String),
    /// The control process at this address says that it is in contact with the core: it may do it.
    Redirect(String),
    /// Another control process may do it.
    Unavailable(&'static str),
}

/// A call as its first line and body tell it, before anything is run.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiCall {
    Request(Request),
    /// A body that is still to be read as a change of items.
    Patch,
    Lookup {
        region: String,
        zone: String,
    },
    Members,
    Unknown,
    WrongMethod,
}

impl ApiCall {
    pub fn decode(method: &[u8], target: &[u8]) -> ApiCall {
        let target = String::from_utf8_lossy(target);
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let of = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name);
            pair.map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        let (wanted, call) = match path {
            "/v1/route-lookup" => ("GET", ApiCall::Lookup { region: of("province"), zone: of("district") }),
            "/v1/Timetable.Get" => ("GET", ApiCall::Request(Request::Get)),
            "/v1/Timetable.Patch" => ("POST", ApiCall::Patch),
            "/v1/members" => ("GET", ApiCall::Members),
            _ => match path.strip_prefix("/v1/Evacuate.").and_then(|rest| rest.split_once('/')) {
                Some((verb @ ("Start" | "End"), zone)) if !zone.is_empty() && !zone.contains('/') => (
                    "POST",
                    ApiCall::Request(Request::Evacuate { zone: zone.to_owned(), on: verb == "Start" }),
                ),
                _ => return ApiCall::Unknown,
            },
        };
        if method == wanted.as_bytes() {
            call
        } else {
            ApiCall::WrongMethod
        }
    }
}

/// Where the same call is to be made at another address, if its target can stand in a field. Danger: whatever a caller
/// wrote there goes back to it as part of the answer's head.
pub fn place(address: &str, port: u16, target: &[u8]) -> Option<String> {
    let fit = target.starts_with(b"/") && target.iter().all(u8::is_ascii_graphic);
    fit.then(|| format!("http://{address}:{port}{}", String::from_utf8_lossy(target)))
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
    fn a_call_goes_on_with_path_and_query(#[case] target: &[u8], #[case] to: Option<&str>) {
        assert_eq!(place("10.0.0.4", 8080, target).as_deref(), to);
    }

    #[rstest]
    #[case("GET", "/v1/Timetable.Get", ApiCall::Request(Request::Get))]
    #[case("POST", "/v1/Timetable.Patch", ApiCall::Patch)]
    #[case("GET", "/v1/Timetable.Patch", ApiCall::WrongMethod)]
    #[case("GET", "/v1/route-lookup?name=a&province=p&district=d", ApiCall::Lookup { region: "p".into(), zone: "d".into() })]
    #[case("POST", "/v1/Evacuate.Start/z-1", ApiCall::Request(Request::Evacuate { zone: "z-1".into(), on: true }))]
    #[case("POST", "/v1/Evacuate.End/z-1", ApiCall::Request(Request::Evacuate { zone: "z-1".into(), on: false }))]
    #[case("POST", "/v1/Evacuate.Pause/z-1", ApiCall::Unknown)]
    #[case("POST", "/v1/Evacuate.Start/", ApiCall::Unknown)]
    fn calls_are_decoded(#[case] method: &str, #[case] target: &str, #[case] call: ApiCall) {
        assert_eq!(ApiCall::decode(method.as_bytes(), target.as_bytes()), call);
    }
}
