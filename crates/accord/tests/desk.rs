//! Control processes on addresses of this machine's own: callers at its desk, one after the other and one
//! behind the other, gone before the answer, waiting for a word; and a gateway that comes anew.

use kitepass_bond::frame::{pack, Assembler};
use kitepass_bond::words::{Adds, Beat, Hello, Totals, Word};
use rustix::net::sockopt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// Three of them, of which the first is spoken to.
struct Process {
    children: Vec<Child>,
    folder: PathBuf,
    desk: SocketAddr,
    siding: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Starts them, and waits until the first has caught up.
    fn start() -> Process {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = std::process::id().to_be_bytes();
        let first = NEXT.fetch_add(3, Ordering::Relaxed);
        let ips = [0, 1, 2].map(|n| Ipv4Addr::new(127, high | 32, low, first + n));
        let folder = std::env::temp_dir().join(format!("accord-desk-{}", ips[0]));
        let mut children = Vec::new();
        for (n, ip) in ips.into_iter().enumerate() {
            let own = folder.join(format!("s{n}"));
            std::fs::create_dir_all(&own).expect("a folder");
            let file = folder.join(format!("s{n}.toml"));
            let text = format!(
                "station = \"s{n}\"\nip = \"{ip}\"\ndistrict = \"d{n}\"\nprovince = \"p\"\nsidings = [7100, 7110]\n\
                 first-stops = [{}]\nmaiden-run = true\non-roll = true\narchive-dir = {own:?}\n\
                 [districts]\nd0 = \"p\"\nd1 = \"p\"\nd2 = \"p\"\n[counters]\ncontrol-desk = \"{ip}:7101\"\n",
                ips.map(|ip| format!("\"{ip}:7101\"")).join(", ")
            );
            std::fs::write(&file, text).expect("a file");
            let mut command = Command::new(env!("CARGO_BIN_EXE_accord"));
            let command = command.arg("serve").arg("--settings").arg(&file).stderr(Stdio::null());
            children.push(command.spawn().expect("the program starts"));
        }
        let (desk, siding) = (SocketAddr::new(ips[0].into(), 7101), SocketAddr::new(ips[0].into(), 7100));
        let process = Process { children, folder, desk, siding };
        let since = Instant::now();
        while TcpStream::connect(desk).is_err() || process.line().call("GET", "Timetable.Get", "").0 != 200 {
            assert!(since.elapsed() < PATIENCE, "no core is founded");
            std::thread::yield_now();
        }
        process
    }

    fn line(&self) -> Line {
        Line::to(self.desk)
    }
}

struct Line {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Line {
    fn to(address: SocketAddr) -> Line {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("an option");
        Line { stream, input: Vec::new() }
    }

    fn say(&mut self, text: &str) -> &mut Line {
        self.stream.write_all(text.as_bytes()).expect("written");
        self
    }

    fn more(&mut self) -> bool {
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(length) => {
                self.input.extend_from_slice(&piece[..length]);
                length > 0
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => true,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("nothing came: {error}"),
        }
    }

    /// The next answer's status and body.
    fn hear(&mut self) -> (u16, String) {
        loop {
            let text = String::from_utf8_lossy(&self.input).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
                let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
                let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
                if rest.len() >= length {
                    self.input.drain(..head.len() + 4 + length);
                    return (status, rest[..length].to_owned());
                }
            }
            assert!(self.more(), "it ended after {text:?}");
        }
    }

    fn call(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.say(&text(method, path, body)).hear()
    }

    fn ends(&mut self) -> bool {
        !self.more() && self.input.is_empty()
    }

    fn reset(self) {
        sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("an option");
    }
}

fn text(method: &str, path: &str, body: &str) -> String {
    format!("{method} /v1/{path} HTTP/1.1\r\nHost: desk\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A change of one service.
fn change(name: &str, edition: u64) -> String {
    format!(
        r#"{{"deliver":{{"carrier-lines":{{"headings":["name","checkpoint","berth-cap","edition"],
            "entries":[["{name}","/well",{edition},"r{edition}"]]}}}}}}"#
    )
}

fn patch(name: &str, edition: u64) -> String {
    text("POST", "Timetable.Patch", &change(name, edition))
}

#[test]
fn calls_that_come_one_behind_the_other_are_answered_in_their_order() {
    let process = Process::start();
    let mut all = String::new();
    let mut expected: Vec<(u16, String)> = Vec::new();
    for n in 1..=20 {
        all += &patch("a", n);
        expected.push((200, "{}".into()));
        all += &text("GET", "Timetable.Get", "");
        expected.push((200, format!("\"r{n}\"")));
        all += &text("POST", "Timetable.Patch", "{");
        expected.push((400, String::new()));
        all += &text("POST", "Evacuate.Start/nowhere", "");
        expected.push((404, "no such zone".into()));
        all += &text("GET", &format!("nothing/{n}"), "");
        expected.push((404, "no such call".into()));
        all += &text("POST", if n % 2 == 0 { "Evacuate.End/d1" } else { "Evacuate.Start/d1" }, "");
        expected.push((200, "{}".into()));
    }
    let mut line = process.line();
    // The last bytes of a call come with the first of the next, or by themselves.
    for piece in all.as_bytes().chunks(1_237) {
        line.stream.write_all(piece).expect("written");
    }
    for (n, (status, part)) in expected.into_iter().enumerate() {
        let answer = line.hear();
        assert!(answer.0 == status && answer.1.contains(&part), "{n}: {answer:?}, not {status} {part:?}");
    }
    assert!(line.input.is_empty());
}

/// Callers end or break their connections with an order under way; whoever comes next gets its own answer, once. What
/// was ordered is in force whole or not at all.
#[test]
fn an_answer_to_a_caller_that_is_gone_reaches_nobody() {
    let process = Process::start();
    for n in 1..=40 {
        let mut gone = process.line();
        gone.say(&patch("gone", n));
        let mut next = process.line();
        if n % 2 == 0 {
            gone.reset();
        } else {
            drop(gone);
        }
        let name = format!("own{n}");
        assert_eq!(next.call("POST", "Timetable.Patch", &change(&name, 1)), (200, "{}".into()));
        let (status, standing) = next.call("GET", "Timetable.Get", "");
        assert!(status == 200 && standing.contains(&format!("\"{name}\"")), "{standing}");
        assert!(next.input.is_empty());
    }
    // Sent again, to be told for certain.
    assert_eq!(process.line().call("POST", "Timetable.Patch", &change("gone", 40)).0, 200);
}

#[test]
fn a_caller_that_has_said_all_is_answered_and_its_connection_ends() {
    let process = Process::start();
    let mut line = process.line();
    line.say(&(patch("a", 1) + &text("GET", "Timetable.Get", "")));
    line.stream.shutdown(Shutdown::Write).expect("ended");
    assert_eq!(line.hear(), (200, "{}".into()));
    assert!(line.hear().1.contains("\"r1\""));
    assert!(line.ends());
    // A call that is not whole by then is none.
    let mut line = process.line();
    line.say(&patch("a", 2)[..60]);
    line.stream.shutdown(Shutdown::Write).expect("ended");
    assert!(line.ends());
    assert!(process.line().call("GET", "Timetable.Get", "").1.contains("\"r1\""));
}

#[test]
fn a_caller_that_waits_for_a_word_gets_it_before_its_answer() {
    let process = Process::start();
    let mut line = process.line();
    let body = change("a", 1);
    let head = |length: usize| {
        format!(
            "POST /v1/Timetable.Patch HTTP/1.1\r\nHost: desk\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
        )
    };
    for _ in 0..2 {
        line.say(&head(body.len()));
        assert_eq!(line.hear().0, 100);
        assert_eq!(line.say(&body).hear(), (200, "{}".into()));
    }
    // Behind an order that is under way: its word comes behind the other's answer.
    line.say(&(patch("a", 2) + &head(body.len())));
    assert_eq!((line.hear().0, line.hear().0), (200, 100));
    assert_eq!(line.say(&body).hear().0, 200);
    // One that is too long is told so instead.
    line.say(&head(17 << 20));
    assert_eq!(line.hear().0, 413);
    assert!(line.ends());
}

/// A gateway's connection is lost, and it comes anew before that is noticed: what it asks for is answered there.
#[test]
fn the_counts_answer_goes_to_the_newest_connection_of_the_life_that_asked() {
    let process = Process::start();
    let hello = Hello { station: "g".into(), life: 7, front: "127.0.0.1:1".into(), ..Hello::default() };
    let say = |stream: &mut TcpStream, word: Word| {
        let mut bytes = Vec::new();
        pack(word, &mut bytes);
        stream.write_all(&bytes).expect("written");
    };
    let mut lines = [Line::to(process.siding), Line::to(process.siding)];
    let mut assemblers = [Assembler::default(), Assembler::default()];
    let mut next = |line: &mut Line, n: usize| loop {
        let mut at = 0;
        let word = assemblers[n].next(&line.input, &mut at).expect("words");
        line.input.drain(..at);
        if let Some(word) = word {
            return word;
        }
        assert!(line.more(), "it ended");
    };
    for (n, line) in lines.iter_mut().enumerate() {
        say(&mut line.stream, Word::Hello(hello.clone()));
        // It is a session by then.
        while !matches!(next(line, n), Word::Live(_)) {}
    }
    let [old, new] = &mut lines;
    let ask = |ticket| Word::Adds(Adds { ticket, station: "g".into(), life: 7, ..Adds::default() });
    let since = Instant::now();
    let mut ticket = 0;
    // Until it does the duty it answers nothing.
    let answer: Totals = 'answer: loop {
        assert!(since.elapsed() < PATIENCE, "no answer");
        ticket += 1;
        say(&mut new.stream, ask(ticket));
        say(&mut old.stream, Word::Beat(Beat::default()));
        loop {
            match next(new, 1) {
                Word::Totals(totals) => break 'answer totals,
                Word::Beat(_) => break,
                _ => {}
            }
        }
    };
    assert!(answer.ticket <= ticket && answer.life == 7 && answer.station == "g", "{answer:?}");
    while !matches!(next(old, 0), Word::Beat(_)) {}
    loop {
        match next(old, 0) {
            Word::Beat(_) => break,
            Word::Totals(totals) => panic!("on the old connection: {totals:?}"),
            _ => {}
        }
    }
}
