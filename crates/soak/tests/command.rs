//! Runs the program as a process: with invalid command lines, and in soak tests that cannot start or continue, which must leave
//! no process behind.

use rstest::rstest;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// Number of processes of a soak test, by default.
const PROCESSES: usize = 6;

fn soak(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-soak"));
    command.args(arguments).output().expect("the program starts")
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("soak-test-{name}-{}", std::process::id()))
}

/// A folder with substitutes for both programs that run this shell script.
fn programs(folder: &Path, script: &str) -> PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let programs = folder.with_extension("programs");
    std::fs::create_dir_all(&programs).expect("a folder");
    for name in ["kitepass-control-plane", "kitepass-data-plane"] {
        let path = programs.join(name);
        std::fs::write(&path, format!("#!/bin/sh\n{script}\n")).expect("a file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("permissions");
    }
    programs
}

#[rstest]
#[case::no_command(&[], "run, plan or check FILE")]
#[case::too_few_processes(&["run", "--processes", "2"], "not between 6 and 240")]
#[case::no_number(&["plan", "--seed", "x"], "invalid")]
#[case::unknown(&["run", "--colour"], "--colour")]
fn an_invalid_command_line_is_reported(#[case] arguments: &[&str], #[case] text: &str) {
    let output = soak(arguments);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(error.contains(text), "{error}");
}

#[test]
fn a_seed_always_gives_the_same_plan() {
    let plan = |seed: &str| soak(&["plan", "--seed", seed, "--minutes", "2"]).stdout;
    assert_eq!(plan("7"), plan("7"));
    assert_ne!(plan("7"), plan("8"));
    assert!(plan("7").len() > 1_000);
}

#[test]
fn a_missing_program_and_an_unusable_folder_are_reported() {
    let folder = folder("absent");
    let path = folder.to_string_lossy().into_owned();
    let output = soak(&["run", "--programs", "/nowhere", "--folder", &path]);
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot start /nowhere/kitepass-control-plane"));
    let output = soak(&["run", "--folder", "/proc/soak"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/proc/soak"));
    std::fs::remove_dir_all(folder).expect("a folder");
}

#[test]
fn an_invalid_history_line_is_reported_with_its_number() {
    let path = folder("history.jsonl");
    std::fs::write(&path, "{\"at\":1,\"event\":\"Calm\"}\nnothing\n").expect("a file");
    let output = soak(&["check", &path.to_string_lossy()]);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.code() == Some(3) && error.contains("line 2"), "{error}");
    std::fs::remove_file(path).expect("a file");
}

#[test]
fn an_unexpected_process_exit_ends_the_soak() {
    let folder = folder("ended");
    let programs = programs(&folder, "exit 3");
    let arguments = ["run", "--programs", &programs.to_string_lossy(), "--folder", &folder.to_string_lossy()];
    let output = soak(&arguments);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.code() == Some(3) && error.contains("exited unexpectedly"), "{error}");
    // The files it left behind must not be taken over by the next soak test.
    let again = soak(&arguments);
    let error = String::from_utf8_lossy(&again.stderr);
    assert!(again.status.code() == Some(3) && error.contains("is not empty"), "{error}");
    std::fs::remove_dir_all(folder).expect("a folder");
    std::fs::remove_dir_all(programs).expect("a folder");
}

/// The programs never open a listener, so the soak test waits for them until it is interrupted. Processes that it does not
/// end would keep running.
#[test]
fn an_interrupted_soak_leaves_no_process_behind() {
    let folder = folder("interrupted");
    let fifo = folder.with_extension("pids");
    rustix::fs::mkfifoat(rustix::fs::CWD, &fifo, rustix::fs::Mode::RWXU).expect("a FIFO");
    // Opened for writing too, so that it never ends and no process waits for a reader.
    let pids = File::options().read(true).write(true).open(&fifo).expect("it can be read");
    let script = format!("echo $$ > {}\nexec sleep 1000", fifo.display());
    let programs = programs(&folder, &script);
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-soak"));
    command.arg("run").arg("--programs").arg(&programs).arg("--folder").arg(&folder);
    let mut child = command.env("KITEPASS_LOG", "info").stderr(Stdio::piped()).spawn().expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
    assert!(log.any(|line| line.contains("event=started")), "the start of all processes is logged");
    let pids: Vec<String> = BufReader::new(pids).lines().map_while(Result::ok).take(PROCESSES).collect();
    assert!(pids.iter().all(|pid| is_running(pid)), "{pids:?}");
    let pid = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("it runs");
    assert!(log.any(|line| line.contains("interrupted")));
    assert_eq!(child.wait().expect("ended").code(), Some(3));
    assert_eq!(pids.iter().find(|pid| is_running(pid)), None);
    std::fs::remove_dir_all(folder).expect("a folder");
    std::fs::remove_dir_all(programs).expect("a folder");
    std::fs::remove_file(fifo).expect("a file");
}

fn is_running(pid: &str) -> bool {
    Path::new("/proc").join(pid).exists()
}
