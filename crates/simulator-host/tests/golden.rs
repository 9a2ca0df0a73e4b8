//! Golden tests: the program's output must match the transcripts in `golden/` byte for byte. Each session of a
//! transcript runs in its own process, after the input in `golden/start.txt`.
//!
//! In a transcript, `#` starts a session and gives its name, `>` marks a line of input, `<` a line of standard output,
//! `!` a line of standard error, and `=` the exit code.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};

const START: &str = include_str!("golden/start.txt");
/// The last line of a reply.
const END_OF_REPLY: &str = "READY";

/// Runs the program with the given input.
fn run(input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-simulator-host"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut program = command.spawn().expect("failed to start the program");
    let mut stdin = program.stdin.take().expect("stdin is piped");
    let input = input.to_owned();
    // The write fails if the program exits at an invalid line; that is not an error here.
    let writer = std::thread::spawn(move || _ = stdin.write_all(input.as_bytes()));
    let output = program.wait_with_output().expect("failed to wait for the program");
    writer.join().expect("the writer thread panicked");
    output
}

/// Splits the output into the replies to the batches.
fn replies(output: &str) -> Vec<Vec<&str>> {
    let lines: Vec<&str> = output.lines().collect();
    lines.split_inclusive(|line| *line == END_OF_REPLY).map(<[&str]>::to_vec).collect()
}

/// Runs a session and returns its transcript, with each reply after its batch.
fn transcript(name: &str, lines: &[&str]) -> String {
    let session: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let output = run(&format!("{START}{session}"));
    let written = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(written.is_empty() || written.ends_with('\n'), "the last line is incomplete");
    let mut replies = replies(&written).into_iter();
    let mut text = format!("# {name}\n");
    for line in START.lines().filter(|line| *line == "EOB") {
        let reply = replies.next().unwrap_or_default();
        assert_eq!(reply, [END_OF_REPLY], "reply to a batch of golden/start.txt, {line}");
    }
    for line in lines {
        text += &format!("> {line}\n");
        if *line == "EOB" {
            replies.next().unwrap_or_default().iter().for_each(|line| text += &format!("< {line}\n"));
        }
    }
    replies.flatten().for_each(|line| text += &format!("< {line}\n"));
    String::from_utf8_lossy(&output.stderr).lines().for_each(|line| text += &format!("! {line}\n"));
    text + &format!("= {}\n", output.status.code().expect("terminated by a signal"))
}

/// Runs a golden file's sessions again and compares the transcripts.
fn compare(file: &str, golden: &str) {
    let mut sessions: Vec<(&str, Vec<&str>)> = Vec::new();
    for line in golden.lines() {
        if let Some(name) = line.strip_prefix("# ") {
            sessions.push((name, Vec::new()));
        } else if let Some(line) = line.strip_prefix("> ") {
            sessions.last_mut().expect("a session starts with its name").1.push(line);
        }
    }
    assert!(!sessions.is_empty(), "{file} holds no session");
    let actual: String = sessions.iter().map(|(name, lines)| transcript(name, lines)).collect();
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&actual_path, &actual).expect("cannot write to the build directory");
    assert!(
        actual == golden,
        "the output differs from golden/{file}; the actual output is in {}",
        actual_path.display()
    );
}

/// Lines of every kind, and the resulting actions.
#[test]
fn lines_match_the_golden_transcript() {
    compare("lines.txt", include_str!("golden/lines.txt"));
}

/// Messages received from and sent to other gateways.
#[test]
fn messages_match_the_golden_transcript() {
    compare("messages.txt", include_str!("golden/messages.txt"));
}

/// Invalid input that ends the program, and the error messages.
#[test]
fn errors_match_the_golden_transcript() {
    compare("errors.txt", include_str!("golden/errors.txt"));
}
