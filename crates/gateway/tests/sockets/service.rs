//! Tests that misbehaving clients and backends do not affect the others.

use crate::harness::{backend_entry, ok_response, request_head, Connection};
use crate::{serve_request, start_gateway, start_gateway_with_backends};
use std::time::Instant;

/// Whether the gateway closes the connection within its time-outs; data before the close is ignored.
fn ends_before_timeout(connection: &mut Connection, started: Instant) -> bool {
    while connection.receive_or_end().is_some() {}
    started.elapsed().as_millis() < 3000
}

#[test]
fn silent_and_slow_clients_are_closed_in_time_while_others_are_served() {
    let (gateway, _watch, backend_stub) = start_gateway(128);
    let started = Instant::now();
    let mut silent: Vec<_> = (0..40).map(|_| gateway.connect()).collect();
    let (mut half_sent, mut slow) = (gateway.connect(), gateway.connect());
    half_sent.send("POST /door/00000000b4d65521 HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    slow.send("GET /look/00000000b4d65521 HTTP/1.1\r\nX-A: ");
    let mut active = gateway.connect();
    let mut connection = serve_request(&mut active, &backend_stub, "t1");
    // Byte by byte while the connection is open: single bytes arrive often, but the head is never complete.
    let mut left = 8000;
    while started.elapsed().as_millis() < 2800 {
        left -= i32::from(left > 0 && slow.try_send("a")); // below the limit for a head
        active.send(request_head("once", "t2").replace("units=1", "units=0.001") + "\r\n");
        connection.receive();
        connection.send(ok_response("fine"));
        assert_eq!(active.receive().body, b"fine");
    }
    assert_eq!((slow.receive().status(), half_sent.receive().status()), (408, 408));
    assert!(started.elapsed().as_millis() < 3000);
    for connection in silent.iter_mut().chain([&mut half_sent]) {
        assert!(ends_before_timeout(connection, started));
    }
    // A client that is idle after its requests is closed as well, but later.
    assert!(active.ends_without_data());
}

#[test]
fn a_body_too_large_is_not_read_and_hundreds_of_pipelined_bad_requests_are_all_answered() {
    let (gateway, _watch, backend_stub) = start_gateway(128);
    let mut oversized = gateway.connect();
    oversized.send(request_head("door", "t1") + "Idempotency-Key: k\r\nContent-Length: 60000000\r\n\r\n");
    let piece = vec![b'a'; 1 << 16];
    let started = Instant::now();
    let mut sent = 0;
    while sent < 60_000_000 && oversized.try_send(&piece) {
        sent += piece.len();
    }
    assert!(sent < 60_000_000 && started.elapsed().as_millis() < 3000, "{sent}");
    let mut pipelined = gateway.connect();
    pipelined.send((request_head("look", "t2").replace("units=1", "units=9") + "\r\n").repeat(300));
    serve_request(&mut gateway.connect(), &backend_stub, "t3");
    assert!((0..300).all(|_| pipelined.receive().status() == 400));
    assert!(backend_stub.has_no_connection());
}

#[test]
fn the_longest_idle_clients_are_closed_and_none_that_was_just_accepted() {
    let (gateway, _watch, backend_stub) = start_gateway_with_backends(96, 12);
    // A third of the descriptors is for clients, and one of these is kept free.
    let connect_idle = |_| {
        let mut connection = gateway.connect();
        connection.send("GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n").receive();
        connection
    };
    let mut idle_clients: Vec<_> = (0..31).map(connect_idle).collect();
    // All of these connect before any of them sends a byte.
    let mut active: Vec<_> = (0..5).map(|_| gateway.connect()).collect();
    for connection in &mut idle_clients[..4] {
        assert!(connection.ends_without_data());
    }
    for (n, client) in active.iter_mut().enumerate() {
        serve_request(client, &backend_stub, &format!("t{n}")).shutdown_write();
    }
}

#[test]
fn a_trace_id_that_is_open_elsewhere_is_rejected_and_the_open_request_continues() {
    let (gateway, _watch, backend_stub) = start_gateway_with_backends(128, 12);
    let (mut first, mut other) = (gateway.connect(), gateway.connect());
    first.send(request_head("once", "t1") + "\r\n");
    let mut connection = backend_stub.accept();
    connection.receive();
    assert_eq!(other.send(request_head("look", "t1") + "\r\n").receive().status(), 400);
    connection.send(ok_response("fine"));
    assert_eq!(first.receive().body, b"fine");
    // The trace id can be used again, also if its last client has disconnected without a response.
    other.send(request_head("once", "t1") + "\r\n");
    connection.receive();
    drop(other);
    let mut again = gateway.connect();
    again.send(request_head("once", "t1") + "\r\n");
    let mut connection = backend_stub.accept();
    connection.receive();
    connection.send(ok_response("fine"));
    assert_eq!(again.receive().body, b"fine");
}

#[test]
fn an_incomplete_answer_is_abandoned_well_before_the_requests_deadline() {
    let (gateway, _watch, backend_stub) = start_gateway_with_backends(128, 12);
    let interim = "HTTP/1.1 103 Early\r\n\r\n".repeat(9) + &ok_response("late");
    for response in
        ["\u{1}\u{2}noise", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 2", &interim]
    {
        let (mut client, started) = (gateway.connect(), Instant::now());
        client.send(request_head("once", "t1") + "\r\n");
        let mut connection = backend_stub.accept();
        connection.receive();
        connection.send(response);
        assert_eq!(client.receive().status(), 502, "{response}");
        assert!(connection.ends_without_data() && started.elapsed().as_millis() < 2000, "{response}");
    }
    // Bytes after a valid response close the connection, and do not affect the response.
    let mut client = gateway.connect();
    client.send(request_head("once", "t2") + "\r\n");
    let mut connection = backend_stub.accept();
    connection.receive();
    connection.send(ok_response("fine") + &ok_response("fine"));
    assert_eq!(client.receive().body, b"fine");
    assert!(connection.ends_without_data());
    let mut connection = serve_request(&mut client, &backend_stub, "t3");
    connection.send("noise"); // while the connection is idle
    serve_request(&mut client, &backend_stub, "t4");
}

#[test]
fn replaced_backends_and_clients_leak_no_descriptors() {
    let (gateway, mut watch, backend_stub) = start_gateway(128);
    let mut last = serve_request(&mut gateway.connect(), &backend_stub, "t");
    let before = gateway.descriptors();
    for n in 0..200 {
        // A new backend has the address of the removed one, and must not get a connection of the removed one.
        watch.send_list(10 + n, true, &[backend_entry(&format!("n{n}"), backend_stub.address, "ready")]);
        assert!(last.ends_without_data());
        let mut client = gateway.connect();
        // Not idempotent: on a slow machine, a request of another class would be cancelled and retried on a
        // connection that the test does not serve.
        client.send(request_head("once", "t").replace("b4d65521", &format!("{n:08x}")) + "\r\n");
        last = backend_stub.accept();
        last.receive();
        last.send(ok_response("fine"));
        assert_eq!(client.receive().body, b"fine");
    }
    // The gateway may not have noticed yet that the last clients disconnected.
    gateway.wait_until(200);
    assert!(gateway.descriptors() <= before + 4, "{} after {before}", gateway.descriptors());
}

#[test]
fn replaced_connections_leak_no_memory() {
    let (gateway, mut watch, backend_stub) = start_gateway(128);
    let large = "a".repeat(60_000);
    let mut round = |n: u64| {
        watch.send_list(10 + n, true, &[backend_entry(&format!("n{n}"), backend_stub.address, "ready")]);
        let mut client = gateway.connect();
        let head = request_head("once", &format!("t{n}")) + "Content-Length: 60000\r\n\r\n" + &large;
        client.send(head);
        let mut connection = backend_stub.accept();
        assert_eq!(connection.receive().body.len(), 60_000);
        connection.send(ok_response(&large));
        assert_eq!(client.receive().body.len(), 60_000);
        // Also incomplete requests: half a body, and a head without an end.
        gateway
            .connect()
            .send(request_head("door", "h") + "Content-Length: 60000\r\n\r\n" + &large[..30_000]);
        gateway.connect().send(request_head("look", "h") + "X-Long: " + &large[..15_000]);
    };
    (0..40).for_each(&mut round);
    gateway.wait_until(200);
    let before = gateway.memory_kb();
    (40..240).for_each(&mut round);
    gateway.wait_until(200);
    // 24 MB were sent in both directions; the growth must be less than a tenth of a body for each round.
    assert!(gateway.memory_kb() <= before + 1000, "{} after {before}", gateway.memory_kb());
}
