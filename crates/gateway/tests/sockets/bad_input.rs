//! Tests of invalid input from clients, backends and the configuration.

use crate::harness::{gateway_command, ok_response, request_head, settings, write_config};
use crate::{start_gateway, start_gateway_with_backends};
use std::process::Stdio;

#[test]
fn bad_input_from_a_client_is_answered_and_affects_no_other() {
    let (gateway, _watch, backend_stub) = start_gateway(256);
    let mut other = gateway.connect();
    other.send(request_head("once", "t1") + "\r\n");
    let mut connection = backend_stub.accept();
    connection.receive();
    let valid_request = request_head("look", "t2") + "\r\n";
    let keyed_head = request_head("door", "t2") + "Idempotency-Key: k\r\n";
    // These requests are invalid, but their end can be determined, so the connection stays open.
    let mut client = gateway.connect();
    for (from, to) in [
        ("X-Trace-Id: t2\r\n", ""),
        ("X-Trace-Id: t2", "X-Trace-Id: a b"),
        ("X-Trace-Id: t2", "Connection: x-trace-id\r\nX-Trace-Id: t2"),
        ("X-Trace-Id: t2", "Connection: a, Idempotency-Key\r\nX-Trace-Id: t2"),
        ("X-Trace-Id: t2", "X-Trace-Id: t2\r\nX-Trace-Id: t3"),
        ("X-Expires-In-Ms: 20000", "X-Expires-In-Ms: soon"),
        ("X-Expires-In-Ms: 20000", "X-Expires-In-Ms: -1"),
        ("X-Expires-In-Ms: 20000\r\n", ""),
        ("units=1,", ""),
        ("units=1", "units=-1"),
        ("units=1", "units=1e300"),
        ("units=1", "units=nan"),
        ("units=1", "units=6.5"), // exceeds the largest cost allowed
        ("units=1", "units=2,units=1"),
        ("spread=1", "spread=+1"),
        ("first=0", "first=4294967296"),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=2"),
        ("first=0", "first=1"),
        ("X-Weight: units=1,spread=1,first=0\r\n", ""),
        ("00000000b4d65521", "0000000200000000"), // a tenant id of 2^33; the largest is one below
        ("00000000b4d65521", "b4d65521"),
        ("00000000b4d65521", "+0000000b4d65521"),
        ("/look/00000000b4d65521", "/"),
        ("/look/", "/odd/"),
        ("X-Tariff: team", "X-Tariff: odd"),
        ("/look/", "/door/"), // without an idempotency key
    ] {
        assert!(valid_request.contains(from), "{from}");
        assert_eq!(client.send(valid_request.replace(from, to)).receive().status(), 400, "{from} -> {to}");
    }
    // These requests are too large, or malformed so that their end is uncertain. The connection is closed after the
    // response.
    let large = "a".repeat(20_000);
    for (text, status) in [
        ("nonsense\r\n\r\n".to_owned(), 400),
        ("\u{16}\u{3}\u{1}noise without an end of line".to_owned(), 400),
        (valid_request.replace("HTTP/1.1", "HTTP/3"), 400),
        (valid_request.replace("X-Tariff:", "X-Tariff :"), 400),
        (valid_request.replace("\r\n", "\n"), 400),
        (format!("{keyed_head}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"), 400),
        (format!("{keyed_head}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello"), 400),
        (format!("{keyed_head}Content-Length: +5\r\n\r\nhello"), 400),
        (format!("{keyed_head}Transfer-Encoding: chunked\r\n\r\nhello\r\n"), 400),
        (format!("{keyed_head}Content-Length: 65537\r\n\r\n"), 413),
        (format!("{keyed_head}Transfer-Encoding: chunked\r\n\r\n10001\r\n"), 413),
        (valid_request.replace("X-Tariff: team", &format!("X-Tariff: {large}")), 431),
    ] {
        let mut client = gateway.connect();
        assert_eq!(client.send(&text).receive().status(), status, "{}", &text[..text.len().min(300)]);
        assert!(client.ends_without_data());
    }
    assert!(backend_stub.has_no_connection(), "an invalid request was forwarded");
    connection.send(ok_response("fine"));
    assert_eq!(other.receive().body, b"fine");
}

#[test]
fn bad_input_from_a_backend_ends_its_connection_and_no_other() {
    let (gateway, _watch, backend_stub) = start_gateway_with_backends(256, 12);
    let large = format!("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n{}", "a".repeat(65537));
    for response in [
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.1 101 Go\r\n\r\n",
        &large,
    ] {
        let mut client = gateway.connect();
        client.send(request_head("once", "t1") + "\r\n");
        let mut connection = backend_stub.accept();
        connection.receive();
        connection.send(response);
        assert_eq!(client.receive().status(), 502);
        assert!(connection.ends_without_data());
    }
}

#[test]
fn an_invalid_configuration_ends_the_program_with_one_error_message() {
    let valid_config = format!(
        r#"{{"name":"g0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{}}}"#,
        settings(false)
    );
    for (text, expected_error) in [
        ("{".to_owned(), "expected JSON"),
        (valid_config.replace("\"g0\"", "5"), "name:"),
        (valid_config.replace("127.0.0.1:0", "here"), "listen:"),
        (valid_config.replace("127.0.0.1:1", "there"), "discovery:"),
        (valid_config.replace("\"seed\":\"1\"", "\"seed\":\"x\""), "seed:"),
        (valid_config.replace("\"seed\"", "\"limits\":{\"sockets\":5},\"seed\""), "limits.sockets:"),
        (valid_config.replace("\"seed\"", "\"known\":{},\"seed\""), "known.instances:"),
        (valid_config.replace("\"Me\":0", "\"Me\":1"), "settings.Me:"),
        (valid_config.replace("\"Refill\":0.001", "\"Refill\":-1"), "settings.Plans[1].Refill:"),
        (valid_config.replace("\"ConnIdle\":15.0", "\"ConnIdle\":\"x\""), "settings.Caps.ConnIdle:"),
    ] {
        let path = write_config(&text);
        assert_startup_fails(&path, expected_error);
        std::fs::remove_file(path).unwrap();
    }
    assert_startup_fails(std::path::Path::new("/nowhere/config.json"), "/nowhere/config.json");
}

/// Starts a gateway and checks that it fails with one line on standard error that contains this text.
fn assert_startup_fails(path: &std::path::Path, expected_error: &str) {
    let output = gateway_command(path).stderr(Stdio::piped()).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && stderr.contains(expected_error) && stderr.lines().count() == 1,
        "{expected_error}: {stderr}"
    );
}
