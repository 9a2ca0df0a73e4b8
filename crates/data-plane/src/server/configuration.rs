//! The configuration in force: what requests are routed and limited by, from their first byte on.
//!
//! The control session brings items; what it holds is put in force here, as a whole, at the end of a turn of the event loop.
//! Invariant: whatever tells others that this gateway serves, or tells a client that its request is wrong, goes by this state and
//! not by the session's. Between the two lies the rest of a turn, and where a transfer is under way many turns.

#[cfg(test)]
mod tests;

use super::MAX_UNSENT_BYTES;
use crate::control_session::ControlSession;
use kitepass_config::{ItemStore, Kind, Limits, RoutingTable};
use log::info;
use std::sync::Arc;

/// The items that an operator's configuration is made of. Evacuations and replica sets exist without one.
const CONFIGURATION_KINDS: [Kind; 4] = [Kind::Route, Kind::Tenant, Kind::Service, Kind::Limits];

/// Whether this gateway knows a configuration. [`Configuration::put_in_force`] alone changes it.
#[derive(Debug)]
enum State {
    /// It has held none as a whole yet.
    Unknown,
    /// Requests that come from now on go by this.
    InForce(Arc<RoutingTable>),
}

/// The configuration in force, and whether newer items wait to be put in force.
#[derive(Debug)]
pub(super) struct Configuration {
    state: State,
    /// The items have changed since they were put in force last.
    is_stale: bool,
    /// What holds for clients while no configuration is known.
    initial_limits: Limits,
}

impl Configuration {
    /// No configuration is known.
    pub(super) fn new() -> Configuration {
        // Invariant: no head is too long as long as nobody has told how long one may be, if it fits the buffer at all.
        let initial_limits = Limits { max_head_bytes: MAX_UNSENT_BYTES, ..Limits::default() };
        Configuration { state: State::Unknown, is_stale: false, initial_limits }
    }

    /// What requests are routed by, if any configuration is in force.
    pub(super) fn routing_table(&self) -> Option<&Arc<RoutingTable>> {
        match &self.state {
            State::Unknown => None,
            State::InForce(routing_table) => Some(routing_table),
        }
    }

    /// Whether any configuration is in force.
    pub(super) fn is_known(&self) -> bool {
        self.routing_table().is_some()
    }

    /// The limits that hold for clients now.
    pub(super) fn limits(&self) -> &Limits {
        self.routing_table().map_or(&self.initial_limits, |routing_table| &routing_table.limits)
    }

    /// How many routes are in force.
    pub(super) fn route_count(&self) -> usize {
        self.routing_table().map_or(0, |routing_table| routing_table.route_count())
    }

    /// Items of the configuration have come.
    pub(super) fn items_changed(&mut self) {
        self.is_stale = true;
    }

    /// Puts in force what the session holds, if that has changed, is whole, and is a configuration. Gives the new routing table.
    pub(super) fn refresh(&mut self, session: &ControlSession) -> Option<Arc<RoutingTable>> {
        let is_whole = session.is_caught_up() && session.holds_complete_changes();
        if !self.is_stale || !is_whole || !has_configuration(&session.item_store) {
            return None;
        }
        self.is_stale = false;
        Some(self.put_in_force(&session.item_store))
    }

    fn put_in_force(&mut self, item_store: &ItemStore) -> Arc<RoutingTable> {
        let empty = RoutingTable::default();
        let previous = self.routing_table().map_or(&empty, Arc::as_ref);
        let routing_table = Arc::new(RoutingTable::rebuild(previous, item_store));
        info!(
            "event=configuration-in-force routes={} tenants={} services={}",
            routing_table.route_count(),
            routing_table.tenants.len(),
            routing_table.services.len()
        );
        self.state = State::InForce(routing_table.clone());
        routing_table
    }
}

/// Whether an operator has ever given a configuration: removed items tell so too.
fn has_configuration(item_store: &ItemStore) -> bool {
    CONFIGURATION_KINDS.iter().any(|kind| item_store.items_of(*kind).next().is_some())
}
