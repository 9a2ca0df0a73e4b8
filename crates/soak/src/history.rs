//! The history of a soak test: everything it did and observed, in recording order, stored as one JSON object per line.

use crate::error::{Error, FileSnafu, HistorySnafu};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Microseconds since the start of the history.
pub type Micros = u64;

/// A signal sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SignalKind {
    /// SIGTERM: the process is to finish its current work and exit.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGHUP: the process is to reload its settings.
    Reload,
    /// SIGSTOP.
    Freeze,
    /// SIGCONT.
    Continue,
}

/// A change in the state of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessChange {
    /// It was started.
    Started {
        /// Its former data directory was replaced by an empty one.
        is_disk_lost: bool,
    },
    /// It was sent a signal.
    Signalled(SignalKind),
    /// It was sent a signal before it had installed its handlers, so that the signal's default action ends it.
    SignalledTooEarly(SignalKind),
    /// It exited, with this code; none if a signal ended it.
    Exited(Option<i32>),
}

/// The route of a request. Every configuration contains all of these routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent requests.
    Safe,
    /// Non-idempotent requests, which may run at most once.
    Once,
    /// Requests whose responding service shows which version of the route is in force.
    Version,
    /// Requests of the tenant that has a quota.
    Limited,
}

/// How a request ended, as seen by its client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// A complete response arrived.
    Response {
        /// The status code.
        status: u16,
        /// The response lacks the marker that backends add, so the gateway generated it.
        is_gateways_own: bool,
        /// It belongs to this request, and its body is complete and unchanged. A response that a gateway generated
        /// is intact unless its status is a success.
        is_intact: bool,
        /// The service of the backend that generated it.
        service: Option<String>,
    },
    /// The connection was closed before a complete response arrived.
    Broken,
    /// The bytes received are not an HTTP response.
    Malformed,
    /// Nothing arrived within the client's timeout.
    TimedOut,
}

/// A request sent by a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Its unique id.
    pub id: String,
    /// The node id of the gateway.
    pub node: String,
    /// Its route.
    pub route: RouteKind,
    /// When the client's connection was established.
    pub connected_at: Micros,
    /// When its first byte was sent.
    pub sent_at: Micros,
    /// When its last byte was sent; none if sending failed.
    pub complete_at: Option<Micros>,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// One execution of a request by a backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// The backend's id.
    pub backend: String,
    /// Its service.
    pub service: String,
    /// The tenant named by the gateway.
    pub tenant: Option<String>,
    /// When it began.
    pub began_at: Micros,
    /// The request body differs from what the client was to send.
    pub is_garbled: bool,
    /// The whole response was written; false if the backend crashed or the connection failed.
    pub is_answered: bool,
}

/// A configuration change, or the start or end of an evacuation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The name of the route that it sets, or of the evacuated zone.
    pub item: String,
    /// The item's version; 0 for an evacuation.
    pub version: u64,
    /// The service that the route forwards to, if clients can observe it.
    pub service: Option<String>,
    /// When it was first sent.
    pub sent_at: Micros,
    /// When it was acknowledged, if it was.
    pub acknowledged_at: Option<Micros>,
    /// The status code that rejected it, if it was rejected.
    pub refused: Option<u16>,
}

/// A read of the whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// The node id of the control-plane process that was queried.
    pub node: String,
    /// When the request was sent.
    pub sent_at: Micros,
    /// Route versions by route name; none if no configuration was returned.
    pub versions: Option<std::collections::BTreeMap<String, u64>>,
    /// The last read of the soak test, made after time to recover: it must see all acknowledged changes.
    pub is_final: bool,
}

/// The resource usage of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceSample {
    /// The process's node id.
    pub node: String,
    /// Resident memory in KiB.
    pub memory_kib: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Number of threads.
    pub threads: u64,
    /// CPU time since its start, in milliseconds.
    pub processor_ms: u64,
    /// Size in bytes of its log, which all of its incarnations append to.
    pub log_bytes: u64,
    /// Size in bytes of the files in its data directory.
    pub disk_bytes: u64,
}

/// An event of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A process changed state.
    Process {
        /// Its node id.
        node: String,
        /// The change.
        change: ProcessChange,
    },
    /// A client's request ended.
    Request(RequestRecord),
    /// A backend finished or aborted a run.
    Run(RunRecord),
    /// A configuration change was acknowledged, rejected or abandoned.
    Change(ChangeRecord),
    /// The configuration was read.
    Read(ReadRecord),
    /// The resource usage of a process was sampled.
    Sample(ResourceSample),
    /// Fault injection ended; from here on the system is to recover.
    Calm,
    /// The last readiness check of a gateway, made after time to recover.
    FinalReadiness {
        /// Its node id.
        node: String,
        /// Whether it was ready.
        is_ready: bool,
    },
}

/// An event with the time at which it was recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When it was recorded.
    pub at: Micros,
    /// The event.
    pub event: Event,
}

/// Records events in memory and in a file; may be used from any thread.
pub struct Recorder {
    started_at: Instant,
    state: Mutex<RecorderState>,
}

struct RecorderState {
    records: Vec<Record>,
    file: BufWriter<File>,
    failure: Option<std::io::Error>,
}

impl Recorder {
    /// Starts a history now, in a new file.
    ///
    /// # Errors
    ///
    /// The file cannot be created.
    pub fn create(path: &Path) -> Result<Recorder, Error> {
        let file = BufWriter::new(File::create(path).context(FileSnafu { path })?);
        let state = RecorderState { records: Vec::new(), file, failure: None };
        Ok(Recorder { started_at: Instant::now(), state: Mutex::new(state) })
    }

    /// Microseconds since the history was started.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Records an event with the current time.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn record(&self, event: Event) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        let record = Record { at: self.now(), event };
        let line = serde_json::to_string(&record).expect("all map keys of a record are strings");
        if let Err(error) = writeln!(state.file, "{line}") {
            state.failure.get_or_insert(error);
        }
        state.records.push(record);
    }

    /// Writes buffered records to the file.
    ///
    /// # Errors
    ///
    /// The file could not be written, now or since the last call.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn flush(&self, path: &Path) -> Result<(), Error> {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        let flushed = state.file.flush();
        let failure = state.failure.take();
        failure.map_or(flushed, Err).context(FileSnafu { path })
    }

    /// Returns all records so far.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn records(&self) -> Vec<Record> {
        self.state.lock().expect("no thread panics while holding the lock").records.clone()
    }
}

/// Reads a history from its file.
///
/// # Errors
///
/// The file cannot be read, or a line of it is not a valid record.
pub fn read_history(path: &Path) -> Result<Vec<Record>, Error> {
    let file = BufReader::new(File::open(path).context(FileSnafu { path })?);
    let mut records = Vec::new();
    for (index, line) in file.lines().enumerate() {
        let line = line.context(FileSnafu { path })?;
        records.push(serde_json::from_str(&line).context(HistorySnafu { path, line: index + 1 })?);
    }
    Ok(records)
}
