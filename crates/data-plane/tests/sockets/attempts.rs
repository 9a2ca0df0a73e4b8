//! Which outcomes of an attempt are retried, and what the client gets.

use crate::harness::{answer, get, ok, publish_all, refusing_addresses, request, serving, waiting, Peer};
use rstest::rstest;

/// What a backend does with a request that it has read.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    /// A response with this status and these fields.
    Responds(&'static str, &'static str),
    /// Sends the beginning of a response and closes the connection.
    Truncates,
    SendsRaw(&'static str),
    Closes,
    Resets,
}

fn act(mut backend: Peer, what: Reaction) {
    let id = backend.receive().field("X-Try-Id").expect("an id").to_owned();
    match what {
        Reaction::Responds(status, fields) => backend.try_send(answer(status, &id, fields, "its own")),
        Reaction::Truncates => backend.try_send(ok(&id, "a long answer").trim_end_matches("answer")),
        Reaction::SendsRaw(bytes) => backend.try_send(bytes),
        Reaction::Closes => {}
        Reaction::Resets => return backend.reset(),
    }
    backend.close();
}

#[rstest]
#[case::full(Reaction::Responds("503 Service Unavailable", "X-Not-Delivered: full\r\n"))]
#[case::busy(Reaction::Responds("429 Too Many Requests", "X-Not-Delivered: busy\r\n"))]
#[case::misdirected(Reaction::Responds("421 Misdirected Request", ""))]
fn a_non_idempotent_request_that_was_not_executed_is_sent_to_another_backend(#[case] first: Reaction) {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    client.send(request("POST", "/once/x", "t1") + "Content-Length: 4\r\n\r\nbody");
    act(backends.accept(), first);
    let mut backend = backends.accept();
    let forwarded = backend.receive();
    assert_eq!((backend.number, forwarded.field("X-Deliver-To")), (1, Some("b1")));
    assert_eq!((forwarded.field("X-Try-Id"), &forwarded.body[..]), (Some("t1"), &b"body"[..]));
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

/// 429, 503, 408 and 421 would promise that it was not executed.
#[rstest]
#[case::reset(Reaction::Resets, 502)]
#[case::closed(Reaction::Closes, 502)]
#[case::truncated(Reaction::Truncates, 502)]
#[case::malformed(Reaction::SendsRaw("\0\u{1}\r\nnothing\r\n\r\n"), 502)]
#[case::missing_request_id(
    Reaction::SendsRaw("HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 0\r\n\r\n"),
    502
)]
#[case::no_postmark(Reaction::Responds("200 OK", ""), 502)]
#[case::own_503(Reaction::Responds("503 Service Unavailable", "Retry-After: 1\r\n"), 502)]
#[case::own_429(Reaction::Responds("429 Too Many Requests", ""), 502)]
#[case::own_408(Reaction::Responds("408 Request Timeout", ""), 502)]
#[case::own_500(Reaction::Responds("500 Internal Server Error", ""), 500)]
#[case::own_504(Reaction::Responds("504 Gateway Timeout", ""), 504)]
fn a_non_idempotent_request_that_may_have_been_executed_is_not_retried(
    #[case] first: Reaction,
    #[case] status: u16,
) {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    act(backends.accept(), first);
    let answer = client.receive();
    assert_eq!((answer.status(), answer.field("Retry-After")), (status, None));
    assert!(backends.is_untouched());
}

#[test]
fn a_refused_connection_is_no_attempt_and_another_backend_is_tried() {
    let (gateway, control, backends) = waiting();
    let [away] = refusing_addresses();
    publish_all(&control, &[away, backends.addresses[0]]);
    control.wait_until_synced();
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    assert_eq!(backend.receive().field("X-Deliver-To"), Some("b1"));
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

#[rstest]
#[case::reset(Reaction::Resets, 502)]
#[case::closed(Reaction::Closes, 502)]
#[case::truncated(Reaction::Truncates, 502)]
#[case::malformed(Reaction::SendsRaw("\0\u{1}\r\nnothing\r\n\r\n"), 502)]
#[case::encoded(Reaction::Responds("200 OK", "X-Postmark: p\r\nContent-Encoding: gzip\r\n"), 502)]
#[case::no_postmark(Reaction::Responds("200 OK", ""), 502)]
#[case::own_500(Reaction::Responds("500 Internal Server Error", ""), 500)]
#[case::own_503(Reaction::Responds("503 Service Unavailable", ""), 502)]
fn an_idempotent_request_gets_as_many_attempts_as_its_route_allows(
    #[case] is_closed: Reaction,
    #[case] status: u16,
) {
    let (gateway, _control, backends) = serving(3);
    let mut client = gateway.connect();
    client.send(get("/safe/", "t1"));
    act(backends.accept(), is_closed);
    let mut backend = backends.accept();
    assert_ne!((backend.receive().field("X-Try-Id"), backend.number), (Some("t1"), 0));
    backend.send(ok("t1", "fine"));
    let answer = client.receive();
    assert_eq!((answer.status(), answer.body), (200, b"fine".to_vec()));
    backend.close();
    // The second attempt is the last, also where it fails alike.
    client.send(get("/safe/", "t2"));
    (0..2).for_each(|_| act(backends.accept(), is_closed));
    assert_eq!(client.receive().status(), status);
    assert!(backends.is_untouched());
}

#[test]
fn surplus_responses_and_bytes_behind_a_response_are_dropped() {
    let (gateway, _control, backends) = serving(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t0", "another's") + &ok("t1", "one"));
    let answer = client.receive();
    assert_eq!((answer.field("X-Postmark"), &answer.body[..]), (Some("stamp.t1"), &b"one"[..]));
    // The connection is still in use.
    client.send(get("/once/", "t2"));
    backend.receive();
    backend.send(ok("t2", "two") + &ok("t3", "too soon"));
    assert_eq!(client.receive().body, b"two");
    client.send(get("/once/", "t3"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t3", "three"));
    assert_eq!(client.receive().body, b"three");
    // Also where they come while the connection is idle.
    backend.send(ok("t4", "too soon"));
    client.send(get("/once/", "t4"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t4", "four"));
    assert_eq!(client.receive().body, b"four");
}
