//! Streaming of bodies that are too long to be buffered in full.

use crate::harness::{get, ok, request, response, start_ready_gateway, TIMEOUT};
use rstest::rstest;

const MIB: usize = 1024 * 1024;
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n";

/// Generates bytes in which neighbours differ, so that misplaced data is detected.
fn bytes(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

fn framed(body: &[u8], is_chunked: bool) -> (String, Vec<u8>) {
    if !is_chunked {
        return (format!("Content-Length: {}\r\n\r\n", body.len()), body.to_vec());
    }
    let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    let mut encoded: Vec<u8> = body.chunks(50_000).flat_map(chunk).collect();
    encoded.extend_from_slice(b"0\r\n\r\n");
    ("Transfer-Encoding: chunked\r\n\r\n".to_owned(), encoded)
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn a_long_body_is_streamed_both_ways_before_it_is_complete(#[case] is_chunked: bool) {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    let body = bytes(MIB);
    let (framing, encoded) = framed(&body, is_chunked);
    let (first, second) = encoded.split_at(600 * 1024);
    let (mut first_sender, mut second_sender) = (client.duplicate(), client.duplicate());
    let response = std::thread::scope(|scope| {
        scope.spawn(|| {
            first_sender.send(request("POST", "/once/", "t1") + &framing).send(first);
        });
        let mut backend = backends.accept();
        // The second part is sent only after the backend has received the first.
        backend.wait_for_bytes(600 * 1024);
        scope.spawn(|| {
            second_sender.send(second);
        });
        let forwarded = backend.receive();
        assert!(forwarded.body == body, "body differs, received {} bytes", forwarded.body.len());
        let head = HEAD.to_owned() + &framing;
        let encoded = &encoded;
        scope.spawn(move || {
            backend.send(head).send(encoded);
        });
        client.receive()
    });
    assert_eq!((response.status(), response.field("X-Postmark")), (200, Some("p")));
    assert!(response.body == body, "body differs, received {} bytes", response.body.len());
}

/// A slow reader causes backpressure on the sender, and no data is lost.
#[rstest]
#[case(1)]
#[case(4)]
#[case(12)]
fn a_peer_that_reads_late_receives_everything(#[case] mib: usize) {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    let body = bytes(mib * MIB);
    let (framing, encoded) = framed(&body, false);
    client.send(request("POST", "/once/", "t1") + &framing);
    let sent = client.send_until_full(&encoded);
    let (mut writer, mut backend) = (client.duplicate(), backends.accept());
    let response = std::thread::scope(|scope| {
        scope.spawn(|| {
            writer.send(&encoded[sent..]);
        });
        let forwarded = backend.receive();
        assert!(forwarded.body == body, "body differs, received {} bytes", forwarded.body.len());
        backend.send(HEAD.to_owned() + &framing);
        let sent = backend.send_until_full(&encoded);
        let encoded = &encoded;
        scope.spawn(move || {
            backend.send(&encoded[sent..]);
        });
        client.receive()
    });
    assert!(response.body == body, "body differs, received {} bytes", response.body.len());
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn a_truncated_response_does_not_look_complete(#[case] is_chunked: bool) {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    let (framing, encoded) = framed(&bytes(MIB), is_chunked);
    backend.send(HEAD.to_owned() + &framing).send(&encoded[..600 * 1024]);
    client.wait_for_bytes(100 * 1024);
    backend.close();
    assert!(client.receive_or_end().is_none());
    assert!(client.unparsed_input().starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert!(backends.has_no_pending_connection());
}

/// The body is no longer buffered in full, so the gateway cannot retry. It responds with 503, which tells the client that the
/// request was not executed.
#[test]
fn a_rejected_request_with_a_long_body_is_left_to_the_client_to_retry() {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    let (framing, encoded) = framed(&bytes(MIB), false);
    let mut writer = client.duplicate();
    let response = std::thread::scope(|scope| {
        scope.spawn(|| {
            writer.send(request("POST", "/once/", "t1") + &framing).send(&encoded);
        });
        let mut backend = backends.accept();
        assert_eq!(backend.receive().body.len(), MIB);
        backend.send(response("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
        client.receive()
    });
    assert!(response.status() == 503 && response.field("Retry-After").is_some(), "{}", response.head);
    assert!(backends.has_no_pending_connection());
}

/// A streamed body is no longer buffered for a retry, so the client receives the error response. The gateway keeps serving.
#[test]
fn a_failed_idempotent_request_with_a_long_body_is_not_retried() {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    let (framing, encoded) = framed(&bytes(MIB), false);
    let mut writer = client.duplicate();
    let failed = std::thread::scope(|scope| {
        scope.spawn(|| {
            writer.send(request("POST", "/safe/", "t1") + &framing).send(&encoded);
        });
        let mut backend = backends.accept();
        assert_eq!(backend.receive().body.len(), MIB);
        backend.send(response("500 Internal Server Error", "t1", "", "its own"));
        client.receive()
    });
    assert_eq!((failed.status(), failed.body.as_slice()), (500, &b"its own"[..]));
    assert!(backends.has_no_pending_connection());
    gateway.connect().send(get("/nowhere/", "t2")).receive();
}

/// The rest of the body must not be parsed as the next request.
#[test]
fn a_response_before_the_body_is_complete_closes_the_client_connection() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(request("POST", "/once/", "t1") + "Content-Length: 1000000\r\n\r\n").send(bytes(300_000));
    let mut backend = backends.accept();
    backend.wait_for_bytes(300_000);
    backend.send(ok("t1", "enough"));
    let response = client.receive();
    assert_eq!((response.field("Connection"), &response.body[..]), (Some("close"), &b"enough"[..]));
    assert!(client.closes_without_data());
}

/// The grant arrives after the body buffer is full, when no further socket event from the client triggers processing.
#[test]
fn a_long_body_is_forwarded_when_its_quota_is_granted() {
    let (gateway, control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t1", "")); // leaves an idle connection that the next request reuses
    assert_eq!(client.receive().status(), 200);
    control.wait_for_usage_totals();
    control.grant(1);
    let intercepted = control.intercept_grants();
    let body = bytes(3 * MIB / 2);
    let (framing, encoded) = framed(&body, false);
    client
        .send(request("POST", "/once/", "t2").replace("key-of-town", "key-of-tiny") + &framing)
        .send(&encoded);
    let grant = intercepted.recv_timeout(TIMEOUT).expect("control process grants quota");
    (0..2).for_each(|_| assert_eq!(gateway.readiness(), 200)); // the gateway has processed all earlier input by now
    control.send(grant);
    assert!(backend.receive().body == body);
}
