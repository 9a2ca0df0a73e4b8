//! Client of discovery: watches the list of backends, and resumes from the last version after a disconnection.
//! While discovery does not answer, the last list stays in use.

use crate::http::MessageReader;
use crate::poll::{self, ReadOutcome, ReadyEvent, Source};
use crate::runtime::{Phase, Runtime, Timer};
use kitepass_gateway_policy::{BackendEntry, BackendStatus, Gateway};
use kitepass_time::{Duration, Timestamp};
use log::{debug, info, warn};
use rustix::fd::OwnedFd;
use serde_json::Value;
use std::net::SocketAddr;

/// Discovery sends an empty line at least this often while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How often an ongoing outage of discovery is logged.
const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(30);
/// The maximum length of a line on the watch.
const MAX_LINE_BYTES: usize = 16 << 20;

/// A connection to discovery.
struct Connection {
    /// Distinguishes its events from those of other connections.
    id: u32,
    socket: OwnedFd,
    is_connected: bool,
    /// When bytes were last received; before that, when the connection was opened.
    last_heard: Timestamp,
    reader: MessageReader,
    /// Bytes that were read but not parsed yet.
    input: Vec<u8>,
    /// The part of the response body that was received after the last complete line.
    partial_line: Vec<u8>,
    /// The request; its first `written` bytes have been written to the socket.
    output: Vec<u8>,
    written: usize,
}

/// The watch on discovery's list of backends.
pub(crate) struct Watch {
    address: SocketAddr,
    /// The version of the list that was last applied.
    version: u64,
    /// The newest connection is last. One to a replaced address stays open until the newest has received a line.
    connections: Vec<Connection>,
    /// The id of the newest connection.
    last_connection_id: u32,
    /// When a connection to discovery was last known to be established.
    last_connected_at: Timestamp,
    /// When the current outage was last logged; `None` if there is none.
    outage_logged_at: Option<Timestamp>,
}

impl Watch {
    /// Starts a watch with an initial list of backends, until discovery sends its own.
    pub(crate) fn new(
        address: SocketAddr,
        initial_backends: &Value,
        policy: &mut Gateway,
        runtime: &mut Runtime,
    ) -> Watch {
        let (last_connected_at, outage_logged_at) = (runtime.now(), None);
        let mut watch = Watch {
            address,
            version: 0,
            connections: Vec::new(),
            last_connection_id: 0,
            last_connected_at,
            outage_logged_at,
        };
        if !initial_backends.is_null() {
            watch.apply_change(initial_backends, true, policy, runtime);
        }
        watch.open(runtime);
        runtime.schedule_timer(runtime.now() + HEARTBEAT_INTERVAL / 4, Timer::Watch);
        watch
    }

    /// Resumes the watch from the last version at another address.
    pub(crate) fn set_address(&mut self, address: SocketAddr, runtime: &mut Runtime) {
        if address != self.address {
            self.address = address;
            self.connections.truncate(1); // drops connections to addresses already replaced
            self.open(runtime);
        }
    }

    /// Opens a connection and requests the changes since the last version.
    fn open(&mut self, runtime: &mut Runtime) {
        self.last_connection_id = self.last_connection_id.wrapping_add(1);
        let id = self.last_connection_id;
        let source = Source::Watch(id);
        let opened = runtime.poller.connect(&self.address, source);
        let (version, address) = (self.version, self.address);
        let output = format!(
            "GET /v1/servers?stream=1&index={version} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        self.connections.extend(opened.map_err(|error| debug!("discovery: {error}")).ok().map(|socket| {
            Connection {
                id,
                socket,
                is_connected: false,
                last_heard: runtime.now(),
                reader: MessageReader::default(),
                input: Vec::new(),
                partial_line: Vec::new(),
                output: output.into_bytes(),
                written: 0,
            }
        }));
    }

    /// Drops connections that have timed out, opens a new one if the newest is gone, and schedules the next
    /// check.
    pub(crate) fn check_connections(&mut self, runtime: &mut Runtime) {
        let now = runtime.now();
        let connect_timeout = runtime.connection_settings.connect_timeout;
        self.connections.retain(|connection| {
            now - connection.last_heard
                <= if connection.is_connected { HEARTBEAT_INTERVAL * 3 } else { connect_timeout }
        });
        if self.connections.last().is_none_or(|connection| connection.id != self.last_connection_id) {
            self.open(runtime);
        }
        self.log_outage(now);
        runtime.schedule_timer(now + HEARTBEAT_INTERVAL / 4, Timer::Watch);
    }

    /// Logs an outage of discovery at intervals, and its end. Without these lines, nothing would explain why a
    /// gateway that started without a list rejects all requests.
    fn log_outage(&mut self, now: Timestamp) {
        let address = self.address;
        if self.connections.iter().any(|connection| connection.is_connected) {
            self.last_connected_at = now;
            if self.outage_logged_at.take().is_some() {
                info!("discovery at {address} is reachable again");
            }
        } else if now - self.last_connected_at >= HEARTBEAT_INTERVAL
            && self
                .outage_logged_at
                .is_none_or(|outage_logged_at| now - outage_logged_at >= OUTAGE_LOG_INTERVAL)
        {
            self.outage_logged_at = Some(now);
            let outage_seconds = (now - self.last_connected_at).as_secs();
            warn!("no connection to discovery at {address} for {outage_seconds:.0} s; keeping the last list of backends");
        }
    }

    /// Handles the event of a ready socket.
    pub(crate) fn handle_ready(
        &mut self,
        ready: ReadyEvent,
        id: u32,
        policy: &mut Gateway,
        runtime: &mut Runtime,
    ) {
        let Some(position) = self.connections.iter().position(|connection| connection.id == id) else {
            return;
        };
        let mut connection = self.connections.remove(position);
        match self.handle_io(&mut connection, ready, policy, runtime) {
            Ok(true) => self.connections.splice(..position, [connection]).for_each(drop),
            Ok(false) => self.connections.insert(position, connection),
            Err(reason) => debug!("discovery: {reason}"), // `check_connections` opens another
        }
    }

    /// Writes and reads as much as the socket allows. Returns whether a line was received.
    ///
    /// # Errors
    /// The reason why the connection cannot be used any more.
    fn handle_io(
        &mut self,
        connection: &mut Connection,
        ready: ReadyEvent,
        policy: &mut Gateway,
        runtime: &mut Runtime,
    ) -> Result<bool, String> {
        if ready.write {
            if !connection.is_connected {
                poll::connect_result(&connection.socket).map_err(|error| error.to_string())?;
                connection.is_connected = true;
            }
            let written = poll::write(&connection.socket, &connection.output, &mut connection.written);
            written.map_err(|error| error.to_string())?;
        }
        if !ready.read {
            return Ok(false);
        }
        let mut has_received_line = false;
        loop {
            let outcome =
                poll::read(&connection.socket, &mut runtime.read_buffer, &mut connection.input, ready.ended);
            connection.last_heard = runtime.now();
            let is_complete =
                connection.reader.read_chunked_response(&mut connection.input, &mut connection.partial_line);
            let is_complete = is_complete.map_err(|error| format!("{error:?}"))?;
            if is_complete.is_some() && connection.reader.chunked_response_status(&connection.input) != 200 {
                return Err(format!(
                    "status {}",
                    connection.reader.chunked_response_status(&connection.input)
                ));
            }
            let mut consumed = 0;
            while let Some(length) = memchr::memchr(b'\n', &connection.partial_line[consumed..]) {
                let line = consumed..consumed + length;
                consumed = line.end + 1;
                self.handle_line(connection.partial_line[line].trim_ascii(), policy, runtime)?;
                has_received_line = true;
            }
            connection.partial_line.drain(..consumed);
            if connection.partial_line.len() > MAX_LINE_BYTES {
                return Err("line too long".to_owned());
            }
            match outcome {
                Ok(ReadOutcome::Bytes) if is_complete != Some(true) => {}
                Ok(ReadOutcome::WouldBlock) if is_complete != Some(true) => return Ok(has_received_line),
                Ok(_) => return Err("connection closed".to_owned()),
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    /// Applies one line of the watch.
    ///
    /// # Errors
    /// The line is not JSON.
    fn handle_line(
        &mut self,
        line: &[u8],
        policy: &mut Gateway,
        runtime: &mut Runtime,
    ) -> Result<(), String> {
        if line.is_empty() {
            return Ok(());
        }
        let change: Value = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        self.apply_change(&change, false, policy, runtime);
        if runtime.phase == Phase::Starting {
            runtime.phase = Phase::Serving;
        }
        Ok(())
    }

    /// Applies a change of the list; `is_initial` marks the complete list that the gateway was started with.
    fn apply_change(
        &mut self,
        change: &Value,
        is_initial: bool,
        policy: &mut Gateway,
        runtime: &mut Runtime,
    ) {
        let Some(entries) = change["instances"].as_array() else {
            return warn!("discovery: instances: expected an array");
        };
        self.version = change["generation"].as_u64().unwrap_or(self.version);
        let is_complete = is_initial || change["reset"].as_bool().unwrap_or(false);
        let mut backends = Vec::with_capacity(entries.len());
        for entry in entries {
            match parse_entry(entry) {
                Ok((backend, address)) => {
                    runtime.update_backend(&backend.id, address, backend.status);
                    backends.push(backend);
                }
                Err(error) => warn!("discovery: {error}"),
            }
        }
        if is_complete {
            let ids: std::collections::BTreeSet<&str> =
                backends.iter().map(|backend| backend.id.as_str()).collect();
            runtime.retain_backends(|id| ids.contains(id));
        }
        policy.update_backends(is_complete, &backends);
    }
}

/// Parses one entry of a change into a backend and its address, which is `None` if it is invalid.
///
/// # Errors
/// Names the part of the entry that is invalid.
fn parse_entry(entry: &Value) -> Result<(BackendEntry, Option<SocketAddr>), String> {
    let id = entry["instanceId"].as_str().filter(|id| !id.is_empty()).ok_or("instanceId: expected an id")?;
    let status = match entry["lifecycle"].as_str() {
        Some("ready") => BackendStatus::Live,
        Some("draining") => BackendStatus::Draining,
        Some("gone") => BackendStatus::Removed,
        other => return Err(format!("{id}: lifecycle: expected a state, found {other:?}")),
    };
    let address = entry["hostPort"].as_str().and_then(|address| address.parse().ok());
    if address.is_none() && status == BackendStatus::Live {
        warn!("discovery: {id}: hostPort: expected an address and a port, found {}", entry["hostPort"]);
    }
    let started = entry["startedAtMs"].as_f64().filter(|millis| *millis > 0.0);
    let backend = BackendEntry {
        id: id.to_owned(),
        zone: entry["zone"].as_str().unwrap_or_default().to_owned(),
        cell: entry["cell"].as_i64().unwrap_or_default(),
        status,
        weight: entry["weight"].as_f64().filter(|weight| *weight > 0.0 && weight.is_finite()).unwrap_or(1.0),
        started: started.map(|millis| Timestamp::from_micros((millis * 1000.0) as i64)),
    };
    Ok((backend, address))
}
