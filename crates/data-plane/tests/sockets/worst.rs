//! The worst of what may happen to a leg, over sockets.

use crate::stand::*;
use rstest::rstest;
use rustix::process::Signal;
use std::time::{Duration, Instant};

fn limits(body: usize, idle_ms: u32) -> Vec<kitepass_config::Item> {
    call(&format!(
        r#"{{"deliver":{{"weight-limits":{{"envelope-bytes":4096,"body-bytes":{body},"envelope-ms":20000,
            "idle-ms":{idle_ms},"edition":"r6"}}}}}}"#
    ))
}

/// A second answer to a request that was answered comes late, when the connection carries the next one.
#[rstest]
#[case::short(10)]
#[case::long(1 << 20)]
fn a_late_surplus_answer_in_the_next_ones_place_reaches_nobody(#[case] length: usize) {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t1", "one"));
    assert_eq!(client.hear().body, b"one");
    client.say(get("/once/", "t2"));
    assert_eq!(line.hear().field("X-Try-Id"), Some("t2"));
    std::thread::scope(|scope| {
        let line = &mut line;
        scope.spawn(move || line.say(ok("t1", &"x".repeat(length)) + &ok("t2", "two")).backend);
        let answer = client.hear();
        assert_eq!((answer.field("X-Postmark"), &answer.body[..]), (Some("stamp.t2"), &b"two"[..]));
    });
    // The connection is as good as before.
    client.say(get("/once/", "t3"));
    assert_eq!(line.hear().field("X-Try-Id"), Some("t3"));
    line.say(ok("t3", "three"));
    assert_eq!(client.hear().body, b"three");
    assert!(stand.is_untouched());
}

/// Where it breaks decides: a request of which no byte left goes elsewhere, one that was read by the backend does not.
#[rstest]
#[case::with_the_request("502")]
#[case::reset_as_it_is_taken("reset")]
#[case::ended_as_it_is_taken("ended")]
fn a_resting_connection_that_breaks(#[case] how: &str) {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t1", "one"));
    assert_eq!(client.hear().body, b"one");
    if how == "502" {
        client.say(get("/once/", "t2"));
        assert_eq!(line.hear().field("X-Try-Id"), Some("t2"));
        line.reset();
        let answer = client.hear();
        assert_eq!((answer.status(), answer.field("Retry-After")), (502, None));
    } else {
        // Both stand in the gateway's sockets when it looks, the request first.
        gateway.stop();
        client.say(get("/once/", "t2"));
        if how == "reset" {
            line.reset();
        } else {
            line.end();
        }
        gateway.signal(Signal::CONT);
        let mut line = stand.line();
        assert_eq!(line.hear().field("X-Try-Id"), Some("t2"));
        line.say(ok("t2", "two"));
        assert_eq!(client.hear().body, b"two");
    }
    assert!(stand.is_untouched());
}

/// An answer that stands before a reset is an answer: it says that the request did not run.
#[rstest]
#[case::all_read(100_000, true)]
#[case::hardly_read(200_000, false)]
fn one_turned_away_before_its_body_was_read_goes_to_another(#[case] length: usize, #[case] reads: bool) {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    let body = "b".repeat(length);
    client.say(request("POST", "/once/x", "t1") + &format!("Content-Length: {length}\r\n\r\n{body}"));
    let mut line = stand.line();
    if reads {
        line.hear();
    } else {
        line.until(1);
    }
    line.say(answer("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
    line.reset();
    let mut line = stand.line();
    let leg = line.hear();
    assert_eq!((line.backend, leg.field("X-Try-Id")), (1, Some("t1")));
    assert!(leg.body == body.as_bytes(), "{} bytes, or others", leg.body.len());
    line.say(ok("t1", "fine"));
    assert_eq!(client.hear().body, b"fine");
}

/// The same with more than there is room for on the way: the connection breaks as it is written to. Nothing of the body is
/// left for another leg; the client is told that it never ran, and may say the rest before it hears that.
#[test]
fn one_turned_away_as_its_body_is_written_is_the_clients_to_send_again() {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    let length = 24 << 20;
    let mut hand = client.hand();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let head = request("POST", "/once/x", "t1") + &format!("Content-Length: {length}\r\n\r\n");
            hand.say(head).say("b".repeat(length));
        });
        let mut line = stand.line();
        line.until(1);
        line.say(answer("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
        line.reset();
        let answer = client.hear();
        assert_eq!((answer.status(), answer.field("Connection")), (503, Some("close")));
        assert!(answer.field("Retry-After").is_some(), "{}", answer.head);
    });
    assert!(client.ends() && stand.is_untouched());
}

/// A body without a length is whole where the connection ends in order, and not where it breaks.
#[rstest]
#[case::ends(true)]
#[case::breaks(false)]
fn a_body_to_the_connections_end(#[case] ends: bool) {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    line.say("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n\r\nall of it");
    if ends {
        line.end();
        assert_eq!(client.hear().body, b"all of it");
    } else {
        line.reset();
        assert_eq!(client.hear().status(), 502);
    }
}

/// A backend that is silent: what may be repeated goes elsewhere in time, where it is whole and somebody can take it;
/// else it stays, as a backend at work is not left for nothing.
#[test]
fn a_silent_backend_is_left_only_where_another_leg_can_go() {
    let (gateway, _control, stand) = serving(2);
    let mut clients = [gateway.line(), gateway.line(), gateway.line()];
    let length = 1 << 20;
    let long = format!("Content-Length: {length}\r\n\r\n{}", "b".repeat(length));
    let mut hand = clients[0].hand();
    let mut kept = std::thread::scope(|scope| {
        scope.spawn(|| hand.say(request("POST", "/safe/", "t0") + &long).backend);
        let mut kept = stand.line();
        assert_eq!(kept.hear().body.len(), length);
        kept
    });
    clients[1].say(get("/once/", "t1"));
    let mut once = stand.line();
    once.hear();
    clients[2].say(get("/safe/", "t2"));
    let mut left = stand.line();
    left.hear();
    // Its time is over after that of the first two.
    let mut other = stand.line();
    assert_eq!((other.hear().field("X-Try-Id"), other.backend), (Some("t2"), 1));
    assert!(left.ends());
    for (line, id) in [(&mut other, "t2"), (&mut once, "t1"), (&mut kept, "t0")] {
        line.say(ok(id, id));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.hear().body, format!("t{n}").as_bytes());
    }
    assert!(stand.is_untouched());
}

/// With no other backend a safe request stays with the silent one, too.
#[test]
fn a_silent_backend_is_not_left_for_nobody() {
    let (gateway, control, stand) = serving(1);
    control.tell(&limits(1 << 20, 100));
    control.agrees();
    let (mut safe, mut once) = (gateway.line(), gateway.line());
    safe.say(get("/safe/", "t1"));
    let mut line = stand.line();
    line.hear();
    once.say(get("/once/", "t2").replace("20000", "1500"));
    let mut other = stand.line();
    other.hear();
    // The deadline of the second is past the time at which the first would be left, and past four times the idle time.
    assert_eq!(once.hear().status(), 504);
    line.say(ok("t1", "late"));
    assert_eq!(safe.hear().body, b"late");
    assert!(stand.is_untouched());
}

/// Silence, then SIGTERM: no own answer in the place of a backend's, no second leg, and an end in time.
#[test]
fn at_the_end_what_may_be_at_work_breaks_off_and_is_not_answered() {
    let (mut gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    gateway.signal(Signal::TERM);
    assert!(client.ends(), "{:?}", String::from_utf8_lossy(client.rest()));
    assert_eq!(gateway.end(), Some(0));
    assert!(line.ends() && stand.is_untouched());
}

/// A body in chunks tells its length as it comes: beyond the limit it is refused, and no backend gets a whole one.
#[rstest]
#[case::before_a_leg(1_000, 2_000)]
#[case::with_a_leg_out(300_000, 400_000)]
fn a_chunked_body_over_the_limit_is_refused(#[case] limit: usize, #[case] length: usize) {
    let (gateway, control, stand) = serving(2);
    control.tell(&limits(limit, 20_000));
    control.agrees();
    let mut client = gateway.line();
    client.say(request("POST", "/once/", "t1") + "Transfer-Encoding: chunked\r\n\r\n");
    let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", "c".repeat(length));
    let first = if length > 300_000 { 280_000 } else { 0 };
    let mut line = (first > 0).then(|| {
        client.say(chunk(first));
        let mut line = stand.line();
        line.until(first);
        line
    });
    client.say(chunk(length - first));
    let answer = client.hear();
    assert_eq!((answer.status(), answer.field("Connection")), (413, Some("close")));
    if let Some(line) = &mut line {
        assert!(line.hear_or_end().is_none(), "a whole request");
    }
    assert!(stand.is_untouched());
    // One within the limit passes.
    let mut client = gateway.line();
    client.say(
        request("POST", "/once/", "t2") + "Transfer-Encoding: chunked\r\n\r\n" + &chunk(limit) + "0\r\n\r\n",
    );
    let mut line = stand.line();
    assert_eq!(line.hear().body.len(), limit);
    line.say(ok("t2", "fine"));
    assert_eq!(client.hear().body, b"fine");
}

/// A client that goes takes its request with it, and its number: the next client gets its own answer alone.
#[test]
fn an_answer_to_a_client_that_is_gone_reaches_nobody() {
    let (gateway, _control, stand) = serving(1);
    for n in 0..20 {
        let mut gone = gateway.line();
        gone.say(get("/once/", &format!("gone{n}")));
        let mut held = stand.line();
        held.hear();
        gone.reset();
        let begun = Instant::now();
        assert!(held.ends(), "a backend is at work for nobody");
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
        let mut client = gateway.line();
        client.say(get("/once/", &format!("t{n}")));
        held.try_say(ok(&format!("gone{n}"), "of one that is gone"));
        let mut line = stand.line();
        assert_eq!(line.hear().field("X-Try-Id"), Some(format!("t{n}").as_str()));
        line.say(answer("200 OK", &format!("t{n}"), "X-Postmark: p\r\nConnection: close\r\n", "its own"));
        assert_eq!(client.hear().body, b"its own");
        client.say("GET ");
        assert!(client.rest().is_empty());
    }
}

/// The count's answer is for one life of one gateway.
#[test]
fn a_grant_for_another_life_is_nobodys() {
    let (gateway, control, stand) = serving(1);
    control.counts();
    control.grant(1);
    let held = control.hold();
    let mut client = gateway.line();
    client.say(get("/once/", "t1").replace("key-of-town", "key-of-tiny"));
    let kitepass_coordination::protocol::Message::UsageTotals(own) =
        held.recv_timeout(PATIENCE).expect("a grant")
    else {
        panic!("no grant");
    };
    let mut other = own.clone();
    other.incarnation ^= 1;
    other.tenants.iter_mut().for_each(|total| total.granted = 0);
    control.say(kitepass_coordination::protocol::Message::UsageTotals(other));
    control.say(kitepass_coordination::protocol::Message::UsageTotals(own));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t1", "granted"));
    assert_eq!(client.hear().body, b"granted");
}
