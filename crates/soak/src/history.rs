//! All that a soak did and saw, in the order in which it was recorded. One JSON object a line.

use crate::error::{Error, FileSnafu, HistorySnafu};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Microseconds since the soak began.
pub type Micros = u64;

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SignalKind {
    /// SIGTERM: it is to finish what it has begun, and to end.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGHUP: its settings have changed.
    Reload,
    /// SIGSTOP.
    Freeze,
    /// SIGCONT.
    Continue,
}

/// What became of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessChange {
    /// It was started. `is_disk_lost`: with an empty data directory in place of the one before.
    Started {
        /// Its data directory is empty, and was not.
        is_disk_lost: bool,
    },
    /// It was sent a signal.
    Signalled(SignalKind),
    /// It was sent a signal before it had set its handlers: the signal itself ends it.
    SignalledTooEarly(SignalKind),
    /// It has ended: with this exit code, or by a signal.
    Exited(Option<i32>),
}

/// The route that a request takes. All configurations have all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent requests.
    Safe,
    /// Requests that may run once at most.
    Once,
    /// Which service answers tells which version of the route is in force.
    Version,
    /// Of a tenant with a quota.
    Limited,
}

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// There was a complete response.
    Response {
        /// Its status.
        status: u16,
        /// It bears no backend's mark: the gateway itself has made it.
        is_gateways_own: bool,
        /// It belongs to this request and its body is complete and unchanged. For a gateway's own response always true.
        is_intact: bool,
        /// The service whose backend made it.
        service: Option<String>,
    },
    /// The connection ended without a complete response.
    Broken,
    /// What came is no response.
    Malformed,
    /// Nothing came in the client's time.
    TimedOut,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Its id, which no other has.
    pub id: String,
    /// The gateway.
    pub node: String,
    /// Its route.
    pub route: RouteKind,
    /// When the client's connection was established.
    pub connected_at: Micros,
    /// When its first byte was sent.
    pub sent_at: Micros,
    /// When its last byte was sent, if it was.
    pub complete_at: Option<Micros>,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// A run of a request at a backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// The backend's id.
    pub backend: String,
    /// Its service.
    pub service: String,
    /// The tenant that the gateway named.
    pub tenant: Option<String>,
    /// When it began.
    pub began_at: Micros,
    /// The request's body was not what the client sent.
    pub is_garbled: bool,
    /// The whole response was written; otherwise the backend or the connection broke.
    pub is_answered: bool,
}

/// A change of the configuration, or an evacuation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The name of the route that it sets, or of the zone.
    pub item: String,
    /// The item's version; 0 for an evacuation.
    pub version: u64,
    /// The service that the route leads to, if clients can tell.
    pub service: Option<String>,
    /// When it was sent first.
    pub sent_at: Micros,
    /// When it was acknowledged, if it was.
    pub acknowledged_at: Option<Micros>,
    /// The status that refused it, if one did.
    pub refused: Option<u16>,
}

/// A read of the whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// The control process that was asked.
    pub node: String,
    /// When it was asked.
    pub sent_at: Micros,
    /// The versions of the routes by name; none if it gave no configuration.
    pub versions: Option<std::collections::BTreeMap<String, u64>>,
    /// It is the last of the soak, for which it waited long enough.
    pub is_final: bool,
}

/// What a process takes of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceSample {
    /// The process' node id.
    pub node: String,
    /// Resident memory in KiB.
    pub memory_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time since its start, in milliseconds.
    pub processor_ms: u64,
    /// Bytes of its log, of all of its incarnations.
    pub log_bytes: u64,
    /// Bytes in its data directory.
    pub disk_bytes: u64,
}

/// What is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Something became of a process.
    Process {
        /// Its node id.
        node: String,
        /// What.
        change: ProcessChange,
    },
    /// A request has ended.
    Request(RequestRecord),
    /// A backend's run has ended.
    Run(RunRecord),
    /// A change has been acknowledged, refused, or given up.
    Change(ChangeRecord),
    /// The configuration was read.
    Read(ReadRecord),
    /// A process' resources.
    Sample(ResourceSample),
    /// Faults have ended: what stands from here on is to recover.
    Calm,
    /// The last check of a gateway: whether it was ready, after all had time to recover.
    FinalReadiness {
        /// Its node id.
        node: String,
        /// Whether it was ready.
        is_ready: bool,
    },
}

/// An event, and when it was recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    pub at: Micros,
    /// What.
    pub event: Event,
}

/// Records events, in memory and in a file, from any thread.
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
    /// A history that begins now, in a new file.
    ///
    /// # Errors
    ///
    /// The file cannot be made.
    pub fn create(path: &Path) -> Result<Recorder, Error> {
        let file = BufWriter::new(File::create(path).context(FileSnafu { path })?);
        let state = RecorderState { records: Vec::new(), file, failure: None };
        Ok(Recorder { started_at: Instant::now(), state: Mutex::new(state) })
    }

    /// Microseconds since it began.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Records an event that happens now.
    ///
    /// # Panics
    ///
    /// If another thread has panicked in here.
    pub fn record(&self, event: Event) {
        let mut state = self.state.lock().expect("no thread panics in here");
        let record = Record { at: self.now(), event };
        let line = serde_json::to_string(&record).expect("records have no maps with odd keys");
        if let Err(error) = writeln!(state.file, "{line}") {
            state.failure.get_or_insert(error);
        }
        state.records.push(record);
    }

    /// Writes what is buffered.
    ///
    /// # Errors
    ///
    /// The file could not be written, now or before.
    ///
    /// # Panics
    ///
    /// If another thread has panicked in here.
    pub fn flush(&self, path: &Path) -> Result<(), Error> {
        let mut state = self.state.lock().expect("no thread panics in here");
        let flushed = state.file.flush();
        let failure = state.failure.take();
        failure.map_or(flushed, Err).context(FileSnafu { path })
    }

    /// All records so far.
    ///
    /// # Panics
    ///
    /// If another thread has panicked in here.
    pub fn records(&self) -> Vec<Record> {
        self.state.lock().expect("no thread panics in here").records.clone()
    }
}

/// Reads a history back.
///
/// # Errors
///
/// The file cannot be read, or has a line that is no record.
pub fn read_history(path: &Path) -> Result<Vec<Record>, Error> {
    let file = BufReader::new(File::open(path).context(FileSnafu { path })?);
    let mut records = Vec::new();
    for (index, line) in file.lines().enumerate() {
        let line = line.context(FileSnafu { path })?;
        records.push(serde_json::from_str(&line).context(HistorySnafu { path, line: index + 1 })?);
    }
    Ok(records)
}
