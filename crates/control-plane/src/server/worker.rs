//! A thread for what would hold up the event loop: parsing long changes, and encoding a long configuration.
//!
//! While the loop works on one of these, which takes up to half a second where the machine is slow, no heartbeat is sent or
//! read, and quorum contact is lost within 2 s. Jobs are done one after the other, in their order. What they hold is bounded by
//! the API's bound on the bytes of requests ([`Worker::queued_bytes`] counts towards it) and by one response for each client.

use super::connections::ConnectionId;
use crate::request::Request;
use kitepass_config::{parse_change_request, ConfigurationSnapshot, SchemaValidator};
use kitepass_net::event_fd::EventFd;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Arc;
use std::thread;

/// What takes fewer bytes is done on the event loop itself: it takes less time than waking a thread and being woken.
pub(super) const MIN_JOB_BYTES: usize = 64 * 1024;

/// What is to be done, and for which client.
pub(super) enum Job {
    /// Parse the body of a change request.
    ParseChange { client: ConnectionId, body: Vec<u8> },
    /// Encode the configuration for its reader.
    EncodeConfiguration { client: ConnectionId, snapshot: ConfigurationSnapshot },
}

/// A job that is done.
pub(super) enum FinishedJob {
    /// The change, or in words for the client what is wrong with it. `body_bytes` is the length of its body.
    ChangeParsed { client: ConnectionId, body_bytes: usize, change: Result<Request, String> },
    /// The configuration as JSON.
    ConfigurationEncoded { client: ConnectionId, json: Vec<u8> },
}

impl FinishedJob {
    /// The client that waits for it.
    pub(super) fn client(&self) -> ConnectionId {
        match self {
            FinishedJob::ChangeParsed { client, .. } | FinishedJob::ConfigurationEncoded { client, .. } => {
                *client
            }
        }
    }
}

/// The event loop's end of the thread.
pub(super) struct Worker {
    jobs: Sender<Job>,
    finished: Receiver<FinishedJob>,
    wakes_loop: Arc<EventFd>,
    /// Bytes of the bodies that are queued or being parsed.
    queued_bytes: usize,
}

impl Worker {
    /// Starts the thread, which ends with the `Worker`. It checks changes by this schema.
    ///
    /// # Errors
    ///
    /// The system's, for want of descriptors or threads.
    pub(super) fn start(schema: Arc<SchemaValidator>) -> std::io::Result<Worker> {
        let (jobs, queue) = mpsc::channel();
        let (results, finished) = mpsc::channel();
        let wakes_loop = Arc::new(EventFd::new()?);
        let event_fd = wakes_loop.clone();
        let run = move || run_jobs(&schema, &queue, &results, &event_fd);
        thread::Builder::new().name("worker".to_owned()).spawn(run)?;
        Ok(Worker { jobs, finished, wakes_loop, queued_bytes: 0 })
    }

    /// Readable once a job is done.
    pub(super) fn event_fd(&self) -> BorrowedFd<'_> {
        self.wakes_loop.as_fd()
    }

    /// Queues a job.
    pub(super) fn submit(&mut self, job: Job) {
        if let Job::ParseChange { body, .. } = &job {
            self.queued_bytes += body.len();
        }
        // The thread ends only when this end is dropped.
        let _ = self.jobs.send(job);
    }

    /// The next job that is done.
    pub(super) fn take_finished(&mut self) -> Option<FinishedJob> {
        self.wakes_loop.reset();
        let finished = self.finished.try_recv().ok()?;
        if let FinishedJob::ChangeParsed { body_bytes, .. } = &finished {
            self.queued_bytes -= body_bytes;
        }
        Some(finished)
    }

    /// Bytes of the bodies that are queued or being parsed.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }
}

fn run_jobs(
    schema: &SchemaValidator,
    queue: &Receiver<Job>,
    results: &Sender<FinishedJob>,
    wakes_loop: &EventFd,
) {
    for job in queue {
        if results.send(run(schema, job)).is_err() {
            return;
        }
        wakes_loop.notify();
    }
}

fn run(schema: &SchemaValidator, job: Job) -> FinishedJob {
    match job {
        Job::ParseChange { client, body } => {
            FinishedJob::ChangeParsed { client, body_bytes: body.len(), change: parse_change(schema, &body) }
        }
        Job::EncodeConfiguration { client, snapshot } => {
            FinishedJob::ConfigurationEncoded { client, json: snapshot.to_json() }
        }
    }
}

/// Parses the body of a change request, by its shape alone; the error is in words for the client.
pub(super) fn parse_change(schema: &SchemaValidator, body: &[u8]) -> Result<Request, String> {
    parse_change_request(schema, body).map(Request::Patch).map_err(|error| error.to_string())
}
