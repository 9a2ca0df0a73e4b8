//! Which ends of a leg another one follows, and what the client is told.

use crate::stand::*;
use rstest::rstest;

/// What a backend does with a request that it has read.
#[derive(Clone, Copy, Debug)]
enum Does {
    Says(&'static str, &'static str),
    /// Says so many bytes of an answer and closes.
    CutsShort,
    Raw(&'static str),
    Closes,
    Resets,
}

fn does(mut line: Service, what: Does) {
    let id = line.hear().field("X-Try-Id").expect("an id").to_owned();
    match what {
        Does::Says(status, fields) => line.try_say(answer(status, &id, fields, "its own")),
        Does::CutsShort => line.try_say(ok(&id, "a long answer").trim_end_matches("answer")),
        Does::Raw(bytes) => line.try_say(bytes),
        Does::Closes => {}
        Does::Resets => return line.reset(),
    }
    line.end();
}

#[rstest]
#[case::full(Does::Says("503 Service Unavailable", "X-Not-Delivered: full\r\n"))]
#[case::busy(Does::Says("429 Too Many Requests", "X-Not-Delivered: busy\r\n"))]
#[case::elsewhere(Does::Says("421 Misdirected Request", ""))]
fn a_once_only_request_that_did_not_run_goes_to_another_backend(#[case] first: Does) {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    client.say(request("POST", "/once/x", "t1") + "Content-Length: 4\r\n\r\nbody");
    does(stand.line(), first);
    let mut line = stand.line();
    let leg = line.hear();
    assert_eq!((line.backend, leg.field("X-Deliver-To")), (1, Some("b1")));
    assert_eq!((leg.field("X-Try-Id"), &leg.body[..]), (Some("t1"), &b"body"[..]));
    line.say(ok("t1", "fine"));
    assert_eq!(client.hear().body, b"fine");
}

/// 429, 503, 408 and 421 would be a promise that it never ran.
#[rstest]
#[case::reset(Does::Resets, 502)]
#[case::closed(Does::Closes, 502)]
#[case::cut_short(Does::CutsShort, 502)]
#[case::garbled(Does::Raw("\0\u{1}\r\nnothing\r\n\r\n"), 502)]
#[case::nameless(Does::Raw("HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 0\r\n\r\n"), 502)]
#[case::unstamped(Does::Says("200 OK", ""), 502)]
#[case::own_503(Does::Says("503 Service Unavailable", "Retry-After: 1\r\n"), 502)]
#[case::own_429(Does::Says("429 Too Many Requests", ""), 502)]
#[case::own_408(Does::Says("408 Request Timeout", ""), 502)]
#[case::own_500(Does::Says("500 Internal Server Error", ""), 500)]
#[case::own_504(Does::Says("504 Gateway Timeout", ""), 504)]
fn a_once_only_request_that_may_have_run_gets_no_other_leg(#[case] first: Does, #[case] status: u16) {
    let (gateway, _control, stand) = serving(2);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    does(stand.line(), first);
    let answer = client.hear();
    assert_eq!((answer.status(), answer.field("Retry-After")), (status, None));
    assert!(stand.is_untouched());
}

#[test]
fn a_refused_connection_is_no_leg_and_another_backend_is_taken() {
    let (gateway, control, stand) = waiting();
    let [away] = nobody();
    tell_all(&control, &[away, stand.addresses[0]]);
    control.agrees();
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    assert_eq!(line.hear().field("X-Deliver-To"), Some("b1"));
    line.say(ok("t1", "fine"));
    assert_eq!(client.hear().body, b"fine");
}

#[rstest]
#[case::reset(Does::Resets, 502)]
#[case::closed(Does::Closes, 502)]
#[case::cut_short(Does::CutsShort, 502)]
#[case::garbled(Does::Raw("\0\u{1}\r\nnothing\r\n\r\n"), 502)]
#[case::encoded(Does::Says("200 OK", "X-Postmark: p\r\nContent-Encoding: gzip\r\n"), 502)]
#[case::unstamped(Does::Says("200 OK", ""), 502)]
#[case::own_500(Does::Says("500 Internal Server Error", ""), 500)]
#[case::own_503(Does::Says("503 Service Unavailable", ""), 502)]
fn a_repeatable_request_gets_as_many_legs_as_its_route_allows(#[case] ends: Does, #[case] status: u16) {
    let (gateway, _control, stand) = serving(3);
    let mut client = gateway.line();
    client.say(get("/safe/", "t1"));
    does(stand.line(), ends);
    let mut line = stand.line();
    assert_ne!((line.hear().field("X-Try-Id"), line.backend), (Some("t1"), 0));
    line.say(ok("t1", "fine"));
    let answer = client.hear();
    assert_eq!((answer.status(), answer.body), (200, b"fine".to_vec()));
    line.end();
    // Where the second leg ends so too, it is the last.
    client.say(get("/safe/", "t2"));
    (0..2).for_each(|_| does(stand.line(), ends));
    assert_eq!(client.hear().status(), status);
    assert!(stand.is_untouched());
}

#[test]
fn a_surplus_answer_is_read_off_and_bytes_behind_an_answer_reach_nobody() {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    client.say(get("/once/", "t1"));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t0", "another's") + &ok("t1", "one"));
    let answer = client.hear();
    assert_eq!((answer.field("X-Postmark"), &answer.body[..]), (Some("stamp.t1"), &b"one"[..]));
    // The connection is as good as before.
    client.say(get("/once/", "t2"));
    line.hear();
    line.say(ok("t2", "two") + &ok("t3", "too soon"));
    assert_eq!(client.hear().body, b"two");
    client.say(get("/once/", "t3"));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t3", "three"));
    assert_eq!(client.hear().body, b"three");
    // Also where they come while the connection rests.
    line.say(ok("t4", "too soon"));
    client.say(get("/once/", "t4"));
    let mut line = stand.line();
    line.hear();
    line.say(ok("t4", "four"));
    assert_eq!(client.hear().body, b"four");
}
