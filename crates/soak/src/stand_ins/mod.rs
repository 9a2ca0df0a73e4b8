//! What stands around the system: backends, the platform's list, clients and the operator.

pub mod backends;
pub mod clients;
pub mod operator;
pub mod platform;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Asks all threads of the stand-ins to end.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Asks them to end.
    pub fn stop(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether they are to end.
    pub fn is_stopped(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The body that a service's backend answers a request with: whatever is cut off, added or of another request shows.
pub fn response_body(service: &str, id: &str, length: usize) -> Vec<u8> {
    let mut body = format!("{service}:{id}:").into_bytes();
    body.resize(body.len() + length, b'x');
    body
}

/// The mark that a backend puts on its response to a request.
pub fn response_marker(id: &str) -> String {
    format!("mark.{id}")
}
