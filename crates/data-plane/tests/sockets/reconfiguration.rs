//! What changes while the program runs: its configuration, its settings, its shutdown.

use crate::harness::{answer, backend_item, change_request, get, ok, publish_all, serving, waiting};
use rstest::rstest;
use rustix::process::Signal;

#[test]
fn it_is_ready_once_it_has_synchronized() {
    let (gateway, control, backends) = waiting();
    assert_eq!(gateway.readiness(), 503);
    let answer = gateway.connect().send(get("/once/", "t1")).receive();
    assert!(answer.status() == 503 && answer.field("Retry-After").is_some(), "{}", answer.head);
    publish_all(&control, &backends.addresses);
    control.wait_until_synced();
    assert_eq!(gateway.readiness(), 200);
    let mut client = gateway.connect();
    client.send(get("/once/", "t2"));
    assert_eq!(backends.accept().receive().field("X-Try-Id"), Some("t2"));
}

#[test]
fn the_highest_version_of_an_item_applies_from_the_next_request_on() {
    let (gateway, control, backends) = serving(2);
    let mut client = gateway.connect();
    let mut goes_to = |id: &str, call_sign: &str| {
        client.send(get("/once/", id));
        let mut backend = backends.accept();
        assert_eq!(backend.receive().field("X-Deliver-To"), Some(call_sign));
        backend.send(answer("200 OK", id, "X-Postmark: p\r\nConnection: close\r\n", ""));
        assert_eq!(client.receive().status(), 200);
    };
    goes_to("t1", "b0");
    let route = |version: &str, backend: &str| {
        let text = r#"{"deliver":{"itineraries":{"headings":["name","depot","lane-prefix","mail-kind","deadline-ms","line","edition"],
            "entries":[["once","h.example","/once/","unsafe",60000,"LINE","EDITION"]]}}}"#;
        change_request(&text.replace("LINE", backend).replace("EDITION", version))
    };
    control.publish(
        &[route("r8", "loans"), vec![backend_item("l0", "loans", backends.addresses[1], "far")]].concat(),
    );
    control.wait_until_synced();
    goes_to("t2", "l0");
    // An older version comes later. The other item that comes with it shows that it was received.
    let gone = change_request(r#"{"withdraw":{"itineraries":[{"name":"free","edition":"r6"}]}}"#);
    control.publish(&[route("r7", "books"), gone].concat());
    control.wait_until_synced();
    goes_to("t3", "l0");
    assert_eq!(client.send(get("/free/", "t4")).receive().status(), 404);
}

/// A change takes a route from one service and brings another in its place, in two messages. Between them the gateway goes by
/// the configuration before: with the first alone the path would lead nowhere.
#[test]
fn a_change_in_several_messages_is_in_force_with_the_last() {
    let (gateway, control, backends) = serving(1);
    let mut client = gateway.connect();
    let mut is_served = |id: &str| {
        client.send(get("/once/", id));
        let mut backend = backends.accept();
        backend.receive();
        backend.send(answer("200 OK", id, "X-Postmark: p\r\nConnection: close\r\n", ""));
        assert_eq!(client.receive().status(), 200, "{id}");
    };
    is_served("t1");
    let removal = change_request(r#"{"withdraw":{"itineraries":[{"name":"once","edition":"r8"}]}}"#);
    control.publish_beginning(&removal);
    is_served("t2");
    let replacement = change_request(
        r#"{"deliver":{"itineraries":{"headings":["name","depot","lane-prefix","mail-kind","deadline-ms","line","edition"],
            "entries":[["twice","h.example","/once/","unsafe",60000,"books","r8"]]}}}"#,
    );
    control.publish(&[removal, replacement].concat());
    control.wait_until_synced();
    is_served("t3");
    let gone = change_request(r#"{"withdraw":{"itineraries":[{"name":"twice","edition":"r9"}]}}"#);
    control.publish(&gone);
    control.wait_until_synced();
    assert_eq!(client.send(get("/once/", "t4")).receive().status(), 404);
}

#[rstest]
#[case::with_a_signal(true)]
#[case::without(false)]
fn changed_settings_are_applied_and_no_request_is_lost(#[case] signal: bool) {
    let (gateway, _control, backends) = serving(2);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    gateway.change("retry-margin = 60", "retry-margin = 0\nretry-ratio = 0");
    if signal {
        gateway.signal(Signal::HUP);
    }
    gateway.wait_for_log("event=settings");
    backend.send(ok("t1", "fine"));
    assert_eq!(client.receive().body, b"fine");
    // The retry budget is empty from now on.
    client.send(get("/safe/", "t2"));
    backend.receive();
    backend.close();
    assert_eq!(client.receive().status(), 502);
    assert!(backends.is_untouched());
}

#[test]
fn at_sigterm_it_finishes_requests_accepts_late_ones_and_exits() {
    let (mut gateway, _control, backends) = serving(1);
    let mut first = gateway.connect();
    first.send(get("/once/", "t1"));
    let mut held = backends.accept();
    held.receive();
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("event=leaving");
    assert_eq!(gateway.readiness(), 503);
    let mut late = gateway.connect();
    late.send(get("/once/", "t2"));
    let mut backend = backends.accept();
    backend.receive();
    backend.send(ok("t2", "late"));
    for (client, id) in [(&mut late, "late"), (&mut first, "first")] {
        if id == "first" {
            held.send(ok("t1", id));
        }
        let answer = client.receive();
        assert_eq!((answer.status(), answer.field("Connection")), (200, Some("close")));
        assert!(answer.body == id.as_bytes() && client.is_closed());
    }
    assert_eq!(gateway.wait_for_exit(), Some(0));
}
