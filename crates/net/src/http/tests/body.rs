//! Tests of streaming bodies with `HeadReader` and `Body`.

use super::{malformed_inputs, summary, valid_inputs, Summary};
use crate::http::body::{Body, HeadReader};
use crate::http::{MessageKind, ParseError};
use rstest::rstest;

const MAX_HEAD_BYTES: usize = 1024;

/// Reads all messages of an input that arrives in two parts, at most `max_bytes` of a body per call.
fn read(kind: MessageKind, text: &str, split: usize, max_bytes: usize) -> Result<Vec<Summary>, ParseError> {
    let (mut reader, mut input, mut messages) = (HeadReader::default(), Vec::new(), Vec::new());
    let mut body: Option<Body> = None;
    for part in [&text[..split], &text[split..]] {
        input.extend_from_slice(part.as_bytes());
        loop {
            let Some(body_reader) = &mut body else {
                let Some((head, framing)) = reader.next(kind, &mut input, MAX_HEAD_BYTES)? else { break };
                messages.push((summary(&head), Vec::new()));
                body = Some(Body::new(framing));
                continue;
            };
            let decoded = &mut messages.last_mut().unwrap().1;
            let length_before = decoded.len();
            if body_reader.read(&mut input, decoded, max_bytes)? {
                body = None;
            } else if decoded.len() == length_before {
                break;
            }
            assert!(messages.last().unwrap().1.len() - length_before <= max_bytes);
        }
    }
    if let Some(mut body) = body {
        body.finish_at_eof()?;
        assert!(body.is_complete());
    }
    assert!(!reader.has_partial_head(&input), "unread input remains");
    Ok(messages)
}

#[rstest]
fn messages_are_independent_of_input_splits(#[values(1, 3, usize::MAX)] max_bytes: usize) {
    for (kind, text, expected) in valid_inputs() {
        for split in 0..=text.len() {
            assert_eq!(
                read(kind, text, split, max_bytes).as_deref(),
                Ok(expected.as_slice()),
                "split at {split}"
            );
        }
    }
}

#[rstest]
fn invalid_input_is_rejected_at_every_split(#[values(1, usize::MAX)] max_bytes: usize) {
    let long = "a".repeat(300);
    let post = |framing: &str, body: &str| {
        (MessageKind::Request, format!("POST / HTTP/1.1\r\n{framing}\r\n\r\n{body}"))
    };
    let chunked = |body: &str| post("Transfer-Encoding: chunked", body);
    let truncated =
        [post("Content-Length: 100000000000000000", "ab"), chunked("10000000000\r\nab"), chunked("0\r\n")];
    let overlong_lines =
        [chunked(&format!("1;{long}\r\n")), chunked(&format!("0\r\nA: {}", long.repeat(28)))];
    let many_trailer_lines = chunked(&format!("0\r\n{}", format!("A: {long}\r\n").repeat(28)));
    for (kind, text) in
        malformed_inputs().into_iter().chain(truncated).chain(overlong_lines).chain([many_trailer_lines])
    {
        for split in 0..=text.len() {
            let messages = read(kind, &text, split, max_bytes);
            assert!(
                matches!(messages, Err(ParseError::Malformed(_))),
                "{text:?} split at {split}: {messages:?}"
            );
        }
    }
    let too_large = [
        (post(&format!("A: {}", long.repeat(4)), "").1, ParseError::HeadTooLarge),
        (chunked("10000000001\r\n").1, ParseError::BodyTooLarge),
    ];
    for (text, error) in too_large {
        for split in 0..=text.len() {
            assert_eq!(read(MessageKind::Request, &text, split, max_bytes), Err(error));
        }
    }
}
