//! What is parsed of HTTP/1.1 messages stays as it is: for each input the outcome of both readers, in plain text, beside
//! the text in `golden/`.

use kitepass_net::http::body::{Body, Framing, Head, HeadReader};
use kitepass_net::http::{MessageKind, MessageReader, ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use std::fmt::Write;
use std::path::Path;

const RESPONSE: MessageKind = MessageKind::Response { to_head: false };
const RESPONSE_TO_HEAD: MessageKind = MessageKind::Response { to_head: true };
/// Fields that are left out of what is forwarded, beside those of one connection.
const LEFT_OUT: [&str; 1] = ["x-left-out"];
/// Longer runs of one byte are written with their length.
const LONGEST_RUN: usize = 40;

const REQUESTS: &[(&str, &str)] = &[
    ("no fields", "GET / HTTP/1.1\r\n\r\n"),
    ("fields in order", "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nx-a: 2\r\nX-Empty:\r\n\r\n"),
    ("blanks around values", "GET / HTTP/1.1\r\nA:\t 1 2 \t\r\nB:3\r\n\r\n"),
    ("bytes above 127 in a value", "GET / HTTP/1.1\r\nA: \u{e9}\r\n\r\n"),
    ("empty lines before a message", "\r\n\r\nGET / HTTP/1.1\r\n\r\n"),
    ("HTTP/1.0", "GET / HTTP/1.0\r\n\r\n"),
    ("HTTP/1.0 kept open", "GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n"),
    ("connection closed", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"),
    (
        "fields of one connection",
        "GET / HTTP/1.1\r\nConnection: X-Named , x-other\r\nx-named: 1\r\nX-Other: 2\r\nKeep-Alive: timeout=5\r\n\
         TE: trailers\r\nTrailer: A\r\nUpgrade: h2c\r\nProxy-Connection: close\r\nProxy-Authenticate: a\r\n\
         Expect: a\r\nX-Left-Out: 3\r\nX-Stays:  4 \r\n\r\n",
    ),
    ("keep-alive of several parameters", "GET / HTTP/1.1\r\nKeep-Alive: max=9, Timeout = 7, timeout=6\r\n\r\n"),
    ("keep-alive that is no number", "GET / HTTP/1.1\r\nKeep-Alive: timeout=x\r\n\r\n"),
    ("waits for 100", "PUT /a HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\nab"),
    ("waits for 100 in HTTP/1.0", "PUT /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab"),
    ("length 0", "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
    ("length", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\na\r\n\r\n"),
    ("length with leading zeros", "POST / HTTP/1.1\r\nContent-Length: 003\r\n\r\nabc"),
    ("same length twice", "POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\na"),
    ("body that is not complete", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"),
    ("two messages", "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1GET /b HTTP/1.1\r\n\r\n"),
    ("message and part of the next", "GET /a HTTP/1.1\r\n\r\nGET /b HT"),
    (
        "chunks",
        "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nab\r\nc\r\n00a\r\n0123456789\r\n0\r\n\r\n",
    ),
    (
        "chunk extensions and trailers",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1 ;a=\"b\"\r\nx\r\n0;c\r\nT: 1\r\nU: 2\r\n\r\n\
         GET / HTTP/1.1\r\n\r\n",
    ),
    ("chunks that are not complete", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"),
    ("other methods", "X-M!Y /a HTTP/1.1\r\n\r\n"),
    ("target with all visible bytes", "GET /!\"#$%&'()*+,-./:;<=>?@[\\]^_`{|}~ HTTP/1.1\r\n\r\n"),
    // Malformed.
    ("noise", "\u{1}\u{2}\u{3}"),
    ("start of a TLS handshake", "\u{16}\u{3}\u{1}"),
    ("no version", "GET /\r\n\r\n"),
    ("HTTP/2.0", "GET / HTTP/2.0\r\n\r\n"),
    ("version in lower case", "GET / http/1.1\r\n\r\n"),
    ("two blanks", "GET  / HTTP/1.1\r\n\r\n"),
    ("blank at the end of the first line", "GET / HTTP/1.1 \r\n\r\n"),
    ("method that is no token", "G@T / HTTP/1.1\r\n\r\n"),
    ("empty method", " / HTTP/1.1\r\n\r\n"),
    ("absolute target", "GET http://x/ HTTP/1.1\r\n\r\n"),
    ("target of an asterisk", "OPTIONS * HTTP/1.1\r\n\r\n"),
    ("target with a byte above 127", "GET /\u{e9} HTTP/1.1\r\n\r\n"),
    ("lines without carriage returns", "GET / HTTP/1.1\nA: b\n\n"),
    ("field without a carriage return", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n"),
    ("field without a colon", "GET / HTTP/1.1\r\nA\r\n\r\n"),
    ("field without a name", "GET / HTTP/1.1\r\n: a\r\n\r\n"),
    ("blank before the colon", "GET / HTTP/1.1\r\nA : b\r\n\r\n"),
    ("folded line", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"),
    ("zero byte in a value", "GET / HTTP/1.1\r\nA: \0\r\n\r\n"),
    ("delete byte in a value", "GET / HTTP/1.1\r\nA: \u{7f}\r\n\r\n"),
    ("two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    ("list of lengths", "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\na"),
    ("negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
    ("length with a sign", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na"),
    ("empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n"),
    ("length of 20 digits", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"),
    (
        "length and chunks",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    ("another coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
    (
        "chunked twice",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    ("chunk length that is no number", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"),
    ("negative chunk length", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n"),
    ("chunk length with a prefix", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n"),
    ("empty chunk length", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n"),
    ("blank before a chunk length", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n 1\r\na\r\n"),
    ("chunk line without a carriage return", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n"),
    ("chunk longer than its length", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"),
    ("message and a malformed one", "GET /a HTTP/1.1\r\n\r\nGET b HTTP/1.1\r\n\r\n"),
];

const RESPONSES: &[(&str, &str)] = &[
    ("length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    ("reason of several words", "HTTP/1.1 404 Not Found here\r\nContent-Length: 0\r\n\r\n"),
    ("no reason", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"),
    ("empty reason", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n"),
    ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    ("to the end of the connection", "HTTP/1.0 500 Oops\r\n\r\nto the end"),
    ("204 with a length", "HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n"),
    ("304 with chunks", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"),
    ("status 999", "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n"),
    (
        "interim responses",
        "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    ),
    ("interim response alone", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("two messages", "HTTP/1.1 204 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
    ("body that breaks off", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nx"),
    ("chunks that break off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nx"),
    // Malformed.
    ("change of protocol", "HTTP/1.1 101 Go\r\n\r\n"),
    ("status of two digits", "HTTP/1.1 20 OK\r\n\r\n"),
    ("status below 100", "HTTP/1.1 099 OK\r\n\r\n"),
    ("status that is no number", "HTTP/1.1 2x0 OK\r\n\r\n"),
    ("another protocol", "ICY 200 OK\r\n\r\n"),
    ("HTTP/2", "HTTP/2 200 OK\r\n\r\n"),
    ("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
];

const RESPONSES_TO_HEAD: &[(&str, &str)] = &[
    ("length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
    ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    ("neither", "HTTP/1.1 200 OK\r\n\r\n"),
];

/// Inputs at and beyond each limit.
fn limits() -> Vec<(MessageKind, String, String)> {
    let get = |bytes: usize| {
        let frame = "GET / HTTP/1.1\r\nA: \r\n\r\n".len();
        format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(bytes - frame))
    };
    let sized =
        |bytes: usize| format!("POST / HTTP/1.1\r\nContent-Length: {bytes}\r\n\r\n{}", "a".repeat(bytes));
    let chunked = |chunks: &str| format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "a".repeat(bytes));
    let interim = |times: usize| {
        format!("{}HTTP/1.1 204 Done\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n".repeat(times))
    };
    let request = |name: &str, input: String| (MessageKind::Request, name.to_owned(), input);
    vec![
        request("largest head", get(MAX_HEAD_BYTES)),
        request("head of a byte more", get(MAX_HEAD_BYTES + 1)),
        request("first line without an end", format!("GET /{}", "a".repeat(MAX_HEAD_BYTES))),
        request("largest body", sized(MAX_BODY_BYTES)),
        request("body of a byte more", sized(MAX_BODY_BYTES + 1)),
        request("largest body in chunks", chunked(&format!("{}0\r\n\r\n", chunk(MAX_BODY_BYTES)))),
        request("chunk of a byte more", chunked(&format!("{}0\r\n\r\n", chunk(MAX_BODY_BYTES + 1)))),
        request("chunks of a byte more", chunked(&format!("{}{}0\r\n\r\n", chunk(MAX_BODY_BYTES), chunk(1)))),
        request("largest chunk of a stream", chunked("10000000000\r\nab")),
        request("chunk of a stream of a byte more", chunked("10000000001\r\nab")),
        request("chunk length of 17 digits", chunked("10000000000000000\r\nab")),
        request("chunk line without an end", chunked(&"0".repeat(300))),
        request("long trailer without an end", chunked(&format!("0\r\nA: {}", "a".repeat(8 * 1024)))),
        (RESPONSE, "most interim responses".into(), interim(8)),
        (RESPONSE, "an interim response more".into(), interim(9)),
        (
            RESPONSE,
            "largest body to the end".into(),
            format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(MAX_BODY_BYTES)),
        ),
        (
            RESPONSE,
            "body of a byte more to the end".into(),
            format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(MAX_BODY_BYTES + 1)),
        ),
    ]
}

/// Bytes as one line, with escapes; a long run of one byte as `{byte x length}`.
fn escaped(bytes: &[u8]) -> String {
    let mut text = String::new();
    for run in bytes.chunk_by(|a, b| a == b) {
        if run.len() > LONGEST_RUN {
            let _ = write!(text, "{{{} x {}}}", run[..1].escape_ascii(), run.len());
        } else {
            let _ = write!(text, "{}", run.escape_ascii());
        }
    }
    text
}

fn yes(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

/// What a head says, one line for each answer that it gives.
fn describe_head(head: &Head, into: &mut String) {
    let start: Vec<String> = (0..3).map(|part| escaped(head.start_line_part(part))).collect();
    let _ =
        writeln!(into, "  start: {} | status {} | {} bytes", start.join(" | "), head.status(), head.len());
    for (name, value) in head.fields() {
        let _ = writeln!(into, "  field: {} = {}", escaped(name), escaped(value));
    }
    let mut forwarded = Vec::new();
    head.append_forwarded_fields(&LEFT_OUT, &mut forwarded);
    let _ = writeln!(into, "  forwarded: {}", escaped(&forwarded));
    let keep_alive = head.keep_alive_secs().map_or("unknown".to_owned(), |seconds| format!("{seconds} s"));
    let _ = writeln!(
        into,
        "  stays open: {}, keep-alive: {keep_alive}, waits for 100: {}",
        yes(head.is_persistent()),
        yes(head.expects_continue())
    );
}

fn describe_fault(fault: ParseError, into: &mut String) {
    let _ = writeln!(into, "  error: {}", fault.status());
}

fn describe_framing(framing: Framing) -> String {
    match framing {
        Framing::Empty => "none".to_owned(),
        Framing::ContentLength(length) => format!("{length} bytes"),
        Framing::Chunked => "chunks".to_owned(),
        Framing::UntilClose => "to the end".to_owned(),
    }
}

/// What the reader of complete messages makes of an input that comes in pieces.
fn read_messages(kind: MessageKind, pieces: &[&[u8]]) -> String {
    let (mut reader, mut input, mut outcome) = (MessageReader::default(), Vec::new(), String::new());
    let ends = std::iter::repeat_n(false, pieces.len()).chain([true]);
    for (piece, ended) in pieces.iter().chain([&b"".as_slice()]).zip(ends) {
        input.extend_from_slice(piece);
        loop {
            match reader.next(kind, &mut input, ended) {
                Ok(None) => break,
                Ok(Some(message)) => {
                    describe_head(&message, &mut outcome);
                    let _ = writeln!(outcome, "  body: {}", escaped(message.body()));
                }
                Err(fault) => {
                    describe_fault(fault, &mut outcome);
                    return outcome;
                }
            }
            if input.is_empty() {
                break;
            }
        }
    }
    let _ = writeln!(outcome, "  begun: {}", yes(reader.has_partial_message(&input)));
    outcome
}

/// What the reader of heads, and that of bodies behind it, make of an input that comes in pieces.
fn read_streams(kind: MessageKind, pieces: &[&[u8]]) -> String {
    let (mut heads, mut input, mut outcome) = (HeadReader::default(), Vec::new(), String::new());
    let mut body: Option<(Body, Vec<u8>)> = None;
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            if let Some((reader, decoded)) = &mut body {
                match reader.read(&mut input, decoded, usize::MAX) {
                    Ok(false) => break,
                    Ok(true) => {
                        let _ = writeln!(outcome, "  body: {}", escaped(decoded));
                        body = None;
                    }
                    Err(fault) => {
                        let _ = writeln!(outcome, "  body so far: {}", escaped(decoded));
                        describe_fault(fault, &mut outcome);
                        return outcome;
                    }
                }
                continue;
            }
            match heads.next(kind, &mut input, MAX_HEAD_BYTES) {
                Ok(None) => break,
                Ok(Some((head, framing))) => {
                    describe_head(&head, &mut outcome);
                    let _ = writeln!(outcome, "  framing: {}", describe_framing(framing));
                    body = Some((Body::new(framing), Vec::new()));
                }
                Err(fault) => {
                    describe_fault(fault, &mut outcome);
                    return outcome;
                }
            }
        }
    }
    match body {
        Some((mut reader, decoded)) => {
            let _ = writeln!(outcome, "  body at the end: {}", escaped(&decoded));
            if let Err(fault) = reader.finish_at_eof() {
                describe_fault(fault, &mut outcome);
            }
        }
        None => _ = writeln!(outcome, "  begun: {}", yes(heads.has_partial_head(&input))),
    }
    outcome
}

/// Both readers' outcomes of an input. Those of the input byte by byte follow where they are others.
fn describe(kind: MessageKind, name: &str, input: &[u8], into: &mut String) {
    let side = match kind {
        MessageKind::Request => "request",
        MessageKind::Response { to_head: false } => "response",
        MessageKind::Response { to_head: true } => "response to HEAD",
    };
    let _ = writeln!(into, "{side}, {name}: {}", escaped(input));
    let single: Vec<&[u8]> = input.chunks(1).collect();
    for (what, read) in
        [(" message", read_messages as fn(MessageKind, &[&[u8]]) -> String), (" stream", read_streams)]
    {
        let (at_once, by_byte) = (read(kind, &[input]), read(kind, &single));
        let _ = write!(into, "{what}\n{at_once}");
        if by_byte != at_once {
            let _ = write!(into, "{what}, byte by byte\n{by_byte}");
        }
    }
}

/// Compares with the golden text. What was found is left in the build's folder, for `diff`.
fn compare(file: &str, found: &str, golden: &str) {
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&left, found).expect("a file in the build's folder");
    let line = found.lines().zip(golden.lines()).position(|(found, golden)| found != golden);
    let line = line.unwrap_or_else(|| found.lines().count().min(golden.lines().count())) + 1;
    assert!(found == golden, "{file} differs from line {line} on; what was found is in {}", left.display());
}

fn describe_all(kind: MessageKind, inputs: &[(&str, &str)]) -> String {
    let mut text = String::new();
    inputs.iter().for_each(|(name, input)| describe(kind, name, input.as_bytes(), &mut text));
    text
}

#[test]
fn requests_are_parsed_as_ever() {
    compare(
        "requests.txt",
        &describe_all(MessageKind::Request, REQUESTS),
        include_str!("golden/requests.txt"),
    );
}

#[test]
fn responses_are_parsed_as_ever() {
    let found = describe_all(RESPONSE, RESPONSES) + &describe_all(RESPONSE_TO_HEAD, RESPONSES_TO_HEAD);
    compare("responses.txt", &found, include_str!("golden/responses.txt"));
}

#[test]
fn limits_are_as_ever() {
    let mut found = String::new();
    for (kind, name, input) in limits() {
        describe(kind, &name, input.as_bytes(), &mut found);
    }
    compare("limits.txt", &found, include_str!("golden/limits.txt"));
}

/// A chunked response that is read as it comes: what each piece brings.
#[test]
fn a_stream_of_chunks_is_parsed_as_ever() {
    let pieces: [&[u8]; 6] = [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ",
        b"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r",
        b"\na\nbc\r\n2",
        b"\r\nd",
        b"\n\r\n0\r\n",
        b"\r\n",
    ];
    let (mut reader, mut input, mut found) = (MessageReader::default(), Vec::new(), String::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        let mut decoded = Vec::new();
        let outcome = match reader.read_chunked_response(&mut input, &mut decoded) {
            Ok(None) => "no head yet".to_owned(),
            Ok(Some(complete)) => format!("complete: {}", yes(complete)),
            Err(fault) => format!("error: {}", fault.status()),
        };
        let status = reader.chunked_response_status(&input);
        let _ =
            writeln!(found, "{}: {outcome}, status {status}, body: {}", escaped(piece), escaped(&decoded));
    }
    for input in
        ["HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 2\r\n"]
    {
        let outcome =
            MessageReader::default().read_chunked_response(&mut input.as_bytes().to_vec(), &mut Vec::new());
        let status = outcome.map_or_else(ParseError::status, |_| 0);
        let _ = writeln!(found, "{}: error: {status}", escaped(input.as_bytes()));
    }
    compare("chunk-stream.txt", &found, include_str!("golden/chunk-stream.txt"));
}

/// Whether a client is told to go on, by the bytes that have come.
#[test]
fn a_wait_for_100_is_noticed_as_ever() {
    let input = b"PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab";
    let mut found = String::new();
    for end in [10, input.len() - 3, input.len() - 2, input.len() - 1, input.len()] {
        let (mut reader, mut come) = (MessageReader::default(), input[..end].to_vec());
        let complete =
            reader.next(MessageKind::Request, &mut come, false).is_ok_and(|message| message.is_some());
        let waits = reader.expects_continue(&come);
        let _ = writeln!(found, "{end} bytes: complete: {}, waits for 100: {}", yes(complete), yes(waits));
    }
    compare("wait-for-100.txt", &found, include_str!("golden/wait-for-100.txt"));
}
