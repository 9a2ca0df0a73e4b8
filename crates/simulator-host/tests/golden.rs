//! What the program writes for what it reads stays as it is, byte by byte: transcripts of whole runs in `golden/`. A
//! transcript's sessions each run in a process of their own, behind the lines of `golden/start.txt`.
//!
//! In a transcript a line that begins with `#` begins a session and names it. `>` is a line that the program reads, `<`
//! one that it writes to standard output, `!` one to standard error, and `=` tells its exit code.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};

const START: &str = include_str!("golden/start.txt");
/// What ends a reply.
const END_OF_REPLY: &str = "READY";

/// Runs the program on an input.
fn run(input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-simulator-host"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut program = command.spawn().expect("the program starts");
    let mut stdin = program.stdin.take().expect("piped above");
    let input = input.to_owned();
    // A program that ends at a bad line takes no more input.
    let writer = std::thread::spawn(move || _ = stdin.write_all(input.as_bytes()));
    let output = program.wait_with_output().expect("the program ends");
    writer.join().expect("no panic");
    output
}

/// The reply to each batch, split after its last line.
fn replies(output: &str) -> Vec<Vec<&str>> {
    let lines: Vec<&str> = output.lines().collect();
    lines.split_inclusive(|line| *line == END_OF_REPLY).map(<[&str]>::to_vec).collect()
}

/// A session's transcript: each reply behind the batch that it belongs to.
fn transcript(name: &str, lines: &[&str]) -> String {
    let session: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let output = run(&format!("{START}{session}"));
    let written = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(written.is_empty() || written.ends_with('\n'), "a line that is cut off");
    let mut replies = replies(&written).into_iter();
    let mut text = format!("# {name}\n");
    for line in START.lines().filter(|line| *line == "EOB") {
        let reply = replies.next().unwrap_or_default();
        assert_eq!(reply, [END_OF_REPLY], "the start's {line}");
    }
    for line in lines {
        text += &format!("> {line}\n");
        if *line == "EOB" {
            replies.next().unwrap_or_default().iter().for_each(|line| text += &format!("< {line}\n"));
        }
    }
    replies.flatten().for_each(|line| text += &format!("< {line}\n"));
    String::from_utf8_lossy(&output.stderr).lines().for_each(|line| text += &format!("! {line}\n"));
    text + &format!("= {}\n", output.status.code().expect("it ends by itself"))
}

/// Plays a golden file's sessions anew and compares.
fn compare(file: &str, golden: &str) {
    let mut sessions: Vec<(&str, Vec<&str>)> = Vec::new();
    for line in golden.lines() {
        if let Some(name) = line.strip_prefix("# ") {
            sessions.push((name, Vec::new()));
        } else if let Some(line) = line.strip_prefix("> ") {
            sessions.last_mut().expect("a session's name goes first").1.push(line);
        }
    }
    assert!(!sessions.is_empty(), "{file} holds no session");
    let found: String = sessions.iter().map(|(name, lines)| transcript(name, lines)).collect();
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&left, &found).expect("a file in the build's folder");
    assert!(found == golden, "it differs from golden/{file}; what was found is in {}", left.display());
}

/// Lines of every kind, and the orders that follow from them.
#[test]
fn lines_are_read_and_written_as_ever() {
    compare("lines.txt", include_str!("golden/lines.txt"));
}

/// Messages between gateways, in and out.
#[test]
fn messages_are_read_and_written_as_ever() {
    compare("messages.txt", include_str!("golden/messages.txt"));
}

/// What ends the program, and what it says of it.
#[test]
fn errors_are_as_ever() {
    compare("errors.txt", include_str!("golden/errors.txt"));
}
