//! Bodies too long to be kept whole.

use crate::stand::*;
use rstest::rstest;

const MIB: usize = 1024 * 1024;
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n";

/// Bytes of which each place is told from those near it.
fn bytes(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

fn framed(body: &[u8], chunked: bool) -> (String, Vec<u8>) {
    if !chunked {
        return (format!("Content-Length: {}\r\n\r\n", body.len()), body.to_vec());
    }
    let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    let mut all: Vec<u8> = body.chunks(50_000).flat_map(chunk).collect();
    all.extend_from_slice(b"0\r\n\r\n");
    ("Transfer-Encoding: chunked\r\n\r\n".to_owned(), all)
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn a_long_body_passes_both_ways_and_goes_on_before_it_is_whole(#[case] chunked: bool) {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    let body = bytes(MIB);
    let (framing, all) = framed(&body, chunked);
    let (first, second) = all.split_at(600 * 1024);
    let (mut one, mut two) = (client.hand(), client.hand());
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            one.say(request("POST", "/once/", "t1") + &framing).say(first);
        });
        let mut line = stand.line();
        // All that was sent so far; the rest is sent only then.
        line.until(600 * 1024);
        scope.spawn(|| {
            two.say(second);
        });
        let leg = line.hear();
        assert!(leg.body == body, "{} bytes, or others", leg.body.len());
        let head = HEAD.to_owned() + &framing;
        let all = &all;
        scope.spawn(move || {
            line.say(head).say(all);
        });
        client.hear()
    });
    assert_eq!((answer.status(), answer.field("X-Postmark")), (200, Some("p")));
    assert!(answer.body == body, "{} bytes, or others", answer.body.len());
}

/// Whoever reads late holds the other up, and has lost nothing once it reads.
#[rstest]
#[case(1)]
#[case(4)]
#[case(12)]
fn a_peer_that_reads_late_gets_all(#[case] mib: usize) {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    let body = bytes(mib * MIB);
    let (framing, all) = framed(&body, false);
    client.say(request("POST", "/once/", "t1") + &framing);
    let said = client.say_until_full(&all);
    let (mut hand, mut line) = (client.hand(), stand.line());
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            hand.say(&all[said..]);
        });
        let leg = line.hear();
        assert!(leg.body == body, "{} bytes, or others", leg.body.len());
        line.say(HEAD.to_owned() + &framing);
        let said = line.say_until_full(&all);
        let all = &all;
        scope.spawn(move || {
            line.say(&all[said..]);
        });
        client.hear()
    });
    assert!(answer.body == body, "{} bytes, or others", answer.body.len());
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn an_answer_that_breaks_off_half_way_does_not_look_whole(#[case] chunked: bool) {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    let (framing, all) = framed(&bytes(MIB), chunked);
    line.say(HEAD.to_owned() + &framing).say(&all[..600 * 1024]);
    client.until(100 * 1024);
    line.end();
    assert!(client.hear_or_end().is_none());
    assert!(client.rest().starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert!(stand.is_untouched());
}

/// No other leg can have the whole of it; the client is told that it never ran.
#[test]
fn a_long_body_that_was_turned_away_is_the_clients_to_send_again() {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    let (framing, all) = framed(&bytes(MIB), false);
    let mut hand = client.hand();
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            hand.say(request("POST", "/once/", "t1") + &framing).say(&all);
        });
        let mut line = stand.line();
        assert_eq!(line.hear().body.len(), MIB);
        line.say(answer("503 Service Unavailable", "t1", "X-Not-Delivered: full\r\n", ""));
        client.hear()
    });
    assert!(answer.status() == 503 && answer.field("Retry-After").is_some(), "{}", answer.head);
    assert!(stand.is_untouched());
}

/// Of a body that has passed through nothing is left for another leg: the failure goes to the client, and the gateway
/// serves on.
#[test]
fn a_long_repeatable_request_that_failed_gets_no_other_leg() {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    let (framing, all) = framed(&bytes(MIB), false);
    let mut hand = client.hand();
    let failed = std::thread::scope(|scope| {
        scope.spawn(|| {
            hand.say(request("POST", "/safe/", "t1") + &framing).say(&all);
        });
        let mut line = stand.line();
        assert_eq!(line.hear().body.len(), MIB);
        line.say(answer("500 Internal Server Error", "t1", "", "its own"));
        client.hear()
    });
    assert_eq!((failed.status(), failed.body.as_slice()), (500, &b"its own"[..]));
    assert!(stand.is_untouched());
    gateway.line().say(get("/nowhere/", "t2")).hear();
}

/// The rest of the body is not taken for a request.
#[test]
fn an_answer_before_the_body_is_whole_ends_the_clients_connection() {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    client.say(request("POST", "/once/", "t1") + "Content-Length: 1000000\r\n\r\n").say(bytes(300_000));
    let mut line = stand.line();
    line.until(300_000);
    line.say(ok("t1", "enough"));
    let answer = client.hear();
    assert_eq!((answer.field("Connection"), &answer.body[..]), (Some("close"), &b"enough"[..]));
    assert!(client.ends());
}

/// The grant comes when all of the body that there was room for has been read, and no more comes from the client.
#[test]
fn a_long_body_goes_on_when_its_grant_comes() {
    let (gateway, control, stand) = serving(1);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t1", "")); // a connection that rests is there at once
    assert_eq!(client.hear().status(), 200);
    control.counts();
    control.grant(1);
    let held = control.hold();
    let body = bytes(3 * MIB / 2);
    let (framing, all) = framed(&body, false);
    client.say(request("POST", "/once/", "t2").replace("key-of-town", "key-of-tiny") + &framing).say(&all);
    let grant = held.recv_timeout(PATIENCE).expect("a grant");
    (0..2).for_each(|_| assert_eq!(gateway.readiness(), 200)); // it has read what it can by now
    control.say(grant);
    assert!(line.hear().body == body);
}
