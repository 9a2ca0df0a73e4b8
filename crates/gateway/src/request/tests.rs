//! Tests of the table of requests in progress.

use super::{Request, Requests, State};
use crate::http::{MessageKind, MessageReader};
use crate::parsed_request::ParsedRequest;
use crate::poll::ClientKey;
use kitepass_time::Timestamp;

#[test]
fn finished_requests_and_their_trace_ids_are_removed() {
    let settings = r#"{"Classes":[{"Name":"look"}],"Plans":[{"Name":"team"}]}"#;
    let (config, _) = kitepass_gateway_config::from_text("settings", settings).unwrap();
    let mut requests = Requests::default();
    for n in 0..1000 {
        let mut text = format!(
            "GET /look/00000000b4d6{n:04x} HTTP/1.1\r\nX-Trace-Id: t{n}\r\nX-Tariff: team\r\n\
             X-Expires-In-Ms: 100\r\nX-Weight: units=1\r\n\r\n"
        )
        .into_bytes();
        let message = MessageReader::default().next(MessageKind::Request, &mut text, false).unwrap().unwrap();
        let parsed = ParsedRequest::parse(message, &config).unwrap();
        let key = requests.insert(Request::new(ClientKey::default(), parsed, Timestamp::from_micros(0)));
        assert!(requests.open_request(format!("t{n}").as_bytes()).is_some());
        requests.set_state(key, State::InFlight);
        requests.set_state(key, State::Abandoned);
        assert!(requests.open_request(format!("t{n}").as_bytes()).is_none());
        requests.set_state(key, State::Finished);
    }
    assert!(requests.is_empty() && requests.open_by_trace_id.is_empty());
}
