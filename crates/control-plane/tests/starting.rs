//! Signals that arrive before the process has read its settings. The settings file is a named pipe, so that the process
//! blocks while it reads.

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::io::Write;
use std::process::{Command, Stdio};

#[rstest]
#[case::reload(Signal::HUP)]
#[case::terminate(Signal::TERM)]
fn a_signal_does_not_abort_the_start(#[case] signal: Signal) {
    let name = format!("kitepass-control-plane-{}-{}.toml", std::process::id(), signal.as_raw());
    let settings = std::env::temp_dir().join(name);
    let status = Command::new("mkfifo").arg(&settings).status().expect("run mkfifo");
    assert!(status.success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-control-plane"));
    command.arg("--settings").arg(&settings).stderr(Stdio::piped());
    let child = command.spawn().expect("start the program");
    // Opening a pipe for writing blocks until the program has opened it for reading.
    let mut pipe = OpenOptions::new().write(true).open(&settings).expect("open the pipe");
    kill_process(Pid::from_child(&child), signal).expect("send the signal");
    pipe.write_all(b"these are no settings").expect("write to the pipe");
    drop(pipe);
    let output = child.wait_with_output().expect("wait for the exit");
    std::fs::remove_file(settings).expect("remove the pipe");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(error.contains("settings"), "{error}");
}
