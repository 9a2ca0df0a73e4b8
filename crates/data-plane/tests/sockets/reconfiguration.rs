//! Changes at runtime: configuration, settings and shutdown.

use crate::harness::{
    backend_item, change_request, get, ok, publish_configuration, response, start_ready_gateway,
    start_unconfigured_gateway,
};
use rstest::rstest;
use rustix::process::Signal;

#[test]
fn the_gateway_is_ready_once_it_has_synchronized() {
    let (gateway, control, backends) = start_unconfigured_gateway();
    assert_eq!(gateway.readiness(), 503);
    let response = gateway.connect().send(get("/once/", "t1")).receive();
    assert!(response.status() == 503 && response.field("Retry-After").is_some(), "{}", response.head);
    publish_configuration(&control, &backends.addresses);
    control.wait_until_synced();
    assert_eq!(gateway.readiness(), 200);
    let mut client = gateway.connect();
    client.send(get("/once/", "t2"));
    assert_eq!(backends.accept().receive().field("X-Try-Id"), Some("t2"));
}

#[test]
fn the_highest_version_of_an_item_applies_from_the_next_request_on() {
    let (gateway, control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    let mut assert_routed_to = |id: &str, backend_id: &str| {
        client.send(get("/once/", id));
        let mut backend = backends.accept();
        assert_eq!(backend.receive().field("X-Deliver-To"), Some(backend_id));
        backend.send(response("200 OK", id, "X-Postmark: p\r\nConnection: close\r\n", ""));
        assert_eq!(client.receive().status(), 200);
    };
    assert_routed_to("t1", "b0");
    let route = |version: &str, backend: &str| {
        let text = r#"{"deliver":{"itineraries":{"headings":["name","depot","lane-prefix","mail-kind","deadline-ms","line","edition"],
            "entries":[["once","h.example","/once/","unsafe",60000,"LINE","EDITION"]]}}}"#;
        change_request(&text.replace("LINE", backend).replace("EDITION", version))
    };
    control.publish(
        &[route("r8", "loans"), vec![backend_item("l0", "loans", backends.addresses[1], "far")]].concat(),
    );
    control.wait_until_synced();
    assert_routed_to("t2", "l0");
    // An older version arrives later. The item published with it shows that the message was received.
    let removal = change_request(r#"{"withdraw":{"itineraries":[{"name":"free","edition":"r6"}]}}"#);
    control.publish(&[route("r7", "books"), removal].concat());
    control.wait_until_synced();
    assert_routed_to("t3", "l0");
    assert_eq!(client.send(get("/free/", "t4")).receive().status(), 404);
}

/// A change that replaces a route is sent in two messages. Between them the gateway keeps the previous configuration; with
/// only the first message applied, the path would have no route.
#[test]
fn a_change_in_several_messages_is_activated_with_the_last() {
    let (gateway, control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    let mut assert_served = |id: &str| {
        client.send(get("/once/", id));
        let mut backend = backends.accept();
        backend.receive();
        backend.send(response("200 OK", id, "X-Postmark: p\r\nConnection: close\r\n", ""));
        assert_eq!(client.receive().status(), 200, "{id}");
    };
    assert_served("t1");
    let removal = change_request(r#"{"withdraw":{"itineraries":[{"name":"once","edition":"r8"}]}}"#);
    control.publish_first_part(&removal);
    assert_served("t2");
    let replacement = change_request(
        r#"{"deliver":{"itineraries":{"headings":["name","depot","lane-prefix","mail-kind","deadline-ms","line","edition"],
            "entries":[["twice","h.example","/once/","unsafe",60000,"books","r8"]]}}}"#,
    );
    control.publish(&[removal, replacement].concat());
    control.wait_until_synced();
    assert_served("t3");
    let second_removal = change_request(r#"{"withdraw":{"itineraries":[{"name":"twice","edition":"r9"}]}}"#);
    control.publish(&second_removal);
    control.wait_until_synced();
    assert_eq!(client.send(get("/once/", "t4")).receive().status(), 404);
}

#[rstest]
#[case::with_a_signal(true)]
#[case::without(false)]
fn changed_settings_are_applied_and_no_request_is_lost(#[case] signal: bool) {
    let (gateway, _control, backends) = start_ready_gateway(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    gateway.replace_in_settings("retry-margin = 60", "retry-margin = 0\nretry-ratio = 0");
    if signal {
        gateway.signal(Signal::HUP);
    }
    gateway.wait_for_log("event=settings");
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
    // With the new settings the retry budget is empty.
    client.send(get("/safe/", "t2"));
    backend.receive();
    backend.close();
    assert_eq!(client.receive().status(), 502);
    assert!(backends.has_no_pending_connection());
}

#[test]
fn at_sigterm_it_finishes_requests_accepts_late_ones_and_exits() {
    let (mut gateway, _control, backends) = start_ready_gateway(1);
    let mut first = gateway.connect();
    first.send(get("/once/", "t1"));
    let mut first_backend = backends.accept();
    first_backend.receive();
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("event=leaving");
    assert_eq!(gateway.readiness(), 503);
    let mut late = gateway.connect();
    late.send(get("/once/", "t2"));
    let mut late_backend = backends.accept();
    late_backend.receive();
    late_backend.send(ok("t2", "late"));
    for (client, id) in [(&mut late, "late"), (&mut first, "first")] {
        if id == "first" {
            first_backend.send(ok("t1", id));
        }
        let response = client.receive();
        assert_eq!((response.status(), response.field("Connection")), (200, Some("close")));
        assert!(response.body == id.as_bytes() && client.closes_without_data());
    }
    assert_eq!(gateway.wait_for_exit(), Some(0));
}
