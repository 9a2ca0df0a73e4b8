//! Signals received during startup, before the settings have been read. The settings file is a FIFO, so that the process
//! blocks on reading it.

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::io::Write;
use std::process::{Command, Stdio};

#[rstest]
#[case::reload(Signal::HUP)]
#[case::terminate(Signal::TERM)]
fn a_signal_does_not_interrupt_startup(#[case] signal: Signal) {
    let name = format!("kitepass-data-plane-{}-{}.toml", std::process::id(), signal.as_raw());
    let settings = std::env::temp_dir().join(name);
    let status = Command::new("mkfifo").arg(&settings).status().expect("mkfifo is available");
    assert!(status.success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-data-plane"));
    command.arg("--settings").arg(&settings).stderr(Stdio::piped());
    let child = command.spawn().expect("program starts");
    // Opening the FIFO for writing blocks until the program has opened it for reading.
    let mut pipe = OpenOptions::new().write(true).open(&settings).expect("program has opened the FIFO");
    kill_process(Pid::from_child(&child), signal).expect("program is running");
    pipe.write_all(b"these are no settings").expect("program still reads the FIFO");
    drop(pipe);
    let output = child.wait_with_output().expect("program exits");
    std::fs::remove_file(settings).expect("FIFO can be removed");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(error.contains("settings"), "{error}");
}
