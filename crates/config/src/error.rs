//! Validation errors of change requests. Operators see the messages, so these use the names of the JSON format:
//! customer for tenant, itinerary for route, carrier-line for service, permit for API key, and edition for version.

use snafu::Snafu;
use std::sync::Arc;

/// The reason why a change request is invalid. No part of an invalid change request may be applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ValidationError {
    /// The change request is not valid JSON.
    #[snafu(display("the call is not whole JSON: {source}"))]
    InvalidJson {
        /// The JSON parser's error.
        source: serde_json::Error,
    },

    /// The structure of the change request outside its items is invalid.
    #[snafu(display("{path}: {reason}"))]
    InvalidStructure {
        /// The dotted path of the invalid element.
        path: String,
        /// The reason why it is invalid.
        reason: String,
    },

    /// An item is invalid on its own.
    #[snafu(display("{list} \"{name}\": {field}: {reason}"))]
    InvalidItem {
        /// The table or list that contains the item.
        list: &'static str,
        /// The item's name.
        name: String,
        /// The invalid field, or "item" if the error does not concern a single field.
        field: String,
        /// The reason why it is invalid.
        reason: String,
    },

    /// Two tenants have the same API key. The message omits the key, since it is a secret and messages are logged.
    #[snafu(display("customers \"{name}\": permits: one is also a permit of \"{other}\""))]
    SharedKey {
        /// The tenant in the change request.
        name: Arc<str>,
        /// The other tenant.
        other: Arc<str>,
    },

    /// Two routes have the same host and path prefix.
    #[snafu(display("itineraries \"{name}\": depot and lane-prefix are those of \"{other}\""))]
    DuplicateRoute {
        /// The route in the change request.
        name: Arc<str>,
        /// The other route.
        other: Arc<str>,
    },

    /// A route refers to a service that does not exist.
    #[snafu(display("itineraries \"{name}\": line: there is no carrier-line \"{service}\""))]
    UnknownService {
        /// The route.
        name: Arc<str>,
        /// The service.
        service: String,
    },

    /// The change request removes a service that a route still refers to.
    #[snafu(display("carrier-lines \"{service}\": withdrawn, but itinerary \"{name}\" names it"))]
    ServiceInUse {
        /// The service.
        service: Arc<str>,
        /// The route.
        name: Arc<str>,
    },
}
