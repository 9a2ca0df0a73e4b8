//! Responses cut at every position, after which the connection stays open, is closed or breaks.

use kitepass_data_plane::attempt::{
    InputState, ReadProgress, ResponseContext, ResponseFailure, ResponseReader,
};
use rstest::rstest;

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n";
const STALE: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t0\r\nX-Postmark: q\r\nContent-Length: 5\r\n\r\nother";
const CONTEXT: ResponseContext = ResponseContext {
    request_id: b"t1",
    is_head_request: false,
    had_head_request: false,
    max_buffered_bytes: 1024,
};

/// The result of reading a text.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    progress: ReadProgress,
    body: Vec<u8>,
    /// Bytes of the text that were not read.
    unread: usize,
}

impl Outcome {
    fn complete(body: &str, unread: usize) -> Outcome {
        Outcome { progress: ReadProgress::Complete, body: body.as_bytes().to_vec(), unread }
    }
}

/// Reads a text in pieces, until the response is complete, fails or fills the buffer.
fn read(text: &[u8], cuts: &[usize], input_state: InputState, context: ResponseContext) -> Outcome {
    let (mut reader, mut input, mut from) = (ResponseReader::default(), Vec::new(), 0);
    let mut progress = ReadProgress::Partial;
    for to in cuts.iter().copied().chain([text.len()]) {
        input.extend_from_slice(&text[from..to]);
        from = to;
        let input_state = if to == text.len() { input_state } else { InputState::Open };
        progress = reader.read(context, &mut input, input_state);
        if progress != ReadProgress::Partial {
            break;
        }
    }
    Outcome { progress, body: reader.body, unread: input.len() + text.len() - from }
}

/// Checks every prefix of a response with every state of the input after it.
#[rstest]
#[case::sized(HEAD.to_owned() + "Content-Length: 4\r\n\r\nbody", "body")]
#[case::chunked(HEAD.to_owned() + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=1\r\ndy\r\n0\r\nT: 1\r\n\r\n", "body")]
#[case::empty(HEAD.to_owned() + "Content-Length: 0\r\n\r\n", "")]
#[case::after_an_interim_response("HTTP/1.1 100 Continue\r\n\r\n".to_owned() + HEAD + "Content-Length: 4\r\n\r\nbody", "body")]
#[case::after_a_stale_response(STALE.to_owned() + HEAD + "Content-Length: 4\r\n\r\nbody", "body")]
#[case::after_two_stale_responses(STALE.to_owned() + STALE + HEAD + "Content-Length: 4\r\n\r\nbody", "body")]
fn a_response_is_complete_with_its_last_byte_and_not_before(#[case] text: String, #[case] body: &str) {
    let bytes = text.as_bytes();
    for to in 0..bytes.len() {
        for input_state in [InputState::Ended, InputState::Broken] {
            for cut in 0..=to {
                let progress = read(&bytes[..to], &[cut], input_state, CONTEXT).progress;
                let is_cut = matches!(
                    progress,
                    ReadProgress::Failed(ResponseFailure::Closed | ResponseFailure::Truncated)
                );
                assert!(is_cut, "{progress:?} after {to}, cut at {cut}");
            }
        }
        let progress = read(&bytes[..to], &[], InputState::Open, CONTEXT).progress;
        assert_eq!(progress, ReadProgress::Partial, "after {to}");
    }
    for input_state in [InputState::Open, InputState::Ended, InputState::Broken] {
        for one in 0..=bytes.len() {
            for two in one..=bytes.len() {
                let outcome = read(bytes, &[one, two], input_state, CONTEXT);
                assert_eq!(outcome, Outcome::complete(body, 0), "cut at {one}, {two}");
            }
        }
    }
    // Bytes after the response remain unread.
    let more = text.clone() + STALE;
    for cut in 0..=more.len() {
        let outcome = read(more.as_bytes(), &[cut], InputState::Open, CONTEXT);
        assert_eq!(outcome, Outcome::complete(body, STALE.len()), "cut at {cut}");
    }
}

/// Such a body is complete only if the connection is closed in an orderly way.
#[rstest]
#[case(InputState::Open, ReadProgress::Partial)]
#[case(InputState::Ended, ReadProgress::Complete)]
#[case(InputState::Broken, ReadProgress::Failed(ResponseFailure::Truncated))]
fn a_body_without_a_length_ends_with_its_connection(
    #[case] input_state: InputState,
    #[case] expected: ReadProgress,
) {
    let text = HEAD.to_owned() + "\r\nbody";
    for cut in 0..=text.len() {
        let progress = read(text.as_bytes(), &[cut], input_state, CONTEXT).progress;
        assert_eq!(progress, expected, "cut at {cut}");
    }
}

/// The end of a stale response depends on the method of the request that it answers, which is not known.
#[rstest]
#[case::no_head_request(false, false, ReadProgress::Complete)]
#[case::head_request(true, true, ReadProgress::Failed(ResponseFailure::AmbiguousStaleResponse))]
#[case::earlier_head_request(false, true, ReadProgress::Failed(ResponseFailure::AmbiguousStaleResponse))]
fn a_surplus_response_beside_a_head_request_fails(
    #[case] is_head_request: bool,
    #[case] had_head_request: bool,
    #[case] expected: ReadProgress,
) {
    let context = ResponseContext { is_head_request, had_head_request, ..CONTEXT };
    let text = STALE.to_owned() + HEAD + "Content-Length: 0\r\n\r\n";
    assert_eq!(read(text.as_bytes(), &[], InputState::Open, context).progress, expected);
    let own = HEAD.to_owned() + "Content-Length: 4\r\n\r\n" + if is_head_request { "" } else { "body" };
    assert_eq!(read(own.as_bytes(), &[], InputState::Open, context).progress, ReadProgress::Complete);
}

#[rstest]
#[case::not_a_response("\0\u{1}\r\n\r\n".to_owned(), ResponseFailure::Malformed)]
#[case::switching_protocols("HTTP/1.1 101 Go\r\n\r\n".to_owned(), ResponseFailure::Malformed)]
#[case::two_framings(HEAD.to_owned() + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ResponseFailure::Malformed)]
#[case::two_lengths(HEAD.to_owned() + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", ResponseFailure::Malformed)]
#[case::invalid_chunk_size(HEAD.to_owned() + "Transfer-Encoding: chunked\r\n\r\nx\r\n", ResponseFailure::Malformed)]
#[case::long_head("HTTP/1.1 200 OK\r\nA: ".to_owned() + &"a".repeat(33 * 1024), ResponseFailure::Malformed)]
#[case::no_request_id("HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 0\r\n\r\n".to_owned(), ResponseFailure::MissingRequestId)]
#[case::malformed_after_a_stale_response(STALE.to_owned() + "garbled\r\n\r\n", ResponseFailure::Malformed)]
fn an_invalid_response_fails_wherever_it_is_cut(#[case] text: String, #[case] failure: ResponseFailure) {
    for cut in (0..=text.len()).step_by(1 + text.len() / 1024) {
        let progress = read(text.as_bytes(), &[cut], InputState::Open, CONTEXT).progress;
        assert_eq!(progress, ReadProgress::Failed(failure), "cut at {cut}");
    }
}

/// A stale response never fills the buffer. A long response of the attempt itself does, and its bytes are available.
#[test]
fn a_long_response_fills_the_buffer_and_a_long_surplus_one_does_not() {
    let long = |id: &str| {
        let head =
            format!("HTTP/1.1 200 OK\r\nX-Try-Id: {id}\r\nX-Postmark: p\r\nContent-Length: 5000\r\n\r\n");
        head + &"z".repeat(3000)
    };
    let own = read(long("t1").as_bytes(), &[], InputState::Open, CONTEXT);
    assert_eq!((own.progress, own.body.len()), (ReadProgress::BufferFull, 2048));
    let surplus = read(long("t0").as_bytes(), &[], InputState::Open, CONTEXT);
    assert_eq!((surplus.progress, surplus.body.len(), surplus.unread), (ReadProgress::Partial, 0, 0));
    for input_state in [InputState::Ended, InputState::Broken] {
        let progress = read(long("t1").as_bytes(), &[], input_state, CONTEXT).progress;
        assert_eq!(progress, ReadProgress::Failed(ResponseFailure::Truncated));
    }
}
