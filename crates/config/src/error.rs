//! Why an operator's change is invalid. Operators read these texts, and name things as the change does: a customer is
//! a tenant, an itinerary a route, a carrier-line a service, a permit a key, and an edition a version.

use snafu::Snafu;
use std::sync::Arc;

/// Why a change is invalid. Nothing of such a change may be applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ValidationError {
    /// The change is not JSON.
    #[snafu(display("the call is not whole JSON: {source}"))]
    InvalidJson {
        /// The parser's error.
        source: serde_json::Error,
    },

    /// The structure around the items is wrong.
    #[snafu(display("{at}: {reason}"))]
    Layout {
        /// The dotted path to what is wrong.
        at: String,
        /// What is wrong there.
        reason: String,
    },

    /// An item is wrong by itself.
    #[snafu(display("{list} \"{name}\": {field}: {reason}"))]
    InvalidItem {
        /// The table or list that the item is in.
        list: &'static str,
        /// The item's name.
        name: String,
        /// The field, or "item" where it is no single field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },

    /// Two tenants share a key. The key stays out of the message: it is a secret, and messages go to logs.
    #[snafu(display("customers \"{name}\": permits: one is also a permit of \"{other}\""))]
    SharedKey {
        /// The tenant that the change sets.
        name: Arc<str>,
        /// The other tenant.
        other: Arc<str>,
    },

    /// Two routes have the same host and path prefix.
    #[snafu(display("itineraries \"{name}\": depot and lane-prefix are those of \"{other}\""))]
    DuplicateRoute {
        /// The route that the change sets.
        name: Arc<str>,
        /// The other route.
        other: Arc<str>,
    },

    /// A route names a service that does not exist.
    #[snafu(display("itineraries \"{name}\": line: there is no carrier-line \"{service}\""))]
    UnknownService {
        /// The route.
        name: Arc<str>,
        /// The service.
        service: String,
    },

    /// A service is removed that a route names.
    #[snafu(display("carrier-lines \"{service}\": withdrawn, but itinerary \"{name}\" names it"))]
    ServiceInUse {
        /// The service.
        service: Arc<str>,
        /// The route.
        name: Arc<str>,
    },
}
