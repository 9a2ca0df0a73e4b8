//! Connection and backend failures during an attempt, and limits on requests.

use crate::harness::{change_request, get, ok, request, response, start_ready_gateway, TIMEOUT};
use rstest::rstest;
use rustix::process::Signal;
use std::time::{Duration, Instant};

pub(crate) fn limits(body: usize, idle_ms: u32) -> Vec<kitepass_config::Item> {
    change_request(&format!(
        r#"{{"deliver":{{"weight-limits":{{"envelope-bytes":4096,"body-bytes":{body},"envelope-ms":20000,
            "idle-ms":{idle_ms},"edition":"r6"}}}}}}"#
    ))
}

/// A duplicate response to an earlier request arrives while the connection carries the next request.
#[rstest]
#[case::short(10)]
#[case::long(1 << 20)]
fn a_late_duplicate_response_is_discarded(#[case] length: usize) {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t1", "one"));
    assert_eq!(client.receive().body, b"one");
    client.send(get("/once/", "t2"));
    assert_eq!(backend.receive().field("X-Try-Id"), Some("t2"));
    std::thread::scope(|scope| {
        let backend = &mut backend;
        scope.spawn(move || backend.send(ok("t1", &"x".repeat(length)) + &ok("t2", "two")).backend_index);
        let response = client.receive();
        assert_eq!((response.field("X-Postmark"), &response.body[..]), (Some("stamp.t2"), &b"two"[..]));
    });
    // The connection is still reused.
    client.send(get("/once/", "t3"));
    assert_eq!(backend.receive().field("X-Try-Id"), Some("t3"));
    backend.send(ok("t3", "three"));
    assert_eq!(client.receive().body, b"three");
    assert!(backends.has_no_pending_connection());
}

/// A request is retried if none of its bytes were sent before the connection failed, but not if the backend has read it.
#[rstest]
#[case::reset_after_the_request("502")]
#[case::reset_before_reuse("reset")]
#[case::closed_before_reuse("ended")]
fn a_reused_connection_that_fails(#[case] how: &str) {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t1", "one"));
    assert_eq!(client.receive().body, b"one");
    if how == "502" {
        client.send(get("/once/", "t2"));
        assert_eq!(backend.receive().field("X-Try-Id"), Some("t2"));
        backend.reset();
        let response = client.receive();
        assert_eq!((response.status(), response.field("Retry-After")), (502, None));
    } else {
        // When the gateway resumes, both the request and the closed connection are pending, the request first.
        gateway.pause();
        client.send(get("/once/", "t2"));
        if how == "reset" {
            backend.reset();
        } else {
            backend.close();
        }
        gateway.signal(Signal::CONT);
        let mut backend = backends.accept();
        assert_eq!(backend.receive().field("X-Try-Id"), Some("t2"));
        backend.send(ok("t2", "two"));
        assert_eq!(client.receive().body, b"two");
    }
    assert!(backends.has_no_pending_connection());
}

/// A response received before a reset is still processed: it states that the request was not executed.
#[rstest]
#[case::all_read(100_000, true)]
#[case::hardly_read(200_000, false)]
fn a_request_rejected_before_its_body_was_read_is_sent_to_another_backend(
    #[case] length: usize,
    #[case] reads: bool,
) {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    let body = "b".repeat(length);
    client.send(request("POST", "/once/x", "t1") + &format!("Content-Length: {length}\r\n\r\n{body}"));
    let mut backend = backends.accept();
    if reads {
        backend.receive();
    } else {
        backend.wait_for_bytes(1);
    }
    backend.send(response("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
    backend.reset();
    let mut backend = backends.accept();
    let forwarded = backend.receive();
    assert_eq!((backend.backend_index, forwarded.field("X-Try-Id")), (1, Some("t1")));
    assert!(forwarded.body == body.as_bytes(), "body differs, received {} bytes", forwarded.body.len());
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

/// As above, but the body exceeds the socket buffers, so the connection fails during a write. The body is no longer buffered
/// for a retry. The client receives 503, possibly after sending the rest of the body.
#[test]
fn a_request_rejected_while_its_body_is_written_is_left_to_the_client_to_retry() {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    let length = 24 << 20;
    let mut writer = client.duplicate();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let head = request("POST", "/once/x", "t1") + &format!("Content-Length: {length}\r\n\r\n");
            writer.send(head).send("b".repeat(length));
        });
        let mut backend = backends.accept();
        backend.wait_for_bytes(1);
        backend.send(response("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
        backend.reset();
        let response = client.receive();
        assert_eq!((response.status(), response.field("Connection")), (503, Some("close")));
        assert!(response.field("Retry-After").is_some(), "{}", response.head);
    });
    assert!(client.closes_without_data() && backends.has_no_pending_connection());
}

/// A body delimited by the end of the connection is complete after an orderly close, but not after a reset.
#[rstest]
#[case::in_order(true)]
#[case::breaks(false)]
fn a_body_that_ends_with_the_connection(#[case] ends_in_order: bool) {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n\r\nall of it");
    if ends_in_order {
        backend.close();
        assert_eq!(client.receive().body, b"all of it");
    } else {
        backend.reset();
        assert_eq!(client.receive().status(), 502);
    }
}

/// An attempt that receives no response is followed by another one only if the request is idempotent, fully buffered, and
/// another backend is available. It is abandoned only once the other one has a response.
#[test]
fn an_overdue_attempt_is_abandoned_only_where_another_has_a_response() {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut clients = [gateway.connect(), gateway.connect(), gateway.connect()];
    let length = 1 << 20;
    let long = format!("Content-Length: {length}\r\n\r\n{}", "b".repeat(length));
    let mut writer = clients[0].duplicate();
    let mut streaming = std::thread::scope(|scope| {
        scope.spawn(|| writer.send(request("POST", "/safe/", "t0") + &long).backend_index);
        let mut streaming = backends.accept();
        assert_eq!(streaming.receive().body.len(), length);
        streaming
    });
    clients[1].send(get("/once/", "t1"));
    let mut non_idempotent = backends.accept();
    non_idempotent.receive();
    clients[2].send(get("/safe/", "t2"));
    let mut abandoned = backends.accept();
    abandoned.receive();
    // By the time this attempt is overdue, the first two would have been replaced as well.
    let mut replacement = backends.accept();
    assert_eq!((replacement.receive().field("X-Try-Id"), replacement.backend_index), (Some("t2"), 1));
    assert!(abandoned.is_open());
    for (backend, id) in [(&mut replacement, "t2"), (&mut non_idempotent, "t1"), (&mut streaming, "t0")] {
        backend.send(ok(id, id));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.receive().body, format!("t{n}").as_bytes());
    }
    assert!(abandoned.closes_without_data());
    assert!(backends.has_no_pending_connection());
}

/// An idempotent request also keeps its attempt at an unresponsive backend if there is no other backend.
#[test]
fn an_overdue_attempt_is_not_abandoned_without_another_backend() {
    let (gateway, control, backends) = start_ready_gateway(1);
    control.publish(&limits(1 << 20, 100));
    control.wait_until_synced();
    let (mut idempotent, mut non_idempotent) = (gateway.connect(), gateway.connect());
    idempotent.send(get("/safe/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    non_idempotent.send(get("/once/", "t2").replace("20000", "1500"));
    let mut other = backends.accept();
    other.receive();
    // The second request's deadline is after the first attempt would become overdue, and after four times the idle timeout.
    assert_eq!(non_idempotent.receive().status(), 504);
    backend.send(ok("t1", "late"));
    assert_eq!(idempotent.receive().body, b"late");
    assert!(backends.has_no_pending_connection());
}

/// SIGTERM with an unresponsive backend: the gateway sends no local response, makes no retry and exits in time.
#[test]
fn at_the_end_of_the_grace_period_requests_in_flight_are_aborted_without_a_response() {
    let (mut gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    gateway.signal(Signal::TERM);
    assert!(client.closes_without_data(), "{:?}", String::from_utf8_lossy(client.unparsed_input()));
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert!(backend.closes_without_data() && backends.has_no_pending_connection());
}

/// The length of a chunked body is unknown in advance: it is rejected once it exceeds the limit, and no backend receives the
/// complete request.
#[rstest]
#[case::before_an_attempt(1_000, 2_000)]
#[case::during_an_attempt(300_000, 400_000)]
fn a_chunked_body_over_the_limit_is_rejected(#[case] limit: usize, #[case] length: usize) {
    let (gateway, control, backends) = start_ready_gateway(2);
    control.publish(&limits(limit, 20_000));
    control.wait_until_synced();
    let mut client = gateway.connect();
    client.send(request("POST", "/once/", "t1") + "Transfer-Encoding: chunked\r\n\r\n");
    let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", "c".repeat(length));
    let first = if length > 300_000 { 280_000 } else { 0 };
    let mut backend = (first > 0).then(|| {
        client.send(chunk(first));
        let mut backend = backends.accept();
        backend.wait_for_bytes(first);
        backend
    });
    client.send(chunk(length - first));
    let response = client.receive();
    assert_eq!((response.status(), response.field("Connection")), (413, Some("close")));
    if let Some(backend) = &mut backend {
        assert!(backend.receive_or_end().is_none(), "backend received a complete request");
    }
    assert!(backends.has_no_pending_connection());
    // A body within the limit is forwarded.
    let mut client = gateway.connect();
    client.send(
        request("POST", "/once/", "t2") + "Transfer-Encoding: chunked\r\n\r\n" + &chunk(limit) + "0\r\n\r\n",
    );
    let mut backend = backends.accept();
    assert_eq!(backend.receive().body.len(), limit);
    backend.send(ok("t2", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

/// The request of a disconnected client is abandoned, and its late response must not reach the next client.
#[test]
fn a_response_to_a_disconnected_client_is_discarded() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    for n in 0..20 {
        let mut disconnected = gateway.connect();
        disconnected.send(get("/once/", &format!("gone{n}")));
        let mut abandoned = backends.accept();
        abandoned.receive();
        disconnected.reset();
        let started_at = Instant::now();
        assert!(
            abandoned.closes_without_data(),
            "the backend connection of the abandoned request stays open"
        );
        assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
        let mut client = gateway.connect();
        client.send(get("/once/", &format!("t{n}")));
        abandoned.try_send(ok(&format!("gone{n}"), "for a disconnected client"));
        let mut backend = backends.accept();
        assert_eq!(backend.receive().field("X-Try-Id"), Some(format!("t{n}").as_str()));
        backend.send(response(
            "200 OK",
            &format!("t{n}"),
            "X-Postmark: p\r\nConnection: close\r\n",
            "its own",
        ));
        assert_eq!(client.receive().body, b"its own");
        client.send("GET ");
        assert!(client.unparsed_input().is_empty());
    }
}

/// A reply to a usage report is valid only for the gateway incarnation that sent the report.
#[test]
fn a_grant_for_another_incarnation_is_ignored() {
    let (gateway, control, backends) = start_ready_gateway(1);
    control.wait_for_usage_totals();
    control.grant(1);
    let intercepted = control.intercept_grants();
    let mut client = gateway.connect();
    client.send(get("/once/", "t1").replace("key-of-town", "key-of-tiny"));
    let kitepass_coordination::protocol::Message::UsageTotals(reply) =
        intercepted.recv_timeout(TIMEOUT).expect("control process grants quota")
    else {
        panic!("not a grant");
    };
    let mut other_reply = reply.clone();
    other_reply.incarnation ^= 1;
    other_reply.tenants.iter_mut().for_each(|total| total.granted = 0);
    control.send(kitepass_coordination::protocol::Message::UsageTotals(other_reply));
    control.send(kitepass_coordination::protocol::Message::UsageTotals(reply));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t1", "granted"));
    assert_eq!(client.receive().body, b"granted");
}
