//! Why an operator's call is invalid, for the operator to read.

use snafu::Snafu;
use std::sync::Arc;

/// Why a call is invalid. Nothing of such a call may be taken.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ValidationError {
    #[snafu(display("the call is not whole JSON: {source}"))]
    Unreadable { source: serde_json::Error },

    /// The call around its items is not laid out as one.
    #[snafu(display("{at}: {reason}"))]
    Layout { at: String, reason: String },

    /// An item is wrong by itself.
    #[snafu(display("{list} \"{name}\": {field}: {reason}"))]
    Row { list: &'static str, name: String, field: String, reason: String },

    /// The key stays out of the message: it is a secret, and messages go to logs.
    #[snafu(display("customers \"{name}\": permits: one is also a permit of \"{other}\""))]
    SharedKey { name: Arc<str>, other: Arc<str> },

    #[snafu(display("itineraries \"{name}\": depot and lane-prefix are those of \"{other}\""))]
    SamePlace { name: Arc<str>, other: Arc<str> },

    #[snafu(display("itineraries \"{name}\": line: there is no carrier-line \"{line}\""))]
    UnknownLine { name: Arc<str>, line: String },

    #[snafu(display("carrier-lines \"{line}\": withdrawn, but itinerary \"{name}\" names it"))]
    LineInUse { line: Arc<str>, name: Arc<str> },
}
