//! Starts, signals and reaps the processes of the system under test.

use crate::error::{Error, FileSnafu, StartSnafu};
use crate::history::{Event, ProcessChange, Recorder, SignalKind};
use crate::topology::{Role, Topology};
use rustix::process::{kill_process, Pid, Signal};
use snafu::ResultExt;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

/// The state of a process, changed only by [`Processes`].
enum State {
    Running(Child),
    Exited,
}

struct Process {
    state: State,
    /// It was started at least once, so that its next start is a restart.
    was_started_before: bool,
    /// A signal that ends it was sent to the current incarnation.
    is_exit_expected: bool,
    settings_revision: u32,
}

/// The processes of the system under test. Dropping this kills all that are still running.
pub struct Processes {
    topology: Topology,
    programs: PathBuf,
    recorder: Arc<Recorder>,
    all: Vec<Process>,
    unexpected_exits: usize,
}

impl Processes {
    /// Prepares the processes without starting any. `programs` is the folder that contains both programs.
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

    /// The names and addresses of the processes.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// How many times a process exited without having been sent a signal that ends it.
    pub fn unexpected_exits(&self) -> usize {
        self.unexpected_exits
    }

    /// Whether the process exists, running or frozen.
    pub fn is_running(&self, index: usize) -> bool {
        matches!(self.all[index].state, State::Running(_))
    }

    /// The process id, if the process exists.
    pub fn pid(&self, index: usize) -> Option<u32> {
        match &self.all[index].state {
            State::Running(child) => Some(child.id()),
            State::Exited => None,
        }
    }

    /// Starts a process unless it is running. `loses_disk` replaces its data directory with an empty one.
    ///
    /// # Errors
    ///
    /// Its files cannot be written, or its program cannot be started.
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
        // A process group of its own, so that Ctrl-C at a terminal reaches only the soak test, which ends the processes.
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

    /// Sends a signal to a process if it exists. For a reload, its settings file is changed first.
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
        // Recorded before the signal is sent, so that no effect of the signal is recorded ahead of it.
        let sent =
            if is_before_handlers { ProcessChange::SignalledTooEarly } else { ProcessChange::Signalled };
        self.record(index, sent(kind));
        let _ = kill_process(pid, signal); // fails if it has exited, which is recorded when it is reaped
        Ok(())
    }

    /// Reaps the processes that have exited since the last call and records their exit.
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

/// Whether this is a signal that the programs handle, but for which this process has not installed a handler yet.
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
            let _ = child.kill(); // fails if it has exited
            let _ = child.wait();
        }
    }
}
