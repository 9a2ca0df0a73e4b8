//! Tests of the HTTP parser, with shared sample inputs.

mod body;
mod head;
mod message;

use super::{Head, MessageKind};

/// The parsed form of a message: its head as one line, and its body.
type Summary = (String, Vec<u8>);

const RESPONSE: MessageKind = MessageKind::Response { to_head: false };

/// Formats a head's start line and fields as one line.
pub(super) fn summary(head: &Head) -> String {
    let start_line_part = |n| String::from_utf8_lossy(head.start_line_part(n)).into_owned();
    let fields = head
        .fields()
        .map(|(name, value)| format!("{}={}", String::from_utf8_lossy(name), String::from_utf8_lossy(value)));
    [start_line_part(0), start_line_part(1), start_line_part(2)]
        .into_iter()
        .chain(fields)
        .collect::<Vec<_>>()
        .join("|")
}

/// Valid inputs with the messages that they contain.
pub(super) fn valid_inputs() -> [(MessageKind, &'static str, Vec<Summary>); 2] {
    let requests = "\r\nGET /a/b?c HTTP/1.1\r\nHost: x\r\nX-A:\t 1 2 \r\nX-B:\r\n\r\n\
        POST /d HTTP/1.0\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\na\r\n\r\n\
        POST /e HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
        5;q=\"1\"\r\nab\r\nc\r\n00a\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n";
    let responses =
        "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 200 OK then\r\nContent-Length: 2\r\n\r\nok\
        HTTP/1.1 204 \r\nContent-Length: 7\r\n\r\nHTTP/1.0 500\r\n\r\nto the end";
    let expected: Vec<(&str, &str)> = vec![
        ("GET|/a/b?c|HTTP/1.1|Host=x|X-A=1 2|X-B=", ""),
        ("POST|/d|HTTP/1.0|Content-Length=5|Content-Length=5", "a\r\n\r\n"),
        ("POST|/e|HTTP/1.1|Transfer-Encoding=Chunked", "ab\r\nc0123456789"),
        ("GET|/|HTTP/1.1", ""),
        ("HTTP/1.1|200|OK then|Content-Length=2", "ok"),
        ("HTTP/1.1|204||Content-Length=7", ""),
        ("HTTP/1.0|500|", "to the end"),
    ];
    let mut expected_requests: Vec<_> =
        expected.into_iter().map(|(head, body)| (head.to_owned(), body.as_bytes().to_vec())).collect();
    let expected_responses = expected_requests.split_off(4);
    [(MessageKind::Request, requests, expected_requests), (RESPONSE, responses, expected_responses)]
}

/// Malformed inputs.
pub(super) fn malformed_inputs() -> Vec<(MessageKind, String)> {
    let get = |rest: &str| (MessageKind::Request, format!("GET / HTTP/1.1\r\n{rest}\r\n\r\n"));
    let post = |framing: &str, body: &str| {
        (MessageKind::Request, format!("POST / HTTP/1.1\r\n{framing}\r\n\r\n{body}"))
    };
    let chunked = |body: &str| post("Transfer-Encoding: chunked", body);
    let response = |text: &str| (RESPONSE, text.to_owned());
    vec![
        get("A"),
        get(": a"),
        get("A b: c"),
        get("A : b"),
        get("A: b\r\n c"),
        get("A: \0"),
        get("A: b\nC: d"),
        (MessageKind::Request, "GET / HTTP/2.0\r\n\r\n".into()),
        (MessageKind::Request, "GET  / HTTP/1.1\r\n\r\n".into()),
        (MessageKind::Request, "G@T / HTTP/1.1\r\n\r\n".into()),
        (MessageKind::Request, "GET http://x/ HTTP/1.1\r\n\r\n".into()),
        (MessageKind::Request, "GET /\r\n\r\n".into()),
        post("Content-Length: 1\r\nContent-Length: 2", "ab"),
        post("Content-Length: 1, 1", "a"),
        post("Content-Length: -1", ""),
        post("Content-Length: 99999999999999999999", ""),
        post("Content-Length: 1\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        post("Transfer-Encoding: gzip, chunked", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        chunked("x\r\n"),
        chunked("-1\r\n"),
        chunked("\r\n"),
        chunked("1\nab\r\n"),
        chunked("1\r\nab\r\n"),
        chunked(&"0".repeat(300)),
        response("HTTP/1.1 20 OK\r\n\r\n"),
        response("HTTP/1.1 099 OK\r\n\r\n"),
        response("HTTP/1.1 101 Go\r\n\r\n"),
        response("ICY 200 OK\r\n\r\n"),
    ]
}
