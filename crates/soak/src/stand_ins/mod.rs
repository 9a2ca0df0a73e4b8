//! Stand-ins for everything that surrounds the system under test: backends, the platform API, clients and the operator.

pub mod backends;
pub mod clients;
pub mod operator;
pub mod platform;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A flag, shared by all threads of the stand-ins, that asks them to end.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Asks the threads to end.
    pub fn stop(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the threads are to end.
    pub fn is_stopped(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The response body of a service's backend. It depends on the service and the request id, so that a client detects
/// truncated, extended and mixed-up bodies.
pub fn response_body(service: &str, id: &str, length: usize) -> Vec<u8> {
    let mut body = format!("{service}:{id}:").into_bytes();
    body.resize(body.len() + length, b'x');
    body
}

/// The value of the `X-Postmark` field that a backend adds to its response to a request; gateways never generate it.
pub fn response_marker(id: &str) -> String {
    format!("mark.{id}")
}
