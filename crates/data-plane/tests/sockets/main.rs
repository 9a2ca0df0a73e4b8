//! The program as it is started, spoken to over sockets.

mod bodies;
mod incarnation;
mod legs;
mod stand;
mod worst;

use rstest::rstest;
use stand::*;
use std::time::{Duration, Instant};

#[rstest]
#[case::with_a_key("/once/", Some("town"))]
#[case::without("/free/", None)]
fn a_request_and_its_answer_pass_unchanged(#[case] prefix: &str, #[case] sender: Option<&str>) {
    let (gateway, _control, stand) = serving(1);
    let mut client = gateway.line();
    let (path, body) = (format!("{prefix}a%20b?c=d&e"), "\0\r\n\r\n{\"a\": 1}");
    let fields = "X-Sender: king\r\nX-Deliver-To: b9\r\nX-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
    let head = request("POST", &path, "t1") + fields;
    client.say(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
    let mut line = stand.line();
    let leg = line.hear();
    assert!(leg.head.starts_with(&format!("POST {path} HTTP/1.1\r\n")), "{}", leg.head);
    assert_eq!((leg.field("X-Try-Id"), leg.field("Host")), (Some("t1"), Some("h.example")));
    assert_eq!((leg.field("X-Deliver-To"), leg.field("X-Sender")), (Some("b0"), sender));
    assert_eq!((leg.field("X-Own"), leg.field("X-Hop"), leg.field("Authorization")), (Some("1"), None, None));
    let left: u32 = leg.field("X-Time-Left-Ms").and_then(|left| left.parse().ok()).expect("a time");
    assert!((1..=20_000).contains(&left), "{left}");
    assert_eq!(leg.body, body.as_bytes());
    line.say(answer("418 I'm a teapot", "t1", "X-Postmark: 3e1b.07\r\nX-More: y\r\n", body));
    let answer = client.hear();
    assert!(answer.head.starts_with("HTTP/1.1 418 I'm a teapot\r\n"), "{}", answer.head);
    assert_eq!((answer.field("X-Postmark"), answer.field("X-More")), (Some("3e1b.07"), Some("y")));
    assert_eq!((answer.field("X-Try-Id"), &answer.body[..]), (Some("t1"), body.as_bytes()));
    // The next one goes over the same two connections.
    client.say(get("/once/", "t2"));
    assert_eq!(line.hear().field("X-Try-Id"), Some("t2"));
    line.say(ok("t2", ""));
    assert_eq!(client.hear().status(), 200);
    assert!(stand.is_untouched());
}

#[rstest]
#[case::no_path(get("/none/", "t"), 404)]
#[case::no_host(get("/once/", "t").replace("h.example", "i.example"), 404)]
#[case::unknown_key(get("/once/", "t").replace("key-of-town", "key-of-king"), 401)]
#[case::no_key(get("/once/", "t").replace("Authorization", "X-Other"), 401)]
#[case::no_id(get("/once/", "t").replace("X-Try-Id", "X-Other"), 400)]
#[case::no_request("GET /once/\r\n\r\n".to_owned(), 400)]
#[case::long_head(request("GET", "/once/", "t") + "X-Long: " + &"a".repeat(4096) + "\r\n\r\n", 431)]
#[case::long_body(request("POST", "/once/", "t") + "Content-Length: 67108865\r\n\r\n", 413)]
#[case::nobody(get("/void/", "t"), 503)]
fn what_goes_to_no_backend_is_answered_at_once(#[case] request: String, #[case] status: u16) {
    let (gateway, _control, stand) = serving(1);
    let (mut client, begun) = (gateway.line(), Instant::now());
    let answer = client.say(request).hear();
    assert_eq!(answer.status(), status);
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
    let away = answer.field("Retry-After").map(|away| away.parse::<f64>().expect("a time"));
    assert!((status == 503) == away.is_some_and(|away| away > 0.0 && away <= 1.0), "{away:?}");
    assert!(stand.is_untouched());
}

#[test]
fn what_is_beyond_the_quota_is_refused_at_once_and_told_when_to_come_back() {
    let (gateway, control, stand) = serving(1);
    control.counts();
    control.grant(1);
    let tiny = |id| get("/once/", id).replace("key-of-town", "key-of-tiny");
    let mut client = gateway.line();
    client.say(tiny("t1"));
    let mut line = stand.line();
    assert_eq!(line.hear().field("X-Sender"), Some("tiny"));
    line.say(ok("t1", ""));
    assert_eq!(client.hear().status(), 200);
    for id in ["t2", "t3"] {
        let begun = Instant::now();
        let answer = client.say(tiny(id)).hear();
        assert_eq!((answer.status(), answer.field("Retry-After")), (429, Some("1")));
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
    }
    // Another tenant's go on.
    client.say(get("/once/", "t4"));
    assert_eq!(line.hear().field("X-Try-Id"), Some("t4"));
    assert!(stand.is_untouched());
}
