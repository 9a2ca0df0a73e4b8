//! An operator's calls of the control processes: one after another is asked until one of them has an answer that
//! counts. Blocking, as a command has nothing else to do.

use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::{MessageKind, ParseError};
use snafu::{OptionExt, ResultExt, Snafu};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A try has so long, and so much more for each MiB that was moved.
const TRY: Duration = Duration::from_secs(2);
const TRY_MIB: Duration = Duration::from_secs(1);
/// How often a `307` is followed.
const MOST_TURNS: usize = 2;
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes of an answer. Danger: one that never ends.
const MOST_ANSWER: usize = 64 * 1024 * 1024;
/// Characters of a refusal that are shown.
const MOST_SHOWN: usize = 2_000;
const PIECE: usize = 64 * 1024;

/// Why a call came to nothing.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The system heard the call and will not do it; another try would end the same.
    #[snafu(display("refused by {at}: {status} {why}"))]
    Refused { at: SocketAddr, status: u16, why: String },
    /// Nobody could be asked, or nobody who was could do it now; the same call may be made again.
    #[snafu(display("nobody could do it; tried {}", tried.join("; ")))]
    Nobody { tried: Vec<String> },
}

/// Why one try failed.
#[derive(Debug, Snafu)]
enum Failure {
    #[snafu(display("{source}"))]
    Socket { source: std::io::Error },
    #[snafu(display("no answer in time"))]
    Late,
    #[snafu(display("an answer that is none, {source}"))]
    Garbled { source: ParseError },
    #[snafu(display("closed without a whole answer"))]
    Short,
    #[snafu(display("an answer of too many bytes"))]
    TooLong,
    #[snafu(display("sent on more than {MOST_TURNS} times"))]
    Turns,
    #[snafu(display("sent on to what is no http address"))]
    NoWay,
    #[snafu(display("{status} {why}"))]
    Later { status: u16, why: String },
}

struct Answer {
    status: u16,
    location: Option<String>,
    body: Vec<u8>,
}

/// What one answer means for the call. [`verdict`] alone decides it.
enum Verdict {
    Done,
    /// The call is to be made there.
    Turn,
    /// Another control process may do it.
    Next,
    Refused,
}

fn verdict(status: u16) -> Verdict {
    match status {
        200..=299 => Verdict::Done,
        307 => Verdict::Turn,
        408 | 429 | 500..=599 => Verdict::Next,
        _ => Verdict::Refused,
    }
}

/// Makes a call at the first of these control desks that has an answer to it, and gives the answer's body. The
/// system's calls may all be made again, so one whose answer got lost is simply made at the next.
///
/// # Errors
/// [`Error::Refused`] where one refused it, [`Error::Nobody`] where none could do it.
pub fn ask(desks: &[SocketAddr], method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    let mut tried = Vec::new();
    for desk in desks {
        match ask_one(*desk, method, path, body) {
            Ok((_, Answer { status: 200..=299, body, .. })) => return Ok(body),
            Ok((at, answer)) => {
                return RefusedSnafu { at, status: answer.status, why: shown(&answer.body) }.fail();
            }
            Err(failure) => tried.push(format!("{desk}: {failure}")),
        }
    }
    NobodySnafu { tried }.fail()
}

/// One desk's final answer, and who gave it.
fn ask_one(desk: SocketAddr, method: &str, path: &str, body: &[u8]) -> Result<(SocketAddr, Answer), Failure> {
    let (mut at, mut path) = (desk, path.to_owned());
    for _ in 0..=MOST_TURNS {
        let answer = call(at, method, &path, body)?;
        match verdict(answer.status) {
            Verdict::Done | Verdict::Refused => return Ok((at, answer)),
            Verdict::Next => {
                return LaterSnafu { status: answer.status, why: shown(&answer.body) }.fail();
            }
            Verdict::Turn => match answer.location.as_deref().and_then(|to| place(at, to)) {
                Some(next) => (at, path) = next,
                None => return NoWaySnafu.fail(),
            },
        }
    }
    TurnsSnafu.fail()
}

/// Where a `Location` leads: `http://ADDRESS:PORT/path`, or a path at the same place.
fn place(at: SocketAddr, location: &str) -> Option<(SocketAddr, String)> {
    let fit = |path: &str| path.bytes().all(|byte| byte.is_ascii_graphic());
    if location.starts_with('/') && !location.starts_with("//") {
        return fit(location).then(|| (at, location.to_owned()));
    }
    let rest = location.strip_prefix("http://")?;
    let (host, path) = rest.find('/').map_or((rest, "/"), |cut| rest.split_at(cut));
    Some((host.parse().ok()?, fit(path).then(|| path.to_owned())?))
}

/// Time that is left to a try.
struct Patience {
    since: Instant,
    moved: usize,
}

impl Patience {
    fn left(&self) -> Result<Duration, Failure> {
        let all = TRY + TRY_MIB * (self.moved >> 20) as u32;
        all.checked_sub(self.since.elapsed()).filter(|left| !left.is_zero()).ok_or(Failure::Late)
    }
}

fn socket(error: std::io::Error) -> Failure {
    match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Failure::Late,
        _ => Failure::Socket { source: error },
    }
}

fn call(at: SocketAddr, method: &str, path: &str, body: &[u8]) -> Result<Answer, Failure> {
    let mut patience = Patience { since: Instant::now(), moved: 0 };
    let mut stream = TcpStream::connect_timeout(&at, TRY).map_err(socket)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    // One that refuses a call by its head alone may close before the body is through: its answer is what counts.
    let sent = send(&mut stream, head.as_bytes(), &mut patience)
        .and_then(|()| send(&mut stream, body, &mut patience));
    match (receive(&mut stream, &mut patience), sent) {
        (Ok(answer), _) => Ok(answer),
        (Err(_), Err(failure)) | (Err(failure), Ok(())) => Err(failure),
    }
}

fn send(stream: &mut TcpStream, mut bytes: &[u8], patience: &mut Patience) -> Result<(), Failure> {
    while !bytes.is_empty() {
        stream.set_write_timeout(Some(patience.left()?)).map_err(socket)?;
        let piece = &bytes[..bytes.len().min(PIECE)];
        let length = match stream.write(piece) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => 0,
            other => other.map_err(socket)?,
        };
        patience.moved += length;
        bytes = &bytes[length..];
    }
    Ok(())
}

fn receive(stream: &mut TcpStream, patience: &mut Patience) -> Result<Answer, Failure> {
    let (mut reader, mut input, mut piece) = (HeadReader::default(), Vec::new(), vec![0; PIECE]);
    let mut begun: Option<(Answer, Body)> = None;
    loop {
        if begun.is_none() {
            let kind = MessageKind::Answer { to_head: false };
            if let Some((head, framing)) =
                reader.next(kind, &mut input, MAX_HEAD_BYTES).context(GarbledSnafu)?
            {
                let location = head.field("location").map(|to| String::from_utf8_lossy(to).into_owned());
                let answer = Answer { status: head.status(), location, body: Vec::new() };
                begun = Some((answer, Body::new(framing)));
            }
        }
        if let Some((answer, body)) = &mut begun {
            let room = MOST_ANSWER - answer.body.len().min(MOST_ANSWER);
            if body.read(&mut input, &mut answer.body, room).context(GarbledSnafu)? {
                return Ok(begun.expect("matched above").0);
            }
            if answer.body.len() >= MOST_ANSWER {
                return TooLongSnafu.fail();
            }
        }
        stream.set_read_timeout(Some(patience.left()?)).map_err(socket)?;
        let length = match stream.read(&mut piece) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
            other => other.map_err(socket)?,
        };
        if length == 0 {
            let whole = begun.as_mut().is_some_and(|(_, body)| body.ended().is_ok());
            return begun.filter(|_| whole).map(|(answer, _)| answer).context(ShortSnafu);
        }
        patience.moved += length;
        input.extend_from_slice(&piece[..length]);
    }
}

/// What another process said, for a terminal. Danger: control characters in it would play with the terminal.
pub fn shown(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let text = text.trim().chars().map(|c| if c.is_control() { ' ' } else { c });
    text.take(MOST_SHOWN).collect()
}
