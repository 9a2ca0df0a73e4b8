//! What a backend says, cut anywhere, with the connection open, ended or broken behind each cut.

use kitepass_data_plane::attempt::{Answer, Asked, Came, Tail};
use rstest::rstest;

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\n";
const OTHER: &str = "HTTP/1.1 200 OK\r\nX-Try-Id: t0\r\nX-Postmark: q\r\nContent-Length: 5\r\n\r\nother";

/// Reads a text in pieces, none of it long. What came in the end, its body, and what is left over.
fn read(text: &[u8], cuts: &[usize], tail: Tail, to_head: bool, headed: bool) -> (Came, Vec<u8>, usize) {
    let asked = Asked { id: b"t1", to_head, headed, long: 1024 };
    let (mut answer, mut input, mut from) = (Answer::default(), Vec::new(), 0);
    for to in cuts.iter().copied().chain([text.len()]) {
        input.extend_from_slice(&text[from..to]);
        from = to;
        let tail = if to == text.len() { tail } else { Tail::Open };
        match answer.read(asked, &mut input, tail) {
            Came::Part => {}
            came => return (came, answer.got, input.len() + text.len() - to),
        }
    }
    (Came::Part, answer.got, input.len())
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
        for tail in [Tail::Ended, Tail::Broken] {
            for cut in 0..=to {
                let (came, ..) = read(&bytes[..to], &[cut], tail, false, false);
                assert!(
                    matches!(came, Came::Nothing("closed" | "cut-short")),
                    "{came:?} after {to}, cut at {cut}"
                );
            }
        }
        assert_eq!(read(&bytes[..to], &[], Tail::Open, false, false).0, Came::Part, "after {to}");
    }
    for tail in [Tail::Open, Tail::Ended, Tail::Broken] {
        for one in 0..=bytes.len() {
            for two in one..=bytes.len() {
                let (came, got, left) = read(bytes, &[one, two], tail, false, false);
                assert_eq!(
                    (came, got.as_slice(), left),
                    (Came::Whole, body.as_bytes(), 0),
                    "cut at {one}, {two}"
                );
            }
        }
    }
    // Bytes behind it are left where they are.
    let more = text.clone() + OTHER;
    for cut in 0..=more.len() {
        let (came, got, left) = read(more.as_bytes(), &[cut], Tail::Open, false, false);
        assert_eq!((came, got.as_slice(), left), (Came::Whole, body.as_bytes(), OTHER.len()), "cut at {cut}");
    }
}

/// Such a body is whole where the connection ends in order, and nowhere else.
#[rstest]
#[case(Tail::Open, Came::Part)]
#[case(Tail::Ended, Came::Whole)]
#[case(Tail::Broken, Came::Nothing("cut-short"))]
fn a_body_without_a_length_ends_with_its_connection(#[case] tail: Tail, #[case] expected: Came) {
    let text = HEAD.to_owned() + "\r\nbody";
    for cut in 0..=text.len() {
        assert_eq!(read(text.as_bytes(), &[cut], tail, false, false).0, expected, "cut at {cut}");
    }
}

/// Where it ends hangs on the method of the request that it answers, which is not known.
#[rstest]
#[case::neither(false, false, Came::Whole)]
#[case::this_one(true, true, Came::Nothing("surplus-to-head"))]
#[case::one_before(false, true, Came::Nothing("surplus-to-head"))]
fn a_surplus_answer_beside_a_head_ends_the_connection(
    #[case] to_head: bool,
    #[case] headed: bool,
    #[case] expected: Came,
) {
    let text = OTHER.to_owned() + HEAD + "Content-Length: 0\r\n\r\n";
    assert_eq!(read(text.as_bytes(), &[], Tail::Open, to_head, headed).0, expected);
    let own = HEAD.to_owned() + "Content-Length: 4\r\n\r\n" + if to_head { "" } else { "body" };
    assert_eq!(read(own.as_bytes(), &[], Tail::Open, to_head, headed).0, Came::Whole);
}

#[rstest]
#[case::no_answer("\0\u{1}\r\n\r\n".to_owned(), "garbled")]
#[case::protocol("HTTP/1.1 101 Go\r\n\r\n".to_owned(), "garbled")]
#[case::two_framings(HEAD.to_owned() + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "garbled")]
#[case::two_lengths(HEAD.to_owned() + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", "garbled")]
#[case::no_chunk(HEAD.to_owned() + "Transfer-Encoding: chunked\r\n\r\nx\r\n", "garbled")]
#[case::long_head("HTTP/1.1 200 OK\r\nA: ".to_owned() + &"a".repeat(33 * 1024), "garbled")]
#[case::nameless("HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 0\r\n\r\n".to_owned(), "nameless")]
#[case::garbled_behind_a_surplus(OTHER.to_owned() + "garbled\r\n\r\n", "garbled")]
fn what_is_no_answer_is_none_wherever_it_is_cut(#[case] text: String, #[case] why: &'static str) {
    for cut in (0..=text.len()).step_by(1 + text.len() / 1024) {
        assert_eq!(
            read(text.as_bytes(), &[cut], Tail::Open, false, false).0,
            Came::Nothing(why),
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
    let (came, got, _) = read(long("t1").as_bytes(), &[], Tail::Open, false, false);
    assert_eq!((came, got.len()), (Came::Long, 2048));
    let (came, got, left) = read(long("t0").as_bytes(), &[], Tail::Open, false, false);
    assert_eq!((came, got.len(), left), (Came::Part, 0, 0));
    for tail in [Tail::Ended, Tail::Broken] {
        assert_eq!(read(long("t1").as_bytes(), &[], tail, false, false).0, Came::Nothing("cut-short"));
    }
}
