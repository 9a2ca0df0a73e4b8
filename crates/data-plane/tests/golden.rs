//! Golden tests: the program's output and the messages sent to clients and backends match the golden files byte for byte.
//! Log lines are not covered.

#[path = "../../control-plane/tests/support/golden.rs"]
#[allow(unreachable_pub)] // also used by the tests of another crate
mod golden_files;
#[path = "sockets/harness.rs"]
#[allow(dead_code)] // the socket tests use the rest
mod harness;

use golden_files::{mask_after, GoldenFiles};
use harness::{
    change_request, get, ok, publish_configuration, request, response, start_ready_gateway,
    start_unconfigured_gateway, HttpMessage,
};
use rstest::rstest;
use rustix::process::Signal;
use std::path::Path;
use std::process::Command;

const GOLDEN_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");
const PROGRAM: &str = env!("CARGO_BIN_EXE_kitepass-data-plane");
/// Responses with a longer body are streamed.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;
/// Length of a request body that is long enough to be streamed.
const LONG_BODY: usize = 600 * 1024;

#[track_caller]
fn assert_golden(name: &str, text: &str) {
    GoldenFiles::new(GOLDEN_DIR).assert_matches(name, text);
}

fn text(message: &HttpMessage) -> String {
    format!("{}{}", message.head, String::from_utf8_lossy(&message.body))
}

/// A request as received by the backend, with the remaining time masked.
fn forwarded(message: &HttpMessage) -> String {
    mask_after(&text(message), "X-Time-Left-Ms: ", &['\r'], "{TIME_LEFT_MS}")
}

#[rstest]
#[case::help("help.txt", &["--help"])]
#[case::help_short("help.txt", &["-h"])]
#[case::version("version.txt", &["--version"])]
#[case::unknown_option("usage-unknown-option.txt", &["--bogus"])]
#[case::unknown_command("usage-unknown-command.txt", &["fetch"])]
#[case::option_without_value("usage-option-without-value.txt", &["--settings"])]
#[case::unexpected_argument("usage-unexpected-argument.txt", &["serve", "more"])]
#[case::no_settings("serve-no-settings.txt", &["serve"])]
#[case::settings_absent("serve-settings-absent.txt", &["--settings", "nonexistent.toml"])]
fn command_line_output(#[case] name: &str, #[case] args: &[&str]) {
    let mut command = Command::new(PROGRAM);
    command.args(args).env_remove("KITEPASS_NODE_FILE").env("KITEPASS_LOG", "error");
    let output = command.output().expect("program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (code, out, error) = (output.status.code(), text(&output.stdout), text(&output.stderr));
    let code = code.expect("program exits without a signal");
    let program =
        Path::new(PROGRAM).file_name().and_then(|name| name.to_str()).expect("program has a file name");
    GoldenFiles::new(GOLDEN_DIR)
        .replace(format!("{program} {}", env!("CARGO_PKG_VERSION")), "{PROGRAM} {VERSION}")
        .replace(format!("{program} "), "{PROGRAM} ")
        .replace(format!("{program}: "), "{PROGRAM}: ")
        .assert_matches(
            name,
            &format!("exit code {code}\n--- standard output\n{out}--- standard error\n{error}"),
        );
}

/// Where the response contains `Connection: close`, the gateway closes the connection.
#[test]
fn responses_to_requests_that_are_not_forwarded() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let requests = [
        ("error-400-no-attempt-id.txt", get("/once/", "t").replace("X-Try-Id", "X-Other")),
        ("error-400-not-a-request.txt", "GET /once/\r\n\r\n".to_owned()),
        ("error-400-http-1-0.txt", get("/once/", "t").replace("X-Try-Id", "X-Other").replace("/1.1", "/1.0")),
        ("error-401-unknown-key.txt", get("/once/", "t").replace("key-of-town", "key-of-king")),
        ("error-401-no-key.txt", get("/once/", "t").replace("Authorization", "X-Other")),
        (
            "error-401-close.txt",
            request("GET", "/once/", "t").replace("town", "king") + "Connection: close\r\n\r\n",
        ),
        ("error-404-no-route.txt", get("/none/", "t")),
        ("error-404-no-host.txt", get("/once/", "t").replace("h.example", "i.example")),
        ("error-404-body-to-come.txt", request("POST", "/none/", "t") + "Content-Length: 4\r\n\r\n"),
        ("error-413-length.txt", request("POST", "/once/", "t") + "Content-Length: 67108865\r\n\r\n"),
        ("error-431-head.txt", request("GET", "/once/", "t") + "X-Long: " + &"a".repeat(4096) + "\r\n\r\n"),
    ];
    for (name, request) in requests {
        let mut client = gateway.connect();
        let response = client.send(request).receive();
        assert_golden(name, &text(&response));
        if response.field("Connection") == Some("close") {
            assert!(client.closes_without_data(), "{name}");
        }
    }
    let response = gateway.connect().send(get("/void/", "t")).receive();
    let response = mask_after(&text(&response), "Retry-After: ", &['\r'], "{SECONDS}");
    assert_golden("error-503-no-backend.txt", &response);
    assert!(backends.has_no_pending_connection());
}

#[test]
fn responses_beyond_configured_limits() {
    let (gateway, control, backends) = start_ready_gateway(1);
    let limits = r#"{"deliver":{"weight-limits":
        {"envelope-bytes":4096,"body-bytes":8,"envelope-ms":1000,"idle-ms":5000,"edition":"r6"}}}"#;
    control.publish(&change_request(limits));
    control.wait_until_synced();
    let chunked = request("POST", "/once/", "t") + "Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n";
    assert_golden("error-413-chunked.txt", &text(&gateway.connect().send(chunked).receive()));
    let mut client = gateway.connect();
    assert_golden("error-408-head.txt", &text(&client.send("GET /once/ HTTP/1.1\r\nHost").receive()));
    assert!(client.closes_without_data() && backends.has_no_pending_connection());
}

#[test]
fn response_beyond_the_quota() {
    let (gateway, control, backends) = start_ready_gateway(1);
    control.wait_for_usage_totals();
    control.grant(1);
    let tiny = |id| get("/once/", id).replace("key-of-town", "key-of-tiny");
    let mut client = gateway.connect();
    client.send(tiny("t1"));
    let mut backend = backends.accept();
    assert_golden("forwarded-get-limited-customer.txt", &forwarded(&backend.receive()));
    backend.send(ok("t1", ""));
    assert_eq!(client.receive().status(), 200);
    assert_golden("error-429.txt", &text(&client.send(tiny("t2")).receive()));
}

#[test]
fn local_responses_to_failed_attempts() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let mut client = gateway.connect();
    client.send(get("/once/", "t1"));
    let mut backend = backends.accept();
    backend.receive();
    backend.close();
    assert_golden("error-502.txt", &text(&client.receive()));

    client.send(get("/once/", "t2").replace("Left-Ms: 20000", "Left-Ms: 1000"));
    let mut backend = backends.accept();
    backend.receive();
    assert_golden("error-504.txt", &text(&client.receive()));
}

#[test]
fn responses_before_readiness_and_during_shutdown() {
    let (gateway, control, backends) = start_unconfigured_gateway();
    let ready = "GET /v1/ready HTTP/1.1\r\nHost: g\r\n\r\n";
    assert_golden("readiness-not-ready.txt", &text(&gateway.connect_readiness().send(ready).receive()));
    assert_golden("error-503-not-ready.txt", &text(&gateway.connect().send(get("/once/", "t1")).receive()));
    publish_configuration(&control, &backends.addresses);
    control.wait_until_synced();
    assert_golden("readiness-ready.txt", &text(&gateway.connect_readiness().send(ready).receive()));

    let mut client = gateway.connect();
    client.send(get("/once/", "t2"));
    let mut backend = backends.accept();
    backend.receive();
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("event=leaving");
    assert_golden("readiness-shutting-down.txt", &text(&gateway.connect_readiness().send(ready).receive()));
    let refused = gateway.connect().send(get("/none/", "t3")).receive();
    assert_golden("error-404-shutting-down.txt", &text(&refused));
    backend.send(ok("t2", "body"));
    assert_golden("answer-shutting-down.txt", &text(&client.receive()));
}

#[test]
fn requests_as_received_by_a_backend() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let fields =
        "X-Sender: king\r\nX-Deliver-To: b9\r\nX-Own: 1\r\nX-Own: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\
                  Keep-Alive: timeout=9\r\nTE: trailers\r\nProxy-Authorization: a\r\nUser-Agent: client\r\n";
    let with = |method: &str, path: &str, more: &str| request(method, path, "t1") + fields + more;
    let chunked =
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;extension=1\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n";
    let requests = [
        ("forwarded-get.txt", with("GET", "/once/a%20b?c=d&e", "\r\n")),
        ("forwarded-head.txt", with("HEAD", "/once/", "\r\n")),
        ("forwarded-delete.txt", with("DELETE", "/once/", "\r\n")),
        ("forwarded-post-empty.txt", with("POST", "/once/", "Content-Length: 0\r\n\r\n")),
        ("forwarded-post-length.txt", with("POST", "/once/", "Content-Length: 5\r\n\r\nabcde")),
        ("forwarded-post-chunked.txt", with("POST", "/once/", chunked)),
        ("forwarded-put-repeatable.txt", with("PUT", "/safe/", "Content-Length: 5\r\n\r\nabcde")),
        ("forwarded-without-key.txt", with("GET", "/free/", "\r\n")),
    ];
    for (name, request) in requests {
        let mut client = gateway.connect();
        client.send(request);
        let mut backend = backends.accept();
        assert_golden(name, &forwarded(&backend.receive()));
        backend.send(response("200 OK", "t1", "X-Postmark: p\r\nConnection: close\r\n", ""));
        assert_eq!(client.receive().status(), 200, "{name}");
    }

    let mut client = gateway.connect();
    client.send(with("POST", "/once/", "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"));
    assert_golden("answer-100-continue.txt", &text(&client.receive()));
    client.send("abcde");
    let mut backend = backends.accept();
    assert_golden("forwarded-post-expect-continue.txt", &forwarded(&backend.receive()));
    backend.send(response("200 OK", "t1", "X-Postmark: p\r\nConnection: close\r\n", ""));
    assert_eq!(client.receive().status(), 200);

    let (mut client, body) = (gateway.connect(), "b".repeat(LONG_BODY));
    let mut writer = client.duplicate();
    std::thread::scope(|scope| {
        let head = with("POST", "/once/", "Transfer-Encoding: chunked\r\n\r\n");
        scope.spawn(move || writer.send(format!("{head}{LONG_BODY:x}\r\n{body}\r\n0\r\n\r\n")).backend_index);
        let mut backend = backends.accept();
        let request = backend.receive();
        assert_eq!(request.body.len(), LONG_BODY);
        // Chunk boundaries depend on timing, so only the head is compared.
        let head = HttpMessage { head: request.head, body: Vec::new() };
        assert_golden("forwarded-post-long-chunked-head.txt", &forwarded(&head));
        backend.send(ok("t1", ""));
        assert_eq!(client.receive().status(), 200);
    });
}

#[test]
fn responses_as_received_by_a_client() {
    let (gateway, _control, backends) = start_ready_gateway(1);
    let head = "X-Try-Id: t1\r\nX-Postmark: 3e1b.07\r\nX-More: y\r\nX-More: z\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\
                Keep-Alive: timeout=9\r\nServer: backend\r\nContent-Type: text/plain\r\n";
    let ok = format!("HTTP/1.1 200 OK\r\n{head}");
    let chunked = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n";
    let failed = "HTTP/1.1 500 Internal Server Error\r\nX-Try-Id: t1\r\nConnection: close\r\nContent-Length: 4\r\n\r\n";
    let responses = [
        ("answer-length.txt", "GET", format!("{ok}Content-Length: 5\r\n\r\nabcde")),
        ("answer-empty.txt", "GET", format!("{ok}Content-Length: 0\r\n\r\n")),
        ("answer-chunked.txt", "GET", format!("{ok}{chunked}")),
        ("answer-without-length.txt", "GET", format!("{ok}\r\nabcde")),
        ("answer-to-head.txt", "HEAD", format!("{ok}Content-Length: 5\r\n\r\n")),
        ("answer-204.txt", "GET", format!("HTTP/1.1 204 No Content\r\n{head}\r\n")),
        ("answer-304.txt", "GET", format!("HTTP/1.1 304 Not Modified\r\n{head}\r\n")),
        (
            "answer-418.txt",
            "GET",
            format!("HTTP/1.1 418 I'm a teapot\r\n{head}Content-Length: 5\r\n\r\nabcde"),
        ),
        ("answer-500.txt", "GET", format!("{failed}fail")),
        ("answer-http-1-0.txt", "GET", format!("HTTP/1.0 200 OK\r\n{head}\r\nabcde")),
    ];
    for (name, method, response) in responses {
        let mut client = gateway.connect();
        client.send(request(method, "/once/", "t1") + "\r\n");
        let mut backend = backends.accept();
        backend.receive();
        backend.send(response);
        backend.close();
        assert_golden(name, &text(&client.receive()));
    }

    let body = "b".repeat(2 * MAX_BUFFERED_RESPONSE_BYTES);
    for (name, framing) in [
        ("answer-long-length-head.txt", format!("Content-Length: {}\r\n\r\n{body}", body.len())),
        (
            "answer-long-chunked-head.txt",
            format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        ),
    ] {
        let mut client = gateway.connect();
        client.send(get("/once/", "t1"));
        let mut backend = backends.accept();
        backend.receive();
        let response = std::thread::scope(|scope| {
            let ok = &ok;
            scope.spawn(move || {
                backend.send(format!("{ok}{framing}"));
                backend.close();
            });
            client.receive()
        });
        assert!(response.body == body.as_bytes(), "{name}");
        // Chunk boundaries depend on timing, so only the head is compared.
        assert_golden(name, &response.head);
    }
}
