//! The active configuration, which determines the routes and limits for requests.
//!
//! The control session receives configuration items. At the end of each event loop iteration, a complete set of items is
//! activated here.
//!
//! Invariant: readiness and client error responses are based on the active configuration, never on the items of the
//! control session. Those can be newer until the end of the iteration, or for many iterations during a transfer.

#[cfg(test)]
mod tests;

use super::MAX_UNSENT_BYTES;
use crate::control_session::ControlSession;
use kitepass_config::{ItemStore, Kind, Limits, RoutingTable};
use log::info;
use std::sync::Arc;

/// Kinds of items that an operator configures. Evacuations and replica sets can exist without a configuration.
const CONFIGURATION_KINDS: [Kind; 4] = [Kind::Route, Kind::Tenant, Kind::Service, Kind::Limits];

/// Whether a configuration is active. Changed only by [`Configuration::activate`].
#[derive(Debug)]
enum State {
    /// No complete configuration has been received yet.
    Unknown,
    /// The routing table for new requests.
    Active(Arc<RoutingTable>),
}

/// The active configuration, and whether newer items are waiting to be activated.
#[derive(Debug)]
pub(super) struct Configuration {
    state: State,
    /// Whether items have changed since the last activation.
    is_stale: bool,
    /// Limits for clients while no configuration is active.
    default_limits: Limits,
}

impl Configuration {
    /// Creates the state without an active configuration.
    pub(super) fn new() -> Configuration {
        // Invariant: until the configured limit on the head is known, any head that fits the buffer is accepted.
        let default_limits = Limits { max_head_bytes: MAX_UNSENT_BYTES, ..Limits::default() };
        Configuration { state: State::Unknown, is_stale: false, default_limits }
    }

    /// The active routing table, if any.
    pub(super) fn routing_table(&self) -> Option<&Arc<RoutingTable>> {
        match &self.state {
            State::Unknown => None,
            State::Active(routing_table) => Some(routing_table),
        }
    }

    /// Whether a configuration is active.
    pub(super) fn is_loaded(&self) -> bool {
        self.routing_table().is_some()
    }

    /// The current limits for clients.
    pub(super) fn limits(&self) -> &Limits {
        self.routing_table().map_or(&self.default_limits, |routing_table| &routing_table.limits)
    }

    /// The number of active routes.
    pub(super) fn route_count(&self) -> usize {
        self.routing_table().map_or(0, |routing_table| routing_table.route_count())
    }

    /// Records that configuration items have changed.
    pub(super) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Activates the items of the session if they have changed, form a consistent state and include a configuration.
    /// Returns the new routing table.
    pub(super) fn refresh(&mut self, session: &ControlSession) -> Option<Arc<RoutingTable>> {
        let is_consistent = session.is_caught_up() && session.holds_complete_changes();
        if !self.is_stale || !is_consistent || !has_been_configured(&session.item_store) {
            return None;
        }
        self.is_stale = false;
        Some(self.activate(&session.item_store))
    }

    fn activate(&mut self, item_store: &ItemStore) -> Arc<RoutingTable> {
        let empty = RoutingTable::default();
        let previous = self.routing_table().map_or(&empty, Arc::as_ref);
        let routing_table = Arc::new(RoutingTable::rebuild(previous, item_store));
        info!(
            "event=configuration-in-force routes={} tenants={} services={}",
            routing_table.route_count(),
            routing_table.tenants.len(),
            routing_table.services.len()
        );
        self.state = State::Active(routing_table.clone());
        routing_table
    }
}

/// Whether an operator has ever published a configuration. Tombstones of deleted items count as well.
fn has_been_configured(item_store: &ItemStore) -> bool {
    CONFIGURATION_KINDS.iter().any(|kind| item_store.items_of(*kind).next().is_some())
}
