//! What a backend says, cut anywhere, with the connection open, ended or broken behind each cut.

use kitepass_data_plane::attempt::{
    InputState, ReadProgress, ResponseContext, ResponseFailure, ResponseReader,
};
use rstest::rstest;

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n";
const OTHER: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t0\r\nX-Postmark: q\r\nContent-Length: 5\r\n\r\nother";

/// Reads a text in pieces, none of it long. What came in the end, its body, and what is left over.
fn read(
    text: &[u8],
    cuts: &[usize],
    tail: InputState,
    is_head_request: bool,
    has_carried_head: bool,
) -> (ReadProgress, Vec<u8>, usize) {
    let asked =
        ResponseContext { request_id: b"t1", is_head_request, has_carried_head, max_buffered_bytes: 1024 };
    let (mut answer, mut input, mut from) = (ResponseReader::default(), Vec::new(), 0);
    for to in cuts.iter().copied().chain([text.len()]) {
        input.extend_from_slice(&text[from..to]);
        from = to;
        let tail = if to == text.len() { tail } else { InputState::Open };
        match answer.read(asked, &mut input, tail) {
            ReadProgress::Partial => {}
            came => return (came, answer.body, input.len() + text.len() - to),
        }
    }
    (ReadProgress::Partial, answer.body, input.len())
}

/// What is there of an answer after so many bytes, and how it ends.
#[rstest]
#[case::sized(HEAD.to_owned() + "Content-Length: 4\r\n\r\nbody", "body")]
#[case::chunked(HEAD.to_owned() + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=1\r\ndy\r\n0\r\nT: 1\r\n\r\n", "body")]
#[case::empty(HEAD.to_owned() + "Content-Length: 0\r\n\r\n", "")]
#[case::behind_an_interim("HTTP/1.1 100 Continue\r\n\r\n".to_owned() + HEAD + "Content-Length: 4\r\n\r\nbody", "body")]
#[case::behind_a_surplus(OTHER.to_owned() + HEAD + "Content-Length: 4\r\n\r\nbody", "body")]
#[case::behind_two(OTHER.to_owned() + OTHER + HEAD + "Content-Length: 4\r\n\r\nbody", "body")]
fn an_answer_is_whole_with_its_last_byte_and_not_before(#[case] text: String, #[case] body: &str) {
    let bytes = text.as_bytes();
    for to in 0..bytes.len() {
        for tail in [InputState::Ended, InputState::Broken] {
            for cut in 0..=to {
                let (came, ..) = read(&bytes[..to], &[cut], tail, false, false);
                assert!(
                    matches!(
                        came,
                        ReadProgress::Failed(ResponseFailure::Closed | ResponseFailure::Truncated)
                    ),
                    "{came:?} after {to}, cut at {cut}"
                );
            }
        }
        assert_eq!(
            read(&bytes[..to], &[], InputState::Open, false, false).0,
            ReadProgress::Partial,
            "after {to}"
        );
    }
    for tail in [InputState::Open, InputState::Ended, InputState::Broken] {
        for one in 0..=bytes.len() {
            for two in one..=bytes.len() {
                let (came, got, left) = read(bytes, &[one, two], tail, false, false);
                assert_eq!(
                    (came, got.as_slice(), left),
                    (ReadProgress::Complete, body.as_bytes(), 0),
                    "cut at {one}, {two}"
                );
            }
        }
    }
    // Bytes behind it are left where they are.
    let more = text.clone() + OTHER;
    for cut in 0..=more.len() {
        let (came, got, left) = read(more.as_bytes(), &[cut], InputState::Open, false, false);
        assert_eq!(
            (came, got.as_slice(), left),
            (ReadProgress::Complete, body.as_bytes(), OTHER.len()),
            "cut at {cut}"
        );
    }
}

/// Such a body is whole where the connection ends in order, and nowhere else.
#[rstest]
#[case(InputState::Open, ReadProgress::Partial)]
#[case(InputState::Ended, ReadProgress::Complete)]
#[case(InputState::Broken, ReadProgress::Failed(ResponseFailure::Truncated))]
fn a_body_without_a_length_ends_with_its_connection(
    #[case] tail: InputState,
    #[case] expected: ReadProgress,
) {
    let text = HEAD.to_owned() + "\r\nbody";
    for cut in 0..=text.len() {
        assert_eq!(read(text.as_bytes(), &[cut], tail, false, false).0, expected, "cut at {cut}");
    }
}

/// Where it ends hangs on the method of the request that it answers, which is not known.
#[rstest]
#[case::neither(false, false, ReadProgress::Complete)]
#[case::this_one(true, true, ReadProgress::Failed(ResponseFailure::SurplusBesideHead))]
#[case::one_before(false, true, ReadProgress::Failed(ResponseFailure::SurplusBesideHead))]
fn a_surplus_answer_beside_a_head_ends_the_connection(
    #[case] is_head_request: bool,
    #[case] has_carried_head: bool,
    #[case] expected: ReadProgress,
) {
    let text = OTHER.to_owned() + HEAD + "Content-Length: 0\r\n\r\n";
    assert_eq!(read(text.as_bytes(), &[], InputState::Open, is_head_request, has_carried_head).0, expected);
    let own = HEAD.to_owned() + "Content-Length: 4\r\n\r\n" + if is_head_request { "" } else { "body" };
    assert_eq!(
        read(own.as_bytes(), &[], InputState::Open, is_head_request, has_carried_head).0,
        ReadProgress::Complete
    );
}

#[rstest]
#[case::no_answer("\0\u{1}\r\n\r\n".to_owned(), ResponseFailure::Malformed)]
#[case::protocol("HTTP/1.1 101 Go\r\n\r\n".to_owned(), ResponseFailure::Malformed)]
#[case::two_framings(HEAD.to_owned() + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ResponseFailure::Malformed)]
#[case::two_lengths(HEAD.to_owned() + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", ResponseFailure::Malformed)]
#[case::no_chunk(HEAD.to_owned() + "Transfer-Encoding: chunked\r\n\r\nx\r\n", ResponseFailure::Malformed)]
#[case::long_head("HTTP/1.1 200 OK\r\nA: ".to_owned() + &"a".repeat(33 * 1024), ResponseFailure::Malformed)]
#[case::nameless("HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 0\r\n\r\n".to_owned(), ResponseFailure::MissingRequestId)]
#[case::garbled_behind_a_surplus(OTHER.to_owned() + "garbled\r\n\r\n", ResponseFailure::Malformed)]
fn what_is_no_answer_is_none_wherever_it_is_cut(#[case] text: String, #[case] failure: ResponseFailure) {
    for cut in (0..=text.len()).step_by(1 + text.len() / 1024) {
        assert_eq!(
            read(text.as_bytes(), &[cut], InputState::Open, false, false).0,
            ReadProgress::Failed(failure),
            "cut at {cut}"
        );
    }
}

/// A surplus answer is never long, and a long one of its own says so with what there is.
#[test]
fn a_long_answer_is_told_apart_from_a_long_surplus_one() {
    let long = |id: &str| {
        let head =
            format!("HTTP/1.1 200 OK\r\nX-Try-Id: {id}\r\nX-Postmark: p\r\nContent-Length: 5000\r\n\r\n");
        head + &"z".repeat(3000)
    };
    let (came, got, _) = read(long("t1").as_bytes(), &[], InputState::Open, false, false);
    assert_eq!((came, got.len()), (ReadProgress::BufferFull, 2048));
    let (came, got, left) = read(long("t0").as_bytes(), &[], InputState::Open, false, false);
    assert_eq!((came, got.len(), left), (ReadProgress::Partial, 0, 0));
    for tail in [InputState::Ended, InputState::Broken] {
        assert_eq!(
            read(long("t1").as_bytes(), &[], tail, false, false).0,
            ReadProgress::Failed(ResponseFailure::Truncated)
        );
    }
}
