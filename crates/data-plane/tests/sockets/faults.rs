//! Faults of connections and backends during an attempt.

use crate::harness::{answer, change_request, get, ok, request, serving, TIMEOUT};
use rstest::rstest;
use rustix::process::Signal;
use std::time::{Duration, Instant};

fn limits(body: usize, idle_ms: u32) -> Vec<kitepass_config::Item> {
    change_request(&format!(
        r#"{{"deliver":{{"weight-limits":{{"envelope-bytes":4096,"body-bytes":{body},"envelope-ms":20000,
            "idle-ms":{idle_ms},"edition":"r6"}}}}}}"#
    ))
}

/// A second response to a request comes late, when the connection carries the next request.
#[rstest]
#[case::short(10)]
#[case::long(1 << 20)]
fn a_late_surplus_response_in_place_of_the_next_one_is_dropped(#[case] length: usize) {
    let (gateway, _control, backends) = serving(1);
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
        scope.spawn(move || backend.send(ok("t1", &"x".repeat(length)) + &ok("t2", "two")).number);
        let answer = client.receive();
        assert_eq!((answer.field("X-Postmark"), &answer.body[..]), (Some("stamp.t2"), &b"two"[..]));
    });
    // The connection is still in use.
    client.send(get("/once/", "t3"));
    assert_eq!(backend.receive().field("X-Try-Id"), Some("t3"));
    backend.send(ok("t3", "three"));
    assert_eq!(client.receive().body, b"three");
    assert!(backends.is_untouched());
}

/// A request of which no byte was sent is retried, one that the backend has read is not.
#[rstest]
#[case::with_the_request("502")]
#[case::reset_as_it_is_taken("reset")]
#[case::ended_as_it_is_taken("ended")]
fn an_idle_connection_that_breaks(#[case] how: &str) {
    let (gateway, _control, backends) = serving(1);
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
        let answer = client.receive();
        assert_eq!((answer.status(), answer.field("Retry-After")), (502, None));
    } else {
        // Both stand in the gateway's sockets when it goes on, the request first.
        gateway.stop();
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
    assert!(backends.is_untouched());
}

/// A response before a reset counts: it says that the request was not executed.
#[rstest]
#[case::all_read(100_000, true)]
#[case::hardly_read(200_000, false)]
fn a_request_rejected_before_its_body_was_read_is_sent_to_another_backend(
    #[case] length: usize,
    #[case] reads: bool,
) {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    let body = "b".repeat(length);
    client.send(request("POST", "/once/x", "t1") + &format!("Content-Length: {length}\r\n\r\n{body}"));
    let mut backend = backends.accept();
    if reads {
        backend.receive();
    } else {
        backend.wait_for_bytes(1);
    }
    backend.send(answer("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
    backend.reset();
    let mut backend = backends.accept();
    let forwarded = backend.receive();
    assert_eq!((backend.number, forwarded.field("X-Try-Id")), (1, Some("t1")));
    assert!(forwarded.body == body.as_bytes(), "{} bytes, or others", forwarded.body.len());
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

/// The same with a body longer than the sockets take: the connection breaks while it is written to. Nothing of the body
/// is left for a retry; the client learns that it was not executed, and may send the rest before that.
#[test]
fn a_request_rejected_while_its_body_is_written_is_left_to_the_client_to_retry() {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    let length = 24 << 20;
    let mut handle = client.handle();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let head = request("POST", "/once/x", "t1") + &format!("Content-Length: {length}\r\n\r\n");
            handle.send(head).send("b".repeat(length));
        });
        let mut backend = backends.accept();
        backend.wait_for_bytes(1);
        backend.send(answer("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
        backend.reset();
        let answer = client.receive();
        assert_eq!((answer.status(), answer.field("Connection")), (503, Some("close")));
        assert!(answer.field("Retry-After").is_some(), "{}", answer.head);
    });
    assert!(client.is_closed() && backends.is_untouched());
}

/// A body without a length is complete where the connection ends in order, and not where it breaks.
#[rstest]
#[case::in_order(true)]
#[case::breaks(false)]
fn a_body_that_ends_with_the_connection(#[case] ends_in_order: bool) {
    let (gateway, _control, backends) = serving(1);
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

/// An attempt without a response: an idempotent request is retried in time where it is buffered in full and another
/// backend can take it; else the attempt goes on, as a backend at work is not given up for nothing.
#[test]
fn an_overdue_attempt_is_abandoned_only_where_another_can_be_made() {
    let (gateway, _control, backends) = serving(2);
    let mut clients = [gateway.connect(), gateway.connect(), gateway.connect()];
    let length = 1 << 20;
    let long = format!("Content-Length: {length}\r\n\r\n{}", "b".repeat(length));
    let mut handle = clients[0].handle();
    let mut kept = std::thread::scope(|scope| {
        scope.spawn(|| handle.send(request("POST", "/safe/", "t0") + &long).number);
        let mut kept = backends.accept();
        assert_eq!(kept.receive().body.len(), length);
        kept
    });
    clients[1].send(get("/once/", "t1"));
    let mut once = backends.accept();
    once.receive();
    clients[2].send(get("/safe/", "t2"));
    let mut left = backends.accept();
    left.receive();
    // It becomes overdue after the first two would have.
    let mut other = backends.accept();
    assert_eq!((other.receive().field("X-Try-Id"), other.number), (Some("t2"), 1));
    assert!(left.is_closed());
    for (backend, id) in [(&mut other, "t2"), (&mut once, "t1"), (&mut kept, "t0")] {
        backend.send(ok(id, id));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.receive().body, format!("t{n}").as_bytes());
    }
    assert!(backends.is_untouched());
}

/// Without another backend an idempotent request stays with the unresponsive one, too.
#[test]
fn an_overdue_attempt_is_not_abandoned_without_another_backend() {
    let (gateway, control, backends) = serving(1);
    control.publish(&limits(1 << 20, 100));
    control.wait_until_synced();
    let (mut safe, mut once) = (gateway.connect(), gateway.connect());
    safe.send(get("/safe/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    once.send(get("/once/", "t2").replace("20000", "1500"));
    let mut other = backends.accept();
    other.receive();
    // The deadline of the second is past the time at which the first would be overdue, and past four times the idle time.
    assert_eq!(once.receive().status(), 504);
    backend.send(ok("t1", "late"));
    assert_eq!(safe.receive().body, b"late");
    assert!(backends.is_untouched());
}

/// An unresponsive backend, then SIGTERM: no response of the gateway's own, no retry, and an exit in time.
#[test]
fn at_the_end_of_the_grace_period_requests_in_flight_are_aborted_without_a_response() {
    let (mut gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    gateway.signal(Signal::TERM);
    assert!(client.is_closed(), "{:?}", String::from_utf8_lossy(client.unparsed()));
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert!(backend.is_closed() && backends.is_untouched());
}

/// The length of a chunked body is known as it comes: beyond the limit it is rejected, and no backend gets all of it.
#[rstest]
#[case::before_an_attempt(1_000, 2_000)]
#[case::during_an_attempt(300_000, 400_000)]
fn a_chunked_body_over_the_limit_is_rejected(#[case] limit: usize, #[case] length: usize) {
    let (gateway, control, backends) = serving(2);
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
    let answer = client.receive();
    assert_eq!((answer.status(), answer.field("Connection")), (413, Some("close")));
    if let Some(backend) = &mut backend {
        assert!(backend.receive_or_end().is_none(), "a whole request");
    }
    assert!(backends.is_untouched());
    // One within the limit is forwarded.
    let mut client = gateway.connect();
    client.send(
        request("POST", "/once/", "t2") + "Transfer-Encoding: chunked\r\n\r\n" + &chunk(limit) + "0\r\n\r\n",
    );
    let mut backend = backends.accept();
    assert_eq!(backend.receive().body.len(), limit);
    backend.send(ok("t2", "fine"));
    assert_eq!(client.receive().body, b"fine");
}

/// The request of a client that is gone is abandoned: the next client gets its own response only.
#[test]
fn a_response_to_a_client_that_is_gone_is_dropped() {
    let (gateway, _control, backends) = serving(1);
    for n in 0..20 {
        let mut gone = gateway.connect();
        gone.send(get("/once/", &format!("gone{n}")));
        let mut held = backends.accept();
        held.receive();
        gone.reset();
        let begun = Instant::now();
        assert!(held.is_closed(), "a backend is at work for nobody");
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
        let mut client = gateway.connect();
        client.send(get("/once/", &format!("t{n}")));
        held.try_send(ok(&format!("gone{n}"), "of one that is gone"));
        let mut backend = backends.accept();
        assert_eq!(backend.receive().field("X-Try-Id"), Some(format!("t{n}").as_str()));
        backend.send(answer("200 OK", &format!("t{n}"), "X-Postmark: p\r\nConnection: close\r\n", "its own"));
        assert_eq!(client.receive().body, b"its own");
        client.send("GET ");
        assert!(client.unparsed().is_empty());
    }
}

/// An answer of the shared count is for one incarnation of one gateway.
#[test]
fn a_grant_for_another_incarnation_is_ignored() {
    let (gateway, control, backends) = serving(1);
    control.wait_until_counted();
    control.grant(1);
    let held = control.hold_back_grants();
    let mut client = gateway.connect();
    client.send(get("/once/", "t1").replace("key-of-town", "key-of-tiny"));
    let kitepass_coordination::protocol::Message::UsageTotals(own) =
        held.recv_timeout(TIMEOUT).expect("a grant")
    else {
        panic!("no grant");
    };
    let mut other = own.clone();
    other.incarnation ^= 1;
    other.tenants.iter_mut().for_each(|total| total.granted = 0);
    control.send(kitepass_coordination::protocol::Message::UsageTotals(other));
    control.send(kitepass_coordination::protocol::Message::UsageTotals(own));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t1", "granted"));
    assert_eq!(client.receive().body, b"granted");
}
