//! Golden-file tests of the HTTP parser: the outcome of both readers for each input, as text, must equal the files in
//! `golden/`.

use kitepass_net::http::body::{Body, Framing, Head, HeadReader};
use kitepass_net::http::{MessageKind, MessageReader, ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use std::fmt::Write;
use std::path::Path;

const RESPONSE: MessageKind = MessageKind::Response { to_head: false };
const RESPONSE_TO_HEAD: MessageKind = MessageKind::Response { to_head: true };
/// Fields excluded from forwarding in addition to the hop-by-hop fields.
const EXCLUDED_FIELDS: [&str; 1] = ["x-left-out"];
/// Longer runs of the same byte are abbreviated to their length.
const MAX_UNABBREVIATED_RUN: usize = 40;

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

/// Inputs at each limit and just above it.
fn limit_inputs() -> Vec<(MessageKind, String, String)> {
    let get = |bytes: usize| {
        let framing_bytes = "GET / HTTP/1.1\r\nA: \r\n\r\n".len();
        format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(bytes - framing_bytes))
    };
    let sized =
        |bytes: usize| format!("POST / HTTP/1.1\r\nContent-Length: {bytes}\r\n\r\n{}", "a".repeat(bytes));
    let chunked = |chunks: &str| format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "a".repeat(bytes));
    let interim_responses = |times: usize| {
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
        (RESPONSE, "most interim responses".into(), interim_responses(8)),
        (RESPONSE, "an interim response more".into(), interim_responses(9)),
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

/// Formats bytes as one escaped line; a long run of the same byte becomes `{byte x length}`.
fn escaped(bytes: &[u8]) -> String {
    let mut text = String::new();
    for run in bytes.chunk_by(|a, b| a == b) {
        if run.len() > MAX_UNABBREVIATED_RUN {
            let _ = write!(text, "{{{} x {}}}", run[..1].escape_ascii(), run.len());
        } else {
            let _ = write!(text, "{}", run.escape_ascii());
        }
    }
    text
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

/// Describes a head, one line for each accessor.
fn describe_head(head: &Head, into: &mut String) {
    let start: Vec<String> = (0..3).map(|part| escaped(head.start_line_part(part))).collect();
    let _ =
        writeln!(into, "  start: {} | status {} | {} bytes", start.join(" | "), head.status(), head.len());
    for (name, value) in head.fields() {
        let _ = writeln!(into, "  field: {} = {}", escaped(name), escaped(value));
    }
    let mut forwarded = Vec::new();
    head.append_forwarded_fields(&EXCLUDED_FIELDS, &mut forwarded);
    let _ = writeln!(into, "  forwarded: {}", escaped(&forwarded));
    let keep_alive = head.keep_alive_secs().map_or("unknown".to_owned(), |seconds| format!("{seconds} s"));
    let _ = writeln!(
        into,
        "  stays open: {}, keep-alive: {keep_alive}, waits for 100: {}",
        yes_or_no(head.is_persistent()),
        yes_or_no(head.expects_continue())
    );
}

fn describe_error(error: ParseError, into: &mut String) {
    let _ = writeln!(into, "  error: {}", error.status());
}

fn describe_framing(framing: Framing) -> String {
    match framing {
        Framing::Empty => "none".to_owned(),
        Framing::ContentLength(length) => format!("{length} bytes"),
        Framing::Chunked => "chunks".to_owned(),
        Framing::UntilClose => "to the end".to_owned(),
    }
}

/// Describes what `MessageReader` returns for an input that arrives in several parts.
fn read_messages(kind: MessageKind, parts: &[&[u8]]) -> String {
    let (mut reader, mut input, mut outcome) = (MessageReader::default(), Vec::new(), String::new());
    let ends = std::iter::repeat_n(false, parts.len()).chain([true]);
    for (part, at_eof) in parts.iter().chain([&b"".as_slice()]).zip(ends) {
        input.extend_from_slice(part);
        loop {
            match reader.next(kind, &mut input, at_eof) {
                Ok(None) => break,
                Ok(Some(message)) => {
                    describe_head(&message, &mut outcome);
                    let _ = writeln!(outcome, "  body: {}", escaped(message.body()));
                }
                Err(error) => {
                    describe_error(error, &mut outcome);
                    return outcome;
                }
            }
            if input.is_empty() {
                break;
            }
        }
    }
    let _ = writeln!(outcome, "  begun: {}", yes_or_no(reader.has_partial_message(&input)));
    outcome
}

/// Describes what `HeadReader` and `Body` return for an input that arrives in several parts.
fn read_streams(kind: MessageKind, parts: &[&[u8]]) -> String {
    let (mut head_reader, mut input, mut outcome) = (HeadReader::default(), Vec::new(), String::new());
    let mut body: Option<(Body, Vec<u8>)> = None;
    for part in parts {
        input.extend_from_slice(part);
        loop {
            if let Some((reader, decoded)) = &mut body {
                match reader.read(&mut input, decoded, usize::MAX) {
                    Ok(false) => break,
                    Ok(true) => {
                        let _ = writeln!(outcome, "  body: {}", escaped(decoded));
                        body = None;
                    }
                    Err(error) => {
                        let _ = writeln!(outcome, "  body so far: {}", escaped(decoded));
                        describe_error(error, &mut outcome);
                        return outcome;
                    }
                }
                continue;
            }
            match head_reader.next(kind, &mut input, MAX_HEAD_BYTES) {
                Ok(None) => break,
                Ok(Some((head, framing))) => {
                    describe_head(&head, &mut outcome);
                    let _ = writeln!(outcome, "  framing: {}", describe_framing(framing));
                    body = Some((Body::new(framing), Vec::new()));
                }
                Err(error) => {
                    describe_error(error, &mut outcome);
                    return outcome;
                }
            }
        }
    }
    match body {
        Some((mut reader, decoded)) => {
            let _ = writeln!(outcome, "  body at the end: {}", escaped(&decoded));
            if let Err(error) = reader.finish_at_eof() {
                describe_error(error, &mut outcome);
            }
        }
        None => _ = writeln!(outcome, "  begun: {}", yes_or_no(head_reader.has_partial_head(&input))),
    }
    outcome
}

/// Describes the outcome of both readers for an input that arrives at once. If the outcome differs when the input
/// arrives byte by byte, that outcome is added.
fn describe(kind: MessageKind, name: &str, input: &[u8], into: &mut String) {
    let kind_name = match kind {
        MessageKind::Request => "request",
        MessageKind::Response { to_head: false } => "response",
        MessageKind::Response { to_head: true } => "response to HEAD",
    };
    let _ = writeln!(into, "{kind_name}, {name}: {}", escaped(input));
    let single_bytes: Vec<&[u8]> = input.chunks(1).collect();
    for (reader_name, read) in
        [(" message", read_messages as fn(MessageKind, &[&[u8]]) -> String), (" stream", read_streams)]
    {
        let (at_once, by_byte) = (read(kind, &[input]), read(kind, &single_bytes));
        let _ = write!(into, "{reader_name}\n{at_once}");
        if by_byte != at_once {
            let _ = write!(into, "{reader_name}, byte by byte\n{by_byte}");
        }
    }
}

/// Compares a text with the golden file. The actual text is written to the build directory, for use with `diff`.
fn compare(file: &str, found: &str, golden: &str) {
    let output_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&output_path, found).expect("the build directory is writable");
    let line = found.lines().zip(golden.lines()).position(|(found, golden)| found != golden);
    let line = line.unwrap_or_else(|| found.lines().count().min(golden.lines().count())) + 1;
    assert!(
        found == golden,
        "{file} differs from line {line} on; the actual text is in {}",
        output_path.display()
    );
}

fn describe_all(kind: MessageKind, inputs: &[(&str, &str)]) -> String {
    let mut text = String::new();
    inputs.iter().for_each(|(name, input)| describe(kind, name, input.as_bytes(), &mut text));
    text
}

#[test]
fn parsed_requests_match_the_golden_file() {
    compare(
        "requests.txt",
        &describe_all(MessageKind::Request, REQUESTS),
        include_str!("golden/requests.txt"),
    );
}

#[test]
fn parsed_responses_match_the_golden_file() {
    let found = describe_all(RESPONSE, RESPONSES) + &describe_all(RESPONSE_TO_HEAD, RESPONSES_TO_HEAD);
    compare("responses.txt", &found, include_str!("golden/responses.txt"));
}

#[test]
fn inputs_at_the_limits_match_the_golden_file() {
    let mut found = String::new();
    for (kind, name, input) in limit_inputs() {
        describe(kind, &name, input.as_bytes(), &mut found);
    }
    compare("limits.txt", &found, include_str!("golden/limits.txt"));
}

/// The outcome after each part of a chunked response that is read incrementally.
#[test]
fn streamed_chunks_match_the_golden_file() {
    let parts: [&[u8]; 6] = [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ",
        b"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r",
        b"\na\nbc\r\n2",
        b"\r\nd",
        b"\n\r\n0\r\n",
        b"\r\n",
    ];
    let (mut reader, mut input, mut found) = (MessageReader::default(), Vec::new(), String::new());
    for part in parts {
        input.extend_from_slice(part);
        let mut decoded = Vec::new();
        let outcome = match reader.read_chunked_response(&mut input, &mut decoded) {
            Ok(None) => "no head yet".to_owned(),
            Ok(Some(complete)) => format!("complete: {}", yes_or_no(complete)),
            Err(error) => format!("error: {}", error.status()),
        };
        let status = reader.chunked_response_status(&input);
        let _ = writeln!(found, "{}: {outcome}, status {status}, body: {}", escaped(part), escaped(&decoded));
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

/// Whether `expects_continue` is true, depending on how much of the request has arrived.
#[test]
fn expect_continue_matches_the_golden_file() {
    let input = b"PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab";
    let mut found = String::new();
    for end in [10, input.len() - 3, input.len() - 2, input.len() - 1, input.len()] {
        let (mut reader, mut received) = (MessageReader::default(), input[..end].to_vec());
        let complete =
            reader.next(MessageKind::Request, &mut received, false).is_ok_and(|message| message.is_some());
        let expects_continue = reader.expects_continue(&received);
        let _ = writeln!(
            found,
            "{end} bytes: complete: {}, waits for 100: {}",
            yes_or_no(complete),
            yes_or_no(expects_continue)
        );
    }
    compare("wait-for-100.txt", &found, include_str!("golden/wait-for-100.txt"));
}
