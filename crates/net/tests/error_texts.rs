//! The `Debug` output of parse errors is sent in responses of the in-service gateway and must not change.

use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::{MessageKind, MessageReader, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use rstest::rstest;

const RESPONSE: MessageKind = MessageKind::Response { to_head: false };

fn error_debug_text(kind: MessageKind, input: &str) -> String {
    let error = MessageReader::default().next(kind, &mut input.as_bytes().to_vec(), false).unwrap_err();
    format!("{error:?}")
}

#[rstest]
#[case::start_line("GET /\r\n", r#"Malformed("a first line that is none")"#)]
#[case::incomplete_start_line("\u{1}", r#"Malformed("a first line that is none")"#)]
#[case::bare_line_feed("GET / HTTP/1.1\n", r#"Malformed("a line that ends without a carriage return")"#)]
#[case::field_without_colon("GET / HTTP/1.1\r\nA\r\n", r#"Malformed("a field without a colon")"#)]
#[case::field_name("GET / HTTP/1.1\r\nA : b\r\n", r#"Malformed("a field's name")"#)]
#[case::field_value("GET / HTTP/1.1\r\nA: \0\r\n", r#"Malformed("a field's value")"#)]
#[case::content_length("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", r#"Malformed("a content length")"#)]
#[case::conflicting_lengths(
    "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    r#"Malformed("two lengths that differ")"#
)]
#[case::transfer_encoding(
    "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
    r#"Malformed("a transfer encoding other than chunked")"#
)]
#[case::length_and_encoding(
    "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    r#"Malformed("a length beside a transfer encoding")"#
)]
#[case::chunk_size(
    "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
    r#"Malformed("a chunk's length")"#
)]
#[case::chunk_line_end(
    "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\n",
    r#"Malformed("a chunk's end")"#
)]
#[case::chunk_overrun(
    "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
    r#"Malformed("a chunk longer than it said")"#
)]
fn malformed_request_has_its_debug_text(#[case] input: &str, #[case] expected: &str) {
    assert_eq!(error_debug_text(MessageKind::Request, input), expected);
}

#[test]
fn oversized_message_has_its_debug_text() {
    let head = "a".repeat(MAX_HEAD_BYTES + 1);
    assert_eq!(error_debug_text(MessageKind::Request, &head), "HeadTooLarge");
    let body = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1);
    assert_eq!(error_debug_text(MessageKind::Request, &body), "BodyTooLarge");
}

#[test]
fn malformed_response_has_its_debug_text() {
    let switching_protocols = "HTTP/1.1 101 Go\r\n\r\n";
    let switching_protocols_text = r#"Malformed("a change of protocol that nobody asked for")"#;
    assert_eq!(error_debug_text(RESPONSE, switching_protocols), switching_protocols_text);

    let interim_responses = "HTTP/1.1 102 Processing\r\n\r\n".repeat(9);
    let too_many_interim_responses_text = r#"Malformed("no end of answers before the one")"#;
    assert_eq!(error_debug_text(RESPONSE, &interim_responses), too_many_interim_responses_text);
}

#[test]
fn response_that_is_not_chunked_has_its_debug_text() {
    let mut input = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n".to_vec();
    let error = MessageReader::default().read_chunked_response(&mut input, &mut Vec::new()).unwrap_err();
    assert_eq!(format!("{error:?}"), r#"Malformed("expected a chunked body")"#);
}

#[test]
fn truncated_body_has_its_debug_text() {
    let mut input = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n".to_vec();
    let head = HeadReader::default().next(MessageKind::Request, &mut input, MAX_HEAD_BYTES).unwrap();
    let (_, framing) = head.expect("the head is complete");
    let error = Body::new(framing).finish_at_eof().unwrap_err();
    assert_eq!(format!("{error:?}"), r#"Malformed("a body that breaks off")"#);
}
