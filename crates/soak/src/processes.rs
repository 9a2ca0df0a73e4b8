//! Starts, signals and reaps the processes of the system. All of them are killed where this is dropped.

use crate::error::{Error, FileSnafu, StartSnafu};
use crate::history::{Event, ProcessChange, Recorder, SignalKind};
use crate::topology::{Role, Topology};
use rustix::process::{kill_process, Pid, Signal};
use snafu::ResultExt;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

/// What a process does. [`Processes`] alone changes it.
enum State {
    Running(Child),
    Exited,
}

struct Process {
    state: State,
    /// It was started before: its next start is no first one.
    was_started_before: bool,
    /// It was told to end in this incarnation, or killed.
    is_exit_expected: bool,
    settings_revision: u32,
}

/// The processes of a soak.
pub struct Processes {
    topology: Topology,
    programs: PathBuf,
    recorder: Arc<Recorder>,
    all: Vec<Process>,
    unexpected_exits: usize,
}

impl Processes {
    /// None of them runs yet. `programs` is the folder of both programs.
    pub fn new(topology: Topology, programs: PathBuf, recorder: Arc<Recorder>) -> Processes {
        let process = |_| Process {
            state: State::Exited,
            was_started_before: false,
            is_exit_expected: false,
            settings_revision: 0,
        };
        let all = (0..topology.nodes.len()).map(process).collect();
        Processes { topology, programs, recorder, all, unexpected_exits: 0 }
    }

    /// The processes' names and addresses.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// How many have ended though nobody told them to.
    pub fn unexpected_exits(&self) -> usize {
        self.unexpected_exits
    }

    /// Whether it runs, or is frozen.
    pub fn is_running(&self, index: usize) -> bool {
        matches!(self.all[index].state, State::Running(_))
    }

    /// The process id, if it runs.
    pub fn pid(&self, index: usize) -> Option<u32> {
        match &self.all[index].state {
            State::Running(child) => Some(child.id()),
            State::Exited => None,
        }
    }

    /// Starts a process that does not run. With `loses_disk` it comes back with an empty data directory.
    ///
    /// # Errors
    ///
    /// Its files cannot be written, or its program not started.
    pub fn start(&mut self, index: usize, loses_disk: bool) -> Result<(), Error> {
        if self.is_running(index) {
            return Ok(());
        }
        if let Some(directory) = self.topology.data_directory(index).filter(|_| loses_disk) {
            std::fs::remove_dir_all(&directory).context(FileSnafu { path: &directory })?;
            std::fs::create_dir_all(&directory).context(FileSnafu { path: &directory })?;
        }
        let process = &self.all[index];
        let settings =
            self.topology.write_settings(index, !process.was_started_before, process.settings_revision)?;
        let log_path = self.topology.log_path(index);
        let log = OpenOptions::new().create(true).append(true).open(&log_path);
        let log = log.context(FileSnafu { path: &log_path })?;
        let program = self.programs.join(match self.topology.nodes[index].role {
            Role::ControlPlane => "kitepass-control-plane",
            Role::DataPlane => "kitepass-data-plane",
        });
        let mut command = Command::new(&program);
        command.arg("--settings").arg(settings).env("KITEPASS_LOG", "info");
        // A group of its own: Ctrl-C at a terminal is for the soak, which then ends all of them.
        std::os::unix::process::CommandExt::process_group(&mut command, 0);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().context(StartSnafu { program })?;
        self.record(index, ProcessChange::Started { is_disk_lost: loses_disk });
        let settings_revision = self.all[index].settings_revision;
        self.all[index] = Process {
            state: State::Running(child),
            was_started_before: true,
            is_exit_expected: false,
            settings_revision,
        };
        Ok(())
    }

    /// Sends a signal, if it runs. A reload comes with other settings.
    ///
    /// # Errors
    ///
    /// Its settings file cannot be written.
    pub fn signal(&mut self, index: usize, kind: SignalKind) -> Result<(), Error> {
        let Some(pid) = self.pid(index).and_then(|pid| Pid::from_raw(pid as i32)) else { return Ok(()) };
        if kind == SignalKind::Reload {
            self.all[index].settings_revision += 1;
            self.topology.write_settings(index, false, self.all[index].settings_revision)?;
        }
        let signal = match kind {
            SignalKind::Terminate => Signal::TERM,
            SignalKind::Kill => Signal::KILL,
            SignalKind::Reload => Signal::HUP,
            SignalKind::Freeze => Signal::STOP,
            SignalKind::Continue => Signal::CONT,
        };
        let is_before_handlers = is_uncaught(pid.as_raw_nonzero().get(), signal);
        let requests_exit = matches!(kind, SignalKind::Terminate | SignalKind::Kill);
        self.all[index].is_exit_expected |= requests_exit || is_before_handlers;
        // Recorded first: what follows from a signal is never recorded before it.
        let sent =
            if is_before_handlers { ProcessChange::SignalledTooEarly } else { ProcessChange::Signalled };
        self.record(index, sent(kind));
        let _ = kill_process(pid, signal); // it may have ended by itself, which is recorded when it is reaped
        Ok(())
    }

    /// Records the end of those that have ended since the last call.
    pub fn reap(&mut self) {
        for index in 0..self.all.len() {
            let State::Running(child) = &mut self.all[index].state else { continue };
            let Ok(Some(status)) = child.try_wait() else { continue };
            self.unexpected_exits += usize::from(!self.all[index].is_exit_expected);
            self.all[index].state = State::Exited;
            self.record(index, ProcessChange::Exited(status.code()));
        }
    }

    fn record(&self, index: usize, change: ProcessChange) {
        self.recorder.record(Event::Process { node: self.topology.nodes[index].name.clone(), change });
    }
}

/// Whether this signal ends a process that could catch it, and has not set its handlers yet.
fn is_uncaught(pid: i32, signal: Signal) -> bool {
    if signal != Signal::TERM && signal != Signal::HUP {
        return false;
    }
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or(0);
    caught & (1 << (signal.as_raw() - 1)) == 0
}

impl Drop for Processes {
    fn drop(&mut self) {
        let running = self.all.iter_mut().filter_map(|process| match &mut process.state {
            State::Running(child) => Some(child),
            State::Exited => None,
        });
        for child in running {
            let _ = child.kill(); // it may have ended
            let _ = child.wait();
        }
    }
}
