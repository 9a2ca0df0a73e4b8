//! Bodies too long to be buffered in full.

use crate::harness::{answer, get, ok, request, serving, TIMEOUT};
use rstest::rstest;

const MIB: usize = 1024 * 1024;
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n";

/// Bytes of which each differs from those near it.
fn bytes(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

fn framed(body: &[u8], chunked: bool) -> (String, Vec<u8>) {
    if !chunked {
        return (format!("Content-Length: {}\r\n\r\n", body.len()), body.to_vec());
    }
    let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    let mut all: Vec<u8> = body.chunks(50_000).flat_map(chunk).collect();
    all.extend_from_slice(b"0\r\n\r\n");
    ("Transfer-Encoding: chunked\r\n\r\n".to_owned(), all)
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn a_long_body_is_streamed_both_ways_before_it_is_complete(#[case] chunked: bool) {
    let (gateway, _control, backends) = serving(1);
    let mut client = gateway.connect();
    let body = bytes(MIB);
    let (framing, all) = framed(&body, chunked);
    let (first, second) = all.split_at(600 * 1024);
    let (mut one, mut two) = (client.handle(), client.handle());
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            one.send(request("POST", "/once/", "t1") + &framing).send(first);
        });
        let mut backend = backends.accept();
        // All that was sent so far; the rest is sent only after that.
        backend.wait_for_bytes(600 * 1024);
        scope.spawn(|| {
            two.send(second);
        });
        let forwarded = backend.receive();
        assert!(forwarded.body == body, "{} bytes, or others", forwarded.body.len());
        let head = HEAD.to_owned() + &framing;
        let all = &all;
        scope.spawn(move || {
            backend.send(head).send(all);
        });
        client.receive()
    });
    assert_eq!((answer.status(), answer.field("X-Postmark")), (200, Some("p")));
    assert!(answer.body == body, "{} bytes, or others", answer.body.len());
}

/// A peer that reads late holds the other one up, and has lost nothing once it reads.
#[rstest]
#[case(1)]
#[case(4)]
#[case(12)]
fn a_peer_that_reads_late_receives_everything(#[case] mib: usize) {
    let (gateway, _control, backends) = serving(1);
    let mut client = gateway.connect();
    let body = bytes(mib * MIB);
    let (framing, all) = framed(&body, false);
    client.send(request("POST", "/once/", "t1") + &framing);
    let sent = client.send_until_full(&all);
    let (mut handle, mut backend) = (client.handle(), backends.accept());
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            handle.send(&all[sent..]);
        });
        let forwarded = backend.receive();
        assert!(forwarded.body == body, "{} bytes, or others", forwarded.body.len());
        backend.send(HEAD.to_owned() + &framing);
        let sent = backend.send_until_full(&all);
        let all = &all;
        scope.spawn(move || {
            backend.send(&all[sent..]);
        });
        client.receive()
    });
    assert!(answer.body == body, "{} bytes, or others", answer.body.len());
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn a_truncated_response_does_not_look_complete(#[case] chunked: bool) {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    let (framing, all) = framed(&bytes(MIB), chunked);
    backend.send(HEAD.to_owned() + &framing).send(&all[..600 * 1024]);
    client.wait_for_bytes(100 * 1024);
    backend.close();
    assert!(client.receive_or_end().is_none());
    assert!(client.unparsed().starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert!(backends.is_untouched());
}

/// No retry could send all of it; the client learns that it was not executed.
#[test]
fn a_rejected_request_with_a_long_body_is_left_to_the_client_to_retry() {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    let (framing, all) = framed(&bytes(MIB), false);
    let mut handle = client.handle();
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            handle.send(request("POST", "/once/", "t1") + &framing).send(&all);
        });
        let mut backend = backends.accept();
        assert_eq!(backend.receive().body.len(), MIB);
        backend.send(answer("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
        client.receive()
    });
    assert!(answer.status() == 503 && answer.field("Retry-After").is_some(), "{}", answer.head);
    assert!(backends.is_untouched());
}

/// Nothing of a streamed body is left for a retry: the error response goes to the client, and the gateway goes on.
#[test]
fn a_failed_idempotent_request_with_a_long_body_is_not_retried() {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    let (framing, all) = framed(&bytes(MIB), false);
    let mut handle = client.handle();
    let failed = std::thread::scope(|scope| {
        scope.spawn(|| {
            handle.send(request("POST", "/safe/", "t1") + &framing).send(&all);
        });
        let mut backend = backends.accept();
        assert_eq!(backend.receive().body.len(), MIB);
        backend.send(answer("500 Internal Server Error", "t1", "", "its own"));
        client.receive()
    });
    assert_eq!((failed.status(), failed.body.as_slice()), (500, &b"its own"[..]));
    assert!(backends.is_untouched());
    gateway.connect().send(get("/nowhere/", "t2")).receive();
}

/// The rest of the body is not read as a request.
#[test]
fn a_response_before_the_body_is_complete_closes_the_clients_connection() {
    let (gateway, _control, backends) = serving(1);
    let mut client = gateway.connect();
    client.send(request("POST", "/once/", "t1") + "Content-Length: 1000000\r\n\r\n").send(bytes(300_000));
    let mut backend = backends.accept();
    backend.wait_for_bytes(300_000);
    backend.send(ok("t1", "enough"));
    let answer = client.receive();
    assert_eq!((answer.field("Connection"), &answer.body[..]), (Some("close"), &b"enough"[..]));
    assert!(client.is_closed());
}

/// The grant comes when all of the body that there was room for has been read, and no more comes from the client.
#[test]
fn a_long_body_is_forwarded_when_its_quota_is_granted() {
    let (gateway, control, backends) = serving(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t1", "")); // an idle connection is used at once
    assert_eq!(client.receive().status(), 200);
    control.wait_until_counted();
    control.grant(1);
    let held = control.hold_back_grants();
    let body = bytes(3 * MIB / 2);
    let (framing, all) = framed(&body, false);
    client.send(request("POST", "/once/", "t2").replace("key-of-town", "key-of-tiny") + &framing).send(&all);
    let grant = held.recv_timeout(TIMEOUT).expect("a grant");
    (0..2).for_each(|_| assert_eq!(gateway.readiness(), 200)); // it has read what it can by now
    control.send(grant);
    assert!(backend.receive().body == body);
}
