//! Tests of calls to the counter service.

use crate::harness::{
    backend_entry, ok_response, request_head, unused_address, Connection, Gateway, Options, StubServer, Watch,
};
use std::net::SocketAddr;
use std::time::SystemTime;

/// Sends a request of a plan whose quota on this gateway is enough for one request; the quota that can be borrowed is
/// not enough for another.
pub(crate) fn send_pooled_request(client: &mut Connection, trace: &str) {
    let head = request_head("look", trace).replace("team", "pooled");
    client.send(head.replace("spread=1", "spread=2") + "\r\n");
}

/// Answers the next attempt on a backend's connection, and checks the response to the client.
pub(crate) fn serve_next(client: &mut Connection, connection: &mut Connection) {
    connection.receive();
    connection.send(ok_response("fine"));
    let response = client.receive();
    assert_eq!((response.status(), response.body.as_slice()), (200, b"fine".as_slice()));
}

/// A gateway, a client of it and a connection to its backend, after a request that used up the gateway's part of the
/// quota. The next request causes a call to the counter service.
pub(crate) fn gateway_with_spent_quota(counter: SocketAddr) -> (Gateway, Watch, Connection, Connection) {
    gateway_with_spent_quota_from(&Options { counter: Some(counter), ..Options::default() })
}

fn gateway_with_spent_quota_from(options: &Options) -> (Gateway, Watch, Connection, Connection) {
    let backend_stub = StubServer::open();
    let (gateway, watch) =
        Gateway::start_ready(options, &[backend_entry("b1", backend_stub.address, "ready")]);
    let mut client = gateway.connect();
    send_pooled_request(&mut client, "t1");
    let mut connection = backend_stub.accept();
    serve_next(&mut client, &mut connection);
    (gateway, watch, client, connection)
}

#[test]
fn an_unreachable_counter_does_not_delay_the_response() {
    let (_gateway, _watch, mut client, _connection) = gateway_with_spent_quota(unused_address());
    send_pooled_request(&mut client, "t2");
    assert_eq!(client.receive().status(), 429);
}

#[test]
fn a_counter_that_does_not_answer_is_called_over_a_new_connection() {
    let counter = StubServer::open();
    let (_gateway, _watch, mut client, mut connection) = gateway_with_spent_quota(counter.address);
    send_pooled_request(&mut client, "t2");
    let mut silent = counter.accept();
    silent.receive();
    let mut calls = counter.accept();
    calls.receive();
    calls.send(ok_response("0.5"));
    serve_next(&mut client, &mut connection);
    while silent.receive_or_end().is_some() {}
}

#[test]
fn a_stalled_counter_connection_is_replaced_long_before_the_connect_timeout() {
    let counter = StubServer::open();
    let options = Options {
        counter: Some(counter.address),
        connect_timeout: 8.0,
        counter_timeout: 0.05,
        ..Options::default()
    };
    let (_gateway, _watch, mut client, mut connection) = gateway_with_spent_quota_from(&options);
    send_pooled_request(&mut client, "t2");
    let mut stalled = counter.accept();
    stalled.receive();
    let mut calls = counter.accept();
    calls.receive();
    // The late response is read, and is not matched to a later call.
    stalled.send(ok_response("999"));
    calls.send(ok_response("0.5"));
    serve_next(&mut client, &mut connection);
    // The old connection stays open, but no call waits for it.
    send_pooled_request(&mut client, "t3");
    calls.receive();
    assert_eq!(client.receive().status(), 429);
}

#[test]
fn counter_calls_are_pipelined_and_late_answers_match_their_call() {
    let counter = StubServer::open();
    let (_gateway, _watch, mut client, mut connection) = gateway_with_spent_quota(counter.address);
    let (client, connection) = (&mut client, &mut connection);
    send_pooled_request(client, "t2");
    let calls = &mut counter.accept();
    let call = calls.receive().head;
    assert!(
        call.starts_with("POST /counters/00000000b4d65521/.") && call.contains("?by=1&expire_ms="),
        "{call}"
    );
    // The first call times out: the next call is pipelined, and the late response is not matched to it.
    assert_eq!(calls.receive().head, call);
    calls.send(ok_response("999") + &ok_response("0.5"));
    serve_next(client, connection);
    // After an invalid response or one without a number, the call fails, and the next one uses a new connection.
    send_pooled_request(client, "t3");
    calls.receive();
    calls.send("nonsense\r\n\r\n");
    assert!(calls.ends_without_data());
    let mut calls = counter.accept();
    calls.receive();
    calls.send(ok_response("many"));
    assert!(calls.ends_without_data());
    let mut calls = counter.accept();
    calls.receive();
    calls.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    calls.receive();
    calls.send(ok_response("999"));
    assert_eq!(client.receive().status(), 429);
}

#[test]
fn a_late_total_still_reports_the_usage_of_others() {
    let (counter, backend_stub) = (StubServer::open(), StubServer::open());
    let options = Options { counter: Some(counter.address), connect_timeout: 8.0, ..Options::default() };
    let (gateway, _watch) =
        Gateway::start_ready(&options, &[backend_entry("b1", backend_stub.address, "ready")]);
    let mut client = gateway.connect();
    let single_request = |trace| request_head("once", trace).replace("spread=1", "spread=2") + "\r\n";
    // The name of a sum changes every 8 s of the wall clock, and a total under the previous name does not apply to the
    // current window. So all calls, which take about a second, must be within one window.
    let millis_into_window = || SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() % 8000;
    while millis_into_window() > 5000 {
        client.send("GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n").receive();
    }
    let (mut connection, mut calls, mut names) = (None, None, Vec::new());
    // Each call is sent half a call time-out after the previous one.
    for trace in ["t1", "t2", "t3"] {
        client.send(single_request(trace));
        serve_next(&mut client, connection.get_or_insert_with(|| backend_stub.accept()));
        let call = calls.get_or_insert_with(|| counter.accept()).receive().head;
        assert!(call.contains("/counters/00000000b4d65521."), "{call}");
        names.push(call.split('?').next().unwrap().to_owned());
    }
    assert!(names.iter().all(|name| *name == names[0]), "the calls have different names: {names:?}");
    // The usage of the other gateways uses up the quota.
    calls.unwrap().send(ok_response("900000000000000"));
    assert_eq!(client.send(single_request("t4")).receive().status(), 429);
}
