//! Clients that send many requests ahead, and long responses: neither may end the gateway, nor take much of its memory.

use crate::harness::{get, ok, start_ready_gateway, Peer};
use rstest::rstest;

/// Number of requests that a client sends without waiting for responses.
const REQUESTS_AHEAD: usize = 20_000;
/// Number of such requests where a backend executes each.
const EXECUTED_REQUESTS_AHEAD: usize = 2_000;
const MIB: usize = 1024 * 1024;
/// A client that does not read its responses can send less than this.
const MAX_BYTES_AHEAD: usize = 64 * MIB;
/// Length of a long response.
const LONG_RESPONSE_MIB: usize = 256;

/// Sends bytes while the peer's responses are received elsewhere.
fn send_ahead(client: &Peer, bytes: Vec<u8>) {
    let mut sender = client.duplicate();
    std::thread::spawn(move || sender.try_send(bytes));
}

/// Guards against a gateway that ends by a stack overflow, and loses the requests of other clients, because each rejection
/// reads the next request in a nested call (review/4).
#[rstest]
#[case::no_backend(get("/void/", "t1"), 503)]
#[case::no_time_left(get("/once/", "t1").replace("20000", "0"), 503)]
#[case::unknown_route(get("/none/", "t1"), 404)]
#[case::unknown_key(get("/once/", "t1").replace("key-of-town", "key-of-nobody"), 401)]
#[case::over_quota(get("/once/", "t1").replace("key-of-town", "key-of-tiny"), 429)]
fn requests_sent_ahead_are_rejected_one_after_another(#[case] request: String, #[case] status: u16) {
    let (gateway, control, backends) = start_ready_gateway(1);
    control.wait_for_usage_totals();
    control.grant(0);
    let mut other_client = gateway.connect();
    other_client.send(get("/once/", "t0"));
    let mut backend = backends.accept();
    backend.receive();
    let mut client = gateway.connect();
    // Different responses in turn, so that their order shows.
    let pair = request + &get("/void/", "t2").replace("X-Try-Id", "X-No-Id");
    send_ahead(&client, pair.repeat(REQUESTS_AHEAD / 2).into_bytes());
    for _ in 0..REQUESTS_AHEAD / 2 {
        assert_eq!([client.receive().status(), client.receive().status()], [status, 400]);
    }
    backend.send(ok("t0", "executed"));
    assert_eq!(other_client.receive().body, b"executed");
}

/// Guards against the same where a response ends a request and the next one follows.
#[test]
fn requests_sent_ahead_are_executed_one_after_another() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    let requests: String = (0..EXECUTED_REQUESTS_AHEAD).map(|n| get("/once/", &format!("t{n}"))).collect();
    send_ahead(&client, requests.into_bytes());
    let mut backend = backends.accept();
    for n in 0..EXECUTED_REQUESTS_AHEAD {
        let id = format!("t{n}");
        assert_eq!(backend.receive().field("X-Try-Id"), Some(&*id));
        backend.send(ok(&id, &id));
        assert_eq!(client.receive().body, id.as_bytes());
    }
}

/// Guards against a gateway whose memory grows with the responses to a client that sends requests and reads no response.
#[rstest]
#[case::no_backend(get("/void/", "t1"), 503)]
#[case::unknown_route(get("/none/", "t1"), 404)]
fn requests_are_not_read_while_the_client_reads_no_response(#[case] request: String, #[case] status: u16) {
    let (gateway, _control, _backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.limit_receive_buffer(64 * 1024);
    let sent = client.send_until_full(request.repeat(MAX_BYTES_AHEAD / request.len()).as_bytes());
    assert!(sent < MAX_BYTES_AHEAD / 2, "{sent} bytes were taken");
    for _ in 0..sent / request.len() {
        assert_eq!(client.receive().status(), status);
    }
    assert!(client.is_open());
}

/// Guards against a gateway that ends by a stack overflow because each part of a response that its client takes is followed
/// by the next one in a nested call (review/6).
#[test]
fn a_long_response_is_passed_on() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    let length = LONG_RESPONSE_MIB * MIB;
    let head =
        format!("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\nContent-Length: {length}\r\n\r\n");
    std::thread::spawn(move || {
        backend.try_send(head);
        let part = vec![b'x'; MIB];
        (0..LONG_RESPONSE_MIB).for_each(|_| backend.try_send(&part));
        backend.receive_or_end()
    });
    client.discard(length as u64);
    assert_eq!(gateway.connect().send(get("/void/", "t2")).receive().status(), 503);
}
