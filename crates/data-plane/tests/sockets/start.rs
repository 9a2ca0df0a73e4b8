//! Startup: until a complete configuration is active, requests are answered with 503 and `Retry-After`, never with a client
//! error.

use crate::harness::{
    change_request, get, ok, publish_configuration, request, start_unconfigured_gateway, Gateway, Peer,
    TestBackends,
};
use rustix::process::Signal;

/// Number of clients whose requests arrive together with the configuration.
const CLIENTS: usize = 8;

/// Asserts that the client receives a 503 response with `Retry-After`.
fn assert_not_ready(client: &mut Peer) {
    let response = client.receive();
    assert_eq!(response.status(), 503, "{}", response.head);
    assert!(response.field("Retry-After").is_some(), "{}", response.head);
}

/// Asserts that a request is forwarded to a backend and its response to the client.
fn assert_served(gateway: &Gateway, backends: &TestBackends, id: &str) {
    let mut client = gateway.connect();
    client.send(get("/once/", id));
    let mut backend = backends.accept();
    assert_eq!(backend.receive().field("X-Try-Id"), Some(id));
    backend.send(ok(id, ""));
    assert_eq!(client.receive().status(), 200);
}

/// The last configuration message and several requests are read in the same iteration of the event loop.
#[test]
fn requests_that_arrive_with_the_configuration_get_no_client_error() {
    let (gateway, control, backends) = start_unconfigured_gateway();
    control.wait_for_session();
    let mut clients: Vec<Peer> = (0..CLIENTS).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        client.send(get("/once/", "early"));
        assert_not_ready(client);
    }
    gateway.pause();
    publish_configuration(&control, &backends.addresses);
    for client in &mut clients {
        client.send(get("/void/", "at-once"));
    }
    gateway.signal(Signal::CONT);
    clients.iter_mut().for_each(assert_not_ready); // `/void/` has no backend, so 503 is expected with and without the configuration
    control.wait_until_synced();
    assert_served(&gateway, &backends, "late");
}

/// A further transfer starts after the first complete synchronization, before the gateway has activated the configuration.
#[test]
fn requests_before_the_first_complete_configuration_get_no_client_error() {
    let (gateway, control, backends) = start_unconfigured_gateway();
    control.wait_for_session();
    let mut client = gateway.connect();
    gateway.pause();
    publish_configuration(&control, &backends.addresses);
    let transferred = change_request(r#"{"withdraw":{"itineraries":[{"name":"other","edition":"r8"}]}}"#);
    control.send_transfer(&transferred);
    gateway.signal(Signal::CONT);
    control.wait_until_digest_differs();
    client.send(get("/once/", "early"));
    assert_not_ready(&mut client);
    assert_eq!(gateway.readiness(), 503);
    control.publish(&transferred);
    control.start_sync();
    control.wait_until_synced();
    assert_served(&gateway, &backends, "late");
}

/// The control process reports that it has no items, as no operator has published a configuration yet.
#[test]
fn requests_before_any_configuration_get_no_client_error() {
    let (gateway, control, backends) = start_unconfigured_gateway();
    control.start_sync();
    gateway.wait_for_log("event=synced");
    let mut client = gateway.connect();
    client.send(get("/once/", "early"));
    assert_not_ready(&mut client);
    assert_eq!(gateway.readiness(), 503);
    publish_configuration(&control, &backends.addresses);
    control.wait_until_synced();
    assert_served(&gateway, &backends, "late");
}

/// The maximum head size is known only from the configuration.
#[test]
fn long_heads_before_the_configuration_get_no_client_error() {
    let (gateway, _control, _backends) = start_unconfigured_gateway();
    let mut client = gateway.connect();
    client.send(request("GET", "/once/", "early") + "X-Long: " + &"a".repeat(60_000) + "\r\n\r\n");
    assert_not_ready(&mut client);
}
