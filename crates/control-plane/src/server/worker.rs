//! A worker thread for jobs that would block the event loop: parsing long changes, and encoding a long configuration.
//!
//! A job takes up to half a second on a slow machine. While the event loop is blocked, no heartbeats are sent or read,
//! and quorum contact is lost after 2 s without them. Jobs run one at a time, in order. Their memory is bounded by the
//! API's limit on buffered request bodies, towards which [`Worker::queued_bytes`] counts, and by one response per
//! client.

use super::connections::ConnectionId;
use crate::request::Request;
use kitepass_config::{parse_change_request, ConfigurationSnapshot, SchemaValidator};
use kitepass_net::event_fd::EventFd;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Arc;
use std::thread;

/// Smaller jobs run on the event loop itself, where they take less time than waking the thread and being notified.
pub(super) const MIN_OFFLOAD_BYTES: usize = 64 * 1024;

/// A job, and the client for which it runs.
pub(super) enum Job {
    /// Parse the body of a change request.
    ParseChange { client: ConnectionId, body: Vec<u8> },
    /// Encode the configuration as JSON.
    EncodeConfiguration { client: ConnectionId, snapshot: ConfigurationSnapshot },
}

/// The result of a job.
pub(super) enum FinishedJob {
    /// The parsed change, or the reason why it is invalid, as text for the client. `body_bytes` is the size of its
    /// body.
    ChangeParsed { client: ConnectionId, body_bytes: usize, change: Result<Request, String> },
    /// The configuration as JSON.
    ConfigurationEncoded { client: ConnectionId, json: Vec<u8> },
}

impl FinishedJob {
    /// Returns the client that waits for the result.
    pub(super) fn client(&self) -> ConnectionId {
        match self {
            FinishedJob::ChangeParsed { client, .. } | FinishedJob::ConfigurationEncoded { client, .. } => {
                *client
            }
        }
    }
}

/// The event loop's handle to the worker thread.
pub(super) struct Worker {
    jobs: Sender<Job>,
    finished: Receiver<FinishedJob>,
    loop_wakeup: Arc<EventFd>,
    /// Total size of the bodies that are queued or being parsed.
    queued_bytes: usize,
}

impl Worker {
    /// Starts the thread, which validates changes with `schema`. It ends once the `Worker` is dropped.
    ///
    /// # Errors
    ///
    /// The system's error, if it is out of descriptors or threads.
    pub(super) fn start(schema: Arc<SchemaValidator>) -> std::io::Result<Worker> {
        let (jobs, queue) = mpsc::channel();
        let (results, finished) = mpsc::channel();
        let loop_wakeup = Arc::new(EventFd::new()?);
        let event_fd = loop_wakeup.clone();
        let run = move || run_jobs(&schema, &queue, &results, &event_fd);
        thread::Builder::new().name("worker".to_owned()).spawn(run)?;
        Ok(Worker { jobs, finished, loop_wakeup, queued_bytes: 0 })
    }

    /// Returns the descriptor that becomes readable once a job has finished.
    pub(super) fn event_fd(&self) -> BorrowedFd<'_> {
        self.loop_wakeup.as_fd()
    }

    /// Queues a job.
    pub(super) fn submit(&mut self, job: Job) {
        if let Job::ParseChange { body, .. } = &job {
            self.queued_bytes += body.len();
        }
        // Cannot fail, because the thread runs until this sender is dropped.
        let _ = self.jobs.send(job);
    }

    /// Returns the next finished job, if there is one.
    pub(super) fn take_finished(&mut self) -> Option<FinishedJob> {
        self.loop_wakeup.reset();
        let finished = self.finished.try_recv().ok()?;
        if let FinishedJob::ChangeParsed { body_bytes, .. } = &finished {
            self.queued_bytes -= body_bytes;
        }
        Some(finished)
    }

    /// Returns the total size of the bodies that are queued or being parsed.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }
}

fn run_jobs(
    schema: &SchemaValidator,
    queue: &Receiver<Job>,
    results: &Sender<FinishedJob>,
    loop_wakeup: &EventFd,
) {
    for job in queue {
        if results.send(run_job(schema, job)).is_err() {
            return;
        }
        loop_wakeup.notify();
    }
}

fn run_job(schema: &SchemaValidator, job: Job) -> FinishedJob {
    match job {
        Job::ParseChange { client, body } => {
            FinishedJob::ChangeParsed { client, body_bytes: body.len(), change: parse_change(schema, &body) }
        }
        Job::EncodeConfiguration { client, snapshot } => {
            FinishedJob::ConfigurationEncoded { client, json: snapshot.to_json() }
        }
    }
}

/// Parses the body of a change request, without checking it against the current configuration. The error is a text for
/// the client.
pub(super) fn parse_change(schema: &SchemaValidator, body: &[u8]) -> Result<Request, String> {
    parse_change_request(schema, body).map(Request::Patch).map_err(|error| error.to_string())
}
