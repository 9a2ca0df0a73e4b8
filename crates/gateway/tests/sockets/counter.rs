//! Calls to the shared counter.

use crate::harness::{
    backend_entry, ok_response, request_head, unused_address, Connection, Gateway, Options, StubServer, Watch,
};
use std::net::SocketAddr;
use std::time::SystemTime;

/// Sends a request of a plan whose quota share on this gateway allows one; less than one can be borrowed.
pub(crate) fn send_pooled_request(client: &mut Connection, trace: &str) {
    let head = request_head("look", trace).replace("team", "pooled");
    client.send(head.replace("spread=1", "spread=2") + "\r\n");
}

pub(crate) fn serve_next(client: &mut Connection, connection: &mut Connection) {
    connection.receive();
    connection.send(ok_response("fine"));
    let answer = client.receive();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"fine".as_slice()));
}

/// A gateway, a client of it and a connection to its backend, after the request that used up the local quota share: for
/// the next one the counter is called.
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
fn a_counter_that_is_down_costs_no_time() {
    let (_gateway, _watch, mut client, _line) = gateway_with_spent_quota(unused_address());
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
    // Its late answer is read, and is not taken for the answer to a later call.
    stalled.send(ok_response("999"));
    calls.send(ok_response("0.5"));
    serve_next(&mut client, &mut connection);
    // The old connection stays open for long, but no call waits for it.
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
    // No answer in time: the next call is pipelined, and the late answer is not taken for that call's.
    assert_eq!(calls.receive().head, call);
    calls.send(ok_response("999") + &ok_response("0.5"));
    serve_next(client, connection);
    // An invalid answer, or one without a number: the call fails, and the next one uses a new connection.
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
    let one = |trace| request_head("once", trace).replace("spread=1", "spread=2") + "\r\n";
    // A counter's name changes every 8 s of the wall clock, and a total under the previous name says nothing of what is
    // left now: all calls, which take about a second, must have the same name.
    let millis_into_window = || SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() % 8000;
    while millis_into_window() > 5000 {
        client.send("GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n").receive();
    }
    let (mut connection, mut calls, mut names) = (None, None, Vec::new());
    // Each call is sent half of the call's time-out after the one before.
    for trace in ["t1", "t2", "t3"] {
        client.send(one(trace));
        serve_next(&mut client, connection.get_or_insert_with(|| backend_stub.accept()));
        let call = calls.get_or_insert_with(|| counter.accept()).receive().head;
        assert!(call.contains("/counters/00000000b4d65521."), "{call}");
        names.push(call.split('?').next().unwrap().to_owned());
    }
    assert!(names.iter().all(|name| *name == names[0]), "not one sum: {names:?}");
    // The other gateways' usage leaves nothing of the quota.
    calls.unwrap().send(ok_response("900000000000000"));
    assert_eq!(client.send(one("t4")).receive().status(), 429);
}
