//! Idle connections to backends, kept for reuse.

use crate::ids::UpstreamId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of idle connections per backend.
const MAX_IDLE_PER_BACKEND: usize = 8;

/// Idle connections by backend, most recently used last. A backend without idle connections has no entry.
#[derive(Default)]
pub(super) struct IdleConnections {
    by_backend: BTreeMap<Arc<str>, Vec<UpstreamId>>,
}

impl IdleConnections {
    /// Whether there is an idle connection to a backend.
    pub(super) fn contains(&self, backend_id: &str) -> bool {
        self.by_backend.contains_key(backend_id)
    }

    /// Whether another idle connection to a backend may be kept.
    pub(super) fn has_capacity(&self, backend_id: &str) -> bool {
        self.by_backend.get(backend_id).map_or(0, Vec::len) < MAX_IDLE_PER_BACKEND
    }

    /// Adds an idle connection.
    pub(super) fn push(&mut self, backend_id: Arc<str>, id: UpstreamId) {
        self.by_backend.entry(backend_id).or_default().push(id);
    }

    /// Removes and returns the most recently used connection to a backend.
    pub(super) fn pop(&mut self, backend_id: &str) -> Option<UpstreamId> {
        let connections = self.by_backend.get_mut(backend_id)?;
        let id = connections.pop();
        if connections.is_empty() {
            self.by_backend.remove(backend_id);
        }
        id
    }

    /// Removes a connection, if it is present.
    pub(super) fn remove(&mut self, backend_id: &str, id: UpstreamId) {
        let Some(connections) = self.by_backend.get_mut(backend_id) else { return };
        connections.retain(|other| *other != id);
        if connections.is_empty() {
            self.by_backend.remove(backend_id);
        }
    }
}
