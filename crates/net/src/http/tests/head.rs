//! Tests of the accessors of `Head`.

use crate::http::{HeadReader, MessageKind};
use rstest::rstest;

const MAX_HEAD_BYTES: usize = 1024;

#[rstest]
#[case::connection_close(
    "POST / HTTP/1.1\r\nConnection: x-a, Close\r\nX-A: 1\r\nB: 2\r\nC: 3\r\n",
    false,
    None,
    false
)]
#[case::expect_continue("PUT / HTTP/1.1\r\nexpect: 100-Continue\r\nB: 2\r\n", true, None, true)]
#[case::expect_continue_in_http_1_0("PUT / HTTP/1.0\r\nExpect: 100-continue\r\nB: 2\r\n", false, None, false)]
#[case::keep_alive_timeout(
    "GET / HTTP/1.1\r\nKeep-Alive: max=9, timeout = 5\r\nB: 2\r\n",
    true,
    Some(5),
    false
)]
#[case::keep_alive_timeout_is_not_a_number(
    "GET / HTTP/1.1\r\nKeep-Alive: timeout=x\r\nB: 2\r\n",
    true,
    None,
    false
)]
fn accessors_interpret_the_fields(
    #[case] text: &str,
    #[case] is_persistent: bool,
    #[case] keep_alive_secs: Option<u64>,
    #[case] expects_continue: bool,
) {
    let mut input = format!("{text}\r\nrest").into_bytes();
    let (head, _) =
        HeadReader::default().next(MessageKind::Request, &mut input, MAX_HEAD_BYTES).unwrap().unwrap();
    assert_eq!((head.len(), input.as_slice()), (text.len() + 2, b"rest".as_slice()));
    assert_eq!(
        (head.is_persistent(), head.keep_alive_secs(), head.expects_continue()),
        (is_persistent, keep_alive_secs, expects_continue)
    );
    let mut forwarded = Vec::new();
    head.append_forwarded_fields(&["c"], &mut forwarded);
    assert_eq!(forwarded, b"B: 2\r\n");
}
