//! Tests of complete messages with `MessageReader`.

use super::{malformed_inputs, summary, valid_inputs, Summary, RESPONSE};
use crate::http::{MessageKind, MessageReader, ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Reads all messages of an input that arrives in two parts.
fn read(kind: MessageKind, text: &str, split: usize) -> Result<Vec<Summary>, ParseError> {
    let (mut reader, mut input, mut messages) = (MessageReader::default(), Vec::new(), Vec::new());
    for (part, at_eof) in [(&text[..split], false), (&text[split..], false), ("", true)] {
        input.extend_from_slice(part.as_bytes());
        while let Some(message) = reader.next(kind, &mut input, at_eof)? {
            messages.push((summary(&message), message.body().to_vec()));
            if input.is_empty() {
                break;
            }
        }
    }
    assert!(!reader.has_partial_message(&input), "unread input remains");
    Ok(messages)
}

#[test]
fn messages_are_independent_of_input_splits() {
    for (kind, text, expected) in valid_inputs() {
        for split in 0..=text.len() {
            assert_eq!(read(kind, text, split).as_deref(), Ok(expected.as_slice()), "split at {split}");
        }
    }
    let to_head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    assert_eq!(read(MessageKind::Response { to_head: true }, to_head, 4).unwrap()[0].1, b"");
}

#[test]
fn malformed_input_is_rejected_at_every_split() {
    for (kind, text) in malformed_inputs() {
        for split in 0..=text.len() {
            assert!(
                matches!(read(kind, &text, split), Err(ParseError::Malformed(_))),
                "{text:?} split at {split}"
            );
        }
    }
}

#[test]
fn oversized_messages_are_rejected_before_they_are_buffered() {
    let large = "a".repeat(MAX_HEAD_BYTES);
    let chunk = format!("ff00\r\n{}\r\n", "a".repeat(0xff00));
    for (text, error) in [
        (format!("GET / HTTP/1.1\r\nA: {large}"), ParseError::HeadTooLarge),
        (format!("GET / HTTP/1.1\r\nA: {large}\r\n\r\n"), ParseError::HeadTooLarge),
        (
            format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1),
            ParseError::BodyTooLarge,
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n".to_owned(),
            ParseError::BodyTooLarge,
        ),
        (
            format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}"),
            ParseError::BodyTooLarge,
        ),
    ] {
        for split in [0, 10, text.len() / 2, text.len()] {
            assert_eq!(read(MessageKind::Request, &text, split), Err(error));
        }
    }
    let endless = format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(MAX_BODY_BYTES + 1));
    assert_eq!(read(RESPONSE, &endless, 9), Err(ParseError::BodyTooLarge));
}

#[test]
fn chunked_response_is_decoded_incrementally() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\nbc\r\n2\r\nd\n\r\n0\r\n\r\n";
    for split in 0..=text.len() {
        let (mut reader, mut input, mut decoded) = (MessageReader::default(), Vec::new(), Vec::new());
        let mut complete = None;
        for part in [&text[..split], &text[split..]] {
            input.extend_from_slice(part.as_bytes());
            complete = reader.read_chunked_response(&mut input, &mut decoded).unwrap();
        }
        assert_eq!(
            (complete, decoded.as_slice(), reader.chunked_response_status(&input)),
            (Some(true), b"a\nbcd\n".as_slice(), 200)
        );
    }
}
