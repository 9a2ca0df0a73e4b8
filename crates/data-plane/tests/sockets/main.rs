//! End-to-end tests that run the gateway as a process and communicate with it over sockets.

mod attempts;
mod bodies;
mod faults;
mod harness;
mod lost_requests;
mod pipelining;
mod reconfiguration;
mod start;

use harness::{get, ok, request, response, start_ready_gateway};
use rstest::rstest;
use std::time::{Duration, Instant};

#[rstest]
#[case::with_a_key("/once/", Some("town"))]
#[case::without("/free/", None)]
fn a_request_and_its_response_are_forwarded_unchanged(#[case] prefix: &str, #[case] sender: Option<&str>) {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    let (path, body) = (format!("{prefix}a%20b?c=d&e"), "\0\r\n\r\n{\"a\": 1}");
    let fields = "X-Sender: king\r\nX-Deliver-To: b9\r\nX-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
    let head = request("POST", &path, "t1") + fields;
    client.send(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
    let mut backend = backends.accept();
    let forwarded = backend.receive();
    assert!(forwarded.head.starts_with(&format!("POST {path} HTTP/1.1\r\n")), "{}", forwarded.head);
    assert_eq!((forwarded.field("X-Try-Id"), forwarded.field("Host")), (Some("t1"), Some("h.example")));
    assert_eq!((forwarded.field("X-Deliver-To"), forwarded.field("X-Sender")), (Some("b0"), sender));
    assert_eq!(
        (forwarded.field("X-Own"), forwarded.field("X-Hop"), forwarded.field("Authorization")),
        (Some("1"), None, None)
    );
    let time_left_ms: u32 = forwarded
        .field("X-Time-Left-Ms")
        .and_then(|value| value.parse().ok())
        .expect("X-Time-Left-Ms is a number");
    assert!((1..=20_000).contains(&time_left_ms), "{time_left_ms}");
    assert_eq!(forwarded.body, body.as_bytes());
    backend.send(response("418 I'm a teapot", "t1", "X-Postmark: 3e1b.07\r\nX-More: y\r\n", body));
    let response = client.receive();
    assert!(response.head.starts_with("HTTP/1.1 418 I'm a teapot\r\n"), "{}", response.head);
    assert_eq!((response.field("X-Postmark"), response.field("X-More")), (Some("3e1b.07"), Some("y")));
    assert_eq!((response.field("X-Try-Id"), &response.body[..]), (Some("t1"), body.as_bytes()));
    // The next request reuses both connections.
    client.send(get("/once/", "t2"));
    assert_eq!(backend.receive().field("X-Try-Id"), Some("t2"));
    backend.send(ok("t2", ""));
    assert_eq!(client.receive().status(), 200);
    assert!(backends.has_no_pending_connection());
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
#[case::no_backend(get("/void/", "t"), 503)]
fn a_request_that_no_backend_can_serve_is_rejected_at_once(#[case] request: String, #[case] status: u16) {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let (mut client, started_at) = (gateway.connect(), Instant::now());
    let response = client.send(request).receive();
    assert_eq!(response.status(), status);
    assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    let retry_after =
        response.field("Retry-After").map(|value| value.parse::<f64>().expect("Retry-After is a number"));
    assert!(
        (status == 503) == retry_after.is_some_and(|seconds| seconds > 0.0 && seconds <= 1.0),
        "{retry_after:?}"
    );
    assert!(backends.has_no_pending_connection());
}

#[test]
fn a_request_beyond_the_quota_is_rejected_at_once_with_a_retry_time() {
    let (gateway, control, backends) = start_ready_gateway(1);
    control.wait_for_usage_totals();
    control.grant(1);
    let tiny = |id| get("/once/", id).replace("key-of-town", "key-of-tiny");
    let mut client = gateway.connect();
    client.send(tiny("t1"));
    let mut backend = backends.accept();
    assert_eq!(backend.receive().field("X-Sender"), Some("tiny"));
    backend.send(ok("t1", ""));
    assert_eq!(client.receive().status(), 200);
    for id in ["t2", "t3"] {
        let started_at = Instant::now();
        let response = client.send(tiny(id)).receive();
        assert_eq!((response.status(), response.field("Retry-After")), (429, Some("1")));
        assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    }
    // Another tenant's requests are still served.
    client.send(get("/once/", "t4"));
    assert_eq!(backend.receive().field("X-Try-Id"), Some("t4"));
    assert!(backends.has_no_pending_connection());
}
