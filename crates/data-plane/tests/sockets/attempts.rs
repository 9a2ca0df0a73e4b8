//! Outcomes of attempts: which are retried, and which response the client receives.

use crate::harness::{
    get, ok, publish_configuration, request, response, start_ready_gateway, start_unconfigured_gateway,
    unused_addresses, Peer,
};
use rstest::rstest;

/// How a backend reacts to a request that it has read.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    /// Sends a response with this status and these header fields.
    Respond(&'static str, &'static str),
    /// Sends an incomplete response and closes the connection.
    Truncate,
    SendRaw(&'static str),
    Close,
    Reset,
}

/// Reads a request and reacts to it. Returns the request's id.
pub(crate) fn perform(mut backend: Peer, action: Action) -> String {
    let id = backend.receive().field("X-Try-Id").expect("request has an id").to_owned();
    match action {
        Action::Respond(status, fields) => backend.try_send(response(status, &id, fields, "its own")),
        Action::Truncate => backend.try_send(ok(&id, "a long answer").trim_end_matches("answer")),
        Action::SendRaw(bytes) => backend.try_send(bytes),
        Action::Close => {}
        Action::Reset => {
            backend.reset();
            return id;
        }
    }
    backend.close();
    id
}

#[rstest]
#[case::full(Action::Respond("503 Service Unavailable", "X-Not-Delivered: full\r\n"))]
#[case::busy(Action::Respond("429 Too Many Requests", "X-Not-Delivered: busy\r\n"))]
#[case::misdirected(Action::Respond("421 Misdirected Request", ""))]
fn a_non_idempotent_request_that_was_not_executed_is_sent_to_another_backend(#[case] first: Action) {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    client.send(request("POST", "/once/x", "t1") + "Content-Length: 4\r\n\r\nbody");
    perform(backends.accept(), first);
    let mut backend = backends.accept();
    let forwarded = backend.receive();
    assert_eq!((backend.backend_index, forwarded.field("X-Deliver-To")), (1, Some("b1")));
    assert_eq!((forwarded.field("X-Try-Id"), &forwarded.body[..]), (Some("t1"), &b"body"[..]));
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

/// The client must not receive 429, 503, 408 or 421, as these statuses promise that the request was not executed.
#[rstest]
#[case::reset(Action::Reset, 502)]
#[case::closed(Action::Close, 502)]
#[case::truncated(Action::Truncate, 502)]
#[case::malformed(Action::SendRaw("\0\u{1}\r\nnothing\r\n\r\n"), 502)]
#[case::missing_request_id(
    Action::SendRaw("HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 0\r\n\r\n"),
    502
)]
#[case::no_postmark(Action::Respond("200 OK", ""), 502)]
#[case::own_503(Action::Respond("503 Service Unavailable", "Retry-After: 1\r\n"), 502)]
#[case::own_429(Action::Respond("429 Too Many Requests", ""), 502)]
#[case::own_408(Action::Respond("408 Request Timeout", ""), 502)]
#[case::own_500(Action::Respond("500 Internal Server Error", ""), 500)]
#[case::own_504(Action::Respond("504 Gateway Timeout", ""), 504)]
fn a_non_idempotent_request_that_may_have_been_executed_is_not_retried(
    #[case] first: Action,
    #[case] status: u16,
) {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    perform(backends.accept(), first);
    let response = client.receive();
    assert_eq!((response.status(), response.field("Retry-After")), (status, None));
    assert!(backends.has_no_pending_connection());
}

#[test]
fn a_refused_connection_does_not_count_as_an_attempt() {
    let (gateway, control, backends) = start_unconfigured_gateway();
    let [unreachable_address] = unused_addresses();
    publish_configuration(&control, &[unreachable_address, backends.addresses[0]]);
    control.wait_until_synced();
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    assert_eq!(backend.receive().field("X-Deliver-To"), Some("b1"));
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

#[rstest]
#[case::reset(Action::Reset, 502)]
#[case::closed(Action::Close, 502)]
#[case::truncated(Action::Truncate, 502)]
#[case::malformed(Action::SendRaw("\0\u{1}\r\nnothing\r\n\r\n"), 502)]
#[case::encoded(Action::Respond("200 OK", "X-Postmark: p\r\nContent-Encoding: gzip\r\n"), 502)]
#[case::no_postmark(Action::Respond("200 OK", ""), 502)]
#[case::own_500(Action::Respond("500 Internal Server Error", ""), 500)]
#[case::own_503(Action::Respond("503 Service Unavailable", ""), 502)]
fn an_idempotent_request_gets_as_many_attempts_as_its_route_allows(
    #[case] first: Action,
    #[case] status: u16,
) {
    let (gateway, _control, backends) = start_ready_gateway(3);
    let mut client = gateway.connect();
    client.send(get("/safe/", "t1"));
    perform(backends.accept(), first);
    let mut backend = backends.accept();
    assert_ne!((backend.receive().field("X-Try-Id"), backend.backend_index), (Some("t1"), 0));
    backend.send(ok("t1", "fine"));
    let response = client.receive();
    assert_eq!((response.status(), response.body), (200, b"fine".to_vec()));
    backend.close();
    // The second attempt is the last, even if it fails in the same way.
    client.send(get("/safe/", "t2"));
    (0..2).for_each(|_| _ = perform(backends.accept(), first));
    assert_eq!(client.receive().status(), status);
    assert!(backends.has_no_pending_connection());
}

#[test]
fn unexpected_responses_and_trailing_bytes_are_discarded() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t0", "another's") + &ok("t1", "one"));
    let response = client.receive();
    assert_eq!((response.field("X-Postmark"), &response.body[..]), (Some("stamp.t1"), &b"one"[..]));
    // The connection is still reused.
    client.send(get("/once/", "t2"));
    backend.receive();
    backend.send(ok("t2", "two") + &ok("t3", "too soon"));
    assert_eq!(client.receive().body, b"two");
    client.send(get("/once/", "t3"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t3", "three"));
    assert_eq!(client.receive().body, b"three");
    // The same applies to bytes that arrive while the connection is idle.
    backend.send(ok("t4", "too soon"));
    client.send(get("/once/", "t4"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t4", "four"));
    assert_eq!(client.receive().body, b"four");
}
