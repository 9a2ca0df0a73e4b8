//! What changes while the program runs: its configuration, its settings, its end.

use crate::stand::*;
use rstest::rstest;
use rustix::process::Signal;

#[test]
fn it_is_ready_once_it_holds_all() {
    let (gateway, control, stand) = waiting();
    assert_eq!(gateway.readiness(), 503);
    let answer = gateway.line().say(get("/once/", "t1")).hear();
    assert!(answer.status() == 503 && answer.field("Retry-After").is_some(), "{}", answer.head);
    tell_all(&control, &stand.addresses);
    control.agrees();
    assert_eq!(gateway.readiness(), 200);
    let mut client = gateway.line();
    client.say(get("/once/", "t2"));
    assert_eq!(stand.line().hear().field("X-Try-Id"), Some("t2"));
}

#[test]
fn the_highest_version_of_an_item_holds_from_the_next_request_on() {
    let (gateway, control, stand) = serving(2);
    let mut client = gateway.line();
    let mut goes_to = |id: &str, call_sign: &str| {
        client.say(get("/once/", id));
        let mut line = stand.line();
        assert_eq!(line.hear().field("X-Deliver-To"), Some(call_sign));
        line.say(answer("200 OK", id, "X-Postmark: p\r\nConnection: close\r\n", ""));
        assert_eq!(client.hear().status(), 200);
    };
    goes_to("t1", "b0");
    let route = |version: &str, line: &str| {
        let text = r#"{"deliver":{"itineraries":{"headings":["name","depot","lane-prefix","mail-kind","deadline-ms","line","edition"],
            "entries":[["once","h.example","/once/","unsafe",60000,"LINE","EDITION"]]}}}"#;
        call(&text.replace("LINE", line).replace("EDITION", version))
    };
    control.tell(&[route("r8", "loans"), vec![backend("l0", "loans", stand.addresses[1], "far")]].concat());
    control.agrees();
    goes_to("t2", "l0");
    // An older one comes later. What comes with it tells that it has been heard.
    let gone = call(r#"{"withdraw":{"itineraries":[{"name":"free","edition":"r6"}]}}"#);
    control.tell(&[route("r7", "books"), gone].concat());
    control.agrees();
    goes_to("t3", "l0");
    assert_eq!(client.say(get("/free/", "t4")).hear().status(), 404);
}

#[rstest]
#[case::with_a_signal(true)]
#[case::without(false)]
fn changed_settings_are_taken_and_no_request_is_lost(#[case] signal: bool) {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    gateway.change("retry-margin = 60", "retry-margin = 0\nretry-ratio = 0");
    if signal {
        gateway.signal(Signal::HUP);
    }
    gateway.logs("event=settings");
    line.say(ok("t1", "fine"));
    assert_eq!(client.hear().body, b"fine");
    // The budget of further legs is empty from now on.
    client.say(get("/safe/", "t2"));
    line.hear();
    line.end();
    assert_eq!(client.hear().status(), 502);
    assert!(stand.is_untouched());
}

#[test]
fn at_sigterm_it_finishes_what_it_took_serves_who_still_comes_and_ends() {
    let (mut gateway, _control, stand) = serving(1);
    let mut first = gateway.line();
    first.say(get("/once/", "t1"));
    let mut held = stand.line();
    held.hear();
    gateway.signal(Signal::TERM);
    gateway.logs("event=leaving");
    assert_eq!(gateway.readiness(), 503);
    let mut late = gateway.line();
    late.say(get("/once/", "t2"));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t2", "late"));
    for (client, id) in [(&mut late, "late"), (&mut first, "first")] {
        if id == "first" {
            held.say(ok("t1", id));
        }
        let answer = client.hear();
        assert_eq!((answer.status(), answer.field("Connection")), (200, Some("close")));
        assert!(answer.body == id.as_bytes() && client.ends());
    }
    assert_eq!(gateway.end(), Some(0));
}
