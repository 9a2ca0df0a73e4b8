//! A gateway that has just started: until a whole configuration is in force, every request is told to come again, and none that the
//! configuration allows is rejected as wrong.

use crate::harness::{change_request, get, ok, publish_all, request, waiting, Gateway, Peer, TestBackends};
use rustix::process::Signal;

/// Clients whose requests come at the same moment as the configuration.
const CLIENTS: usize = 8;

/// Asserts that a client is told to come again with its request.
fn assert_not_ready(client: &mut Peer) {
    let answer = client.receive();
    assert_eq!(answer.status(), 503, "{}", answer.head);
    assert!(answer.field("Retry-After").is_some(), "{}", answer.head);
}

/// Asserts that a request is passed to a backend, and its response to the client.
fn assert_served(gateway: &Gateway, backends: &TestBackends, id: &str) {
    let mut client = gateway.connect();
    client.send(get("/once/", id));
    let mut backend = backends.accept();
    assert_eq!(backend.receive().field("X-Try-Id"), Some(id));
    backend.send(ok(id, ""));
    assert_eq!(client.receive().status(), 200);
}

/// The last message of the configuration and requests wait in the sockets at once, and are read in one turn of the event loop.
#[test]
fn requests_that_come_together_with_the_configuration_are_not_rejected_as_wrong() {
    let (gateway, control, backends) = waiting();
    control.wait_for_session();
    let mut clients: Vec<Peer> = (0..CLIENTS).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        client.send(get("/once/", "early"));
        assert_not_ready(client);
    }
    gateway.stop();
    publish_all(&control, &backends.addresses);
    for client in &mut clients {
        client.send(get("/void/", "at-once"));
    }
    gateway.signal(Signal::CONT);
    clients.iter_mut().for_each(assert_not_ready); // `/void/` has no backend, so 503 is right before and after
    control.wait_until_synced();
    assert_served(&gateway, &backends, "late");
}

/// The control process has told all that it holds, and reads more itself before the gateway has acted on it.
#[test]
fn requests_before_the_first_whole_configuration_are_not_rejected_as_wrong() {
    let (gateway, control, backends) = waiting();
    control.wait_for_session();
    let mut client = gateway.connect();
    gateway.stop();
    publish_all(&control, &backends.addresses);
    let transferred = change_request(r#"{"withdraw":{"itineraries":[{"name":"other","edition":"r8"}]}}"#);
    control.send_transfer(&transferred);
    gateway.signal(Signal::CONT);
    control.wait_until_different();
    client.send(get("/once/", "early"));
    assert_not_ready(&mut client);
    assert_eq!(gateway.readiness(), 503);
    control.publish(&transferred);
    control.open();
    control.wait_until_synced();
    assert_served(&gateway, &backends, "late");
}

/// A control process that no operator has given a configuration yet tells that it holds nothing.
#[test]
fn requests_before_any_configuration_are_not_rejected_as_wrong() {
    let (gateway, control, backends) = waiting();
    control.open();
    gateway.wait_for_log("event=synced");
    let mut client = gateway.connect();
    client.send(get("/once/", "early"));
    assert_not_ready(&mut client);
    assert_eq!(gateway.readiness(), 503);
    publish_all(&control, &backends.addresses);
    control.wait_until_synced();
    assert_served(&gateway, &backends, "late");
}

/// How long a head may be is known only from the configuration.
#[test]
fn long_heads_before_the_configuration_are_not_rejected_as_wrong() {
    let (gateway, _control, _backends) = waiting();
    let mut client = gateway.connect();
    client.send(request("GET", "/once/", "early") + "X-Long: " + &"a".repeat(60_000) + "\r\n\r\n");
    assert_not_ready(&mut client);
}
